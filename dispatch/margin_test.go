package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestLateRenewalUnseen guards against leases that are renewed at the last moment without a trace in metrics and logs, and
// against a log line for each of them.
func TestLateRenewalUnseen(t *testing.T) {
	var m leaseMargins
	now := time.UnixMilli(1_700_000_000_000)
	require.Equal(t, leaseDuration, m.smallest())
	require.False(t, m.add(2*time.Second, now))
	require.True(t, m.add(100*time.Millisecond, now))
	require.False(t, m.add(50*time.Millisecond, now))
	require.Equal(t, 50*time.Millisecond, m.smallest())
	now = now.Add(marginWindow + time.Second)
	m.add(3*time.Second, now)
	require.Equal(t, 50*time.Millisecond, m.smallest(), "the window before still counts")
	now = now.Add(marginWindow + time.Second)
	m.add(3*time.Second, now)
	require.Equal(t, 3*time.Second, m.smallest())
}
