package slot

import (
	"time"
)

const (
	// maxLeaseReuses is the number of times that an entry may reuse a lease for its own requests. Each
	// reuse saves a round trip to the owner during which the slot would be idle. The limit returns the
	// slot to the queue of the owner, which is shared by all entries. See docs/slots.md for
	// measurements.
	maxLeaseReuses = 4
	// reuseTolerance is how much later the deadline of a request may be than the earliest one in the
	// owner's queue for the request to reuse a lease of its entry. If that queue was empty, it is how long
	// after the last grant the request may have begun to wait.
	reuseTolerance = 10 * time.Millisecond
)

// localScheduler decides which waiting request of one entry uses a slot of a pool that the entry holds.
// It is not safe for concurrent use, and its methods take the current time as an argument.
type localScheduler struct {
	waiting fairQueue
	// reuses counts the reuses of each held lease since its grant.
	reuses map[LeaseID]int
	// ownerDeadline is the earliest deadline in the owner's queue as of ownerDeadlineAt, the time at which
	// the last grant arrived; zero if the queue was empty.
	ownerDeadline   time.Time
	ownerDeadlineAt time.Time
}

func (s *localScheduler) enqueue(w *waiter, weight int) {
	s.waiting.push(w, weight)
}

// assignLease returns the request that uses a new lease: the one whose ticket was granted or, if that
// one no longer waits because it got a reused lease or was cancelled, the next in the queue. It returns
// nil if no request waits.
func (s *localScheduler) assignLease(id TicketID, lease LeaseID) *waiter {
	w := s.waiting.remove(id)
	if w == nil {
		w = s.waiting.pop()
	}
	if w != nil {
		if s.reuses == nil {
			s.reuses = map[LeaseID]int{}
		}
		s.reuses[lease] = 0
	}
	return w
}

// recordOwnerDeadline records the earliest deadline in the owner's queue; zero if the queue is empty.
func (s *localScheduler) recordOwnerDeadline(now, earliest time.Time) {
	s.ownerDeadline, s.ownerDeadlineAt = earliest, now
}

// reuseLease returns the waiting request that takes over a lease whose request has ended, or nil if the
// lease must be returned to the owner.
func (s *localScheduler) reuseLease(now time.Time, lease LeaseID) *waiter {
	reuses, held := s.reuses[lease]
	if !held {
		return nil
	}
	if reuses >= maxLeaseReuses || !s.keepsDeadlineOrder(now) {
		delete(s.reuses, lease)
		return nil
	}
	s.reuses[lease] = reuses + 1
	return s.waiting.pop()
}

// removeLease removes a lease that is returned to the owner.
func (s *localScheduler) removeLease(lease LeaseID) {
	delete(s.reuses, lease)
}

// keepsDeadlineOrder reports whether the next waiting request of the entry is due no later than the
// earliest request in the owner's queue, apart from reuseTolerance. It assumes a steady queue, whose
// earliest deadline advances as fast as time.
func (s *localScheduler) keepsDeadlineOrder(now time.Time) bool {
	next := s.waiting.nextTeam()
	if next == nil {
		return false
	}
	if s.ownerDeadline.IsZero() {
		// The owner's queue was empty, so every request in it now arrived after ownerDeadlineAt.
		return !next.waiters[0].waitingSince.After(s.ownerDeadlineAt.Add(reuseTolerance))
	}
	expected := s.ownerDeadline.Add(now.Sub(s.ownerDeadlineAt))
	return !next.waiters[0].deadline.After(expected.Add(reuseTolerance))
}
