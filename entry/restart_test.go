package entry

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hibiscuslane.example/hibiscuslane/instance"
	"hibiscuslane.example/hibiscuslane/member"
	"hibiscuslane.example/hibiscuslane/peer"
	"hibiscuslane.example/hibiscuslane/pool"
	"hibiscuslane.example/hibiscuslane/team"
	"hibiscuslane.example/hibiscuslane/timer"
	"hibiscuslane.example/hibiscuslane/upstream"
)

// onePool is a pool with one target that has one slot.
type onePool struct{}

func (onePool) UsableTargets(pool.Name) []instance.ID { return []instance.ID{"a"} }
func (onePool) TeamWeight(team.Name) int              { return 1 }
func (onePool) PoolSpec(pool.Name) (pool.Spec, bool)  { return pool.Spec{Slots: 1, MaxQueued: 10}, true }

// TestLeasesOfRestartedEntry guards against slots that stay leased for good: their holder crashed and started again within the time
// after which it counts as silent, and its new process has no requests for the pool, so that it reports nothing about it.
func TestLeasesOfRestartedEntry(t *testing.T) {
	clock := timer.NewManual(time.Unix(1_000_000, 0))
	e := &Entry{timer: &clock.Service, group: &member.Group{Self: "1", Clients: &peer.Clients{}, Timer: &clock.Service}}
	e.group.SetList([]upstream.Instance{{ID: "1", Kind: instance.KindEntry}, {ID: "2", Kind: instance.KindEntry}})
	e.createReplicas()
	e.createRequestHandler()
	e.slotServer.Capacity = onePool{}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go func() { _ = e.slotServer.Run(ctx) }() // ends with the test
	e.group.RecordStatus(&peer.Status{Entry: "2", Incarnation: 1})
	_, err := e.slotServer.Acquire(ctx, &peer.Ticket{Entry: "2", Incarnation: 1, Number: 1, Pool: "web", Left: time.Minute.Microseconds()})
	require.NoError(t, err)
	require.Equal(t, 1, e.slotServer.Usage()[0].Used)
	require.Eventually(t, func() bool {
		e.group.RecordStatus(&peer.Status{Entry: "2", Incarnation: 2})
		clock.Advance(100 * time.Millisecond)
		return e.slotServer.Usage()[0].Used == 0
	}, time.Second, time.Millisecond, "the process that held the slot has ended")
}

// TestInheritedLeasesOfRestartedEntry guards against the same for leases that a former owner granted: the holder reported them to this
// owner before it crashed.
func TestInheritedLeasesOfRestartedEntry(t *testing.T) {
	clock := timer.NewManual(time.Unix(1_000_000, 0))
	e := &Entry{timer: &clock.Service, group: &member.Group{Self: "1", Clients: &peer.Clients{}, Timer: &clock.Service}}
	e.group.SetList([]upstream.Instance{{ID: "1", Kind: instance.KindEntry}, {ID: "2", Kind: instance.KindEntry}})
	e.createReplicas()
	e.createRequestHandler()
	e.slotServer.Capacity = onePool{}
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go func() { _ = e.slotServer.Run(ctx) }() // ends with the test
	e.group.RecordStatus(&peer.Status{Entry: "2", Incarnation: 1})
	_, err := e.slotServer.Release(ctx, &peer.Returns{Entry: "2", Incarnation: 1, Pool: "web", Complete: true, Held: []*peer.Grant{{Lease: "former-1", Pool: "web", Target: "a"}}})
	require.NoError(t, err)
	require.Equal(t, 1, e.slotServer.Usage()[0].Used)
	require.Eventually(t, func() bool {
		e.group.RecordStatus(&peer.Status{Entry: "2", Incarnation: 2})
		clock.Advance(100 * time.Millisecond)
		return e.slotServer.Usage()[0].Used == 0
	}, time.Second, time.Millisecond, "the process that held the slot has ended")
}
