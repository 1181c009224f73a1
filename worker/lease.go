package worker

import "time"

const (
	// minClockRate is the lowest assumed speed of a worker's clock, which may run up to 2 % slow.
	minClockRate = 0.98
	// leaseSlack is added to the end of a lease to cover the time that a worker needs to act on its expiry.
	leaseSlack = 100 * time.Millisecond
	// clockSlack is how far a clock may lie behind the expected one without being that of a later incarnation.
	clockSlack = 50 * time.Millisecond
)

// Lease tracks the lease of a worker, whose deadlines are times of the worker's own clock. The zero value
// is a lease of a worker whose clock is not known yet.
type Lease struct {
	// lastClock is the worker's clock as reported in its latest response, and receivedAt is the local time at which
	// that response arrived. The clock was read before receivedAt. Both are set together.
	lastClock  Clock
	receivedAt time.Time
	// maxDeadline is the latest deadline of all orders sent, including those that were never answered.
	maxDeadline Clock
	// grantedAt is the local time of the last Grant; zero if there was none.
	grantedAt time.Time
}

// RecordClock records the clock of a response that was received at the given local time. It ignores a clock that is
// not later than the recorded one.
func (l *Lease) RecordClock(clock Clock, received time.Time) {
	if clock > l.lastClock || !l.HasClock() {
		l.lastClock, l.receivedAt = clock, received
	}
}

// IsOtherClock reports whether a clock that was read after the given local time is behind that of the incarnation whose clock is
// recorded, so that a later incarnation must have answered.
func (l *Lease) IsOtherClock(clock Clock, readAfter time.Time) bool {
	elapsed := readAfter.Sub(l.receivedAt)
	if elapsed > 0 {
		elapsed = time.Duration(minClockRate * float64(elapsed))
	}
	return l.HasClock() && clock < l.lastClock+Clock((elapsed-clockSlack).Milliseconds())
}

// HasClock reports whether the worker's clock is known.
func (l *Lease) HasClock() bool { return !l.receivedAt.IsZero() }

// Grant returns the deadline on the worker's clock of an order that is sent now and is valid for the given
// duration, and records the deadline.
func (l *Lease) Grant(now time.Time, duration time.Duration) Clock {
	deadline := l.lastClock + Clock((now.Sub(l.receivedAt) + duration).Milliseconds())
	l.maxDeadline, l.grantedAt = max(l.maxDeadline, deadline), now
	return deadline
}

// IsGranted reports whether any order with a deadline was sent.
func (l *Lease) IsGranted() bool { return !l.grantedAt.IsZero() }

// GrantedAt returns when the last order with a deadline was sent; the zero time if there was none.
func (l *Lease) GrantedAt() time.Time { return l.grantedAt }

// Remaining returns how much of the lease is left on the worker's clock, if that runs at full speed: zero or less once it
// has expired, and zero if the clock is not known.
func (l *Lease) Remaining(now time.Time) time.Duration {
	if !l.HasClock() {
		return 0
	}
	return time.Duration(l.maxDeadline-l.lastClock)*time.Millisecond - now.Sub(l.receivedAt)
}

// IsExpired reports whether every granted deadline has certainly passed on the worker, even if its clock is slow. It
// returns false while the worker's clock is not known.
func (l *Lease) IsExpired(now time.Time) bool {
	if !l.HasClock() {
		return false
	}
	elapsed := Clock(minClockRate * float64((now.Sub(l.receivedAt) - leaseSlack).Milliseconds()))
	return l.lastClock+elapsed > l.maxDeadline
}
