package slot

import (
	"time"
)

const (
	// reuseLimit is the number of times in a row that a holder passes a lease on to its own requests.
	// Each pass saves the round trip to the owner during which the slot would be idle; the limit
	// returns slots to the common order. See docs/slots.md for the measurement.
	reuseLimit = 4
	// reuseTolerance is how much later than the owner's queue head a request may be and still get the
	// slot of its holder.
	reuseTolerance = 10 * time.Millisecond
)

// holder decides for one entry and one pool which of its waiting requests uses a slot that the entry
// holds. All methods take the time, and the caller serializes them.
type holder struct {
	waiting queue
	// uses counts the passes of each held lease since its grant.
	uses map[LeaseID]int
	// head is the earliest deadline in the owner's queue as of headAt; zero if the queue was empty.
	head   time.Time
	headAt time.Time
}

func (h *holder) wait(w *waiter, weight int) {
	h.waiting.push(w, weight)
}

// granted returns the request that gets a new lease: the one whose ticket was granted or, if that one
// was served by a passed-on lease meanwhile, the next in order. It returns nil if nothing waits.
func (h *holder) granted(id TicketID, lease LeaseID) *waiter {
	w := h.waiting.remove(id)
	if w == nil {
		w = h.waiting.pop()
	}
	if w != nil {
		if h.uses == nil {
			h.uses = map[LeaseID]int{}
		}
		h.uses[lease] = 0
	}
	return w
}

// observe records the head of the owner's queue.
func (h *holder) observe(now, head time.Time) {
	h.head, h.headAt = head, now
}

// next returns the request that takes over a lease whose request has ended, or nil if the lease goes
// back to the owner.
func (h *holder) next(now time.Time, lease LeaseID) *waiter {
	uses, held := h.uses[lease]
	if !held {
		return nil
	}
	if uses >= reuseLimit || !h.inOrder(now) {
		delete(h.uses, lease)
		return nil
	}
	h.uses[lease] = uses + 1
	return h.waiting.pop()
}

// drop forgets a lease that goes back to the owner without being passed on.
func (h *holder) drop(lease LeaseID) {
	delete(h.uses, lease)
}

// inOrder reports whether the next waiting request is due no later than the head of the owner's
// queue. In a steady queue the head's deadline moves on as fast as time does.
func (h *holder) inOrder(now time.Time) bool {
	line := h.waiting.first()
	if line == nil {
		return false
	}
	if h.head.IsZero() {
		// All that waits at the owner arrived after its queue was empty.
		return !line.waiters[0].since.After(h.headAt.Add(reuseTolerance))
	}
	expected := h.head.Add(now.Sub(h.headAt))
	return !line.waiters[0].deadline.After(expected.Add(reuseTolerance))
}
