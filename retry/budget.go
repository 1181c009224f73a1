// Package retry decides whether and when a failed try of a request is followed by another.
package retry

import (
	"sync"
	"time"

	"hibiscuslane.example/hibiscuslane/timer"
)

const (
	// buckets is the number of parts of the sliding window. A request leaves the window up to one part
	// late.
	buckets = 20

	defaultFraction = 0.1
	defaultFloor    = 3
	defaultWindow   = 10 * time.Second
)

// Budget bounds retries to a fraction of the recent requests. The zero value uses the defaults.
// Set the fields before the first use.
type Budget struct {
	// Fraction is the number of retries per request within the window; default 0.1. A negative value
	// allows none beyond Floor.
	RetryRatio float64
	// Floor is the number of retries that each window allows however few requests there were; default
	// 3. It lets a pool with little traffic retry at all. A negative value means none.
	MinRetries int
	// Window is the length of the sliding window; default 10 s.
	Window time.Duration
	Timer  *timer.Service

	mu sync.Mutex
	// ring holds the counts of the present part, which is incomplete, and of the buckets parts before it,
	// at index part % len(ring).
	ring [buckets + 1]bucket
}

type bucket struct {
	// part is the number of the part since 1970 that the counts belong to.
	part              int64
	requests, retries int
}

// CountRequest counts a request, at its first try.
func (b *Budget) CountRequest() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.currentLocked().requests++
}

// TakeRetry counts a retry and reports true if the budget allows one more.
func (b *Budget) TakeRetry() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	current := b.currentLocked()
	requests, retries := b.sumLocked(current.part)
	if float64(retries+1) > max(b.fraction()*float64(requests), float64(b.floor())) {
		return false
	}
	current.retries++
	return true
}

func (b *Budget) currentLocked() *bucket {
	part := b.Timer.Now().UnixNano() / (int64(b.window()) / buckets)
	current := &b.ring[part%int64(len(b.ring))]
	if current.part != part {
		*current = bucket{part: part}
	}
	return current
}

func (b *Budget) sumLocked(part int64) (requests, retries int) {
	for _, old := range b.ring {
		if old.part >= part-buckets {
			requests += old.requests
			retries += old.retries
		}
	}
	return requests, retries
}

func (b *Budget) fraction() float64 {
	if b.RetryRatio == 0 {
		return defaultFraction
	}
	return max(b.RetryRatio, 0)
}

func (b *Budget) floor() int {
	if b.MinRetries == 0 {
		return defaultFloor
	}
	return max(b.MinRetries, 0)
}

func (b *Budget) window() time.Duration {
	if b.Window <= 0 {
		return defaultWindow
	}
	return max(b.Window, buckets)
}
