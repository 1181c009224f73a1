package dispatch

import (
	"slices"
	"time"

	"hibiscuslane.example/hibiscuslane/admission"
	"hibiscuslane.example/hibiscuslane/balance"
	"hibiscuslane.example/hibiscuslane/forecast"
	"hibiscuslane.example/hibiscuslane/pool"
	"hibiscuslane.example/hibiscuslane/relay"
	"hibiscuslane.example/hibiscuslane/schedule"
	"hibiscuslane.example/hibiscuslane/task"
	"hibiscuslane.example/hibiscuslane/team"
)

const (
	// returnGrace is how long after the time it was told a refused caller is expected.
	returnGrace = time.Second
	// maxRefusals limits the refused jobs that are remembered, about 200 bytes each. Callers beyond it get no place of their own.
	maxRefusals = 4096
	// loadMaxAge is how long a forecast is used for decisions. Cycles renew it, and are at most checkInterval apart unless the
	// owner is overloaded.
	loadMaxAge = 500 * time.Millisecond
)

// admissions holds what the owner knows of the load of the pools, and the jobs that it has refused. The zero value has
// neither and refuses nothing. It ends with the term: a later owner knows nothing of earlier refusals.
type admissions struct {
	// loads holds the pools with waiting tasks as of the last cycle, at updatedAt.
	loads     map[pool.Name]*admission.Load
	updatedAt time.Time
	// overShare holds the teams over their share in these pools.
	overShare map[pool.Name]map[team.Name]bool
	refusals  map[task.JobID]*refusal
}

// planInput is what the plans of a cycle were made from.
type planInput struct {
	pending map[pool.Name][]*schedule.PendingStep
	options map[pool.Name]schedule.Options
	// largestRooms holds what the workers have free after the plans, see schedule.LargestRooms.
	largestRooms map[pool.Name][]task.Resources
	// teams holds what the teams may start after the plans.
	teams schedule.Teams
	// rooms is nil if no tasks waited at the end of the last cycle.
	rooms map[pool.Name]*poolRoom
}

// refusal is a refused job whose caller may ask again.
type refusal struct {
	admission.Refusal
	pool pool.Name
	// servable is set once the pool was seen without waiting tasks while the job could still have met its hard deadline, and
	// from the beginning if the job was refused for another reason than room.
	servable bool
}

// isExpected reports whether the caller may still return in time to keep its place.
func (r *refusal) isExpected(now time.Time) bool { return now.Sub(r.ReturnAt) <= returnGrace }

// isAdmittedByLoad reports whether the load of a pool concerns a job at all. Scheduled and long-running jobs wait for as long as it
// takes.
func isAdmittedByLoad(j *job) bool { return j.Spec.RepeatCount == 0 && !j.Spec.HasLongRunningStep() }

// refuseOverload returns a refusal if a new job cannot meet its hard deadline beside the work that waits; nil if it can, or if
// too little is known.
func (d *Dispatcher) refuseOverload(j *job, now time.Time) *relay.Reply {
	load := d.admissions.loads[j.Pool]
	if load == nil || !isAdmittedByLoad(j) || d.registrationsLoadedAt.IsZero() || d.unsettledWorkers > 0 || now.Sub(d.admissions.updatedAt) > loadMaxAge {
		return nil
	}
	asked := now
	earlier := d.admissions.refusals[j.ID]
	if earlier != nil {
		asked = earlier.AskedAt
	}
	if d.isAtMaximum(j) {
		return nil // it waits for its team, not for room
	}
	request := d.admissionJob(j, asked)
	if request.LastStart.Before(asked) {
		return nil // its queue allows less time than it takes, so that no room would do
	}
	if load.CanServe(request, asked, now) {
		load.Waiting = append(load.Waiting, request)
		if earlier != nil {
			if i := indexOfRefusal(load, j.ID); i >= 0 {
				load.Refused = slices.Delete(load.Refused, i, i+1)
			}
		}
		return nil
	}
	delay := load.RetryDelay(request, asked, now)
	d.counters.RefusedJobs++
	d.log.Info(eventJobRefused, "job", j.ID, "queue", j.queue.Name, "again", delay, "asked", now.Sub(asked), "waiting", len(load.Waiting), "refused", len(load.Refused))
	d.recordRefusal(load, refusal{Refusal: admission.Refusal{Job: request, AskedAt: asked, ReturnAt: now.Add(delay)}, pool: j.Pool, servable: earlier != nil && earlier.servable})
	return refusalReply("more work waits than can be done before the deadline of the job", delay)
}

// recordRefusal remembers a refusal, unless there are too many, and also in the load, if there is one, so that each decision need
// not look through all refusals.
func (d *Dispatcher) recordRefusal(load *admission.Load, r refusal) {
	id := r.Job.ID
	if d.admissions.refusals[id] == nil && len(d.admissions.refusals) >= maxRefusals {
		return
	}
	if d.admissions.refusals == nil {
		d.admissions.refusals = map[task.JobID]*refusal{}
	}
	d.admissions.refusals[id] = &r
	if load == nil {
		return
	}
	if i := indexOfRefusal(load, id); i >= 0 {
		load.Refused[i] = r.Refusal
	} else {
		load.Refused = append(load.Refused, r.Refusal)
	}
}

// indexOfRefusal returns the index of a refused job in a load, or -1.
func indexOfRefusal(load *admission.Load, id task.JobID) int {
	return slices.IndexFunc(load.Refused, func(r admission.Refusal) bool { return r.Job.ID == id })
}

// spaceRetry changes when the caller of a new job should ask again that is refused because the store does not answer. The job
// keeps no place, since it does not lack room.
func (d *Dispatcher) spaceRetry(reply *relay.Reply, j *job, now time.Time) *relay.Reply {
	if d.draining || !isAdmittedByLoad(j) {
		return reply
	}
	asked := now
	if earlier := d.admissions.refusals[j.ID]; earlier != nil {
		asked = earlier.AskedAt
	}
	request := d.admissionJob(j, asked)
	delay := max(admission.SpacedRetryDelay(request, asked, now), time.Duration(reply.Again)*time.Millisecond)
	request.Work = balance.Amount{}
	d.recordRefusal(nil, refusal{Refusal: admission.Refusal{Job: request, AskedAt: asked, ReturnAt: now.Add(delay)}, pool: j.Pool, servable: true})
	reply.Again = delay.Milliseconds()
	return reply
}

// admissionJob describes a new job whose caller first asked at the given time.
func (d *Dispatcher) admissionJob(j *job, asked time.Time) admission.Job {
	path := j.CriticalPath(nil)
	allowed := j.allowedTime(path)
	var work balance.Amount
	for i := range j.Spec.Steps {
		step := &j.Spec.Steps[i]
		work = work.Add(taskWork(step).Scale(float64(step.Count)))
	}
	return admission.Job{ID: j.ID, Work: work, Priority: j.queue.Priority, LatestStart: asked.Add(allowed - path), LastStart: asked.Add(hardDeadlineFactor*allowed - path), IsOverShare: d.admissions.overShare[j.Pool][j.Team]}
}

// takeRefusal forgets the refusal of a job that is accepted now, and returns when its caller first asked; now if it was not
// refused.
func (d *Dispatcher) takeRefusal(id task.JobID, now time.Time) time.Time {
	r := d.admissions.refusals[id]
	if r == nil {
		return now
	}
	delete(d.admissions.refusals, id)
	return r.AskedAt
}

// addExpected adds to the loads the refused jobs whose callers are expected back.
func (d *Dispatcher) addExpected(now time.Time) {
	for _, r := range d.admissions.refusals {
		if load := d.admissions.loads[r.pool]; load != nil && r.isExpected(now) {
			load.Refused = append(load.Refused, r.Refusal)
		}
	}
}

// updateLoads describes the pools with waiting tasks. It is called in each cycle, after the plan.
func (d *Dispatcher) updateLoads(plan planInput, now time.Time) {
	d.admissions.updatedAt = now
	d.admissions.loads, d.admissions.overShare = nil, nil
	if plan.rooms == nil {
		d.checkRefusals(now)
		return
	}
	for _, j := range d.openJobs {
		if isAdmittedByLoad(j) {
			d.addToLoad(j, plan, now)
		}
	}
	for name, load := range d.admissions.loads {
		load.Room = d.roomWithDonors(name, plan.rooms, now)
	}
	d.checkRefusals(now)
	d.addExpected(now)
}

// addToLoad adds an accepted job to the load of its pool if tasks of it wait for room. Jobs that wait for something else, or because
// their team is at its maximum, take no room from others.
func (d *Dispatcher) addToLoad(j *job, plan planInput, now time.Time) {
	steps := d.pendingStepsOf(j, now)
	if !slices.ContainsFunc(steps, func(p *schedule.PendingStep) bool {
		return plan.teams[p.Team].Startable(p) > 0 && schedule.WaitsForRoom(p, plan.largestRooms[j.Pool])
	}) {
		return
	}
	load := d.admissions.loads[j.Pool]
	if load == nil {
		load = &admission.Load{}
		if d.admissions.loads == nil {
			d.admissions.loads, d.admissions.overShare = map[pool.Name]*admission.Load{}, map[pool.Name]map[team.Name]bool{}
		}
		d.admissions.loads[j.Pool] = load
		d.admissions.overShare[j.Pool] = schedule.OverShare(plan.pending[j.Pool], plan.options[j.Pool])
	}
	p := steps[0] // the deadlines and the remaining work are those of the job
	load.Waiting = append(load.Waiting, admission.Job{
		ID: j.ID, Work: p.RemainingWork, Priority: p.Priority, LatestStart: p.LatestStart(), LastStart: p.LastStart(), IsOverShare: d.admissions.overShare[j.Pool][j.Team],
	})
}

// roomWithDonors returns the room of a pool with all that could move to it: machines without long-running tasks, once they have
// done what waits and runs in their pool.
func (d *Dispatcher) roomWithDonors(name pool.Name, rooms map[pool.Name]*poolRoom, now time.Time) forecast.Room {
	var room forecast.Room
	if r := rooms[name]; r != nil {
		room = r.Room
	}
	for other, r := range rooms {
		if other == name {
			continue
		}
		donor := forecast.Donor{Room: r.movable, MoveDuration: d.timing.MoveDuration}
		if load := d.admissions.loads[other]; load != nil {
			for _, w := range load.Waiting {
				if !d.yieldsLate || !w.LatestStart.Before(now) { // otherwise it gives way
					donor.Waiting = donor.Waiting.Add(w.Work)
				}
			}
		}
		room.Donors = append(room.Donors, donor)
	}
	return room
}

// checkRefusals compares the refusals with what has happened since. It forgets those whose callers are no longer expected once
// that is known, or at once if there are as many as may be remembered: later callers would get no place, perhaps for as long as
// the deadlines of earlier jobs are away.
func (d *Dispatcher) checkRefusals(now time.Time) {
	isFull := len(d.admissions.refusals) >= maxRefusals
	for id, r := range d.admissions.refusals {
		if !r.servable && d.admissions.loads[r.pool] == nil && now.Before(r.Job.LastStart) {
			r.servable = true
			d.counters.RefusedServable++
			d.log.Info(eventRefusalRefuted, "job", id, "pool", r.pool, "early", r.Job.LastStart.Sub(now))
		}
		if !r.isExpected(now) && (isFull || r.servable || now.After(r.Job.LastStart)) {
			delete(d.admissions.refusals, id)
		}
	}
}

// recordMissedDeadline counts an accepted job that has ended after its hard deadline.
func (d *Dispatcher) recordMissedDeadline(j *job) {
	allowed := hardDeadlineFactor * j.allowedTime(j.CriticalPath(nil))
	if took := j.EndedAt.Sub(j.AcceptedAt); isAdmittedByLoad(j) && j.Outcome != task.StateCancelled && took > allowed {
		d.counters.MissedDeadlines++
		d.log.Info(eventDeadlineMissed, "job", j.ID, "queue", j.queue.Name, "took", took, "limit", allowed)
	}
}
