package dispatch

import (
	"time"

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

// hasLeaseExpired reports whether nothing can be running any more on an unreachable worker. If the worker's
// clock is not known, the worker may still carry out a start order whose deadline was meant for an earlier
// incarnation. The worker shortens such a deadline to its longest lease.
func (d *Dispatcher) hasLeaseExpired(s *workerState, now time.Time) bool {
	if s.lease.HasClock() {
		return s.lease.IsExpired(now)
	}
	return now.Sub(s.unreachableSince) > d.timing.MaxLease+maxLeaseLifetime
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
		if isInherited && (r.worker == nil || !r.worker.tokenAcknowledged) && !d.mayReportEnd(r, expiry, now) {
			d.endLostRun(r, worker.CauseLeaseExpired, now)
		}
	}
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
