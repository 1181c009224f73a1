package dispatch

import (
	"context"
	"slices"
	"sync"
	"time"

	"hibiscuslane.example/hibiscuslane/carrier"
	"hibiscuslane.example/hibiscuslane/platform"
	"hibiscuslane.example/hibiscuslane/worker"
)

const (
	// carrierCheckInterval is the interval at which the carriers are chosen again.
	carrierCheckInterval = 300 * time.Millisecond
	// carrierDialTimeout bounds the opening of a session.
	carrierDialTimeout = 400 * time.Millisecond
	// carrierRetryDelay is how long a member is not chosen after its session was lost or could not be opened.
	carrierRetryDelay = 2 * time.Second
	// carrierDrainTime is how long the session of a member that is no longer chosen is kept for the results of its calls.
	carrierDrainTime = maxReportDelay + maxRenewalMargin + 200*time.Millisecond
	// directTime is how long a worker is called directly after its carrier has failed a call, although the session lasts.
	directTime = 2 * time.Second
	// firstContactCPUTime is the processor time of the first contact with a worker: a connection, its check and a renewal.
	firstContactCPUTime = 500 * time.Microsecond
	// carrierWaitTime is how long the first contacts with idle workers wait for carriers at the begin of a term, if the owner itself
	// would take longer for all of its workers.
	carrierWaitTime = 700 * time.Millisecond
)

// carriers holds the sessions with the entries that carry calls to workers.
type carriers struct {
	// sessions are those that take calls.
	sessions []*carrier.Session
	// version changes with sessions.
	version int
	// lostAt is when the last session of a member was lost or could not be opened, by the id of the member.
	lostAt map[string]time.Time
}

// mustAwaitCarriers reports whether an owner with the given cores leaves the first contacts with its idle workers to carriers.
func mustAwaitCarriers(workers int, cores float64) bool {
	return float64(workers)*firstContactCPUTime.Seconds() > carrierWaitTime.Seconds()*cores
}

// isFirstContactDelayed reports whether the first contact with a worker waits for carriers. Workers with runs don't wait, since their
// leases expire.
func (d *Dispatcher) isFirstContactDelayed(s *workerState) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(s.runs) == 0 && mustAwaitCarriers(len(d.workers), d.cores) && d.clock.Since(d.ledgerOpenedAt) < carrierWaitTime
}

// awaitCarriers waits for carriers before the first contact with a worker, if it is to be delayed. It returns false if ctx has ended.
func (d *Dispatcher) awaitCarriers(ctx context.Context, s *workerState) bool {
	if ctx.Err() != nil {
		return false
	}
	if !d.isFirstContactDelayed(s) {
		return true
	}
	select {
	case <-ctx.Done():
		return false
	case <-d.carriersAwaited:
		return true
	}
}

// runCarriers keeps the sessions up to date until the term ends.
func (d *Dispatcher) runCarriers() {
	began, isAwaited := d.clock.Now(), true
	for d.clock.Sleep(d.ctx, carrierCheckInterval) == nil {
		d.updateCarriers()
		if isAwaited && (d.hasCarriers() || d.clock.Since(began) >= carrierWaitTime) {
			isAwaited = false
			close(d.carriersAwaited)
		}
	}
	d.mu.Lock()
	sessions := d.carriers.sessions
	d.carriers = carriers{version: d.carriers.version + 1}
	d.mu.Unlock()
	for _, s := range sessions {
		s.Close()
	}
}

func (d *Dispatcher) hasCarriers() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.carriers.sessions) > 0
}

// updateCarriers chooses the carriers, opens the missing sessions and retires those of members that are not chosen.
func (d *Dispatcher) updateCarriers() {
	members := d.members()
	now := d.clock.Now()
	d.mu.Lock()
	old := d.carriers.sessions
	d.recordLostSessions(now)
	chosen := d.chooseCarriers(members)
	d.mu.Unlock()
	var kept []*carrier.Session
	var missing []carrier.Member
	for _, m := range chosen {
		i := slices.IndexFunc(old, func(s *carrier.Session) bool { return s.Member().ID == m.ID && s.IsOpen() })
		if i < 0 {
			missing = append(missing, m)
			continue
		}
		kept = append(kept, old[i])
	}
	for _, s := range old {
		if !slices.Contains(kept, s) {
			d.clock.AfterFunc(carrierDrainTime, s.Close)
		}
	}
	opened := d.openSessions(missing)
	if len(opened) == 0 && len(kept) == len(old) {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.carriers.sessions = append(kept, opened...)
	d.carriers.version++
	d.log.Info(eventCarriersChanged, "carriers", len(d.carriers.sessions), "opened", len(opened), "workers", len(d.workers), "members", len(members))
}

// recordLostSessions records the members whose sessions have ended, and forgets those that may be chosen again.
func (d *Dispatcher) recordLostSessions(now time.Time) {
	if d.carriers.lostAt == nil {
		d.carriers.lostAt = map[string]time.Time{}
	}
	for id, at := range d.carriers.lostAt {
		if now.Sub(at) > carrierRetryDelay {
			delete(d.carriers.lostAt, id)
		}
	}
	for _, s := range d.carriers.sessions {
		if !s.IsOpen() {
			d.carriers.lostAt[s.Member().ID] = now
		}
	}
}

// chooseCarriers returns the members that are to carry calls; none if the owner can call its workers itself. Carriers, once
// in use, are kept until there are less than half as many workers.
func (d *Dispatcher) chooseCarriers(members []carrier.Member) []carrier.Member {
	limit := d.maxDirectWorkers
	if len(d.carriers.sessions) > 0 {
		limit /= 2
	}
	if float64(len(d.workers)) <= limit || d.ledger == nil {
		return nil
	}
	available := slices.DeleteFunc(slices.Clone(members), func(m carrier.Member) bool {
		_, lost := d.carriers.lostAt[m.ID]
		return lost
	})
	return carrier.Choose(available)
}

// openSessions opens sessions with members, all at once, and returns those that could be opened.
func (d *Dispatcher) openSessions(members []carrier.Member) []*carrier.Session {
	ctx, cancel := d.clock.WithTimeout(d.ctx, carrierDialTimeout)
	defer cancel()
	var mu sync.Mutex
	var opened []*carrier.Session
	var dials sync.WaitGroup
	for _, m := range members {
		dials.Go(func() {
			s, err := carrier.Dial(ctx, m, d.epoch, d.clock, d.log)
			mu.Lock()
			defer mu.Unlock()
			if err == nil {
				opened = append(opened, s)
				return
			}
			d.log.Info(eventCarrierUnreachable, "carrier", m.ID, "error", err)
			d.mu.Lock()
			d.carriers.lostAt[m.ID] = d.clock.Now()
			d.mu.Unlock()
		})
	}
	dials.Wait()
	return opened
}

// carrierOf returns the worker as its carrier calls it; nil if the owner calls the worker itself. It is called for each call.
func (d *Dispatcher) carrierOf(s *workerState) *carrier.Worker {
	session := d.sessionOf(s)
	if session == nil {
		d.counters.DirectCalls++
		return nil
	}
	d.counters.CarriedCalls++
	return &carrier.Worker{Session: session, Target: s.client}
}

// sessionOf returns the session that carries the calls to a worker; nil if there is none.
func (d *Dispatcher) sessionOf(s *workerState) *carrier.Session {
	if len(d.carriers.sessions) == 0 || d.clock.Now().Before(s.directUntil) {
		return nil
	}
	if s.session == nil || s.sessionVersion != d.carriers.version || !s.session.IsOpen() {
		s.session, s.sessionVersion = carrier.Assign(d.carriers.sessions, s.id, s.registration.DataCentre), d.carriers.version
	}
	return s.session
}

// avoidCarrier makes the owner call a worker itself for a while if a call failed because of the carrier. If the session
// was lost, another carrier takes its place at once.
func (d *Dispatcher) avoidCarrier(s *workerState, err error) {
	if carrier.IsLost(err) && s.session != nil && s.session.IsOpen() {
		s.directUntil = d.clock.Now().Add(directTime)
	}
}

// renew sends a renewal to a worker, through its carrier if there is one, and returns the report. It sends nothing if another
// incarnation of the worker has become known since the renewal was made.
func (d *Dispatcher) renew(ctx context.Context, s *workerState, renewal platform.Renewal, timeout time.Duration) (worker.Report, error) {
	d.mu.Lock()
	if renewal.Incarnation != 0 && renewal.Incarnation != s.incarnation {
		current := s.incarnation
		d.mu.Unlock()
		return worker.Report{}, &platform.NotSentError{Cause: &platform.IncarnationError{Worker: s.id, Expected: renewal.Incarnation, Current: current}}
	}
	via, client := d.carrierOf(s), s.client
	d.mu.Unlock()
	if via != nil {
		return via.RenewLease(ctx, renewal, timeout)
	}
	callCtx, cancel := d.clock.WithTimeout(ctx, timeout)
	defer cancel()
	return client.RenewLease(callCtx, renewal)
}

// orderStart sends the start order of a run, and handles its result.
func (d *Dispatcher) orderStart(r *run) {
	s := r.worker
	via := d.carrierOf(s)
	if via == nil {
		s.orders.addOther(func(ctx context.Context) { d.sendStart(ctx, r) })
		return
	}
	if start, ok := d.prepareStart(r); ok {
		via.StartRun(start, orderTimeout, func(clock worker.Clock, err error) {
			d.mu.Lock()
			defer d.mu.Unlock()
			d.avoidCarrier(s, err)
			d.handleStartResult(r, s, clock, err)
		})
	}
}

// orderStop sends an order to stop a run and records its progress. The handle function is called under the lock with the
// result and the incarnation of the worker that was known when the order was sent.
func (d *Dispatcher) orderStop(s *workerState, id runID, stop *stopState, handle func(worker.Incarnation, error)) {
	token := worker.FencingToken(d.epoch)
	stop.pending = true
	if via := d.carrierOf(s); via != nil {
		incarnation := s.incarnation
		stop.sentAt = d.clock.Now()
		via.StopRun(id.key, id.number, token, orderTimeout, func(err error) {
			d.mu.Lock()
			defer d.mu.Unlock()
			stop.pending = false
			handle(incarnation, err)
		})
		return
	}
	s.orders.addStop(func(ctx context.Context) {
		d.mu.Lock()
		incarnation, client := s.incarnation, s.client
		stop.sentAt = d.clock.Now()
		d.mu.Unlock()
		err := client.StopRun(ctx, id.key, id.number, token)
		d.mu.Lock()
		defer d.mu.Unlock()
		stop.pending = false
		handle(incarnation, err)
	})
}

// orderSpeed sends an order to throttle a run. The handle function is called with the result.
func (d *Dispatcher) orderSpeed(s *workerState, id runID, percent int, handle func(error)) {
	token := worker.FencingToken(d.epoch)
	if via := d.carrierOf(s); via != nil {
		via.SetSpeed(id.key, id.number, percent, token, orderTimeout, handle)
		return
	}
	s.orders.addOther(func(ctx context.Context) { handle(d.clientOf(s).SetSpeed(ctx, id.key, id.number, percent, token)) })
}

// clientOf returns the client of a worker at its present address, for a call that is sent without the lock.
func (d *Dispatcher) clientOf(s *workerState) *platform.Worker {
	d.mu.Lock()
	defer d.mu.Unlock()
	return s.client
}
