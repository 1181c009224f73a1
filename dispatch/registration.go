package dispatch

import (
	"time"

	"hibiscuslane.example/hibiscuslane/platform"
	"hibiscuslane.example/hibiscuslane/pool"
	"hibiscuslane.example/hibiscuslane/queue"
	"hibiscuslane.example/hibiscuslane/worker"
)

const (
	// registrationPollInterval is the time between reads of the registrations.
	registrationPollInterval = 150 * time.Millisecond
	// readTimeout limits a read of the store, which answers in 4 ms and, when it is slow, in about 0.4 s.
	readTimeout = 1200 * time.Millisecond
	// registrationPartition is the partition that holds the registrations.
	registrationPartition = 0
)

// pollRegistrations keeps the registrations of workers up to date.
func (d *Dispatcher) pollRegistrations() {
	next := platform.Offset(-1)
	for {
		var err error
		if next < 0 {
			next, err = d.loadRegistrations()
		} else {
			next, err = d.readRegistrationChanges(next)
		}
		if err != nil && d.ctx.Err() == nil {
			d.log.Info(eventRegistrationReadFailed, "error", err)
			d.mu.Lock()
			d.registrationsUnreadAt = d.clock.Now()
			d.mu.Unlock()
		}
		if d.clock.Sleep(d.ctx, registrationPollInterval) != nil {
			return
		}
	}
}

// loadRegistrations reads all registrations, waits until the stored jobs are loaded, and drops the registrations that no
// longer exist. It returns the offset from which to read changes, or -1 if it fails.
func (d *Dispatcher) loadRegistrations() (platform.Offset, error) {
	callCtx, cancel := d.clock.WithTimeout(d.ctx, readTimeout)
	defer cancel()
	records, end, err := d.store.Newest(callCtx, platform.TopicWorkers, registrationPartition)
	if err != nil {
		return -1, err
	}
	select {
	case <-d.ctx.Done():
		return -1, d.ctx.Err()
	case <-d.restored:
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.unnamedPoolRecords = nil
	present := map[worker.ID]bool{}
	for _, r := range records {
		present[worker.ID(r.Key)] = true
		d.applyRegistration(r)
	}
	for id := range d.registrations {
		if !present[id] {
			d.applyRegistration(platform.Record{Key: string(id)})
		}
	}
	d.registrationsLoadedAt = d.clock.Now()
	d.log.Info(eventRegistrationsLoaded, "workers", len(d.registrations), "offset", end)
	d.requestCycle()
	return end, nil
}

// readRegistrationChanges reads the registrations that changed since the given offset. It returns the offset
// from which to read next, or -1 if all registrations must be read again.
func (d *Dispatcher) readRegistrationChanges(next platform.Offset) (platform.Offset, error) {
	callCtx, cancel := d.clock.WithTimeout(d.ctx, readTimeout)
	defer cancel()
	batch, err := d.store.Read(callCtx, platform.TopicWorkers, registrationPartition, next, 0)
	if _, expired := platform.FirstKeptOffset(err); expired {
		return -1, nil
	}
	if err != nil {
		return next, err
	}
	if batch.EndOffset < next {
		return -1, nil // the partition was replaced
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, r := range batch.Records {
		d.applyRegistration(r)
	}
	return batch.NextOffset, nil
}

// applyRegistration processes one record: a new, changed or removed registration of a worker.
func (d *Dispatcher) applyRegistration(record platform.Record) {
	id := worker.ID(record.Key)
	previous, known := d.registrations[id]
	delete(d.unnamedPoolRecords, id)
	if len(record.Value) == 0 {
		if known {
			d.log.Info(eventRegistrationRemoved, "worker", id, "offset", record.Offset)
		}
		delete(d.registrations, id)
		return
	}
	registration, err := platform.ParseRegistration(record.Key, record.Value)
	if err == nil && !d.isPoolNamed(registration.Pool) {
		err = &UnnamedPoolError{Worker: id, Pool: registration.Pool}
		d.keepUnnamedPoolRecord(id, record)
	}
	if err != nil {
		if known {
			// Another writer may have overwritten the entry, so the worker may go on working.
			d.log.Info(eventRegistrationUnreadable, "worker", id, "error", err)
			previous.State = worker.StateUnreadable
			d.registrations[id] = previous
		}
		return
	}
	d.registrations[id] = registration
	s := d.workers[id]
	if s == nil {
		s = d.addWorker(registration)
		d.endEarlierIncarnations(s)
		d.maintenance.clearOrderOnReturn(registration.Machine, registration.Incarnation, registration.Pool)
		d.log.Info(eventWorkerRegistered, "worker", id, "pool", registration.Pool, "machine", registration.Machine, "state", registration.State, "offset", record.Offset)
		d.requestCycle()
		return
	}
	if known && previous.State != registration.State {
		d.log.Info(eventWorkerStateChanged, "worker", id, "state", registration.State, "runs", len(s.runs), "offset", record.Offset)
	}
	d.checkIncarnation(s, previous.Incarnation, registration.Incarnation)
	if registration.Address != s.registration.Address {
		d.connect(s, registration.Address)
	}
	d.setRegistration(s, registration)
	s.rack = rackLabel(registration.Labels)
}

// checkIncarnation processes the incarnation in a changed registration of a known worker.
func (d *Dispatcher) checkIncarnation(s *workerState, previous, registered worker.Incarnation) {
	switch {
	case registered == 0 || s.incarnation == 0 || registered == s.incarnation || registered == previous:
	case registered > s.incarnation:
		d.handleRestart(s, registered)
		s.requestRenewal()
	default:
		// The clock of the worker may have been set back before a restart. The next report shows that.
		s.runsListedAt = time.Time{}
		s.requestRenewal()
	}
}

// isPoolNamed reports whether a configuration or a stored job has named a pool in this term. Entries of other pools come
// from other programs and say nothing about the workers of a machine. While no configuration is known, workers are accepted
// so that their leases are renewed.
func (d *Dispatcher) isPoolNamed(name pool.Name) bool { return d.config == nil || d.namedPools[name] }

// keepUnnamedPoolRecord keeps an entry until a configuration names its pool.
func (d *Dispatcher) keepUnnamedPoolRecord(id worker.ID, record platform.Record) {
	if d.unnamedPoolRecords == nil {
		d.unnamedPoolRecords = map[worker.ID]platform.Record{}
	}
	d.unnamedPoolRecords[id] = record
}

// namePools records that the pools of a configuration are in use, and applies the registrations that were kept for them.
// Registrations that were accepted before the first configuration and belong to no pool are dropped.
func (d *Dispatcher) namePools(config *queue.Config) {
	for _, p := range config.Pools() {
		d.namedPools[p.Name] = true
	}
	for id, r := range d.registrations {
		if !d.namedPools[r.Pool] {
			d.log.Info(eventRegistrationUnreadable, "worker", id, "error", &UnnamedPoolError{Worker: id, Pool: r.Pool})
			delete(d.registrations, id)
		}
	}
	records := d.unnamedPoolRecords
	d.unnamedPoolRecords = nil
	for _, r := range records {
		d.applyRegistration(r)
	}
}

// endEarlierIncarnations ends earlier workers on the machine of a worker, and their runs. Until the worker has answered, its
// registration may come from another program: then only runs on workers that do not answer either, or that an order for the
// machine has ended, are ended, and none before the pools are known.
func (d *Dispatcher) endEarlierIncarnations(s *workerState) {
	machine := s.registration.Machine
	if machine == "" || s.incarnation == 0 || d.config == nil && !s.hasAnswered {
		return
	}
	now := d.clock.Now()
	isCertain := s.hasAnswered || d.maintenance.isReturnExpected(machine, s.incarnation)
	var ended []*run
	if isCertain {
		ended = d.takeLostRuns(machine, s.incarnation)
	}
	leaving := false
	for _, r := range d.runsOfMachine(machine) {
		if r.endsWithStartOf(s, isCertain) {
			ended = append(ended, r)
			leaving = leaving || r.worker != nil && r.worker.isLeaving()
		}
	}
	if !leaving {
		d.recordCrash(machine, ended, now)
	}
	d.setSuccessor(s, now)
	for _, r := range ended {
		d.endLostRun(r, worker.CauseLeaseExpired, now)
	}
}

// setSuccessor records a worker as the successor of the earlier ones on its machine.
func (d *Dispatcher) setSuccessor(s *workerState, now time.Time) {
	for _, earlier := range d.workersByMachine[s.registration.Machine] {
		if earlier.id != s.id && earlier.incarnation < s.incarnation {
			earlier.successor, earlier.successorSince = s, now
		}
	}
}

// keepBesideSuccessor forgets the successor of a worker that answers a call which was sent after the successor had
// registered, unless that has answered too.
func (s *workerState) keepBesideSuccessor(sent time.Time) {
	if s.successor != nil && !s.successor.hasAnswered && !sent.Before(s.successorSince) {
		s.successor = nil
	}
}

// endsWithStartOf reports whether a run has ended because a later worker has started on its machine. Unless that is certain, it
// has if its own worker is silent.
func (r *run) endsWithStartOf(s *workerState, isCertain bool) bool {
	if r.workerID == s.id || r.incarnation >= s.incarnation {
		return false
	}
	return isCertain || r.worker != nil && !r.worker.unreachableSince.IsZero()
}

// isLaterThan reports whether a worker is the later one of two on a machine. One that answers a call which was sent after the
// other had registered is not replaced by that one before it has answered too.
func (s *workerState) isLaterThan(other *workerState) bool {
	if s.incarnation < other.incarnation {
		return !other.isLaterThan(s)
	}
	isKept := other.successor == nil && other.hasAnswered && other.unreachableSince.IsZero()
	return s.incarnation > other.incarnation && (s.hasAnswered || !isKept)
}
