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
	// period is the time between two rounds when nothing changes.
	period = 250 * time.Millisecond
	// pace is the least time between two rounds, so that each append is planned from once.
	pace = 25 * time.Millisecond
	// pauseRatio and pauseLimit bound the part of the time that rounds take.
	pauseRatio = 9
	pauseLimit = 400 * time.Millisecond
	// standbyPeriod is the time between two plans of a pool that another entry should plan.
	standbyPeriod = time.Second
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
	Dial   func(address instance.Address) upstream.Worker
	Timer  *timer.Service
	Events event.Log
	// Author is the id of the entry.
	Author record.Author

	gate   stream.Gate
	paused bool
	pools  map[pool.Name]*poolTurn
	shards shards
	slots  *semaphore.Weighted
	tasks  sync.WaitGroup
}

// poolTurn is what is kept between the plans of one pool.
type poolTurn struct {
	turns   timer.Delays
	planned time.Time
}

// Run works until ctx ends, and returns once all its calls have ended.
func (r *Runner) Run(ctx context.Context) error {
	r.slots = semaphore.NewWeighted(workerLimit)
	r.pools = map[pool.Name]*poolTurn{}
	defer r.tasks.Wait()
	// Plans wait for the log, and must not delay the renewal of leases.
	r.tasks.Go(func() {
		r.repeat(ctx, func() {
			if !r.openSince().IsZero() {
				r.plan(ctx)
			}
		})
	})
	r.repeat(ctx, func() {
		r.report(!r.openSince().IsZero())
		r.work(ctx)
	})
	return ctx.Err()
}

// repeat calls do each period and after each change of the state, until ctx ends. It leaves pauses in
// proportion to the time that do takes, so that long queues do not use up the processor.
func (r *Runner) repeat(ctx context.Context, do func()) {
	ticks := r.Timer.Every(period)
	defer ticks.Stop()
	for {
		changed := r.State.Changed()
		from := r.Timer.Now()
		do()
		pause := min(max(pace, pauseRatio*r.Timer.Since(from)), pauseLimit)
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

// openSince returns since when the state is recent, or zero if it is not.
func (r *Runner) openSince() time.Time {
	return r.gate.Open(r.Timer.Now(), r.Follower.Contact(), r.Follower.Current())
}

func (r *Runner) report(open bool) {
	if open != r.paused || !open && r.Follower.Contact().IsZero() {
		// Before the first contact with the log nothing has been paused.
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
	active := map[pool.Name]bool{}
	due := r.strays(planned)
	for _, name := range r.activePools() {
		active[name] = true
		due = append(due, r.planPool(name, planned)...)
	}
	maps.DeleteFunc(r.pools, func(name pool.Name, _ *poolTurn) bool { return !active[name] })
	var group errgroup.Group
	group.SetLimit(proposeLimit)
	for _, p := range due {
		if r.Timer.Now().Sub(planned) > stream.GapLimit {
			break
		}
		group.Go(func() error {
			r.carryOut(ctx, p)
			return nil
		})
	}
	_ = group.Wait()
}

// planPool returns the proposals for one pool whose turn it is.
func (r *Runner) planPool(name pool.Name, now time.Time) []Proposal {
	turn, ok := r.pools[name]
	if !ok {
		turn = &poolTurn{}
		r.pools[name] = turn
	}
	rank := r.Ranker.Rank("jobs/" + string(name))
	if rank > 0 && now.Sub(turn.planned) < standbyPeriod {
		return nil
	}
	turn.planned = now
	var due []Proposal
	keys := map[string]bool{}
	for _, p := range Plan(r.input(name)) {
		keys[p.Decision()] = true
		if turn.turns.Due(p.Decision(), now, time.Duration(rank)*rankDelay) {
			due = append(due, p)
		}
	}
	turn.turns.Keep(keys)
	return due
}

// strays returns the proposals to end quarantines of workers that are no longer in the fleet.
func (r *Runner) strays(now time.Time) []Proposal {
	var due []Proposal
	for _, q := range r.State.Quarantined() {
		_, known := r.Fleet.Instance(q.Worker)
		if !known && now.Sub(q.Time.AsTime()) >= quarantineTime && r.Ranker.Rank("worker/"+string(q.Worker)) == 0 {
			due = append(due, Record{Body: &Restore{Worker: q.Worker, Since: q.Since, Reason: "the worker has left the fleet"}})
		}
	}
	return due
}

// activePools returns the pools that have queued jobs, suspects or quarantined workers.
func (r *Runner) activePools() []pool.Name {
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
