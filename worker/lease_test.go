package worker_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"hibiscuslane.example/hibiscuslane/worker"
)

// TestLeaseNeverEarly guards against a lease that is taken for expired while the worker still runs: its
// clock may be 2 % slow, answers arrive late, and grants may have had no answer.
func TestLeaseNeverEarly(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		begin := time.UnixMilli(1_000_000)
		now := begin
		rate := rapid.Float64Range(0.98, 1).Draw(t, "rate")
		clock := func(at time.Time) worker.Clock {
			return worker.Clock(1000 + rate*float64(at.Sub(begin).Milliseconds()))
		}
		var l worker.Lease
		var until worker.Clock // the worker's own view
		for range rapid.IntRange(1, 20).Draw(t, "steps") {
			read := now
			now = now.Add(time.Duration(rapid.IntRange(1, 800).Draw(t, "delay")) * time.Millisecond)
			l.RecordClock(clock(read), now)
			if rapid.Bool().Draw(t, "grant") {
				until = max(until, l.Grant(now, 3500*time.Millisecond))
			}
			now = now.Add(time.Duration(rapid.IntRange(1, 5000).Draw(t, "pause")) * time.Millisecond)
			if l.IsExpired(now) {
				require.GreaterOrEqual(t, clock(now), until)
			}
		}
	})
}

// TestLeaseUnknown guards against a worker that was never heard of being taken for empty.
func TestLeaseUnknown(t *testing.T) {
	var l worker.Lease
	require.False(t, l.IsExpired(time.Now().Add(time.Hour)))
}
