package dispatch

import (
	"context"
	"strings"
	"time"

	"hibiscuslane.example/hibiscuslane/platform"
	"hibiscuslane.example/hibiscuslane/task"
	"hibiscuslane.example/hibiscuslane/worker"
)

const (
	// leaseTime is the lease that workers are given. It outlasts the change of an owner that fell silent.
	leaseTime = 3500 * time.Millisecond
	// renewWait is how long a worker may wait with the answer to a renewal. It leaves room for two more
	// renewals before the lease ends.
	renewWait = 900 * time.Millisecond
	// renewSlack is added to renewWait before a renewal without an answer is repeated.
	renewSlack = 500 * time.Millisecond
	// renewGap is the pause after a renewal that listed an end, so that one more renewal lists several. It grows
	// with the workers on which something runs, so that renewals take at most renewShare of the processor, at
	// renewCost of a core each, which a thousand a second have taken.
	renewGap   = 25 * time.Millisecond
	renewCost  = 330 * time.Microsecond
	renewShare = 0.66
	// listRuns is the time between two looks at all that runs on a worker of which nothing is in doubt.
	listRuns = time.Second
	// orderTimeout bounds an order. Workers answer at once and are a few milliseconds away.
	orderTimeout = 400 * time.Millisecond
	// failPause is the pause after a call without an answer.
	failPause = 100 * time.Millisecond
	// maxOrders bounds the orders that wait for one worker.
	maxOrders = 4096
	// suspectTime is how long a worker takes tasks last after it refused or failed one.
	suspectTime = 2 * time.Second
	// failStreak is the number of failures without a success after which a worker is suspected to fail
	// everything.
	failStreak = 3
	// quarantineTime is how long a worker that fails everything takes tasks last.
	quarantineTime = 8 * time.Second
)

// station is what the owner knows of one worker. It is guarded by the lock of the Dispatcher.
type station struct {
	id      worker.ID
	birth   worker.Incarnation
	listing worker.Registration
	caller  *platform.Worker
	rack    string
	lease   worker.Lease
	runs    map[runID]*run
	// used is the room that runs hold, those without an answer and those being stopped among them.
	used task.Resources
	// fenced is set once the worker has answered with the token of this tenure.
	fenced bool
	// listedEnd is the last end that was processed, storing the last that was given to the ledger, stored
	// the last that the ledger has, and acked the last that the worker was told to forget.
	listedEnd, storing, stored, acked worker.EndNumber
	// silent is when calls began to go without an answer; zero while the worker answers.
	silent time.Time
	// strays is the number of runs in the last look that the owner does not know. Their room is unknown too, so
	// the worker takes no tasks until they have ended.
	strays int
	// inspected is when the worker last listed what runs there.
	inspected time.Time
	// suspect is until when the worker takes tasks last.
	suspect time.Time
	// streak is the number of failed runs since the last one that was done.
	streak int
	orders chan func(context.Context)
	wakeup chan struct{}
	cancel context.CancelFunc
	// ended is set once an order for the machine has ended the life of the worker.
	ended bool
	// idle is when the last run ended.
	idle time.Time
	// leaving is set while the machine is to be emptied.
	leaving bool
}

// poke lets the session look at its worker now.
func (s *station) poke() {
	select {
	case s.wakeup <- struct{}{}:
	default:
	}
}

// order queues an order. Orders to one worker are sent one after the other.
func (s *station) order(f func(context.Context)) bool {
	select {
	case s.orders <- f:
		return true
	default:
		return false
	}
}

// rackOf returns the rack among the labels of a worker: the last one that has the form of a place.
func rackOf(labels []string) string {
	for i := len(labels) - 1; i >= 0; i-- {
		if strings.Contains(labels[i], "-") {
			return labels[i]
		}
	}
	if len(labels) > 1 {
		return labels[len(labels)-1]
	}
	return ""
}

// admit starts a session with a worker that is listed for the first time.
func (d *Dispatcher) admit(l worker.Registration) *station {
	ctx, cancel := context.WithCancel(d.ctx)
	s := &station{
		id: l.ID, birth: l.Incarnation, listing: l, rack: rackOf(l.Labels), runs: map[runID]*run{},
		caller: &platform.Worker{ID: l.ID, Address: l.Address, LongPollHTTP: d.clients.LongPoll, OrderHTTP: d.clients.Orders},
		orders: make(chan func(context.Context), maxOrders), wakeup: make(chan struct{}, 1), cancel: cancel,
		idle: d.clock.Now(),
	}
	d.stations[l.ID] = s
	for _, r := range d.runs {
		if r.worker == l.ID {
			r.station = s
			s.hold(r)
		}
	}
	go d.session(ctx, s)
	go d.command(ctx, s)
	return s
}

// hold reserves the room of a run.
func (s *station) hold(r *run) {
	s.runs[r.id] = r
	s.used = s.used.Add(r.demand)
}

// free returns the room of a run.
func (s *station) free(r *run, now time.Time) {
	if s.runs[r.id] == r {
		delete(s.runs, r.id)
		s.used = s.used.Sub(r.demand)
		s.idle = now
	}
}

// command gives the orders of a worker, one after the other.
func (d *Dispatcher) command(ctx context.Context, s *station) {
	for {
		select {
		case <-ctx.Done():
			return
		case f := <-s.orders:
			call, cancel := d.clock.WithTimeout(ctx, orderTimeout)
			f(call)
			cancel()
		}
	}
}

// session renews the lease of a worker while something runs there, and learns what has ended.
func (d *Dispatcher) session(ctx context.Context, s *station) {
	for ctx.Err() == nil {
		look, ok := d.renewal(s)
		if !ok {
			select {
			case <-ctx.Done():
				return
			case <-s.wakeup:
			}
			continue
		}
		pause := d.renew(ctx, s, look)
		if pause > 0 && d.clock.Sleep(ctx, pause) != nil {
			return
		}
	}
}

// renewal returns the renewal that is due; none if nothing runs and all ends are acknowledged.
func (d *Dispatcher) renewal(s *station) (platform.Renewal, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock.Now()
	r := platform.Renewal{FencingToken: worker.FencingToken(d.epoch), LastSeenEnd: s.stored}
	switch {
	case !s.fenced || s.birth == 0:
		if len(s.runs) > 0 && s.lease.HasClock() {
			r.LeaseDeadline = s.lease.Grant(now, leaseTime)
		}
		return r, true
	case len(s.runs) == 0 && s.strays == 0:
		return r, s.stored > s.acked
	}
	r.MaxWait = renewWait
	if s.silent.IsZero() {
		r.LeaseDeadline = s.lease.Grant(now, min(leaseTime, d.bounds.MaxLease))
	}
	if s.shared() {
		r.MaxWait = paceWait
	}
	if s.stored > s.acked || s.impatient() {
		r.MaxWait = 0
	}
	r.EndsOnly = now.Sub(s.inspected) < listRuns && s.certain()
	return r, true
}

// certain reports whether all runs are known to run, and those that last at full speed.
func (s *station) certain() bool {
	if s.strays > 0 {
		return false
	}
	for _, r := range s.runs {
		if r.phase != phaseRunning || r.step.LongRunning && r.seen.IsZero() {
			return false
		}
	}
	return !s.shared()
}

// impatient reports whether an order without an answer waits for a look.
func (s *station) impatient() bool {
	if s.strays > 0 {
		return true
	}
	for _, r := range s.runs {
		if r.phase == phaseDoubt || r.phase == phaseStopping {
			return true
		}
	}
	return false
}

// renew renews once and returns the pause before the next renewal.
func (d *Dispatcher) renew(ctx context.Context, s *station, r platform.Renewal) time.Duration {
	call, cancel := d.clock.WithTimeout(ctx, r.MaxWait+renewSlack)
	defer cancel()
	sent := d.clock.Now()
	look, err := s.caller.RenewLease(call, r)
	d.mu.Lock()
	defer d.mu.Unlock()
	if ctx.Err() != nil {
		return 0
	}
	now := d.clock.Now()
	if err != nil {
		return d.unheard(s, err, now)
	}
	s.lease.RecordClock(look.Clock, now)
	s.acked = max(s.acked, r.LastSeenEnd)
	if !s.silent.IsZero() {
		d.log.Info(eventHeard, "worker", s.id, "silent", now.Sub(s.silent))
	}
	s.silent = time.Time{}
	ended := d.looked(s, look, sent, now)
	if s.impatient() {
		return 2 * renewGap
	}
	if ended || r.MaxWait == 0 {
		return renewPause(d.busy, d.cores)
	}
	return 0
}

// renewPause returns the pause after a renewal that listed an end, by the number of workers on which something
// runs and the processor of the owner. In a burst of short tasks room becomes free only when an end is seen,
// so a pause that is longer than the processor needs lowers the capacity of the pool.
func renewPause(busy int, cores float64) time.Duration {
	return renewGap + time.Duration(float64(busy)*float64(renewCost)/(renewShare*cores))
}

// unheard notes a renewal that failed.
func (d *Dispatcher) unheard(s *station, err error, now time.Time) time.Duration {
	refusal, refused := platform.WorkerRefusal(err)
	if refused && refusal == worker.RefusedStaleToken {
		d.log.Warn(eventFenced, "worker", s.id, "epoch", d.epoch)
	}
	if s.silent.IsZero() {
		s.silent = now
		d.log.Info(eventUnheard, "worker", s.id, "error", err)
	}
	if refused && refusal == worker.RefusedWrongIncarnation {
		d.over(s, now)
	}
	return failPause
}

// looked takes over what a worker has answered to a renewal that was sent at the given time. It reports
// whether an end was new.
func (d *Dispatcher) looked(s *station, look worker.Report, sent, now time.Time) bool {
	if look.Incarnation != 0 && s.birth != look.Incarnation {
		if s.birth != 0 {
			d.reborn(s, look.Incarnation)
		}
		s.birth = look.Incarnation
	}
	first := !s.fenced
	s.fenced = true
	fresh := false
	for _, end := range look.Ended {
		if end.Number <= s.listedEnd {
			continue
		}
		s.listedEnd = end.Number
		fresh = true
		if r := s.runs[runID{key: end.Key, run: end.Run}]; r != nil {
			d.ended(r, end.Cause, end.Checkpoint, now)
			continue
		}
		d.strayEnd(s, end, first)
	}
	if look.HasRunning {
		s.inspected = now
		d.compare(s, look, sent, now)
	}
	d.pace(s)
	if first {
		d.log.Info(eventReached, "worker", s.id, "running", len(look.Running), "ended", len(look.Ended))
	}
	if fresh || first {
		d.wake()
	}
	return fresh
}

// compare takes over what a worker has listed as running.
func (d *Dispatcher) compare(s *station, look worker.Report, sent, now time.Time) {
	running := map[runID]bool{}
	s.strays = 0
	for _, seen := range look.Running {
		id := runID{key: seen.Key, run: seen.Number}
		running[id] = true
		if r := s.runs[id]; r != nil {
			d.running(r, seen, now)
			continue
		}
		s.strays++
		d.stray(s, id)
	}
	for id, r := range s.runs {
		if !running[id] {
			d.absent(r, sent, now)
		}
	}
}

// stray stops a run that the owner does not know.
func (d *Dispatcher) stray(s *station, id runID) {
	d.log.Info(eventStray, "worker", s.id, "task", id.key.String(), "run", id.run)
	s.order(func(ctx context.Context) {
		if err := s.caller.StopRun(ctx, id.key, id.run, worker.FencingToken(d.epoch)); err != nil {
			d.log.Debug(eventStop, "worker", s.id, "task", id.key.String(), "run", id.run, "error", err)
		}
	})
}

// reborn notes that a worker has begun another life: nothing of the earlier one runs any more. Orders
// without an answer may still arrive at the new life.
func (d *Dispatcher) reborn(s *station, birth worker.Incarnation) {
	d.log.Info(eventReborn, "worker", s.id, "birth", s.birth, "next", birth, "runs", len(s.runs))
	s.birth = birth
	s.fenced = false
	s.lease = worker.Lease{}
	s.listedEnd, s.storing, s.stored, s.acked, s.strays = 0, 0, 0, 0, 0
	for _, r := range s.runs {
		switch r.phase {
		case phaseOrdered, phaseDoubt:
			r.phase = phaseDoubt
			r.voided = time.Time{}
		case phaseStored:
			// The order has not been sent; it will meet the new life.
		default:
			d.vanished(r, worker.CauseLeaseExpired, d.clock.Now())
		}
	}
}

// over notes that the life of a worker has ended for certain: another worker answers at its address, or
// another life has begun on its machine.
func (d *Dispatcher) over(s *station, now time.Time) {
	if len(s.runs) > 0 {
		d.log.Info(eventOver, "worker", s.id, "machine", s.listing.Machine, "runs", len(s.runs))
	}
	for _, r := range s.runs {
		d.vanished(r, worker.CauseLeaseExpired, now)
	}
	s.fenced = false
}

// succeeded ends what ran in earlier lives on the machine of a worker.
func (d *Dispatcher) succeeded(l worker.Registration) {
	if l.Machine == "" || l.Incarnation == 0 {
		return
	}
	now := d.clock.Now()
	for _, r := range d.runs {
		if r.machine == l.Machine && r.worker != l.ID && r.birth < l.Incarnation {
			d.vanished(r, worker.CauseLeaseExpired, now)
		}
	}
}

// lapse gives up the runs of a worker whose lease has certainly expired.
func (d *Dispatcher) lapse(s *station, now time.Time) {
	for _, r := range s.runs {
		if r.phase != phaseStored {
			d.vanished(r, worker.CauseLeaseExpired, now)
		}
	}
	s.fenced = false
}
