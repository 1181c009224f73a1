package claim

import (
	"context"
	"sync"
	"time"
)

const outcomeRetry = 100 * time.Millisecond

// outcomeQueue holds the outcomes that the log has not confirmed. The zero value is empty.
type outcomeQueue struct {
	mu      sync.Mutex
	waiting []Outcome
	// pending counts the outcomes that wait or are being appended.
	pending int
	wake    chan struct{}
	// idle is closed when pending becomes 0; nil while nobody waits for it.
	idle chan struct{}
}

func (q *outcomeQueue) put(outcome Outcome) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.waiting = append(q.waiting, outcome)
	q.pending++
	select {
	case q.wakeLocked() <- struct{}{}:
	default:
	}
}

func (q *outcomeQueue) wakeLocked() chan struct{} {
	if q.wake == nil {
		q.wake = make(chan struct{}, 1)
	}
	return q.wake
}

func (q *outcomeQueue) take() []Outcome {
	q.mu.Lock()
	defer q.mu.Unlock()
	taken := q.waiting
	q.waiting = nil
	return taken
}

func (q *outcomeQueue) done() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.pending--
	if q.pending == 0 && q.idle != nil {
		close(q.idle)
		q.idle = nil
	}
}

// run calls deliver for each outcome, each in its own goroutine so that the appender batches them.
func (q *outcomeQueue) run(ctx context.Context, deliver func(context.Context, Outcome)) error {
	q.mu.Lock()
	wake := q.wakeLocked()
	q.mu.Unlock()
	var group sync.WaitGroup
	defer group.Wait()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-wake:
		}
		for _, outcome := range q.take() {
			group.Go(func() {
				deliver(ctx, outcome)
				if ctx.Err() == nil {
					q.done()
				}
			})
		}
	}
}

func (q *outcomeQueue) len() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.pending
}

func (q *outcomeQueue) drain(ctx context.Context) error {
	for {
		q.mu.Lock()
		left := q.pending
		if left > 0 && q.idle == nil {
			q.idle = make(chan struct{})
		}
		idle := q.idle
		q.mu.Unlock()
		if left == 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			return &DrainError{Pending: left, Cause: ctx.Err()}
		case <-idle:
		}
	}
}
