package dispatch

import (
	"context"
	"maps"
	"slices"
	"strings"
	"time"

	"hibiscuslane.example/hibiscuslane/carrier"
	"hibiscuslane.example/hibiscuslane/platform"
	"hibiscuslane.example/hibiscuslane/schedule"
	"hibiscuslane.example/hibiscuslane/task"
	"hibiscuslane.example/hibiscuslane/worker"
)

const (
	// leaseDuration is the lease that workers are given. It must outlast an election after the owner has
	// failed without notice.
	leaseDuration = 3500 * time.Millisecond
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
	// orderTimeout limits an order. Workers answer at once and are a few milliseconds away.
	orderTimeout = 400 * time.Millisecond
	// renewalRetryDelay is the pause after a renewal that failed.
	renewalRetryDelay = 100 * time.Millisecond
	// maxQueuedOrders limits the number of orders queued for one worker.
	maxQueuedOrders = 256
	// suspectDuration is how long a worker is chosen last after it refused a task or did not answer the
	// order to start one.
	suspectDuration = 2 * time.Second
	// quarantineThreshold is the number of consecutive failed runs after which a worker is assumed to fail
	// every task.
	quarantineThreshold = 3
	// quarantineDuration is how long such a worker is chosen last.
	quarantineDuration = 8 * time.Second
)

// workerState is what the owner knows about one worker. It is guarded by Dispatcher.mu.
type workerState struct {
	id          worker.ID
	incarnation worker.Incarnation
	// incarnationKnownAt is when the incarnation became known. Responses to earlier calls may come from an earlier one.
	incarnationKnownAt time.Time
	registration       worker.Registration
	client             *platform.Worker
	rack               string
	lease              worker.Lease
	runs               map[runID]*run
	// longRunningReserved is the part of reserved that long-running runs need.
	longRunningReserved task.Resources
	// longRunningRuns, latencySensitiveRuns and bestEffortRuns are the numbers of long-running runs, of those with a latency
	// target and of best-effort ones.
	longRunningRuns, latencySensitiveRuns, bestEffortRuns int
	// candidate describes the worker in the current plan.
	candidate schedule.Worker
	// reserved is the capacity reserved for runs. It includes runs whose start is not confirmed and runs
	// that are being stopped.
	reserved task.Resources
	// tokenAcknowledged is set once the worker has answered a call with the fencing token of this term,
	// after which it rejects orders of earlier owners. It is reset when the worker's incarnation or lease has
	// ended.
	tokenAcknowledged bool
	// reportedEnd is the number of the last end that was processed, submittedEnd of the last that was
	// passed to the ledger, storedEnd of the last that the ledger confirmed, and ackedEnd of the last that
	// the worker was told to discard.
	reportedEnd, submittedEnd, storedEnd, ackedEnd worker.EndNumber
	// unreachableSince is when lease renewals began to fail; zero while they succeed.
	unreachableSince time.Time
	// orphanedRuns are the runs in the last report that the owner does not know, with the time of the last stop. The
	// capacity that they use is unknown too, so the worker takes no tasks until they have ended.
	orphanedRuns map[runID]time.Time
	// runsListedAt is when the worker last listed all its runs; zero if its incarnation has not.
	runsListedAt time.Time
	// suspectUntil is the time until which the worker is chosen last.
	suspectUntil time.Time
	// consecutiveFailures is the number of failed runs since the last successful one.
	consecutiveFailures int
	// orders are the queued orders, except stops, and stops the queued stops.
	orders, stops   chan func(context.Context)
	renewalRequests chan struct{}
	// session carries the calls to the worker while directUntil has passed (see carrierOf). It was assigned when the carriers
	// had the version sessionVersion.
	session        *carrier.Session
	sessionVersion int
	directUntil    time.Time
	// cancel stops the renewals and the sending of orders.
	cancel context.CancelFunc
	// endedByOrder is set once a machine order (move or maintenance) has ended the worker's incarnation.
	endedByOrder bool
	// successor is a later worker that has registered on the machine since successorSince; nil if none has, or if this one
	// answers and that one does not. The registration of this one may last for some more seconds.
	successor      *workerState
	successorSince time.Time
	// hasAnswered is set once a report has named the incarnation. Until then, its registration is a claim of its writer.
	hasAnswered bool
	// idleSince is when the last run ended or, if there was none, when the worker was added.
	idleSince time.Time
	// drainingForMaintenance is set while the machine is drained for maintenance.
	drainingForMaintenance bool
	// closedSince is when the worker was closed to tasks so that its machine can be maintained; zero if it is open.
	closedSince time.Time
	// unattributedCrash is set while it is not known which runs a crash of the worker has ended.
	unattributedCrash *crash
}

// isOverCapacity reports whether the runs on the worker need more than it has. Its capacity may shrink after they were
// placed.
func (s *workerState) isOverCapacity() bool { return !s.registration.Capacity.CanFit(s.reserved) }

// isSettled reports whether the worker has answered in this term, is not silent, and every end that it has reported is
// stored. Otherwise an order for its machine may lose ends that no later owner knows of, and their tasks run again.
func (s *workerState) isSettled() bool {
	return s.tokenAcknowledged && s.unreachableSince.IsZero() && s.storedEnd == s.reportedEnd
}

// requestRenewal triggers a renewal without delay.
func (s *workerState) requestRenewal() {
	select {
	case s.renewalRequests <- struct{}{}:
	default:
	}
}

// enqueueOrder adds an order to one of the queues of a worker and reports whether the queue had space.
func enqueueOrder(queue chan func(context.Context), order func(context.Context)) bool {
	select {
	case queue <- order:
		return true
	default:
		return false
	}
}

// rackLabel returns the label of a worker that names its rack: the last label with a hyphen or, if none has
// one, the last of several labels.
func rackLabel(labels []string) string {
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

// addWorker adds a newly registered worker with the runs that were placed on it, and starts to renew its lease
// and to send its orders.
func (d *Dispatcher) addWorker(registration worker.Registration) *workerState {
	ctx, cancel := context.WithCancel(d.ctx)
	s := &workerState{
		id: registration.ID, incarnation: registration.Incarnation, registration: registration, rack: rackLabel(registration.Labels), runs: map[runID]*run{},
		client: &platform.Worker{ID: registration.ID, Address: registration.Address, Client: d.workerClient},
		orders: make(chan func(context.Context), maxQueuedOrders), stops: make(chan func(context.Context), maxQueuedOrders), renewalRequests: make(chan struct{}, 1), cancel: cancel,
		idleSince: d.clock.Now(), incarnationKnownAt: d.clock.Now(),
	}
	d.workers[registration.ID] = s
	for _, r := range d.inheritedRuns[registration.Machine] {
		if r.workerID == registration.ID && d.runs[r.id] == r {
			r.worker = s
			s.reserve(r)
		}
	}
	go d.renewLeases(ctx, s)
	go d.sendOrders(ctx, s)
	return s
}

// reserve adds a run to the worker and reserves capacity for it.
func (s *workerState) reserve(r *run) {
	s.runs[r.id] = r
	s.reserved = s.reserved.Add(r.reservation)
	s.countRun(r, 1)
}

// countRun adds change, which is 1 or -1, to the numbers and reservations of runs of the kind of a run.
func (s *workerState) countRun(r *run, change int) {
	if r.step.LongRunning {
		s.longRunningRuns += change
		if change > 0 {
			s.longRunningReserved = s.longRunningReserved.Add(r.reservation)
		} else {
			s.longRunningReserved = s.longRunningReserved.Sub(r.reservation)
		}
	}
	if r.step.LatencyTarget > 0 {
		s.latencySensitiveRuns += change
	}
	if r.step.BestEffort {
		s.bestEffortRuns += change
	}
}

// release removes a run from the worker and releases its capacity.
func (s *workerState) release(r *run, now time.Time) {
	if s.runs[r.id] == r {
		delete(s.runs, r.id)
		s.reserved = s.reserved.Sub(r.reservation)
		s.countRun(r, -1)
		s.idleSince = now
	}
}

// sendOrders sends the queued orders of a worker one after the other. Stops go first, because each start that is not
// answered takes orderTimeout.
func (d *Dispatcher) sendOrders(ctx context.Context, s *workerState) {
	for ctx.Err() == nil {
		order := s.nextOrder(ctx)
		if order == nil {
			return
		}
		callCtx, cancel := d.clock.WithTimeout(ctx, orderTimeout)
		order(callCtx)
		cancel()
	}
}

// nextOrder waits for the order to send next. It returns nil once ctx has ended.
func (s *workerState) nextOrder(ctx context.Context) func(context.Context) {
	select {
	case order := <-s.stops:
		return order
	default:
	}
	select {
	case <-ctx.Done():
		return nil
	case order := <-s.stops:
		return order
	case order := <-s.orders:
		return order
	}
}

// renewLeases renews the lease of a worker as long as it has runs or ends to acknowledge, and processes the
// reports that it receives.
func (d *Dispatcher) renewLeases(ctx context.Context, s *workerState) {
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
	renewal := platform.Renewal{FencingToken: worker.FencingToken(d.epoch), LastSeenEnd: s.storedEnd}
	switch {
	case !s.tokenAcknowledged || s.incarnation == 0:
		if s.lease.HasClock() {
			renewal.LeaseDeadline = d.extendLease(s, now)
		}
		return renewal, true
	case s.hasNoRuns():
		if now.Before(d.lateStarts[s.id]) && s.storedEnd == s.ackedEnd {
			renewal.MaxWait = maxReportDelay
			return renewal, true
		}
		return renewal, s.storedEnd > s.ackedEnd || !s.unreachableSince.IsZero()
	}
	renewal.MaxWait = s.maxReportDelay()
	renewal.LeaseDeadline = d.extendLease(s, now)
	renewal.EndsOnly = now.Sub(s.runsListedAt) < runListInterval && s.canSkipRunList()
	return renewal, true
}

// maxReportDelay returns how long the worker may hold the next renewal request.
func (s *workerState) maxReportDelay() time.Duration {
	switch {
	case s.storedEnd > s.ackedEnd || s.hasUnresolvedRuns() || s.runsListedAt.IsZero():
		return 0
	case s.hasMixedTasks():
		return maxReportDelayMixed
	}
	return maxReportDelay
}

// hasNoRuns reports whether nothing is known to run on the worker, and its incarnation has listed its runs.
func (s *workerState) hasNoRuns() bool {
	return len(s.runs) == 0 && len(s.orphanedRuns) == 0 && !s.runsListedAt.IsZero()
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
	if hasNewEnds || renewal.MaxWait == 0 {
		return renewalPause(d.busyWorkers, d.renewalTime(), d.cores)
	}
	return 0
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

// applyReport processes a worker's status report, the response to a renewal that was sent at the given time.
// It reports whether the report contained a new end.
func (d *Dispatcher) applyReport(s *workerState, report worker.Report, sent, now time.Time) bool {
	if report.Incarnation != 0 && s.incarnation != report.Incarnation {
		if s.incarnation != 0 {
			d.handleRestart(s, report.Incarnation)
		}
		s.incarnation, s.incarnationKnownAt = report.Incarnation, now
	}
	if report.Incarnation != 0 && !s.hasAnswered {
		s.hasAnswered = true
		d.endEarlierIncarnations(s)
	}
	s.keepBesideSuccessor(sent)
	s.lease.RecordClock(report.Clock, now)
	firstReport := !s.tokenAcknowledged
	s.tokenAcknowledged = true
	hasNewEnds := false
	for _, end := range report.Ended {
		if end.Number <= s.reportedEnd {
			continue
		}
		s.reportedEnd = end.Number
		hasNewEnds = true
		if r := s.runs[runID{key: end.Key, number: end.Run}]; r != nil {
			d.endRun(r, end.Cause, end.Checkpoint, now)
			continue
		}
		d.handleUnknownEnd(s, end, now)
	}
	if report.HasRunning {
		s.runsListedAt = now
		d.reconcileRuns(s, report, sent, now)
	}
	d.adjustSpeeds(s)
	if firstReport {
		d.log.Info(eventWorkerReached, "worker", s.id, "running", len(report.Running), "ended", len(report.Ended))
	}
	if hasNewEnds || firstReport {
		d.requestCycle()
	}
	return hasNewEnds
}

// reconcileRuns compares the runs that a worker lists with those that the owner expects there.
func (d *Dispatcher) reconcileRuns(s *workerState, report worker.Report, sent, now time.Time) {
	listed := map[runID]bool{}
	orphanedRuns := map[runID]time.Time{}
	for _, reported := range report.Running {
		id := runID{key: reported.Key, number: reported.Number}
		listed[id] = true
		if r := s.runs[id]; r != nil {
			d.applyRunReport(r, reported, now)
			continue
		}
		orphanedRuns[id] = s.orphanedRuns[id]
	}
	s.orphanedRuns = orphanedRuns
	d.stopOrphanedRuns(s, now)
	d.attributeCrash(s, listed, sent, now)
	for id, r := range s.runs {
		if !listed[id] {
			d.handleUnlistedRun(r, sent, now)
		}
	}
}

// handleRestart processes a new incarnation of a worker. The runs that a report of the earlier one has listed have ended.
// Any other order may have reached the new one, whether it was answered or not: the next report shows which.
func (d *Dispatcher) handleRestart(s *workerState, incarnation worker.Incarnation) {
	now := d.clock.Now()
	d.log.Info(eventWorkerRestarted, "worker", s.id, "birth", s.incarnation, "next", incarnation, "runs", len(s.runs))
	var ended, uncertain []*run
	for _, r := range s.runs {
		switch {
		case r.phase == phasePlanned:
			// The order has not been sent. It goes to the new incarnation or, if that has not answered by then, the
			// run is removed (see sendStart).
		case r.listedBy == s.incarnation && r.phase != phaseUnconfirmed:
			ended = append(ended, r)
		default:
			uncertain = append(uncertain, r)
		}
	}
	if lost := d.takeLostRuns(s.registration.Machine, incarnation); !s.isLeaving() {
		d.recordRestartCrash(s, append(lost, ended...), uncertain, now)
	}
	s.incarnation, s.incarnationKnownAt = incarnation, now
	s.tokenAcknowledged, s.hasAnswered, s.runsListedAt = false, false, time.Time{}
	s.lease = worker.Lease{}
	if len(uncertain) > 0 {
		// Deadlines of the earlier incarnation's clock may exceed the longest lease on the new one's.
		s.lease.HeldUntil = now.Add(d.timing.MaxLease + maxLeaseLifetime)
	}
	s.reportedEnd, s.submittedEnd, s.storedEnd, s.ackedEnd, s.orphanedRuns = 0, 0, 0, 0, nil
	for _, r := range uncertain {
		if r.phase != phaseStopping {
			r.phase = phaseUnconfirmed
		}
		r.stopSentAt, r.stopConfirmedAt = time.Time{}, time.Time{}
	}
	for _, r := range ended {
		d.endLostRun(r, worker.CauseLeaseExpired, now)
	}
}

// endIncarnation ends all runs of a worker whose incarnation is known to have ended: another incarnation or
// worker answers at its address, or its machine is being moved or maintained.
func (d *Dispatcher) endIncarnation(s *workerState, now time.Time) {
	if len(s.runs) > 0 {
		d.log.Info(eventIncarnationEnded, "worker", s.id, "machine", s.registration.Machine, "runs", len(s.runs))
	}
	if lost := d.takeLostRuns(s.registration.Machine, 0); !s.isLeaving() {
		d.recordCrash(s.registration.Machine, slices.AppendSeq(lost, maps.Values(s.runs)), now)
	}
	for _, r := range s.runs {
		d.endLostRun(r, worker.CauseLeaseExpired, now)
	}
	s.tokenAcknowledged = false
}

// runsOfMachine returns the runs on all workers of a machine, and those that earlier owners ordered there.
func (d *Dispatcher) runsOfMachine(machine worker.MachineID) []*run {
	var runs []*run
	for _, r := range d.inheritedRuns[machine] {
		if d.runs[r.id] == r && r.worker == nil {
			runs = append(runs, r)
		}
	}
	for _, s := range d.workers {
		if s.registration.Machine == machine {
			runs = slices.AppendSeq(runs, maps.Values(s.runs))
		}
	}
	return runs
}
