package dispatch

import (
	"time"

	"hibiscuslane.example/hibiscuslane/schedule"
	"hibiscuslane.example/hibiscuslane/task"
)

// strandedAfter is how long a long-running task waits before it counts as stranded. Tasks that find a worker are placed
// within a cycle.
const strandedAfter = 300 * time.Millisecond

// strandedTasks sums up long-running tasks of one pool for which no worker has room. The zero value is empty.
type strandedTasks struct {
	reserved task.Resources
	// minMachines is the number of machines that a step needs because of its limit of tasks per worker.
	minMachines int
}

// add adds tasks of a step.
func (s *strandedTasks) add(spec *task.Step, count int) {
	reservation := spec.Reservation()
	for range count {
		s.reserved = s.reserved.Add(reservation)
	}
	if spec.MaxPerWorker > 0 {
		s.minMachines = max(s.minMachines, divideUp(int64(count), int64(spec.MaxPerWorker)))
	}
}

// machines returns how many empty machines with the given capacity take the tasks.
func (s *strandedTasks) machines(capacity task.Resources) int {
	return max(divideUp(s.reserved.CPU, capacity.CPU), divideUp(s.reserved.Memory, capacity.Memory), s.minMachines)
}

// divideUp returns the quotient rounded up; zero if the divisor is.
func divideUp(a, b int64) int {
	if b <= 0 {
		return 0
	}
	return int((a + b - 1) / b)
}

// addStranded adds up to limit tasks of a long-running step that have waited for strandedAfter. It leaves out those that an empty
// machine of the given capacity may not take either: they are larger, or need an accelerator, a label or a ticket, which
// machines are not chosen by.
func (d *Dispatcher) addStranded(s *strandedTasks, p *schedule.PendingStep, limit int, machine task.Resources, now time.Time) {
	if p.Spec.RequiredLabel != "" || p.Tickets != nil || p.Spec.Resources.GPU > 0 || !machine.CanFit(p.Spec.Reservation()) {
		return
	}
	count := 0
	for _, index := range p.Tasks {
		if since, ok := d.waitingSince(p, index); ok && now.Sub(since) >= strandedAfter {
			count++
		}
	}
	s.add(&p.Spec, min(count, limit))
}

// largestMachine returns the largest number of cores and the largest memory of any machine.
func (d *Dispatcher) largestMachine() task.Resources {
	var largest task.Resources
	for _, m := range d.maintenance.machines {
		largest.CPU, largest.Memory = max(largest.CPU, m.Capacity.CPU), max(largest.Memory, m.Capacity.Memory)
	}
	return largest
}

// waitingSince returns since when a task has been waiting for a worker. It returns false if the task does not wait.
func (d *Dispatcher) waitingSince(p *schedule.PendingStep, index int) (time.Time, bool) {
	j := d.jobs[p.Job]
	if j == nil {
		return time.Time{}, false
	}
	t := j.Task(task.Key{Job: p.Job, Occurrence: p.Occurrence, Step: p.Step, Task: index})
	since := t.NotBefore
	if since.Before(j.AcceptedAt) {
		since = j.AcceptedAt
	}
	if since.Before(d.termStart) {
		since = d.termStart // workers take no tasks before they have answered in this term
	}
	return since, len(t.Placements) == 0
}
