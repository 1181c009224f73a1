package request

import (
	"context"
	"sync"
)

const (
	// maxRequests and maxBytes bound the requests in flight of one entry, which has little memory. The
	// queues of the pools are bounded as well, but a body is read before its pool is known.
	maxRequests = 4096
	maxBytes    = 32 << 20
)

// InFlightLimiter counts the requests in flight, bounds them, and refuses new ones after Stop. The zero value
// is ready to use.
type InFlightLimiter struct {
	mu    sync.Mutex
	count int
	// bytes is the sum of the bodies that the requests in flight may have.
	bytes    int64
	stopping bool
	// idle is closed when count becomes 0; nil while nobody waits for it.
	idle chan struct{}
}

// Acquire counts a request whose body has at most size bytes. It fails with ShuttingDownError after Stop and
// with OverloadedError over the bounds. Each successful call needs a Release with the same size.
func (f *InFlightLimiter) Acquire(size int64) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.stopping {
		return &ShuttingDownError{}
	}
	if f.count >= maxRequests || f.bytes+size > maxBytes {
		return &OverloadedError{Requests: f.count, Bytes: f.bytes}
	}
	f.count++
	f.bytes += size
	return nil
}

// Release ends a request.
func (f *InFlightLimiter) Release(size int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.count--
	f.bytes -= size
	if f.count == 0 && f.idle != nil {
		close(f.idle)
		f.idle = nil
	}
}

// Stop makes Enter fail from now on.
func (f *InFlightLimiter) Stop() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.stopping = true
}

// Count returns the number of requests in flight.
func (f *InFlightLimiter) Count() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.count
}

// Wait blocks until no request is in flight. It fails with ShutdownTimeoutError when ctx ends first.
func (f *InFlightLimiter) Wait(ctx context.Context) error {
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
			return &ShutdownTimeoutError{InFlight: left, Cause: ctx.Err()}
		case <-idle:
		}
	}
}
