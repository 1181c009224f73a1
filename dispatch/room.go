package dispatch

import (
	"time"

	"hibiscuslane.example/hibiscuslane/balance"
	"hibiscuslane.example/hibiscuslane/forecast"
	"hibiscuslane.example/hibiscuslane/pool"
	"hibiscuslane.example/hibiscuslane/worker"
)

// poolRoom is the room of a pool.
type poolRoom struct {
	forecast.Room
	// movable is the room on its machines that have no long-running tasks, and may be moved once they have no others.
	movable forecast.Room
	// runs and movableRuns are the runs that count in Room and movable.
	runs, movableRuns forecast.RunCounter
}

// rooms returns the capacity of each pool for tasks that end, including that of the machines that move to it.
func (d *Dispatcher) rooms(now time.Time) map[pool.Name]*poolRoom {
	rooms := map[pool.Name]*poolRoom{}
	room := func(name pool.Name) *poolRoom {
		r := rooms[name]
		if r == nil {
			r = &poolRoom{}
			rooms[name] = r
		}
		return r
	}
	for _, s := range d.workers {
		if !d.canTakeTasks(s) {
			continue
		}
		r := room(s.registration.Pool)
		r.Capacity = r.Capacity.Add(balance.AmountOf(s.registration.Capacity.Sub(s.longRunningReserved)))
		isMovable := s.longRunningRuns == 0
		if isMovable {
			r.movable.Capacity = r.movable.Capacity.Add(balance.AmountOf(s.registration.Capacity))
		}
		for _, run := range s.runs {
			if run.step.LongRunning {
				continue
			}
			left, reserved := run.timeLeft(now), balance.AmountOf(run.reservation)
			r.runs.Add(left, reserved)
			if isMovable {
				r.movableRuns.Add(left, reserved)
			}
		}
	}
	for _, r := range rooms {
		r.Runs, r.movable.Runs = r.runs.Runs(), r.movableRuns.Runs()
	}
	d.addComingMachines(room, now)
	return rooms
}

// addComingMachines adds to the rooms of pools the machines that move to them, and those of spare pools that may be moved.
func (d *Dispatcher) addComingMachines(room func(pool.Name) *poolRoom, now time.Time) {
	for id, order := range d.maintenance.pendingOrders {
		if m, ok := d.maintenance.machines[id]; ok && order.toPool != "" {
			r := room(order.toPool)
			at := order.since.Add(order.downtime)
			if at.Before(now) {
				at = now
			}
			r.Incoming = append(r.Incoming, forecast.Incoming{At: at, Capacity: balance.AmountOf(m.Capacity)})
		}
	}
	for id, m := range d.maintenance.machines {
		if p, ok := d.config.Pool(m.Pool); ok && p.Spare && m.State == worker.MachineUp && !d.maintenance.hasPendingOrder(id) {
			r := room(m.Pool)
			r.movable.Capacity = r.movable.Capacity.Add(balance.AmountOf(m.Capacity))
		}
	}
}

// timeLeft returns the estimated time until a run ends.
func (r *run) timeLeft(now time.Time) time.Duration {
	return max(r.step.Estimate-now.Sub(r.startSentAt), 0)
}
