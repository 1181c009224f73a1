// Package retry decides whether and when a failed attempt of a request is retried. Policy holds the
// rules for the requests of one pool, and Budget limits the retries to a fraction of the requests. Only
// "hibiscuslane serve" uses it, as "hibiscuslane run" sends no requests to targets.
package retry

import (
	"sync"
	"time"

	"hibiscuslane.example/hibiscuslane/timer"
)

const (
	// bucketCount is the number of buckets in the sliding window. A request leaves the window up to one
	// bucket late.
	bucketCount = 20

	defaultRetryRatio = 0.1
	defaultMinRetries = 3
	defaultWindow     = 10 * time.Second
)

// Budget limits retries to a fraction of the recent requests. The zero value uses the defaults. Fields
// must be set before the first use.
type Budget struct {
	// RetryRatio is the number of retries allowed per request within the window; the default is 0.1. A
	// negative value allows only MinRetries.
	RetryRatio float64
	// MinRetries is the number of retries that each window allows regardless of the number of requests;
	// the default is 3. It lets a pool with little traffic retry at all. A negative value means none.
	MinRetries int
	// Window is the length of the sliding window; the default is 10 s.
	Window time.Duration
	Timer  *timer.Service

	mu sync.Mutex
	// buckets is a ring buffer with the counts of the current, incomplete bucket and of the bucketCount
	// buckets before it. A bucket is stored at index number % len(buckets).
	buckets [bucketCount + 1]bucket
}

type bucket struct {
	// number is the sequence number of the bucket, counted from the start of 1970.
	number            int64
	requests, retries int
}

// CountRequest counts a request. It is called once per request, at the first attempt.
func (b *Budget) CountRequest() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.currentBucketLocked().requests++
}

// TakeRetry takes a retry from the budget and returns true, or returns false if the budget is exhausted.
func (b *Budget) TakeRetry() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	current := b.currentBucketLocked()
	requests, retries := b.sumWindowLocked(current.number)
	if float64(retries+1) > max(b.retryRatio()*float64(requests), float64(b.minRetries())) {
		return false
	}
	current.retries++
	return true
}

func (b *Budget) currentBucketLocked() *bucket {
	number := b.Timer.Now().UnixNano() / (int64(b.window()) / bucketCount)
	current := &b.buckets[number%int64(len(b.buckets))]
	if current.number != number {
		*current = bucket{number: number}
	}
	return current
}

// sumWindowLocked returns the counts of the bucket with the given number and of the bucketCount buckets
// before it.
func (b *Budget) sumWindowLocked(number int64) (requests, retries int) {
	for _, stored := range b.buckets {
		if stored.number >= number-bucketCount {
			requests += stored.requests
			retries += stored.retries
		}
	}
	return requests, retries
}

func (b *Budget) retryRatio() float64 {
	if b.RetryRatio == 0 {
		return defaultRetryRatio
	}
	return max(b.RetryRatio, 0)
}

func (b *Budget) minRetries() int {
	if b.MinRetries == 0 {
		return defaultMinRetries
	}
	return max(b.MinRetries, 0)
}

// window returns the length of the window, but at least bucketCount nanoseconds, so that the length of a
// bucket is not zero.
func (b *Budget) window() time.Duration {
	if b.Window <= 0 {
		return defaultWindow
	}
	return max(b.Window, bucketCount)
}
