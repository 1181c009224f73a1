package slot

import (
	"slices"
	"strconv"
	"time"

	"hibiscuslane.example/hibiscuslane/instance"
	"hibiscuslane.example/hibiscuslane/pool"
)

const (
	// holdTimeSmoothing is the weight of a new sample in the moving average of hold times.
	holdTimeSmoothing = 0.05
	// initialHoldTime is assumed until the first request has finished.
	initialHoldTime = 100 * time.Millisecond
	// reportGrace is the age from which a lease must appear in the reports of its holder. It allows for
	// two report periods and a grant in flight.
	reportGrace = 2500 * time.Millisecond
)

// Owner allocates the slots of one pool. It is not safe for concurrent use, and its methods take the
// current time as an argument.
type Owner struct {
	Pool pool.Name
	// Incarnation is that of the owning entry. Lease ids start with it, so that they differ from those of
	// former owners.
	Incarnation instance.Incarnation
	// MaxQueued is the maximum number of waiting requests.
	MaxQueued int

	targets    []*targetLoad
	loads      map[instance.ID]*targetLoad
	leases     map[LeaseID]*lease
	queue      fairQueue
	leaseCount uint64
	// meanHoldSeconds is the moving average of the time that a lease is held; 0 before the first
	// sample.
	meanHoldSeconds float64
	// rotation is the offset at which pickTarget starts. It advances with each grant, so that equally loaded targets take
	// turns.
	rotation int
}

// targetLoad tracks the slots in use on one target.
type targetLoad struct {
	id    instance.ID
	slots int
	// leased counts the leases on the target, including inherited ones.
	leased int
	// usable is false if the target was removed from the pool; its leases stay until their release.
	usable bool
	// blockedUntil is set when the target refuses a request because it is full. No slot of it is
	// granted until then.
	blockedUntil time.Time
}

type lease struct {
	target *targetLoad
	holder instance.ID
	// incarnation is that of the holder; zero if the report that named an inherited lease did not name it.
	incarnation instance.Incarnation
	grantedAt   time.Time
	// inherited marks a lease that a former owner granted and that its holder has reported.
	inherited bool
}

// AcquireRequest is the request of an entry to an owner for a slot.
type AcquireRequest struct {
	ID     TicketID
	Ticket Ticket
	// Weight is the weight of the team in fair queueing.
	Weight int
	// Deliver is called once, with the grant or an error. It must not block.
	Deliver func(Grant, error)
}

// SetTargets replaces the usable targets of the pool, each of which has the given number of slots.
func (o *Owner) SetTargets(now time.Time, usable []instance.ID, slots int) {
	if o.loads == nil {
		o.loads = map[instance.ID]*targetLoad{}
		o.leases = map[LeaseID]*lease{}
	}
	for _, t := range o.loads {
		t.usable = false
	}
	o.targets = o.targets[:0]
	for _, id := range usable {
		t := o.loads[id]
		if t == nil {
			t = &targetLoad{id: id}
			o.loads[id] = t
		}
		t.usable, t.slots = true, slots
		o.targets = append(o.targets, t)
	}
	for id, t := range o.loads {
		if !t.usable && t.leased == 0 {
			delete(o.loads, id)
		}
	}
	o.assignFreeSlots(now)
}

// Acquire grants a slot, queues the request, or refuses it. A queued request with the same id is withdrawn first.
func (o *Owner) Acquire(now time.Time, r AcquireRequest) {
	o.Withdraw(r.ID)
	if err := o.checkAdmission(now, r); err != nil {
		r.Deliver(Grant{}, err)
		return
	}
	o.queue.push(&waiter{
		id: r.ID, team: r.Ticket.Team, deadline: r.Ticket.Deadline, avoidTargets: r.Ticket.AvoidTargets, deliver: r.Deliver,
	}, r.Weight)
	o.assignFreeSlots(now)
}

// checkAdmission returns an error if the request cannot be queued or is not expected to get a slot
// before its deadline. If the pool has a usable target and the queue is empty, it admits every request
// whose deadline has not passed.
func (o *Owner) checkAdmission(now time.Time, r AcquireRequest) error {
	if len(o.targets) == 0 {
		return &PoolUnavailableError{Pool: o.Pool, Reason: "has no usable target"}
	}
	timeLeft := r.Ticket.Deadline.Sub(now)
	if o.queue.size() == 0 && timeLeft > 0 {
		return nil
	}
	wait := o.estimateWait(o.queue.estimateAhead(r.Ticket.Team, r.Weight, r.Ticket.Deadline))
	if o.queue.size() >= o.MaxQueued {
		return &QueueFullError{Pool: o.Pool, Limit: o.MaxQueued, ExpectedWait: wait}
	}
	if wait >= timeLeft {
		return &DeadlineError{Pool: o.Pool, ExpectedWait: wait, TimeLeft: timeLeft}
	}
	return nil
}

// estimateWait returns the expected wait of a request behind the given number of others.
func (o *Owner) estimateWait(ahead int) time.Duration {
	slots := 0
	for _, t := range o.targets {
		slots += t.slots
	}
	return time.Duration(float64(o.MeanHoldTime()) * float64(ahead+1) / float64(max(slots, 1)))
}

// MeanHoldTime returns the moving average of the time that a slot is held.
func (o *Owner) MeanHoldTime() time.Duration {
	if o.meanHoldSeconds == 0 {
		return initialHoldTime
	}
	return time.Duration(o.meanHoldSeconds * float64(time.Second))
}

// Withdraw removes a request from the queue. It has no effect on a request that was already granted a
// slot.
func (o *Owner) Withdraw(id TicketID) {
	if w := o.queue.remove(id); w != nil {
		w.deliver(Grant{}, &WithdrawnError{Pool: o.Pool})
	}
}

// TransferLease records that the holder of a lease uses it for another of its requests, and removes
// that request from the queue.
func (o *Owner) TransferLease(now time.Time, id LeaseID, ticket TicketID) {
	if l := o.leases[id]; l != nil {
		o.recordHoldTime(now.Sub(l.grantedAt))
		l.grantedAt = now
	}
	o.Withdraw(ticket)
}

// EarliestDeadline returns the earliest deadline in the queue. It returns false if the queue is empty.
func (o *Owner) EarliestDeadline() (deadline time.Time, ok bool) { return o.queue.earliestDeadline() }

// Release ends a lease and grants its slot to the next request. An unknown lease is ignored.
func (o *Owner) Release(now time.Time, id LeaseID, result Result) {
	l := o.leases[id]
	if l == nil {
		return
	}
	o.removeLease(id, l)
	switch result {
	case ResultCompleted, ResultUnknown:
		o.recordHoldTime(now.Sub(l.grantedAt))
	case ResultTargetFull:
		// Requests that this owner did not grant occupy slots of the target. With n slots, the next
		// one becomes free after an n-th of the mean hold time on average.
		l.target.blockedUntil = now.Add(o.MeanHoldTime() / time.Duration(max(l.target.slots, 1)))
	case ResultUnused, ResultUnreachable, resultTransferred, resultWithdrawn:
	}
	o.assignFreeSlots(now)
}

func (o *Owner) removeLease(id LeaseID, l *lease) {
	delete(o.leases, id)
	l.target.leased--
	if !l.target.usable && l.target.leased == 0 {
		delete(o.loads, l.target.id)
	}
}

func (o *Owner) recordHoldTime(held time.Duration) {
	if o.meanHoldSeconds == 0 {
		o.meanHoldSeconds = held.Seconds()
		return
	}
	o.meanHoldSeconds += holdTimeSmoothing * (held.Seconds() - o.meanHoldSeconds)
}

// ReconcileLeases brings the leases of a holder in line with its report. It adds leases that a former
// owner granted, and removes leases that the holder does not have because a grant or a release was
// lost in transit. An inherited lease has been in an earlier report, so it needs no reportGrace.
func (o *Owner) ReconcileLeases(now time.Time, holder instance.ID, incarnation instance.Incarnation, held []Grant) {
	reported := make(map[LeaseID]bool, len(held))
	for _, grant := range held {
		if grant.Pool != o.Pool {
			continue
		}
		reported[grant.LeaseID] = true
		target := o.loads[grant.Target]
		if o.leases[grant.LeaseID] == nil && target != nil && !o.isOwnLease(grant.LeaseID) {
			o.leases[grant.LeaseID] = &lease{target: target, holder: holder, incarnation: incarnation, grantedAt: now, inherited: true}
			target.leased++
		}
	}
	for id, l := range o.leases {
		if l.holder == holder && !reported[id] && (l.inherited || now.Sub(l.grantedAt) > reportGrace) {
			o.removeLease(id, l)
		}
	}
	o.assignFreeSlots(now)
}

// isOwnLease reports whether this owner granted the lease. If the holder reports such a lease and it is
// not in leases, it was released after the report was built.
func (o *Owner) isOwnLease(id LeaseID) bool {
	prefix := o.leasePrefix()
	return len(id) > len(prefix) && string(id[:len(prefix)]) == prefix
}

func (o *Owner) leasePrefix() string {
	return strconv.FormatUint(uint64(o.Incarnation), 36) + "-"
}

// RemoveEntry removes the leases and the waiting requests of an entry that has died. If a target still
// executes a request of the entry, it may refuse a request that is granted the slot; see
// ResultTargetFull in Release.
func (o *Owner) RemoveEntry(now time.Time, holder instance.ID) {
	for id, l := range o.leases {
		if l.holder == holder {
			o.removeLease(id, l)
		}
	}
	for id := range o.queue.byID {
		if id.Entry == holder {
			o.Withdraw(id)
		}
	}
	o.assignFreeSlots(now)
}

// RemoveEarlierIncarnations removes the leases of incarnations of an entry other than the current one, which reports only the pools
// that it has requests for. Leases that are younger than reportGrace may be those of an incarnation that is not known yet.
func (o *Owner) RemoveEarlierIncarnations(now time.Time, holder instance.ID, current instance.Incarnation) {
	for id, l := range o.leases {
		if l.holder == holder && l.incarnation != 0 && l.incarnation != current && now.Sub(l.grantedAt) > reportGrace {
			o.removeLease(id, l)
		}
	}
	o.assignFreeSlots(now)
}

// ExpireAndAssign fails the waiting requests whose deadline has passed and grants the slots of targets
// that are no longer blocked. It is called periodically.
func (o *Owner) ExpireAndAssign(now time.Time) {
	for _, w := range o.queue.byID {
		if !w.deadline.After(now) {
			o.queue.remove(w.id)
			w.deliver(Grant{}, &DeadlineError{Pool: o.Pool, ExpectedWait: o.estimateWait(o.queue.size())})
		}
	}
	o.assignFreeSlots(now)
}

// assignFreeSlots grants free slots in the order of the queue.
func (o *Owner) assignFreeSlots(now time.Time) {
	for o.queue.size() > 0 && o.pickTarget(now, nil) != nil {
		w := o.queue.pop()
		if !w.deadline.After(now) {
			w.deliver(Grant{}, &DeadlineError{Pool: o.Pool, ExpectedWait: o.estimateWait(o.queue.size())})
			continue
		}
		target := o.pickTarget(now, w.avoidTargets)
		if target == nil {
			target = o.pickTarget(now, nil)
		}
		w.deliver(o.grantSlot(now, target, w.id), nil)
	}
}

func (o *Owner) grantSlot(now time.Time, target *targetLoad, ticket TicketID) Grant {
	o.leaseCount++
	o.rotation++
	id := LeaseID(o.leasePrefix() + strconv.FormatUint(o.leaseCount, 36))
	o.leases[id] = &lease{target: target, holder: ticket.Entry, incarnation: ticket.Incarnation, grantedAt: now}
	target.leased++
	return Grant{LeaseID: id, Pool: o.Pool, Target: target.id}
}

// pickTarget returns the usable target with the most free slots that is neither blocked nor in avoid, or
// nil if there is none.
func (o *Owner) pickTarget(now time.Time, avoid []instance.ID) *targetLoad {
	var best *targetLoad
	for i := range o.targets {
		t := o.targets[(i+o.rotation)%len(o.targets)]
		if t.leased >= t.slots || t.blockedUntil.After(now) || slices.Contains(avoid, t.id) {
			continue
		}
		if best == nil || t.slots-t.leased > best.slots-best.leased {
			best = t
		}
	}
	return best
}

// WaitingRequests returns the number of requests in the queue.
func (o *Owner) WaitingRequests() int { return o.queue.size() }

// LeasedSlots returns the number of leased slots.
func (o *Owner) LeasedSlots() int { return len(o.leases) }

// activeEntries returns the entries that hold leases or have waiting requests.
func (o *Owner) activeEntries() []instance.ID {
	seen := map[instance.ID]bool{}
	for _, l := range o.leases {
		seen[l.holder] = true
	}
	for id := range o.queue.byID {
		seen[id.Entry] = true
	}
	entries := make([]instance.ID, 0, len(seen))
	for id := range seen {
		entries = append(entries, id)
	}
	return entries
}
