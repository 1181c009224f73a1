package slot

import (
	"cmp"
	"container/heap"
	"math"
	"time"

	"hibiscuslane.example/hibiscuslane/instance"
	"hibiscuslane.example/hibiscuslane/team"
)

// TicketID identifies a waiting request among all entries.
type TicketID struct {
	Entry       instance.ID
	Incarnation instance.Incarnation
	Number      uint64
}

// waiter is a request in the queue.
type waiter struct {
	id       TicketID
	team     team.Name
	deadline time.Time
	// since is the time at which the request began to wait; set by the entry of its caller only.
	since time.Time
	avoid []instance.ID
	// deliver receives the grant or the reason why there is none; it is called exactly once, outside
	// of any I/O, and must not block.
	deliver func(Grant, error)
	// index is the position in the heap of the team; -1 once removed.
	index int
}

// line holds the waiting requests of one team, the earliest deadline first.
type line struct {
	waiters []*waiter
	weight  float64
	// finish is the virtual time at which the team has used what it was granted. It never decreases.
	finish float64
}

func (l *line) Len() int           { return len(l.waiters) }
func (l *line) Less(i, j int) bool { return l.waiters[i].deadline.Before(l.waiters[j].deadline) }

func (l *line) Swap(i, j int) {
	l.waiters[i], l.waiters[j] = l.waiters[j], l.waiters[i]
	l.waiters[i].index, l.waiters[j].index = i, j
}

// Push implements heap.Interface.
func (l *line) Push(x any) {
	w := x.(*waiter)
	w.index = len(l.waiters)
	l.waiters = append(l.waiters, w)
}

// Pop implements heap.Interface.
func (l *line) Pop() any {
	last := len(l.waiters) - 1
	w := l.waiters[last]
	l.waiters[last] = nil
	l.waiters = l.waiters[:last]
	w.index = -1
	return w
}

// queue orders waiting requests by deadline within a team and by weighted fair queueing between
// teams. The zero value is an empty queue.
type queue struct {
	lines map[team.Name]*line
	ids   map[TicketID]*waiter
	// virtual is the virtual start time of the last grant. It never decreases.
	virtual float64
}

func (q *queue) size() int { return len(q.ids) }

func (q *queue) push(w *waiter, weight int) {
	if q.lines == nil {
		q.lines = map[team.Name]*line{}
		q.ids = map[TicketID]*waiter{}
	}
	l := q.lines[w.team]
	if l == nil {
		l = &line{}
		q.lines[w.team] = l
	}
	l.weight = float64(max(weight, 1))
	if l.Len() == 0 {
		// A team that was idle does not save up a claim on the past.
		l.finish = max(l.finish, q.virtual)
	}
	heap.Push(l, w)
	q.ids[w.id] = w
}

// pop removes the request that is next in order.
func (q *queue) pop() *waiter {
	l := q.first()
	if l == nil {
		return nil
	}
	w := heap.Pop(l).(*waiter)
	delete(q.ids, w.id)
	q.virtual = l.finish
	l.finish += 1 / l.weight
	q.tidy(w.team, l)
	return w
}

// first returns the line with the lowest virtual finish time; ties go to the earlier deadline and then
// to the lower name, so that the order does not depend on the order of a map.
func (q *queue) first() *line {
	var best *line
	var bestName team.Name
	for name, l := range q.lines {
		if l.Len() > 0 && (best == nil || l.before(best, name, bestName)) {
			best, bestName = l, name
		}
	}
	return best
}

func (l *line) before(other *line, name, otherName team.Name) bool {
	return cmp.Or(
		cmp.Compare(l.finish, other.finish),
		l.waiters[0].deadline.Compare(other.waiters[0].deadline),
		cmp.Compare(name, otherName),
	) < 0
}

// tidy forgets a team that neither waits nor has used more than its share.
func (q *queue) tidy(name team.Name, l *line) {
	if l.Len() == 0 && l.finish <= q.virtual {
		delete(q.lines, name)
	}
	if len(q.ids) == 0 {
		q.lines, q.virtual = nil, 0
	}
}

func (q *queue) remove(id TicketID) *waiter {
	w := q.ids[id]
	if w == nil {
		return nil
	}
	l := q.lines[w.team]
	heap.Remove(l, w.index)
	delete(q.ids, id)
	q.tidy(w.team, l)
	return w
}

// ahead estimates how many requests are granted before a new one of the team with the given
// deadline.
func (q *queue) ahead(name team.Name, weight int, deadline time.Time) int {
	own, active := 0, float64(max(weight, 1))
	for other, l := range q.lines {
		if l.Len() == 0 {
			continue
		}
		if other != name {
			active += l.weight
			continue
		}
		for _, w := range l.waiters {
			if !w.deadline.After(deadline) {
				own++
			}
		}
	}
	share := float64(max(weight, 1)) / active
	return min(int(math.Ceil(float64(own+1)/share))-1, q.size())
}

// head returns the earliest deadline of the queue.
func (q *queue) head() (deadline time.Time, ok bool) {
	for _, l := range q.lines {
		if l.Len() > 0 && (!ok || l.waiters[0].deadline.Before(deadline)) {
			deadline, ok = l.waiters[0].deadline, true
		}
	}
	return deadline, ok
}
