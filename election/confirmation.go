package election

import (
	"context"

	"hibiscuslane.example/hibiscuslane/platform"
)

// confirmation is a read of the claims that several callers of Confirm await.
type confirmation struct {
	done chan struct{}
	err  error // set before done is closed
}

// Confirm returns nil once the store has answered a read of the claims that was sent after the call and shows no claim after
// the term with the given epoch. A later owner, if there is one, has then done nothing before the call. IsConfirmed does not
// show that: a silent owner is replaced long before ConfirmTimeout has passed. Callers share reads.
func (e *Elector) Confirm(ctx context.Context, epoch platform.Epoch) error {
	c := e.joinConfirmation()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-c.done:
	}
	if c.err != nil {
		return c.err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.epoch != epoch {
		return &TermEndedError{Epoch: epoch}
	}
	return nil
}

// joinConfirmation returns the confirmation whose read is sent next.
func (e *Elector) joinConfirmation() *confirmation {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.nextConfirmation == nil {
		e.nextConfirmation = &confirmation{done: make(chan struct{})}
	}
	if !e.isConfirming {
		e.isConfirming = true
		go e.runConfirmations()
	}
	return e.nextConfirmation
}

// runConfirmations makes confirmations until nobody awaits one.
func (e *Elector) runConfirmations() {
	for {
		e.mu.Lock()
		c := e.nextConfirmation
		e.nextConfirmation = nil
		if c == nil {
			e.isConfirming = false
			e.mu.Unlock()
			return
		}
		e.mu.Unlock()
		c.err = e.confirmTerm(context.Background())
		close(c.done)
	}
}
