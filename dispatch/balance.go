package dispatch

import (
	"context"
	"maps"
	"slices"
	"time"

	"hibiscuslane.example/hibiscuslane/balance"
	"hibiscuslane.example/hibiscuslane/pool"
	"hibiscuslane.example/hibiscuslane/schedule"
	"hibiscuslane.example/hibiscuslane/task"
	"hibiscuslane.example/hibiscuslane/worker"
)

const (
	// shortPoolLogInterval is the minimum time between two log lines about a pool that lacks capacity.
	shortPoolLogInterval = 500 * time.Millisecond
	// leavingMaxAge is how long overdue tasks wait for machines to move after moves were last planned.
	leavingMaxAge = time.Second
)

// recordArrival records the work of a new job. Scheduled jobs, jobs with long-running steps and jobs that wait for their team do
// not count.
func (d *Dispatcher) recordArrival(j *job, now time.Time) {
	if j.Spec.RepeatCount > 0 || j.Spec.HasLongRunningStep() || d.isAtMaximum(j) {
		return
	}
	var work balance.Amount
	for i := range j.Spec.Steps {
		step := &j.Spec.Steps[i]
		work = work.Add(taskWork(step).Scale(float64(step.Count)))
	}
	stats := d.arrivals[j.queue.Name]
	if stats == nil {
		stats = &balance.Arrivals{Start: d.termStart}
		d.arrivals[j.queue.Name] = stats
	}
	path := j.CriticalPath(nil)
	stats.Add(now, work, time.Duration(j.Policy.MaxStretch*float64(path))+j.Policy.LatencyAllowance-path)
}

// recordOccupancy records how long a finished batch task has occupied its room.
func (d *Dispatcher) recordOccupancy(r *run, now time.Time) {
	if stats := d.arrivals[r.job.queue.Name]; stats != nil && !r.step.LongRunning && !r.placedAt.IsZero() {
		stats.AddRun(now.Sub(r.placedAt), r.step.Estimate)
	}
}

// taskWork returns the estimated work of one task.
func taskWork(step *task.Step) balance.Amount {
	return balance.AmountOf(step.Reservation()).Scale(step.Estimate.Seconds())
}

// rebalancePools moves machines to the pools that need them.
func (d *Dispatcher) rebalancePools(now time.Time) {
	if d.config == nil || d.draining {
		return
	}
	pools := map[pool.Name]*balance.Pool{}
	var list []*balance.Pool
	for _, p := range d.config.Pools() {
		b := &balance.Pool{Name: p.Name, Spare: p.Spare, HasRoom: !d.poolsLackRoom[p.Name]}
		pools[p.Name] = b
		list = append(list, b)
	}
	for name, stats := range d.arrivals {
		if q, ok := d.config.Queue(name); ok && pools[q.Pool] != nil {
			current, forecast := stats.Rate(now, d.timing.MoveDuration)
			pools[q.Pool].ArrivalRate = pools[q.Pool].ArrivalRate.Add(current)
			pools[q.Pool].Forecast = pools[q.Pool].Forecast.Add(forecast)
		}
	}
	d.addBacklog(pools, now)
	for _, j := range d.openJobs {
		if b := pools[j.Pool]; b != nil {
			b.MinMachines = max(b.MinMachines, minWorkers(j))
		}
	}
	workers := d.currentWorkers()
	for _, m := range d.maintenance.machines {
		d.addMachine(pools, m, workers[m.ID], now)
	}
	plan := balance.SettingsFor(d.timing.MoveDuration)
	plan.Budget = d.maintenance.orderBudget(now)
	for _, move := range balance.Plan(list, plan, now) {
		d.moveMachine(move, now)
	}
	d.leavingMachines, d.leavingSetAt = map[worker.MachineID]bool{}, now
	for _, b := range list {
		for _, id := range b.Leaving {
			d.leavingMachines[id] = true
		}
	}
	d.logShortPools(list, plan.Budget, now)
}

// defersOverdue reports whether late work waits so that machines empty for other pools. They do so only while moves are planned, which
// needs the fleet.
func (d *Dispatcher) defersOverdue(now time.Time) bool {
	return d.yieldsLate && len(d.leavingMachines) > 0 && now.Sub(d.leavingSetAt) <= leavingMaxAge
}

// lacksRoom reports whether a plan that has placed the given numbers of tasks left a step waiting for room whose job can be in time.
func lacksRoom(pending []*schedule.PendingStep, placed map[*schedule.PendingStep]int, largestRooms []task.Resources, teams schedule.Teams, now time.Time) bool {
	return slices.ContainsFunc(pending, func(p *schedule.PendingStep) bool {
		return !p.Spec.LongRunning && placed[p] < len(p.Tasks) && !p.IsOverdue(now) && teams[p.Team].Startable(p) > 0 && schedule.WaitsForRoom(p, largestRooms)
	})
}

// logShortPools logs the pools that lack capacity although all moves were planned that are possible and within the budget, each pool
// at most once in shortPoolLogInterval.
func (d *Dispatcher) logShortPools(pools []*balance.Pool, budget *balance.Budget, now time.Time) {
	var idleMachines, pinnedMachines, busyMachines int
	for _, p := range pools {
		idle, pinned, busy := p.MachineCounts()
		idleMachines, pinnedMachines, busyMachines = idleMachines+idle, pinnedMachines+pinned, busyMachines+busy
	}
	for _, p := range pools {
		deficit := p.Deficit(balance.SettingsFor(d.timing.MoveDuration))
		if p.Spare || deficit <= 0 || now.Sub(d.shortPoolLoggedAt[p.Name]) < shortPoolLogInterval {
			continue
		}
		if d.shortPoolLoggedAt == nil {
			d.shortPoolLoggedAt = map[pool.Name]time.Time{}
		}
		d.shortPoolLoggedAt[p.Name] = now
		idle, pinned, busy := p.MachineCounts()
		d.log.Info(eventPoolShort, "pool", p.Name, "deficit", deficit, "incoming", p.IncomingCapacity,
			"arriving", p.ArrivalRate, "forecast", p.Forecast, "occupancy", d.poolOccupancy(p.Name), "backlog", p.Backlog, "reserved", p.BatchReserved, "lasting", p.LongRunningReserved, "stranded", p.StrandedMachines,
			"idle", idle, "pinned", pinned, "busy", busy, "orders", budget.Urgent,
			"idleDonors", idleMachines-idle, "pinnedDonors", pinnedMachines-pinned, "busyDonors", busyMachines-busy)
	}
}

// poolOccupancy returns by which multiple of their estimates tasks occupy their room in a pool; the largest of its queues.
func (d *Dispatcher) poolOccupancy(name pool.Name) float64 {
	occupancy := 1.0
	for queueName, stats := range d.arrivals {
		if q, ok := d.config.Queue(queueName); ok && q.Pool == name {
			occupancy = max(occupancy, stats.Occupancy())
		}
	}
	return occupancy
}

// minWorkers returns the number of workers that the long-running tasks of a job need because of the limit
// of tasks per worker.
func minWorkers(j *job) int {
	workers := 0
	for i := range j.Spec.Steps {
		step := &j.Spec.Steps[i]
		if step.LongRunning && step.MaxPerWorker > 0 {
			workers = max(workers, (step.Count+step.MaxPerWorker-1)/step.MaxPerWorker)
		}
	}
	return workers
}

// addBacklog adds the waiting tasks to their pools: the reservations of long-running tasks and the work of all
// others.
//
// Tasks that the maximum of their team keeps from starting in the time in which a backlog should be worked off do not count: more
// machines would stay idle.
func (d *Dispatcher) addBacklog(pools map[pool.Name]*balance.Pool, now time.Time) {
	machine := d.largestMachine()
	allPending := d.pendingSteps(now)
	teams, horizon := d.planTeams(allPending), balance.SettingsFor(d.timing.MoveDuration).BacklogHorizon
	for _, name := range slices.Sorted(maps.Keys(allPending)) {
		pending, b := allPending[name], pools[name]
		if b == nil {
			continue
		}
		var stranded strandedTasks
		if d.yieldsLate {
			pending = overdueLast(pending, now)
		}
		for _, step := range pending {
			startable := teams[step.Team].TakeWithin(step, horizon)
			count := float64(startable)
			if step.Spec.LongRunning {
				b.LongRunningReserved = b.LongRunningReserved.Add(balance.AmountOf(step.Spec.Reservation()).Scale(count))
				d.addStranded(&stranded, step, startable, machine, now)
				continue
			}
			occupancy := 1.0
			if stats := d.arrivals[d.jobs[step.Job].queue.Name]; stats != nil {
				occupancy = stats.Occupancy()
			}
			work := taskWork(&step.Spec).Scale(count * occupancy)
			if d.yieldsLate && step.IsOverdue(now) {
				b.Overdue = b.Overdue.Add(work)
			} else {
				b.Backlog = b.Backlog.Add(work)
			}
		}
		b.StrandedMachines = stranded.machines(machine)
	}
}

// overdueLast returns the steps in the order in which they take what their teams may start: late work goes last, as in plans.
func overdueLast(pending []*schedule.PendingStep, now time.Time) []*schedule.PendingStep {
	steps, overdue := make([]*schedule.PendingStep, 0, len(pending)), []*schedule.PendingStep(nil)
	for _, p := range pending {
		if p.IsOverdue(now) {
			overdue = append(overdue, p)
		} else {
			steps = append(steps, p)
		}
	}
	return append(steps, overdue...)
}

// isOutOfService reports whether the worker takes no tasks for some time, or ever again. A worker that has not answered in
// this term yet is in service.
func (s *workerState) isOutOfService() bool {
	return s.drainingForMaintenance || !s.closedSince.IsZero() || s.successor != nil || !s.unreachableSince.IsZero() || s.registration.State != worker.StateReady
}

// addMachine adds a machine and its load to its pool, or its capacity to the pool that it is moving to.
func (d *Dispatcher) addMachine(pools map[pool.Name]*balance.Pool, m worker.Machine, s *workerState, now time.Time) {
	order, ordered := d.maintenance.pendingOrders[m.ID]
	if ordered && order.toPool != "" {
		if b := pools[order.toPool]; b != nil {
			b.IncomingCapacity = b.IncomingCapacity.Add(balance.AmountOf(m.Capacity))
		}
		return
	}
	b := pools[m.Pool]
	if b == nil {
		return
	}
	machine := balance.Machine{ID: m.ID, Capacity: balance.AmountOf(m.Capacity)}
	machine.Unavailable = ordered || m.State != worker.MachineUp
	machine.Pinned = d.isReservedByEarlierOwner(m.ID, now)
	machine.Fixed = machine.Pinned
	if s != nil {
		machine.Idle = len(s.runs) == 0
		machine.Fixed = machine.Fixed || s.longRunningRuns > 0
		machine.IdleSince = s.idleSince
		machine.Unavailable = machine.Unavailable || s.isOutOfService()
		machine.Pinned = machine.Pinned || !s.isSettled()
		for _, r := range s.runs {
			if reservation := balance.AmountOf(r.reservation); r.step.LongRunning {
				b.LongRunningReserved = b.LongRunningReserved.Add(reservation)
			} else {
				b.BatchReserved = b.BatchReserved.Add(reservation)
			}
		}
	} else {
		// Machines of the spare pool are switched off and need no worker. Any other may still run tasks.
		machine.Idle = b.Spare
		machine.Unavailable = machine.Unavailable || !b.Spare
	}
	machine.Pinned = machine.Pinned || machine.Unavailable
	if _, moveRefused := d.maintenance.refusedPools[m.ID]; moveRefused {
		machine.Idle, machine.Fixed = false, true // not Pinned, because the capacity of the machine still counts
	}
	b.Machines = append(b.Machines, machine)
}

// moveMachine orders the move of a machine to another pool.
func (d *Dispatcher) moveMachine(m balance.Move, now time.Time) {
	d.log.Info(eventMoveOrdered, "machine", m.Machine, "from", m.From, "to", m.To)
	id, to := m.Machine, m.To
	d.sendMachineOrder(id, machineOrder{since: now, downtime: d.timing.MoveDuration, toPool: to}, func(ctx context.Context) error {
		return d.fleet.MoveMachine(ctx, id, to, worker.FencingToken(d.epoch))
	}, func() { d.counters.MachineMoves++ })
}
