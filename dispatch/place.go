package dispatch

import (
	"strings"
	"time"

	"hibiscuslane.example/hibiscuslane/pool"
	"hibiscuslane.example/hibiscuslane/schedule"
	"hibiscuslane.example/hibiscuslane/task"
	"hibiscuslane.example/hibiscuslane/worker"
)

const (
	// lateFactor bounds lateness: a job that takes more than this many times its objective earns nothing.
	lateFactor = 3
)

// place starts waiting tasks on workers with room. The orders are sent once their places are stored.
func (d *Dispatcher) place() {
	if d.ledger == nil || d.config == nil || d.closing {
		return
	}
	now := d.clock.Now()
	for name, list := range d.waiting(now) {
		workers := d.workers(name, now)
		if len(workers) == 0 {
			continue
		}
		for _, a := range schedule.Plan(now, workers, list) {
			d.assign(a)
		}
	}
}

// waiting returns the waiting tasks by pool.
func (d *Dispatcher) waiting(now time.Time) map[pool.Name][]*schedule.PendingStep {
	demands := map[pool.Name][]*schedule.PendingStep{}
	for _, j := range d.open {
		d.demands(j, now, demands)
	}
	return demands
}

// demands adds the waiting tasks of a job to those of its pool.
func (d *Dispatcher) demands(j *job, now time.Time, into map[pool.Name][]*schedule.PendingStep) {
	for k := range j.Spec.OccurrenceCount() {
		if j.Spec.RepeatCount > 0 && now.Before(j.Spec.DueTime(k)) {
			break
		}
		pass := j.Occurrence(k)
		if pass.OpenTasks == 0 {
			continue
		}
		for i := range pass.Steps {
			if demand := d.demand(j, k, i, now); demand != nil {
				into[j.Pool] = append(into[j.Pool], demand)
			}
		}
	}
}

// demand returns the waiting tasks of a step, or nil if there are none.
func (d *Dispatcher) demand(j *job, k, step int, now time.Time) *schedule.PendingStep {
	pass := j.Occurrence(k)
	progress := &pass.Steps[step]
	spec := j.Spec.Steps[step]
	if progress.DoneCount == spec.Count || !j.IsStepReady(k, step, now) {
		return nil
	}
	demand := &schedule.PendingStep{Job: j.ID, Occurrence: k, Step: step, Spec: spec, Priority: j.queue.Priority}
	for i := range progress.Tasks {
		t := &progress.Tasks[i]
		if len(t.Placements) > 0 {
			d.count(demand, t)
			continue
		}
		if t.Done || now.Before(t.NotBefore) {
			continue
		}
		demand.Tasks = append(demand.Tasks, i)
		if len(t.FailedWorkers) > 0 {
			if demand.FailedWorkers == nil {
				demand.FailedWorkers = map[int][]string{}
			}
			demand.FailedWorkers[i] = t.FailedWorkers
		}
	}
	if len(demand.Tasks) == 0 || spec.Gang && len(demand.Tasks) < spec.Count {
		return nil
	}
	if j.queue.NeedsAdvice {
		d.advise(demand, j, stepName(task.Key{Job: j.ID, Occurrence: k, Step: step}), now)
	}
	d.objective(j, k, pass, demand)
	return demand
}

// count adds the runs of a task to those that the step has on each worker.
func (d *Dispatcher) count(demand *schedule.PendingStep, t *task.Task) {
	if demand.TasksPerWorker == nil {
		demand.TasksPerWorker = map[worker.ID]int{}
		demand.TasksPerRack = map[string]int{}
	}
	for _, place := range t.Placements {
		id := worker.ID(place.Worker)
		demand.TasksPerWorker[id]++
		if s := d.stations[id]; s != nil {
			demand.TasksPerRack[s.rack]++
		}
	}
}

// objective sets the times that order a demand.
func (d *Dispatcher) objective(j *job, k int, pass *task.Occurrence, demand *schedule.PendingStep) {
	begin := j.AcceptedAt
	if j.Spec.RepeatCount > 0 {
		begin = j.Spec.DueTime(k)
	}
	allowed := time.Duration(j.queue.MaxStretch*float64(j.CriticalPath(nil))) + j.queue.LatencyAllowance
	demand.SoftDeadline = begin.Add(allowed)
	demand.HardDeadline = begin.Add(lateFactor * allowed)
	demand.RemainingPath = j.CriticalPath(pass)
}

// workers returns the workers of a pool that may take tasks.
func (d *Dispatcher) workers(name pool.Name, now time.Time) []*schedule.Worker {
	var list []*schedule.Worker
	for _, s := range d.stations {
		if s.listing.Pool != name || !d.usable(s) {
			continue
		}
		w := &schedule.Worker{
			ID: s.id, Rack: s.rack, Labels: s.listing.Labels, Capacity: s.listing.Capacity,
			Free: s.listing.Capacity.Sub(s.used), Draining: s.leaving, MaintenanceDue: d.upkeep.due(s.listing.Machine), Suspect: now.Before(s.suspect),
		}
		for _, r := range s.runs {
			if r.step.LatencyTarget > 0 {
				w.LatencySensitiveTasks++
			}
			if r.step.BestEffort {
				w.BestEffortTasks++
			}
		}
		list = append(list, w)
	}
	return list
}

// usable reports whether a worker takes tasks.
func (d *Dispatcher) usable(s *station) bool {
	l, listed := d.listed[s.id]
	return listed && !s.ended && s.strays == 0 && l.State == worker.StateReady && s.fenced && s.lease.HasClock() && s.silent.IsZero() && !d.upkeep.busy(l.Machine)
}

// assign stores the place of a task and orders its start once it is stored.
func (d *Dispatcher) assign(a schedule.Assignment) {
	j := d.jobs[a.Pending.Job]
	s := d.stations[a.Worker]
	key := task.Key{Job: j.ID, Occurrence: a.Pending.Occurrence, Step: a.Pending.Step, Task: a.Task}
	t := j.Task(key)
	step := &j.Spec.Steps[key.Step]
	number := max(t.LastRun+1, d.firstRun())
	if step.Gang {
		number = d.gangRun(j, key)
	}
	r := &run{
		id: runID{key: key, run: number}, job: j, worker: s.id, machine: s.listing.Machine, station: s, birth: s.birth, step: step,
		demand: step.Reservation(), phase: phaseStored, percent: 100, ordered: d.clock.Now(),
	}
	t.LastRun = r.id.run
	t.Placements = append(t.Placements, task.Placement{Worker: string(s.id), Incarnation: int64(s.birth), Run: r.id.run, Machine: string(s.listing.Machine)})
	d.runs[r.id] = r
	s.hold(r)
	j.running++
	d.log.Info(eventPlace, "task", key.String(), "run", r.id.run, "worker", s.id, "free", s.listing.Capacity.Sub(s.used).CPU, "priority", j.queue.Priority)
	d.mark(j, func(err error) {
		if err != nil {
			return // the tenure is over
		}
		d.start(r)
	})
}

// stepName returns the name of a step in questions to the advice service.
func stepName(key task.Key) string {
	name := key.String()
	return name[:strings.LastIndexByte(name, '.')]
}

// gangRun returns the run number of a gang: the same for all members.
func (d *Dispatcher) gangRun(j *job, key task.Key) task.RunNumber {
	number := d.firstRun()
	for i := range j.Spec.Steps[key.Step].Count {
		key.Task = i
		t := j.Task(key)
		if len(t.Placements) > 0 {
			return t.LastRun // the member that was assigned first has set it
		}
		number = max(number, t.LastRun+1)
	}
	return number
}

// check handles what is due without an event: leases that have expired and workers that are gone.
func (d *Dispatcher) check() {
	now := d.clock.Now()
	d.busy = 0
	for _, s := range d.stations {
		if len(s.runs) > 0 {
			d.busy++
		}
		if !s.silent.IsZero() && len(s.runs) > 0 && d.expired(s, now) {
			d.lapse(s, now)
		}
		_, listed := d.listed[s.id]
		if !listed && len(s.runs) == 0 && s.stored == s.listedEnd {
			s.cancel()
			delete(d.stations, s.id)
			continue
		}
		for _, r := range s.runs {
			d.overdue(r, now)
		}
	}
	d.unreached(now)
	if d.ledger != nil {
		d.drop(now)
	}
}

// expired reports whether nothing can run any more on a silent worker. One of which only the life is known
// may still carry out an order with a deadline of an earlier life, which it shortens to its longest lease.
func (d *Dispatcher) expired(s *station, now time.Time) bool {
	if s.lease.HasClock() {
		return s.lease.IsExpired(now)
	}
	return now.Sub(s.silent) > d.bounds.MaxLease+expiry
}

// overdue repeats stops.
func (d *Dispatcher) overdue(r *run, now time.Time) {
	if r.phase == phaseStopping && r.voided.IsZero() {
		d.repeatStop(r, now)
	}
}

// unreached gives up runs of earlier owners on workers that this one has not reached, once their leases
// have certainly expired. The earlier owner may have renewed them until its own ownership ended.
func (d *Dispatcher) unreached(now time.Time) {
	if now.Sub(d.began) < d.foreign {
		return
	}
	for _, r := range d.runs {
		if r.phase == phaseDoubt && r.id.run < d.firstRun() && (r.station == nil || !r.station.fenced) {
			d.vanished(r, worker.CauseLeaseExpired, now)
		}
	}
}
