package entry

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	standin "hibiscuslane.example/hibiscuslane/standin/platform"
	"hibiscuslane.example/hibiscuslane/standin/target"
	"hibiscuslane.example/hibiscuslane/upstream"
)

// leavingBound is the time after which a leaving target receives no new work.
const leavingBound = 3 * time.Second

// TestLeavingTarget lets the platform's list alone say that a target leaves, while the target itself
// goes on to accept work. It guards against entries that read the list rarely and keep sending.
func TestLeavingTarget(t *testing.T) {
	c := startCluster(t, 5, standin.Options{})
	c.publish()
	c.serving()
	l := c.startLoad(10)
	usable := c.entries[0].table.UsableTargets("web")
	var leaving *target.Target
	for _, machine := range c.targets {
		if machine.ID() == usable[0] {
			leaving = machine
		}
	}
	require.NotNil(t, leaving)
	require.Eventually(t, func() bool { return len(leaving.Journal()) > 0 }, patience, time.Millisecond)
	listing := leaving.Listing()
	listing.State = upstream.StateLeaving
	c.platform.Directory.SetEntry(listing, true)
	left := time.Now()
	for _, n := range c.entries {
		require.Eventually(t, func() bool {
			found, ok := n.table.Lookup(leaving.ID())
			return ok && found.Phase != "active"
		}, leavingBound, time.Millisecond)
	}
	took := time.Since(left)
	for i := range 50 {
		_, err := c.entries[i%5].call(http.MethodPost, "/hello", fmt.Sprint("late-", i))
		require.NoError(t, err)
	}
	l.end()
	l.check(c)
	for _, e := range leaving.Journal() {
		require.Less(t, e.Start.Sub(left), leavingBound)
	}
	t.Logf("all entries knew after %v", took)
}
