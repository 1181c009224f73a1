package dispatch

import (
	"time"

	"hibiscuslane.example/hibiscuslane/platform"
	"hibiscuslane.example/hibiscuslane/worker"
)

const (
	// silentWorkerTimeout is how long runs on a registered worker that does not answer are kept after their lease can
	// no longer be in force. The worker may only be slow, and hold the end of a run that was done before.
	silentWorkerTimeout = 20 * time.Second
	// relistingTime is how long the registration of a live worker may be missing after an outage of the store, because
	// it has expired meanwhile.
	relistingTime = 2 * time.Second
)

// extendedLease is the lease of a worker that may last longer than the owner has granted: an order with a deadline on the clock of
// an earlier incarnation extends the lease of the later one, which lasts for all its runs, up to the longest lease.
type extendedLease struct {
	// until is when the lease has certainly expired.
	until time.Time
	// stored is set if the ledger holds a record of it. Later owners do not know the clocks of the worker.
	stored bool
}

// extendLeaseBound records that the lease of a worker may last until the given time, and stores that it is extended.
func (d *Dispatcher) extendLeaseBound(id worker.ID, until time.Time) {
	if !until.After(d.clock.Now()) {
		return
	}
	if d.extendedLeases == nil {
		d.extendedLeases = map[worker.ID]extendedLease{}
	}
	e := d.extendedLeases[id]
	if until.After(e.until) {
		e.until = until
		d.log.Info(eventLeaseExtended, "worker", id, "for", until.Sub(d.clock.Now()))
	}
	if !e.stored && d.ledger != nil {
		e.stored = true
		d.ledger.Write([]platform.Record{extendedLeaseRecord(id)}, nil)
	}
	d.extendedLeases[id] = e
}

// extendedLeaseRecord returns the ledger record of an extended lease.
func extendedLeaseRecord(id worker.ID) platform.Record {
	return platform.Record{Key: extendedLeaseKeyPrefix + string(id), Value: []byte("{}")}
}

// restoreExtendedLease restores an extended lease that an earlier owner has stored.
func (d *Dispatcher) restoreExtendedLease(id worker.ID) {
	if d.extendedLeases == nil {
		d.extendedLeases = map[worker.ID]extendedLease{}
	}
	d.extendedLeases[id] = extendedLease{until: d.inheritedLeaseEnd(), stored: true}
}

// inheritedLeaseEnd returns when an extended lease that an earlier owner has caused has certainly expired.
func (d *Dispatcher) inheritedLeaseEnd() time.Time {
	return d.termStart.Add(d.inheritedRunTimeout + d.timing.MaxLease)
}

// checkInheritedRuns extends the bound of a worker's lease if the worker has restarted since an earlier owner placed runs on it.
// That owner may not have noticed the restart.
func (d *Dispatcher) checkInheritedRuns(s *workerState) {
	for _, r := range s.runs {
		if r.id.number < d.firstRunNumber() && r.incarnation != 0 && s.incarnation != 0 && r.incarnation != s.incarnation {
			d.extendLeaseBound(s.id, d.inheritedLeaseEnd())
			return
		}
	}
}

// dropExtendedLeases forgets the extended leases that have expired.
func (d *Dispatcher) dropExtendedLeases(now time.Time) {
	for id, e := range d.extendedLeases {
		if now.Before(e.until) {
			continue
		}
		delete(d.extendedLeases, id)
		if e.stored && d.ledger != nil {
			d.ledger.Write([]platform.Record{{Key: extendedLeaseKeyPrefix + string(id)}}, nil)
		}
	}
}

// hasLeaseExpired reports whether nothing can be running any more on an unreachable worker. If the worker's
// clock is not known, the worker may still carry out a start order whose deadline was meant for an earlier
// incarnation. The worker shortens such a deadline to its longest lease. As long as this owner has granted no lease, that of an
// earlier owner may last.
func (d *Dispatcher) hasLeaseExpired(s *workerState, now time.Time) bool {
	silence := now.Sub(s.unreachableSince)
	switch {
	case now.Before(d.extendedLeases[s.id].until), d.mayHoldLateLease(s, now):
		return false
	case !s.lease.HasClock():
		return silence > d.timing.MaxLease+maxLeaseLifetime
	case !s.lease.IsGranted():
		return silence > maxLeaseLifetime
	}
	return s.lease.IsExpired(now)
}

// mayHoldLateLease reports whether an order for an earlier incarnation of a worker may have taken effect late, after the worker fell
// silent or shortly before. Such an order extends the lease even if it is rejected.
func (d *Dispatcher) mayHoldLateLease(s *workerState, now time.Time) bool {
	longest := d.timing.MaxLease + d.timing.MaxLease/20 // on a slow clock
	return s.unreachableSince.Before(s.lateOrdersUntil) && now.Before(s.lateOrdersUntil.Add(longest))
}

// expireRuns ends the runs of a worker whose lease has certainly expired.
func (d *Dispatcher) expireRuns(s *workerState, now time.Time) {
	lost := lostRuns{incarnation: s.incarnation}
	for _, r := range s.runs {
		if r.phase != phasePlanned && !d.mayReportEnd(r, s.unreachableSince.Add(maxLeaseLifetime), now) {
			lost.runs = append(lost.runs, r)
		}
	}
	d.recordLostRuns(s.registration.Machine, lost)
	for _, r := range lost.runs {
		d.endLostRun(r, worker.CauseLeaseExpired, now)
	}
	s.tokenAcknowledged = false
}

// expireInheritedRuns ends runs of earlier owners on workers that this owner has not reached, once their
// leases have certainly expired.
func (d *Dispatcher) expireInheritedRuns(now time.Time) {
	expiry := d.termStart.Add(d.inheritedRunTimeout)
	if now.Before(expiry) {
		return
	}
	if d.registrationsLoadedAt.After(expiry) {
		expiry = d.registrationsLoadedAt
	}
	for _, r := range d.runs {
		isInherited := r.phase == phaseUnconfirmed && r.id.number < d.firstRunNumber()
		if !isInherited || r.worker != nil && r.worker.tokenAcknowledged {
			continue
		}
		extended := d.extendedLeases[r.workerID].until
		if now.After(extended) && !d.mayReportEnd(r, latest(expiry, extended), now) {
			d.endLostRun(r, worker.CauseLeaseExpired, now)
		}
	}
}

// latest returns the later of two times.
func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// mayReportEnd reports whether the worker of a run whose lease expired at the given time may still be alive and report
// that the run was done before. Starting the task again would then repeat work. Long-running tasks are started again
// however they end, so nothing is repeated.
func (d *Dispatcher) mayReportEnd(r *run, expiry, now time.Time) bool {
	if r.step.LongRunning {
		return false
	}
	if d.registrationsLoadedAt.IsZero() {
		return true
	}
	if _, listed := d.registrations[r.workerID]; listed {
		return now.Sub(expiry) < silentWorkerTimeout
	}
	return now.Sub(d.registrationsLoadedAt) < relistingTime || now.Sub(d.registrationsUnreadAt) < relistingTime
}
