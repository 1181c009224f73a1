package entry

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hibiscuslane.example/hibiscuslane/instance"
	"hibiscuslane.example/hibiscuslane/member"
	"hibiscuslane.example/hibiscuslane/peer"
	standin "hibiscuslane.example/hibiscuslane/standin/platform"
	"hibiscuslane.example/hibiscuslane/standin/target"
	"hibiscuslane.example/hibiscuslane/timer"
	"hibiscuslane.example/hibiscuslane/upstream"
)

// TestStoppingEntryGone guards against leases of an entry that end while its requests still run, because it is shutting down:
// their targets get more requests than they have slots.
func TestStoppingEntryGone(t *testing.T) {
	clock := timer.NewManual(time.Unix(1_000_000, 0))
	e := &Entry{timer: &clock.Service, group: &member.Group{Self: "1", Clients: &peer.Clients{}, Timer: &clock.Service}}
	e.group.SetList([]upstream.Instance{{ID: "1", Kind: instance.KindEntry}, {ID: "2", Kind: instance.KindEntry}})
	e.createReplicas()
	e.createRequestHandler()
	e.group.RecordStatus(&peer.Status{Entry: "2", Incarnation: 1, Stopping: true})
	require.False(t, e.slotServer.IsEntryGone("2"))
	clock.Advance(maxLeavingDelay)
	require.True(t, e.slotServer.IsEntryGone("2"), "it is silent")
}

// maxLeavingDelay is the time after which a leaving target must receive no new work.
const maxLeavingDelay = 3 * time.Second

// TestLeavingTarget marks a target as leaving in the platform's list only, while the target continues to
// accept work. It guards against entries that keep sending to it because they read the list too rarely.
func TestLeavingTarget(t *testing.T) {
	c := startCluster(t, 5, standin.Options{})
	c.publishExampleConfig()
	c.waitReady()
	load := c.startLoad(10)
	usable := c.entries[0].table.UsableTargets("web")
	var leaving *target.Target
	for _, emulatedTarget := range c.targets {
		if emulatedTarget.ID() == usable[0] {
			leaving = emulatedTarget
		}
	}
	require.NotNil(t, leaving)
	require.Eventually(t, func() bool { return len(leaving.Journal()) > 0 }, waitTimeout, time.Millisecond)
	listedInstance := leaving.ListedInstance()
	listedInstance.State = upstream.StateLeaving
	c.platform.Directory.SetEntry(listedInstance, true)
	markedAt := time.Now()
	for _, entry := range c.entries {
		require.Eventually(t, func() bool {
			found, ok := entry.table.Lookup(leaving.ID())
			return ok && found.Phase != "active"
		}, maxLeavingDelay, time.Millisecond)
	}
	elapsed := time.Since(markedAt)
	for i := range 50 {
		_, err := c.entries[i%5].call(http.MethodPost, "/hello", fmt.Sprint("late-", i))
		require.NoError(t, err)
	}
	load.stopAndWait()
	load.checkExecutions(c)
	for _, e := range leaving.Journal() {
		require.Less(t, e.Start.Sub(markedAt), maxLeavingDelay)
	}
	t.Logf("all entries had marked the target as leaving after %v", elapsed)
}
