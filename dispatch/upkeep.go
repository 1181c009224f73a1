package dispatch

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"hibiscuslane.example/hibiscuslane/ledger"
	"hibiscuslane.example/hibiscuslane/platform"
	"hibiscuslane.example/hibiscuslane/pool"
	"hibiscuslane.example/hibiscuslane/task"
	"hibiscuslane.example/hibiscuslane/wave"
	"hibiscuslane.example/hibiscuslane/worker"
)

const (
	// machinePeriod is the time between reads of the list of machines. A burst lasts some seconds, so a few
	// reads a second find it early enough; the platform allows 64 for all.
	machinePeriod = 120 * time.Millisecond
	// duties bounds a call for machines.
	dutyTimeout = 1500 * time.Millisecond
	// settleTime is how long a task must have been at full speed before another of its step is taken away.
	settleTime = 700 * time.Millisecond
	// statusPart is the only partition of the records that operators read.
	statusPart = 0
	// waveKey begins the keys of the ledger under which the progress of waves is kept.
	waveKey = "wave/"
	// returnSlack is how long after its maintenance a machine still counts as away while the list lags.
	returnSlack = 500 * time.Millisecond
)

// upkeep is the state of maintenance. It is guarded by the lock of the Dispatcher.
type upkeep struct {
	waves    map[wave.Number]*waveState
	machines map[worker.MachineID]worker.Machine
	// ordered are the orders for machines that may still be in force.
	ordered map[worker.MachineID]errand
	// recorded are the machines that the ledger names as ordered.
	recorded map[worker.MachineID]*record
	// unfit are the pools that the platform refused for a machine.
	unfit map[worker.MachineID]pool.Name
	// status publishes the state of waves; nil until it is open.
	status *ledger.Ledger
}

// errand is an order for a machine.
type errand struct {
	// since is when it was sent, or confirmed.
	since time.Time
	// away is how long it keeps the machine away.
	away time.Duration
	// birth is the start of the life that the order ends.
	birth worker.Incarnation
	// to is the pool that the machine moves to; empty for maintenance.
	to pool.Name
}

// waveState is the progress of a wave.
type waveState struct {
	number  wave.Number
	request wave.Request
	// began is when this process first heard of the wave.
	began time.Time
	// stored is when an earlier owner first heard of it; zero if none did.
	stored time.Time
	// done are the machines whose maintenance was confirmed.
	done map[worker.MachineID]bool
	// chosen is when a machine was chosen to be emptied.
	chosen map[worker.MachineID]time.Time
	// told is set once the wave was published as running, completed once it was published as completed.
	told, completed bool
}

// back notes that a worker has begun its life on a machine.
func (u *upkeep) back(id worker.MachineID, birth worker.Incarnation) {
	if e, ok := u.ordered[id]; ok && birth > e.birth {
		delete(u.ordered, id)
	}
}

// busy reports whether a machine is about to be away.
func (u *upkeep) busy(id worker.MachineID) bool {
	_, ok := u.ordered[id]
	return ok
}

// due reports whether a machine is still to be maintained.
func (u *upkeep) due(id worker.MachineID) bool {
	for _, w := range u.waves {
		if !w.completed && !w.done[id] && slices.Contains(w.request.Machines, id) {
			return true
		}
	}
	return false
}

// SetWave takes over an operator's request that was first read at the given time.
func (d *Dispatcher) SetWave(request wave.Request, read time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	w := d.wave(request.Number)
	if len(w.request.Machines) == 0 {
		d.log.Info(eventWave, "wave", request.Number, "machines", len(request.Machines), "most", request.MaxUnavailable, "within", request.TimeLimit)
		w.began = read
		if !w.stored.IsZero() && w.stored.Before(read) {
			w.began = w.stored
		}
	}
	w.request = request
}

func (d *Dispatcher) wave(number wave.Number) *waveState {
	if d.upkeep.waves == nil {
		d.upkeep.waves = map[wave.Number]*waveState{}
	}
	w := d.upkeep.waves[number]
	if w == nil {
		w = &waveState{number: number, done: map[worker.MachineID]bool{}, chosen: map[worker.MachineID]time.Time{}}
		d.upkeep.waves[number] = w
	}
	return w
}

// waveRecord is the stored progress of a wave.
type waveRecord struct {
	Wave  wave.Number        `json:"wave"`
	Began int64              `json:"began"` // Unix milliseconds
	Done  []worker.MachineID `json:"done,omitempty"`
}

// storeWave stores the progress of a wave.
func (d *Dispatcher) storeWave(w *waveState) {
	if r, ok := d.waveRecord(w); ok {
		d.ledger.Write([]platform.Record{r}, nil)
	}
}

// waveRecord returns the stored form of the progress of a wave; none before it began.
func (d *Dispatcher) waveRecord(w *waveState) (platform.Record, bool) {
	began := w.began
	if began.IsZero() {
		began = w.stored
	}
	if began.IsZero() {
		return platform.Record{}, false
	}
	record := waveRecord{Wave: w.number, Began: began.UnixMilli()}
	for machine := range w.done {
		record.Done = append(record.Done, machine)
	}
	data, err := json.Marshal(record)
	if err != nil {
		d.log.Error(eventEncode, "wave", w.number, "error", err)
		return platform.Record{}, false
	}
	return platform.Record{Key: platform.WaveKey(w.number), Value: data}, true
}

// restoreWave takes over the stored progress of a wave.
func (d *Dispatcher) restoreWave(data []byte) {
	var r waveRecord
	if err := json.Unmarshal(data, &r); err != nil {
		d.log.Error(eventDecode, "wave", string(data), "error", err)
		return
	}
	w := d.wave(r.Wave)
	w.stored = time.UnixMilli(r.Began)
	for _, id := range r.Done {
		w.done[id] = true
	}
}

// maintain carries out waves until the tenure ends.
func (d *Dispatcher) maintain() {
	if !d.openStatus() {
		return
	}
	for {
		if d.IsLoaded() {
			d.maintainOnce()
		}
		if d.clock.Sleep(d.ctx, machinePeriod) != nil {
			return
		}
	}
}

// openStatus opens the records that operators read.
func (d *Dispatcher) openStatus() bool {
	for {
		status, records, err := ledger.Open(d.ctx, d.store, platform.TopicStatus, statusPart, d.epoch, d.clock, d.log)
		if err == nil {
			d.mu.Lock()
			d.upkeep.status = status
			for _, r := range records {
				if number, completed, ok := platform.ParseWaveStatus(r); ok {
					w := d.wave(number)
					w.told, w.completed = true, completed
				}
			}
			d.mu.Unlock()
			go func() {
				if err := status.Run(d.ctx); err != nil && d.ctx.Err() == nil {
					d.log.Warn(eventFenced, "topic", platform.TopicStatus, "error", err)
				}
			}()
			return true
		}
		if platform.IsFenced(err) || d.clock.Sleep(d.ctx, openDelay) != nil {
			return false
		}
	}
}

// maintainOnce reads the machines and takes the next steps of all waves.
func (d *Dispatcher) maintainOnce() {
	call, cancel := d.clock.WithTimeout(d.ctx, dutyTimeout)
	defer cancel()
	read := d.clock.Now()
	list, err := d.fleet.ListMachines(call)
	if err != nil {
		d.log.Info(eventMachines, "error", err)
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.upkeep.machines = make(map[worker.MachineID]worker.Machine, len(list))
	for _, m := range list {
		d.upkeep.machines[m.ID] = m
	}
	for id, e := range d.upkeep.ordered {
		m, ok := d.upkeep.machines[id]
		if !ok || m.State == worker.MachineUp && read.Sub(e.since) > e.away+returnSlack {
			delete(d.upkeep.ordered, id)
		}
	}
	now := d.clock.Now()
	for _, s := range d.stations {
		s.leaving = false
		d.away(s, read, now)
	}
	for _, w := range d.upkeep.waves {
		if !w.completed && !w.began.IsZero() {
			d.advanceWave(w, now)
		}
	}
	d.rebalance(now)
	d.forgetOrders(now)
	d.wake()
}

// away ends the life of a worker whose machine the list shows as away. The answer to an order does not say
// so, because an order that had been carried out earlier is confirmed as well.
func (d *Dispatcher) away(s *station, read, now time.Time) {
	id := s.listing.Machine
	e, ordered := d.upkeep.ordered[id]
	state := d.upkeep.machines[id].State
	if !ordered || s.ended || s.birth > e.birth || read.Before(e.since) {
		return
	}
	if state == worker.MachineMoving || state == worker.MachineMaintenance {
		s.ended = true
		d.over(s, now)
	}
}

// advanceWave takes the next steps of a wave.
func (d *Dispatcher) advanceWave(w *waveState, now time.Time) {
	if !w.told {
		w.told = true
		d.publish(w.request.Number, false)
		d.storeWave(w)
	}
	stations := d.living()
	loads := d.loads(now)
	var machines []wave.Machine
	away, left := 0, 0
	for _, id := range w.request.Machines {
		m, exists := d.upkeep.machines[id]
		order, ordered := d.upkeep.ordered[id]
		if exists && (ordered && order.to == "" || m.State == worker.MachineMaintenance) {
			away++
		}
		if w.done[id] || !exists {
			continue
		}
		left++
		if !ordered {
			machines = append(machines, d.candidate(w, m, stations[id], loads, now))
		}
	}
	if left == 0 {
		w.completed = true
		d.log.Info(eventWaveDone, "wave", w.request.Number, "took", now.Sub(w.began))
		d.publish(w.request.Number, true)
		return
	}
	pace := wave.Timing{TimeLeft: w.request.TimeLimit - now.Sub(w.began), UnavailableMachines: away, MaintenanceTime: d.bounds.MaintenanceDuration}
	plan := wave.PlanNext(w.request, machines, pace, now)
	for _, id := range plan.Drain {
		d.empty(w, stations[id], id, now)
	}
	for _, id := range plan.Maintain {
		d.order(w, id, now)
	}
}

// loads returns for each pool the reserved and the waiting share of its capacity.
func (d *Dispatcher) loads(now time.Time) map[pool.Name]float64 {
	used, all := map[pool.Name]int64{}, map[pool.Name]int64{}
	for _, s := range d.stations {
		used[s.listing.Pool] += s.used.CPU
		all[s.listing.Pool] += s.listing.Capacity.CPU
	}
	for name, list := range d.waiting(now) {
		for _, demand := range list {
			used[name] += demand.Spec.Reservation().CPU * int64(len(demand.Tasks))
		}
	}
	loads := map[pool.Name]float64{}
	for name, capacity := range all {
		if capacity > 0 {
			loads[name] = float64(used[name]) / float64(capacity)
		}
	}
	return loads
}

// candidate describes a machine that still has to be maintained.
func (d *Dispatcher) candidate(w *waveState, m worker.Machine, s *station, loads map[pool.Name]float64, now time.Time) wave.Machine {
	since, chosen := w.chosen[m.ID]
	c := wave.Machine{ID: m.ID, Up: m.State == worker.MachineUp, Draining: chosen, DrainingSince: since, Pool: m.Pool, Load: loads[m.Pool]}
	if d.reserved(m.ID, now) {
		c.Up = false
		return c
	}
	if p, ok := d.config.Pool(m.Pool); ok && p.Spare {
		return c // switched off: nothing runs there
	}
	if s == nil || !s.fenced {
		c.Up = false // what runs there is not known yet
		return c
	}
	for _, r := range s.runs {
		if r.step.LongRunning {
			c.LongRunningTasks++
		} else {
			c.BatchTasks++
		}
	}
	return c
}

// empty keeps tasks away from a machine and stops those that do not end on their own, as far as their
// steps can spare them.
func (d *Dispatcher) empty(w *waveState, s *station, id worker.MachineID, now time.Time) {
	if _, ok := w.chosen[id]; !ok {
		w.chosen[id] = now
		d.recordOrder(id, nil)
	}
	if s == nil {
		return
	}
	s.leaving = true
	for _, r := range s.runs {
		if r.step.LongRunning && r.phase == phaseRunning && d.spared(r, now) {
			d.log.Info(eventEvict, "task", r.id.key.String(), "run", r.id.run, "worker", s.id, "machine", id, "wave", w.request.Number)
			d.stop(r, now)
		}
	}
}

// spared reports whether a task may be taken away: at most Misses tasks of its step are then away, and
// those that count as back have been at work for a while.
func (d *Dispatcher) spared(r *run, now time.Time) bool {
	if r.step.MaxUnavailable == 0 {
		return true
	}
	away := 0
	key := r.id.key
	for i := range r.step.Count {
		if i == r.id.key.Task {
			continue
		}
		key.Task = i
		if !d.atWork(r.job.Task(key), key, now) {
			away++
		}
	}
	return away < r.step.MaxUnavailable
}

func (d *Dispatcher) atWork(t *task.Task, key task.Key, now time.Time) bool {
	for _, place := range t.Placements {
		other := d.runs[runID{key: key, run: place.Run}]
		if other != nil && other.phase == phaseRunning && !other.seen.IsZero() && now.Sub(other.seen) > settleTime && other.station != nil && other.station.silent.IsZero() {
			return true
		}
	}
	return false
}

// order orders the maintenance of a machine.
func (d *Dispatcher) order(w *waveState, id worker.MachineID, now time.Time) {
	d.send(id, errand{since: now, away: d.bounds.MaintenanceDuration}, func(ctx context.Context) error {
		return d.fleet.MaintainMachine(ctx, id, w.request.Number, worker.FencingToken(d.epoch))
	}, func() {
		d.counters.MachineMaintenances++
		w.done[id] = true
		d.log.Info(eventMaintain, "machine", id, "wave", w.request.Number, "done", len(w.done), "of", len(w.request.Machines))
		d.storeWave(w)
	})
}

// publish writes the state of a wave for the operator.
func (d *Dispatcher) publish(number wave.Number, completed bool) {
	d.upkeep.status.Write([]platform.Record{platform.WaveStatusRecord(number, completed)}, nil)
}
