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
	Capacity task.Room
	// Free is the capacity that no task has reserved.
	Free task.Room
	// Serving is the number of its tasks that have a bound on response times.
	Serving int
	// Filling is the number of its tasks that use the processor time of others.
	Filling int
	// Leaving marks a worker whose machine is to be emptied; it takes tasks last, and none that last.
	Leaving bool
	// Due marks a worker whose machine is to be maintained later; it takes tasks that last after others.
	Due bool
	// Suspect marks a worker on which tasks have failed lately; it takes tasks last.
	Suspect bool
}

// Demand is the waiting tasks of one step of one occurrence.
type Demand struct {
	Job              task.JobID
	Occurrence, Step int
	// Spec is the step.
	Spec task.Step
	// Tasks are the indexes that wait. The whole of a gang waits, or none of it.
	Tasks []int
	// Avoid holds the workers on which a task has failed, by index of the task.
	Avoid map[int][]string
	// Held is the number of tasks of the step on each worker.
	Held map[worker.ID]int
	// Racks is the number of tasks of the step on each rack.
	Racks map[string]int
	// Priority orders demands; 0 comes first.
	Priority int
	// Due is when the job must be complete to count as in time; Left the work that its longest chain still has.
	Due  time.Time
	Left time.Duration
	// Limit is the time after which completion counts for nothing.
	Limit time.Time
	// Tickets are the permissions of the advice service by worker; nil if the queue needs none.
	Tickets map[worker.ID]string
}

// Assignment is a task that is to start on a worker.
type Assignment struct {
	Demand *Demand
	Task   int
	Worker worker.ID
}

// urgency groups demands: each group goes before the next.
func (d *Demand) urgency(now time.Time) int {
	end := now.Add(d.Left)
	switch {
	case d.Spec.Lasting:
		return 0
	case !end.After(d.Due):
		return 1
	case !end.After(d.Limit):
		return 2
	}
	return 3
}

// Order sorts demands. Under a burst above capacity not all jobs can be in time: those that still can go
// before those that can only be late, and the least slack goes first, so that capacity is not spent on
// jobs that are late either way.
func Order(demands []*Demand, now time.Time) {
	sort.SliceStable(demands, func(i, j int) bool {
		a, b := demands[i], demands[j]
		if ua, ub := a.urgency(now), b.urgency(now); ua != ub {
			return ua < ub
		}
		if a.Priority != b.Priority {
			return a.Priority < b.Priority
		}
		return a.Due.Add(-a.Left).Before(b.Due.Add(-b.Left))
	})
}

// Plan assigns waiting tasks to workers, in the order of Order. It reduces Free of the workers.
func Plan(now time.Time, workers []*Worker, demands []*Demand) []Assignment {
	Order(demands, now)
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
			plan = append(plan, Assignment{Demand: d, Task: index, Worker: w.ID})
		}
	}
	return plan
}

func take(d *Demand, w *Worker) {
	w.Free = w.Free.Sub(d.Spec.Demand())
	if d.Spec.Fills {
		w.Filling++
	}
	if d.Spec.Target > 0 {
		w.Serving++
	}
	if d.Held == nil {
		d.Held = map[worker.ID]int{}
	}
	if d.Racks == nil {
		d.Racks = map[string]int{}
	}
	d.Held[w.ID]++
	d.Racks[w.Rack]++
}

// allowed reports whether a task of the demand may start on a worker.
func allowed(d *Demand, w *Worker) bool {
	if !w.Free.Fits(d.Spec.Demand()) || w.Leaving && d.Spec.Lasting {
		return false
	}
	if d.Spec.Label != "" && !slices.Contains(w.Labels, d.Spec.Label) {
		return false
	}
	if d.Spec.Spread > 0 && d.Held[w.ID] >= d.Spec.Spread {
		return false
	}
	if d.Tickets != nil {
		_, ok := d.Tickets[w.ID]
		return ok
	}
	return true
}

// choose returns the worker for a task, or nil if none may take it.
func choose(d *Demand, index int, workers []*Worker) *Worker {
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
func cost(d *Demand, index int, w *Worker) float64 {
	var c float64
	if slices.Contains(d.Avoid[index], string(w.ID)) {
		c += weightFailed
	}
	if w.Suspect {
		c += weightSuspect
	}
	if w.Leaving {
		c += weightLeaving
	}
	if d.Spec.Rack != "" && d.Spec.Rack != w.Rack {
		c += weightFar
	}
	if d.Spec.SameRack && len(d.Racks) > 0 && d.Racks[w.Rack] == 0 {
		c += weightFar
	}
	if d.Spec.Fills {
		c += weightMix * float64(w.Serving)
	}
	if d.Spec.Target > 0 {
		c += weightMix * float64(w.Filling)
	}
	if d.Spec.Lasting && w.Due {
		c += weightDue
	}
	if d.Spec.Lasting {
		c += weightRack * float64(d.Racks[w.Rack])
	}
	free := 1.0
	if w.Capacity.CPU > 0 {
		free = float64(w.Free.CPU) / float64(w.Capacity.CPU)
	}
	return c + free
}

// placeGang assigns all tasks of a gang or none. Tasks that should share a rack try each rack first.
func placeGang(d *Demand, workers []*Worker) []Assignment {
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

func placeAll(d *Demand, workers []*Worker) []Assignment {
	before := make([]Worker, len(workers))
	for i, w := range workers {
		before[i] = *w
	}
	held, inRacks := d.Held, d.Racks
	d.Held, d.Racks = maps.Clone(held), maps.Clone(inRacks)
	var plan []Assignment
	for _, index := range d.Tasks {
		w := choose(d, index, workers)
		if w == nil {
			for i, saved := range before {
				*workers[i] = saved
			}
			d.Held, d.Racks = held, inRacks
			return nil
		}
		take(d, w)
		plan = append(plan, Assignment{Demand: d, Task: index, Worker: w.ID})
	}
	return plan
}
