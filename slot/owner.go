package slot

import (
	"slices"
	"strconv"
	"time"

	"hibiscuslane.example/hibiscuslane/instance"
	"hibiscuslane.example/hibiscuslane/pool"
)

const (
	// smoothing is the weight of a new service time in the average.
	smoothing = 0.05
	// initialService is assumed before any request has finished.
	initialService = 100 * time.Millisecond
	// reportGrace is the age from which a lease must appear in the reports of its holder. It covers
	// two heartbeats and a grant in flight.
	reportGrace = 2500 * time.Millisecond
)

// Owner divides the slots of one pool. All methods take the time, and the caller serializes them.
type Owner struct {
	// Pool and Incarnation of the entry make lease ids unique.
	Pool        pool.Name
	Incarnation instance.Incarnation
	// Limit is the number of requests that may wait.
	MaxQueued int

	targets []*load
	byID    map[instance.ID]*load
	leases  map[LeaseID]*lease
	queue   queue
	number  uint64
	// service is the average time in seconds that a lease is held; 0 before the first.
	service float64
	// turn rotates the choice among equally loaded targets.
	turn int
}

// load is the use of one target's slots.
type load struct {
	id    instance.ID
	slots int
	// used counts the leases on the target, granted and adopted.
	used int
	// usable is false for a target that left; its leases stay until they are released.
	usable bool
	// blocked is the time until which the target gets nothing because it refused as full.
	blocked time.Time
}

type lease struct {
	target  *load
	holder  instance.ID
	granted time.Time
	// adopted marks a lease of a former owner, known from the report of its holder.
	adopted bool
}

// AcquireRequest asks an owner for a slot.
type AcquireRequest struct {
	ID     TicketID
	Ticket Ticket
	Weight int
	// Deliver receives the grant or an error exactly once. It must not block.
	Deliver func(Grant, error)
}

// SetTargets replaces the usable targets of the pool.
func (o *Owner) SetTargets(now time.Time, usable []instance.ID, slots int) {
	if o.byID == nil {
		o.byID = map[instance.ID]*load{}
		o.leases = map[LeaseID]*lease{}
	}
	for _, l := range o.byID {
		l.usable = false
	}
	o.targets = o.targets[:0]
	for _, id := range usable {
		l := o.byID[id]
		if l == nil {
			l = &load{id: id}
			o.byID[id] = l
		}
		l.usable, l.slots = true, slots
		o.targets = append(o.targets, l)
	}
	for id, l := range o.byID {
		if !l.usable && l.used == 0 {
			delete(o.byID, id)
		}
	}
	o.assign(now)
}

// Acquire grants a slot, queues the request, or refuses it. A repeated request replaces the one that
// waits under the same id.
func (o *Owner) Acquire(now time.Time, r AcquireRequest) {
	o.queue.remove(r.ID)
	if err := o.admit(now, r); err != nil {
		r.Deliver(Grant{}, err)
		return
	}
	o.queue.push(&waiter{
		id: r.ID, team: r.Ticket.Team, deadline: r.Ticket.Deadline, avoid: r.Ticket.AvoidTargets, deliver: r.Deliver,
	}, r.Weight)
	o.assign(now)
}

// admit refuses what cannot be served in time.
func (o *Owner) admit(now time.Time, r AcquireRequest) error {
	if len(o.targets) == 0 {
		return &PoolUnavailableError{Pool: o.Pool, Reason: "has no usable target"}
	}
	left := r.Ticket.Deadline.Sub(now)
	if o.queue.size() == 0 && left > 0 {
		return nil
	}
	wait := o.estimate(o.queue.ahead(r.Ticket.Team, r.Weight, r.Ticket.Deadline))
	if o.queue.size() >= o.MaxQueued {
		return &QueueFullError{Pool: o.Pool, Limit: o.MaxQueued, ExpectedWait: wait}
	}
	if wait >= left {
		return &DeadlineError{Pool: o.Pool, ExpectedWait: wait, TimeLeft: left}
	}
	return nil
}

// estimate returns the expected wait behind a number of requests.
func (o *Owner) estimate(ahead int) time.Duration {
	slots := 0
	for _, l := range o.targets {
		slots += l.slots
	}
	return time.Duration(float64(o.MeanHoldTime()) * float64(ahead+1) / float64(max(slots, 1)))
}

// MeanHoldTime returns the average time that a slot is held.
func (o *Owner) MeanHoldTime() time.Duration {
	if o.service == 0 {
		return initialService
	}
	return time.Duration(o.service * float64(time.Second))
}

// Withdraw removes a request that no longer waits. A request that was granted before is not affected.
func (o *Owner) Withdraw(id TicketID) {
	if w := o.queue.remove(id); w != nil {
		w.deliver(Grant{}, &WithdrawnError{Pool: o.Pool})
	}
}

// TransferLease passes a lease on to another request of its holder, which leaves the queue.
func (o *Owner) TransferLease(now time.Time, id LeaseID, ticket TicketID) {
	if l := o.leases[id]; l != nil {
		o.observe(now.Sub(l.granted))
		l.granted = now
	}
	o.Withdraw(ticket)
}

// EarliestDeadline returns the earliest deadline in the queue; ok is false if the queue is empty.
func (o *Owner) EarliestDeadline() (deadline time.Time, ok bool) { return o.queue.head() }

// Release returns a granted slot.
func (o *Owner) Release(now time.Time, id LeaseID, result Result) {
	l := o.leases[id]
	if l == nil {
		return
	}
	o.drop(id, l)
	switch result {
	case ResultCompleted, ResultUnknown:
		o.observe(now.Sub(l.granted))
	case ResultTargetFull:
		// Someone else uses slots of the target; the next one is expected free after a part of
		// the service time.
		l.target.blocked = now.Add(o.MeanHoldTime() / time.Duration(max(l.target.slots, 1)))
	case ResultUnused, ResultUnreachable, resultReused, resultWithdrawn:
	}
	o.assign(now)
}

func (o *Owner) drop(id LeaseID, l *lease) {
	delete(o.leases, id)
	l.target.used--
	if !l.target.usable && l.target.used == 0 {
		delete(o.byID, l.target.id)
	}
}

func (o *Owner) observe(held time.Duration) {
	if o.service == 0 {
		o.service = held.Seconds()
		return
	}
	o.service += smoothing * (held.Seconds() - o.service)
}

// ReconcileLeases reconciles the leases of a holder with its report. Leases of a former owner are counted, and
// leases that the holder no longer has are dropped: the answer to a grant, or a release, was lost.
func (o *Owner) ReconcileLeases(now time.Time, holder instance.ID, held []Grant) {
	reported := make(map[LeaseID]bool, len(held))
	for _, grant := range held {
		if grant.Pool != o.Pool {
			continue
		}
		reported[grant.LeaseID] = true
		target := o.byID[grant.Target]
		if o.leases[grant.LeaseID] == nil && target != nil && !o.own(grant.LeaseID) {
			o.leases[grant.LeaseID] = &lease{target: target, holder: holder, granted: now, adopted: true}
			target.used++
		}
	}
	for id, l := range o.leases {
		if l.holder == holder && !reported[id] && (l.adopted || now.Sub(l.granted) > reportGrace) {
			o.drop(id, l)
		}
	}
	o.assign(now)
}

// own reports whether a lease was granted by this owner. One that is reported but not known was
// released a moment ago.
func (o *Owner) own(id LeaseID) bool {
	prefix := o.prefix()
	return len(id) > len(prefix) && string(id[:len(prefix)]) == prefix
}

func (o *Owner) prefix() string {
	return strconv.FormatUint(uint64(o.Incarnation), 36) + "-"
}

// RemoveEntry drops the leases and the waiting requests of an entry that is gone. A request that it left
// on a target makes the target refuse at most once more.
func (o *Owner) RemoveEntry(now time.Time, holder instance.ID) {
	for id, l := range o.leases {
		if l.holder == holder {
			o.drop(id, l)
		}
	}
	for id := range o.queue.ids {
		if id.Entry == holder {
			o.Withdraw(id)
		}
	}
	o.assign(now)
}

// ExpireAndAssign expires waiting requests and grants slots of targets that are no longer blocked.
func (o *Owner) ExpireAndAssign(now time.Time) {
	for _, w := range o.queue.ids {
		if !w.deadline.After(now) {
			o.queue.remove(w.id)
			w.deliver(Grant{}, &DeadlineError{Pool: o.Pool, ExpectedWait: o.estimate(o.queue.size())})
		}
	}
	o.assign(now)
}

// assign grants free slots in the order of the queue.
func (o *Owner) assign(now time.Time) {
	for o.queue.size() > 0 && o.pick(now, nil) != nil {
		w := o.queue.pop()
		if !w.deadline.After(now) {
			w.deliver(Grant{}, &DeadlineError{Pool: o.Pool, ExpectedWait: o.estimate(o.queue.size())})
			continue
		}
		target := o.pick(now, w.avoid)
		if target == nil {
			target = o.pick(now, nil)
		}
		w.deliver(o.grant(now, target, w.id.Entry), nil)
	}
}

func (o *Owner) grant(now time.Time, target *load, holder instance.ID) Grant {
	o.number++
	id := LeaseID(o.prefix() + strconv.FormatUint(o.number, 36))
	o.leases[id] = &lease{target: target, holder: holder, granted: now}
	target.used++
	return Grant{LeaseID: id, Pool: o.Pool, Target: target.id}
}

// pick returns the usable target with the most free slots, or nil.
func (o *Owner) pick(now time.Time, avoid []instance.ID) *load {
	var best *load
	for i := range o.targets {
		l := o.targets[(i+o.turn)%len(o.targets)]
		if l.used >= l.slots || l.blocked.After(now) || slices.Contains(avoid, l.id) {
			continue
		}
		if best == nil || l.slots-l.used > best.slots-best.used {
			best = l
		}
	}
	o.turn++
	return best
}

// WaitingRequests returns the number of queued requests.
func (o *Owner) WaitingRequests() int { return o.queue.size() }

// LeasedSlots returns the number of leased slots.
func (o *Owner) LeasedSlots() int { return len(o.leases) }

// holders returns the entries that hold leases or wait.
func (o *Owner) holders() []instance.ID {
	seen := map[instance.ID]bool{}
	for _, l := range o.leases {
		seen[l.holder] = true
	}
	for id := range o.queue.ids {
		seen[id.Entry] = true
	}
	list := make([]instance.ID, 0, len(seen))
	for id := range seen {
		list = append(list, id)
	}
	return list
}
