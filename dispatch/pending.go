package dispatch

import (
	"time"

	"hibiscuslane.example/hibiscuslane/balance"
	"hibiscuslane.example/hibiscuslane/pool"
	"hibiscuslane.example/hibiscuslane/schedule"
	"hibiscuslane.example/hibiscuslane/task"
	"hibiscuslane.example/hibiscuslane/worker"
)

// pendingSteps returns the steps of all open jobs that have waiting tasks, by pool. It also requests missing
// tickets (see addTickets).
func (d *Dispatcher) pendingSteps(now time.Time) map[pool.Name][]*schedule.PendingStep {
	pending := map[pool.Name][]*schedule.PendingStep{}
	for _, j := range d.openJobs {
		if steps := d.pendingStepsOf(j, now); len(steps) > 0 {
			pending[j.Pool] = append(pending[j.Pool], steps...)
		}
	}
	return pending
}

// pendingStepsOf returns the steps of a job that have waiting tasks. They are kept until the job changes, because in an
// overload thousands of jobs wait and few of them change between two cycles.
func (d *Dispatcher) pendingStepsOf(j *job, now time.Time) []*schedule.PendingStep {
	if j.pendingKnown {
		return j.pending
	}
	j.pending = nil
	j.pendingKnown = j.Spec.RepeatCount == 0 && !j.queue.NeedsAdvice // these also change with time and with tickets
	d.addPendingSteps(j, now)
	return j.pending
}

// forgetPendingSteps makes the next cycle compute the waiting tasks of the job again. It must be called after each
// change of what pendingStep reads.
func (j *job) forgetPendingSteps() { j.pending, j.pendingKnown = nil, false }

// addPendingSteps adds the steps of a job that have waiting tasks to its pending steps.
func (d *Dispatcher) addPendingSteps(j *job, now time.Time) {
	if !j.stored && j.PartCount() > 0 {
		return // the first write must be small, since it may be withdrawn
	}
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
				j.pending = append(j.pending, pending)
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
	pending := &schedule.PendingStep{Job: j.ID, Occurrence: number, Step: step, Spec: spec, Priority: j.queue.Priority, Team: j.Team, Kind: d.interference.kindOf(j, step)}
	for i := range progress.Tasks {
		t := &progress.Tasks[i]
		if len(t.Placements) > 0 {
			d.countPlacedTasks(j, pending, t)
			continue
		}
		if t.Done {
			continue
		}
		if now.Before(t.NotBefore) {
			j.pendingKnown = false
			continue
		}
		pending.Tasks = append(pending.Tasks, i)
		if t.Crashes > 0 {
			if pending.CrashSuspects == nil {
				pending.CrashSuspects = map[int]bool{}
			}
			pending.CrashSuspects[i] = d.mustRunApart(t, now)
			j.pendingKnown, d.hasCrashSuspects = false, true
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
		d.addTickets(pending, j, now)
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
func (d *Dispatcher) countPlacedTasks(j *job, pending *schedule.PendingStep, t *task.Task) {
	if pending.TasksPerWorker == nil {
		pending.TasksPerWorker = map[worker.ID]int{}
		pending.TasksPerRack = map[string]int{}
	}
	for _, placement := range t.Placements {
		id := worker.ID(placement.Worker)
		pending.TasksPerWorker[id]++
		s := d.workers[id]
		if s == nil {
			j.pendingKnown = false // the rack is known once the worker is registered
			continue
		}
		pending.TasksPerRack[s.rack]++
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
	pending.RemainingWork = remainingWork(j, occurrence)
}

// remainingWork returns the estimated work of the tasks of an occurrence that have not been placed.
func remainingWork(j *job, occurrence *task.Occurrence) balance.Amount {
	var work balance.Amount
	for i := range occurrence.Steps {
		waiting := 0
		for k := range occurrence.Steps[i].Tasks {
			if t := &occurrence.Steps[i].Tasks[k]; !t.Done && len(t.Placements) == 0 {
				waiting++
			}
		}
		work = work.Add(taskWork(&j.Spec.Steps[i]).Scale(float64(waiting)))
	}
	return work
}

// allowedTime returns how long a job with the given critical path, or one occurrence of it, may take to count as in
// time.
func (j *job) allowedTime(path time.Duration) time.Duration {
	return time.Duration(j.queue.MaxStretch*float64(path)) + j.queue.LatencyAllowance
}
