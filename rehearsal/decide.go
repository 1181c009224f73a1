package rehearsal

import (
	"time"

	"hibiscuslane.example/hibiscuslane/admission"
	"hibiscuslane.example/hibiscuslane/balance"
	"hibiscuslane.example/hibiscuslane/forecast"
	"hibiscuslane.example/hibiscuslane/pool"
	"hibiscuslane.example/hibiscuslane/task"
	"hibiscuslane.example/hibiscuslane/worker"
)

// poolRoom is the room of a pool, and that on its machines that may move.
type poolRoom struct {
	forecast.Room
	counter forecast.RunCounter
}

// rooms returns the room of each pool as the owner knows it.
func (r *rehearsal) rooms() map[pool.Name]*poolRoom {
	rooms := map[pool.Name]*poolRoom{}
	for _, p := range r.pools {
		rooms[p.Name] = &poolRoom{}
	}
	capacity := balance.AmountOf(r.load.Machine)
	for _, m := range r.machines {
		room := rooms[m.pool]
		switch {
		case m.downUntil.After(r.now):
		case m.readyAt.After(r.now):
			room.Incoming = append(room.Incoming, forecast.Incoming{At: m.readyAt, Capacity: capacity})
		default:
			room.Capacity = room.Capacity.Add(capacity)
		}
	}
	for _, run := range r.runs {
		rooms[run.machine.pool].counter.Add(run.timeLeft(r.now), balance.AmountOf(run.caller.spec.Steps[run.key.Step].Resources))
	}
	for _, room := range rooms {
		room.Runs = room.counter.Runs()
	}
	return rooms
}

// loads describes the pools with waiting tasks, with the room that machines of other pools add.
func (r *rehearsal) loads() map[pool.Name]*admission.Load {
	if !r.waits {
		return nil
	}
	loads := map[pool.Name]*admission.Load{}
	for name, steps := range r.pending() {
		load := &admission.Load{}
		last := task.JobID("")
		for _, p := range steps {
			if p.Job != last { // the work is that of the job
				load.Waiting = append(load.Waiting, admission.Job{ID: p.Job, Work: p.RemainingWork, Priority: p.Priority, LatestStart: p.LatestStart(), LastStart: p.LastStart()})
			}
			last = p.Job
		}
		loads[name] = load
	}
	rooms := r.rooms()
	for name, load := range loads {
		load.Room = rooms[name].Room
		load.Room.Donors = r.donors(name, loads, rooms)
	}
	for _, c := range r.asking {
		if load := loads[r.poolOf(c.queue)]; load != nil && r.now.Sub(c.returns) <= returnGrace {
			load.Refused = append(load.Refused, admission.Refusal{Job: c.request(), AskedAt: c.asked, ReturnAt: c.returns})
		}
	}
	return loads
}

// donors returns the pools whose machines could move to the given one.
func (r *rehearsal) donors(name pool.Name, loads map[pool.Name]*admission.Load, rooms map[pool.Name]*poolRoom) []forecast.Donor {
	if !r.moves() {
		return nil
	}
	var donors []forecast.Donor
	for _, p := range r.pools {
		if p.Name == name {
			continue
		}
		donor := forecast.Donor{Room: rooms[p.Name].Room, MoveDuration: time.Duration(r.load.Move)}
		if other := loads[p.Name]; other != nil {
			for _, w := range other.Waiting {
				if r.policy != PolicyYield || !w.LatestStart.Before(r.now) {
					donor.Waiting = donor.Waiting.Add(w.Work)
				}
			}
		}
		donors = append(donors, donor)
	}
	return donors
}

// work returns the estimated work of a job.
func (c *caller) work() balance.Amount {
	var work balance.Amount
	for i := range c.spec.Steps {
		step := &c.spec.Steps[i]
		work = work.Add(balance.AmountOf(step.Resources).Scale(float64(step.Count) * step.Estimate.Seconds()))
	}
	return work
}

// newJob returns the job of a caller. Its deadlines count from when the caller first asked.
func (c *caller) newJob(name pool.Name) *task.Job {
	return task.New(c.id, string(c.queue.Name), name, c.spec, c.asked)
}

// request describes the job of a caller who asks.
func (c *caller) request() admission.Job {
	path := c.newJob("").CriticalPath(nil)
	allowed := c.allowed(path)
	return admission.Job{ID: c.id, Work: c.work(), Priority: c.queue.Priority, LatestStart: c.asked.Add(allowed - path), LastStart: c.asked.Add(hardDeadlineFactor*allowed - path)}
}

// submit lets the callers ask whose time has come.
func (r *rehearsal) submit(storeAnswers bool) {
	var due []*caller
	kept := r.asking[:0]
	for _, c := range r.asking {
		if c.returns.After(r.now) {
			kept = append(kept, c)
		} else {
			due = append(due, c)
		}
	}
	r.asking = kept
	for r.next < len(r.callers) && !r.callers[r.next].asked.After(r.now) {
		due = append(due, r.callers[r.next])
		r.next++
	}
	if len(due) == 0 {
		return
	}
	loads := r.loads()
	for _, c := range due {
		r.ask(c, loads[r.poolOf(c.queue)], storeAnswers)
	}
}

// ask accepts or refuses the job of a caller.
func (r *rehearsal) ask(c *caller, load *admission.Load, storeAnswers bool) {
	request := c.request()
	var delay time.Duration
	switch {
	case !storeAnswers:
		delay = admission.SpacedRetryDelay(request, c.asked, r.now)
	case r.policy != PolicyNoRefusal && load != nil && !request.LastStart.Before(c.asked) && !load.CanServe(request, c.asked, r.now):
		delay = load.RetryDelay(request, c.asked, r.now)
		load.Refused = append(load.Refused, admission.Refusal{Job: request, AskedAt: c.asked, ReturnAt: r.now.Add(delay)})
	default:
		if load != nil {
			load.Waiting = append(load.Waiting, request)
		}
		r.accept(c)
		return
	}
	if c.refusals++; c.refusals > r.load.Retries {
		return // the caller gives up
	}
	c.returns = r.now.Add(delay)
	r.asking = append(r.asking, c)
}

func (r *rehearsal) accept(c *caller) {
	c.job = c.newJob(r.poolOf(c.queue))
	r.jobs[c.job.ID] = c
	r.open = append(r.open, c)
	path := c.job.CriticalPath(nil)
	stats := r.arrivals[c.queue.Name]
	if stats == nil {
		stats = &balance.Arrivals{Start: r.start}
		r.arrivals[c.queue.Name] = stats
	}
	stats.Add(r.now, c.work(), c.allowed(path)-path)
}

// move moves machines between pools.
func (r *rehearsal) move() {
	pools, byName := []*balance.Pool{}, map[pool.Name]*balance.Pool{}
	for _, p := range r.pools {
		b := &balance.Pool{Name: p.Name, Spare: p.Spare}
		byName[p.Name] = b
		pools = append(pools, b)
	}
	occupancy := map[pool.Name]float64{}
	for i := range r.load.Queues {
		q := &r.load.Queues[i]
		if stats := r.arrivals[q.Name]; stats != nil {
			current, growing := stats.Rate(r.now, time.Duration(r.load.Move))
			if r.policy == PolicyNoGrowth {
				growing = current
			}
			b := byName[q.Pool]
			b.ArrivalRate, b.Forecast = b.ArrivalRate.Add(current), b.Forecast.Add(growing)
			occupancy[q.Pool] = max(occupancy[q.Pool], stats.Occupancy())
		}
	}
	for name, steps := range r.pending() {
		for _, p := range steps {
			work := balance.AmountOf(p.Spec.Resources).Scale(p.Spec.Estimate.Seconds() * float64(len(p.Tasks)) * occupancy[name])
			if b := byName[name]; r.policy == PolicyYield && p.IsOverdue(r.now) {
				b.Overdue = b.Overdue.Add(work)
			} else {
				b.Backlog = b.Backlog.Add(work)
			}
		}
	}
	machines := r.describeMachines(byName)
	for _, m := range balance.Plan(pools, balance.SettingsFor(time.Duration(r.load.Move)), r.now) {
		moved := machines[m.Machine]
		moved.pool, moved.readyAt = m.To, r.now.Add(time.Duration(r.load.Move)+readyTime)
		r.report.Moves++
	}
	r.leaving = map[worker.MachineID]bool{}
	for _, b := range pools {
		for _, id := range b.Leaving {
			r.leaving[id] = true
		}
	}
}

// describeMachines adds the machines and what runs on them to the pools.
func (r *rehearsal) describeMachines(pools map[pool.Name]*balance.Pool) map[worker.MachineID]*machine {
	machines, capacity := map[worker.MachineID]*machine{}, balance.AmountOf(r.load.Machine)
	for _, m := range r.machines {
		machines[m.id] = m
		b := pools[m.pool]
		if m.readyAt.After(r.now) {
			b.IncomingCapacity = b.IncomingCapacity.Add(capacity)
			continue
		}
		isDown := m.downUntil.After(r.now)
		b.BatchReserved = b.BatchReserved.Add(balance.AmountOf(m.reserved))
		b.Machines = append(b.Machines, balance.Machine{ID: m.id, Capacity: capacity, Idle: m.runs == 0 && !isDown, IdleSince: m.idleSince, Pinned: isDown, Unavailable: isDown})
	}
	return machines
}
