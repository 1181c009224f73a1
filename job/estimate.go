package job

import (
	"math"
)

// memoryMarginFactor is the ratio of reserved to estimated memory. The margin exists because a task that
// runs out of memory fails, while one that runs out of cores is only slower.
const memoryMarginFactor = 1.2

// estimateSize returns the size to reserve for a job. It starts from the declared size, raises it at
// once to any higher usage, and lowers it only after trustedSamples completed jobs of the key: usage
// reports lag, so the first ones may be too low, and a task with too little memory fails. Usage never
// raises the size above that of the largest worker, because a job that fits on no worker would wait
// forever.
func estimateSize(spec Spec, usage Usage, largest Size) Size {
	trusted := usage.Samples >= trustedSamples
	size := spec.Size
	size.Cores = estimateAmount(spec.Cores, usage.Cores, largest.Cores, trusted)
	size.Memory = estimateAmount(spec.Memory, usage.Memory*memoryMarginFactor, largest.Memory, trusted)
	return size
}

func estimateAmount(declared int, used float64, maximum int, trusted bool) int {
	if used == 0 {
		return declared
	}
	estimate := int(math.Ceil(math.Min(used, maxAmount)))
	if !trusted {
		estimate = max(estimate, declared)
	}
	return max(1, min(estimate, max(declared, maximum)))
}

// mergeReportedUsage returns the usage per key, raised to the highest usage that the active attempts have
// reported.
func mergeReportedUsage(in PlanInput) map[UsageKey]Usage {
	usage := make(map[UsageKey]Usage, len(in.UsageByKey))
	for key, u := range in.UsageByKey {
		usage[key] = u
	}
	for _, w := range in.Workers {
		for _, j := range w.ActiveJobs {
			report, ok := w.TaskReports[j.ID]
			if !ok || report.Epoch != j.Epoch {
				continue
			}
			u := usage[j.usageKey()]
			u.raise(report.Cores, float64(report.Memory))
			usage[j.usageKey()] = u
		}
	}
	return usage
}

// occupiedSize returns the resources that a job occupies on its worker: the reserved size, with the
// reported memory if that is higher and without the cores that throttling freed.
func occupiedSize(w Worker, j Job, evictions map[AttemptID]EvictionResult) Size {
	size := j.Placement.Size
	if e, ok := evictions[j.attemptID()]; ok && e.Method == EvictByThrottle && !e.Refused {
		size.Cores -= size.Cores / 2
	}
	if report, ok := w.TaskReports[j.ID]; ok && report.Epoch == j.Epoch {
		size.Memory = max(size.Memory, report.Memory)
	}
	return size
}

func (j Job) attemptID() AttemptID { return AttemptID{ID: j.ID, Epoch: j.Epoch} }
