package job

import (
	"context"
	"maps"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"
	"golang.org/x/sync/semaphore"

	"hibiscuslane.example/hibiscuslane/event"
	"hibiscuslane.example/hibiscuslane/fleet"
	"hibiscuslane.example/hibiscuslane/instance"
	"hibiscuslane.example/hibiscuslane/pool"
	"hibiscuslane.example/hibiscuslane/record"
	"hibiscuslane.example/hibiscuslane/stream"
	"hibiscuslane.example/hibiscuslane/team"
	"hibiscuslane.example/hibiscuslane/timer"
	"hibiscuslane.example/hibiscuslane/upstream"
)

const (
	// roundPeriod is the time between two rounds if the state does not change.
	roundPeriod = 250 * time.Millisecond
	// minPause is the minimum time between two rounds, so that the records of one append cause only one
	// round.
	minPause = 25 * time.Millisecond
	// The pause after a round is pauseFactor times the duration of the round, but at most maxPause.
	pauseFactor = 9
	maxPause    = 400 * time.Millisecond
	// standbyPeriod is the time between two plans of a pool by an entry that does not have the lowest
	// rank.
	standbyPeriod = time.Second
	// rankDelay is how long an entry waits per rank before it acts in place of the entries with a lower
	// rank.
	rankDelay = 2 * time.Second
	// proposeTimeout limits the wait of the runner until a record is applied or rejected.
	proposeTimeout = 2 * time.Second
	// callTimeout limits a call to a worker. For a worker with at most maxCallsPerWorker tasks, a round of
	// polling, renewing and recording takes less than the lease, even if each of its steps takes the whole
	// timeout.
	callTimeout = 1500 * time.Millisecond
	// maxConcurrentProposals limits concurrent proposals. Concurrent proposals share appends.
	maxConcurrentProposals = 256
	// maxConcurrentWorkers limits the workers that are served at the same time, and maxCallsPerWorker
	// the concurrent calls to each of them.
	maxConcurrentWorkers = 64
	maxCallsPerWorker    = 8
)

// Follower reports how recent the job state is; stream.Follower implements it.
type Follower interface {
	// LastRead returns the time of the last successful read.
	LastRead() time.Time
	// HasReachedHead reports whether the state has reached the end of the stream.
	HasReachedHead() bool
}

// Proposer appends a record and waits until it is applied or rejected; stream.Proposer implements it.
type Proposer interface {
	Propose(ctx context.Context, kind record.Kind, author record.Author, body any) (record.Offset, error)
}

// Ranker returns the rank of this entry among the live entries for a decision. The entry with rank 0
// acts first.
type Ranker interface {
	Rank(decision string) int
}

// Fleet gives access to the fleet state; fleet.State implements it.
type Fleet interface {
	Members(name pool.Name, kind instance.Kind) []fleet.Instance
	Instance(id instance.ID) (fleet.Instance, bool)
}

// Runner plans the pools and serves the workers for which this entry has the lowest rank. It also plans the
// other pools, but delays each decision there by rankDelay per rank. All fields except Timer and Events are
// required. Run must be called only once.
type Runner struct {
	State    *State
	Fleet    Fleet
	Proposer Proposer
	Follower Follower
	Ranker   Ranker
	// Teams returns the configured teams.
	Teams func() map[team.Name]team.Spec
	// Dial returns a client for the worker at an address.
	Dial   func(address instance.Address) upstream.Worker
	Timer  *timer.Service
	Events event.Log
	// Author is the id of this entry.
	Author record.Author

	gate stream.FreshnessGate
	// paused is set from eventPaused to eventResumed. Only the goroutine that serves the workers uses it.
	paused bool
	// poolPlans is used only by the goroutine that plans the pools.
	poolPlans    map[pool.Name]*poolPlan
	workerStates workerStates
	workerSlots  *semaphore.Weighted
	goroutines   sync.WaitGroup
}

// poolPlan holds the state that is kept between the plans of one pool.
type poolPlan struct {
	delays      timer.Delays
	lastPlanned time.Time
}

// Run plans pools and serves workers until ctx ends. It returns once all its calls have ended.
func (r *Runner) Run(ctx context.Context) error {
	r.workerSlots = semaphore.NewWeighted(maxConcurrentWorkers)
	r.poolPlans = map[pool.Name]*poolPlan{}
	defer r.goroutines.Wait()
	// Planning waits for the log and must not delay the renewal of leases, so it has its own goroutine.
	r.goroutines.Go(func() {
		r.runRounds(ctx, func() {
			if !r.recentSince().IsZero() {
				r.planPools(ctx)
			}
		})
	})
	r.runRounds(ctx, func() {
		r.logPauseChange(!r.recentSince().IsZero())
		r.serveWorkers(ctx)
	})
	return ctx.Err()
}

// runRounds calls round every roundPeriod and after each change of the state, until ctx ends. The pause
// between rounds grows with the duration of a round, so that long queues don't use up the processor.
func (r *Runner) runRounds(ctx context.Context, round func()) {
	ticks := r.Timer.Every(roundPeriod)
	defer ticks.Stop()
	for {
		changed := r.State.Changed()
		from := r.Timer.Now()
		round()
		pause := min(max(minPause, pauseFactor*r.Timer.Since(from)), maxPause)
		if r.Timer.Sleep(ctx, pause) != nil {
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-ticks.C():
		case <-changed:
		}
	}
}

// recentSince returns the time since when the state has been recent, or zero if it is not recent.
func (r *Runner) recentSince() time.Time {
	return r.gate.FreshSince(r.Timer.Now(), r.Follower.LastRead(), r.Follower.HasReachedHead())
}

func (r *Runner) logPauseChange(recent bool) {
	if recent != r.paused || !recent && r.Follower.LastRead().IsZero() {
		// There is no change, or there was no contact with the log yet and so nothing to pause.
		return
	}
	r.paused = !recent
	if recent {
		r.Events.Info(eventResumed)
		return
	}
	r.Events.Warn(eventPaused, "contact", r.Follower.LastRead())
}

// planPools plans the pools that need it and executes the proposals that are due.
func (r *Runner) planPools(ctx context.Context) {
	now := r.Timer.Now()
	active := map[pool.Name]bool{}
	due := r.departedWorkerRestores(now)
	for _, name := range r.poolsToPlan() {
		active[name] = true
		due = append(due, r.planPool(name, now)...)
	}
	maps.DeleteFunc(r.poolPlans, func(name pool.Name, _ *poolPlan) bool { return !active[name] })
	var group errgroup.Group
	group.SetLimit(maxConcurrentProposals)
	for _, p := range due {
		if r.Timer.Now().Sub(now) > stream.PauseThreshold {
			// The other proposals are too old. The next round decides again.
			break
		}
		group.Go(func() error {
			r.execute(ctx, p)
			return nil
		})
	}
	_ = group.Wait()
}

// planPool plans one pool and returns the proposals that are due. Entries without the lowest rank plan
// less often and act later.
func (r *Runner) planPool(name pool.Name, now time.Time) []Proposal {
	plan, ok := r.poolPlans[name]
	if !ok {
		plan = &poolPlan{}
		r.poolPlans[name] = plan
	}
	rank := r.Ranker.Rank("jobs/" + string(name))
	if rank > 0 && now.Sub(plan.lastPlanned) < standbyPeriod {
		return nil
	}
	plan.lastPlanned = now
	var due []Proposal
	decisions := map[string]bool{}
	for _, p := range Plan(r.planInput(name)) {
		decisions[p.DecisionKey()] = true
		if plan.delays.IsDue(p.DecisionKey(), now, time.Duration(rank)*rankDelay) {
			due = append(due, p)
		}
	}
	plan.delays.Retain(decisions)
	return due
}

// departedWorkerRestores returns proposals to end the quarantines of workers that have left the fleet. No plan
// of a pool covers these workers.
func (r *Runner) departedWorkerRestores(now time.Time) []Proposal {
	var due []Proposal
	for _, q := range r.State.QuarantinedWorkers() {
		_, known := r.Fleet.Instance(q.Worker)
		if !known && now.Sub(q.StartTime.AsTime()) >= quarantineDuration && r.Ranker.Rank("worker/"+string(q.Worker)) == 0 {
			due = append(due, RecordProposal{Body: &Restore{Worker: q.Worker, QuarantineOffset: q.QuarantineOffset, Reason: "the worker has left the fleet"}})
		}
	}
	return due
}

// poolsToPlan returns the pools that have queued jobs, suspect workers or quarantined workers.
func (r *Runner) poolsToPlan() []pool.Name {
	pools := r.State.PoolsWithQueuedJobs()
	seen := make(map[pool.Name]bool, len(pools))
	for _, name := range pools {
		seen[name] = true
	}
	add := func(id instance.ID) {
		if w, ok := r.Fleet.Instance(id); ok && !seen[w.Pool] {
			seen[w.Pool] = true
			pools = append(pools, w.Pool)
		}
	}
	for _, q := range r.State.QuarantinedWorkers() {
		add(q.Worker)
	}
	for id := range r.State.SuspectWorkers() {
		add(id)
	}
	return pools
}

func (r *Runner) planInput(name pool.Name) PlanInput {
	in := PlanInput{
		Now: r.Timer.Now(), Pool: name, QueuedJobs: r.State.QueuedJobs(name), Teams: r.Teams(), ReservedByTeam: r.State.ReservedByTeam(),
		UsageByKey: map[UsageKey]Usage{}, Evictions: map[AttemptID]EvictionResult{},
	}
	for _, j := range in.QueuedJobs {
		if _, ok := in.UsageByKey[j.usageKey()]; !ok {
			in.UsageByKey[j.usageKey()] = r.State.Usage(j.usageKey())
		}
	}
	suspects := r.State.SuspectWorkers()
	quarantined := map[instance.ID]QuarantinedWorker{}
	for _, q := range r.State.QuarantinedWorkers() {
		quarantined[q.Worker] = q
	}
	for _, inst := range r.Fleet.Members(name, instance.KindWorker) {
		w := Worker{Instance: inst, ActiveJobs: r.State.ActiveJobs(inst.ID), HasCompletedJob: r.State.HasCompletedJob(inst.ID, inst.Incarnation)}
		if s, ok := suspects[inst.ID]; ok && s.Incarnation == inst.Incarnation {
			w.ProposedQuarantine = &s
		}
		if q, ok := quarantined[inst.ID]; ok {
			w.Quarantine = &q
		}
		w.TaskReports = r.workerStates.reportsOf(inst.ID, in.Now, w.ActiveJobs, in.Evictions)
		in.Workers = append(in.Workers, w)
	}
	return in
}

func (r *Runner) execute(ctx context.Context, p Proposal) {
	switch p := p.(type) {
	case RecordProposal:
		if r.propose(ctx, p.Body) {
			r.logQuarantineChange(p.Body)
		}
	case EvictionProposal:
		r.evict(ctx, p)
	}
}

func (r *Runner) logQuarantineChange(body Body) {
	switch b := body.(type) {
	case *Quarantine:
		r.Events.Warn(eventQuarantined, "worker", b.Worker, "reason", b.Reason)
	case *Restore:
		r.Events.Info(eventRestored, "worker", b.Worker, "reason", b.Reason)
	}
}

// propose appends a record and reports whether it was applied. The result is also false if that is not known.
func (r *Runner) propose(ctx context.Context, body Body) bool {
	ctx, cancel := r.Timer.WithTimeout(ctx, proposeTimeout)
	defer cancel()
	offset, err := r.Proposer.Propose(ctx, body.Kind(), r.Author, body)
	if err != nil {
		r.Events.Info(eventRecordFailed, "record", body.Kind(), "error", err)
		return false
	}
	r.Events.Debug(eventRecorded, "record", body.Kind(), "offset", offset)
	return true
}
