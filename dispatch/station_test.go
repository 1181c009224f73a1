package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestRenewPause guards against a pool that stands idle in a burst of tasks of 1 s because ends are seen late,
// and against an owner that is busy with renewals only. The load is a burst over 240 workers, with ten tasks on
// each, as on a grown deployment.
func TestRenewPause(t *testing.T) {
	const workers, task = 240, time.Second
	pause := renewPause(workers, 0.8)
	require.Less(t, pause/2, task/10, "an end waits for half a pause in the mean")
	for _, cores := range []float64{0.2, 0.4, 0.8, 1} {
		renewals := workers / renewPause(workers, cores).Seconds()
		require.LessOrEqual(t, renewals*renewCost.Seconds(), renewShare*cores, "cores %v", cores)
	}
}
