package dispatch

import (
	"context"
	"time"

	"hibiscuslane.example/hibiscuslane/balance"
	"hibiscuslane.example/hibiscuslane/pool"
	"hibiscuslane.example/hibiscuslane/task"
	"hibiscuslane.example/hibiscuslane/worker"
)

const (
	// rateWindow is the time over which arriving jobs are counted. It is short against a burst of some seconds.
	rateWindow = 700 * time.Millisecond
	// sizeRate is the weight of a new job in the mean work of a job. Sizes vary by an order of magnitude.
	sizeRate = 0.05
)

// flow is the work that arrives from one queue.
type flow struct {
	arrivals []time.Time
	// size is the moving average of the work of a job, in thousandths of a core times seconds.
	size float64
}

// rate returns the work that arrives a second. It counts jobs and takes their mean work, since the work of
// the few jobs of a short window says little.
func (f *flow) rate(now time.Time) float64 {
	first := 0
	for first < len(f.arrivals) && now.Sub(f.arrivals[first]) > rateWindow {
		first++
	}
	f.arrivals = f.arrivals[first:]
	return float64(len(f.arrivals)) * f.size / rateWindow.Seconds()
}

// add notes a job with the given work.
func (f *flow) add(now time.Time, work float64) {
	f.arrivals = append(f.arrivals, now)
	if f.size == 0 {
		f.size = work
		return
	}
	f.size += sizeRate * (work - f.size)
}

// arrived notes the work of a job that runs at once.
func (d *Dispatcher) arrived(j *job, now time.Time) {
	if j.Spec.RepeatCount > 0 || j.Spec.HasLongRunningStep() {
		return
	}
	var work float64
	for i := range j.Spec.Steps {
		step := &j.Spec.Steps[i]
		work += float64(step.Count) * d.work(step)
	}
	f := d.flows[j.queue.Name]
	if f == nil {
		f = &flow{}
		d.flows[j.queue.Name] = f
	}
	f.add(now, work)
}

// work returns the work of one task in thousandths of a core times seconds.
func (d *Dispatcher) work(step *task.Step) float64 {
	return float64(step.Reservation().CPU) * step.Estimate.Seconds()
}

// rebalance moves machines to the pools that need them.
func (d *Dispatcher) rebalance(now time.Time) {
	if d.config == nil || d.closing {
		return
	}
	pools := map[pool.Name]*balance.Pool{}
	var list []*balance.Pool
	for _, p := range d.config.Pools() {
		b := &balance.Pool{Name: p.Name, Spare: p.Spare}
		pools[p.Name] = b
		list = append(list, b)
	}
	for name, f := range d.flows {
		if q, ok := d.config.Queue(name); ok && pools[q.Pool] != nil {
			pools[q.Pool].ArrivalRate += f.rate(now)
		}
	}
	d.backlog(pools, now)
	for _, j := range d.open {
		if b := pools[j.Pool]; b != nil {
			b.MinMachines = max(b.MinMachines, least(j))
		}
	}
	stations := d.living()
	for _, m := range d.upkeep.machines {
		d.describe(pools, m, stations[m.ID], now)
	}
	for _, move := range balance.Plan(list, balance.DefaultSettings(), now) {
		d.move(move, now)
	}
}

// living returns the worker that lives on each machine.
func (d *Dispatcher) living() map[worker.MachineID]*station {
	stations := map[worker.MachineID]*station{}
	for _, s := range d.stations {
		other := stations[s.listing.Machine]
		if _, listed := d.listed[s.id]; listed && !s.ended && (other == nil || other.birth < s.birth) {
			stations[s.listing.Machine] = s
		}
	}
	return stations
}

// least returns the number of workers that the lasting tasks of a job need.
func least(j *job) int {
	most := 0
	for i := range j.Spec.Steps {
		step := &j.Spec.Steps[i]
		if step.LongRunning && step.MaxPerWorker > 0 {
			most = max(most, (step.Count+step.MaxPerWorker-1)/step.MaxPerWorker)
		}
	}
	return most
}

// backlog adds the work that waits to the pools.
func (d *Dispatcher) backlog(pools map[pool.Name]*balance.Pool, now time.Time) {
	for name, list := range d.waiting(now) {
		b := pools[name]
		if b == nil {
			continue
		}
		for _, demand := range list {
			if demand.Spec.LongRunning {
				b.LongRunningReserved += demand.Spec.Reservation().CPU * int64(len(demand.Tasks))
				continue
			}
			b.Backlog += d.work(&demand.Spec) * float64(len(demand.Tasks))
		}
	}
}

// describe adds a machine to its pool.
func (d *Dispatcher) describe(pools map[pool.Name]*balance.Pool, m worker.Machine, s *station, now time.Time) {
	order, ordered := d.upkeep.ordered[m.ID]
	if ordered && order.to != "" {
		if b := pools[order.to]; b != nil {
			b.IncomingCapacity += m.Capacity.CPU
		}
		return
	}
	b := pools[m.Pool]
	if b == nil {
		return
	}
	machine := balance.Machine{ID: m.ID, MilliCores: m.Capacity.CPU}
	machine.Pinned = ordered || m.State != worker.MachineUp || d.reserved(m.ID, now)
	if s != nil {
		machine.Idle = len(s.runs) == 0
		machine.IdleSince = s.idle
		machine.Pinned = machine.Pinned || s.leaving || !s.silent.IsZero() || s.listing.State != worker.StateReady
		for _, r := range s.runs {
			if r.step.LongRunning {
				b.LongRunningReserved += r.demand.CPU
			} else {
				b.BatchReserved += r.demand.CPU
			}
		}
	} else {
		machine.Idle = b.Spare
		machine.Pinned = machine.Pinned || !b.Spare
	}
	if _, unfit := d.upkeep.unfit[m.ID]; unfit {
		machine.Idle = false
	}
	b.Machines = append(b.Machines, machine)
}

// move orders the move of a machine.
func (d *Dispatcher) move(m balance.Move, now time.Time) {
	d.log.Info(eventMove, "machine", m.Machine, "from", m.From, "to", m.To)
	id, to := m.Machine, m.To
	d.send(id, errand{since: now, away: d.bounds.MoveDuration, to: to}, func(ctx context.Context) error {
		return d.fleet.MoveMachine(ctx, id, to, worker.FencingToken(d.epoch))
	}, func() { d.counters.MachineMoves++ })
}
