package route_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"hibiscuslane.example/hibiscuslane/fleet"
	"hibiscuslane.example/hibiscuslane/instance"
	"hibiscuslane.example/hibiscuslane/pool"
	"hibiscuslane.example/hibiscuslane/route"
	"hibiscuslane.example/hibiscuslane/timer"
	"hibiscuslane.example/hibiscuslane/upstream"
)

const poolName pool.Name = "a"

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func newTargets(n int) []fleet.Instance {
	instances := make([]fleet.Instance, 0, n)
	for i := range n {
		id := instance.ID(fmt.Sprintf("t%02d", i))
		instances = append(instances, fleet.Instance{
			ID: id, Kind: instance.KindTarget, Address: instance.Address(id), Pool: poolName,
			Phase: instance.PhaseActive, Incarnation: 5,
		})
	}
	return instances
}

func newTable(n int) (*route.Table, *timer.Manual) {
	clock := timer.NewManual(epoch)
	table := &route.Table{Timer: &clock.Service}
	table.UpdateFleet(newTargets(n))
	return table, clock
}

// TestLeaving guards against new work for a leaving target, whichever source is the first to report that it
// leaves. It also guards against a target that receives work under the same incarnation again because another
// source lags behind.
func TestLeaving(t *testing.T) {
	const id instance.ID = "t01"
	listedInstance := upstream.Instance{ID: id, Kind: instance.KindTarget, Incarnation: 5, State: upstream.StateLive}
	draining := newTargets(3)
	draining[1].Phase, draining[1].NextPool = instance.PhaseDraining, poolName
	cases := map[string]func(table *route.Table){
		"fleet": func(table *route.Table) { table.UpdateFleet(draining) },
		"list": func(table *route.Table) {
			leaving := listedInstance
			leaving.State = upstream.StateLeaving
			table.UpdateList([]upstream.Instance{leaving})
		},
		"refusal":             func(table *route.Table) { table.RecordRefusal(id, 5, upstream.RefusedDraining) },
		"incarnation refused": func(table *route.Table) { table.RecordRefusal(id, 5, upstream.RefusedIncarnation) },
		"list is ahead": func(table *route.Table) {
			rebooted := listedInstance
			rebooted.Incarnation = 6
			table.UpdateList([]upstream.Instance{rebooted})
		},
	}
	for source, markLeaving := range cases {
		t.Run(source, func(t *testing.T) {
			table, clock := newTable(3)
			require.Equal(t, []instance.ID{"t00", id, "t02"}, table.UsableTargets(poolName))
			markLeaving(table)
			for range 4 {
				require.Equal(t, []instance.ID{"t00", "t02"}, table.UsableTargets(poolName))
				target, ok := table.Lookup(id)
				require.True(t, ok)
				require.Equal(t, instance.PhaseDraining, target.Phase)
				clock.Advance(time.Second)
				table.UpdateList([]upstream.Instance{listedInstance})
				if source != "fleet" {
					table.UpdateFleet(newTargets(3))
				}
			}
			rejoined := newTargets(3)
			rejoined[1].Incarnation = 6
			table.UpdateFleet(rejoined)
			require.Equal(t, []instance.ID{"t00", id, "t02"}, table.UsableTargets(poolName))
		})
	}
	table, _ := newTable(3)
	table.RecordRefusal(id, 4, upstream.RefusedDraining)
	table.RecordRefusal(id, 5, upstream.RefusedFull)
	require.Len(t, table.UsableTargets(poolName), 3, "a late refusal or a full target must not count as leaving")
}

// TestEjectionShare guards against the ejection of more than half of the targets of a pool, for random
// failures and if other targets leave after the ejections.
func TestEjectionShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 12).Draw(t, "targets")
		table, clock := newTable(n)
		instances := newTargets(n)
		for _, step := range rapid.SliceOfN(rapid.IntRange(0, 99), 1, 200).Draw(t, "steps") {
			i := step % n
			switch {
			case step < 80:
				table.RecordResult(instances[i].ID, 5, route.ResultFailed)
			case step < 90:
				table.RecordResult(instances[i].ID, 5, route.ResultAnswered)
			case step < 95:
				clock.Advance(time.Second)
				table.ProbeEjected(context.Background(), fakeProber{fail: step%2 == 0})
			default:
				instances[i].Phase = instance.PhaseDraining
				table.UpdateFleet(instances)
			}
			active := 0
			for _, known := range instances {
				if known.Phase == instance.PhaseActive {
					active++
				}
			}
			require.GreaterOrEqual(t, len(table.UsableTargets(poolName)), active-active/2)
		}
	})
}

type fakeProber struct{ fail bool }

func (p fakeProber) Probe(context.Context, instance.Address) error {
	if p.fail {
		return context.DeadlineExceeded
	}
	return nil
}

// TestEjectionTimes guards against a failing target that is tried too often, because its ejection time
// does not increase, and against a target that is never restored.
func TestEjectionTimes(t *testing.T) {
	table, clock := newTable(2)
	reportFailures := func(times int) {
		for range times {
			table.RecordResult("t00", 5, route.ResultFailed)
		}
	}
	usable := func() int { return len(table.UsableTargets(poolName)) }
	reportFailures(2)
	require.Equal(t, 2, usable())
	table.RecordResult("t00", 5, route.ResultAnswered)
	reportFailures(2)
	table.RecordResult("t00", 4, route.ResultFailed)
	table.RecordResult("t00", 5, route.ResultNeutral)
	require.Equal(t, 2, usable(), "the failures are not consecutive, are of another incarnation, or do not concern a new connection")
	reportFailures(1)
	for _, seconds := range []time.Duration{1, 2, 4, 8, 16, 32, 60, 60} {
		require.Equal(t, 1, usable())
		clock.Advance(seconds*time.Second - time.Millisecond)
		table.ProbeEjected(context.Background(), fakeProber{})
		require.Equal(t, 1, usable(), "there must be no probe before %d s", seconds)
		clock.Advance(time.Millisecond)
		table.ProbeEjected(context.Background(), fakeProber{fail: true})
	}
	clock.Advance(time.Minute)
	table.ProbeEjected(context.Background(), fakeProber{})
	require.Equal(t, 2, usable())
	reportFailures(1)
	require.Equal(t, 1, usable(), "before the first response, one failure must eject again")
	clock.Advance(time.Minute)
	table.ProbeEjected(context.Background(), fakeProber{})
	table.RecordResult("t00", 5, route.ResultAnswered)
	reportFailures(2)
	require.Equal(t, 2, usable())
	reportFailures(1)
	clock.Advance(time.Second)
	table.ProbeEjected(context.Background(), fakeProber{})
	require.Equal(t, 2, usable(), "a response must reset the ejection time")
}
