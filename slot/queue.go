package slot

import (
	"cmp"
	"container/heap"
	"math"
	"time"

	"hibiscuslane.example/hibiscuslane/instance"
	"hibiscuslane.example/hibiscuslane/team"
)

// TicketID identifies a waiting request across all entries.
type TicketID struct {
	Entry       instance.ID
	Incarnation instance.Incarnation
	Number      uint64
}

// waiter is a request that waits for a slot.
type waiter struct {
	id       TicketID
	team     team.Name
	deadline time.Time
	// waitingSince is the time at which the request began to wait. It is set in the queue of a
	// localScheduler only.
	waitingSince time.Time
	avoidTargets []instance.ID
	// deliver receives the grant, or the error if there is none. It is called at most once: never if
	// Client.cancelRequest has removed the request. It must not block, because it may be called under the lock of the owner.
	deliver func(Grant, error)
	// heapIndex is the position in the heap of the team; -1 after removal.
	heapIndex int
}

// teamQueue is the heap of the waiting requests of one team, ordered by deadline.
type teamQueue struct {
	waiters []*waiter
	weight  float64
	// virtualFinish is the virtual time at which the last grant to the team ends, as defined by
	// weighted fair queueing. It never decreases.
	virtualFinish float64
}

func (t *teamQueue) Len() int           { return len(t.waiters) }
func (t *teamQueue) Less(i, j int) bool { return t.waiters[i].deadline.Before(t.waiters[j].deadline) }

func (t *teamQueue) Swap(i, j int) {
	t.waiters[i], t.waiters[j] = t.waiters[j], t.waiters[i]
	t.waiters[i].heapIndex, t.waiters[j].heapIndex = i, j
}

// Push implements heap.Interface.
func (t *teamQueue) Push(x any) {
	w := x.(*waiter)
	w.heapIndex = len(t.waiters)
	t.waiters = append(t.waiters, w)
}

// Pop implements heap.Interface.
func (t *teamQueue) Pop() any {
	last := len(t.waiters) - 1
	w := t.waiters[last]
	t.waiters[last] = nil
	t.waiters = t.waiters[:last]
	w.heapIndex = -1
	return w
}

// fairQueue orders waiting requests by weighted fair queueing between teams and by deadline within a
// team. The zero value is an empty queue.
type fairQueue struct {
	teams map[team.Name]*teamQueue
	byID  map[TicketID]*waiter
	// virtualTime is the virtual start time of the last grant. It never decreases while requests wait.
	virtualTime float64
}

func (q *fairQueue) size() int { return len(q.byID) }

// push adds a request. The weight applies to all requests of its team.
func (q *fairQueue) push(w *waiter, weight int) {
	if q.teams == nil {
		q.teams = map[team.Name]*teamQueue{}
		q.byID = map[TicketID]*waiter{}
	}
	t := q.teams[w.team]
	if t == nil {
		t = &teamQueue{}
		q.teams[w.team] = t
	}
	t.weight = float64(max(weight, 1))
	if t.Len() == 0 {
		// A team gets no credit for the time in which it was idle.
		t.virtualFinish = max(t.virtualFinish, q.virtualTime)
	}
	heap.Push(t, w)
	q.byID[w.id] = w
}

// pop removes and returns the next request, or returns nil if the queue is empty.
func (q *fairQueue) pop() *waiter {
	t := q.nextTeam()
	if t == nil {
		return nil
	}
	w := heap.Pop(t).(*waiter)
	delete(q.byID, w.id)
	q.virtualTime = t.virtualFinish
	t.virtualFinish += 1 / t.weight
	q.removeIdleTeam(w.team, t)
	return w
}

// nextTeam returns the queue of the team with the lowest virtual finish time, or nil if no request
// waits. Ties go to the earlier deadline and then to the lower name, so that the result does not depend
// on the iteration order of the map.
func (q *fairQueue) nextTeam() *teamQueue {
	var best *teamQueue
	var bestName team.Name
	for name, t := range q.teams {
		if t.Len() > 0 && (best == nil || t.isBefore(best, name, bestName)) {
			best, bestName = t, name
		}
	}
	return best
}

func (t *teamQueue) isBefore(other *teamQueue, name, otherName team.Name) bool {
	return cmp.Or(
		cmp.Compare(t.virtualFinish, other.virtualFinish),
		t.waiters[0].deadline.Compare(other.waiters[0].deadline),
		cmp.Compare(name, otherName),
	) < 0
}

// removeIdleTeam removes a team that has no waiting request and has not used more than its share. When
// the whole queue is empty, it resets the virtual time.
func (q *fairQueue) removeIdleTeam(name team.Name, t *teamQueue) {
	if t.Len() == 0 && t.virtualFinish <= q.virtualTime {
		delete(q.teams, name)
	}
	if len(q.byID) == 0 {
		q.teams, q.virtualTime = nil, 0
	}
}

// remove removes and returns the request with the given id, or returns nil if it is not in the queue.
func (q *fairQueue) remove(id TicketID) *waiter {
	w := q.byID[id]
	if w == nil {
		return nil
	}
	t := q.teams[w.team]
	heap.Remove(t, w.heapIndex)
	delete(q.byID, id)
	q.removeIdleTeam(w.team, t)
	return w
}

// estimateAhead estimates how many queued requests are granted a slot before a new request of the team
// with the given deadline. It assumes that the teams with waiting requests get grants in proportion to
// their weights.
func (q *fairQueue) estimateAhead(name team.Name, weight int, deadline time.Time) int {
	earlier, activeWeight := 0, float64(max(weight, 1))
	for other, t := range q.teams {
		if t.Len() == 0 {
			continue
		}
		if other != name {
			activeWeight += t.weight
			continue
		}
		for _, w := range t.waiters {
			if !w.deadline.After(deadline) {
				earlier++
			}
		}
	}
	share := float64(max(weight, 1)) / activeWeight
	return min(int(math.Ceil(float64(earlier+1)/share))-1, q.size())
}

// earliestDeadline returns the earliest deadline in the queue. It returns false if the queue is empty.
func (q *fairQueue) earliestDeadline() (deadline time.Time, ok bool) {
	for _, t := range q.teams {
		if t.Len() > 0 && (!ok || t.waiters[0].deadline.Before(deadline)) {
			deadline, ok = t.waiters[0].deadline, true
		}
	}
	return deadline, ok
}
