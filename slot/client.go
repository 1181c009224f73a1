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
	// suspicion is how long an owner that failed a call is passed over. It is as long as membership
	// takes to drop a dead entry.
	suspicion = 3 * time.Second
	// announcePeriod is the period at which an entry tells an owner which slots it holds.
	announcePeriod = time.Second
	releaseTimeout = time.Second
	// expiryMargin is added to the deadline of a remote ticket, so that the owner's refusal arrives
	// before the call times out.
	expiryMargin = 200 * time.Millisecond
)

// Ranking orders the entries that may own a pool.
type Ranking interface {
	// Order returns the live entries for a key, the owner first.
	Order(key string) []instance.ID
	// Address returns the address of a peer.
	Address(id instance.ID) (instance.Address, bool)
}

// Client is the Allocator of one entry. It asks the owner of a pool for slots and passes held slots on
// to its own waiting requests. Set the exported fields before use.
type Client struct {
	Self        instance.ID
	Incarnation instance.Incarnation
	Local       *Server
	Ranking     Ranking
	Peers       *peer.Clients
	Capacity    Capacity
	Timer       *timer.Service
	Events      event.Log

	mu       sync.Mutex
	shards   map[pool.Name]*clientShard
	suspects map[instance.ID]time.Time
}

// clientShard is the state of one pool.
type clientShard struct {
	mu     sync.Mutex
	holder holder
	number uint64
	held   map[LeaseID]held
	// outbox holds what the owners still have to be told.
	outbox map[instance.ID][]*peer.Return
	// sending marks the owners to which a message is in flight.
	sending map[instance.ID]bool
	// announced is the owner that was last told which slots are held.
	announced instance.ID
	// settled is true once an owner was told that nothing is held.
	settled bool
}

// held is a granted slot and the owner that granted it.
type held struct {
	grant Grant
	owner instance.ID
}

func (c *Client) shard(name pool.Name) *clientShard {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.shards == nil {
		c.shards = map[pool.Name]*clientShard{}
	}
	s := c.shards[name]
	if s == nil {
		s = &clientShard{held: map[LeaseID]held{}, outbox: map[instance.ID][]*peer.Return{}, sending: map[instance.ID]bool{}}
		c.shards[name] = s
	}
	return s
}

// Acquire implements Allocator.
func (c *Client) Acquire(ctx context.Context, ticket Ticket) (Grant, error) {
	if _, ok := c.Capacity.PoolSpec(ticket.Pool); !ok {
		return Grant{}, &PoolUnavailableError{Pool: ticket.Pool, Reason: "does not exist"}
	}
	s := c.shard(ticket.Pool)
	result := make(chan delivery, 1)
	s.mu.Lock()
	s.number++
	id := TicketID{Entry: c.Self, Incarnation: c.Incarnation, Number: s.number}
	s.holder.wait(&waiter{
		id: id, team: ticket.Team, deadline: ticket.Deadline, since: c.Timer.Now(), avoid: ticket.AvoidTargets,
		deliver: func(grant Grant, err error) { result <- delivery{grant: grant, err: err} },
	}, c.Capacity.TeamWeight(ticket.Team))
	s.mu.Unlock()
	go c.ask(context.WithoutCancel(ctx), s, id, ticket)
	select {
	case d := <-result:
		return d.grant, d.err
	case <-ctx.Done():
		return c.abandon(s, id, ticket.Pool, result, ctx.Err())
	}
}

// abandon withdraws a request whose caller is gone.
func (c *Client) abandon(s *clientShard, id TicketID, name pool.Name, result <-chan delivery, cause error) (Grant, error) {
	s.mu.Lock()
	w := s.holder.waiting.remove(id)
	s.mu.Unlock()
	if w == nil {
		// It was served a moment ago; the slot goes to another request.
		if d := <-result; d.err == nil {
			c.Release(d.grant, ResultUnused)
		}
	} else {
		c.tell(s, name, c.owner(name), &peer.Return{Result: string(resultWithdrawn), Ticket: id.Number})
	}
	return Grant{}, &CanceledError{Pool: name, Cause: cause}
}

// owner returns the first live entry for a pool that has not failed a call lately.
func (c *Client) owner(name pool.Name) instance.ID {
	now := c.Timer.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, id := range c.Ranking.Order(string(name)) {
		if id == c.Self || now.After(c.suspects[id]) {
			return id
		}
	}
	return c.Self
}

func (c *Client) suspect(name pool.Name, id instance.ID, cause error) {
	c.mu.Lock()
	if c.suspects == nil {
		c.suspects = map[instance.ID]time.Time{}
	}
	now := c.Timer.Now()
	known := now.Before(c.suspects[id])
	c.suspects[id] = now.Add(suspicion)
	c.mu.Unlock()
	if !known {
		c.Events.Warn(eventFailed, "pool", name, "owner", id, "error", cause)
	}
}

// ask requests a slot from the owner, and from the next one when a call fails. It ends when the ticket
// is granted or refused, or no longer waits.
func (c *Client) ask(ctx context.Context, s *clientShard, id TicketID, ticket Ticket) {
	for {
		owner := c.owner(ticket.Pool)
		c.announce(s, ticket.Pool, owner, false)
		d := c.askOwner(ctx, owner, id, ticket)
		if d.err == nil {
			c.take(s, id, owner, d)
			return
		}
		refusal := refusalOf(d.err)
		if refusal != nil && !isWithdrawn(refusal) {
			c.refuse(s, id, refusal)
			return
		}
		if refusal == nil {
			c.suspect(ticket.Pool, owner, d.err)
		}
		if !c.waits(s, id) {
			return
		}
	}
}

// refusalOf returns the typed refusal of an owner, or nil if the call failed and another owner is
// asked.
func refusalOf(err error) error {
	var (
		full      *QueueFullError
		deadline  *DeadlineError
		missing   *PoolUnavailableError
		withdrawn *WithdrawnError
	)
	if errors.As(err, &full) || errors.As(err, &deadline) || errors.As(err, &missing) || errors.As(err, &withdrawn) {
		return err
	}
	return decodeError(err)
}

// isWithdrawn reports whether the ticket left the owner's queue without a decision. If its request
// still waits, the owner has forgotten this entry for a moment and is asked again.
func isWithdrawn(err error) bool {
	var withdrawn *WithdrawnError
	return errors.As(err, &withdrawn)
}

func (c *Client) waits(s *clientShard, id TicketID) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.holder.waiting.ids[id] != nil
}

func (c *Client) askOwner(ctx context.Context, owner instance.ID, id TicketID, ticket Ticket) delivery {
	if owner == c.Self {
		return <-c.Local.acquire(id, ticket)
	}
	address, ok := c.Ranking.Address(owner)
	if !ok {
		return delivery{err: &OwnerAddressError{Pool: ticket.Pool, Owner: owner}}
	}
	now := c.Timer.Now()
	left := ticket.Deadline.Sub(now)
	ctx, cancel := c.Timer.WithTimeout(ctx, left+expiryMargin)
	defer cancel()
	request := &peer.Ticket{
		Entry: string(id.Entry), Incarnation: uint64(id.Incarnation), Number: id.Number,
		Pool: string(ticket.Pool), Team: string(ticket.Team), Left: left.Microseconds(),
	}
	for _, target := range ticket.AvoidTargets {
		request.Avoid = append(request.Avoid, string(target))
	}
	grant, err := c.Peers.Get(address).Acquire(ctx, request)
	if err != nil {
		return delivery{err: err}
	}
	d := delivery{grant: Grant{LeaseID: LeaseID(grant.GetLease()), Pool: ticket.Pool, Target: instance.ID(grant.GetTarget())}}
	if grant.GetHead() > 0 {
		d.head = c.Timer.Now().Add(time.Duration(grant.GetHead()) * time.Microsecond)
	}
	return d
}

// take hands a new lease to a waiting request, or returns it if none waits.
func (c *Client) take(s *clientShard, id TicketID, owner instance.ID, d delivery) {
	s.mu.Lock()
	s.holder.observe(c.Timer.Now(), d.head)
	w := s.holder.granted(id, d.grant.LeaseID)
	if w != nil {
		s.held[d.grant.LeaseID] = held{grant: d.grant, owner: owner}
		s.settled = false
	}
	s.mu.Unlock()
	if w == nil {
		c.tell(s, d.grant.Pool, owner, &peer.Return{Lease: string(d.grant.LeaseID), Result: string(ResultUnused)})
		return
	}
	if w.id != id {
		c.tell(s, d.grant.Pool, owner, &peer.Return{Result: string(resultWithdrawn), Ticket: w.id.Number})
	}
	w.deliver(d.grant, nil)
}

func (c *Client) refuse(s *clientShard, id TicketID, err error) {
	s.mu.Lock()
	w := s.holder.waiting.remove(id)
	s.mu.Unlock()
	if w != nil {
		w.deliver(Grant{}, err)
	}
}

// Release implements Allocator.
func (c *Client) Release(grant Grant, result Result) {
	s := c.shard(grant.Pool)
	s.mu.Lock()
	h, known := s.held[grant.LeaseID]
	if !known {
		s.mu.Unlock()
		return
	}
	var next *waiter
	if result == ResultCompleted {
		next = s.holder.next(c.Timer.Now(), grant.LeaseID)
	}
	if next == nil {
		s.holder.drop(grant.LeaseID)
		delete(s.held, grant.LeaseID)
	}
	s.mu.Unlock()
	if next == nil {
		c.tell(s, grant.Pool, h.owner, &peer.Return{Lease: string(grant.LeaseID), Result: string(result)})
		return
	}
	c.tell(s, grant.Pool, h.owner, &peer.Return{Lease: string(grant.LeaseID), Result: string(resultReused), Ticket: next.id.Number})
	next.deliver(grant, nil)
}

// tell queues a message to an owner and sends it unless another one is in flight, in which case it
// goes with the next.
func (c *Client) tell(s *clientShard, name pool.Name, owner instance.ID, message *peer.Return) {
	if owner == c.Self {
		c.Local.release(name, c.Self, c.Incarnation, []*peer.Return{message})
		return
	}
	s.mu.Lock()
	s.outbox[owner] = append(s.outbox[owner], message)
	start := !s.sending[owner]
	s.sending[owner] = true
	s.mu.Unlock()
	if start {
		go c.flush(s, name, owner)
	}
}

func (c *Client) flush(s *clientShard, name pool.Name, owner instance.ID) {
	for {
		s.mu.Lock()
		batch := s.outbox[owner]
		delete(s.outbox, owner)
		if len(batch) == 0 {
			delete(s.sending, owner)
			s.mu.Unlock()
			return
		}
		s.mu.Unlock()
		if err := c.send(owner, &peer.Returns{Pool: string(name), Returns: batch}); err != nil {
			c.suspect(name, owner, err)
			c.Events.Debug(eventDropped, "pool", name, "owner", owner, "messages", len(batch))
		}
	}
}

func (c *Client) send(owner instance.ID, returns *peer.Returns) error {
	address, ok := c.Ranking.Address(owner)
	if !ok {
		return nil
	}
	// A release outlives the request that held the slot, so it has no context of a caller.
	ctx, cancel := c.Timer.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	returns.Entry, returns.Incarnation = string(c.Self), uint64(c.Incarnation)
	_, err := c.Peers.Get(address).Release(ctx, returns)
	return err
}

// announce tells an owner which slots of a pool this entry holds: when the owner is new, before the
// first ticket, and periodically.
func (c *Client) announce(s *clientShard, name pool.Name, owner instance.ID, periodic bool) {
	s.mu.Lock()
	fresh := s.announced != owner
	s.announced = owner
	s.settled = periodic && len(s.held) == 0
	if !fresh && !periodic || len(s.held) == 0 && fresh && !periodic {
		s.mu.Unlock()
		return
	}
	grants := make([]*peer.Grant, 0, len(s.held))
	for lease, h := range s.held {
		grants = append(grants, &peer.Grant{Lease: string(lease), Target: string(h.grant.Target)})
	}
	s.mu.Unlock()
	if owner == c.Self {
		c.Local.adopt(name, c.Self, grants)
		return
	}
	if err := c.send(owner, &peer.Returns{Pool: string(name), Held: grants, Complete: true}); err != nil {
		c.suspect(name, owner, err)
	}
}

// Run announces held slots until ctx ends.
func (c *Client) Run(ctx context.Context) error {
	tick := c.Timer.Every(announcePeriod)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C():
		}
		c.mu.Lock()
		shards := make(map[pool.Name]*clientShard, len(c.shards))
		for name, s := range c.shards {
			shards[name] = s
		}
		c.mu.Unlock()
		for name, s := range shards {
			if c.active(s) {
				c.announce(s, name, c.owner(name), true)
			}
		}
	}
}

// active reports whether an owner may still count slots of this entry. Announcements go on until one
// says that nothing is held, so that a lost release is found out.
func (c *Client) active(s *clientShard) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.held) > 0 || !s.settled
}

// WaitingRequests returns the number of requests of this entry that wait for a slot of a pool.
func (c *Client) WaitingRequests(name pool.Name) int {
	s := c.shard(name)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.holder.waiting.size()
}
