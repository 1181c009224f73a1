package job

import (
	"math"
)

// memoryMargin is the part by which reserved memory exceeds the estimate: a task that runs out of memory
// fails, while one that runs out of cores is only slower.
const memoryMargin = 1.2

// correct returns the size to reserve for a job: the declared size, raised at once to any usage seen, and
// lowered only after sampleLimit completed jobs of the class. Usage lags, so the first reports may be
// too low, and a job that is given too little fails. The estimate never exceeds the largest worker,
// because a job that fits nowhere would wait for ever.
func correct(spec Spec, usage Usage, largest Size) Size {
	trusted := usage.Samples >= sampleLimit
	size := spec.Size
	size.Cores = pick(spec.Cores, usage.Cores, largest.Cores, trusted)
	size.Memory = pick(spec.Memory, usage.Memory*memoryMargin, largest.Memory, trusted)
	return size
}

func pick(declared int, seen float64, largest int, trusted bool) int {
	if seen == 0 {
		return declared
	}
	estimate := int(math.Ceil(math.Min(seen, maxAmount)))
	if !trusted {
		estimate = max(estimate, declared)
	}
	return max(1, min(estimate, max(declared, largest)))
}

// reportedUsage adds what running jobs are seen to use now to what completed ones have used.
func reportedUsage(in PlanInput) map[Class]Usage {
	usage := make(map[Class]Usage, len(in.UsageByClass))
	for class, u := range in.UsageByClass {
		usage[class] = u
	}
	for _, w := range in.Workers {
		for _, j := range w.ActiveJobs {
			report, ok := w.TaskReports[j.ID]
			if !ok || report.Epoch != j.Epoch {
				continue
			}
			u := usage[j.class()]
			u.raise(report.Cores, float64(report.Memory))
			usage[j.class()] = u
		}
	}
	return usage
}

// occupied returns what a job takes of its worker: what it reserves, or what it is seen to use if that
// is more.
func occupied(w Worker, j Job, evicted map[AttemptID]EvictionResult) Size {
	size := j.Placement.Size
	if e, ok := evicted[j.attempt()]; ok && e.Method == EvictByThrottle && !e.Refused {
		size.Cores -= size.Cores / 2
	}
	if report, ok := w.TaskReports[j.ID]; ok && report.Epoch == j.Epoch {
		size.Memory = max(size.Memory, report.Memory)
	}
	return size
}

func (j Job) attempt() AttemptID { return AttemptID{ID: j.ID, Epoch: j.Epoch} }
