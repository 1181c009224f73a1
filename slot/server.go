package slot

import (
	"context"
	"sync"
	"time"

	"hibiscuslane.example/hibiscuslane/event"
	"hibiscuslane.example/hibiscuslane/instance"
	"hibiscuslane.example/hibiscuslane/peer"
	"hibiscuslane.example/hibiscuslane/pool"
	"hibiscuslane.example/hibiscuslane/team"
	"hibiscuslane.example/hibiscuslane/timer"
)

// tickPeriod is the period at which owners take up changes of their pool's targets and expire
// requests.
const tickPeriod = 100 * time.Millisecond

// Server holds the Owner of each pool that this entry has been asked for, each under its own lock.
// It implements peer.Slots. Set the exported fields before use.
type Server struct {
	Self        instance.ID
	Incarnation instance.Incarnation
	Capacity    Capacity
	Timer       *timer.Service
	Events      event.Log
	// IsEntryGone reports whether an entry has not been heard for long enough that its leases end.
	IsEntryGone func(entry instance.ID) bool

	mu     sync.Mutex
	shards map[pool.Name]*ownerShard
}

type ownerShard struct {
	mu    sync.Mutex
	owner Owner
}

// Usage is the state of a pool's slots as its owner sees it.
type Usage struct {
	Pool    pool.Name `json:"pool"`
	Used    int       `json:"used"`
	Waiting int       `json:"waiting"`
	// Service is the average time in milliseconds that a slot is held.
	MeanHoldMillis int64 `json:"service"`
}

// shard returns the owner of a pool, or an error if the pool does not exist.
func (o *Server) shard(name pool.Name) (*ownerShard, error) {
	spec, ok := o.Capacity.PoolSpec(name)
	if !ok {
		return nil, &PoolUnavailableError{Pool: name, Reason: "does not exist"}
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	if s := o.shards[name]; s != nil {
		return s, nil
	}
	if o.shards == nil {
		o.shards = map[pool.Name]*ownerShard{}
	}
	s := &ownerShard{owner: Owner{Pool: name, Incarnation: o.Incarnation, MaxQueued: spec.MaxQueued}}
	s.owner.SetTargets(o.Timer.Now(), o.Capacity.UsableTargets(name), spec.Slots)
	o.shards[name] = s
	o.Events.Info(eventOwned, "pool", name)
	return s, nil
}

// with calls f on the owner of a pool under its lock.
func (o *Server) with(name pool.Name, f func(now time.Time, owner *Owner)) error {
	s, err := o.shard(name)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	f(o.Timer.Now(), &s.owner)
	return nil
}

// Run takes up changes of targets and expires requests until ctx ends.
func (o *Server) Run(ctx context.Context) error {
	tick := o.Timer.Every(tickPeriod)
	defer tick.Stop()
	for {
		for _, name := range o.names() {
			o.tick(name)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C():
		}
	}
}

func (o *Server) names() []pool.Name {
	o.mu.Lock()
	defer o.mu.Unlock()
	names := make([]pool.Name, 0, len(o.shards))
	for name := range o.shards {
		names = append(names, name)
	}
	return names
}

func (o *Server) tick(name pool.Name) {
	usable := o.Capacity.UsableTargets(name)
	spec, _ := o.Capacity.PoolSpec(name)
	// The pool exists: its owner was made before.
	_ = o.with(name, func(now time.Time, owner *Owner) {
		owner.MaxQueued = spec.MaxQueued
		owner.SetTargets(now, usable, spec.Slots)
		for _, entry := range owner.holders() {
			if entry != o.Self && o.IsEntryGone(entry) {
				owner.RemoveEntry(now, entry)
			}
		}
		owner.ExpireAndAssign(now)
	})
}

// Usage returns the state of all pools that this entry owns or has owned.
func (o *Server) Usage() []Usage {
	var list []Usage
	for _, name := range o.names() {
		_ = o.with(name, func(_ time.Time, owner *Owner) {
			list = append(list, Usage{
				Pool: name, Used: owner.LeasedSlots(), Waiting: owner.WaitingRequests(), MeanHoldMillis: owner.MeanHoldTime().Milliseconds(),
			})
		})
	}
	return list
}

// delivery is a grant or a refusal with the head of the queue at that moment.
type delivery struct {
	grant Grant
	head  time.Time
	err   error
}

// acquire queues a request and returns the channel that receives its delivery.
func (o *Server) acquire(id TicketID, ticket Ticket) <-chan delivery {
	result := make(chan delivery, 1)
	err := o.with(ticket.Pool, func(now time.Time, owner *Owner) {
		owner.Acquire(now, AcquireRequest{
			ID: id, Ticket: ticket, Weight: o.Capacity.TeamWeight(ticket.Team),
			Deliver: func(grant Grant, err error) {
				head, _ := owner.EarliestDeadline()
				result <- delivery{grant: grant, head: head, err: err}
			},
		})
	})
	if err != nil {
		result <- delivery{err: err}
	}
	return result
}

// Acquire implements peer.Slots.
func (o *Server) Acquire(ctx context.Context, t *peer.Ticket) (*peer.Grant, error) {
	now := o.Timer.Now()
	id := TicketID{Entry: instance.ID(t.GetEntry()), Incarnation: instance.Incarnation(t.GetIncarnation()), Number: t.GetNumber()}
	ticket := Ticket{
		Pool: pool.Name(t.GetPool()), Team: team.Name(t.GetTeam()),
		Deadline: now.Add(time.Duration(t.GetLeft()) * time.Microsecond),
	}
	for _, target := range t.GetAvoid() {
		ticket.AvoidTargets = append(ticket.AvoidTargets, instance.ID(target))
	}
	result := o.acquire(id, ticket)
	select {
	case d := <-result:
		return o.answer(d)
	case <-ctx.Done():
		_ = o.with(ticket.Pool, func(_ time.Time, owner *Owner) { owner.Withdraw(id) })
		// Either the withdrawal or an earlier grant is in the channel now.
		if d := <-result; d.err == nil {
			o.release(ticket.Pool, id.Entry, id.Incarnation, []*peer.Return{{Lease: string(d.grant.LeaseID), Result: string(ResultUnused)}})
		}
		return nil, ctx.Err()
	}
}

func (o *Server) answer(d delivery) (*peer.Grant, error) {
	if d.err != nil {
		return nil, encodeError(d.err)
	}
	grant := &peer.Grant{Lease: string(d.grant.LeaseID), Pool: string(d.grant.Pool), Target: string(d.grant.Target)}
	if !d.head.IsZero() {
		grant.Head = max(d.head.Sub(o.Timer.Now()).Microseconds(), 1)
	}
	return grant, nil
}

// Release implements peer.Slots.
func (o *Server) Release(_ context.Context, r *peer.Returns) (*peer.Empty, error) {
	name, entry := pool.Name(r.GetPool()), instance.ID(r.GetEntry())
	o.release(name, entry, instance.Incarnation(r.GetIncarnation()), r.GetReturns())
	if r.GetComplete() {
		o.adopt(name, entry, r.GetHeld())
	}
	return &peer.Empty{}, nil
}

func (o *Server) release(name pool.Name, entry instance.ID, incarnation instance.Incarnation, returns []*peer.Return) {
	// A pool that no longer exists has nothing to release.
	_ = o.with(name, func(now time.Time, owner *Owner) {
		for _, r := range returns {
			id := TicketID{Entry: entry, Incarnation: incarnation, Number: r.GetTicket()}
			switch result := Result(r.GetResult()); result {
			case resultReused:
				owner.TransferLease(now, LeaseID(r.GetLease()), id)
			case resultWithdrawn:
				owner.Withdraw(id)
			default:
				owner.Release(now, LeaseID(r.GetLease()), result)
			}
		}
	})
}

func (o *Server) adopt(name pool.Name, entry instance.ID, held []*peer.Grant) {
	grants := make([]Grant, 0, len(held))
	for _, g := range held {
		grants = append(grants, Grant{LeaseID: LeaseID(g.GetLease()), Pool: name, Target: instance.ID(g.GetTarget())})
	}
	_ = o.with(name, func(now time.Time, owner *Owner) { owner.ReconcileLeases(now, entry, grants) })
}
