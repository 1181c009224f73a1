package retry_test

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"hibiscuslane.example/hibiscuslane/failure"
	"hibiscuslane.example/hibiscuslane/retry"
	"hibiscuslane.example/hibiscuslane/timer"
	"hibiscuslane.example/hibiscuslane/upstream"
)

var (
	errNotRun  = &upstream.RefusedError{Refusal: upstream.RefusedFull}
	errUnknown = &upstream.CallError{Call: "request", Cause: context.Canceled}
	errInvalid = &upstream.RefusedError{Refusal: upstream.RefusedInvalid}
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// TestOutageLoad guards against retries that multiply the load while all targets are down. For any
// pattern of arrivals, the attempts may not exceed (1 + ratio) x requests plus the minimum retries once
// per window.
func TestOutageLoad(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		clock := timer.NewManual(epoch)
		ratio := rapid.Float64Range(0.01, 0.5).Draw(t, "ratio")
		window := time.Duration(rapid.IntRange(1, 20).Draw(t, "window")) * time.Second
		minRetries := rapid.IntRange(-1, 5).Draw(t, "minRetries")
		if minRetries == 0 {
			// 0 would select the default.
			minRetries = -1
		}
		policy := &retry.Policy{
			Timer:       &clock.Service,
			MaxAttempts: 10,
			Budget:      &retry.Budget{RetryRatio: ratio, MinRetries: minRetries, Window: window, Timer: &clock.Service},
		}
		requests, attempts := 0, 0
		for _, gap := range rapid.SliceOfN(rapid.IntRange(0, 200), 1, 300).Draw(t, "gaps") {
			clock.Advance(time.Duration(gap) * time.Millisecond)
			tracker := policy.StartRequest(true, time.Time{})
			requests++
			attempts++
			for tracker.RecordFailure(errNotRun).Retry {
				attempts++
			}
		}
		windows := 1 + int(clock.Since(epoch)/window)
		bound := (1+ratio)*float64(requests) + float64(max(minRetries, 0)*windows)
		require.LessOrEqual(t, float64(attempts), bound)
	})
}

// TestWindow guards against retries that are allowed because of requests that have left the window.
func TestWindow(t *testing.T) {
	clock := timer.NewManual(epoch)
	budget := &retry.Budget{RetryRatio: 0.1, MinRetries: -1, Timer: &clock.Service}
	for range 100 {
		budget.CountRequest()
	}
	clock.Advance(9 * time.Second)
	for i := range 10 {
		require.True(t, budget.TakeRetry(), "retry %d", i)
	}
	require.False(t, budget.TakeRetry())
	clock.Advance(2 * time.Second)
	require.False(t, budget.TakeRetry(), "the requests have left the window")
}

// TestDecisions guards against a retry that could run a request twice, that comes too late, or that
// cannot succeed.
func TestDecisions(t *testing.T) {
	cases := []struct {
		name       string
		idempotent bool
		remaining  time.Duration
		errs       []error
		reason     retry.Reason
		outcome    failure.Outcome
	}{
		{"provably not run", false, time.Minute, []error{errNotRun}, retry.ReasonNotRun, failure.OutcomeNotRun},
		{"may have run", false, time.Minute, []error{errUnknown}, retry.ReasonUnsafe, failure.OutcomeUnknown},
		{"may have run, idempotent", true, time.Minute, []error{errUnknown}, retry.ReasonIdempotent, failure.OutcomeUnknown},
		{"not run after an attempt that may have run", true, time.Minute, []error{errUnknown, errNotRun}, retry.ReasonNotRun, failure.OutcomeUnknown},
		{"invalid", true, time.Minute, []error{errInvalid}, retry.ReasonPermanent, failure.OutcomeNotRun},
		{"no time before the deadline", true, 15 * time.Millisecond, []error{errNotRun}, retry.ReasonDeadline, failure.OutcomeNotRun},
		{"too many attempts", true, time.Minute, []error{errNotRun, errNotRun, errNotRun, errNotRun}, retry.ReasonMaxAttempts, failure.OutcomeNotRun},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			clock := timer.NewManual(epoch)
			policy := &retry.Policy{Timer: &clock.Service, Budget: &retry.Budget{MinRetries: 10, Timer: &clock.Service}}
			tracker := policy.StartRequest(c.idempotent, epoch.Add(c.remaining))
			var decision retry.Decision
			for _, err := range c.errs {
				decision = tracker.RecordFailure(err)
			}
			require.Equal(t, c.reason, decision.Reason)
			require.Equal(t, c.outcome, failure.Of(tracker.FinalError(c.errs[len(c.errs)-1])).Outcome())
		})
	}
}

// TestDelay guards against delays that do not grow, that exceed the maximum, or that have no jitter.
func TestDelay(t *testing.T) {
	clock := timer.NewManual(epoch)
	policy := &retry.Policy{
		Timer: &clock.Service, MaxAttempts: 100, BaseDelay: 20 * time.Millisecond, MaxDelay: 100 * time.Millisecond,
		Budget: &retry.Budget{MinRetries: 1000, Timer: &clock.Service},
	}
	tracker := policy.StartRequest(true, time.Time{})
	seen := map[time.Duration]bool{}
	for _, maxMilliseconds := range []time.Duration{20, 40, 80, 100, 100, 100, 100, 100} {
		delay := tracker.RecordFailure(errNotRun).Delay
		require.LessOrEqual(t, delay, maxMilliseconds*time.Millisecond)
		require.GreaterOrEqual(t, delay, maxMilliseconds*time.Millisecond/2)
		seen[delay] = true
	}
	require.Greater(t, len(seen), 4)
}
