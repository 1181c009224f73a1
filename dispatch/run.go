package dispatch

import (
	"context"
	"slices"
	"time"

	"hibiscuslane.example/hibiscuslane/platform"
	"hibiscuslane.example/hibiscuslane/pool"
	"hibiscuslane.example/hibiscuslane/task"
	"hibiscuslane.example/hibiscuslane/worker"
)

// runPhase is the state of a run as the owner knows it.
type runPhase string

// Phases of a run.
const (
	phasePlanned     runPhase = "stored"   // the start order waits for the placement to be stored, or is queued
	phaseStarting    runPhase = "ordered"  // the start order was sent
	phaseUnconfirmed runPhase = "doubt"    // the start order was not answered or an earlier owner sent it; it may still take effect
	phaseRunning     runPhase = "running"  // the worker has confirmed the start
	phaseStopping    runPhase = "stopping" // the run is being stopped
)

const (
	// startConfirmTimeout is how long a run whose start order was not answered may be missing from reports
	// before it is stopped.
	startConfirmTimeout = 250 * time.Millisecond
	// stopRetryInterval is the least time after which an unconfirmed stop is sent again.
	stopRetryInterval = 500 * time.Millisecond
	// refusedRetryDelay is how long a task waits after a worker refused to start it.
	refusedRetryDelay = 150 * time.Millisecond
	// maxFailedWorkers limits how many of the workers on which a task has failed are remembered, the latest ones.
	maxFailedWorkers = 4
)

// run is one execution of a task on a worker.
type run struct {
	id       runID
	job      *job
	workerID worker.ID
	// worker is nil while the worker is not registered.
	worker *workerState
	// incarnation is the worker's incarnation when the run was placed, or that which has last listed it.
	incarnation worker.Incarnation
	machine     worker.MachineID
	step        *task.Step
	reservation task.Resources
	phase       runPhase
	// startSentAt is when the start order was sent or, if an earlier owner sent it, when this term began; in
	// phasePlanned, when the run was placed. startConfirmedAt is when the start was confirmed.
	startSentAt, startConfirmedAt time.Time
	// placedAt is when this owner placed the run; zero if an earlier one did.
	placedAt time.Time
	// startBrokenOff is set if the worker ended the connection instead of answering the start order.
	startBrokenOff bool
	stop           stopState
	// speedPercent is the share of full speed that was last ordered, lastMeasurement the worker.Run.Measurement
	// that the worker last reported. speedPending is set while that order has no result.
	speedPercent    int
	speedPending    bool
	lastMeasurement float64
	// wasSlowed is set once less than full speed was ordered for the run in this term.
	wasSlowed bool
	// listedBy is the incarnation of the worker that has listed the run in a report; zero if none has.
	listedBy worker.Incarnation
	// holds is the number of causes to count the run for its team, and pool the pool that it counts in (see holdRun).
	holds int
	pool  pool.Name
	// startInFlight is set from the sending of the start order until its result.
	startInFlight bool
	// fullSpeedSince is when the worker first reported the run at full speed; zero while it runs slower.
	fullSpeedSince time.Time
}

// stopState is the progress of the orders to stop a run.
type stopState struct {
	// pending is set while an order is queued or has no result.
	pending bool
	// sentAt is when an order was last sent, confirmedAt when the worker confirmed one. After that, a delayed start order
	// can no longer start the run.
	sentAt, confirmedAt time.Time
}

// isDue reports whether a stop may be sent: none is pending, and the last one was sent some time ago. An order for each report
// would delay those for other runs.
func (s *stopState) isDue(now time.Time) bool {
	return !s.pending && now.Sub(s.sentAt) >= stopRetryInterval
}

// task returns the task that the run executes.
func (r *run) task() *task.Task { return r.job.Task(r.id.key) }

// restoreRun adds a run that an earlier owner ordered. Whether it is running is known once the worker has
// answered.
func (d *Dispatcher) restoreRun(j *job, key task.Key, placement task.Placement) {
	step := &j.Spec.Steps[key.Step]
	r := &run{
		id: runID{key: key, number: placement.Run}, job: j, workerID: worker.ID(placement.Worker), incarnation: worker.Incarnation(placement.Incarnation), machine: worker.MachineID(placement.Machine),
		step: step, reservation: step.Reservation(), phase: phaseUnconfirmed, startSentAt: d.termStart, speedPercent: 100,
	}
	d.runs[r.id] = r
	d.holdRun(r)
	j.activeRuns++
	if d.inheritedRuns == nil {
		d.inheritedRuns = map[worker.MachineID][]*run{}
	}
	d.inheritedRuns[r.machine] = append(d.inheritedRuns[r.machine], r)
	d.hasCrashSuspects = d.hasCrashSuspects || r.task().Crashes > 0
	if s := d.workers[r.workerID]; s != nil {
		r.worker = s
		s.reserve(r)
	}
}

// enqueueStart queues the start order of a run whose placement is stored. It removes the run if the worker takes no orders or
// the job has ended.
func (d *Dispatcher) enqueueStart(r *run) {
	s := r.worker
	if r.phase != phasePlanned || d.runs[r.id] != r {
		return // removed while its placement was being stored
	}
	if s == nil || !s.tokenAcknowledged || !s.lease.HasClock() || r.job.Outcome != "" {
		d.removeRun(r)
		return
	}
	d.orderStart(r)
}

// prepareStart returns the start order of a run and records that it is sent. If the run must no longer be started, it removes
// the run and returns false.
func (d *Dispatcher) prepareStart(r *run) (worker.StartOrder, bool) {
	s := r.worker
	if d.runs[r.id] != r || r.phase != phasePlanned || s == nil || r.incarnation != s.incarnation || r.job.Outcome != "" || d.ctx.Err() != nil || !d.mayOrder() || !d.canTakeTasks(s) || s.isOverCapacity() {
		d.removeRun(r)
		return worker.StartOrder{}, false
	}
	now := d.clock.Now()
	r.phase, r.startSentAt, r.startInFlight = phaseStarting, now, true
	d.holdRun(r)
	return worker.StartOrder{
		Key: r.id.key, Run: r.id.number, Payload: r.job.Spec.Payload, Checkpoint: r.job.StartCheckpoint(r.id.key, r.id.number),
		Deadline: s.lease.Grant(now, min(leaseDuration, d.timing.MaxLease)), FencingToken: worker.FencingToken(d.epoch),
		Ticket: d.ticketForStart(r),
	}, true
}

// sendStart sends the start order, or removes the run if it must no longer be started. It is called from
// sendOrders.
func (d *Dispatcher) sendStart(ctx context.Context, r *run) {
	d.mu.Lock()
	s := r.worker
	if ctx.Err() != nil {
		d.removeRun(r)
		d.mu.Unlock()
		return
	}
	order, ok := d.prepareStart(r)
	if !ok {
		d.mu.Unlock()
		return
	}
	client := s.client
	d.mu.Unlock()
	clock, err := client.StartRun(ctx, order)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.handleStartResult(r, s, clock, err)
}

// handleStartResult processes the result of a start order, and the worker's clock that came with it, if it is not zero.
func (d *Dispatcher) handleStartResult(r *run, s *workerState, clock worker.Clock, err error) {
	defer d.releaseStartOrder(r)
	now := d.clock.Now()
	d.checkClock(r, s, clock, now)
	refusal, refused := platform.WorkerRefusal(err)
	switch {
	case refused:
	case platform.IsNotSent(err):
		refusal, refused = worker.RefusedUnreachable, true
		s.runsListedAt = time.Time{} // the worker is asked whether it has restarted
		s.requestRenewal()
	case err != nil || d.runs[r.id] != r:
		d.watchForLateStart(r, s, r.incarnation, now)
	}
	if d.runs[r.id] != r || r.phase != phaseStarting {
		return
	}
	if err == nil {
		d.confirmStart(r, now)
		if r.job.Outcome != "" || r.task().Done {
			d.stopRun(r, now) // an earlier stop may be lost
		}
		s.requestRenewal()
		return
	}
	if !refused {
		d.counters.UnconfirmedStarts++
		d.log.Info(eventStartUnconfirmed, "task", r.id.key.String(), "run", r.id.number, "worker", s.id, "birth", r.incarnation, "error", err)
		r.phase, r.startBrokenOff = phaseUnconfirmed, platform.IsBrokenOff(err)
		s.suspectUntil = now.Add(suspectDuration)
		s.requestRenewal()
		return
	}
	d.counters.RefusedStarts++
	d.log.Info(eventStartRefused, "task", r.id.key.String(), "run", r.id.number, "worker", s.id, "reason", refusal, "error", err)
	if refusal == worker.RefusedWrongIncarnation {
		d.endIncarnation(s, now)
		return
	}
	if current, ok := platform.OtherIncarnation(err); ok {
		d.removeRun(r)
		d.handleOtherIncarnation(s, current, r.startSentAt)
		return
	}
	if refusal == worker.RefusedInvalidTicket {
		d.rejectTicket(r)
	}
	if refusal != worker.RefusedStaleRun {
		s.suspectUntil = now.Add(suspectDuration)
	}
	d.removeRun(r)
	r.task().NotBefore = now.Add(refusedRetryDelay)
}

// checkClock extends the bound of a worker's lease if the clock with which the worker has confirmed the start of a run shows another
// incarnation. A report will name that, if the worker stays reachable.
func (d *Dispatcher) checkClock(r *run, s *workerState, clock worker.Clock, now time.Time) {
	if clock != 0 && s.incarnation == r.incarnation && s.lease.IsOtherClock(clock, r.startSentAt) {
		d.extendLeaseBound(s.id, now.Add(maxLeaseLifetime+d.timing.MaxLease))
		s.runsListedAt = time.Time{}
	}
}

// confirmStart records that the worker has started a run.
func (d *Dispatcher) confirmStart(r *run, now time.Time) {
	r.startConfirmedAt = now
	r.phase = phaseRunning
	d.settleLateStart(r.workerID, r.id)
	d.counters.StartedRuns++
	if r.job.Started {
		return
	}
	r.job.Started = true
	if r.job.Spec.RepeatCount == 0 && r.id.number >= d.firstRunNumber() {
		d.startDelays.add(r.job.queue.Name, now.Sub(r.job.AcceptedAt), now)
	}
	d.markDirty(r.job)
}

// applyRunReport processes what a worker reports about a run.
func (d *Dispatcher) applyRunReport(r *run, reported worker.Run, now time.Time) {
	if r.phase == phaseUnconfirmed || r.phase == phaseStarting {
		d.confirmStart(r, now)
	}
	if r.listedBy == 0 && r.incarnation != 0 && r.incarnation != r.worker.incarnation {
		d.log.Info(eventStartCrossed, "task", r.id.key.String(), "run", r.id.number, "worker", r.workerID, "birth", r.incarnation, "current", r.worker.incarnation)
	}
	r.incarnation, r.listedBy = r.worker.incarnation, r.worker.incarnation
	r.job.RecordCheckpoint(r.id.key, r.id.number, reported.Checkpoint)
	r.lastMeasurement = reported.Measurement
	if reported.SpeedPercent >= 100 && r.fullSpeedSince.IsZero() {
		r.fullSpeedSince = now
	}
	if reported.SpeedPercent < 100 {
		r.fullSpeedSince = time.Time{}
	}
	d.clearCrashes(r, now)
	d.learnFromReport(r, now)
	if r.job.Outcome != "" && r.phase == phaseRunning || r.task().Done {
		d.stopRun(r, now)
	}
}

// handleUnlistedRun handles a run that is missing from a report requested at the given time.
func (d *Dispatcher) handleUnlistedRun(r *run, requestedAt, now time.Time) {
	cause, hasEnded := d.causeOfUnlistedEnd(r, requestedAt)
	switch {
	case hasEnded && r.worker.hasMoreEnds:
		// A later report may list the end of the run, with its result.
	case hasEnded:
		if r.phase == phaseUnconfirmed && r.id.number < d.firstRunNumber() {
			// The incarnation has seen the token of this term, but a later one has not.
			d.watchForLateStart(r, r.worker, r.worker.incarnation, d.termStart)
		}
		d.endLostRun(r, cause, now)
	case r.phase == phaseStopping, r.phase == phaseUnconfirmed && now.Sub(r.startSentAt) > startConfirmTimeout:
		d.sendStop(r, now)
	}
}

// causeOfUnlistedEnd returns why a run that is missing from a report requested at the given time has ended, and whether it
// certainly has. A run of an earlier owner with an unconfirmed start can no longer start, since the worker has seen the
// higher fencing token, and a run whose start was confirmed around a restart has ended with the earlier incarnation; any other
// run whose start is not confirmed must be stopped first.
func (d *Dispatcher) causeOfUnlistedEnd(r *run, requestedAt time.Time) (worker.Cause, bool) {
	wasStopped := !r.stop.confirmedAt.IsZero() && r.stop.confirmedAt.Before(requestedAt)
	switch {
	case r.phase == phaseRunning, r.phase == phaseUnconfirmed && !wasStopped:
		return worker.CauseLeaseExpired, r.hasEndedUnlisted(requestedAt) || r.phase == phaseUnconfirmed && r.id.number < d.firstRunNumber()
	case r.phase == phaseUnconfirmed, r.phase == phaseStopping:
		return worker.CauseStopped, wasStopped
	}
	return "", false // the start order was not sent or is not answered yet
}

// hasEndedUnlisted reports whether a run that is missing from a report requested at the given time has ended, because its
// start was confirmed before.
func (r *run) hasEndedUnlisted(requestedAt time.Time) bool {
	return !r.startConfirmedAt.IsZero() && r.startConfirmedAt.Before(requestedAt)
}

// firstRunNumber returns the lowest run number of this term.
func (d *Dispatcher) firstRunNumber() task.RunNumber {
	return task.RunNumber(d.epoch) * runNumbersPerEpoch
}

// stopRun orders the worker to stop a run. A run whose start order was not sent yet is removed.
func (d *Dispatcher) stopRun(r *run, now time.Time) {
	if r.phase == phasePlanned {
		d.removeRun(r)
		return
	}
	if r.phase == phaseRunning {
		r.phase = phaseStopping
	}
	d.sendStop(r, now)
}

// sendStop orders the worker to stop a run, if a stop is due.
func (d *Dispatcher) sendStop(r *run, now time.Time) {
	s := r.worker
	if s == nil || !r.stop.isDue(now) {
		return
	}
	d.orderStop(s, r.id, &r.stop, func(incarnation worker.Incarnation, err error) {
		if err == nil && s.incarnation != incarnation {
			return // the start may still take effect on the new incarnation
		}
		if err != nil {
			d.avoidCarrier(s, err)
			d.log.Info(eventStopFailed, "task", r.id.key.String(), "run", r.id.number, "worker", s.id, "error", err)
			return
		}
		r.stop.confirmedAt = d.clock.Now()
		s.requestRenewal()
	})
}

// removeRun removes a run that is known not to be running, and releases its capacity.
func (d *Dispatcher) removeRun(r *run) {
	if d.runs[r.id] != r {
		return
	}
	delete(d.runs, r.id)
	d.releaseRun(r)
	if r.worker != nil {
		r.worker.release(r, d.clock.Now())
	}
	r.job.activeRuns--
	t := r.task()
	t.Placements = slices.DeleteFunc(t.Placements, func(p task.Placement) bool { return p.Run == r.id.number })
	if r.job.Outcome == "" {
		d.markDirty(r.job)
	}
}

// endLostRun handles a run that has ended without a report of its end.
func (d *Dispatcher) endLostRun(r *run, cause worker.Cause, now time.Time) {
	if d.runs[r.id] != r {
		return
	}
	d.counters.LostRuns++
	d.log.Info(eventRunLost, "task", r.id.key.String(), "run", r.id.number, "worker", r.workerID, "birth", r.incarnation, "phase", r.phase, "cause", cause)
	d.endRun(r, cause, "", now)
}

// endRun processes the end of a run.
func (d *Dispatcher) endRun(r *run, cause worker.Cause, checkpoint task.Checkpoint, now time.Time) {
	j, t, phase := r.job, r.task(), r.phase
	if cause == worker.CauseDone {
		d.learnFromEnd(r, now)
	}
	if r.startConfirmedAt.IsZero() && (cause == worker.CauseDone || cause == worker.CauseFailed) {
		d.confirmStart(r, now)
	}
	d.removeRun(r)
	d.recordFinalCheckpoint(r, checkpoint)
	t.NotBefore = now
	if r.step.LongRunning && cause == worker.CauseLeaseExpired {
		t.NotBefore = now.Add(retryDelayAfterCrash(t))
	}
	if j.Outcome != "" {
		return
	}
	d.log.Info(eventRunEnded, "task", r.id.key.String(), "run", r.id.number, "worker", r.workerID, "cause", cause)
	if r.step.LongRunning && r.step.MaxUnavailable > 0 {
		d.log.Info(eventTaskUnavailable, "task", r.id.key.String(), "run", r.id.number, "machine", r.machine, "cause", cause, "phase", phase, "order", d.maintenance.hasPendingOrder(r.machine), "away", d.countOtherUnavailable(r, now), "most", r.step.MaxUnavailable)
	}
	switch cause {
	case worker.CauseDone:
		d.recordOccupancy(r, now)
		d.recordSuccess(r, now)
	case worker.CauseFailed:
		d.recordFailure(r, now)
	case worker.CauseStopped, worker.CauseLeaseExpired, worker.CauseGangBroken, worker.CauseGangIncomplete:
		// The task is started again; the run does not count as a failed attempt.
	}
	if r.step.Gang && cause != worker.CauseDone {
		d.stopGang(r, now)
	}
	d.saveAndCloseIfEnded(j)
}

// recordSuccess records a successful run. One success completes all tasks of a gang.
func (d *Dispatcher) recordSuccess(r *run, now time.Time) {
	d.counters.SucceededRuns++
	if r.worker != nil {
		r.worker.consecutiveFailures = 0
	}
	if r.step.LongRunning {
		return // a long-running task is started again however it ends
	}
	d.completeTasks(r, now)
	if !r.step.Gang {
		d.stopOtherCopies(r, now)
		return
	}
	for _, other := range d.stepRuns(r.job, r.id.key) {
		d.removeRun(other)
	}
}

// completeTasks marks the task of a run as done or, if the run belongs to a gang, all tasks of the gang.
func (d *Dispatcher) completeTasks(r *run, now time.Time) {
	if !r.step.Gang {
		r.job.FinishTask(r.id.key, now)
		return
	}
	for i := range r.step.Count {
		key := r.id.key
		key.Task = i
		r.job.FinishTask(key, now)
	}
}

// stopOtherCopies stops the other runs of a completed task.
func (d *Dispatcher) stopOtherCopies(r *run, now time.Time) {
	for _, placement := range slices.Clone(r.task().Placements) {
		if other := d.runs[runID{key: r.id.key, number: placement.Run}]; other != nil {
			d.stopRun(other, now)
		}
	}
}

// stepRuns returns the runs of all tasks of a step in one occurrence.
func (d *Dispatcher) stepRuns(j *job, key task.Key) []*run {
	var runs []*run
	for i := range j.Spec.Steps[key.Step].Count {
		key.Task = i
		for _, placement := range j.Task(key).Placements {
			if r := d.runs[runID{key: key, number: placement.Run}]; r != nil {
				runs = append(runs, r)
			}
		}
	}
	return runs
}

// stopGang stops the other members of a gang after one of them has ended.
func (d *Dispatcher) stopGang(r *run, now time.Time) {
	for _, other := range d.stepRuns(r.job, r.id.key) {
		d.stopRun(other, now)
	}
}

// recordFailure records a failed run. The job fails once a task has used up the attempts that its queue
// allows, unless the task is long-running.
func (d *Dispatcher) recordFailure(r *run, now time.Time) {
	d.counters.FailedRuns++
	t := r.task()
	if s := r.worker; s != nil {
		s.consecutiveFailures++
		if s.consecutiveFailures >= quarantineThreshold {
			s.suspectUntil = now.Add(quarantineDuration)
		}
	}
	if len(t.FailedWorkers) >= maxFailedWorkers {
		t.FailedWorkers = t.FailedWorkers[1:]
	}
	t.FailedWorkers = append(t.FailedWorkers, string(r.workerID))
	t.FailedRuns++
	maxAttempts := r.job.queue.MaxAttempts
	if r.step.LongRunning || maxAttempts <= 0 || t.FailedRuns < maxAttempts {
		return
	}
	d.finishJob(r.job, task.StateFailed, now)
}

// finishJob gives a job its final state and stops its runs.
func (d *Dispatcher) finishJob(j *job, outcome task.State, now time.Time) {
	j.End(outcome, now)
	d.stopJobRuns(j, now)
	d.markDirty(j)
}

// stopJobRuns stops all runs of a job.
func (d *Dispatcher) stopJobRuns(j *job, now time.Time) {
	for _, r := range d.runs {
		if r.job == j {
			d.stopRun(r, now)
		}
	}
}

// saveAndCloseIfEnded schedules a write of the job and, if it has ended, removes it from the open jobs.
func (d *Dispatcher) saveAndCloseIfEnded(j *job) {
	d.markDirty(j)
	if j.Outcome == "" {
		return
	}
	d.log.Info(eventJobEnded, "job", j.ID, "outcome", j.Outcome, "took", j.EndedAt.Sub(j.AcceptedAt), "allowed", j.allowedTime(j.CriticalPath(nil)))
	d.recordMissedDeadline(j)
	d.openJobs = slices.DeleteFunc(d.openJobs, func(o *job) bool { return o == j })
}

// handleUnknownEnd processes the end of a run that the owner does not know, because it was given up or its end is already
// stored. A task that was done is completed all the same: the worker is about to be told to forget the end.
func (d *Dispatcher) handleUnknownEnd(s *workerState, end worker.RunEnd, now time.Time) {
	j := d.jobs[end.Key.Job]
	isOpen := j != nil && j.Outcome == "" && j.Task(end.Key) != nil && !j.Task(end.Key).Done
	d.log.Info(eventUnknownEnd, "worker", s.id, "task", end.Key.String(), "run", end.Run, "cause", end.Cause, "open", isOpen)
	if !isOpen || end.Cause != worker.CauseDone || j.Spec.Steps[end.Key.Step].LongRunning {
		return
	}
	r := &run{id: runID{key: end.Key, number: end.Run}, job: j, workerID: s.id, worker: s, step: &j.Spec.Steps[end.Key.Step]}
	others := d.stepRuns(j, end.Key)
	j.Started = true
	d.completeTasks(r, now)
	for _, other := range others {
		if other.task().Done {
			d.stopRun(other, now)
		}
	}
	d.saveAndCloseIfEnded(j)
}
