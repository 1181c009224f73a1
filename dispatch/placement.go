package dispatch

import (
	"slices"
	"strings"
	"time"

	"hibiscuslane.example/hibiscuslane/pool"
	"hibiscuslane.example/hibiscuslane/schedule"
	"hibiscuslane.example/hibiscuslane/task"
	"hibiscuslane.example/hibiscuslane/worker"
)

const (
	// hardDeadlineFactor is the multiple of the time allowed for a job after which completing it has no value.
	hardDeadlineFactor = 3
)

// placeTasks assigns waiting tasks to workers with free capacity. The start orders are sent once the
// placements are stored.
func (d *Dispatcher) placeTasks() {
	if d.ledger == nil || d.config == nil || d.draining {
		return
	}
	now := d.clock.Now()
	pending := d.pendingSteps(now)
	waiting := 0
	for _, steps := range pending {
		for _, step := range steps {
			waiting += len(step.Tasks)
		}
	}
	d.refreshInterference(now)
	workers := d.availableWorkers(pending, now)
	teams := d.planTeams(pending)
	options, placed := d.planOptions(teams), map[*schedule.PendingStep]int{}
	var rooms map[pool.Name]*poolRoom
	if waiting > 0 && d.hasWaitingTasks { // the last plan left tasks waiting
		rooms = d.rooms(now)
	}
	for name := range workers {
		o := options[name]
		o.Interference, o.DefersOverdue = d.interference.costs, d.defersOverdue(now)
		if r := rooms[name]; r != nil {
			o.Room = &r.Room
		}
		for _, a := range schedule.Plan(now, workers[name], pending[name], o) {
			if a.IsAvoiding {
				d.interference.avoided++
			}
			d.assignTask(a)
			placed[a.Pending]++
			waiting--
		}
	}
	largestRooms := map[pool.Name][]task.Resources{}
	d.poolsLackRoom = map[pool.Name]bool{}
	if waiting > 0 {
		for name, steps := range pending {
			largestRooms[name] = schedule.LargestRooms(workers[name])
			d.poolsLackRoom[name] = lacksRoom(steps, placed, largestRooms[name], teams, now)
		}
	}
	d.recordWaits(pending, placed, teams, now)
	d.logLongWaits(pending, workers, teams, now)
	d.hasWaitingTasks = waiting > 0
	d.updateLoads(planInput{pending: pending, options: options, largestRooms: largestRooms, teams: teams, rooms: rooms}, now)
}

// availableWorkers returns the workers that can take tasks, by pool. It leaves out those on which no pending step finds room,
// which are nearly all of them in a burst.
func (d *Dispatcher) availableWorkers(pending map[pool.Name][]*schedule.PendingStep, now time.Time) map[pool.Name][]*schedule.Worker {
	needed := map[pool.Name]task.Resources{}
	for name, steps := range pending {
		needed[name] = schedule.LeastNeeded(steps)
	}
	workers := map[pool.Name][]*schedule.Worker{}
	for _, s := range d.workers {
		name := s.registration.Pool
		least, isPending := needed[name]
		if !isPending || !s.registration.Capacity.Sub(s.reserved).CanFit(least) || !d.canTakeTasks(s) {
			continue
		}
		s.candidate = schedule.Worker{
			ID: s.id, Rack: s.rack, Labels: s.registration.Labels, Capacity: s.registration.Capacity,
			Free: s.registration.Capacity.Sub(s.reserved), LongRunningReserved: s.longRunningReserved, BusyFor: max(s.busyUntil.Sub(now), 0), Draining: s.drainingForMaintenance, MaintenanceDue: d.maintenance.isMaintenanceDue(s.registration.Machine), Suspect: now.Before(s.suspectUntil),
			Stays: !d.leavingMachines[s.registration.Machine], Tasks: len(s.runs), LatencySensitiveTasks: s.latencySensitiveRuns, BestEffortTasks: s.bestEffortRuns,
		}
		if d.interference.costs != nil {
			s.candidate.Kinds = s.countKinds()
		}
		if d.hasCrashSuspects {
			s.candidate.CrashSuspects = s.countCrashSuspects()
		}
		workers[name] = append(workers[name], &s.candidate)
	}
	if d.isOrdered {
		for _, list := range workers {
			slices.SortFunc(list, func(a, b *schedule.Worker) int { return strings.Compare(string(a.ID), string(b.ID)) })
		}
	}
	return workers
}

// countCrashSuspects returns the number of tasks on the worker under which a worker has crashed.
func (s *workerState) countCrashSuspects() int {
	count := 0
	for _, r := range s.runs {
		if r.task().Crashes > 0 {
			count++
		}
	}
	return count
}

// canTakeTasks reports whether tasks can be placed on a worker: it is ready and reachable, all its runs are
// known, no order for its machine is pending, due or has ended it, and no later worker runs on its machine. An earlier owner that fell
// silent may still order its maintenance, which would end the tasks.
func (d *Dispatcher) canTakeTasks(s *workerState) bool {
	registration, listed := d.registrations[s.id]
	if d.ownerFellSilent && d.mayBeMaintainedByEarlierOwner(registration.Machine, d.clock.Now()) {
		return false
	}
	return listed && !s.endedByOrder && s.successor == nil && s.closedSince.IsZero() && len(s.orphanedRuns) == 0 && registration.State == worker.StateReady && s.tokenAcknowledged && s.lease.HasClock() && s.unreachableSince.IsZero() && !d.maintenance.hasPendingOrder(registration.Machine)
}

// assignTask stores the placement of a task and starts the run once it is stored.
func (d *Dispatcher) assignTask(a schedule.Assignment) {
	j := d.jobs[a.Pending.Job]
	s := d.workers[a.Worker]
	key := task.Key{Job: j.ID, Occurrence: a.Pending.Occurrence, Step: a.Pending.Step, Task: a.Task}
	t := j.Task(key)
	step := &j.Spec.Steps[key.Step]
	runNumber := max(t.LastRun+1, d.firstRunNumber())
	if step.Gang {
		runNumber = d.gangRunNumber(j, key)
	}
	r := &run{
		id: runID{key: key, number: runNumber}, job: j, workerID: s.id, machine: s.registration.Machine, worker: s, incarnation: s.incarnation, step: step,
		reservation: step.Reservation(), phase: phasePlanned, speedPercent: 100, startSentAt: d.clock.Now(), placedAt: d.clock.Now(),
	}
	t.LastRun = r.id.number
	t.Placements = append(t.Placements, task.Placement{Worker: string(s.id), Incarnation: int64(s.incarnation), Run: r.id.number, Machine: string(s.registration.Machine)})
	d.runs[r.id] = r
	d.holdRun(r)
	s.reserve(r)
	j.activeRuns++
	d.log.Info(eventTaskPlaced, "task", key.String(), "run", r.id.number, "worker", s.id, "birth", s.incarnation, "free", s.registration.Capacity.Sub(s.reserved).CPU, "priority", j.queue.Priority, "slack", a.Pending.Slack(r.startSentAt))
	d.markDirty(j, func(err error) {
		if err != nil {
			return // the term has ended
		}
		d.enqueueStart(r)
	})
}

// gangRunNumber returns the run number that all members of a gang share.
func (d *Dispatcher) gangRunNumber(j *job, key task.Key) task.RunNumber {
	runNumber := d.firstRunNumber()
	for i := range j.Spec.Steps[key.Step].Count {
		key.Task = i
		t := j.Task(key)
		if len(t.Placements) > 0 {
			return t.LastRun // the member that was placed first has set it
		}
		runNumber = max(runNumber, t.LastRun+1)
	}
	return runNumber
}

// checkTimeouts handles what no event triggers: expired leases, removed workers, stops to repeat, inherited
// runs and jobs whose retention has ended. It also counts the busy workers. It does nothing if the last check was less
// than checkInterval ago.
func (d *Dispatcher) checkTimeouts() {
	now := d.clock.Now()
	if now.Sub(d.timeoutsCheckedAt) < checkInterval {
		return
	}
	d.timeoutsCheckedAt = now
	d.busyWorkers, d.unsettledWorkers = 0, 0
	for _, s := range d.workers {
		if !s.tokenAcknowledged && s.unreachableSince.IsZero() {
			d.unsettledWorkers++
		}
		if len(s.runs) > s.longRunningRuns {
			d.busyWorkers++
		}
		if !s.unreachableSince.IsZero() && len(s.runs) > 0 && d.hasLeaseExpired(s, now) {
			d.expireRuns(s, now)
		}
		_, listed := d.registrations[s.id]
		if !listed && len(s.runs) == 0 && s.storedEnd == s.reportedEnd {
			s.cancel()
			s.client.Close()
			delete(d.workers, s.id)
			d.removeFromMachine(s)
		}
	}
	if now.Sub(d.slowCheckAt) < slowCheckInterval {
		return
	}
	d.slowCheckAt = now
	d.expireInheritedRuns(now)
	d.dropExtendedLeases(now)
	for _, r := range d.runs {
		d.retryStop(r, now)
	}
	d.checkLateStarts(now)
	d.dropUnneededAdvice()
	if d.ledger != nil {
		d.dropEndedJobs(now)
	}
}

// retryStop repeats a stop that was not confirmed.
func (d *Dispatcher) retryStop(r *run, now time.Time) {
	if r.phase == phaseStopping && r.stop.confirmedAt.IsZero() {
		d.sendStop(r, now)
	}
}
