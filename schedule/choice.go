package schedule

import (
	"cmp"
	"container/heap"
	"slices"
	"time"

	"hibiscuslane.example/hibiscuslane/balance"
	"hibiscuslane.example/hibiscuslane/forecast"
	"hibiscuslane.example/hibiscuslane/task"
)

// occurrenceKey identifies an occurrence of a job.
type occurrenceKey struct {
	job        task.JobID
	occurrence int
}

func (p *PendingStep) key() occurrenceKey { return occurrenceKey{job: p.Job, occurrence: p.Occurrence} }

// LastStart returns when the remaining path has to start for the job to meet the hard deadline.
func (p *PendingStep) LastStart() time.Time { return p.HardDeadline.Add(-p.RemainingPath) }

// LatestStart returns when the remaining path has to start for the job to meet the soft deadline.
func (p *PendingStep) LatestStart() time.Time { return p.SoftDeadline.Add(-p.RemainingPath) }

// choice holds the jobs of a pool for which there is no room beside the others.
type choice struct {
	// late holds jobs that could each be in time, lost those that could each meet the hard deadline.
	late, lost map[occurrenceKey]bool
}

// class returns the urgency class of a step after the choice.
func (c *choice) class(p *PendingStep, now time.Time) urgencyClass {
	class := p.urgencyClass(now)
	if class == classInTime && c.late != nil && c.late[p.key()] {
		class = classLate
	}
	if class == classLate && c.lost != nil && c.lost[p.key()] {
		class = classLost
	}
	return class
}

// choose answers a burst of several times the room, in which not all jobs can meet their deadlines. It keeps room for as many
// as possible, first for those that can be in time, then for those that can meet the hard deadline. Jobs of teams that ask for
// more than their share are left out before others, so that a team that sends many small jobs does not displace the rest.
func choose(pending []*PendingStep, now time.Time, room *forecast.Room, teams *shares) choice {
	var c choice
	if room == nil {
		return c
	}
	var inTime, late []weightedJob
	total := room.Total()
	known := make(map[occurrenceKey]bool, len(pending))
	for _, p := range pending {
		class := p.urgencyClass(now)
		if class != classInTime && class != classLate || known[p.key()] {
			continue
		}
		known[p.key()] = true
		job := weightedJob{step: p, share: p.RemainingWork.ShareOf(total), isOverShare: teams.asksTooMuch(p.Team)}
		if class == classInTime {
			job.start = p.LatestStart()
			inTime = append(inTime, job)
		} else {
			job.start = p.LastStart()
			late = append(late, job)
		}
	}
	var chosen balance.Amount
	leftOut := leaveOut(inTime, now, room, &chosen)
	c.late = keysOf(leftOut)
	for _, job := range leftOut {
		job.start = job.step.LastStart()
		late = append(late, job)
	}
	c.lost = keysOf(leaveOut(late, now, room, &chosen))
	return c
}

// leaveOut returns the fewest of the jobs without which the others have room (the algorithm of Moore and Hodgson). Within a
// priority, the jobs are added in the order of their starts to the work that is chosen already. Each time that the work exceeds
// what the pool can do until then, the first of the heap is left out. Jobs that have started stay, since the work done
// would be wasted.
func leaveOut(jobs []weightedJob, now time.Time, room *forecast.Room, chosen *balance.Amount) []weightedJob {
	slices.SortStableFunc(jobs, func(a, b weightedJob) int {
		return cmp.Or(cmp.Compare(a.step.Priority, b.step.Priority), a.start.Compare(b.start))
	})
	var leftOut []weightedJob
	var candidates jobHeap
	priority := 0
	for _, job := range jobs {
		if p := job.step.Priority; p != priority {
			priority, candidates = p, nil // jobs of a lower priority don't displace others
		}
		*chosen = chosen.Add(job.step.RemainingWork)
		if !job.step.HasStarted {
			heap.Push(&candidates, job)
		}
		available := room.WorkBefore(now, job.start, job.step.RemainingPath)
		for len(candidates) > 0 && !chosen.FitsIn(available) {
			largest := heap.Pop(&candidates).(weightedJob)
			*chosen = chosen.Sub(largest.step.RemainingWork)
			leftOut = append(leftOut, largest)
		}
	}
	return leftOut
}

// keysOf returns the keys of the jobs; nil if there are none.
func keysOf(jobs []weightedJob) map[occurrenceKey]bool {
	if len(jobs) == 0 {
		return nil
	}
	keys := make(map[occurrenceKey]bool, len(jobs))
	for _, job := range jobs {
		keys[job.step.key()] = true
	}
	return keys
}

// weightedJob is a job with the share of the room that its remaining work takes, and when its remaining path has to start.
type weightedJob struct {
	step  *PendingStep
	share float64
	start time.Time
	// isOverShare is set if the team of the job asks for more than its share of the pool.
	isOverShare bool
}

// jobHeap is a heap.Interface whose first job is the first to be left out: one of a team over its share before others, and the one
// that takes the largest share of the room among those.
type jobHeap []weightedJob

func (h jobHeap) Len() int { return len(h) }
func (h jobHeap) Less(i, k int) bool {
	if h[i].isOverShare != h[k].isOverShare {
		return h[i].isOverShare
	}
	return h[i].share > h[k].share
}
func (h jobHeap) Swap(i, k int) { h[i], h[k] = h[k], h[i] }

// Push implements heap.Interface.
func (h *jobHeap) Push(x any) { *h = append(*h, x.(weightedJob)) }

// Pop implements heap.Interface.
func (h *jobHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}
