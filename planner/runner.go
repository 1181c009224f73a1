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
	// planInterval is the time between two plans.
	planInterval = time.Second
	// delayPerRank is multiplied by the rank of an entry to give the time for which it waits for an entry
	// of lower rank to act.
	delayPerRank = 2 * time.Second
	// callTimeout limits a call to the platform, and the wait for the verdict on a proposal.
	callTimeout = 2 * time.Second
	// maxConcurrentCalls limits concurrent calls and proposals. Proposals made concurrently share an
	// append to the log.
	maxConcurrentCalls = 32
	// acceptedRetryInterval is the time after which an accepted drain or reboot is repeated if the list
	// shows no effect.
	acceptedRetryInterval = 10 * time.Second
	// refusedRetryInterval is the time after which a refused or failed call is repeated. A worker refuses
	// to reboot while it runs tasks, possibly for hours.
	refusedRetryInterval = 3 * time.Second
)

// Follower reports how recent the fleet state is. It is implemented by stream.Follower.
type Follower interface {
	// LastRead returns the time of the last successful read from the log.
	LastRead() time.Time
	// HasReachedHead reports whether the state has reached the head of the stream.
	HasReachedHead() bool
}

// Proposer appends a record and waits for its verdict. It is implemented by stream.Proposer.
type Proposer interface {
	Propose(ctx context.Context, kind record.Kind, author record.Author, body any) (record.Offset, error)
}

// Lister provides the most recent list of the platform. It is implemented by member.Group.
type Lister interface {
	// List returns the list and the time at which it was read. The time is zero before the first list.
	List() ([]upstream.Instance, time.Time)
}

// Ranker returns the rank of this entry among the live entries for a decision. The entry of rank 0 acts
// first.
type Ranker interface {
	Rank(decisionKey string) int
}

// Observer reports the failures and the demand of targets as the entries observe them.
type Observer interface {
	// Failing returns how long most entries have seen a target fail without interruption.
	Failing() map[instance.ID]time.Duration
	// Demand returns the number of busy targets per pool.
	Demand() map[pool.Name]float64
}

// SettingsSource provides the settings in force.
type SettingsSource interface {
	// Sites returns the merged settings of each site.
	Sites() map[site.Name]config.Settings
}

// Runner periodically computes a plan, proposes its records and performs the actions that the fleet state
// requires. All fields except Events are required. Run must be called only once.
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

	gate           stream.FreshnessGate
	paused         bool
	absence        absenceTracker
	demand         demandAverage
	proposalDelays timer.Delays
	actionDelays   timer.Delays
	mu             sync.Mutex
	// attempts holds the last attempt of each action that the fleet state still requires.
	attempts map[Action]attempt
}

// attempt records when the platform was called and whether it accepted the call.
type attempt struct {
	at       time.Time
	accepted bool
}

// Run computes a plan and acts on it every planInterval until ctx ends.
func (r *Runner) Run(ctx context.Context) error {
	ticks := r.Timer.Every(planInterval)
	defer ticks.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticks.C():
			r.runCycle(ctx)
		}
	}
}

// runCycle makes proposals if the fleet state is recent enough, and performs actions in any case. Actions
// that result from an outdated state are harmless: they carry an incarnation that has ended, so the
// platform refuses them.
func (r *Runner) runCycle(ctx context.Context) {
	canPropose := !r.gate.FreshSince(r.Timer.Now(), r.Follower.LastRead(), r.Follower.HasReachedHead()).IsZero()
	r.logPauseChange(canPropose)
	if !r.updateList() {
		return
	}
	in := r.buildInput()
	if canPropose {
		r.submitDueProposals(ctx, in.Now, Plan(in))
	}
	r.performDueActions(ctx, Actions(in))
}

// logPauseChange records and logs when proposals are paused or resumed.
func (r *Runner) logPauseChange(canPropose bool) {
	if canPropose != r.paused || !canPropose && r.Follower.LastRead().IsZero() {
		// Nothing was paused or resumed, or the log has not been read yet, so that there is nothing to pause.
		return
	}
	r.paused = !canPropose
	if canPropose {
		r.Events.Info(eventResumed)
		return
	}
	r.Events.Warn(eventPaused, "contact", r.Follower.LastRead())
}

// updateList passes a new list to the absence tracker and reports whether any list was ever read.
func (r *Runner) updateList() bool {
	list, readAt := r.Lister.List()
	if readAt.After(r.absence.lastListAt) {
		r.absence.update(readAt, list, r.State.Instances())
	}
	return !readAt.IsZero()
}

func (r *Runner) buildInput() Input {
	now := r.Timer.Now()
	in := Input{
		Now:             now,
		Fleet:           r.State.Instances(),
		Removals:        map[instance.ID]fleet.Removal{},
		ListedInstances: r.absence.listedInstances,
		MissingFor:      r.absence.absentFor,
		FailingFor:      r.Observer.Failing(),
		Sites:           r.Settings.Sites(),
		History: History{
			RecentFailures: recentLosses(now, r.State.ChangesFrom(0)),
			Demand:         r.demand.update(now, r.Observer.Demand()),
		},
	}
	for _, listedInstance := range in.ListedInstances {
		if removal, ok := r.State.Removed(listedInstance.ID); ok {
			in.Removals[listedInstance.ID] = removal
		}
	}
	return in
}

// submitDueProposals submits the proposals whose rank delay has passed. It stops if the process was
// paused since the plan was computed, because the plan may be outdated.
func (r *Runner) submitDueProposals(ctx context.Context, plannedAt time.Time, proposals []Proposal) {
	keys := make(map[string]bool, len(proposals))
	for _, p := range proposals {
		keys[p.delayKey()] = true
	}
	r.proposalDelays.Retain(keys)
	var group errgroup.Group
	group.SetLimit(maxConcurrentCalls)
	for _, p := range proposals {
		now := r.Timer.Now()
		if now.Sub(plannedAt) > stream.PauseThreshold {
			break
		}
		if r.proposalDelays.IsDue(p.delayKey(), now, r.rankDelay(p.DecisionKey)) {
			group.Go(func() error {
				r.submitProposal(ctx, p)
				return nil
			})
		}
	}
	_ = group.Wait()
}

// rankDelay returns how long this entry leaves a decision to entries of lower rank.
func (r *Runner) rankDelay(decisionKey string) time.Duration {
	return time.Duration(r.Ranker.Rank(decisionKey)) * delayPerRank
}

func (r *Runner) submitProposal(ctx context.Context, p Proposal) {
	ctx, cancel := r.Timer.WithTimeout(ctx, callTimeout)
	defer cancel()
	header := p.Body.Header()
	offset, err := r.Proposer.Propose(ctx, p.Body.Kind(), r.Author, p.Body)
	if err != nil {
		r.Events.Info(eventProposalFailed, "record", p.Body.Kind(), "instance", header.ID, "error", err)
		return
	}
	r.Events.Info(eventRecordApplied, "record", p.Body.Kind(), "instance", header.ID, "offset", offset, "reason", header.Reason)
}

// performDueActions performs the actions whose rank delay has passed and that were not attempted
// recently.
func (r *Runner) performDueActions(ctx context.Context, actions []Action) {
	keys := make(map[string]bool, len(actions))
	current := make(map[Action]bool, len(actions))
	for _, a := range actions {
		keys[a.decisionKey()] = true
		current[a] = true
	}
	r.actionDelays.Retain(keys)
	r.dropObsoleteAttempts(current)
	var group errgroup.Group
	group.SetLimit(maxConcurrentCalls)
	now := r.Timer.Now()
	for _, a := range actions {
		if r.attemptedRecently(a, now) || !r.actionDelays.IsDue(a.decisionKey(), now, r.rankDelay(a.decisionKey())) {
			continue
		}
		if a.Kind == ActionReboot && !r.wasAccepted(Action{Kind: ActionDrain, ID: a.ID, Incarnation: a.Incarnation}) {
			// The platform has not accepted a drain from this entry yet. The next cycle checks again.
			continue
		}
		group.Go(func() error {
			r.performAction(ctx, a)
			return nil
		})
	}
	_ = group.Wait()
}

// decisionKey identifies the incarnation that the action ends. The drain and the reboot share the key, so
// that the same entry performs both.
func (a Action) decisionKey() string {
	return fmt.Sprintf("restart/%s/%d", a.ID, a.Incarnation)
}

func (r *Runner) performAction(ctx context.Context, a Action) {
	ctx, cancel := r.Timer.WithTimeout(ctx, callTimeout)
	defer cancel()
	var err error
	switch a.Kind {
	case ActionDrain:
		err = r.Controller.Drain(ctx, a.ID, a.Incarnation)
	case ActionReboot:
		err = r.Controller.Reboot(ctx, a.ID, a.Incarnation)
	}
	r.recordAttempt(a, err == nil)
	if err != nil {
		r.Events.Debug(eventActionFailed, "verb", a.Kind, "instance", a.ID, "incarnation", a.Incarnation, "error", err)
		return
	}
	r.Events.Info(eventActionAccepted, "verb", a.Kind, "instance", a.ID, "incarnation", a.Incarnation)
}

func (r *Runner) recordAttempt(a Action, accepted bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.attempts == nil {
		r.attempts = map[Action]attempt{}
	}
	r.attempts[a] = attempt{at: r.Timer.Now(), accepted: accepted}
}

// wasAccepted reports whether the platform accepted the last attempt of an action.
func (r *Runner) wasAccepted(a Action) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.attempts[a].accepted
}

// attemptedRecently reports whether it is too early to repeat an action.
func (r *Runner) attemptedRecently(a Action, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	last, ok := r.attempts[a]
	if !ok {
		return false
	}
	if last.accepted {
		return now.Sub(last.at) < acceptedRetryInterval
	}
	return now.Sub(last.at) < refusedRetryInterval
}

// dropObsoleteAttempts deletes the attempts of actions that the fleet state no longer requires.
func (r *Runner) dropObsoleteAttempts(current map[Action]bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for a := range r.attempts {
		if !current[a] {
			delete(r.attempts, a)
		}
	}
}
