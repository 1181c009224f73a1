package job

import (
	"context"
	"sync"

	"hibiscuslane.example/hibiscuslane/record"
)

// canceller joins the cancellations that arrive while an append is in flight into one record.
type canceller struct {
	propose func(ctx context.Context, author record.Author, body Body) error

	mu      sync.Mutex
	waiting []*cancellation
	busy    bool
}

// cancellation is one job to cancel.
type cancellation struct {
	id   ID
	done chan error
}

// cancel cancels a job and waits for the verdict on the record or the end of ctx.
func (c *canceller) cancel(ctx context.Context, id ID) error {
	w := &cancellation{id: id, done: make(chan error, 1)}
	c.mu.Lock()
	c.waiting = append(c.waiting, w)
	first := !c.busy
	c.busy = true
	c.mu.Unlock()
	if first {
		// The record serves several callers, so it must not end with the first of them.
		go c.run(context.WithoutCancel(ctx))
	}
	select {
	case err := <-w.done:
		return err
	case <-ctx.Done():
		return &UnconfirmedCancelError{ID: id, Cause: ctx.Err()}
	}
}

// run appends records until nobody waits.
func (c *canceller) run(ctx context.Context) {
	for batch := c.take(); len(batch) > 0; batch = c.take() {
		ids := make([]ID, len(batch))
		for i, w := range batch {
			ids[i] = w.id
		}
		err := c.propose(ctx, "", &Cancel{IDs: ids, Reason: "cancelled by the caller"})
		for _, w := range batch {
			w.done <- err
		}
	}
}

func (c *canceller) take() []*cancellation {
	c.mu.Lock()
	defer c.mu.Unlock()
	batch := c.waiting[:min(len(c.waiting), MaxCancelBatch)]
	c.waiting = c.waiting[len(batch):]
	c.busy = len(batch) > 0
	return batch
}
