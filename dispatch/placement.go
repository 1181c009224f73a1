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
	// hardDeadlineFactor is the multiple of the time allowed for a job after which completing it has no value.
	hardDeadlineFactor = 3
)

// placeTasks assigns waiting tasks to workers with free capacity. The start orders are sent once the
// placements are stored.
func (d *Dispatcher) placeTasks() {
	if d.ledger == nil || d.config == nil || d.draining {
		return
	}
	now := d.clock.Now()
	for name, pending := range d.pendingSteps(now) {
		workers := d.availableWorkers(name, now)
		if len(workers) == 0 {
			continue
		}
		for _, a := range schedule.Plan(now, workers, pending) {
			d.assignTask(a)
		}
	}
}

// pendingSteps returns the steps of all open jobs that have waiting tasks, by pool. It also requests missing
// tickets (see addTickets).
func (d *Dispatcher) pendingSteps(now time.Time) map[pool.Name][]*schedule.PendingStep {
	pending := map[pool.Name][]*schedule.PendingStep{}
	for _, j := range d.openJobs {
		d.addPendingSteps(j, now, pending)
	}
	return pending
}

// addPendingSteps adds the steps of a job that have waiting tasks to those of its pool.
func (d *Dispatcher) addPendingSteps(j *job, now time.Time, byPool map[pool.Name][]*schedule.PendingStep) {
	for k := range j.Spec.OccurrenceCount() {
		if j.Spec.RepeatCount > 0 && now.Before(j.Spec.DueTime(k)) {
			break
		}
		occurrence := j.Occurrence(k)
		if occurrence.OpenTasks == 0 {
			continue
		}
		for i := range occurrence.Steps {
			if pending := d.pendingStep(j, k, i, now); pending != nil {
				byPool[j.Pool] = append(byPool[j.Pool], pending)
			}
		}
	}
}

// pendingStep returns the waiting tasks of a step of the occurrence with the given number. It returns nil if
// none may start now; a gang may start only while all its tasks wait.
func (d *Dispatcher) pendingStep(j *job, number, step int, now time.Time) *schedule.PendingStep {
	occurrence := j.Occurrence(number)
	progress := &occurrence.Steps[step]
	spec := j.Spec.Steps[step]
	if progress.DoneCount == spec.Count || !j.IsStepReady(number, step, now) {
		return nil
	}
	pending := &schedule.PendingStep{Job: j.ID, Occurrence: number, Step: step, Spec: spec, Priority: j.queue.Priority}
	for i := range progress.Tasks {
		t := &progress.Tasks[i]
		if len(t.Placements) > 0 {
			d.countPlacedTasks(pending, t)
			continue
		}
		if t.Done || now.Before(t.NotBefore) {
			continue
		}
		pending.Tasks = append(pending.Tasks, i)
		if t.Crashes > 0 {
			if pending.CrashSuspects == nil {
				pending.CrashSuspects = map[int]bool{}
			}
			pending.CrashSuspects[i] = d.mustRunApart(t, now)
		}
		if len(t.FailedWorkers) > 0 {
			if pending.FailedWorkers == nil {
				pending.FailedWorkers = map[int][]string{}
			}
			pending.FailedWorkers[i] = t.FailedWorkers
		}
	}
	if len(pending.Tasks) == 0 || spec.Gang && len(pending.Tasks) < spec.Count {
		return nil
	}
	if j.queue.NeedsAdvice {
		d.addTickets(pending, j, stepName(task.Key{Job: j.ID, Occurrence: number, Step: step}), now)
	}
	pending.HasStarted = hasStarted(occurrence)
	d.setDeadlines(j, number, occurrence, pending)
	return pending
}

// hasStarted reports whether a task of the occurrence has been placed before.
func hasStarted(occurrence *task.Occurrence) bool {
	for i := range occurrence.Steps {
		for k := range occurrence.Steps[i].Tasks {
			if t := &occurrence.Steps[i].Tasks[k]; t.LastRun > 0 || t.Done {
				return true
			}
		}
	}
	return false
}

// countPlacedTasks adds the placements of a task to the number of tasks that the step has on each worker
// and rack.
func (d *Dispatcher) countPlacedTasks(pending *schedule.PendingStep, t *task.Task) {
	if pending.TasksPerWorker == nil {
		pending.TasksPerWorker = map[worker.ID]int{}
		pending.TasksPerRack = map[string]int{}
	}
	for _, placement := range t.Placements {
		id := worker.ID(placement.Worker)
		pending.TasksPerWorker[id]++
		if s := d.workers[id]; s != nil {
			pending.TasksPerRack[s.rack]++
		}
	}
}

// setDeadlines sets the deadlines, the remaining path and the initial slack, from which the order of pending steps
// follows.
func (d *Dispatcher) setDeadlines(j *job, number int, occurrence *task.Occurrence, pending *schedule.PendingStep) {
	start := j.AcceptedAt
	if j.Spec.RepeatCount > 0 {
		start = j.Spec.DueTime(number)
	}
	path := j.CriticalPath(nil)
	allowed := j.allowedTime(path)
	pending.SoftDeadline = start.Add(allowed)
	pending.HardDeadline = start.Add(hardDeadlineFactor * allowed)
	pending.RemainingPath = j.CriticalPath(occurrence)
	pending.InitialSlack = allowed - path
}

// allowedTime returns how long a job with the given critical path, or one occurrence of it, may take to count as in
// time.
func (j *job) allowedTime(path time.Duration) time.Duration {
	return time.Duration(j.queue.MaxStretch*float64(path)) + j.queue.LatencyAllowance
}

// availableWorkers returns the workers of a pool that can take tasks.
func (d *Dispatcher) availableWorkers(name pool.Name, now time.Time) []*schedule.Worker {
	var workers []*schedule.Worker
	for _, s := range d.workers {
		if s.registration.Pool != name || !d.canTakeTasks(s) {
			continue
		}
		w := &schedule.Worker{
			ID: s.id, Rack: s.rack, Labels: s.registration.Labels, Capacity: s.registration.Capacity,
			Free: s.registration.Capacity.Sub(s.reserved), Draining: s.drainingForMaintenance, MaintenanceDue: d.maintenance.isMaintenanceDue(s.registration.Machine), Suspect: now.Before(s.suspectUntil),
		}
		w.Tasks = len(s.runs)
		for _, r := range s.runs {
			if r.task().Crashes > 0 {
				w.CrashSuspects++
			}
			if r.step.LatencyTarget > 0 {
				w.LatencySensitiveTasks++
			}
			if r.step.BestEffort {
				w.BestEffortTasks++
			}
		}
		workers = append(workers, w)
	}
	return workers
}

// canTakeTasks reports whether tasks can be placed on a worker: it is ready and reachable, all its runs are
// known, and no order for its machine is pending.
func (d *Dispatcher) canTakeTasks(s *workerState) bool {
	registration, listed := d.registrations[s.id]
	return listed && !s.endedByOrder && s.orphanedRuns == 0 && registration.State == worker.StateReady && s.tokenAcknowledged && s.lease.HasClock() && s.unreachableSince.IsZero() && !d.maintenance.hasPendingOrder(registration.Machine)
}

// assignTask stores the placement of a task and starts the run once it is stored.
func (d *Dispatcher) assignTask(a schedule.Assignment) {
	j := d.jobs[a.Pending.Job]
	s := d.workers[a.Worker]
	key := task.Key{Job: j.ID, Occurrence: a.Pending.Occurrence, Step: a.Pending.Step, Task: a.Task}
	t := j.Task(key)
	step := &j.Spec.Steps[key.Step]
	runNumber := max(t.LastRun+1, d.firstRunNumber())
	if step.Gang {
		runNumber = d.gangRunNumber(j, key)
	}
	r := &run{
		id: runID{key: key, number: runNumber}, job: j, workerID: s.id, machine: s.registration.Machine, worker: s, incarnation: s.incarnation, step: step,
		reservation: step.Reservation(), phase: phasePlanned, speedPercent: 100, startSentAt: d.clock.Now(),
	}
	t.LastRun = r.id.number
	t.Placements = append(t.Placements, task.Placement{Worker: string(s.id), Incarnation: int64(s.incarnation), Run: r.id.number, Machine: string(s.registration.Machine)})
	d.runs[r.id] = r
	s.reserve(r)
	j.activeRuns++
	d.log.Info(eventTaskPlaced, "task", key.String(), "run", r.id.number, "worker", s.id, "free", s.registration.Capacity.Sub(s.reserved).CPU, "priority", j.queue.Priority, "slack", a.Pending.Slack(r.startSentAt))
	d.markDirty(j, func(err error) {
		if err != nil {
			return // the term has ended
		}
		d.enqueueStart(r)
	})
}

// stepName returns the name of a step in requests to the advice service.
func stepName(key task.Key) string {
	name := key.String()
	return name[:strings.LastIndexByte(name, '.')]
}

// gangRunNumber returns the run number that all members of a gang share.
func (d *Dispatcher) gangRunNumber(j *job, key task.Key) task.RunNumber {
	runNumber := d.firstRunNumber()
	for i := range j.Spec.Steps[key.Step].Count {
		key.Task = i
		t := j.Task(key)
		if len(t.Placements) > 0 {
			return t.LastRun // the member that was placed first has set it
		}
		runNumber = max(runNumber, t.LastRun+1)
	}
	return runNumber
}

// checkTimeouts handles what no event triggers: expired leases, removed workers, stops to repeat, inherited
// runs and jobs whose retention has ended. It also counts the busy workers.
func (d *Dispatcher) checkTimeouts() {
	now := d.clock.Now()
	d.busyWorkers = 0
	for _, s := range d.workers {
		if len(s.runs) > 0 {
			d.busyWorkers++
		}
		if !s.unreachableSince.IsZero() && len(s.runs) > 0 && d.hasLeaseExpired(s, now) {
			d.expireRuns(s, now)
		}
		_, listed := d.registrations[s.id]
		if !listed && len(s.runs) == 0 && s.storedEnd == s.reportedEnd {
			s.cancel()
			delete(d.workers, s.id)
			continue
		}
		for _, r := range s.runs {
			d.retryStop(r, now)
		}
	}
	d.expireInheritedRuns(now)
	if d.ledger != nil {
		d.dropEndedJobs(now)
	}
}

// retryStop repeats a stop that was not confirmed.
func (d *Dispatcher) retryStop(r *run, now time.Time) {
	if r.phase == phaseStopping && r.stopConfirmedAt.IsZero() {
		d.sendStop(r, now)
	}
}
