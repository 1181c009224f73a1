package planner

import (
	"context"
	"fmt"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"hibiscuslane.example/hibiscuslane/config"
	"hibiscuslane.example/hibiscuslane/event"
	"hibiscuslane.example/hibiscuslane/fleet"
	"hibiscuslane.example/hibiscuslane/instance"
	"hibiscuslane.example/hibiscuslane/pool"
	"hibiscuslane.example/hibiscuslane/record"
	"hibiscuslane.example/hibiscuslane/site"
	"hibiscuslane.example/hibiscuslane/stream"
	"hibiscuslane.example/hibiscuslane/timer"
	"hibiscuslane.example/hibiscuslane/upstream"
)

const (
	// period is the time between two plans.
	period = time.Second
	// rankDelay is the wait per rank before an entry does what an entry of lower rank should do first.
	rankDelay = 2 * time.Second
	// callTimeout bounds a call on the platform, and the wait for the verdict on a proposal.
	callTimeout = 2 * time.Second
	// callLimit bounds concurrent calls. Proposals made together share an append.
	callLimit = 32
	// retryAfter is the time after which an accepted drain or reboot is repeated if the list shows no
	// effect.
	retryAfter = 10 * time.Second
	// refusedRetry is the time after which a refused one is repeated. A worker refuses to reboot while
	// it runs tasks, possibly for hours.
	refusedRetry = 3 * time.Second
)

// Follower tells how recent the fleet state is; stream.Follower implements it.
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

// Lister keeps the newest list of the platform; member.Group implements it.
type Lister interface {
	// List returns the list and the time at which it was read, which is zero before the first.
	List() ([]upstream.Listing, time.Time)
}

// Ranker returns the rank of this entry among the live entries for a decision; 0 acts first.
type Ranker interface {
	Rank(decision string) int
}

// Observer reports what the entries see of the targets.
type Observer interface {
	// Failing returns for how long most entries have seen a target fail without interruption.
	Failing() map[instance.ID]time.Duration
	// Demand returns the number of busy targets per pool.
	Demand() map[pool.Name]float64
}

// SettingsSource returns the merged settings in force per site.
type SettingsSource interface {
	Sites() map[site.Name]config.Settings
}

// Runner plans each period, proposes what the plan contains and carries out what follows from the
// state. All fields but Events are required. Run is called once.
type Runner struct {
	State      *fleet.State
	Lister     Lister
	Controller upstream.Controller
	Proposer   Proposer
	Follower   Follower
	Ranker     Ranker
	Observer   Observer
	Settings   SettingsSource
	Timer      *timer.Service
	Events     event.Log
	// Author is the id of the entry.
	Author record.Author

	gate      stream.Gate
	paused    bool
	presence  presence
	demand    demand
	proposals timer.Delays
	actions   timer.Delays
	mu        sync.Mutex
	// tries holds the last try of each action that still follows from the state.
	tries map[Action]try
}

// try is a call on the platform and whether it was accepted.
type try struct {
	at       time.Time
	accepted bool
}

// Run plans until ctx ends.
func (r *Runner) Run(ctx context.Context) error {
	ticks := r.Timer.Every(period)
	defer ticks.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticks.C():
			r.round(ctx)
		}
	}
}

// round is one period. Actions are not subject to the gate: the platform refuses those that an old
// state suggests, because they carry an incarnation that has ended.
func (r *Runner) round(ctx context.Context) {
	open := !r.gate.Open(r.Timer.Now(), r.Follower.Contact(), r.Follower.Current()).IsZero()
	r.report(open)
	if !r.refresh() {
		return
	}
	in := r.input()
	if open {
		r.propose(ctx, in.Now, Plan(in))
	}
	r.act(ctx, Actions(in))
}

func (r *Runner) report(open bool) {
	if open != r.paused || !open && r.Follower.Contact().IsZero() {
		// Before the first contact with the log nothing has been paused.
		return
	}
	r.paused = !open
	if open {
		r.Events.Info(eventResumed)
		return
	}
	r.Events.Warn(eventPaused, "contact", r.Follower.Contact())
}

// refresh takes up the newest list and reports whether there ever was one.
func (r *Runner) refresh() bool {
	list, at := r.Lister.List()
	if at.After(r.presence.last) {
		r.presence.add(at, list, r.State.Instances())
	}
	return !at.IsZero()
}

func (r *Runner) input() Input {
	now := r.Timer.Now()
	in := Input{
		Now:        now,
		Fleet:      r.State.Instances(),
		Removals:   map[instance.ID]fleet.Removal{},
		Listings:   r.presence.list,
		MissingFor: r.presence.absent,
		FailingFor: r.Observer.Failing(),
		Sites:      r.Settings.Sites(),
		History: History{
			RecentFailures: failures(now, r.State.ChangesFrom(0)),
			Demand:         r.demand.add(now, r.Observer.Demand()),
		},
	}
	for _, listing := range in.Listings {
		if removal, ok := r.State.Removed(listing.ID); ok {
			in.Removals[listing.ID] = removal
		}
	}
	return in
}

// propose appends the proposals whose turn it is. It stops if the process was frozen since the plan.
func (r *Runner) propose(ctx context.Context, planned time.Time, proposals []Proposal) {
	keys := make(map[string]bool, len(proposals))
	for _, p := range proposals {
		keys[p.pending()] = true
	}
	r.proposals.Keep(keys)
	var group errgroup.Group
	group.SetLimit(callLimit)
	for _, p := range proposals {
		now := r.Timer.Now()
		if now.Sub(planned) > stream.GapLimit {
			break
		}
		if r.proposals.Due(p.pending(), now, r.delay(p.DecisionKey)) {
			group.Go(func() error {
				r.proposeOne(ctx, p)
				return nil
			})
		}
	}
	_ = group.Wait()
}

func (r *Runner) delay(decision string) time.Duration {
	return time.Duration(r.Ranker.Rank(decision)) * rankDelay
}

func (r *Runner) proposeOne(ctx context.Context, p Proposal) {
	ctx, cancel := r.Timer.WithTimeout(ctx, callTimeout)
	defer cancel()
	object := p.Body.Header()
	offset, err := r.Proposer.Propose(ctx, p.Body.Kind(), r.Author, p.Body)
	if err != nil {
		r.Events.Info(eventProposalFailed, "record", p.Body.Kind(), "instance", object.ID, "error", err)
		return
	}
	r.Events.Info(eventProposed, "record", p.Body.Kind(), "instance", object.ID, "offset", offset, "reason", object.Reason)
}

// act carries out the actions whose turn it is and that the platform was not asked for recently.
func (r *Runner) act(ctx context.Context, actions []Action) {
	keys := make(map[string]bool, len(actions))
	wanted := make(map[Action]bool, len(actions))
	for _, a := range actions {
		keys[a.decision()] = true
		wanted[a] = true
	}
	r.actions.Keep(keys)
	r.forget(wanted)
	var group errgroup.Group
	group.SetLimit(callLimit)
	now := r.Timer.Now()
	for _, a := range actions {
		if r.recent(a, now) || !r.actions.Due(a.decision(), now, r.delay(a.decision())) {
			continue
		}
		if a.Kind == ActionReboot && !r.accepted(Action{Kind: ActionDrain, ID: a.ID, Incarnation: a.Incarnation}) {
			// The platform has not accepted a drain from this entry yet; the next round tries again.
			continue
		}
		group.Go(func() error {
			r.actOne(ctx, a)
			return nil
		})
	}
	_ = group.Wait()
}

// decision names the life that the action ends, so that one entry both drains and reboots it.
func (a Action) decision() string {
	return fmt.Sprintf("restart/%s/%d", a.ID, a.Incarnation)
}

func (r *Runner) actOne(ctx context.Context, a Action) {
	ctx, cancel := r.Timer.WithTimeout(ctx, callTimeout)
	defer cancel()
	var err error
	switch a.Kind {
	case ActionDrain:
		err = r.Controller.Drain(ctx, a.ID, a.Incarnation)
	case ActionReboot:
		err = r.Controller.Reboot(ctx, a.ID, a.Incarnation)
	}
	r.note(a, err == nil)
	if err != nil {
		r.Events.Debug(eventActionFailed, "verb", a.Kind, "instance", a.ID, "incarnation", a.Incarnation, "error", err)
		return
	}
	r.Events.Info(eventAction, "verb", a.Kind, "instance", a.ID, "incarnation", a.Incarnation)
}

func (r *Runner) note(a Action, accepted bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.tries == nil {
		r.tries = map[Action]try{}
	}
	r.tries[a] = try{at: r.Timer.Now(), accepted: accepted}
}

// accepted reports whether the last try of an action was accepted.
func (r *Runner) accepted(a Action) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.tries[a].accepted
}

// recent reports whether it is too early to repeat an action.
func (r *Runner) recent(a Action, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	last, ok := r.tries[a]
	if !ok {
		return false
	}
	if last.accepted {
		return now.Sub(last.at) < retryAfter
	}
	return now.Sub(last.at) < refusedRetry
}

// forget drops the tries of actions that no longer follow from the state.
func (r *Runner) forget(wanted map[Action]bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for a := range r.tries {
		if !wanted[a] {
			delete(r.tries, a)
		}
	}
}
