package member_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hibiscuslane.example/hibiscuslane/instance"
	"hibiscuslane.example/hibiscuslane/member"
	"hibiscuslane.example/hibiscuslane/peer"
	"hibiscuslane.example/hibiscuslane/timer"
	"hibiscuslane.example/hibiscuslane/upstream"
)

func listEntries(ids ...instance.ID) []upstream.Instance {
	var list []upstream.Instance
	for _, id := range ids {
		list = append(list, upstream.Instance{ID: id, Kind: instance.KindEntry, Address: instance.Address("127.0.0.1:" + id)})
	}
	return list
}

func newGroup(clock *timer.Manual, self instance.ID) *member.Group {
	g := &member.Group{Self: self, Clients: &peer.Clients{}, Timer: &clock.Service}
	g.Status = func() *peer.Status { return &peer.Status{Entry: string(self), Incarnation: 1} }
	g.SetList(listEntries("1", "2", "3"))
	return g
}

// TestLiveness guards against ranking a peer that has stopped reporting, is shutting down, or is known only
// from a late report of an earlier incarnation.
func TestLiveness(t *testing.T) {
	clock := timer.NewManual(time.Unix(1_000_000, 0))
	g := newGroup(clock, "1")
	require.Equal(t, []instance.ID{"1"}, g.LiveEntries())
	_, err := g.Report(context.Background(), &peer.Status{Entry: "2", Incarnation: 2})
	require.NoError(t, err)
	g.RecordStatus(&peer.Status{Entry: "9", Incarnation: 2})
	require.Equal(t, []instance.ID{"1", "2"}, g.LiveEntries(), "an entry that is not listed has no address")
	clock.Advance(2 * time.Second)
	g.RecordStatus(&peer.Status{Entry: "2", Incarnation: 1})
	clock.Advance(2 * time.Second)
	require.Equal(t, []instance.ID{"1"}, g.LiveEntries(), "a late report of an earlier incarnation does not count")
	g.RecordStatus(&peer.Status{Entry: "3", Incarnation: 1, Stopping: true})
	require.Equal(t, []instance.ID{"1"}, g.LiveEntries())
}

// TestOrder guards against entries that rank the same members differently, and against keys that change owner
// although their owner is still live.
func TestOrder(t *testing.T) {
	clock := timer.NewManual(time.Unix(1_000_000, 0))
	a, b := newGroup(clock, "1"), newGroup(clock, "2")
	for _, id := range []string{"1", "2", "3"} {
		a.RecordStatus(&peer.Status{Entry: id, Incarnation: 1})
		b.RecordStatus(&peer.Status{Entry: id, Incarnation: 1})
	}
	before := map[string]instance.ID{}
	for i := range 100 {
		key := fmt.Sprint("pool-", i)
		require.Equal(t, a.Order(key), b.Order(key))
		before[key] = a.Owner(key)
	}
	a.RecordStatus(&peer.Status{Entry: "3", Incarnation: 1, Stopping: true})
	for key, owner := range before {
		if owner != "3" {
			require.Equal(t, owner, a.Owner(key))
		}
	}
}

// TestEntryWithEarlierClock guards against a working entry that counts as silent for good, so that its leases of slots end while its
// requests run: its clock was set back before it started again, and its reports counted as those of an earlier incarnation.
func TestEntryWithEarlierClock(t *testing.T) {
	clock := timer.NewManual(time.Unix(1_000_000, 0))
	g := newGroup(clock, "1")
	g.RecordStatus(&peer.Status{Entry: "2", Incarnation: 2})
	for range 5 {
		clock.Advance(time.Second)
		g.RecordStatus(&peer.Status{Entry: "2", Incarnation: 1})
	}
	require.False(t, g.IsSilent("2"))
	require.Equal(t, []instance.ID{"1", "2"}, g.LiveEntries())
}
