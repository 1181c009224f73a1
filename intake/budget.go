package intake

import (
	"io"
	"sync/atomic"

	"golang.org/x/sync/semaphore"
)

// Budget limits the bytes that a process holds for its clients.
type Budget struct {
	size     int64
	free     *semaphore.Weighted
	held     atomic.Int64
	refusals atomic.Int64
}

// NewBudget returns a budget of the given size.
func NewBudget(size int64) *Budget { return &Budget{size: size, free: semaphore.NewWeighted(size)} }

// Take takes bytes, which the caller must return, and reports whether there was room for them.
func (b *Budget) Take(n int64) bool {
	if !b.free.TryAcquire(n) {
		return false
	}
	b.held.Add(n)
	return true
}

// Return returns bytes that were taken.
func (b *Budget) Return(n int64) {
	b.held.Add(-n)
	b.free.Release(n)
}

// ReadBody reads a body of the given length. It takes the given number of copies of it as the bytes arrive, and returns how many bytes
// it took; the caller must return them, also after an error. ErrNoRoom means that the rest of the body isn't read.
func (b *Budget) ReadBody(r io.Reader, length, copies int64) (body []byte, held int64, err error) {
	for int64(len(body)) < length {
		size := min(max(2*int64(len(body)), firstBufferBytes), length)
		growth := (size - int64(len(body))) * copies
		if !b.Take(growth) {
			b.CountRefusal()
			return nil, held, ErrNoRoom
		}
		held += growth
		read := len(body)
		body = append(make([]byte, 0, size), body...)[:size]
		if _, err := io.ReadFull(r, body[read:]); err != nil {
			return nil, held, &ReadError{Cause: err}
		}
	}
	return body, held, nil
}

// CountRefusal records that a request was refused because there was no room for it.
func (b *Budget) CountRefusal() { b.refusals.Add(1) }

// Held returns the bytes that are taken.
func (b *Budget) Held() int64 { return b.held.Load() }

// IsScarce reports whether less than a quarter of the budget is free, which is kept for requests that don't wait.
func (b *Budget) IsScarce() bool { return b.Held() > b.size-b.size/4 }

// Refusals returns the number of requests that were refused since the start.
func (b *Budget) Refusals() int64 { return b.refusals.Load() }
