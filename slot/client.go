package slot

import (
	"context"
	"errors"
	"sync"
	"time"

	"hibiscuslane.example/hibiscuslane/event"
	"hibiscuslane.example/hibiscuslane/instance"
	"hibiscuslane.example/hibiscuslane/peer"
	"hibiscuslane.example/hibiscuslane/pool"
	"hibiscuslane.example/hibiscuslane/timer"
)

const (
	// suspicionPeriod is how long an owner is not called after a failed call. It equals the time that
	// membership needs to remove a dead entry.
	suspicionPeriod = 3 * time.Second
	// reportPeriod is the period at which an entry reports the slots it holds to their owner.
	reportPeriod = time.Second
	// releaseTimeout limits a call that sends returned slots or a report of held slots to their owner.
	releaseTimeout = time.Second
	// roomPeriod is how long a request waits before it is sent again to an owner that had no memory for it.
	roomPeriod = time.Second
	// expiryMargin is added to the timeout of a call to a remote owner, so that the owner's refusal at
	// the deadline of the ticket arrives before the call times out.
	expiryMargin = 200 * time.Millisecond
)

// Ranking orders the entries that may own a pool.
type Ranking interface {
	// Order returns the live entries for a key, the owner first.
	Order(key string) []instance.ID
	// Address returns the address of a peer.
	Address(id instance.ID) (instance.Address, bool)
}

// Client implements Allocator for one entry. It requests slots from the owner of a pool and reuses the
// slots it holds for other waiting requests of the entry. Set the exported fields before use.
type Client struct {
	Self        instance.ID
	Incarnation instance.Incarnation
	// Local serves the pools that this entry owns.
	Local    *Server
	Ranking  Ranking
	Peers    *peer.Clients
	Capacity Capacity
	Timer    *timer.Service
	Events   event.Log

	mu             sync.Mutex
	pools          map[pool.Name]*poolState
	suspectedUntil map[instance.ID]time.Time
}

// poolState holds the waiting requests and the held slots of one pool.
type poolState struct {
	mu         sync.Mutex
	scheduler  localScheduler
	lastTicket uint64
	held       map[LeaseID]heldSlot
	// pendingReturns holds the messages that are not sent yet, for each owner.
	pendingReturns map[instance.ID][]*peer.Return
	// sending marks the owners to which sendReturns is running.
	sending map[instance.ID]bool
	// reportedTo is the owner that the last call of reportHeld named.
	reportedTo instance.ID
	// reportedEmpty is true after a periodic report that no slot is held, until the next request.
	reportedEmpty bool
}

// heldSlot is a granted slot and the owner that granted it. The release is sent to that owner even if
// another entry owns the pool by then, and to the owner to which the slot was reported.
type heldSlot struct {
	grant Grant
	owner instance.ID
}

func (c *Client) poolState(name pool.Name) *poolState {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pools == nil {
		c.pools = map[pool.Name]*poolState{}
	}
	p := c.pools[name]
	if p == nil {
		p = &poolState{held: map[LeaseID]heldSlot{}, pendingReturns: map[instance.ID][]*peer.Return{}, sending: map[instance.ID]bool{}}
		c.pools[name] = p
	}
	return p
}

// Acquire implements Allocator.
func (c *Client) Acquire(ctx context.Context, ticket Ticket) (Grant, error) {
	if _, ok := c.Capacity.PoolSpec(ticket.Pool); !ok {
		return Grant{}, &PoolUnavailableError{Pool: ticket.Pool, Reason: "does not exist"}
	}
	p := c.poolState(ticket.Pool)
	result := make(chan acquireResult, 1)
	p.mu.Lock()
	p.lastTicket++
	id := TicketID{Entry: c.Self, Incarnation: c.Incarnation, Number: p.lastTicket}
	p.scheduler.enqueue(&waiter{
		id: id, team: ticket.Team, deadline: ticket.Deadline, waitingSince: c.Timer.Now(), avoidTargets: ticket.AvoidTargets,
		deliver: func(grant Grant, err error) { result <- acquireResult{grant: grant, err: err} },
	}, c.Capacity.TeamWeight(ticket.Team))
	p.mu.Unlock()
	go c.requestSlot(context.WithoutCancel(ctx), p, id, ticket)
	select {
	case res := <-result:
		return res.grant, res.err
	case <-ctx.Done():
		return c.cancelRequest(p, id, ticket.Pool, result, ctx.Err())
	}
}

// cancelRequest withdraws a request whose context has ended.
func (c *Client) cancelRequest(p *poolState, id TicketID, name pool.Name, result <-chan acquireResult, cause error) (Grant, error) {
	p.mu.Lock()
	w := p.scheduler.waiting.remove(id)
	p.mu.Unlock()
	if w == nil {
		// The request was granted a slot or refused in the meantime. A granted slot is returned unused.
		if res := <-result; res.err == nil {
			c.Release(res.grant, ResultUnused)
		}
	} else {
		c.queueReturn(p, name, c.currentOwner(name), &peer.Return{Result: string(resultWithdrawn), Ticket: id.Number})
	}
	return Grant{}, &CanceledError{Pool: name, Cause: cause}
}

// currentOwner returns the first live entry in the ranking of a pool to which no call has failed within
// suspicionPeriod, or this entry if there is none.
func (c *Client) currentOwner(name pool.Name) instance.ID {
	now := c.Timer.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, id := range c.Ranking.Order(string(name)) {
		if id == c.Self || now.After(c.suspectedUntil[id]) {
			return id
		}
	}
	return c.Self
}

// suspectOwner excludes an owner from calls for suspicionPeriod.
func (c *Client) suspectOwner(name pool.Name, id instance.ID, cause error) {
	c.mu.Lock()
	if c.suspectedUntil == nil {
		c.suspectedUntil = map[instance.ID]time.Time{}
	}
	now := c.Timer.Now()
	suspected := now.Before(c.suspectedUntil[id])
	c.suspectedUntil[id] = now.Add(suspicionPeriod)
	c.mu.Unlock()
	if !suspected {
		c.Events.Warn(eventOwnerFailed, "pool", name, "owner", id, "error", cause)
	}
}

// requestSlot requests a slot from the owner of the pool and, when a call fails, from the next entry in
// the ranking. It returns when the ticket is granted or refused, or no longer waits.
func (c *Client) requestSlot(ctx context.Context, p *poolState, id TicketID, ticket Ticket) {
	for {
		owner := c.currentOwner(ticket.Pool)
		c.reportHeld(p, ticket.Pool, owner, false)
		res := c.acquireFrom(ctx, owner, id, ticket)
		if res.err == nil {
			c.acceptGrant(p, id, owner, res)
			return
		}
		if peer.IsRefused(res.err) {
			if !c.awaitRoom(ctx, p, id, ticket) {
				return
			}
			continue
		}
		refusal := refusalOf(res.err)
		if refusal != nil && !isWithdrawn(refusal) {
			c.failRequest(p, id, refusal)
			return
		}
		if refusal == nil {
			c.suspectOwner(ticket.Pool, owner, res.err)
		}
		if !c.isWaiting(p, id) {
			return
		}
	}
}

// awaitRoom waits until a ticket may be sent again to an owner that had no room for it. Another owner would grant the slots a second
// time while this one lives. It reports whether the ticket still waits.
func (c *Client) awaitRoom(ctx context.Context, p *poolState, id TicketID, ticket Ticket) bool {
	left := ticket.Deadline.Sub(c.Timer.Now())
	if left <= roomPeriod {
		c.failRequest(p, id, &DeadlineError{Pool: ticket.Pool, ExpectedWait: roomPeriod, TimeLeft: max(left, 0)})
		return false
	}
	return c.Timer.Sleep(ctx, roomPeriod) == nil && c.isWaiting(p, id)
}

// suspectCalled suspects an owner after a failed call, unless it lives and had no room for the request.
func (c *Client) suspectCalled(name pool.Name, id instance.ID, cause error) {
	if !peer.IsRefused(cause) {
		c.suspectOwner(name, id, cause)
	}
}

// refusalOf returns the typed refusal of an owner, or nil if the call itself failed, so that another
// owner must be called.
func refusalOf(err error) error {
	var (
		full        *QueueFullError
		deadline    *DeadlineError
		unavailable *PoolUnavailableError
		withdrawn   *WithdrawnError
	)
	if errors.As(err, &full) || errors.As(err, &deadline) || errors.As(err, &unavailable) || errors.As(err, &withdrawn) {
		return err
	}
	return decodeError(err)
}

// isWithdrawn reports whether the ticket left the owner's queue without a decision. If its request still
// waits, the owner has removed this entry by mistake, and the slot is requested again.
func isWithdrawn(err error) bool {
	var withdrawn *WithdrawnError
	return errors.As(err, &withdrawn)
}

func (c *Client) isWaiting(p *poolState, id TicketID) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.scheduler.waiting.byID[id] != nil
}

// acquireFrom sends a ticket to an owner and waits for the result.
func (c *Client) acquireFrom(ctx context.Context, owner instance.ID, id TicketID, ticket Ticket) acquireResult {
	if owner == c.Self {
		return <-c.Local.enqueue(id, ticket)
	}
	address, ok := c.Ranking.Address(owner)
	if !ok {
		return acquireResult{err: &OwnerAddressError{Pool: ticket.Pool, Owner: owner}}
	}
	now := c.Timer.Now()
	timeLeft := ticket.Deadline.Sub(now)
	ctx, cancel := c.Timer.WithTimeout(ctx, timeLeft+expiryMargin)
	defer cancel()
	request := &peer.Ticket{
		Entry: string(id.Entry), Incarnation: uint64(id.Incarnation), Number: id.Number,
		Pool: string(ticket.Pool), Team: string(ticket.Team), Left: timeLeft.Microseconds(),
	}
	for _, target := range ticket.AvoidTargets {
		request.Avoid = append(request.Avoid, string(target))
	}
	grant, err := c.Peers.Get(address).Acquire(ctx, request)
	if err != nil {
		return acquireResult{err: err}
	}
	res := acquireResult{grant: Grant{LeaseID: LeaseID(grant.GetLease()), Pool: ticket.Pool, Target: instance.ID(grant.GetTarget())}}
	if grant.GetHead() > 0 {
		res.earliestDeadline = c.Timer.Now().Add(time.Duration(grant.GetHead()) * time.Microsecond)
	}
	return res
}

// acceptGrant assigns a new lease to a waiting request, or returns the lease if no request waits.
func (c *Client) acceptGrant(p *poolState, id TicketID, owner instance.ID, res acquireResult) {
	p.mu.Lock()
	p.scheduler.recordOwnerDeadline(c.Timer.Now(), res.earliestDeadline)
	w := p.scheduler.assignLease(id, res.grant.LeaseID)
	if w != nil {
		p.held[res.grant.LeaseID] = heldSlot{grant: res.grant, owner: owner}
		p.reportedEmpty = false
	}
	p.mu.Unlock()
	if w == nil {
		c.queueReturn(p, res.grant.Pool, owner, &peer.Return{Lease: string(res.grant.LeaseID), Result: string(ResultUnused)})
		return
	}
	if w.id != id {
		c.queueReturn(p, res.grant.Pool, owner, &peer.Return{Result: string(resultWithdrawn), Ticket: w.id.Number})
	}
	w.deliver(res.grant, nil)
}

// failRequest delivers an error to a request if it still waits.
func (c *Client) failRequest(p *poolState, id TicketID, err error) {
	p.mu.Lock()
	w := p.scheduler.waiting.remove(id)
	p.mu.Unlock()
	if w != nil {
		w.deliver(Grant{}, err)
	}
}

// Release implements Allocator. After a completed request, the slot may be reused for another request of
// this entry instead of being returned.
func (c *Client) Release(grant Grant, result Result) {
	p := c.poolState(grant.Pool)
	p.mu.Lock()
	held, known := p.held[grant.LeaseID]
	reportedTo := p.reportedTo
	if !known {
		p.mu.Unlock()
		return
	}
	var next *waiter
	if result == ResultCompleted {
		next = p.scheduler.reuseLease(c.Timer.Now(), grant.LeaseID)
	}
	if next == nil {
		p.scheduler.removeLease(grant.LeaseID)
		delete(p.held, grant.LeaseID)
	}
	p.mu.Unlock()
	if next == nil {
		c.returnLease(p, held, reportedTo, result, 0)
		return
	}
	c.returnLease(p, held, reportedTo, resultTransferred, next.id.Number)
	next.deliver(grant, nil)
}

// returnLease tells the owner that granted a slot, and the one to which it was reported if that is another entry, what became
// of it.
func (c *Client) returnLease(p *poolState, held heldSlot, reportedTo instance.ID, result Result, ticket uint64) {
	owners := []instance.ID{held.owner}
	if reportedTo != "" && reportedTo != held.owner {
		owners = append(owners, reportedTo)
	}
	for _, owner := range owners {
		c.queueReturn(p, held.grant.Pool, owner, &peer.Return{Lease: string(held.grant.LeaseID), Result: string(result), Ticket: ticket})
	}
}

// queueReturn queues a message to an owner. It starts sendReturns unless that is running, in which case
// the message is part of the next batch. If this entry is the owner, the message is applied immediately.
func (c *Client) queueReturn(p *poolState, name pool.Name, owner instance.ID, message *peer.Return) {
	if owner == c.Self {
		c.Local.applyReturns(name, c.Self, c.Incarnation, []*peer.Return{message})
		return
	}
	p.mu.Lock()
	p.pendingReturns[owner] = append(p.pendingReturns[owner], message)
	idle := !p.sending[owner]
	p.sending[owner] = true
	p.mu.Unlock()
	if idle {
		go c.sendReturns(p, name, owner)
	}
}

// sendReturns sends the pending messages to an owner in batches until none is left. It drops a batch whose
// call fails, because the next report of held slots corrects the owner.
func (c *Client) sendReturns(p *poolState, name pool.Name, owner instance.ID) {
	for {
		p.mu.Lock()
		batch := p.pendingReturns[owner]
		delete(p.pendingReturns, owner)
		if len(batch) == 0 {
			delete(p.sending, owner)
			p.mu.Unlock()
			return
		}
		p.mu.Unlock()
		if err := c.callRelease(owner, &peer.Returns{Pool: string(name), Returns: batch}); err != nil {
			c.suspectCalled(name, owner, err)
			c.Events.Debug(eventReleaseDropped, "pool", name, "owner", owner, "messages", len(batch))
		}
	}
}

// callRelease calls Release of another entry. It does nothing if the address of that entry is not known.
func (c *Client) callRelease(owner instance.ID, returns *peer.Returns) error {
	address, ok := c.Ranking.Address(owner)
	if !ok {
		return nil
	}
	// A release must be sent even if the request that held the slot is cancelled, so it does not use
	// the context of a caller.
	ctx, cancel := c.Timer.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	returns.Entry, returns.Incarnation = string(c.Self), uint64(c.Incarnation)
	_, err := c.Peers.Get(address).Release(ctx, returns)
	return err
}

// reportHeld reports the slots of a pool that this entry holds to the owner: to a new owner before the
// first ticket unless no slot is held, and periodically.
func (c *Client) reportHeld(p *poolState, name pool.Name, owner instance.ID, periodic bool) {
	p.mu.Lock()
	newOwner := p.reportedTo != owner
	p.reportedTo = owner
	p.reportedEmpty = periodic && len(p.held) == 0
	if !newOwner && !periodic || len(p.held) == 0 && newOwner && !periodic {
		p.mu.Unlock()
		return
	}
	grants := make([]*peer.Grant, 0, len(p.held))
	for lease, h := range p.held {
		grants = append(grants, &peer.Grant{Lease: string(lease), Target: string(h.grant.Target)})
	}
	p.mu.Unlock()
	if owner == c.Self {
		c.Local.reconcileHeld(name, c.Self, c.Incarnation, grants)
		return
	}
	if err := c.callRelease(owner, &peer.Returns{Pool: string(name), Held: grants, Complete: true}); err != nil {
		c.suspectCalled(name, owner, err)
	}
}

// Run reports held slots periodically until ctx ends.
func (c *Client) Run(ctx context.Context) error {
	tick := c.Timer.Every(reportPeriod)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C():
		}
		c.mu.Lock()
		pools := make(map[pool.Name]*poolState, len(c.pools))
		for name, p := range c.pools {
			pools[name] = p
		}
		c.mu.Unlock()
		for name, p := range pools {
			if c.needsReport(p) {
				c.reportHeld(p, name, c.currentOwner(name), true)
			}
		}
	}
}

// needsReport reports whether an owner may still have leases of this entry. Reports continue until one
// says that no slot is held, so that the owner detects lost releases.
func (c *Client) needsReport(p *poolState) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.held) > 0 || !p.reportedEmpty
}

// WaitingRequests returns the number of requests of this entry that wait for a slot of the pool.
func (c *Client) WaitingRequests(name pool.Name) int {
	p := c.poolState(name)
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.scheduler.waiting.size()
}
