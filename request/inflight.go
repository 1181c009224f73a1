package request

import (
	"context"
	"sync"
)

const (
	// maxInFlightRequests and maxInFlightBytes limit the requests in flight of one entry, which has little
	// memory. The limits of the pool queues do not suffice, because a body is read before its pool is known.
	maxInFlightRequests = 4096
	maxInFlightBytes    = 32 << 20
)

// InFlightLimiter counts and limits the requests in flight, and rejects new ones after Stop. The zero value is ready
// to use.
type InFlightLimiter struct {
	mu    sync.Mutex
	count int
	// bytes is the sum of the maximum body sizes of the requests in flight.
	bytes    int64
	stopping bool
	// idle is closed when count becomes 0. It is nil unless a caller of Wait is blocked.
	idle chan struct{}
}

// Acquire counts a request whose body has at most size bytes. It fails with ShuttingDownError after Stop, and with
// OverloadedError if a limit would be exceeded. Each successful call requires a Release with the same size.
func (f *InFlightLimiter) Acquire(size int64) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.stopping {
		return &ShuttingDownError{}
	}
	if f.count >= maxInFlightRequests || f.bytes+size > maxInFlightBytes {
		return &OverloadedError{Requests: f.count, Bytes: f.bytes}
	}
	f.count++
	f.bytes += size
	return nil
}

// Release removes a request of the given size from the count.
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

// Stop makes all further calls of Acquire fail.
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

// Wait blocks until no request is in flight. It fails with ShutdownTimeoutError if ctx ends first.
func (f *InFlightLimiter) Wait(ctx context.Context) error {
	for {
		f.mu.Lock()
		remaining := f.count
		if remaining > 0 && f.idle == nil {
			f.idle = make(chan struct{})
		}
		idle := f.idle
		f.mu.Unlock()
		if remaining == 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			return &ShutdownTimeoutError{InFlight: remaining, Cause: ctx.Err()}
		case <-idle:
		}
	}
}
