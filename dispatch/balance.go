package dispatch

import (
	"context"
	"time"

	"hibiscuslane.example/hibiscuslane/balance"
	"hibiscuslane.example/hibiscuslane/pool"
	"hibiscuslane.example/hibiscuslane/task"
	"hibiscuslane.example/hibiscuslane/worker"
)

// rateWindow is the time over which arriving work is averaged. It is short against a burst of some seconds.
const rateWindow = 700 * time.Millisecond

// flow is the work that arrived at a pool lately.
type flow struct {
	arrivals []arrival
}

type arrival struct {
	at   time.Time
	work float64 // thousandths of a core times seconds
}

// rate returns the work that arrives a second, and forgets what is older than the window.
func (f *flow) rate(now time.Time) float64 {
	first := 0
	for first < len(f.arrivals) && now.Sub(f.arrivals[first].at) > rateWindow {
		first++
	}
	f.arrivals = f.arrivals[first:]
	var work float64
	for _, a := range f.arrivals {
		work += a.work
	}
	return work / rateWindow.Seconds()
}

// arrived notes the work of a job that runs at once.
func (d *Dispatcher) arrived(j *job, now time.Time) {
	if j.Spec.Repeat > 0 {
		return
	}
	var work float64
	for i := range j.Spec.Steps {
		step := &j.Spec.Steps[i]
		if !step.Lasting {
			work += float64(step.Count) * d.work(step)
		}
	}
	f := d.flows[j.Pool]
	if f == nil {
		f = &flow{}
		d.flows[j.Pool] = f
	}
	f.arrivals = append(f.arrivals, arrival{at: now, work: work})
}

// work returns the work of one task in thousandths of a core times seconds.
func (d *Dispatcher) work(step *task.Step) float64 {
	return float64(step.Demand().CPU) * step.Estimate.Seconds()
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
		if f := d.flows[p.Name]; f != nil {
			b.Rate = f.rate(now)
		}
		pools[p.Name] = b
		list = append(list, b)
	}
	d.backlog(pools, now)
	stations := map[worker.MachineID]*station{}
	for _, s := range d.stations {
		if _, listed := d.listed[s.id]; listed {
			stations[s.listing.Machine] = s
		}
	}
	for _, m := range d.upkeep.machines {
		d.describe(pools, m, stations[m.ID])
	}
	for _, move := range balance.Plan(list, balance.Default(), now) {
		d.move(move, now)
	}
}

// backlog adds the work that waits to the pools.
func (d *Dispatcher) backlog(pools map[pool.Name]*balance.Pool, now time.Time) {
	for name, list := range d.waiting(now) {
		b := pools[name]
		if b == nil {
			continue
		}
		for _, demand := range list {
			if demand.Spec.Lasting {
				b.Lasting += demand.Spec.Demand().CPU * int64(len(demand.Tasks))
				continue
			}
			b.Backlog += d.work(&demand.Spec) * float64(len(demand.Tasks))
		}
	}
}

// describe adds a machine to its pool.
func (d *Dispatcher) describe(pools map[pool.Name]*balance.Pool, m worker.Machine, s *station) {
	order, ordered := d.upkeep.ordered[m.ID]
	if ordered && order.to != "" {
		if b := pools[order.to]; b != nil {
			b.Arriving += m.Capacity.CPU
		}
		return
	}
	b := pools[m.Pool]
	if b == nil {
		return
	}
	machine := balance.Machine{ID: m.ID, Cores: m.Capacity.CPU}
	machine.Held = ordered || m.State != worker.MachineUp
	if s != nil {
		machine.Idle = len(s.runs) == 0
		machine.Since = s.idle
		machine.Held = machine.Held || s.leaving || !s.silent.IsZero() || s.listing.State != worker.StateReady
		for _, r := range s.runs {
			if r.step.Lasting {
				b.Lasting += r.demand.CPU
			} else {
				b.Used += r.demand.CPU
			}
		}
	} else {
		machine.Idle = b.Spare
		machine.Held = machine.Held || !b.Spare
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
	d.send(id, errand{since: now, away: d.bounds.Move, to: to}, func(ctx context.Context) error {
		return d.fleet.Move(ctx, id, to, worker.Token(d.epoch))
	}, func() { d.counters.Moved++ })
}
