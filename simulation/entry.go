package simulation

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"sync"
	"time"

	"hibiscuslane.example/hibiscuslane/dispatch"
	"hibiscuslane.example/hibiscuslane/election"
	"hibiscuslane.example/hibiscuslane/instance"
	"hibiscuslane.example/hibiscuslane/operator"
	"hibiscuslane.example/hibiscuslane/platform"
	"hibiscuslane.example/hibiscuslane/timer"
)

// Times of package process, which has sockets and is therefore not part of a run.
const (
	heartbeatPeriod  = 350 * time.Millisecond
	heartbeatTimeout = 400 * time.Millisecond
	retryPeriod      = 100 * time.Millisecond
	drainTimeout     = 600 * time.Millisecond
	acceptTime       = 2500 * time.Millisecond
	// candidacyStep is how much longer each entry waits than the one before.
	candidacyStep = 200 * time.Millisecond
)

// timing is that of the owners.
var timing = dispatch.Timing{MaxLease: maxLease, StatusRetention: time.Minute, HolderChangeInterval: holderChange, MoveDuration: offlineTime, MaintenanceDuration: offlineTime}

const (
	holderChange = 3 * time.Second
	// contactTime is how long an entry must not have been paused for its orders to count as those of a holder in touch.
	contactTime = 3 * time.Second
)

// entry is one process of "hibiscuslane run". Its clock stands still while it is paused.
type entry struct {
	world    *world
	slot     int
	name     string
	clock    *timer.Manual
	elector  *election.Elector
	follower *operator.Follower
	client   *http.Client
	cancel   context.CancelFunc
	// leave makes the entry leave the election.
	leave context.CancelFunc
	// ended is closed when the process ends.
	ended chan struct{}
	// hasEnded is set then; world.mu guards it.
	hasEnded bool
	// pausedUntil is when a paused entry goes on; zero if it is not paused. isSuspended is set if its steady clock leaves the time out.
	pausedUntil time.Time
	isSuspended bool
	// resumedAt is when the entry last went on after a pause.
	resumedAt time.Time
	// inbox holds what arrives while the entry is paused.
	inbox []func()

	mu         sync.Mutex
	dispatcher *dispatch.Dispatcher // nil while the process is not the owner
	cancelTerm context.CancelFunc
	stopping   bool
}

// startEntry starts a process in a slot, in place of the one before.
func (w *world) startEntry(slot int) {
	e := &entry{world: w, slot: slot, clock: timer.NewManual(w.now), ended: make(chan struct{})}
	e.clock.Suspend(0)
	clock := &e.clock.Service
	address := instance.Address(fmt.Sprintf("entry-%d:1", slot+1))
	member := election.NewMember(address, w.now)
	e.name = string(member)
	e.client = &http.Client{Transport: e}
	store := &platform.Store{Address: hostStore, HTTP: e.client}
	log := w.log.With("entry", address)
	e.follower = &operator.Follower{Store: store, Clock: clock, Log: log, OnChange: e.applyOperatorChange}
	e.elector = &election.Elector{Store: store, Member: member, Clock: clock, Log: log, OnChange: e.onOwnershipChange}
	e.elector.SetCandidacyDelay(time.Duration(slot) * candidacyStep)
	ctx, cancel := context.WithCancel(context.Background())
	electionCtx, leave := context.WithCancel(ctx)
	e.cancel, e.leave = cancel, leave
	if slot < len(w.entries) {
		w.former = append(w.former, w.entries[slot])
		w.entries[slot] = e
	} else {
		w.entries = append(w.entries, e)
	}
	go e.elector.Run(electionCtx)
	go e.follower.Run(ctx)
	go e.runHeartbeats(ctx)
}

// onOwnershipChange begins or ends a term, as package process does.
func (e *entry) onOwnershipChange(c election.Change) {
	switch c := c.(type) {
	case election.Gained:
		e.beginTerm(c)
	case election.Lost:
		e.endTerm()
	}
}

func (e *entry) beginTerm(gained election.Gained) {
	ctx, cancel := context.WithCancel(context.Background())
	clock := &e.clock.Service
	d := dispatch.New(ctx, gained, dispatch.Options{
		Store: &platform.Store{Address: hostStore, HTTP: e.client}, Fleet: &platform.Fleet{Address: hostFleet, HTTP: e.client, LeaseHolder: string(e.elector.Member.Address())},
		Advisor: &platform.Advisor{Address: hostFleet, HTTP: e.client}, Workers: platform.NewConnectorClient(e), Timing: timing, Clock: clock,
		Log: e.world.log.With("entry", e.name, "epoch", gained.Epoch), Config: e.follower.Config(), Ownership: e.elector, Ordered: true,
	})
	e.mu.Lock()
	e.dispatcher, e.cancelTerm = d, cancel
	e.mu.Unlock()
	e.applyOperatorChange()
	go func() {
		_ = d.Run() // it ends with the term
		if e.owning() == d {
			e.elector.Resign("fenced")
		}
		cancel()
	}()
}

func (e *entry) endTerm() {
	e.mu.Lock()
	d, cancelTerm, stopping := e.dispatcher, e.cancelTerm, e.stopping
	e.dispatcher, e.cancelTerm = nil, nil
	e.mu.Unlock()
	if d == nil {
		return
	}
	if stopping {
		drainCtx, cancel := e.clock.WithTimeout(context.Background(), drainTimeout)
		d.Drain(drainCtx)
		cancel()
	}
	cancelTerm()
}

// owning returns the dispatcher of the current term; nil while the entry is not the owner.
func (e *entry) owning() *dispatch.Dispatcher {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.dispatcher
}

func (e *entry) applyOperatorChange() {
	d := e.owning()
	if d == nil {
		return
	}
	if config := e.follower.Config(); config != nil {
		d.SetConfig(config)
	}
	for _, w := range e.follower.Waves() {
		d.SetWave(w.Request, w.FirstRead)
	}
}

// runHeartbeats watches the owner and replaces it, as package process does.
func (e *entry) runHeartbeats(ctx context.Context) {
	var detector election.Detector
	pause := retryPeriod
	for e.clock.Sleep(ctx, pause) == nil {
		owner := e.elector.Owner()
		detector.SetOwner(owner, e.clock.Now())
		pause = heartbeatPeriod
		if owner == "" {
			pause = retryPeriod
		}
		if owner == "" || owner == e.elector.Member || e.isStopping() {
			continue
		}
		sent := e.clock.Now()
		outcome := e.beat(ctx, owner)
		now := e.clock.Now()
		action, departure := detector.RecordResponse(outcome, sent, now, e.elector.CandidacyDelay())
		switch action {
		case election.ActionWait:
		case election.ActionLookUpOwner:
			e.elector.ForgetOwner(owner)
		case election.ActionReplaceOwner, election.ActionCollectVotes: // no entry is cut off from another one, so that all votes are the same
			e.elector.ReplaceOwner(ctx, owner, departure)
		}
		if detector.IsSuspicious() {
			pause = retryPeriod
		}
	}
}

func (e *entry) isStopping() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.stopping
}

// beat sends a heartbeat to a member.
func (e *entry) beat(ctx context.Context, owner election.Member) election.Response {
	callCtx, cancel := e.clock.WithTimeout(ctx, heartbeatTimeout)
	defer cancel()
	r := e.send(callCtx, &call{to: hostPeer, uri: string(owner)})
	switch {
	case errors.Is(r.err, errRefused):
		return election.ResponseConnectionRefused
	case r.err != nil:
		return election.ResponseNone
	}
	return election.Response(r.body)
}

// servePeer answers a heartbeat.
func (w *world) servePeer(c *call) {
	owner := election.Member(c.uri)
	for _, e := range w.entries {
		if e.elector.Member.Address() != owner.Address() {
			continue
		}
		if e.isGone() {
			w.answer(c, response{err: errRefused})
			return
		}
		e.whenRunning(func() {
			w.answer(c, response{body: []byte(e.classify(owner))})
		})
	}
}

// classify returns what a heartbeat to a member shows that this entry answers.
func (e *entry) classify(owner election.Member) election.Response {
	switch {
	case e.elector.Member != owner:
		return election.ResponseOtherIncarnation
	case e.elector.HasResigned():
		return election.ResponseResigned
	case e.elector.Owner() != owner:
		return election.ResponseNotOwner
	}
	return election.ResponseOwner
}

// isGone reports whether the process has ended.
func (e *entry) isGone() bool {
	e.world.mu.Lock()
	defer e.world.mu.Unlock()
	return e.hasEnded
}

// end ends the process at once.
func (e *entry) end() {
	e.world.mu.Lock()
	hasEnded := e.hasEnded
	e.hasEnded = true
	e.world.mu.Unlock()
	if hasEnded {
		return
	}
	close(e.ended)
	e.inbox = nil
	e.cancel()
	e.mu.Lock()
	cancelTerm := e.cancelTerm
	e.mu.Unlock()
	if cancelTerm != nil {
		cancelTerm()
	}
}

// stop ends the process in order.
func (e *entry) stop() {
	e.mu.Lock()
	e.stopping = true
	e.mu.Unlock()
	e.leave()
	e.world.after(acceptTime, e.end)
}

// advance moves the clock of the entry, unless it is paused.
func (e *entry) advance(d time.Duration) {
	if !e.pausedUntil.IsZero() && e.world.now.Before(e.pausedUntil) {
		return
	}
	if !e.pausedUntil.IsZero() {
		e.resume()
		return
	}
	e.clock.Advance(d)
}

// resume lets a paused entry go on: what was due goes off, and what has arrived is read.
func (e *entry) resume() {
	e.pausedUntil, e.resumedAt = time.Time{}, e.world.now
	behind := e.world.now.Sub(e.clock.Now()) - e.clock.Suspended()
	if e.isSuspended {
		e.clock.Suspend(behind)
	} else {
		e.clock.Advance(behind)
	}
	e.isSuspended = false
	inbox := e.inbox
	e.inbox = nil
	for _, f := range inbox {
		f()
	}
}

// pause pauses the entry until a time.
func (e *entry) pause(until time.Time, suspended bool) {
	if e.pausedUntil.IsZero() {
		e.pausedUntil, e.isSuspended = until, suspended
	}
}

// whenRunning calls f now, or when the paused entry goes on. It never does if the process has ended.
func (e *entry) whenRunning(f func()) {
	switch {
	case e.isGone():
	case !e.pausedUntil.IsZero():
		e.inbox = append(e.inbox, f)
	default:
		f()
	}
}
