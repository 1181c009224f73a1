package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestRenewPause guards against idle capacity in a burst of 1 s tasks because ends are noticed late, and
// against an owner that spends too much of its processor time on renewals. The load is a burst on 240 workers with
// ten tasks each, as in a large deployment.
func TestRenewPause(t *testing.T) {
	const workers, taskDuration = 240, time.Second
	pause := renewalPause(workers, 0.8)
	require.Less(t, pause/2, taskDuration/10, "on average, an end waits for half a pause")
	for _, cores := range []float64{0.2, 0.4, 0.8, 1} {
		renewals := workers / renewalPause(workers, cores).Seconds()
		require.LessOrEqual(t, renewals*renewalCPUTime.Seconds(), maxRenewalCPUShare*cores, "cores %v", cores)
	}
}

// TestLateReportDropped guards against reports of an overloaded owner's workers that are dropped because they arrive after a
// fixed time: the ends that they list count as known, and the tasks run again. It also guards against workers that are
// found silent late by an owner with a usual load.
func TestLateReportDropped(t *testing.T) {
	require.Equal(t, minRenewalMargin, renewalMargin(0))
	require.Equal(t, minRenewalMargin, renewalMargin(5*time.Millisecond))
	require.Greater(t, renewalMargin(300*time.Millisecond), time.Second)
	require.Less(t, maxReportDelay+renewalMargin(time.Minute), leaseDuration, "one late report must not cost the lease")
}
