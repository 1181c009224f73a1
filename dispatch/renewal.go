package dispatch

import (
	"context"
	"time"

	"hibiscuslane.example/hibiscuslane/carrier"
	"hibiscuslane.example/hibiscuslane/platform"
	"hibiscuslane.example/hibiscuslane/worker"
)

const (
	// maxReportDelay is how long a worker may hold a renewal request before it answers. It leaves time for
	// two more renewals before the lease expires.
	maxReportDelay = 900 * time.Millisecond
	// minRenewalMargin and maxRenewalMargin bound what is added to the requested report delay; after that a renewal has timed
	// out. The margin is renewalMarginFactor times the usual delay of responses: an owner that is overloaded gets them
	// late, and must not drop reports of ends that count as known once they were sent.
	minRenewalMargin    = 500 * time.Millisecond
	maxRenewalMargin    = 1500 * time.Millisecond
	renewalMarginFactor = 4
	// responseDelaySmoothing is the weight of a response in the moving average of their delay.
	responseDelaySmoothing = 0.02
	// minRenewalPause is the pause after a renewal that reported an end, so that the next report contains
	// several ends. renewalPause lengthens it with the number of busy workers, so that renewals use at most
	// maxRenewalCPUShare of the available processor time. Each renewal takes renewalCPUTime of a core, as
	// seen at a thousand renewals per second, or carriedRenewalCPUTime if a carrier sends it.
	minRenewalPause       = 25 * time.Millisecond
	renewalCPUTime        = 120 * time.Microsecond
	carriedRenewalCPUTime = 60 * time.Microsecond
	maxRenewalCPUShare    = 0.35
	// runListInterval is the time between two reports that list all runs of a worker, as long as the state
	// of all its runs is known.
	runListInterval = time.Second
	// renewalRetryDelay is the pause after a renewal that failed.
	renewalRetryDelay = 100 * time.Millisecond
)

// renewLeases renews the lease of a worker as long as it has runs or ends to acknowledge, and processes the
// reports that it receives.
func (d *Dispatcher) renewLeases(ctx context.Context, s *workerState) {
	if !d.awaitCarriers(ctx, s) {
		return
	}
	for ctx.Err() == nil {
		renewal, ok := d.nextRenewal(s)
		if !ok {
			select {
			case <-ctx.Done():
				return
			case <-s.renewalRequests:
			}
			continue
		}
		pause := d.renewLease(ctx, s, renewal)
		if pause > 0 && d.clock.Sleep(ctx, pause) != nil {
			return
		}
	}
}

// nextRenewal returns the renewal to send next. It returns false if none is needed because the worker has
// acknowledged the token, has no runs, knows which ends are stored, and no earlier start may take effect there.
func (d *Dispatcher) nextRenewal(s *workerState) (platform.Renewal, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock.Now()
	renewal := platform.Renewal{Incarnation: s.incarnation, FencingToken: worker.FencingToken(d.epoch)}
	if s.storedEnd > s.ackedEnd {
		// Not repeated once it is answered: a renewal that is carried out late makes the next incarnation forget its ends up to the number.
		renewal.LastSeenEnd = s.storedEnd
	}
	switch {
	case !s.tokenAcknowledged || s.incarnation == 0:
		if s.lease.HasClock() {
			renewal.LeaseDeadline = d.extendLease(s, now)
		}
		return renewal, true
	case s.isKnownIdle():
		if len(d.lateStarts[s.id]) > 0 && s.reportedEnd == s.ackedEnd {
			renewal.MaxWait = maxReportDelay
			return renewal, true
		}
		return renewal, s.storedEnd > s.ackedEnd || !s.unreachableSince.IsZero()
	}
	renewal.MaxWait = s.reportDelay()
	renewal.LeaseDeadline = d.extendLease(s, now)
	renewal.EndsOnly = now.Sub(s.runsListedAt) < runListInterval && s.canSkipRunList()
	return renewal, true
}

// reportDelay returns how long the worker may hold the next renewal request.
func (s *workerState) reportDelay() time.Duration {
	switch {
	case s.storedEnd > s.ackedEnd || s.hasUnresolvedRuns() || s.runsListedAt.IsZero():
		return 0
	case s.hasMixedTasks():
		return maxReportDelayMixed
	}
	return maxReportDelay
}

// isKnownIdle reports whether the incarnation of the worker has listed its runs and ends and nothing is known to run there.
func (s *workerState) isKnownIdle() bool {
	return len(s.runs) == 0 && len(s.orphanedRuns) == 0 && !s.hasMoreEnds && !s.runsListedAt.IsZero()
}

// extendLease returns the new end of a worker's lease, or zero if the lease must not be extended: that of an unreachable
// worker is to expire, a later owner may count on the leases of a term that is not confirmed any more, and without a lease
// runs that are to be stopped end also if their stops are lost.
func (d *Dispatcher) extendLease(s *workerState, now time.Time) worker.Clock {
	if !s.unreachableSince.IsZero() || !d.mayOrder() || !s.hasRunOfOpenJob() {
		return 0
	}
	if margin := s.lease.Remaining(now); s.lease.IsGranted() && d.leaseMargins.add(margin, now) {
		d.log.Info(eventRenewalLate, "worker", s.id, "margin", margin, "runs", len(s.runs))
	}
	return s.lease.Grant(now, min(leaseDuration, d.timing.MaxLease))
}

// canSkipRunList reports whether the next report need not list the runs: all runs are known to be running,
// the long-running ones at full speed, and no speed has to be adjusted.
func (s *workerState) canSkipRunList() bool {
	if len(s.orphanedRuns) > 0 {
		return false
	}
	for _, r := range s.runs {
		if r.phase != phaseRunning || r.step.LongRunning && r.fullSpeedSince.IsZero() {
			return false
		}
	}
	return !s.hasMixedTasks()
}

// hasUnresolvedRuns reports whether the worker has orphaned runs, or runs whose start or stop is not
// confirmed. The next report resolves them, so it is requested without delay.
func (s *workerState) hasUnresolvedRuns() bool {
	if len(s.orphanedRuns) > 0 {
		return true
	}
	for _, r := range s.runs {
		if r.phase == phaseUnconfirmed || r.phase == phaseStopping {
			return true
		}
	}
	return false
}

// renewLease sends one renewal, processes the report, and returns the pause before the next renewal.
func (d *Dispatcher) renewLease(ctx context.Context, s *workerState, renewal platform.Renewal) time.Duration {
	margin := renewalMargin(time.Duration(d.responseDelay.Load()))
	sent := d.clock.Now()
	report, err := d.renew(ctx, s, renewal, renewal.MaxWait+margin)
	d.mu.Lock()
	defer d.mu.Unlock()
	if ctx.Err() != nil {
		return 0
	}
	now := d.clock.Now()
	if carrier.IsLost(err) {
		d.avoidCarrier(s, err)
		return minRenewalPause // the worker is not known to be silent
	}
	if current, ok := platform.OtherIncarnation(err); ok {
		d.handleOtherIncarnation(s, current, sent)
		return minRenewalPause
	}
	if err != nil {
		return d.recordFailedRenewal(s, err, now)
	}
	if s.isOutdated(report, sent) {
		d.log.Info(eventReportOutdated, "worker", s.id, "birth", report.Incarnation, "current", s.incarnation)
		return minRenewalPause
	}
	s.ackedEnd = max(s.ackedEnd, renewal.LastSeenEnd)
	if renewal.MaxWait == 0 {
		usual := d.responseDelay.Load()
		d.responseDelay.Store(usual + int64(responseDelaySmoothing*float64(int64(now.Sub(sent))-usual)))
	}
	if !s.unreachableSince.IsZero() {
		d.log.Info(eventWorkerRecovered, "worker", s.id, "silent", now.Sub(s.unreachableSince))
	}
	s.unreachableSince = time.Time{}
	if lost, ok := d.lostRuns[s.registration.Machine]; ok && lost.incarnation == report.Incarnation {
		delete(d.lostRuns, s.registration.Machine) // it was only unreachable
	}
	hasNewEnds := d.applyReport(s, report, sent, now)
	if s.hasUnresolvedRuns() {
		return 2 * minRenewalPause
	}
	if hasNewEnds || renewal.MaxWait == 0 || s.reportedEnd > s.storedEnd {
		return renewalPause(d.busyWorkers, d.renewalTime(), d.cores)
	}
	return 0
}

// handleOtherIncarnation processes a call, made at the given time, that was not sent because another incarnation of the worker answers.
func (d *Dispatcher) handleOtherIncarnation(s *workerState, current worker.Incarnation, sent time.Time) {
	if current != s.incarnation && !s.isOutdated(worker.Report{Incarnation: current}, sent) {
		d.handleRestart(s, current)
	}
}

// isOutdated reports whether a report that was requested at the given time comes from an earlier incarnation of the worker.
// Its start time does not show that, since clocks may jump.
func (s *workerState) isOutdated(report worker.Report, sent time.Time) bool {
	return report.Incarnation != 0 && s.incarnation != 0 && report.Incarnation != s.incarnation && sent.Before(s.incarnationKnownAt)
}

// renewalMargin returns how much later than requested a report may arrive, given the usual delay of responses.
func renewalMargin(usualDelay time.Duration) time.Duration {
	return min(max(renewalMarginFactor*usualDelay, minRenewalMargin), maxRenewalMargin)
}

// renewalPause returns the pause after a renewal that reported an end or was to be answered at once. It
// depends on the number of busy workers, the processor time of a renewal and the owner's processor cores. In a burst of short tasks, capacity
// is released only when an end is seen, so a pause that is longer than the processor requires lowers the
// throughput of the pool.
func renewalPause(busyWorkers int, renewalTime time.Duration, cores float64) time.Duration {
	return minRenewalPause + time.Duration(float64(busyWorkers)*float64(renewalTime)/(maxRenewalCPUShare*cores))
}

// renewalTime returns the processor time of one renewal.
func (d *Dispatcher) renewalTime() time.Duration {
	if len(d.carriers.sessions) > 0 {
		return carriedRenewalCPUTime
	}
	return renewalCPUTime
}

// recordFailedRenewal marks a worker as unreachable after a failed renewal and returns the pause before the
// next one. If the refusal shows that the incarnation has ended, its runs end too.
func (d *Dispatcher) recordFailedRenewal(s *workerState, err error, now time.Time) time.Duration {
	refusal, refused := platform.WorkerRefusal(err)
	if refused && refusal == worker.RefusedStaleToken {
		d.log.Warn(eventFencedByLaterOwner, "worker", s.id, "epoch", d.epoch)
	}
	if s.unreachableSince.IsZero() {
		s.unreachableSince = now
		d.log.Info(eventWorkerUnreachable, "worker", s.id, "error", err)
		if s.successor != nil {
			d.endEarlierIncarnations(s.successor)
		}
	}
	if refused && refusal == worker.RefusedWrongIncarnation {
		d.endIncarnation(s, now)
	}
	return renewalRetryDelay
}
