// Package schedule decides which waiting tasks start next and on which workers (Plan). Its functions
// depend only on their arguments, which include the current time. Only "hibiscuslane run" uses it;
// job.Plan decides this for "hibiscuslane serve".
package schedule

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"hibiscuslane.example/hibiscuslane/balance"
	"hibiscuslane.example/hibiscuslane/forecast"
	"hibiscuslane.example/hibiscuslane/interference"
	"hibiscuslane.example/hibiscuslane/task"
	"hibiscuslane.example/hibiscuslane/team"
	"hibiscuslane.example/hibiscuslane/worker"
)

// Worker is a worker that accepts tasks.
type Worker struct {
	ID       worker.ID
	Rack     string
	Labels   []string
	Capacity task.Resources
	// Free is the capacity that no task reserves.
	Free task.Resources
	// LongRunningReserved is the capacity that long-running tasks reserve; what other tasks reserve becomes free soon.
	LongRunningReserved task.Resources
	// BusyFor is how long the estimates of its tasks keep it busy; long-running tasks do not count.
	BusyFor time.Duration
	// held is set while the worker empties for a long-running task that no worker has room for.
	held bool
	// LatencySensitiveTasks is the number of its tasks that have a latency target.
	LatencySensitiveTasks int
	// BestEffortTasks is the number of its tasks that use only idle CPU time.
	BestEffortTasks int
	// Draining is set if the machine is being drained for maintenance. The worker then gets no long-running tasks,
	// and other workers are preferred for all other tasks.
	Draining bool
	// MaintenanceDue is set if the machine will be maintained later. Other workers are preferred for long-running
	// tasks.
	MaintenanceDue bool
	// Stays is set if the machine does not move to another pool, whatever Options.DefersOverdue says.
	Stays bool
	// Suspect is set if tasks or orders have recently failed on the worker. Other workers are preferred.
	Suspect bool
	// Kinds is the number of its tasks by kind. It is only set for plans with Options.Interference.
	Kinds map[interference.Kind]int
	// Tasks is the number of its tasks, and CrashSuspects the number of those that a worker has crashed under.
	Tasks, CrashSuspects int
}

// PendingStep holds the waiting tasks of one step in one occurrence of a job.
type PendingStep struct {
	Job              task.JobID
	Occurrence, Step int
	Spec             task.Step
	// Tasks lists the indexes of the waiting tasks. For a gang, these are all tasks of the step.
	Tasks []int
	// FailedWorkers holds the workers on which each task has failed, by the index of the task.
	FailedWorkers map[int][]string
	// CrashSuspects has an entry for each waiting task under which a worker has crashed. It is true if the task is placed
	// only on a worker without another crash suspect, so that another crash tells which task causes it.
	CrashSuspects map[int]bool
	// TasksPerWorker is the number of tasks of the step that are placed on each worker.
	TasksPerWorker map[worker.ID]int
	// TasksPerRack is the number of tasks of the step that are placed on each rack.
	TasksPerRack map[string]int
	// Priority is the priority of the queue; 0 is the highest.
	Priority int
	// Kind is the kind of the tasks. It is only set if interference is learned.
	Kind interference.Kind
	// Team is the team of the job; empty if it belongs to none.
	Team team.Name
	// SoftDeadline is when the job must be complete to count as in time; RemainingPath is the estimated duration of
	// what remains of its critical path.
	SoftDeadline  time.Time
	RemainingPath time.Duration
	// RemainingWork is the estimated work of all tasks of the occurrence that have not been placed.
	RemainingWork balance.Amount
	// InitialSlack is the slack that the job had when it was accepted or, if it is scheduled, due.
	InitialSlack time.Duration
	// HasStarted is set if a task of the occurrence has been placed before.
	HasStarted bool
	// HardDeadline is the time after which completing the job has no value.
	HardDeadline time.Time
	// Tickets holds the tickets of the advice service by worker; it is nil if the queue needs no advice.
	Tickets map[worker.ID]string
}

// Assignment is the decision to start a task on a worker.
type Assignment struct {
	Pending *PendingStep
	Task    int // the index of the task in its step
	Worker  worker.ID
	// IsAvoiding is set if another worker would have been chosen but for interference.
	IsAvoiding bool
}

const (
	// estimateTolerance is the share of the remaining path by which a job may take longer than estimated.
	estimateTolerance = 0.25
	// maxReservedSlack is the largest share of its initial slack that a job may need in order to start. Without it, a
	// job that is allowed little more than its path would go last from the beginning.
	maxReservedSlack = 0.5
)

// urgencyClass is a class of steps. Lower ones come first.
type urgencyClass int

// Urgency classes.
const (
	classLongRunning urgencyClass = iota
	classInTime                   // the job can meet the soft deadline
	classLate                     // it can meet the hard deadline
	classLost                     // it could, but there is no room for all such jobs (see choose)
	classTooLate
)

// urgencyClass returns the class of a step.
func (p *PendingStep) urgencyClass(now time.Time) urgencyClass {
	switch {
	case p.Spec.LongRunning:
		return classLongRunning
	case p.canBeInTime(now):
		return classInTime
	case !now.Add(p.RemainingPath).After(p.HardDeadline):
		return classLate
	}
	return classTooLate
}

// maxDeferral is how long after its hard deadline a job gives way to those of other pools at most.
const maxDeferral = 10 * time.Second

// IsOverdue reports whether the job ends on its own and can't be in time any more.
func (p *PendingStep) IsOverdue(now time.Time) bool {
	return !p.Spec.LongRunning && !p.canBeInTime(now)
}

// defers reports whether the step gives way to jobs of other pools that can be in time.
func (p *PendingStep) defers(now time.Time) bool {
	return p.IsOverdue(now) && now.Before(p.HardDeadline.Add(maxDeferral))
}

// canBeInTime reports whether the job can meet the soft deadline. A job that has not started must be able to meet it
// even if it takes longer than estimated: in an overload, jobs start with the least slack that is allowed, and without
// this reserve nearly all of them would be a little late. A job that has started may be in time if it takes less than
// estimated; giving it up wastes the work done.
func (p *PendingStep) canBeInTime(now time.Time) bool {
	tolerance := time.Duration(estimateTolerance * float64(p.RemainingPath))
	if p.HasStarted {
		return p.Slack(now) >= -tolerance
	}
	reserve := min(tolerance, time.Duration(maxReservedSlack*float64(p.InitialSlack)))
	return p.Slack(now) >= max(reserve, 0)
}

// Slack returns how much later than now the remaining path may start for the job to meet the soft deadline. It is
// negative if the job will be late.
func (p *PendingStep) Slack(now time.Time) time.Duration {
	return p.SoftDeadline.Sub(now.Add(p.RemainingPath))
}

// SortByUrgency sorts steps by urgency class, then by priority, then by slack; late ones by that to the hard deadline. In a burst
// beyond the capacity, not all jobs can be in time: those that still can be go first, the ones with the least slack foremost, so
// that no capacity is spent on jobs that will be late in any case.
func SortByUrgency(pending []*PendingStep, now time.Time) {
	candidates := make([]candidate, len(pending))
	for i, p := range pending {
		candidates[i] = newCandidate(p, now, &choice{})
	}
	sortCandidates(candidates)
	for i, c := range candidates {
		pending[i] = c.step
	}
}

// candidate is a step that may start.
type candidate struct {
	step *PendingStep
	// sharer is nil if the plan knows no teams.
	sharer      *sharer
	class       urgencyClass
	priority    int
	latestStart time.Time
}

func newCandidate(p *PendingStep, now time.Time, chosen *choice) candidate {
	c := candidate{step: p, class: chosen.class(p, now), priority: p.Priority, latestStart: p.LatestStart()}
	if c.class == classLate {
		c.latestStart = p.LastStart()
	}
	return c
}

// isPeerOf reports whether only slack decides which of two steps goes first.
func (c candidate) isPeerOf(other candidate) bool {
	return c.class == other.class && c.priority == other.priority
}

// sortCandidates sorts steps as described at SortByUrgency.
func sortCandidates(candidates []candidate) {
	slices.SortStableFunc(candidates, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.class, b.class), cmp.Compare(a.priority, b.priority), a.latestStart.Compare(b.latestStart))
	})
}

// Options holds what a plan takes into account beside workers and steps. The zero value adds nothing.
type Options struct {
	// Teams holds the teams of the steps. Steps of other teams, and of none, have no maximum and are within their share.
	Teams Teams
	// Running holds what the runs of each team reserve in the pool, under the empty name those of jobs without a team and
	// of long-running tasks. Shares divide the rest, which becomes free again soon.
	Running map[team.Name]task.Resources
	// Capacity is the capacity of all workers of the pool, also of those that take no tasks at present.
	Capacity task.Resources
	// Room is what the pool can do in the time to come. If it is nil, all jobs are assumed to find room in time.
	Room *forecast.Room
	// DefersOverdue is set if another pool lacks machines for jobs that can be in time. Overdue steps then start only
	// on workers that stay, so that the others empty and can move.
	DefersOverdue bool
	// Interference rates a task beside those on a worker, which are then given in Worker.Kinds.
	Interference interference.Costs
}

// Plan assigns waiting tasks to workers in the order of SortByUrgency, and no more of a team than it may start. It updates the
// workers, the teams and the counts per worker and rack of the steps accordingly.
//
// If the pool cannot hold all that runs and waits, steps of the same priority whose jobs can be in time go in two rounds: first
// those of teams that do not exceed their share and those of jobs that have started. This answers a burst above the capacity in
// which one team sends many times its usual.
func Plan(now time.Time, workers []*Worker, pending []*PendingStep, o Options) []Assignment {
	if !o.DefersOverdue {
		return planAll(now, workers, pending, o)
	}
	var first, overdue []*PendingStep
	for _, p := range pending {
		if p.defers(now) {
			overdue = append(overdue, p)
		} else {
			first = append(first, p)
		}
	}
	var staying []*Worker
	for _, w := range workers {
		if w.Stays {
			staying = append(staying, w)
		}
	}
	return append(planAll(now, workers, first, o), planAll(now, staying, overdue, o)...)
}

// planAll does the work of Plan for steps that may start on each of the workers.
func planAll(now time.Time, workers []*Worker, pending []*PendingStep, o Options) []Assignment {
	// Most steps of an overload find all workers full. Without this bound, a plan would sort all of them and compare each
	// of their tasks with each worker.
	run := planRun{options: o, workers: workers, free: largestFree(workers), shares: newShares(pending, o), maxHeld: maxHeldWorkers}
	candidates := run.candidates(pending, now)
	sortCandidates(candidates)
	var deferred []candidate
	for i, c := range candidates {
		if run.shares.mustWait(c) {
			deferred = append(deferred, c)
		} else {
			run.place(c)
		}
		if i+1 == len(candidates) || !c.isPeerOf(candidates[i+1]) {
			for _, d := range deferred {
				run.place(d)
			}
			deferred = deferred[:0]
		}
	}
	return run.assignments
}

// planRun is the state of one call of Plan.
type planRun struct {
	options     Options
	workers     []*Worker
	free        task.Resources // see largestFree
	shares      shares
	full        shortage
	maxHeld     int // see maxHeldWorkers
	assignments []Assignment
}

// candidates returns the steps that may start, with their classes.
func (run *planRun) candidates(pending []*PendingStep, now time.Time) []candidate {
	var fitting, startable []*PendingStep
	for _, p := range pending {
		if run.shares.sharers[p.Team].startable(p) == 0 {
			continue
		}
		startable = append(startable, p)
		if p.Spec.LongRunning || run.free.CanFit(p.Spec.Reservation()) {
			fitting = append(fitting, p)
		}
	}
	if len(fitting) == 0 {
		return nil
	}
	chosen := choose(startable, now, run.options.Room, &run.shares)
	candidates := make([]candidate, len(fitting))
	for i, p := range fitting {
		candidates[i] = newCandidate(p, now, &chosen)
		candidates[i].sharer = run.shares.sharers[p.Team]
	}
	return candidates
}

// place assigns the tasks of a step that its team may start, or holds workers for them.
func (run *planRun) place(c candidate) {
	p := c.step
	count := c.sharer.startable(p)
	if count == 0 {
		return
	}
	if !run.free.CanFit(p.Spec.Reservation()) || run.full.affects(p) {
		run.maxHeld -= holdWorkers(p, min(count, run.maxHeld), run.workers)
		return
	}
	var placed []Assignment
	if p.Spec.Gang {
		placed = placeGang(p, run.workers, run.options)
	} else {
		placed = placeTasks(p, count, run.workers, run.options)
	}
	if len(placed) < count {
		run.full.add(p)
		run.maxHeld -= holdWorkers(p, min(count-len(placed), run.maxHeld), run.workers)
	}
	if len(placed) > 0 {
		run.shares.recordPlaced(c.sharer, p, len(placed))
		run.assignments = append(run.assignments, placed...)
		run.free = largestFree(run.workers)
	}
}

// maxHeldWorkers limits the workers that one plan holds, since they do less work meanwhile.
const maxHeldWorkers = 8

// holdWorkers holds workers for long-running tasks that found no room, one for each of count tasks. Other tasks start
// elsewhere in this plan, so that the workers empty: otherwise, in a burst of smaller tasks, whatever becomes free is taken
// before it is enough. It prefers the workers that have to free the least, and returns how many it holds.
func holdWorkers(p *PendingStep, count int, workers []*Worker) int {
	if !p.Spec.LongRunning || p.Spec.Gang {
		return 0
	}
	needed := p.Spec.Reservation()
	for held := range count {
		var best *Worker
		var lowest float64
		for _, w := range workers {
			if w.held || w.Draining || !w.Capacity.Sub(w.LongRunningReserved).CanFit(needed) || p.hasOtherObstacle(w) {
				continue
			}
			if missing := missingShare(needed, w); best == nil || missing < lowest {
				best, lowest = w, missing
			}
		}
		if best == nil {
			return held
		}
		best.held = true
	}
	return count
}

// hasOtherObstacle reports whether something other than missing capacity keeps the tasks of the step from a worker.
func (p *PendingStep) hasOtherObstacle(w *Worker) bool {
	empty := *w
	empty.Free, empty.CrashSuspects = w.Capacity, 0
	return FindObstacle(p, 0, &empty) != ObstacleNone
}

// missingShare returns how much more a worker has to free for a reservation, as a share of its capacity.
func missingShare(needed task.Resources, w *Worker) float64 {
	share := func(needed, free, capacity int64) float64 {
		return max(0, float64(needed-free)/float64(max(capacity, 1)))
	}
	return max(share(needed.CPU, w.Free.CPU, w.Capacity.CPU), share(needed.Memory, w.Free.Memory, w.Capacity.Memory), share(needed.GPU, w.Free.GPU, w.Capacity.GPU))
}

// shortage holds requests for capacity that no worker, or no set of workers, can meet any more. Capacity only shrinks
// during a plan, so that steps which request as much or more need not be tried. In an overload, thousands of steps wait
// and each try compares a task with all workers. The zero value is empty.
type shortage struct{ unmet []request }

// request is what a step requests: a worker with the given label and free capacity, or as many places as a gang has tasks.
type request struct {
	reservation task.Resources
	label       string
	longRunning bool
	places      int
}

func requestOf(p *PendingStep) request {
	r := request{reservation: p.Spec.Reservation(), label: p.Spec.RequiredLabel, longRunning: p.Spec.LongRunning, places: 1}
	if p.Spec.Gang {
		r.places = len(p.Tasks)
	}
	return r
}

// add records that the tasks of a step could not all be placed. It ignores steps that may have failed for another reason
// than capacity.
func (s *shortage) add(p *PendingStep) {
	if p.Spec.MaxPerWorker > 0 || p.Tickets != nil || len(p.CrashSuspects) > 0 {
		return
	}
	s.unmet = append(s.unmet, requestOf(p))
}

// affects reports whether a step requests no less than one that could not be met.
func (s *shortage) affects(p *PendingStep) bool {
	r := requestOf(p)
	for _, u := range s.unmet {
		isLooser := (u.label == "" || u.label == r.label) && (!u.longRunning || r.longRunning)
		if isLooser && u.places <= r.places && r.reservation.CanFit(u.reservation) {
			return true
		}
	}
	return false
}

// LeastNeeded returns for each component of resources the least amount that any of the steps needs of it on a worker. A worker
// with less than that is of no use to Plan. It is the lowest amount there is if the plan may hold workers without room.
func LeastNeeded(pending []*PendingStep) task.Resources {
	lowest := task.Resources{CPU: math.MinInt64, Memory: math.MinInt64, GPU: math.MinInt64}
	if len(pending) == 0 {
		return lowest
	}
	least := pending[0].Spec.Reservation()
	for _, p := range pending {
		if p.Spec.LongRunning {
			return lowest
		}
		needed := p.Spec.Reservation()
		least.CPU, least.Memory, least.GPU = min(least.CPU, needed.CPU), min(least.Memory, needed.Memory), min(least.GPU, needed.GPU)
	}
	return least
}

// largestFree returns for each component of resources the largest amount that is free on any worker.
func largestFree(workers []*Worker) task.Resources {
	var free task.Resources
	for _, w := range workers {
		free.CPU = max(free.CPU, w.Free.CPU)
		free.Memory = max(free.Memory, w.Free.Memory)
		free.GPU = max(free.GPU, w.Free.GPU)
	}
	return free
}

// LargestRooms returns what is free on the workers that are not held, without those amounts that fit in another one. A task finds
// room on a worker exactly if one of them holds it. They are few, while in an overload thousands of steps and workers may be compared.
func LargestRooms(workers []*Worker) []task.Resources {
	var rooms []task.Resources
	for _, w := range workers {
		if w.held || slices.ContainsFunc(rooms, func(r task.Resources) bool { return r.CanFit(w.Free) }) {
			continue
		}
		rooms = slices.DeleteFunc(rooms, w.Free.CanFit)
		rooms = append(rooms, w.Free)
	}
	return rooms
}

// WaitsForRoom reports whether no worker has room for a task of the step, given their LargestRooms. Otherwise the step waits for
// something else, such as a ticket, a label or its limit per worker, and takes no room from other jobs. The tasks of a gang need room
// together.
func WaitsForRoom(p *PendingStep, rooms []task.Resources) bool {
	needed := p.Spec.Reservation()
	return p.Spec.Gang || !slices.ContainsFunc(rooms, func(r task.Resources) bool { return r.CanFit(needed) })
}

// placeTasks assigns up to count of the waiting tasks of a step until no worker can take one. Its tasks need the same resources,
// so that none of the others can start either, unless it is a crash suspect.
func placeTasks(p *PendingStep, count int, workers []*Worker, o Options) []Assignment {
	var assignments []Assignment
	for _, index := range p.Tasks {
		if len(assignments) == count {
			break
		}
		w, isAvoiding := chooseWorker(p, index, workers, o)
		if w == nil && p.CrashSuspects[index] {
			continue
		}
		if w == nil {
			break
		}
		reserve(p, index, w)
		assignments = append(assignments, Assignment{Pending: p, Task: index, Worker: w.ID, IsAvoiding: isAvoiding})
	}
	return assignments
}

// reserve updates a worker and a step for a task of the step that is placed on the worker.
func reserve(p *PendingStep, index int, w *Worker) {
	w.Free = w.Free.Sub(p.Spec.Reservation())
	w.Tasks++
	if p.Spec.LongRunning {
		w.LongRunningReserved = w.LongRunningReserved.Add(p.Spec.Reservation())
	} else {
		w.BusyFor = max(w.BusyFor, p.Spec.Estimate)
	}
	if _, isSuspect := p.CrashSuspects[index]; isSuspect {
		w.CrashSuspects++
	}
	if p.Spec.BestEffort {
		w.BestEffortTasks++
	}
	if p.Spec.LatencyTarget > 0 {
		w.LatencySensitiveTasks++
	}
	if w.Kinds != nil {
		if p.Spec.Gang {
			w.Kinds = maps.Clone(w.Kinds) // placeAllOrNone may restore the worker
		}
		w.Kinds[p.Kind]++
	}
	if p.TasksPerWorker == nil {
		p.TasksPerWorker = map[worker.ID]int{}
	}
	if p.TasksPerRack == nil {
		p.TasksPerRack = map[string]int{}
	}
	p.TasksPerWorker[w.ID]++
	p.TasksPerRack[w.Rack]++
}

// Obstacle is what prevents a task from starting on a worker.
type Obstacle string

// Obstacles. Missing capacity is named before any other.
const (
	ObstacleNone     Obstacle = "none"
	ObstacleSuspect  Obstacle = "suspect"  // another crash suspect is on the worker
	ObstacleCPU      Obstacle = "cpu"      // too little CPU capacity is free
	ObstacleMemory   Obstacle = "memory"   // too little memory is free
	ObstacleGPU      Obstacle = "gpu"      // too few accelerators are free
	ObstacleDraining Obstacle = "draining" // the machine is drained, and the task is a long-running one
	ObstacleLabel    Obstacle = "label"    // the worker lacks the required label
	ObstacleLimit    Obstacle = "limit"    // the worker has as many tasks of the step as it may
	ObstacleTicket   Obstacle = "ticket"   // the advice service has issued no ticket for the worker
	ObstacleHeld     Obstacle = "held"     // the worker empties for a long-running task
	ObstacleTeam     Obstacle = "team"     // the team has its maximum running; the same on all workers, so FindObstacle never returns it
)

// FindObstacle returns what prevents a task of the step from starting on a worker. The tasks of a gang have to run
// together, also if they are crash suspects.
func FindObstacle(p *PendingStep, index int, w *Worker) Obstacle {
	if o := findShortage(p.Spec.Reservation(), w.Free); o != ObstacleNone {
		return o
	}
	switch {
	case w.held && !p.Spec.LongRunning:
		return ObstacleHeld
	case p.CrashSuspects[index] && w.CrashSuspects > 0 && !p.Spec.Gang:
		return ObstacleSuspect
	case w.Draining && p.Spec.LongRunning:
		return ObstacleDraining
	case p.Spec.RequiredLabel != "" && !slices.Contains(w.Labels, p.Spec.RequiredLabel):
		return ObstacleLabel
	case p.Spec.MaxPerWorker > 0 && p.TasksPerWorker[w.ID] >= p.Spec.MaxPerWorker:
		return ObstacleLimit
	case p.Tickets == nil:
		return ObstacleNone
	}
	if _, ok := p.Tickets[w.ID]; !ok {
		return ObstacleTicket
	}
	return ObstacleNone
}

// findShortage returns the resource of which less is free than needed.
func findShortage(needed, free task.Resources) Obstacle {
	switch {
	case free.CPU < needed.CPU:
		return ObstacleCPU
	case free.Memory < needed.Memory:
		return ObstacleMemory
	case free.GPU < needed.GPU:
		return ObstacleGPU
	}
	return ObstacleNone
}

// chooseWorker returns the worker with the lowest cost for a task, or nil if the task may start on none, and whether another
// one would have been chosen but for interference.
func chooseWorker(p *PendingStep, index int, workers []*Worker, o Options) (*Worker, bool) {
	var best, bestAlone *Worker
	var lowestCost, lowestAlone float64
	for _, w := range workers {
		if FindObstacle(p, index, w) != ObstacleNone {
			continue
		}
		alone := cost(p, index, w)
		c := alone
		if o.Interference != nil {
			c += weightInterference * o.Interference.Beside(p.Kind, w.Kinds)
		}
		if best == nil || c < lowestCost {
			best, lowestCost = w, c
		}
		if bestAlone == nil || alone < lowestAlone {
			bestAlone, lowestAlone = w, alone
		}
	}
	return best, best != bestAlone
}

// Weights of the criteria for choosing a worker. Each outweighs the smaller ones as long as those are not multiplied
// by a large number of tasks.
const (
	weightTaskFailed     = 1e6 // the task has failed on the worker
	weightSuspect        = 1e5 // tasks or orders have recently failed on the worker
	weightCrash          = 2e4 // per task that would end with the worker, for a crash suspect or beside one
	weightSharedBlame    = 5e3 // per crash suspect on the worker, for another one
	weightDraining       = 1e4 // the machine is being drained
	weightRemoteRack     = 1e3 // the data, or the rest of the tasks, are on another rack
	weightInterference   = 1e2 // per pair of best-effort and latency-sensitive tasks on one worker, or slowdown to twice the time
	weightMaintenanceDue = 5e1 // the machine will be maintained later
	weightRackSpread     = 1e1 // per task of the same long-running step on the rack
	weightProlong        = 1   // per second for which the worker is busy longer
)

// cost rates a worker for a task; the worker with the lowest cost is chosen. Between otherwise equal workers, the one
// with the smaller free share of its CPU is preferred: filling workers one after the other leaves capacity for large
// tasks and lets whole machines become idle.
func cost(p *PendingStep, index int, w *Worker) float64 {
	var c float64
	if slices.Contains(p.FailedWorkers[index], string(w.ID)) {
		c += weightTaskFailed
	}
	if w.Suspect {
		c += weightSuspect
	}
	c += crashCost(p, index, w)
	if w.Draining {
		c += weightDraining
	}
	if p.Spec.PreferredRack != "" && p.Spec.PreferredRack != w.Rack {
		c += weightRemoteRack
	}
	if p.Spec.SameRack && len(p.TasksPerRack) > 0 && p.TasksPerRack[w.Rack] == 0 {
		c += weightRemoteRack
	}
	if p.Spec.BestEffort {
		c += weightInterference * float64(w.LatencySensitiveTasks)
	}
	if p.Spec.LatencyTarget > 0 {
		c += weightInterference * float64(w.BestEffortTasks)
	}
	if p.Spec.LongRunning && w.MaintenanceDue {
		c += weightMaintenanceDue
	}
	if p.Spec.LongRunning {
		c += weightRackSpread * float64(p.TasksPerRack[w.Rack])
	}
	freeShare := 1.0
	if w.Capacity.CPU > 0 {
		freeShare = float64(w.Free.CPU) / float64(w.Capacity.CPU)
	}
	return c + freeShare + weightProlong*p.prolongs(w).Seconds()
}

// prolongs returns for how much longer a worker is busy if it takes a task of the step. At the end of a burst, a pool gives
// machines to the next only when they are empty: while new tasks go to workers that are busy for long anyway, the others empty.
func (p *PendingStep) prolongs(w *Worker) time.Duration {
	if p.Spec.LongRunning || w.LongRunningReserved != (task.Resources{}) {
		return 0
	}
	return max(p.Spec.Estimate-w.BusyFor, 0)
}

// crashCost rates a worker by the tasks that a crash would end. A crash suspect endangers the tasks on the worker, and
// another suspect there would share the blame; any other task is endangered by a suspect.
func crashCost(p *PendingStep, index int, w *Worker) float64 {
	if _, isSuspect := p.CrashSuspects[index]; isSuspect {
		return weightCrash*float64(w.Tasks-w.CrashSuspects) + weightSharedBlame*float64(w.CrashSuspects)
	}
	return weightCrash * float64(min(w.CrashSuspects, 1))
}

// placeGang assigns all tasks of a gang or none. If the tasks should share a rack, it tries each rack first.
func placeGang(p *PendingStep, workers []*Worker, o Options) []Assignment {
	if p.Spec.SameRack {
		for _, rack := range rackNames(workers) {
			if assignments := placeAllOrNone(p, workersOnRack(workers, rack), o); assignments != nil {
				return assignments
			}
		}
	}
	return placeAllOrNone(p, workers, o)
}

// rackNames returns the racks of the workers without duplicates.
func rackNames(workers []*Worker) []string {
	var names []string
	for _, w := range workers {
		if !slices.Contains(names, w.Rack) {
			names = append(names, w.Rack)
		}
	}
	return names
}

// workersOnRack returns the workers on the given rack.
func workersOnRack(workers []*Worker, rack string) []*Worker {
	var list []*Worker
	for _, w := range workers {
		if w.Rack == rack {
			list = append(list, w)
		}
	}
	return list
}

// placeAllOrNone assigns all waiting tasks of a step to the given workers. If that is not possible, it undoes its
// changes and returns nil.
func placeAllOrNone(p *PendingStep, workers []*Worker, o Options) []Assignment {
	before := make([]Worker, len(workers))
	for i, w := range workers {
		before[i] = *w
	}
	tasksPerWorker, tasksPerRack := p.TasksPerWorker, p.TasksPerRack
	p.TasksPerWorker, p.TasksPerRack = maps.Clone(tasksPerWorker), maps.Clone(tasksPerRack)
	var assignments []Assignment
	for _, index := range p.Tasks {
		w, isAvoiding := chooseWorker(p, index, workers, o)
		if w == nil {
			for i, saved := range before {
				*workers[i] = saved
			}
			p.TasksPerWorker, p.TasksPerRack = tasksPerWorker, tasksPerRack
			return nil
		}
		reserve(p, index, w)
		assignments = append(assignments, Assignment{Pending: p, Task: index, Worker: w.ID, IsAvoiding: isAvoiding})
	}
	return assignments
}
