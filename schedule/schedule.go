// Package schedule decides which waiting tasks start next and on which workers. It is pure: all inputs,
// the time among them, are arguments.
package schedule

import (
	"maps"
	"slices"
	"sort"
	"time"

	"hibiscuslane.example/hibiscuslane/task"
	"hibiscuslane.example/hibiscuslane/worker"
)

// Worker is a worker that may take tasks.
type Worker struct {
	ID       worker.ID
	Rack     string
	Labels   []string
	Capacity task.Resources
	// Free is the capacity that no task has reserved.
	Free task.Resources
	// LatencySensitiveTasks is the number of its tasks that have a bound on response times.
	LatencySensitiveTasks int
	// BestEffortTasks is the number of its tasks that use the processor time of others.
	BestEffortTasks int
	// Draining marks a worker whose machine is to be emptied; it takes tasks last, and none that last.
	Draining bool
	// MaintenanceDue marks a worker whose machine is to be maintained later; it takes tasks that last after others.
	MaintenanceDue bool
	// Suspect marks a worker on which tasks have failed lately; it takes tasks last.
	Suspect bool
}

// PendingStep is the waiting tasks of one step of one occurrence.
type PendingStep struct {
	Job              task.JobID
	Occurrence, Step int
	// Spec is the step.
	Spec task.Step
	// Tasks are the indexes that wait. The whole of a gang waits, or none of it.
	Tasks []int
	// FailedWorkers holds the workers on which a task has failed, by index of the task.
	FailedWorkers map[int][]string
	// TasksPerWorker is the number of tasks of the step on each worker.
	TasksPerWorker map[worker.ID]int
	// TasksPerRack is the number of tasks of the step on each rack.
	TasksPerRack map[string]int
	// Priority orders demands; 0 comes first.
	Priority int
	// SoftDeadline is when the job must be complete to count as in time; Left the work that its longest chain still has.
	SoftDeadline  time.Time
	RemainingPath time.Duration
	// HardDeadline is the time after which completion counts for nothing.
	HardDeadline time.Time
	// Tickets are the permissions of the advice service by worker; nil if the queue needs none.
	Tickets map[worker.ID]string
}

// Assignment is a task that is to start on a worker.
type Assignment struct {
	Pending *PendingStep
	Task    int
	Worker  worker.ID
}

// urgency groups demands: each group goes before the next.
func (d *PendingStep) urgency(now time.Time) int {
	end := now.Add(d.RemainingPath)
	switch {
	case d.Spec.LongRunning:
		return 0
	case !end.After(d.SoftDeadline):
		return 1
	case !end.After(d.HardDeadline):
		return 2
	}
	return 3
}

// SortByUrgency sorts demands. Under a burst above capacity not all jobs can be in time: those that still can go
// before those that can only be late, and the least slack goes first, so that capacity is not spent on
// jobs that are late either way.
func SortByUrgency(demands []*PendingStep, now time.Time) {
	sort.SliceStable(demands, func(i, j int) bool {
		a, b := demands[i], demands[j]
		if ua, ub := a.urgency(now), b.urgency(now); ua != ub {
			return ua < ub
		}
		if a.Priority != b.Priority {
			return a.Priority < b.Priority
		}
		return a.SoftDeadline.Add(-a.RemainingPath).Before(b.SoftDeadline.Add(-b.RemainingPath))
	})
}

// Plan assigns waiting tasks to workers, in the order of Order. It reduces Free of the workers.
func Plan(now time.Time, workers []*Worker, demands []*PendingStep) []Assignment {
	SortByUrgency(demands, now)
	var plan []Assignment
	for _, d := range demands {
		if d.Spec.Gang {
			plan = append(plan, placeGang(d, workers)...)
			continue
		}
		for _, index := range d.Tasks {
			w := choose(d, index, workers)
			if w == nil {
				continue
			}
			take(d, w)
			plan = append(plan, Assignment{Pending: d, Task: index, Worker: w.ID})
		}
	}
	return plan
}

func take(d *PendingStep, w *Worker) {
	w.Free = w.Free.Sub(d.Spec.Reservation())
	if d.Spec.BestEffort {
		w.BestEffortTasks++
	}
	if d.Spec.LatencyTarget > 0 {
		w.LatencySensitiveTasks++
	}
	if d.TasksPerWorker == nil {
		d.TasksPerWorker = map[worker.ID]int{}
	}
	if d.TasksPerRack == nil {
		d.TasksPerRack = map[string]int{}
	}
	d.TasksPerWorker[w.ID]++
	d.TasksPerRack[w.Rack]++
}

// allowed reports whether a task of the demand may start on a worker.
func allowed(d *PendingStep, w *Worker) bool {
	if !w.Free.CanFit(d.Spec.Reservation()) || w.Draining && d.Spec.LongRunning {
		return false
	}
	if d.Spec.RequiredLabel != "" && !slices.Contains(w.Labels, d.Spec.RequiredLabel) {
		return false
	}
	if d.Spec.MaxPerWorker > 0 && d.TasksPerWorker[w.ID] >= d.Spec.MaxPerWorker {
		return false
	}
	if d.Tickets != nil {
		_, ok := d.Tickets[w.ID]
		return ok
	}
	return true
}

// choose returns the worker for a task, or nil if none may take it.
func choose(d *PendingStep, index int, workers []*Worker) *Worker {
	var best *Worker
	var least float64
	for _, w := range workers {
		if !allowed(d, w) {
			continue
		}
		c := cost(d, index, w)
		if best == nil || c < least {
			best, least = w, c
		}
	}
	return best
}

// Weights of the choice of a worker. Each larger one outweighs all smaller ones together.
const (
	weightFailed  = 1e6 // the task has failed there
	weightSuspect = 1e5 // tasks fail there
	weightLeaving = 1e4 // the machine is to be emptied
	weightFar     = 1e3 // the data is on another rack
	weightMix     = 1e2 // tasks that fill beside tasks that serve
	weightDue     = 5e1 // the machine is to be maintained later
	weightRack    = 1e1 // tasks of a lasting step on the same rack
)

// cost rates a worker for a task; the lowest is chosen. Equal workers are filled one after the other, so
// that large tasks still find room and whole machines become idle.
func cost(d *PendingStep, index int, w *Worker) float64 {
	var c float64
	if slices.Contains(d.FailedWorkers[index], string(w.ID)) {
		c += weightFailed
	}
	if w.Suspect {
		c += weightSuspect
	}
	if w.Draining {
		c += weightLeaving
	}
	if d.Spec.PreferredRack != "" && d.Spec.PreferredRack != w.Rack {
		c += weightFar
	}
	if d.Spec.SameRack && len(d.TasksPerRack) > 0 && d.TasksPerRack[w.Rack] == 0 {
		c += weightFar
	}
	if d.Spec.BestEffort {
		c += weightMix * float64(w.LatencySensitiveTasks)
	}
	if d.Spec.LatencyTarget > 0 {
		c += weightMix * float64(w.BestEffortTasks)
	}
	if d.Spec.LongRunning && w.MaintenanceDue {
		c += weightDue
	}
	if d.Spec.LongRunning {
		c += weightRack * float64(d.TasksPerRack[w.Rack])
	}
	free := 1.0
	if w.Capacity.CPU > 0 {
		free = float64(w.Free.CPU) / float64(w.Capacity.CPU)
	}
	return c + free
}

// placeGang assigns all tasks of a gang or none. Tasks that should share a rack try each rack first.
func placeGang(d *PendingStep, workers []*Worker) []Assignment {
	if d.Spec.SameRack {
		for _, rack := range racks(workers) {
			if plan := placeAll(d, onRack(workers, rack)); plan != nil {
				return plan
			}
		}
	}
	return placeAll(d, workers)
}

func racks(workers []*Worker) []string {
	var names []string
	for _, w := range workers {
		if !slices.Contains(names, w.Rack) {
			names = append(names, w.Rack)
		}
	}
	return names
}

func onRack(workers []*Worker, rack string) []*Worker {
	var list []*Worker
	for _, w := range workers {
		if w.Rack == rack {
			list = append(list, w)
		}
	}
	return list
}

func placeAll(d *PendingStep, workers []*Worker) []Assignment {
	before := make([]Worker, len(workers))
	for i, w := range workers {
		before[i] = *w
	}
	held, inRacks := d.TasksPerWorker, d.TasksPerRack
	d.TasksPerWorker, d.TasksPerRack = maps.Clone(held), maps.Clone(inRacks)
	var plan []Assignment
	for _, index := range d.Tasks {
		w := choose(d, index, workers)
		if w == nil {
			for i, saved := range before {
				*workers[i] = saved
			}
			d.TasksPerWorker, d.TasksPerRack = held, inRacks
			return nil
		}
		take(d, w)
		plan = append(plan, Assignment{Pending: d, Task: index, Worker: w.ID})
	}
	return plan
}
