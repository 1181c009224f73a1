// Package timer provides the time source of the system. Parts subscribe to a Service instead of
// reading the system clock, so that tests can move time by hand.
package timer

import (
	"context"
	"time"

	"github.com/jonboulle/clockwork"
)

// Service is a time source. A nil Service and the zero value use the system clock.
type Service struct {
	// clock is nil for the system clock.
	clock clockwork.Clock
}

var system = clockwork.NewRealClock()

func (s *Service) source() clockwork.Clock {
	if s == nil || s.clock == nil {
		return system
	}
	return s.clock
}

// Now returns the current time.
func (s *Service) Now() time.Time {
	return s.source().Now()
}

// Since returns the time elapsed since t.
func (s *Service) Since(t time.Time) time.Duration {
	return s.source().Since(t)
}

// After returns a channel that receives the time once d has elapsed.
func (s *Service) After(d time.Duration) <-chan time.Time {
	return s.source().After(d)
}

// Sleep waits for d or until ctx ends, and returns the error of ctx in the latter case.
func (s *Service) Sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	timer := s.source().NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.Chan():
		return nil
	}
}

// WithTimeout returns a context that ends with context.DeadlineExceeded after d on this clock.
func (s *Service) WithTimeout(ctx context.Context, d time.Duration) (context.Context, context.CancelFunc) {
	return clockwork.WithTimeout(ctx, s.source(), d)
}

// Subscription delivers ticks until it is stopped.
type Subscription struct {
	ticker clockwork.Ticker
}

// Every subscribes to a tick each period. Ticks that the subscriber is too slow to take are dropped.
func (s *Service) Every(period time.Duration) *Subscription {
	return &Subscription{ticker: s.source().NewTicker(period)}
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
// whether it did so before f started.
func (s *Service) AfterFunc(d time.Duration, f func()) (cancel func() bool) {
	return s.source().AfterFunc(d, f).Stop
}

// Manual is a Service whose time moves only by Advance.
type Manual struct {
	Service
	fake *clockwork.FakeClock
}

// NewManual returns a manual time source that starts at the given time.
func NewManual(start time.Time) *Manual {
	fake := clockwork.NewFakeClockAt(start)
	return &Manual{Service: Service{clock: fake}, fake: fake}
}

// Advance moves time forward and wakes the subscribers that are due.
func (m *Manual) Advance(d time.Duration) {
	m.fake.Advance(d)
}

// AwaitSubscribers blocks until n subscribers wait on the clock, or ctx ends.
func (m *Manual) AwaitSubscribers(ctx context.Context, n int) error {
	return m.fake.BlockUntilContext(ctx, n)
}
