package dispatch

import (
	"context"
	"slices"
	"time"

	"hibiscuslane.example/hibiscuslane/platform"
	"hibiscuslane.example/hibiscuslane/task"
	"hibiscuslane.example/hibiscuslane/worker"
)

// phase is the state of a run as the owner knows it.
type phase string

// Phases of a run.
const (
	phaseStored   phase = "stored"   // waits for the ledger; the order has not been sent
	phaseOrdered  phase = "ordered"  // the order is on its way
	phaseDoubt    phase = "doubt"    // the order had no answer and may still be carried out
	phaseRunning  phase = "running"  // the worker has confirmed it
	phaseStopping phase = "stopping" // it is to end
)

const (
	// doubtTime is how long a look may take to show a run whose order had no answer, before it is stopped.
	doubtTime = 250 * time.Millisecond
	// stopRepeat is the time after which a stop without effect is repeated.
	stopRepeat = 500 * time.Millisecond
	// retryDelay is how long a task waits after its order was refused.
	retryDelay = 150 * time.Millisecond
	// maxBlamed bounds the workers that are remembered for having failed a task.
	maxBlamed = 4
)

// run is one run of a task on a worker.
type run struct {
	id     runID
	job    *job
	worker worker.ID
	// station is nil while the worker is not listed.
	station *station
	birth   worker.Incarnation
	machine worker.MachineID
	step    *task.Step
	demand  task.Resources
	phase   phase
	// ordered is when the order was sent, confirmed when the worker first confirmed it.
	ordered, confirmed time.Time
	// stopped is when a stop was last sent, voided when the worker confirmed it: from then on a late order
	// cannot start the run.
	stopped, voided time.Time
	// percent is the share of full speed that was ordered, reading the last measurement of the worker.
	percent int
	reading float64
	// seen is when the worker last listed the run at full speed.
	seen time.Time
}

// task returns the task of the run.
func (r *run) task() *task.Task { return r.job.Task(r.id.key) }

// inherit adds a run that an earlier owner ordered. Whether it runs is known once the worker is reached.
func (d *Dispatcher) inherit(j *job, key task.Key, place task.Placement) {
	step := &j.Spec.Steps[key.Step]
	r := &run{
		id: runID{key: key, run: place.Run}, job: j, worker: worker.ID(place.Worker), birth: worker.Incarnation(place.Incarnation), machine: worker.MachineID(place.Machine),
		step: step, demand: step.Reservation(), phase: phaseDoubt, ordered: d.began, percent: 100,
	}
	d.runs[r.id] = r
	j.running++
	if s := d.stations[r.worker]; s != nil {
		r.station = s
		s.hold(r)
	}
}

// start orders the start of a run whose place is stored.
func (d *Dispatcher) start(r *run) {
	s := r.station
	if r.phase != phaseStored || d.runs[r.id] != r {
		return // removed while its place was being stored
	}
	if s == nil || !s.fenced || !s.lease.HasClock() || r.job.Outcome != "" {
		d.remove(r)
		return
	}
	if !s.order(func(ctx context.Context) { d.startNow(ctx, r) }) {
		d.remove(r)
	}
}

// startNow sends the order. It runs on the session's sender.
func (d *Dispatcher) startNow(ctx context.Context, r *run) {
	d.mu.Lock()
	s := r.station
	if d.runs[r.id] != r || r.phase != phaseStored || s == nil || !s.fenced || r.job.Outcome != "" || ctx.Err() != nil {
		d.remove(r)
		d.mu.Unlock()
		return
	}
	now := d.clock.Now()
	r.phase, r.ordered, r.birth = phaseOrdered, now, s.birth
	order := worker.StartOrder{
		Key: r.id.key, Run: r.id.run, Payload: r.job.Spec.Payload, Checkpoint: r.task().Checkpoint,
		Deadline: s.lease.Grant(now, min(leaseTime, d.bounds.MaxLease)), FencingToken: worker.FencingToken(d.epoch),
		Ticket: d.ticketFor(r),
	}
	caller := s.caller
	d.mu.Unlock()
	err := caller.StartRun(ctx, order)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.answered(r, s, err)
}

// answered takes over the answer to a start.
func (d *Dispatcher) answered(r *run, s *station, err error) {
	if d.runs[r.id] != r || r.phase != phaseOrdered {
		return
	}
	now := d.clock.Now()
	if err == nil {
		d.confirm(r, now)
		s.poke()
		return
	}
	refusal, refused := platform.WorkerRefusal(err)
	if !refused {
		d.counters.Doubted++
		d.log.Info(eventDoubt, "task", r.id.key.String(), "run", r.id.run, "worker", s.id, "error", err)
		r.phase = phaseDoubt
		s.suspect = now.Add(suspectTime)
		s.poke()
		return
	}
	d.counters.Refused++
	d.log.Info(eventRefused, "task", r.id.key.String(), "run", r.id.run, "worker", s.id, "reason", refusal)
	if refusal == worker.RefusedWrongIncarnation {
		d.over(s, now)
		return
	}
	if refusal != worker.RefusedStaleRun {
		s.suspect = now.Add(suspectTime)
	}
	d.remove(r)
	r.task().NotBefore = now.Add(retryDelay)
}

// confirm notes that a run was started.
func (d *Dispatcher) confirm(r *run, now time.Time) {
	r.confirmed = now
	r.phase = phaseRunning
	d.counters.Started++
	if r.job.Started {
		return
	}
	r.job.Started = true
	d.mark(r.job)
}

// running takes over that a worker lists a run.
func (d *Dispatcher) running(r *run, seen worker.Run, now time.Time) {
	if r.phase == phaseDoubt || r.phase == phaseOrdered {
		d.confirm(r, now)
	}
	r.birth = r.station.birth
	if seen.Checkpoint != "" {
		r.task().Checkpoint = seen.Checkpoint
	}
	r.reading = seen.Measurement
	if seen.SpeedPercent >= 100 && r.seen.IsZero() {
		r.seen = now
	}
	if seen.SpeedPercent < 100 {
		r.seen = time.Time{}
	}
	if r.job.Outcome != "" && r.phase == phaseRunning || r.task().Done {
		d.stop(r, now)
	}
}

// absent handles a run that a worker does not list in a look that was asked for at the given time.
func (d *Dispatcher) absent(r *run, sent, now time.Time) {
	switch r.phase {
	case phaseStored, phaseOrdered:
		// The order has not been answered yet.
	case phaseRunning:
		if r.confirmed.Before(sent) {
			d.vanished(r, worker.CauseLeaseExpired, now)
		}
	case phaseDoubt:
		d.unlisted(r, sent, now)
	case phaseStopping:
		if !r.voided.IsZero() && r.voided.Before(sent) {
			d.vanished(r, worker.CauseStopped, now)
			return
		}
		d.repeatStop(r, now)
	}
}

// unlisted handles a run in doubt that a look does not show. A run of an earlier owner cannot start any
// more, since the worker has seen the higher token; one of this tenure is stopped first.
func (d *Dispatcher) unlisted(r *run, sent, now time.Time) {
	if r.id.run < d.firstRun() {
		d.vanished(r, worker.CauseLeaseExpired, now)
		return
	}
	if !r.voided.IsZero() && r.voided.Before(sent) {
		d.vanished(r, worker.CauseStopped, now)
		return
	}
	if now.Sub(r.ordered) > doubtTime {
		d.repeatStop(r, now)
	}
}

// firstRun is the lowest run number of this tenure.
func (d *Dispatcher) firstRun() task.RunNumber { return task.RunNumber(d.epoch) * runsPerEpoch }

// stop orders the end of a run.
func (d *Dispatcher) stop(r *run, now time.Time) {
	if r.phase == phaseStored {
		d.remove(r)
		return
	}
	if r.phase == phaseRunning {
		r.phase = phaseStopping
	}
	d.repeatStop(r, now)
}

// repeatStop sends a stop unless one is on its way.
func (d *Dispatcher) repeatStop(r *run, now time.Time) {
	s := r.station
	if s == nil || now.Sub(r.stopped) < stopRepeat {
		return
	}
	r.stopped = now
	s.order(func(ctx context.Context) {
		err := s.caller.StopRun(ctx, r.id.key, r.id.run, worker.FencingToken(d.epoch))
		d.mu.Lock()
		defer d.mu.Unlock()
		if err != nil {
			d.log.Info(eventStop, "task", r.id.key.String(), "run", r.id.run, "worker", s.id, "error", err)
			return
		}
		r.voided = d.clock.Now()
		s.poke()
	})
}

// remove forgets a run that provably did not start.
func (d *Dispatcher) remove(r *run) {
	if d.runs[r.id] != r {
		return
	}
	delete(d.runs, r.id)
	if r.station != nil {
		r.station.free(r, d.clock.Now())
	}
	r.job.running--
	t := r.task()
	t.Placements = slices.DeleteFunc(t.Placements, func(p task.Placement) bool { return p.Run == r.id.run })
	if r.job.Outcome == "" {
		d.mark(r.job)
	}
}

// vanished handles a run that has ended without a listed end.
func (d *Dispatcher) vanished(r *run, cause worker.Cause, now time.Time) {
	if d.runs[r.id] != r {
		return
	}
	d.counters.Lapsed++
	d.log.Info(eventVanished, "task", r.id.key.String(), "run", r.id.run, "worker", r.worker, "phase", r.phase, "cause", cause)
	d.ended(r, cause, "", now)
}

// ended takes over the end of a run.
func (d *Dispatcher) ended(r *run, cause worker.Cause, saved task.Checkpoint, now time.Time) {
	j, t := r.job, r.task()
	if r.confirmed.IsZero() && (cause == worker.CauseDone || cause == worker.CauseFailed) {
		d.confirm(r, now)
	}
	d.remove(r)
	if saved != "" {
		t.Checkpoint = saved
	}
	t.NotBefore = now
	if j.Outcome != "" {
		return
	}
	d.log.Info(eventEnd, "task", r.id.key.String(), "run", r.id.run, "worker", r.worker, "cause", cause)
	switch cause {
	case worker.CauseDone:
		d.finished(r, now)
	case worker.CauseFailed:
		d.failed(r, now)
	case worker.CauseStopped, worker.CauseLeaseExpired, worker.CauseGangBroken, worker.CauseGangIncomplete:
		// The task is started again; this is no attempt of its own.
	}
	if r.step.Gang && cause != worker.CauseDone {
		d.stopGang(r, now)
	}
	d.settle(j)
}

// finished notes a run that is done.
func (d *Dispatcher) finished(r *run, now time.Time) {
	d.counters.Done++
	if r.station != nil {
		r.station.streak = 0
	}
	if r.step.LongRunning {
		return // a lasting task is started again however it ends
	}
	j := r.job
	if !r.step.Gang {
		j.FinishTask(r.id.key, now)
		d.stopCopies(r, now)
		return
	}
	for i := range r.step.Count {
		key := r.id.key
		key.Task = i
		j.FinishTask(key, now)
	}
	for _, other := range d.stepRuns(j, r.id.key) {
		d.remove(other)
	}
}

// stopCopies stops the other runs of a task that is done.
func (d *Dispatcher) stopCopies(r *run, now time.Time) {
	for _, place := range slices.Clone(r.task().Placements) {
		if other := d.runs[runID{key: r.id.key, run: place.Run}]; other != nil {
			d.stop(other, now)
		}
	}
}

// stepRuns returns the runs of all tasks of a step of one occurrence.
func (d *Dispatcher) stepRuns(j *job, key task.Key) []*run {
	var runs []*run
	for i := range j.Spec.Steps[key.Step].Count {
		key.Task = i
		for _, place := range j.Task(key).Placements {
			if r := d.runs[runID{key: key, run: place.Run}]; r != nil {
				runs = append(runs, r)
			}
		}
	}
	return runs
}

// stopGang stops the other members of a gang of which one has ended.
func (d *Dispatcher) stopGang(r *run, now time.Time) {
	for _, other := range d.stepRuns(r.job, r.id.key) {
		d.stop(other, now)
	}
}

// failed notes a run that failed.
func (d *Dispatcher) failed(r *run, now time.Time) {
	d.counters.Failed++
	t := r.task()
	if s := r.station; s != nil {
		s.streak++
		if s.streak >= failStreak {
			s.suspect = now.Add(quarantineTime)
		}
	}
	if len(t.FailedWorkers) >= maxBlamed {
		t.FailedWorkers = t.FailedWorkers[1:]
	}
	t.FailedWorkers = append(t.FailedWorkers, string(r.worker))
	t.FailedRuns++
	limit := r.job.queue.MaxAttempts
	if r.step.LongRunning || limit <= 0 || t.FailedRuns < limit {
		return
	}
	d.finish(r.job, task.StateFailed, now)
}

// finish gives a job its final state and stops its runs.
func (d *Dispatcher) finish(j *job, outcome task.State, now time.Time) {
	j.End(outcome, now)
	d.stopAll(j, now)
	d.mark(j)
}

// stopAll stops all runs of a job.
func (d *Dispatcher) stopAll(j *job, now time.Time) {
	for _, r := range d.runs {
		if r.job == j {
			d.stop(r, now)
		}
	}
}

// settle takes a job out of the open ones once it has ended.
func (d *Dispatcher) settle(j *job) {
	d.mark(j)
	if j.Outcome == "" {
		return
	}
	d.log.Info(eventFinal, "job", j.ID, "outcome", j.Outcome, "took", j.EndedAt.Sub(j.AcceptedAt))
	d.open = slices.DeleteFunc(d.open, func(o *job) bool { return o == j })
}

// strayEnd handles an end of a run that the owner does not know.
func (d *Dispatcher) strayEnd(s *station, end worker.RunEnd, first bool) {
	d.log.Debug(eventStrayEnd, "worker", s.id, "task", end.Key.String(), "run", end.Run, "cause", end.Cause, "first", first)
}
