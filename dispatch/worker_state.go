package dispatch

import (
	"context"
	"maps"
	"slices"
	"strings"
	"time"

	"hibiscuslane.example/hibiscuslane/carrier"
	"hibiscuslane.example/hibiscuslane/instance"
	"hibiscuslane.example/hibiscuslane/platform"
	"hibiscuslane.example/hibiscuslane/schedule"
	"hibiscuslane.example/hibiscuslane/task"
	"hibiscuslane.example/hibiscuslane/worker"
)

const (
	// leaseDuration is the lease that workers are given. It must outlast an election after the owner has
	// failed without notice.
	leaseDuration = 3500 * time.Millisecond
	// orderTimeout limits an order. Workers answer at once and are a few milliseconds away.
	orderTimeout = 400 * time.Millisecond
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
	// hasMoreEnds is set while the worker may hold ends that its last report did not list.
	hasMoreEnds bool
	// unreachableSince is when lease renewals began to fail; zero while they succeed.
	unreachableSince time.Time
	// orphanedRuns are the runs in the last report that the owner does not know. The capacity that they use is unknown
	// too, so the worker takes no tasks until they have ended.
	orphanedRuns map[runID]*stopState
	// runsListedAt is when the worker last listed all its runs; zero if its incarnation has not.
	runsListedAt time.Time
	// suspectUntil is the time until which the worker is chosen last.
	suspectUntil time.Time
	// consecutiveFailures is the number of failed runs since the last successful one.
	consecutiveFailures int
	// orders are the orders that wait to be sent by the owner itself.
	orders          orderQueue
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
	// busyUntil is when the last of the batch runs placed on the worker would have ended by their estimates.
	busyUntil time.Time
	// drainingForMaintenance is set while the machine is drained for maintenance.
	drainingForMaintenance bool
	// closedSince is when the worker was closed to tasks so that its machine can be maintained; zero if it is open.
	closedSince time.Time
	// lateOrdersUntil is until when orders with a deadline for earlier incarnations may take effect.
	lateOrdersUntil time.Time
	// unattributedCrash is set while it is not known which runs a crash of the worker has ended.
	unattributedCrash *crash
}

// isOverCapacity reports whether the runs on the worker need more than it has. Its capacity may shrink after they were
// placed.
func (s *workerState) isOverCapacity() bool { return !s.registration.Capacity.CanFit(s.reserved) }

// isSettled reports whether the worker has answered in this term, is not silent, and every end that it holds was reported and
// is stored. Otherwise an order for its machine may lose ends that no later owner knows of, and their tasks run again.
func (s *workerState) isSettled() bool {
	return s.tokenAcknowledged && s.unreachableSince.IsZero() && s.storedEnd == s.reportedEnd && !s.hasMoreEnds
}

// requestRenewal triggers a renewal without delay.
func (s *workerState) requestRenewal() {
	select {
	case s.renewalRequests <- struct{}{}:
	default:
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
		renewalRequests: make(chan struct{}, 1), cancel: cancel, idleSince: d.clock.Now(), incarnationKnownAt: d.clock.Now(),
	}
	d.connect(s, registration.Address)
	d.workers[registration.ID] = s
	d.addToMachine(s)
	d.unsettledWorkers++ // until checkTimeouts counts again
	for _, r := range d.inheritedRuns[registration.Machine] {
		if r.workerID == registration.ID && d.runs[r.id] == r {
			r.worker = s
			s.reserve(r)
		}
	}
	d.checkInheritedRuns(s)
	for _, late := range d.lateStarts[s.id] {
		late.stop = stopState{} // an order that waited in the queue of a removed workerState is not sent
	}
	go d.renewLeases(ctx, s)
	go d.sendOrders(ctx, s)
	return s
}

// connect makes further calls to a worker go to its present incarnation at the given address.
func (d *Dispatcher) connect(s *workerState, address instance.Address) {
	if s.client != nil {
		s.client.Close()
	}
	s.client = &platform.Worker{ID: s.id, Address: address, Incarnation: s.incarnation, FencingToken: worker.FencingToken(d.epoch), Client: d.workerClient}
}

// closeClients closes the connections to all workers at the end of the term.
func (d *Dispatcher) closeClients() {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, s := range d.workers {
		s.client.Close()
	}
}

// reserve adds a run to the worker and reserves capacity for it.
func (s *workerState) reserve(r *run) {
	s.runs[r.id] = r
	s.reserved = s.reserved.Add(r.reservation)
	s.countRun(r, 1)
	if end := r.startSentAt.Add(r.step.Estimate); !r.step.LongRunning && end.After(s.busyUntil) {
		s.busyUntil = end
	}
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

// sendOrders sends the queued orders of a worker one after the other. An order that is not answered takes orderTimeout.
func (d *Dispatcher) sendOrders(ctx context.Context, s *workerState) {
	for {
		send := s.orders.take(ctx)
		if send == nil {
			return
		}
		callCtx, cancel := d.clock.WithTimeout(ctx, orderTimeout)
		send(callCtx)
		cancel()
	}
}

// applyReport processes a worker's status report, the response to a renewal that was sent at the given time.
// It reports whether the report contained a new end.
func (d *Dispatcher) applyReport(s *workerState, report worker.Report, sent, now time.Time) bool {
	if report.Incarnation != 0 && s.incarnation != report.Incarnation {
		if s.incarnation != 0 {
			d.handleRestart(s, report.Incarnation)
		} else {
			s.incarnation, s.incarnationKnownAt = report.Incarnation, now
			d.connect(s, s.client.Address)
			d.checkInheritedRuns(s)
		}
	}
	if report.Incarnation != 0 && !s.hasAnswered {
		s.hasAnswered = true
		d.endEarlierIncarnations(s)
	}
	s.keepBesideSuccessor(sent)
	s.lease.RecordClock(report.Clock, now)
	firstReport := !s.tokenAcknowledged
	s.tokenAcknowledged, s.hasMoreEnds = true, len(report.Ended) >= platform.MaxListedEnds
	hasNewEnds := false
	for _, end := range report.Ended {
		if end.Number <= s.reportedEnd {
			continue
		}
		s.reportedEnd = end.Number
		hasNewEnds = true
		d.settleLateStart(s.id, runID{key: end.Key, number: end.Run})
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
	orphanedRuns := map[runID]*stopState{}
	for _, reported := range report.Running {
		id := runID{key: reported.Key, number: reported.Number}
		listed[id] = true
		if r := s.runs[id]; r != nil {
			d.applyRunReport(r, reported, now)
			continue
		}
		if orphanedRuns[id] = s.orphanedRuns[id]; orphanedRuns[id] == nil {
			orphanedRuns[id] = &stopState{}
		}
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
			// The order has not been sent, and is not: the stored placement names the earlier incarnation.
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
	d.connect(s, s.client.Address)
	s.tokenAcknowledged, s.hasAnswered, s.runsListedAt = false, false, time.Time{}
	if len(uncertain) > 0 || now.Sub(s.lease.GrantedAt()) < lateStartTime {
		d.extendLeaseBound(s.id, now.Add(maxLeaseLifetime+d.timing.MaxLease))
	}
	if s.lease.IsGranted() {
		s.lateOrdersUntil = s.lease.GrantedAt().Add(lateStartTime)
	}
	s.lease = worker.Lease{}
	s.reportedEnd, s.submittedEnd, s.storedEnd, s.ackedEnd, s.hasMoreEnds, s.orphanedRuns = 0, 0, 0, 0, false, nil
	for _, r := range uncertain {
		if r.phase != phaseStopping {
			r.phase = phaseUnconfirmed
		}
		r.stop.sentAt, r.stop.confirmedAt = time.Time{}, time.Time{}
	}
	for _, r := range ended {
		d.endLostRun(r, worker.CauseLeaseExpired, now)
	}
	for _, late := range d.lateStarts[s.id] {
		late.stop.sentAt = time.Time{}
	}
	d.stopLateStarts(s, now)
	d.checkInheritedRuns(s)
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
	for _, s := range d.workersByMachine[machine] {
		runs = slices.AppendSeq(runs, maps.Values(s.runs))
	}
	return runs
}
