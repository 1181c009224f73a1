package dispatch

import (
	"testing"

	"github.com/stretchr/testify/require"

	"hibiscuslane.example/hibiscuslane/worker"
)

// TestRestartUnlisted guards against a late start on a restarted worker that stays unknown: the report that shows the
// restart was asked for without the runs, and the worker is not asked again.
func TestRestartUnlisted(t *testing.T) {
	d, s, _, unlisted := newRestart(t)
	d.removeRun(unlisted)
	renewal, _ := d.nextRenewal(s)
	require.True(t, renewal.EndsOnly)
	now := d.clock.Now()
	d.applyReport(s, worker.Report{Incarnation: 2000, Clock: 500}, now, now)
	require.Empty(t, s.runs)
	renewal, isAsked := d.nextRenewal(s)
	require.True(t, isAsked)
	require.False(t, renewal.EndsOnly)
}
