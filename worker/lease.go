package worker

import "time"

const (
	// clockRate is the least speed of a worker's clock: it may be 2 % slow.
	clockRate = 0.98
	// leaseSlack is added to the end of a lease for the time that a worker takes to act on it.
	leaseSlack = 100 * time.Millisecond
)

// Lease follows the lease of a worker on the worker's own clock. The zero value has never heard of it.
type Lease struct {
	// clock is the worker's clock as read before heard, which is a local time. Both are set together.
	clock Clock
	heard time.Time
	// granted is the latest deadline in any order that was sent, whether it was answered or not.
	granted Clock
}

// RecordClock records the clock of an answer that was received at the given local time.
func (l *Lease) RecordClock(clock Clock, received time.Time) {
	if clock > l.clock {
		l.clock, l.heard = clock, received
	}
}

// HasClock reports whether the worker's clock is known.
func (l *Lease) HasClock() bool { return !l.heard.IsZero() }

// Grant returns the deadline of an order that is sent now and lasts for d, and records it.
func (l *Lease) Grant(now time.Time, d time.Duration) Clock {
	until := l.clock + Clock((now.Sub(l.heard) + d).Milliseconds())
	l.granted = max(l.granted, until)
	return until
}

// IsExpired reports whether every deadline that was granted has certainly passed on the worker.
func (l *Lease) IsExpired(now time.Time) bool {
	if !l.HasClock() {
		return false
	}
	passed := Clock(clockRate * float64((now.Sub(l.heard) - leaseSlack).Milliseconds()))
	return l.clock+passed > l.granted
}
