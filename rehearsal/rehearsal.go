package rehearsal

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"hibiscuslane.example/hibiscuslane/balance"
	"hibiscuslane.example/hibiscuslane/pool"
	"hibiscuslane.example/hibiscuslane/queue"
	"hibiscuslane.example/hibiscuslane/schedule"
	"hibiscuslane.example/hibiscuslane/task"
	"hibiscuslane.example/hibiscuslane/worker"
)

const (
	// tick is the interval of plans; ticksPerMove is the number of ticks between two plans of moves. Both are about those of an owner
	// that isn't busy.
	tick         = 20 * time.Millisecond
	ticksPerMove = 6
	// readyTime is how long after its move a machine gets its first tasks.
	readyTime = 400 * time.Millisecond
	// hardDeadlineFactor is the multiple of the time allowed for a job after which completing it has no value.
	hardDeadlineFactor = 3
	// returnGrace is how long after the time it was told a refused caller is expected.
	returnGrace = time.Second
	// settleTime is how long jobs may take after the last was submitted.
	settleTime = 30 * time.Second
)

// Policy names what an owner decides in a rehearsal.
type Policy string

// Policies. PolicyAll is the owner as it is by default; those that are not explained otherwise lack one of its decisions.
const (
	PolicyAll       Policy = "all"
	PolicyNoRefusal Policy = "accept"   // accepts all jobs while the store answers
	PolicyNoChoice  Policy = "nochoice" // does not leave out jobs for which there is no room
	PolicyNoGrowth  Policy = "present"  // moves machines by the present rate, without a forecast
	PolicyYield     Policy = "yield"    // as PolicyAll, with settings.Deployment.YieldLate
	PolicyNoMoves   Policy = "fixed"    // moves no machines
	// PolicyShared lets all queues share one pool of all machines, which are always on, and knows how long tasks take. No division
	// into pools can do better with the same order.
	PolicyShared Policy = "shared"
)

// Policies lists all policies in the order of reports.
func Policies() []Policy {
	return []Policy{PolicyAll, PolicyYield, PolicyNoRefusal, PolicyNoChoice, PolicyNoGrowth, PolicyNoMoves, PolicyShared}
}

// Outcome counts what became of jobs.
type Outcome struct {
	Jobs int `json:"jobs"`
	// InTime and Late ended before their soft and their hard deadlines; Lost ended later or not at all.
	InTime int `json:"intime"`
	Late   int `json:"late"`
	Lost   int `json:"lost"`
	// Refused is the number of jobs whose callers gave up after their last refusal, Refusals that of all refusals.
	Refused  int `json:"refused"`
	Refusals int `json:"refusals"`
}

// Report is the result of a rehearsal.
type Report struct {
	Policy Policy `json:"policy"`
	Outcome
	// Worth is the share of the jobs in time, with late ones as the load counts them.
	Worth float64 `json:"worth"`
	// MachineSeconds is the time that machines spent outside the spare pool.
	MachineSeconds float64                `json:"on"`
	Moves          int                    `json:"moves"`
	Queues         map[queue.Name]Outcome `json:"queues"`
	// WorstWindow is the lowest worth of the jobs that were first submitted within two seconds, and WorstAt when these began.
	WorstWindow float64 `json:"worst"`
	WorstAt     string  `json:"worstat"`
}

// machine is a machine and its worker.
type machine struct {
	id        worker.MachineID
	pool      pool.Name
	reserved  task.Resources
	runs      int
	idleSince time.Time
	// readyAt is when a machine that moves takes tasks, downUntil when one that is lost does.
	readyAt, downUntil time.Time
}

func (m *machine) isReady(now time.Time) bool {
	return !m.readyAt.After(now) && !m.downUntil.After(now)
}

// caller is a caller with one job.
type caller struct {
	id        task.JobID
	queue     *Queue
	spec      task.Spec
	durations [][]time.Duration // of the tasks of each step
	asked     time.Time
	returns   time.Time
	refusals  int
	job       *task.Job // nil until it is accepted
	// steps are those with waiting tasks, kept until a task starts or ends.
	steps      []*schedule.PendingStep
	stepsKnown bool
}

// run is a task on a machine.
type run struct {
	caller  *caller
	key     task.Key
	machine *machine
	started time.Time
	endsAt  time.Time
}

// rehearsal is the state of a play.
type rehearsal struct {
	load     *Load
	policy   Policy
	start    time.Time
	now      time.Time
	pools    []Pool
	machines []*machine
	callers  []*caller // in the order of their first requests
	next     int       // the first that has not asked
	asking   []*caller // refused ones who return
	open     []*caller // whose jobs are accepted and not complete
	jobs     map[task.JobID]*caller
	runs     []run
	arrivals map[queue.Name]*balance.Arrivals
	// waits is set if the last plan left tasks waiting.
	waits bool
	// leaving are the machines that other pools needed when moves were planned last.
	leaving map[worker.MachineID]bool
	report  Report
}

// Play plays a load with a policy. The same load gives the same result.
func Play(load *Load, policy Policy) Report {
	start := time.Unix(1_700_000_000, 0)
	r := &rehearsal{load: load, policy: policy, start: start, now: start, pools: load.Pools, jobs: map[task.JobID]*caller{}, arrivals: map[queue.Name]*balance.Arrivals{}, report: Report{Policy: policy, Queues: map[queue.Name]Outcome{}}}
	if policy == PolicyShared {
		total := 0
		for _, p := range load.Pools {
			total += p.Machines
		}
		r.pools = []Pool{{Machines: total}}
	}
	r.addMachines()
	r.drawCallers()
	end := start.Add(time.Duration(load.Length) + settleTime)
	for number := 0; r.now.Before(end) && (r.next < len(r.callers) || len(r.asking)+len(r.open) > 0); number++ {
		r.loseMachines()
		r.endRuns()
		storeAnswers := !r.isStoreAway()
		r.submit(storeAnswers)
		if storeAnswers {
			r.place()
			if r.moves() && number%ticksPerMove == 0 {
				r.move()
			}
		}
		r.now = r.now.Add(tick)
	}
	r.judge()
	return r.report
}

// poolOf returns the pool of a queue.
func (r *rehearsal) poolOf(q *Queue) pool.Name {
	if r.policy == PolicyShared {
		return ""
	}
	return q.Pool
}

func (r *rehearsal) moves() bool { return r.policy != PolicyNoMoves && r.policy != PolicyShared }

func (r *rehearsal) isSpare(name pool.Name) bool {
	for _, p := range r.pools {
		if p.Name == name {
			return p.Spare
		}
	}
	return false
}

func (r *rehearsal) addMachines() {
	for _, p := range r.pools {
		for range p.Machines {
			r.machines = append(r.machines, &machine{id: worker.MachineID(fmt.Sprintf("m-%d", len(r.machines))), pool: p.Name, idleSince: r.now})
		}
	}
}

// drawCallers draws all jobs, so that they are the same whatever the policy is.
func (r *rehearsal) drawCallers() {
	random := rand.New(rand.NewPCG(r.load.Seed, 0))
	for at := time.Duration(0); at < time.Duration(r.load.Length); at += tick {
		for i := range r.load.Queues {
			q := &r.load.Queues[i]
			for range poisson(random, q.rateAt(at)*tick.Seconds()) {
				r.callers = append(r.callers, r.drawCaller(random, q, at))
			}
		}
	}
}

// poisson draws the number of events of which mean are expected (Knuth). The mean is below some hundreds.
func poisson(random *rand.Rand, mean float64) int {
	count := 0
	for left := mean; left > 0; left -= 100 { // exp underflows for large means
		limit := math.Exp(-min(left, 100))
		for product := random.Float64(); product > limit; product *= random.Float64() {
			count++
		}
	}
	return count
}

func (r *rehearsal) drawCaller(random *rand.Rand, q *Queue, at time.Duration) *caller {
	c := &caller{id: task.JobID(fmt.Sprintf("%016x", len(r.callers))), queue: q, asked: r.start.Add(at)}
	vary := func(share float64) float64 { return 1 + share*(2*random.Float64()-1) }
	size, length := vary(q.Spread), vary(q.Spread)
	for i, s := range q.Steps {
		step := task.Step{Count: max(1, int(math.Round(float64(s.Count)*size))), Resources: s.Room, Estimate: time.Duration(float64(s.Estimate) * length)}
		if i > 0 {
			step.DependsOn = []int{i - 1}
		}
		durations := make([]time.Duration, step.Count)
		for n := range durations {
			durations[n] = time.Duration(float64(step.Estimate) * vary(r.load.Variance))
		}
		c.spec.Steps = append(c.spec.Steps, step)
		c.durations = append(c.durations, durations)
	}
	return c
}

// allowed returns the time in which a job must be complete to be in time.
func (c *caller) allowed(path time.Duration) time.Duration {
	return time.Duration(c.queue.Stretch*float64(path)) + time.Duration(c.queue.Allowance)
}

func (r *rehearsal) isStoreAway() bool {
	for _, s := range r.load.Outages {
		if s.holds(r.now.Sub(r.start)) {
			return true
		}
	}
	return false
}

// loseMachines lets machines go down. Tasks on them are lost and start again.
func (r *rehearsal) loseMachines() {
	for _, loss := range r.load.Losses {
		if r.now.Sub(r.start) != time.Duration(loss.At).Truncate(tick) {
			continue
		}
		lost := 0
		for _, m := range r.machines {
			if m.pool != loss.Pool && r.policy != PolicyShared || lost == loss.Machines {
				continue
			}
			lost++
			m.downUntil, m.reserved, m.runs, m.idleSince = r.now.Add(time.Duration(loss.For)), task.Resources{}, 0, r.now
			kept := r.runs[:0]
			for _, run := range r.runs {
				if run.machine != m {
					kept = append(kept, run)
					continue
				}
				run.caller.job.Task(run.key).Placements, run.caller.stepsKnown = nil, false
			}
			r.runs = kept
		}
	}
}

// endRuns ends the runs that are due. While the store is away, ends are not stored, and what follows waits.
func (r *rehearsal) endRuns() {
	for _, m := range r.machines {
		if !r.isSpare(m.pool) {
			r.report.MachineSeconds += tick.Seconds()
		}
	}
	if r.isStoreAway() {
		return
	}
	kept := r.runs[:0]
	for _, run := range r.runs {
		if run.endsAt.After(r.now) {
			kept = append(kept, run)
			continue
		}
		j, step := run.caller.job, &run.caller.spec.Steps[run.key.Step]
		run.machine.reserved = run.machine.reserved.Sub(step.Resources)
		if run.machine.runs--; run.machine.runs == 0 {
			run.machine.idleSince = r.now
		}
		j.Task(run.key).Placements, run.caller.stepsKnown = nil, false
		j.FinishTask(run.key, r.now)
		r.arrivals[run.caller.queue.Name].AddRun(r.now.Sub(run.started), step.Estimate)
	}
	r.runs = kept
	open := r.open[:0]
	for _, c := range r.open {
		if c.job.Outcome == "" {
			open = append(open, c)
		}
	}
	r.open = open
}

// place starts waiting tasks.
func (r *rehearsal) place() {
	pending, rooms := r.pending(), r.rooms()
	waiting := 0
	for _, p := range r.pools {
		steps := pending[p.Name]
		if p.Spare || len(steps) == 0 {
			continue
		}
		options := schedule.Options{}
		if r.waits && r.policy != PolicyNoChoice {
			options.Room = &rooms[p.Name].Room
		}
		options.DefersOverdue = r.policy == PolicyYield && len(r.leaving) > 0
		for _, step := range steps {
			waiting += len(step.Tasks)
		}
		workers, byID := r.workers(p.Name)
		for _, a := range schedule.Plan(r.now, workers, steps, options) {
			waiting--
			c, m := r.jobs[a.Pending.Job], byID[a.Worker]
			key := task.Key{Job: a.Pending.Job, Step: a.Pending.Step, Task: a.Task}
			c.job.Task(key).Placements, c.stepsKnown = []task.Placement{{Worker: string(a.Worker)}}, false
			m.reserved = m.reserved.Add(a.Pending.Spec.Resources)
			m.runs++
			r.runs = append(r.runs, run{caller: c, key: key, machine: m, started: r.now, endsAt: r.now.Add(c.durations[key.Step][key.Task])})
		}
	}
	r.waits = waiting > 0
}

// workers returns the workers of a pool that take tasks.
func (r *rehearsal) workers(name pool.Name) ([]*schedule.Worker, map[worker.ID]*machine) {
	var workers []*schedule.Worker
	byID, busyFor := map[worker.ID]*machine{}, r.busyFor()
	for _, m := range r.machines {
		if m.pool != name || !m.isReady(r.now) {
			continue
		}
		id := worker.ID(m.id)
		byID[id] = m
		workers = append(workers, &schedule.Worker{ID: id, Capacity: r.load.Machine, Free: r.load.Machine.Sub(m.reserved), BusyFor: busyFor[m], Stays: !r.leaving[m.id], Tasks: m.runs})
	}
	return workers, byID
}

// busyFor returns for how long the estimates of their tasks keep machines busy.
func (r *rehearsal) busyFor() map[*machine]time.Duration {
	busy := map[*machine]time.Duration{}
	for _, run := range r.runs {
		busy[run.machine] = max(busy[run.machine], run.timeLeft(r.now))
	}
	return busy
}

// timeLeft returns the estimated time until a run ends.
func (r run) timeLeft(now time.Time) time.Duration {
	return max(r.caller.spec.Steps[r.key.Step].Estimate-now.Sub(r.started), 0)
}

// pending returns the steps with waiting tasks by pool.
func (r *rehearsal) pending() map[pool.Name][]*schedule.PendingStep {
	pending := map[pool.Name][]*schedule.PendingStep{}
	for _, c := range r.open {
		if !c.stepsKnown {
			c.steps, c.stepsKnown = c.waitingSteps(r.now), true
		}
		name := r.poolOf(c.queue)
		pending[name] = append(pending[name], c.steps...)
	}
	return pending
}

// waitingSteps returns the steps of the job with tasks that could start.
func (c *caller) waitingSteps(now time.Time) []*schedule.PendingStep {
	j, occurrence := c.job, c.job.Occurrence(0)
	path, allowed := j.CriticalPath(nil), c.allowed(j.CriticalPath(nil))
	var steps []*schedule.PendingStep
	var work balance.Amount
	hasStarted := false
	for i := range c.spec.Steps {
		p := &schedule.PendingStep{Job: j.ID, Step: i, Spec: c.spec.Steps[i], Priority: c.queue.Priority, SoftDeadline: j.AcceptedAt.Add(allowed), HardDeadline: j.AcceptedAt.Add(hardDeadlineFactor * allowed), InitialSlack: allowed - path}
		for n := range occurrence.Steps[i].Tasks {
			if t := &occurrence.Steps[i].Tasks[n]; !t.Done && t.Placements == nil {
				p.Tasks = append(p.Tasks, n)
			} else {
				hasStarted = true
			}
		}
		work = work.Add(balance.AmountOf(p.Spec.Resources).Scale(p.Spec.Estimate.Seconds() * float64(len(p.Tasks))))
		if len(p.Tasks) > 0 && j.IsStepReady(0, i, now) {
			steps = append(steps, p)
		}
	}
	remaining := j.CriticalPath(occurrence)
	for _, p := range steps {
		p.RemainingPath, p.RemainingWork, p.HasStarted = remaining, work, hasStarted
	}
	return steps
}

// judge counts what became of the jobs.
func (r *rehearsal) judge() {
	type window struct{ worth, jobs float64 }
	windows := map[time.Duration]window{}
	var total float64
	for _, c := range r.callers {
		o := r.report.Queues[c.queue.Name]
		worth := c.judge(r.load.Late, &o)
		r.report.Queues[c.queue.Name] = o
		total += worth
		at := c.asked.Sub(r.start).Truncate(windowLength)
		windows[at] = window{windows[at].worth + worth, windows[at].jobs + 1}
	}
	for _, o := range r.report.Queues {
		r.report.Jobs += o.Jobs
		r.report.InTime += o.InTime
		r.report.Late += o.Late
		r.report.Lost += o.Lost
		r.report.Refused += o.Refused
		r.report.Refusals += o.Refusals
	}
	if len(r.callers) == 0 {
		return
	}
	r.report.Worth, r.report.WorstWindow = total/float64(len(r.callers)), math.Inf(1)
	for at := time.Duration(0); at < time.Duration(r.load.Length); at += windowLength {
		if w := windows[at]; w.jobs > 0 && w.worth/w.jobs < r.report.WorstWindow {
			r.report.WorstWindow, r.report.WorstAt = w.worth/w.jobs, at.String()
		}
	}
}

// windowLength is that of the windows of which a report names the worst.
const windowLength = 2 * time.Second

// judge counts the job of a caller and returns its worth.
func (c *caller) judge(late float64, o *Outcome) float64 {
	o.Jobs++
	o.Refusals += c.refusals
	switch {
	case c.job == nil:
		o.Refused++
		return 0
	case c.job.Outcome == "":
		o.Lost++
		return 0
	}
	allowed := c.allowed(c.job.CriticalPath(nil))
	switch took := c.job.EndedAt.Sub(c.asked); {
	case took <= allowed:
		o.InTime++
		return 1
	case took <= hardDeadlineFactor*allowed:
		o.Late++
		return late
	}
	o.Lost++
	return 0
}
