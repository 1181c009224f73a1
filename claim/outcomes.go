package claim

import (
	"context"
	"sync"
	"time"
)

const outcomeRetryDelay = 100 * time.Millisecond

// outcomeQueue contains the outcomes that the log has not yet confirmed. The zero value is empty and ready
// to use.
type outcomeQueue struct {
	mu sync.Mutex
	// waiting are the outcomes whose append has not begun.
	waiting []Outcome
	// pending counts the outcomes that wait to be appended or are being appended.
	pending int
	// wake holds a value when outcomes are waiting.
	wake chan struct{}
	// idle is closed when pending becomes 0. It is nil unless drain waits for it.
	idle chan struct{}
}

func (q *outcomeQueue) enqueue(outcome Outcome) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.waiting = append(q.waiting, outcome)
	q.pending++
	select {
	case q.wakeChanLocked() <- struct{}{}:
	default:
	}
}

func (q *outcomeQueue) wakeChanLocked() chan struct{} {
	if q.wake == nil {
		q.wake = make(chan struct{}, 1)
	}
	return q.wake
}

func (q *outcomeQueue) takeAll() []Outcome {
	q.mu.Lock()
	defer q.mu.Unlock()
	outcomes := q.waiting
	q.waiting = nil
	return outcomes
}

func (q *outcomeQueue) markDone() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.pending--
	if q.pending == 0 && q.idle != nil {
		close(q.idle)
		q.idle = nil
	}
}

// run calls deliver for each outcome until ctx ends. Each call has its own goroutine, so that the appender
// can batch the records.
func (q *outcomeQueue) run(ctx context.Context, deliver func(context.Context, Outcome)) error {
	q.mu.Lock()
	wake := q.wakeChanLocked()
	q.mu.Unlock()
	var group sync.WaitGroup
	defer group.Wait()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-wake:
		}
		for _, outcome := range q.takeAll() {
			group.Go(func() {
				deliver(ctx, outcome)
				if ctx.Err() == nil { // otherwise the log may not have confirmed the outcome
					q.markDone()
				}
			})
		}
	}
}

func (q *outcomeQueue) pendingCount() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.pending
}

func (q *outcomeQueue) drain(ctx context.Context) error {
	for {
		q.mu.Lock()
		pending := q.pending
		if pending > 0 && q.idle == nil {
			q.idle = make(chan struct{})
		}
		idle := q.idle
		q.mu.Unlock()
		if pending == 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			return &DrainError{Pending: pending, Cause: ctx.Err()}
		case <-idle:
		}
	}
}
