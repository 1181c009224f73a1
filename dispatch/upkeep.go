package dispatch

import (
	"encoding/json"
	"slices"
	"time"

	"hibiscuslane.example/hibiscuslane/ledger"
	"hibiscuslane.example/hibiscuslane/platform"
	"hibiscuslane.example/hibiscuslane/pool"
	"hibiscuslane.example/hibiscuslane/schedule"
	"hibiscuslane.example/hibiscuslane/task"
	"hibiscuslane.example/hibiscuslane/wave"
	"hibiscuslane.example/hibiscuslane/worker"
)

const (
	// machinePeriod is the time between reads of the list of machines while a wave runs.
	machinePeriod = 300 * time.Millisecond
	// duties bounds a call for machines.
	dutyTimeout = 1500 * time.Millisecond
	// waveKey begins the keys of the ledger under which the progress of waves is kept.
	waveKey = "wave/"
	// returnSlack is how long after its maintenance a machine still counts as away while the list lags.
	returnSlack = 500 * time.Millisecond
)

// upkeep is the state of maintenance. It is guarded by the lock of the Dispatcher.
type upkeep struct {
	waves    map[wave.Number]*waveState
	machines map[worker.MachineID]worker.Machine
	// ordered is when an order for a machine was first sent that may still be in force.
	ordered map[worker.MachineID]time.Time
	// status publishes the state of waves; nil until it is open.
	status *ledger.Ledger
}

// waveState is the progress of a wave.
type waveState struct {
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
		d.log.Info(eventWave, "wave", request.Number, "machines", len(request.Machines), "most", request.Most, "within", request.Within)
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
		d.upkeep.ordered = map[worker.MachineID]time.Time{}
	}
	w := d.upkeep.waves[number]
	if w == nil {
		w = &waveState{done: map[worker.MachineID]bool{}, chosen: map[worker.MachineID]time.Time{}}
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
	record := waveRecord{Wave: w.request.Number, Began: w.began.UnixMilli()}
	for machine := range w.done {
		record.Done = append(record.Done, machine)
	}
	data, err := json.Marshal(record)
	if err != nil {
		d.log.Error(eventEncode, "wave", w.request.Number, "error", err)
		return
	}
	d.ledger.Write([]platform.Record{{Key: platform.WaveKey(w.request.Number), Value: data}}, nil)
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
	// Another owner may have given orders for machines until a moment ago.
	if d.clock.Sleep(d.ctx, d.bounds.Turn) != nil {
		return
	}
	for {
		if d.waiting() {
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
		status, records, err := ledger.Open(d.ctx, d.store, platform.TopicStatus, d.epoch, d.clock, d.log)
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

// waiting reports whether a wave has work left.
func (d *Dispatcher) waiting() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.ledger == nil {
		return false
	}
	for _, w := range d.upkeep.waves {
		if !w.completed && !w.began.IsZero() {
			return true
		}
	}
	return len(d.upkeep.ordered) > 0
}

// maintainOnce reads the machines and takes the next steps of all waves.
func (d *Dispatcher) maintainOnce() {
	call, cancel := d.clock.WithTimeout(d.ctx, dutyTimeout)
	defer cancel()
	read := d.clock.Now()
	list, err := d.fleet.Machines(call)
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
	for id, since := range d.upkeep.ordered {
		m, ok := d.upkeep.machines[id]
		if !ok || m.State == worker.MachineUp && read.Sub(since) > d.bounds.Maintenance+returnSlack {
			delete(d.upkeep.ordered, id)
		}
	}
	for _, s := range d.stations {
		s.leaving = false
	}
	now := d.clock.Now()
	for _, w := range d.upkeep.waves {
		if !w.completed && !w.began.IsZero() {
			d.advanceWave(w, now)
		}
	}
	d.wake()
}

// advanceWave takes the next steps of a wave.
func (d *Dispatcher) advanceWave(w *waveState, now time.Time) {
	if !w.told {
		w.told = true
		d.publish(w.request.Number, false)
		d.storeWave(w)
	}
	stations := map[worker.MachineID]*station{}
	for _, s := range d.stations {
		if _, listed := d.listed[s.id]; listed {
			stations[s.listing.Machine] = s
		}
	}
	loads := d.loads(now)
	var machines []wave.Machine
	away, left := 0, 0
	for _, id := range w.request.Machines {
		m, exists := d.upkeep.machines[id]
		_, ordered := d.upkeep.ordered[id]
		if exists && (ordered || m.State == worker.MachineUpkeep) {
			away++
		}
		if w.done[id] || !exists {
			continue
		}
		left++
		if !ordered {
			machines = append(machines, d.candidate(w, m, stations[id], loads))
		}
	}
	if left == 0 {
		w.completed = true
		d.log.Info(eventWaveDone, "wave", w.request.Number, "took", now.Sub(w.began))
		d.publish(w.request.Number, true)
		return
	}
	pace := wave.Pace{Left: w.request.Within - now.Sub(w.began), Away: away, Each: d.bounds.Maintenance}
	plan := wave.Next(w.request, machines, pace, now)
	for _, id := range plan.Empty {
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
	demands := map[pool.Name][]*schedule.Demand{}
	for _, j := range d.open {
		d.demands(j, now, demands)
	}
	for name, list := range demands {
		for _, demand := range list {
			used[name] += demand.Spec.Demand().CPU * int64(len(demand.Tasks))
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
func (d *Dispatcher) candidate(w *waveState, m worker.Machine, s *station, loads map[pool.Name]float64) wave.Machine {
	since, chosen := w.chosen[m.ID]
	c := wave.Machine{ID: m.ID, Up: m.State == worker.MachineUp, Chosen: chosen, Since: since, Pool: m.Pool, Load: loads[m.Pool]}
	if s == nil {
		return c
	}
	for _, r := range s.runs {
		if r.step.Lasting {
			c.Lasting++
		} else {
			c.Running++
		}
	}
	return c
}

// empty keeps tasks away from a machine and stops those that do not end on their own, as far as their
// steps can spare them.
func (d *Dispatcher) empty(w *waveState, s *station, id worker.MachineID, now time.Time) {
	if _, ok := w.chosen[id]; !ok {
		w.chosen[id] = now
	}
	if s == nil {
		return
	}
	s.leaving = true
	for _, r := range s.runs {
		if r.step.Lasting && r.phase == phaseRunning && d.spared(r, now) {
			d.log.Info(eventEvict, "task", r.id.key, "run", r.id.run, "worker", s.id, "machine", id, "wave", w.request.Number)
			d.stop(r, now)
		}
	}
}

// spared reports whether a task may be taken away: at most Misses tasks of its step are then away, and
// those that count as back have been at work for a while.
func (d *Dispatcher) spared(r *run, now time.Time) bool {
	if r.step.Misses == 0 {
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
	return away < r.step.Misses
}

func (d *Dispatcher) atWork(t *task.Task, key task.Key, now time.Time) bool {
	for _, place := range t.Places {
		other := d.runs[runID{key: key, run: place.Run}]
		if other != nil && other.phase == phaseRunning && !other.seen.IsZero() && other.station != nil && other.station.silent.IsZero() {
			return true
		}
	}
	return false
}

// order orders the maintenance of a machine.
func (d *Dispatcher) order(w *waveState, id worker.MachineID, now time.Time) {
	d.upkeep.ordered[id] = now
	go func() {
		for {
			call, cancel := d.clock.WithTimeout(d.ctx, dutyTimeout)
			err := d.fleet.Maintain(call, id, w.request.Number, worker.Token(d.epoch))
			cancel()
			if d.ctx.Err() != nil || d.maintained(w, id, err) {
				return
			}
			if d.clock.Sleep(d.ctx, machinePeriod) != nil {
				return
			}
		}
	}()
}

// maintained takes over the answer to an order. It reports whether the order need not be repeated.
func (d *Dispatcher) maintained(w *waveState, id worker.MachineID, err error) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if err != nil {
		d.log.Info(eventDuty, "machine", id, "wave", w.request.Number, "error", err)
		if platform.IsRefused(err) {
			delete(d.upkeep.ordered, id)
			return true
		}
		return false
	}
	d.counters.Maintained++
	d.log.Info(eventMaintain, "machine", id, "wave", w.request.Number, "done", len(w.done)+1, "of", len(w.request.Machines))
	d.upkeep.ordered[id] = d.clock.Now()
	w.done[id] = true
	d.storeWave(w)
	for _, s := range d.stations {
		if s.listing.Machine == id {
			d.over(s, d.clock.Now())
		}
	}
	return true
}

// publish writes the state of a wave for the operator.
func (d *Dispatcher) publish(number wave.Number, completed bool) {
	d.upkeep.status.Write([]platform.Record{platform.WaveStatus(number, completed)}, nil)
}
