package job

import (
	"context"
	"sync"

	"hibiscuslane.example/hibiscuslane/record"
)

// canceller batches cancellations: those that arrive while an append is in progress share the next
// record.
type canceller struct {
	propose func(ctx context.Context, author record.Author, body Body) error

	mu      sync.Mutex
	pending []*cancellation
	// running is set while appendBatches runs.
	running bool
}

// cancellation is a pending request to cancel one job.
type cancellation struct {
	id   ID
	done chan error
}

// cancel requests the cancellation of a job and waits until its record is applied or rejected, or until
// ctx ends.
func (c *canceller) cancel(ctx context.Context, id ID) error {
	request := &cancellation{id: id, done: make(chan error, 1)}
	c.mu.Lock()
	c.pending = append(c.pending, request)
	first := !c.running
	c.running = true
	c.mu.Unlock()
	if first {
		// The record serves several callers, so the end of the first caller's request must not abort it.
		go c.appendBatches(context.WithoutCancel(ctx))
	}
	select {
	case err := <-request.done:
		return err
	case <-ctx.Done():
		return &UnconfirmedCancelError{ID: id, Cause: ctx.Err()}
	}
}

// appendBatches appends one record per batch until no cancellation is pending.
func (c *canceller) appendBatches(ctx context.Context) {
	for batch := c.takeBatch(); len(batch) > 0; batch = c.takeBatch() {
		ids := make([]ID, len(batch))
		for i, request := range batch {
			ids[i] = request.id
		}
		err := c.propose(ctx, "", &Cancel{IDs: ids, Reason: "cancelled by the caller"})
		for _, request := range batch {
			request.done <- err
		}
	}
}

func (c *canceller) takeBatch() []*cancellation {
	c.mu.Lock()
	defer c.mu.Unlock()
	batch := c.pending[:min(len(c.pending), MaxCancelBatch)]
	c.pending = c.pending[len(batch):]
	c.running = len(batch) > 0
	return batch
}
