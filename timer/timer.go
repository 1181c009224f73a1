// Package timer provides the clock and the timers of the program. Packages use a Service instead of the
// system clock, so that tests can control the time.
package timer

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/jonboulle/clockwork"
)

// Service provides the current time and timers. A nil Service and the zero value use the system clock.
type Service struct {
	// clock is nil for the system clock.
	clock clockwork.Clock
	// suspended is the result of Suspended in nanoseconds, unless clock is nil.
	suspended *atomic.Int64
}

var system = clockwork.NewRealClock()

func (s *Service) clockOrSystem() clockwork.Clock {
	if s == nil || s.clock == nil {
		return system
	}
	return s.clock
}

// Now returns the current time.
func (s *Service) Now() time.Time {
	return s.clockOrSystem().Now()
}

// Since returns the time elapsed since t.
func (s *Service) Since(t time.Time) time.Duration {
	return s.clockOrSystem().Since(t)
}

// After returns a channel that receives the current time after d.
func (s *Service) After(d time.Duration) <-chan time.Time {
	return s.clockOrSystem().After(d)
}

// Sleep waits for d. If ctx ends earlier, it returns the error of ctx.
func (s *Service) Sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	timer := s.clockOrSystem().NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.Chan():
		return nil
	}
}

// WithTimeout returns a context that ends with context.DeadlineExceeded once d has passed on the clock of s.
func (s *Service) WithTimeout(ctx context.Context, d time.Duration) (context.Context, context.CancelFunc) {
	if s == nil || s.clock == nil {
		return clockwork.WithTimeout(ctx, system, d)
	}
	child, cancel := context.WithCancelCause(ctx)
	stop := s.AfterFunc(d, func() { cancel(context.DeadlineExceeded) })
	return manualContext{Context: child, deadline: s.Now().Add(d)}, func() {
		stop()
		cancel(context.Canceled)
	}
}

// manualContext is a context with a deadline on the clock of a Manual. The one of clockwork blocks in Err until it ends, and needs a
// goroutine.
type manualContext struct {
	context.Context
	deadline time.Time
}

// Deadline implements context.Context.
func (c manualContext) Deadline() (time.Time, bool) { return c.deadline, true }

// Err implements context.Context.
func (c manualContext) Err() error {
	if c.Context.Err() == nil {
		return nil
	}
	return context.Cause(c.Context)
}

// Subscription delivers ticks until it is stopped.
type Subscription struct {
	ticker clockwork.Ticker
}

// Every returns a subscription to a tick each period. Ticks are dropped while the subscriber is slow.
func (s *Service) Every(period time.Duration) *Subscription {
	return &Subscription{ticker: s.clockOrSystem().NewTicker(period)}
}

// C returns the channel of ticks.
func (s *Subscription) C() <-chan time.Time {
	return s.ticker.Chan()
}

// Stop ends the subscription.
func (s *Subscription) Stop() {
	s.ticker.Stop()
}

// AfterFunc calls f in its own goroutine after d. The returned function cancels the call and reports
// whether it was in time, that is, before f started.
func (s *Service) AfterFunc(d time.Duration, f func()) (cancel func() bool) {
	return s.clockOrSystem().AfterFunc(d, f).Stop
}

// Manual is a Service for tests whose time changes only by Advance.
type Manual struct {
	Service
	fake *clockwork.FakeClock
}

// NewManual returns a Manual that starts at the given time.
func NewManual(start time.Time) *Manual {
	fake := clockwork.NewFakeClockAt(start)
	return &Manual{Service: Service{clock: fake, suspended: &atomic.Int64{}}, fake: fake}
}

// Suspend changes Uptime and Suspended as if the machine had been suspended for d.
func (m *Manual) Suspend(d time.Duration) {
	m.suspended.Add(int64(d))
}

// Advance moves the time forward by d and triggers the timers that are due.
func (m *Manual) Advance(d time.Duration) {
	m.fake.Advance(d)
}

// AwaitSubscribers waits until at least n timers, tickers or sleepers wait on the clock. If ctx ends earlier, it returns the
// error of ctx.
func (m *Manual) AwaitSubscribers(ctx context.Context, n int) error {
	return m.fake.BlockUntilContext(ctx, n)
}
