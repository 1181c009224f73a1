package request

import (
	"context"
	"sync"
)

// Flight counts the requests in flight and refuses new ones after Stop. The zero value is ready to
// use.
type Flight struct {
	mu       sync.Mutex
	count    int
	stopping bool
	// idle is closed when count becomes 0; nil while nobody waits for it.
	idle chan struct{}
}

// Enter counts a request. It fails with StoppingError after Stop. Each successful call needs a Leave.
func (f *Flight) Enter() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.stopping {
		return &StoppingError{}
	}
	f.count++
	return nil
}

// Leave ends a request.
func (f *Flight) Leave() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.count--
	if f.count == 0 && f.idle != nil {
		close(f.idle)
		f.idle = nil
	}
}

// Stop makes Enter fail from now on.
func (f *Flight) Stop() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.stopping = true
}

// Count returns the number of requests in flight.
func (f *Flight) Count() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.count
}

// Wait blocks until no request is in flight. It fails with CutError when ctx ends first.
func (f *Flight) Wait(ctx context.Context) error {
	for {
		f.mu.Lock()
		left := f.count
		if left > 0 && f.idle == nil {
			f.idle = make(chan struct{})
		}
		idle := f.idle
		f.mu.Unlock()
		if left == 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			return &CutError{Left: left, Cause: ctx.Err()}
		case <-idle:
		}
	}
}
