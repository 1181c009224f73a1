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

// TestOutageLoad guards against retries that multiply the load while all targets are down, for any
// pattern of arrivals: after each request, tries are at most (1 + fraction) x requests, plus the floor
// once per window.
func TestOutageLoad(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		clock := timer.NewManual(epoch)
		fraction := rapid.Float64Range(0.01, 0.5).Draw(t, "fraction")
		window := time.Duration(rapid.IntRange(1, 20).Draw(t, "window")) * time.Second
		floor := rapid.IntRange(-1, 5).Draw(t, "floor")
		if floor == 0 {
			floor = -1
		}
		policy := &retry.Policy{
			Timer:       &clock.Service,
			MaxAttempts: 10,
			Budget:      &retry.Budget{RetryRatio: fraction, MinRetries: floor, Window: window, Timer: &clock.Service},
		}
		requests, tries := 0, 0
		for _, gap := range rapid.SliceOfN(rapid.IntRange(0, 200), 1, 300).Draw(t, "gaps") {
			clock.Advance(time.Duration(gap) * time.Millisecond)
			call := policy.StartRequest(true, time.Time{})
			requests++
			tries++
			for call.RecordFailure(errNotRun).Retry {
				tries++
			}
		}
		windows := 1 + int(clock.Since(epoch)/window)
		bound := (1+fraction)*float64(requests) + float64(max(floor, 0)*windows)
		require.LessOrEqual(t, float64(tries), bound)
	})
}

// TestWindow guards against retries that are charged to requests outside the window.
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

// TestDecisions guards against a repeat that could execute a request twice, comes too late, or is
// pointless.
func TestDecisions(t *testing.T) {
	cases := []struct {
		name       string
		idempotent bool
		left       time.Duration
		errs       []error
		reason     retry.Reason
		outcome    failure.Outcome
	}{
		{"proved not run", false, time.Minute, []error{errNotRun}, retry.ReasonNotRun, failure.OutcomeNotRun},
		{"may have run", false, time.Minute, []error{errUnknown}, retry.ReasonUnsafe, failure.OutcomeUnknown},
		{"may have run, idempotent", true, time.Minute, []error{errUnknown}, retry.ReasonIdempotent, failure.OutcomeUnknown},
		{"not run after a try that may have run", true, time.Minute, []error{errUnknown, errNotRun}, retry.ReasonNotRun, failure.OutcomeUnknown},
		{"invalid", true, time.Minute, []error{errInvalid}, retry.ReasonPermanent, failure.OutcomeNotRun},
		{"no time", true, 15 * time.Millisecond, []error{errNotRun}, retry.ReasonDeadline, failure.OutcomeNotRun},
		{"too many tries", true, time.Minute, []error{errNotRun, errNotRun, errNotRun, errNotRun}, retry.ReasonMaxAttempts, failure.OutcomeNotRun},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			clock := timer.NewManual(epoch)
			policy := &retry.Policy{Timer: &clock.Service, Budget: &retry.Budget{MinRetries: 10, Timer: &clock.Service}}
			call := policy.StartRequest(c.idempotent, epoch.Add(c.left))
			var decision retry.Decision
			for _, err := range c.errs {
				decision = call.RecordFailure(err)
			}
			require.Equal(t, c.reason, decision.Reason)
			require.Equal(t, c.outcome, failure.Of(call.FinalError(c.errs[len(c.errs)-1])).Outcome())
		})
	}
}

// TestDelay guards against delays that do not grow, exceed the maximum, or are all equal.
func TestDelay(t *testing.T) {
	clock := timer.NewManual(epoch)
	policy := &retry.Policy{
		Timer: &clock.Service, MaxAttempts: 100, BaseDelay: 20 * time.Millisecond, MaxDelay: 100 * time.Millisecond,
		Budget: &retry.Budget{MinRetries: 1000, Timer: &clock.Service},
	}
	call := policy.StartRequest(true, time.Time{})
	seen := map[time.Duration]bool{}
	for _, most := range []time.Duration{20, 40, 80, 100, 100, 100, 100, 100} {
		delay := call.RecordFailure(errNotRun).Delay
		require.LessOrEqual(t, delay, most*time.Millisecond)
		require.GreaterOrEqual(t, delay, most*time.Millisecond/2)
		seen[delay] = true
	}
	require.Greater(t, len(seen), 4)
}
