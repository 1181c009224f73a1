package dispatch

import (
	"context"
	"encoding/json"
	"time"

	"hibiscuslane.example/hibiscuslane/balance"
	"hibiscuslane.example/hibiscuslane/ledger"
	"hibiscuslane.example/hibiscuslane/platform"
	"hibiscuslane.example/hibiscuslane/pool"
	"hibiscuslane.example/hibiscuslane/task"
	"hibiscuslane.example/hibiscuslane/wave"
	"hibiscuslane.example/hibiscuslane/worker"
)

const (
	// machinePollInterval is the time between two checks of waves and pools, for which the list of machines is read if
	// listTimePerMachine allows it, and between attempts to send a machine order. A burst lasts some seconds, so a few reads per
	// second are enough; the platform allows 64 per second for all processes together.
	machinePollInterval = 120 * time.Millisecond
	// listTimePerMachine limits the reads of a long list of machines: the time between two of them is at least this
	// long per machine. A read takes some 30 microseconds of a core and 200 bytes of the link for each.
	listTimePerMachine = 1500 * time.Microsecond
	// machineCallTimeout limits one call that concerns machines.
	machineCallTimeout = 1500 * time.Millisecond
	// minFullSpeedTime is how long a task must have been at full speed before another task of its step may
	// be evicted.
	minFullSpeedTime = 700 * time.Millisecond
	// maxCloseTime is how long the tasks of a worker whose machine is to be maintained may run on before they are stopped.
	maxCloseTime = 8 * time.Second
	// statusPartition is the only partition of the status records that operators read.
	statusPartition = 0
	// waveKeyPrefix is the prefix of the ledger keys under which the progress of waves is stored.
	waveKeyPrefix = "wave/"
	// returnMargin is how long after the end of its downtime a machine still counts as unavailable, because
	// the list of machines may lag behind.
	returnMargin = 500 * time.Millisecond
)

// maintenance is the state of machines, machine orders and maintenance waves. It is guarded by
// Dispatcher.mu.
type maintenance struct {
	waves    map[wave.Number]*waveState
	machines map[worker.MachineID]worker.Machine
	// listedAt is when the list of machines was last requested.
	listedAt time.Time
	// pendingOrders are the orders for machines that may still be in effect.
	pendingOrders map[worker.MachineID]machineOrder
	// orderRecords holds the order record of each machine, whether the ledger has confirmed it or not.
	orderRecords map[worker.MachineID]*orderRecord
	// refusedPools holds the machines for which the platform rejected an order as invalid, with the pool to
	// which the order would have moved the machine (empty for maintenance). They are not moved any more.
	refusedPools map[worker.MachineID]pool.Name
	// pace paces the orders.
	pace *balance.OrderPace
	// statusLedger publishes the state of waves; nil until it is open.
	statusLedger *ledger.Ledger
}

// machineOrder is an order for a machine, either to move or to be maintained.
type machineOrder struct {
	// since is when the order was given or, once the platform has confirmed it, when it was confirmed.
	since time.Time
	// downtime is how long the order makes the machine unavailable.
	downtime time.Duration
	// incarnation is the worker incarnation that the order ends.
	incarnation worker.Incarnation
	// toPool is the pool to which the machine moves; empty for maintenance.
	toPool pool.Name
	// confirmed is set once the platform has confirmed the order. Until then the order may take effect at any time,
	// also on a worker that has registered since it was given.
	confirmed bool
}

// waveState is the progress of a maintenance wave.
type waveState struct {
	number  wave.Number
	request wave.Request
	// includes holds the machines of the request.
	includes map[worker.MachineID]bool
	// startedAt is when this process or an earlier owner first read the request; the time limit of the wave
	// counts from then. It is zero until this process has read the request.
	startedAt time.Time
	// storedStart is the start that an earlier owner has stored; zero if there is none.
	storedStart time.Time
	// maintained holds the machines whose maintenance order the platform has confirmed.
	maintained map[worker.MachineID]bool
	// drainingSince is when each machine was selected to be drained.
	drainingSince map[worker.MachineID]time.Time
	// runningPublished is set once the wave was published as running, completedPublished once it was
	// published as completed.
	runningPublished, completedPublished bool
}

// clearOrderOnReturn removes the confirmed order of a machine on which a new incarnation has registered.
// The list of machines may be older, so that the entry of the machine is updated.
func (m *maintenance) clearOrderOnReturn(id worker.MachineID, incarnation worker.Incarnation, to pool.Name) {
	if !m.isReturnExpected(id, incarnation) {
		return
	}
	delete(m.pendingOrders, id)
	if machine, listed := m.machines[id]; listed {
		machine.State, machine.Pool = worker.MachineUp, to
		m.machines[id] = machine
	}
}

// hasPendingOrder reports whether a machine is or soon will be unavailable because of an order.
func (m *maintenance) hasPendingOrder(id worker.MachineID) bool {
	_, ok := m.pendingOrders[id]
	return ok
}

// orderBudget returns the orders that may be given now.
func (m *maintenance) orderBudget(now time.Time) *balance.Budget {
	unanswered := 0
	for _, order := range m.pendingOrders {
		if !order.confirmed {
			unanswered++
		}
	}
	return m.pace.Budget(now, unanswered)
}

// isMaintenanceDue reports whether a machine still has to be maintained.
func (m *maintenance) isMaintenanceDue(id worker.MachineID) bool {
	for _, w := range m.waves {
		if !w.completedPublished && !w.maintained[id] && w.includes[id] {
			return true
		}
	}
	return false
}

// SetWave adds or updates an operator's request for a wave that was first read at the given time.
func (d *Dispatcher) SetWave(request wave.Request, readAt time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	w := d.findOrAddWave(request.Number)
	if len(w.request.Machines) == 0 {
		d.log.Info(eventWaveRequested, "wave", request.Number, "machines", len(request.Machines), "most", request.MaxUnavailable, "within", request.TimeLimit)
		w.startedAt = readAt
		if !w.storedStart.IsZero() && w.storedStart.Before(readAt) {
			w.startedAt = w.storedStart
		}
	}
	w.request = request
	w.includes = make(map[worker.MachineID]bool, len(request.Machines))
	for _, id := range request.Machines {
		w.includes[id] = true
	}
}

// findOrAddWave returns the state of a wave and creates it if necessary.
func (d *Dispatcher) findOrAddWave(number wave.Number) *waveState {
	if d.maintenance.waves == nil {
		d.maintenance.waves = map[wave.Number]*waveState{}
	}
	w := d.maintenance.waves[number]
	if w == nil {
		w = &waveState{number: number, maintained: map[worker.MachineID]bool{}, drainingSince: map[worker.MachineID]time.Time{}}
		d.maintenance.waves[number] = w
	}
	return w
}

// waveRecord is the stored form of the progress of a wave.
type waveRecord struct {
	Wave       wave.Number        `json:"wave"`
	StartedAt  int64              `json:"began"` // Unix milliseconds
	Maintained []worker.MachineID `json:"done,omitempty"`
}

// storeWave writes the progress of a wave to the ledger.
func (d *Dispatcher) storeWave(w *waveState) {
	if r, ok := d.encodeWave(w); ok {
		d.ledger.Write([]platform.Record{r}, nil)
	}
}

// encodeWave returns the ledger record with the progress of a wave. It returns false if the start of the wave
// is not known or the record cannot be encoded.
func (d *Dispatcher) encodeWave(w *waveState) (platform.Record, bool) {
	startedAt := w.startedAt
	if startedAt.IsZero() {
		startedAt = w.storedStart
	}
	if startedAt.IsZero() {
		return platform.Record{}, false
	}
	record := waveRecord{Wave: w.number, StartedAt: startedAt.UnixMilli()}
	for machine := range w.maintained {
		record.Maintained = append(record.Maintained, machine)
	}
	data, err := json.Marshal(record)
	if err != nil {
		d.log.Error(eventEncodeFailed, "wave", w.number, "error", err)
		return platform.Record{}, false
	}
	return platform.Record{Key: platform.WaveKey(w.number), Value: data}, true
}

// restoreWave restores the stored progress of a wave.
func (d *Dispatcher) restoreWave(data []byte) {
	var r waveRecord
	if err := json.Unmarshal(data, &r); err != nil {
		d.log.Error(eventDecodeFailed, "wave", string(data), "error", err)
		return
	}
	w := d.findOrAddWave(r.Wave)
	w.storedStart = time.UnixMilli(r.StartedAt)
	for _, id := range r.Maintained {
		w.maintained[id] = true
	}
}

// runMaintenance carries out waves and moves machines between pools until the term ends.
func (d *Dispatcher) runMaintenance() {
	if !d.openStatusLedger() {
		return
	}
	for {
		if d.IsLoaded() {
			d.updateMaintenance()
		}
		if d.clock.Sleep(d.ctx, machinePollInterval) != nil {
			return
		}
	}
}

// openStatusLedger opens the ledger with the status records that operators read. It returns false if the
// term has ended.
func (d *Dispatcher) openStatusLedger() bool {
	for {
		status, records, err := ledger.Open(d.ctx, d.store, platform.TopicStatus, statusPartition, d.epoch, d.clock, d.log)
		if err == nil {
			d.mu.Lock()
			d.maintenance.statusLedger = status
			for _, r := range records {
				if number, completed, ok := platform.ParseWaveStatus(r); ok {
					w := d.findOrAddWave(number)
					w.runningPublished, w.completedPublished = true, completed
				}
			}
			d.mu.Unlock()
			go func() {
				if err := status.Run(d.ctx); err != nil && d.ctx.Err() == nil {
					d.log.Warn(eventFencedByLaterOwner, "topic", platform.TopicStatus, "error", err)
				}
			}()
			return true
		}
		if platform.IsFenced(err) || d.clock.Sleep(d.ctx, openRetryDelay) != nil {
			return false
		}
	}
}

// updateMaintenance reads the list of machines if that is due, advances all waves and rebalances the pools.
func (d *Dispatcher) updateMaintenance() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.clock.Since(d.maintenance.listedAt) >= time.Duration(len(d.maintenance.machines))*listTimePerMachine && !d.readMachines() {
		return
	}
	requestedAt := d.maintenance.listedAt
	now := d.clock.Now()
	for _, s := range d.workers {
		s.drainingForMaintenance = false
		d.reopenWorker(s)
		d.endIncarnationIfUnavailable(s, requestedAt, now)
	}
	d.settleOrders(requestedAt)
	for _, w := range d.maintenance.waves {
		if !w.completedPublished && !w.startedAt.IsZero() {
			d.advanceWave(w, now)
		}
	}
	d.rebalancePools(now)
	d.dropOldOrderRecords(now)
	d.requestCycle()
}

// readMachines reads the list of machines, without the lock. It reports whether the list could be read.
func (d *Dispatcher) readMachines() bool {
	d.mu.Unlock()
	callCtx, cancel := d.clock.WithTimeout(d.ctx, machineCallTimeout)
	requestedAt := d.clock.Now()
	list, err := d.fleet.ListMachines(callCtx)
	cancel()
	d.mu.Lock()
	if err != nil {
		d.log.Info(eventMachineListFailed, "error", err)
		return false
	}
	d.maintenance.listedAt = requestedAt
	d.maintenance.machines = make(map[worker.MachineID]worker.Machine, len(list))
	for _, m := range list {
		d.maintenance.machines[m.ID] = m
	}
	return true
}

// settleOrders forgets the confirmed orders that the list of machines shows as carried out.
func (d *Dispatcher) settleOrders(listedAt time.Time) {
	for id, order := range d.maintenance.pendingOrders {
		m, ok := d.maintenance.machines[id]
		returned := m.State == worker.MachineUp && listedAt.Sub(order.since) > order.downtime+returnMargin
		if order.confirmed && (!ok || returned) {
			delete(d.maintenance.pendingOrders, id)
		}
	}
}

// endIncarnationIfUnavailable ends the incarnation of a worker whose machine the list shows as moving, moved or under
// maintenance because of an order. The response to the order does not prove this, because the platform also
// confirms a repeated order that was carried out earlier.
func (d *Dispatcher) endIncarnationIfUnavailable(s *workerState, listedAt, now time.Time) {
	id := s.registration.Machine
	order, ordered := d.maintenance.pendingOrders[id]
	if !ordered || s.endedByOrder || s.incarnation > order.incarnation || listedAt.Before(order.since) {
		return
	}
	m := d.maintenance.machines[id]
	// A long list is read too rarely to show each machine while it moves.
	hasMoved := order.confirmed && order.toPool != "" && m.Pool == order.toPool && s.registration.Pool != m.Pool
	if m.State == worker.MachineMoving || m.State == worker.MachineMaintenance || hasMoved {
		s.endedByOrder = true
		d.endIncarnation(s, now)
	}
}

// advanceWave drains and maintains the next machines of a wave and publishes its state. It ignores machines
// that the platform does not list.
func (d *Dispatcher) advanceWave(w *waveState, now time.Time) {
	if !w.runningPublished {
		w.runningPublished = true
		d.publishWave(w.request.Number, false)
		d.storeWave(w)
	}
	workers := d.currentWorkers()
	loads := d.poolLoads(now)
	var machines []wave.Machine
	unavailable, remaining := 0, 0
	for _, id := range w.request.Machines {
		m, exists := d.maintenance.machines[id]
		_, ordered := d.maintenance.pendingOrders[id]
		if exists && (d.isInMaintenance(m) || !w.maintained[id] && d.mayBeMaintainedByEarlierOwner(id, now)) {
			unavailable++
		}
		if w.maintained[id] || !exists {
			continue
		}
		remaining++
		if !ordered {
			machines = append(machines, d.waveMachine(w, m, workers[id], loads, now))
		}
	}
	if remaining == 0 {
		w.completedPublished = true
		d.log.Info(eventWaveCompleted, "wave", w.request.Number, "took", now.Sub(w.startedAt))
		d.publishWave(w.request.Number, true)
		return
	}
	timing := wave.Timing{TimeLeft: w.request.TimeLimit - now.Sub(w.startedAt), UnavailableMachines: unavailable, MaintenanceTime: d.timing.MaintenanceDuration}
	plan := wave.PlanNext(w.request, machines, timing, now)
	for _, id := range plan.Drain {
		d.drainMachine(w, workers[id], id, now)
	}
	d.maintainMachines(w, plan.Maintain, workers, timing, now)
}

// maintainMachines orders the maintenance of machines of a wave, as far as the pace of orders allows it, and empties those that still
// have tasks.
func (d *Dispatcher) maintainMachines(w *waveState, machines []worker.MachineID, workers map[worker.MachineID]*workerState, timing wave.Timing, now time.Time) {
	budget, ordered := d.maintenance.orderBudget(now), 0
	for _, id := range machines {
		if s := workers[id]; s != nil && len(s.runs) > 0 {
			d.emptyWorker(s, timing, now)
		} else if budget.AllowsDue(ordered) {
			d.orderMaintenance(w, id, now)
			ordered++
		}
	}
}

// isInMaintenance reports whether a listed machine is or may be under maintenance by an order of this owner or an earlier one.
func (d *Dispatcher) isInMaintenance(m worker.Machine) bool {
	order, ordered := d.maintenance.pendingOrders[m.ID]
	return ordered && order.toPool == "" || m.State == worker.MachineMaintenance
}

// emptyWorker places no more tasks on a worker whose machine is to be maintained now, and stops those that do not end within
// maxCloseTime, or sooner if the wave would be late. Maintenance would end them too, but their ends would not be reported: a
// task that was done a moment before would run again.
func (d *Dispatcher) emptyWorker(s *workerState, timing wave.Timing, now time.Time) {
	if s.closedSince.IsZero() {
		s.closedSince = now
	}
	if now.Sub(s.closedSince) < maxCloseTime && !timing.IsLastMoment() {
		return
	}
	for _, r := range s.runs {
		d.stopRun(r, now)
	}
}

// reopenWorker opens a worker to tasks again whose machine is no longer due for maintenance. If the platform confirms an order
// that it has carried out earlier, the worker keeps running.
func (d *Dispatcher) reopenWorker(s *workerState) {
	if !s.closedSince.IsZero() && !d.maintenance.isMaintenanceDue(s.registration.Machine) {
		s.closedSince = time.Time{}
	}
}

// poolLoads returns for each pool the share of its CPU capacity that running and waiting tasks reserve.
func (d *Dispatcher) poolLoads(now time.Time) map[pool.Name]float64 {
	requested, capacities := map[pool.Name]int64{}, map[pool.Name]int64{}
	for _, s := range d.workers {
		requested[s.registration.Pool] += s.reserved.CPU
		capacities[s.registration.Pool] += s.registration.Capacity.CPU
	}
	for name, pending := range d.pendingSteps(now) {
		for _, step := range pending {
			requested[name] += step.Spec.Reservation().CPU * int64(len(step.Tasks))
		}
	}
	loads := map[pool.Name]float64{}
	for name, capacity := range capacities {
		if capacity > 0 {
			loads[name] = float64(requested[name]) / float64(capacity)
		}
	}
	return loads
}

// waveMachine describes a machine that still has to be maintained for wave.PlanNext. The worker s of the machine
// is nil if it is not known.
func (d *Dispatcher) waveMachine(w *waveState, m worker.Machine, s *workerState, loads map[pool.Name]float64, now time.Time) wave.Machine {
	since, draining := w.drainingSince[m.ID]
	machine := wave.Machine{ID: m.ID, Up: m.State == worker.MachineUp, Draining: draining, DrainingSince: since, Pool: m.Pool, Load: loads[m.Pool]}
	if d.isReservedByEarlierOwner(m.ID, now) {
		machine.Up = false
		return machine
	}
	if p, ok := d.config.Pool(m.Pool); ok && p.Spare {
		return machine // machines of the spare pool are switched off and run nothing
	}
	if s == nil || !s.isSettled() || s.hasUnresolvedRuns() {
		machine.Up = false // what runs or has ended on the machine is not known
		return machine
	}
	for _, r := range s.runs {
		if r.step.LongRunning {
			machine.LongRunningTasks++
			if r.step.MaxUnavailable > 0 {
				machine.LimitedSteps = append(machine.LimitedSteps, wave.LimitedStep{Job: r.job.ID, Step: r.id.key.Step, MaxUnavailable: r.step.MaxUnavailable})
			}
		} else {
			machine.BatchTasks++
		}
	}
	return machine
}

// drainMachine marks the worker of a machine as draining, so that tasks are placed elsewhere if possible, and
// evicts its long-running tasks as far as canEvict allows it.
func (d *Dispatcher) drainMachine(w *waveState, s *workerState, id worker.MachineID, now time.Time) {
	if _, ok := w.drainingSince[id]; !ok {
		w.drainingSince[id] = now
		d.recordOrder(id, true, nil)
	}
	if s == nil {
		return
	}
	s.drainingForMaintenance = true
	for _, r := range s.runs {
		if r.step.LongRunning && r.phase == phaseRunning && d.canEvict(r, now) {
			d.log.Info(eventTaskEvicted, "task", r.id.key.String(), "run", r.id.number, "worker", s.id, "machine", id, "wave", w.request.Number, "away", d.countOtherUnavailable(r, now), "most", r.step.MaxUnavailable)
			d.stopRun(r, now)
		}
	}
}

// canEvict reports whether a long-running task may be evicted: at most MaxUnavailable tasks of its step may
// be unavailable at a time, and a restarted task counts as unavailable until it has run at full speed for a
// while.
func (d *Dispatcher) canEvict(r *run, now time.Time) bool {
	return r.step.MaxUnavailable == 0 || d.countOtherUnavailable(r, now) < r.step.MaxUnavailable
}

// countOtherUnavailable returns how many tasks of the step of a run, other than its own, are not at full speed.
func (d *Dispatcher) countOtherUnavailable(r *run, now time.Time) int {
	unavailable := 0
	key := r.id.key
	for i := range r.step.Count {
		if i == r.id.key.Task {
			continue
		}
		key.Task = i
		if !d.isAtFullSpeed(r.job.Task(key), key, now) {
			unavailable++
		}
	}
	return unavailable
}

// isAtFullSpeed reports whether a task has run at full speed on a reachable worker for minFullSpeedTime.
func (d *Dispatcher) isAtFullSpeed(t *task.Task, key task.Key, now time.Time) bool {
	for _, placement := range t.Placements {
		other := d.runs[runID{key: key, number: placement.Run}]
		if other != nil && other.phase == phaseRunning && !other.fullSpeedSince.IsZero() && now.Sub(other.fullSpeedSince) > minFullSpeedTime && other.worker != nil && other.worker.unreachableSince.IsZero() {
			return true
		}
	}
	return false
}

// orderMaintenance orders the maintenance of a machine.
func (d *Dispatcher) orderMaintenance(w *waveState, id worker.MachineID, now time.Time) {
	d.sendMachineOrder(id, machineOrder{since: now, downtime: d.timing.MaintenanceDuration}, func(ctx context.Context) error {
		return d.fleet.MaintainMachine(ctx, id, w.number, worker.FencingToken(d.epoch))
	}, func() {
		d.counters.MachineMaintenances++
		w.maintained[id] = true
		d.log.Info(eventMaintenanceConfirmed, "machine", id, "wave", w.request.Number, "done", len(w.maintained), "of", len(w.request.Machines))
		d.storeWave(w)
	})
}

// publishWave writes the state of a wave for operators.
func (d *Dispatcher) publishWave(number wave.Number, completed bool) {
	d.maintenance.statusLedger.Write([]platform.Record{platform.WaveStatusRecord(number, completed)}, nil)
}
