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

// tickPeriod is the period at which owners apply changes of their pool's targets and fail requests whose
// deadline has passed.
const tickPeriod = 100 * time.Millisecond

// Server serves slots to all entries. It creates the Owner of a pool at the first call for the pool and
// guards each Owner with its own lock. It implements peer.Slots. Set the exported fields before use.
type Server struct {
	Self        instance.ID
	Incarnation instance.Incarnation
	Capacity    Capacity
	Timer       *timer.Service
	Events      event.Log
	// IsEntryGone reports whether an entry has been silent for so long that its leases end.
	IsEntryGone func(entry instance.ID) bool
	// CurrentIncarnation returns the incarnation of an entry that has reported last, or zero if it is not known. It may be nil.
	CurrentIncarnation func(entry instance.ID) instance.Incarnation

	mu     sync.Mutex
	owners map[pool.Name]*lockedOwner
}

// lockedOwner is an Owner with the lock that guards it.
type lockedOwner struct {
	mu    sync.Mutex
	owner Owner
}

// Usage describes the slots of a pool in use, as known to its owner.
type Usage struct {
	Pool pool.Name `json:"pool"`
	// Used is the number of leased slots, Waiting the number of queued requests.
	Used    int `json:"used"`
	Waiting int `json:"waiting"`
	// MeanHoldMillis is the moving average in milliseconds of the time that a slot is held.
	MeanHoldMillis int64 `json:"service"`
}

// ownerOf returns the owner of a pool and creates it if necessary. It fails if the pool does not exist.
func (s *Server) ownerOf(name pool.Name) (*lockedOwner, error) {
	spec, ok := s.Capacity.PoolSpec(name)
	if !ok {
		return nil, &PoolUnavailableError{Pool: name, Reason: "does not exist"}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if locked := s.owners[name]; locked != nil {
		return locked, nil
	}
	if s.owners == nil {
		s.owners = map[pool.Name]*lockedOwner{}
	}
	locked := &lockedOwner{owner: Owner{Pool: name, Incarnation: s.Incarnation, MaxQueued: spec.MaxQueued}}
	locked.owner.SetTargets(s.Timer.Now(), s.Capacity.UsableTargets(name), spec.Slots)
	s.owners[name] = locked
	s.Events.Info(eventPoolOwned, "pool", name)
	return locked, nil
}

// withOwner calls f with the owner of a pool while holding its lock.
func (s *Server) withOwner(name pool.Name, f func(now time.Time, owner *Owner)) error {
	locked, err := s.ownerOf(name)
	if err != nil {
		return err
	}
	locked.mu.Lock()
	defer locked.mu.Unlock()
	f(s.Timer.Now(), &locked.owner)
	return nil
}

// Run refreshes all owners periodically until ctx ends.
func (s *Server) Run(ctx context.Context) error {
	tick := s.Timer.Every(tickPeriod)
	defer tick.Stop()
	for {
		for _, name := range s.poolNames() {
			s.refreshPool(name)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C():
		}
	}
}

func (s *Server) poolNames() []pool.Name {
	s.mu.Lock()
	defer s.mu.Unlock()
	names := make([]pool.Name, 0, len(s.owners))
	for name := range s.owners {
		names = append(names, name)
	}
	return names
}

// refreshPool applies the current targets and limits to the owner of a pool, removes entries that have
// died, and fails requests whose deadline has passed.
func (s *Server) refreshPool(name pool.Name) {
	usable := s.Capacity.UsableTargets(name)
	spec, _ := s.Capacity.PoolSpec(name)
	// withOwner fails only if the pool was removed from the settings.
	_ = s.withOwner(name, func(now time.Time, owner *Owner) {
		owner.MaxQueued = spec.MaxQueued
		owner.SetTargets(now, usable, spec.Slots)
		for _, entry := range owner.activeEntries() {
			if entry == s.Self {
				continue
			}
			if s.IsEntryGone(entry) {
				owner.RemoveEntry(now, entry)
			} else if current := s.currentIncarnation(entry); current != 0 {
				owner.RemoveEarlierIncarnations(now, entry, current)
			}
		}
		owner.ExpireAndAssign(now)
	})
}

func (s *Server) currentIncarnation(entry instance.ID) instance.Incarnation {
	if s.CurrentIncarnation == nil {
		return 0
	}
	return s.CurrentIncarnation(entry)
}

// Usage returns the usage of all pools that this entry owns or has owned.
func (s *Server) Usage() []Usage {
	var usages []Usage
	for _, name := range s.poolNames() {
		_ = s.withOwner(name, func(_ time.Time, owner *Owner) {
			usages = append(usages, Usage{
				Pool: name, Used: owner.LeasedSlots(), Waiting: owner.WaitingRequests(), MeanHoldMillis: owner.MeanHoldTime().Milliseconds(),
			})
		})
	}
	return usages
}

// acquireResult is a grant or a refusal, with the earliest deadline in the owner's queue at that time, which
// is zero if the queue was empty.
type acquireResult struct {
	grant            Grant
	earliestDeadline time.Time
	err              error
}

// enqueue passes a request to the owner of its pool and returns the channel that receives the result.
func (s *Server) enqueue(id TicketID, ticket Ticket) <-chan acquireResult {
	result := make(chan acquireResult, 1)
	err := s.withOwner(ticket.Pool, func(now time.Time, owner *Owner) {
		owner.Acquire(now, AcquireRequest{
			ID: id, Ticket: ticket, Weight: s.Capacity.TeamWeight(ticket.Team),
			Deliver: func(grant Grant, err error) {
				earliest, _ := owner.EarliestDeadline()
				result <- acquireResult{grant: grant, earliestDeadline: earliest, err: err}
			},
		})
	})
	if err != nil {
		result <- acquireResult{err: err}
	}
	return result
}

// Acquire implements peer.Slots.
func (s *Server) Acquire(ctx context.Context, t *peer.Ticket) (*peer.Grant, error) {
	now := s.Timer.Now()
	id := TicketID{Entry: instance.ID(t.GetEntry()), Incarnation: instance.Incarnation(t.GetIncarnation()), Number: t.GetNumber()}
	ticket := Ticket{
		Pool: pool.Name(t.GetPool()), Team: team.Name(t.GetTeam()),
		Deadline: now.Add(time.Duration(t.GetLeft()) * time.Microsecond),
	}
	for _, target := range t.GetAvoid() {
		ticket.AvoidTargets = append(ticket.AvoidTargets, instance.ID(target))
	}
	result := s.enqueue(id, ticket)
	select {
	case res := <-result:
		return s.encodeResult(res)
	case <-ctx.Done():
		err := s.withOwner(ticket.Pool, func(_ time.Time, owner *Owner) {
			if len(result) == 0 { // otherwise the id may be that of a repeated ticket
				owner.Withdraw(id)
			}
		})
		if err != nil {
			return nil, ctx.Err() // the pool was removed, and its queue is not served any more
		}
		// The channel now holds either the withdrawal or a result that came before it.
		if res := <-result; res.err == nil {
			s.applyReturns(ticket.Pool, id.Entry, id.Incarnation, []*peer.Return{{Lease: string(res.grant.LeaseID), Result: string(ResultUnused)}})
		}
		return nil, ctx.Err()
	}
}

func (s *Server) encodeResult(res acquireResult) (*peer.Grant, error) {
	if res.err != nil {
		return nil, encodeError(res.err)
	}
	grant := &peer.Grant{Lease: string(res.grant.LeaseID), Pool: string(res.grant.Pool), Target: string(res.grant.Target)}
	if !res.earliestDeadline.IsZero() {
		// 0 would mean that the queue is empty.
		grant.Head = max(res.earliestDeadline.Sub(s.Timer.Now()).Microseconds(), 1)
	}
	return grant, nil
}

// Release implements peer.Slots.
func (s *Server) Release(_ context.Context, r *peer.Returns) (*peer.Empty, error) {
	name, entry := pool.Name(r.GetPool()), instance.ID(r.GetEntry())
	s.applyReturns(name, entry, instance.Incarnation(r.GetIncarnation()), r.GetReturns())
	if r.GetComplete() {
		s.reconcileHeld(name, entry, instance.Incarnation(r.GetIncarnation()), r.GetHeld())
	}
	return &peer.Empty{}, nil
}

// applyReturns applies the releases and transfers of leases and the withdrawals of tickets that an entry
// has sent.
func (s *Server) applyReturns(name pool.Name, entry instance.ID, incarnation instance.Incarnation, returns []*peer.Return) {
	// If the pool no longer exists, there is nothing to release.
	_ = s.withOwner(name, func(now time.Time, owner *Owner) {
		for _, r := range returns {
			id := TicketID{Entry: entry, Incarnation: incarnation, Number: r.GetTicket()}
			switch result := Result(r.GetResult()); result {
			case resultTransferred:
				owner.TransferLease(now, LeaseID(r.GetLease()), id)
			case resultWithdrawn:
				owner.Withdraw(id)
			default:
				owner.Release(now, LeaseID(r.GetLease()), result)
			}
		}
	})
}

func (s *Server) reconcileHeld(name pool.Name, entry instance.ID, incarnation instance.Incarnation, held []*peer.Grant) {
	grants := make([]Grant, 0, len(held))
	for _, g := range held {
		grants = append(grants, Grant{LeaseID: LeaseID(g.GetLease()), Pool: name, Target: instance.ID(g.GetTarget())})
	}
	_ = s.withOwner(name, func(now time.Time, owner *Owner) { owner.ReconcileLeases(now, entry, incarnation, grants) })
}
