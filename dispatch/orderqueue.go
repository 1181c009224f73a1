package dispatch

import (
	"context"
	"sync"
)

// order sends one order to a worker.
type order func(context.Context)

// orderQueue holds the orders that wait to be sent to one worker. It has no limit: an order that is dropped looks like one that
// was sent. A run has at most one start, one stop and one change of speed in it.
type orderQueue struct {
	mu sync.Mutex
	// stops and others are the waiting orders.
	stops, others []order
	// prefersOther is set if the next order is to be one of others.
	prefersOther bool
	// added is closed once an order is added; nil while nobody waits.
	added chan struct{}
}

// addStop adds an order to stop a run.
func (q *orderQueue) addStop(o order) { q.add(&q.stops, o) }

// addOther adds an order that is not a stop.
func (q *orderQueue) addOther(o order) { q.add(&q.others, o) }

func (q *orderQueue) add(orders *[]order, o order) {
	q.mu.Lock()
	defer q.mu.Unlock()
	*orders = append(*orders, o)
	if q.added != nil {
		close(q.added)
		q.added = nil
	}
}

// take removes the next order and waits for one if necessary. Stops and other orders take turns, so that neither waits behind
// more than one of the others. It returns nil once ctx has ended.
func (q *orderQueue) take(ctx context.Context) order {
	for ctx.Err() == nil {
		o, added := q.takeOrWatch()
		if o != nil {
			return o
		}
		select {
		case <-ctx.Done():
		case <-added:
		}
	}
	return nil
}

// takeOrWatch removes the next order or, if there is none, returns a channel that is closed once one is added.
func (q *orderQueue) takeOrWatch() (order, <-chan struct{}) {
	q.mu.Lock()
	defer q.mu.Unlock()
	next, isStop := &q.stops, true
	if len(q.stops) == 0 || q.prefersOther && len(q.others) > 0 {
		next, isStop = &q.others, false
	}
	if len(*next) == 0 {
		if q.added == nil {
			q.added = make(chan struct{})
		}
		return nil, q.added
	}
	o := (*next)[0]
	(*next)[0] = nil // may be large
	*next = (*next)[1:]
	q.prefersOther = isStop
	return o, nil
}
