package job

import (
	"context"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"
	"golang.org/x/sync/semaphore"

	"hibiscuslane.example/hibiscuslane/event"
	"hibiscuslane.example/hibiscuslane/fleet"
	"hibiscuslane.example/hibiscuslane/instance"
	"hibiscuslane.example/hibiscuslane/platform"
	"hibiscuslane.example/hibiscuslane/pool"
	"hibiscuslane.example/hibiscuslane/record"
	"hibiscuslane.example/hibiscuslane/team"
	"hibiscuslane.example/hibiscuslane/timer"
)

const (
	// period is the time between two rounds when nothing changes.
	period = 250 * time.Millisecond
	// pace is the least time between two rounds, so that each append is planned from once.
	pace = 25 * time.Millisecond
	// rankDelay is the wait per rank before an entry places a job that one of lower rank should place.
	rankDelay = 2 * time.Second
	// proposeTimeout bounds the wait for the verdict on a record.
	proposeTimeout = 2 * time.Second
	// callTimeout bounds a call on a worker. A round of polling, renewing and recording stays below the
	// lease, even if each of its steps takes its whole time.
	callTimeout = 1500 * time.Millisecond
	// proposeLimit bounds concurrent proposals. They share appends.
	proposeLimit = 256
	// workerLimit bounds the workers that are called at once, and taskLimit the calls to one of them.
	workerLimit = 64
	taskLimit   = 8
)

// Follower tells how recent the job state is; stream.Follower implements it.
type Follower interface {
	// Contact returns the time of the last successful read.
	Contact() time.Time
	// Current reports whether the state has reached the head of the stream.
	Current() bool
}

// Proposer appends a record and waits for its verdict; stream.Proposer implements it.
type Proposer interface {
	Propose(ctx context.Context, kind record.Kind, author record.Author, body any) (record.Offset, error)
}

// Ranker returns the rank of this entry among the live entries for a decision; 0 acts first.
type Ranker interface {
	Rank(decision string) int
}

// Fleet is the fleet state; fleet.State implements it.
type Fleet interface {
	Members(name pool.Name, kind instance.Kind) []fleet.Instance
	Instance(id instance.ID) (fleet.Instance, bool)
	All() []fleet.Instance
}

// Runner places jobs and runs the tasks of the workers for which this entry has the lowest rank. All
// fields but Events are required. Run is called once.
type Runner struct {
	State    *State
	Fleet    Fleet
	Proposer Proposer
	Follower Follower
	Ranker   Ranker
	// Teams returns the teams in force.
	Teams func() map[team.Name]team.Spec
	// Dial returns the task interface of the worker at an address.
	Dial   func(address instance.Address) platform.Worker
	Timer  *timer.Service
	Events event.Log
	// Author is the id of the entry.
	Author record.Author

	gate   gate
	paused bool
	turns  turns
	shards shards
	slots  *semaphore.Weighted
	tasks  sync.WaitGroup
}

// Run works until ctx ends, and returns once all its calls have ended.
func (r *Runner) Run(ctx context.Context) error {
	defer r.tasks.Wait()
	ticks := r.Timer.Every(period)
	defer ticks.Stop()
	for {
		changed := r.State.Changed()
		r.round(ctx)
		if err := r.Timer.Sleep(ctx, pace); err != nil {
			return err
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticks.C():
		case <-changed:
		}
	}
}

// round starts the work on the workers of this entry, which ends in the background, and then plans.
func (r *Runner) round(ctx context.Context) {
	if r.slots == nil {
		r.slots = semaphore.NewWeighted(workerLimit)
	}
	open := r.openSince()
	r.report(!open.IsZero())
	r.work(ctx)
	if open.IsZero() {
		return
	}
	r.plan(ctx)
}

// openSince returns since when the state is recent, or zero if it is not.
func (r *Runner) openSince() time.Time {
	return r.gate.open(r.Timer.Now(), r.Follower.Contact(), r.Follower.Current())
}

func (r *Runner) report(open bool) {
	if open != r.paused {
		return
	}
	r.paused = !open
	if open {
		r.Events.Info(eventContinued)
		return
	}
	r.Events.Warn(eventPaused, "contact", r.Follower.Contact())
}

// plan carries out the plans of all pools whose turn it is.
func (r *Runner) plan(ctx context.Context) {
	planned := r.Timer.Now()
	var due []Proposal
	keys := map[string]bool{}
	for _, name := range r.pools() {
		delay := time.Duration(r.Ranker.Rank("jobs/"+string(name))) * rankDelay
		for _, p := range Plan(r.input(name)) {
			keys[p.Decision()] = true
			if r.turns.due(p.Decision(), planned, delay) {
				due = append(due, p)
			}
		}
	}
	r.turns.keep(keys)
	var group errgroup.Group
	group.SetLimit(proposeLimit)
	for _, p := range due {
		if r.Timer.Now().Sub(planned) > gapLimit {
			break
		}
		group.Go(func() error {
			r.carryOut(ctx, p)
			return nil
		})
	}
	_ = group.Wait()
}

// pools returns the pools that have queued jobs, suspects or quarantined workers.
func (r *Runner) pools() []pool.Name {
	pools := r.State.Pools()
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
	for _, q := range r.State.Quarantined() {
		add(q.Worker)
	}
	for id := range r.State.Suspects() {
		add(id)
	}
	return pools
}

func (r *Runner) input(name pool.Name) Input {
	in := Input{
		Now: r.Timer.Now(), Pool: name, Queued: r.State.Queued(name), Teams: r.Teams(), Used: r.State.Used(),
		Usage: map[Class]Usage{}, Evicted: map[Attempt]Eviction{},
	}
	for _, j := range in.Queued {
		if _, ok := in.Usage[j.class()]; !ok {
			in.Usage[j.class()] = r.State.Usage(j.class())
		}
	}
	suspects := r.State.Suspects()
	quarantined := map[instance.ID]Quarantined{}
	for _, q := range r.State.Quarantined() {
		quarantined[q.Worker] = q
	}
	for _, i := range r.Fleet.Members(name, instance.KindWorker) {
		w := Worker{Instance: i, Held: r.State.Held(i.ID), Proven: r.State.Proven(i.ID, i.Incarnation)}
		if s, ok := suspects[i.ID]; ok && s.Incarnation == i.Incarnation {
			w.Suspect = &s
		}
		if q, ok := quarantined[i.ID]; ok {
			w.Quarantine = &q
		}
		w.Reported = r.shards.view(i.ID, in.Now, w.Held, in.Evicted)
		in.Workers = append(in.Workers, w)
	}
	return in
}

func (r *Runner) carryOut(ctx context.Context, p Proposal) {
	switch p := p.(type) {
	case Record:
		if r.propose(ctx, p.Body) {
			r.reportPlan(p.Body)
		}
	case Evict:
		r.evict(ctx, p)
	}
}

func (r *Runner) reportPlan(body Body) {
	switch b := body.(type) {
	case *Quarantine:
		r.Events.Warn(eventQuarantined, "worker", b.Worker, "reason", b.Reason)
	case *Restore:
		r.Events.Info(eventRestored, "worker", b.Worker, "reason", b.Reason)
	}
}

// propose appends a record and reports whether it was applied.
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
