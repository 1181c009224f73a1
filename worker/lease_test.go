package worker_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"hibiscuslane.example/hibiscuslane/worker"
)

// TestLeaseNeverEarly guards against a lease that counts as expired while the worker still holds it. This
// can happen when the worker's clock is up to 2 % slow, responses arrive late, or an order that extended the lease
// got no response.
func TestLeaseNeverEarly(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		start := time.UnixMilli(1_000_000)
		now := start
		clockRate := rapid.Float64Range(0.98, 1).Draw(t, "clock rate")
		clock := func(at time.Time) worker.Clock {
			return worker.Clock(1000 + clockRate*float64(at.Sub(start).Milliseconds()))
		}
		var lease worker.Lease
		var deadline worker.Clock // the end of the lease as the worker sees it
		for range rapid.IntRange(1, 20).Draw(t, "steps") {
			readAt := now
			now = now.Add(time.Duration(rapid.IntRange(1, 800).Draw(t, "delay")) * time.Millisecond)
			lease.RecordClock(clock(readAt), now)
			if rapid.Bool().Draw(t, "grant") {
				deadline = max(deadline, lease.Grant(now, 3500*time.Millisecond))
			}
			now = now.Add(time.Duration(rapid.IntRange(1, 5000).Draw(t, "pause")) * time.Millisecond)
			if lease.IsExpired(now) {
				require.GreaterOrEqual(t, clock(now), deadline)
			}
		}
	})
}

// TestLeaseUnknown guards against treating the lease of a worker that has never answered as expired: such a
// worker may still run tasks.
func TestLeaseUnknown(t *testing.T) {
	var lease worker.Lease
	require.False(t, lease.IsExpired(time.Now().Add(time.Hour)))
}

// TestLeaseMargin guards against a margin that counts the time since the last response twice or not at all.
func TestLeaseMargin(t *testing.T) {
	var lease worker.Lease
	now := time.UnixMilli(1_000_000)
	require.Zero(t, lease.Remaining(now))
	require.False(t, lease.IsGranted(), "a lease that was never granted is not late")
	lease.RecordClock(500, now)
	lease.Grant(now.Add(time.Second), 3500*time.Millisecond)
	require.Equal(t, 3500*time.Millisecond, lease.Remaining(now.Add(time.Second)))
	require.Equal(t, -500*time.Millisecond, lease.Remaining(now.Add(5*time.Second)))
}

// TestClockOfNewWorker guards against a worker that gets no tasks: it answered the first call within a millisecond of its start, with a
// clock of zero, which counted as unknown, and an idle worker is not asked again.
func TestClockOfNewWorker(t *testing.T) {
	var l worker.Lease
	l.RecordClock(0, time.Unix(100, 0))
	require.True(t, l.HasClock())
}
