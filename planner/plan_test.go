package planner

import (
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"hibiscuslane.example/hibiscuslane/config"
	"hibiscuslane.example/hibiscuslane/fleet"
	"hibiscuslane.example/hibiscuslane/instance"
	"hibiscuslane.example/hibiscuslane/pool"
	"hibiscuslane.example/hibiscuslane/site"
	"hibiscuslane.example/hibiscuslane/stream"
)

// smallSites declares a pool with headroom, one without, and a spare pool, at three sites.
func smallSites() map[site.Name]config.Settings {
	sites := map[site.Name]config.Settings{}
	for _, name := range []site.Name{"c1", "c2", "c3"} {
		sites[name] = config.Settings{
			Region: "r",
			Pools: map[pool.Name]pool.Spec{
				"loose": {Size: pool.Count{Targets: 2, Workers: 1}, Budget: pool.Count{Targets: 1}},
				"tight": {Size: pool.Count{Targets: 2}, Budget: pool.Count{Targets: 2}},
				"spare": {Size: pool.Count{Targets: 1, Workers: 1}, Spare: true},
			},
			Maintenance: config.Maintenance{Days: 21, Rack: 1, Centre: 2, Pause: 3},
		}
	}
	return sites
}

// step is one random event of a history.
func (w *world) step(t *rapid.T) {
	n := rapid.IntRange(0, len(w.views)-1).Draw(t, "viewer")
	v := w.views[n]
	switch rapid.SampledFrom([]string{"fail", "advance", "advance", "read", "see", "plan", "plan", "act", "report", "restart"}).Draw(t, "step") {
	case "fail":
		m := rapid.SampledFrom(w.machines).Draw(t, "machine")
		w.stop(m, time.Duration(rapid.IntRange(10, 3600).Draw(t, "seconds"))*time.Second)
	case "advance":
		w.advance(time.Duration(rapid.IntRange(1, 300).Draw(t, "seconds")) * time.Second)
	case "read":
		w.read(v, rapid.IntRange(1, 20).Draw(t, "records"))
	case "see":
		w.see(n)
	case "plan":
		for _, p := range w.plan(n) {
			copies := rapid.SampledFrom([]int{0, 1, 1, 1, 2}).Draw(t, "copies")
			for range copies {
				w.append(p.Body)
			}
		}
	case "act":
		w.act(n)
	case "report":
		m := rapid.SampledFrom(w.machines).Draw(t, "machine")
		v.failing = map[instance.ID]time.Duration{m.ID: time.Duration(rapid.IntRange(0, 600).Draw(t, "seconds")) * time.Second}
	case "restart":
		w.views[n] = &viewer{}
		w.see(n)
	}
}

// TestRandomHistories guards, over failures, lagging views, racing planners, lost and repeated
// appends, restarts and maintenance, against an instance in two pools, a pool that changes without a
// higher incarnation, a pool taken below its budget by a drain, and a plan that never comes to rest.
func TestRandomHistories(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t, smallSites(), 2)
		w.build(0)
		if rapid.Bool().Draw(t, "due") {
			w.advance(16 * day)
		}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			w.step(t)
		}
		w.settle(t)
	})
}

// settle ends all failures and expects the plans to become empty, all sizes to be met, and every
// instance to have been visited by maintenance.
func (w *world) settle(t require.TestingT) {
	for _, m := range w.machines {
		if !m.up {
			m.wakes = w.now
		}
	}
	for _, v := range w.views {
		v.failing = nil
	}
	const rounds, quiet = 300, 20 // 20 rounds of a minute outlast every delay of the planner
	for n, idle := 0, 0; idle < quiet; n++ {
		require.Less(t, n, rounds, "the plan does not come to rest; it still proposes\n%s", reasons(w.plan(0)))
		idle++
		if w.round(time.Minute) > 0 {
			idle = 0
		}
	}
	for name, kinds := range map[pool.Name]map[instance.Kind]int{"loose": {instance.KindTarget: 6, instance.KindWorker: 3}, "tight": {instance.KindTarget: 6}} {
		for kind, size := range kinds {
			require.Equal(t, fleet.PhaseCounts{Active: size}, w.state.CountByPhase(name, kind), "pool %s, kind %s", name, kind)
		}
	}
	for _, i := range w.state.Instances() {
		require.Less(t, w.now.Sub(i.JoinedAt.AsTime()), 15*day, "maintenance did not visit %s", i.ID)
	}
}

// TestBurst guards against instances that move because of a burst: high demand, and targets that look
// failing, for a few seconds.
func TestBurst(t *testing.T) {
	w := newWorld(t, smallSites(), 1)
	w.build(0)
	w.advance(time.Hour)
	w.see(0)
	in := w.input(0)
	in.History.Demand = map[pool.Name]float64{"loose": 30}
	in.FailingFor = map[instance.ID]time.Duration{}
	in.MissingFor = map[instance.ID]time.Duration{}
	for n, i := range in.Fleet {
		if i.Pool != "spare" {
			in.FailingFor[i.ID] = time.Duration(n%10) * time.Second
			in.MissingFor[i.ID] = time.Duration(n%7) * time.Second
		}
	}
	require.Empty(t, reasons(Plan(in)))
}

// TestDataCentreLoss guards against a lost data centre that is not replaced from the spare pool, or
// that is replaced by more instances than the pools lack.
func TestDataCentreLoss(t *testing.T) {
	w := newWorld(t, smallSites(), 1)
	w.build(0)
	for _, m := range w.machines {
		if m.Centre == "c2" {
			w.stop(m, 3*time.Hour)
		}
	}
	for range 8 {
		w.round(30 * time.Second)
	}
	require.Equal(t, 2, w.moves, "above its budget a pool waits for its instances to return")
	for range 52 {
		w.round(30 * time.Second)
	}
	require.Equal(t, 6, w.state.CountByPhase("tight", instance.KindTarget).Active, "the pool below its budget comes first")
	require.Equal(t, 0, w.state.CountByPhase("spare", instance.KindTarget).Active, "all spare targets are in use")
	require.Equal(t, 3, w.moves, "two targets and one worker were spare")
	w.advance(3 * time.Hour)
	w.settle(t)
}

// TestListFault guards against a list that comes back nearly empty and has the whole fleet declared
// lost.
func TestListFault(t *testing.T) {
	w := newWorld(t, smallSites(), 1)
	w.build(0)
	w.advance(time.Hour)
	w.machines = w.machines[:3]
	w.see(0)
	require.Contains(t, w.views[0].presence.absent, w.state.Instances()[9].ID)
	require.Empty(t, reasons(w.plan(0)))
	w.machines = nil
	w.see(0)
	require.Empty(t, reasons(w.plan(0)))
}

// TestWave guards against maintenance that goes on while failures come in a wave, and against drains
// beyond the limit of a rack or of a data centre.
func TestWave(t *testing.T) {
	for _, limit := range []config.Maintenance{{Days: 21, Rack: 1, Centre: 9, Pause: 3}, {Days: 21, Rack: 9, Centre: 2, Pause: 3}} {
		sites := smallSites()
		for name, settings := range sites {
			settings.Maintenance, settings.Weights.Rollout = limit, 1
			sites[name] = settings
		}
		w := newWorld(t, sites, 1)
		w.build(3)
		w.advance(16 * day)
		w.see(0)
		down := map[domain]int{}
		for _, p := range w.plan(0) {
			i, _ := w.state.Instance(p.Body.Header().ID)
			if p.Body.(*fleet.Drain).NextPool == i.Pool {
				down[domain{centre: i.Centre, rack: i.Rack}]++
				down[domain{centre: i.Centre}]++
			}
		}
		require.NotEmpty(t, down)
		for d, n := range down {
			if d.rack == "" {
				require.LessOrEqual(t, n, limit.Centre, "data centre %s", d.centre)
			} else {
				require.LessOrEqual(t, n, limit.Rack, "rack %s", d.rack)
			}
		}
		in := w.input(0)
		for _, i := range in.Fleet[:3] {
			in.History.RecentFailures = append(in.History.RecentFailures, Failure{ID: i.ID, At: w.now.Add(-9 * time.Minute)})
		}
		require.Empty(t, reasons(Plan(in)), "three failures in ten minutes pause maintenance")
	}
}

// raised returns two planners before a maintenance wave, in which pool tight has one target above its
// budget of six from the wave before.
func raised(t require.TestingT) *world {
	w := newWorld(t, smallSites(), 2)
	w.build(0)
	w.advance(16 * day)
	for n := 0; w.state.CountByPhase("tight", instance.KindTarget).Active < 7; n++ {
		require.Less(t, n, 60, "no instance joins a pool that has no headroom for maintenance")
		w.round(time.Minute)
	}
	w.advance(16 * day)
	return w
}

// TestRacingDrains guards against two planners with different views that drain different instances of
// a pool which has headroom for one.
func TestRacingDrains(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := raised(t)
		plans := make([][]Proposal, len(w.views))
		for n := range w.views {
			w.see(n)
			in := w.input(n)
			for k := range in.Fleet {
				if rapid.Bool().Draw(t, "not due in this view") {
					in.Fleet[k].JoinedAt = fleet.TimestampOf(w.now)
				}
			}
			plans[n] = Plan(in)
		}
		for _, plan := range plans {
			for _, p := range plan {
				w.append(p.Body)
			}
		}
	})
}

// TestSurplus guards against a surplus that is given back before the pool has settled, that is given
// back more than once, or that takes the pool below its size.
func TestSurplus(t *testing.T) {
	w := newWorld(t, smallSites(), 1)
	w.build(0)
	settings := w.sites["c1"]
	settings.Pools["loose"] = pool.Spec{Size: pool.Count{Targets: 1, Workers: 1}}
	require.Zero(t, w.round(time.Minute))
	require.Equal(t, 0, w.moves)
	require.Equal(t, 1, w.round(time.Hour))
	for range 30 {
		w.round(time.Minute)
	}
	require.Equal(t, fleet.PhaseCounts{Active: 5}, w.state.CountByPhase("loose", instance.KindTarget))
	require.Equal(t, 1, w.moves)
}

// TestSpareBudget guards against a spare pool that is emptied below its own availability budget.
func TestSpareBudget(t *testing.T) {
	sites := smallSites()
	for _, settings := range sites {
		settings.Pools["spare"] = pool.Spec{Size: pool.Count{Targets: 1}, Budget: pool.Count{Targets: 1}, Spare: true}
	}
	w := newWorld(t, sites, 1)
	w.build(0)
	w.stop(w.machine("c1-target-00"), time.Hour)
	for range 60 {
		w.round(time.Minute)
	}
	require.Equal(t, 0, w.moves)
}

// TestReplacementSite guards against a replacement from another site while the same site has a spare
// instance, and against no replacement when only another site has one.
func TestReplacementSite(t *testing.T) {
	for want, lost := range map[site.DataCentre][]pool.Name{"c3": {"tight"}, "c1": {"tight", "spare"}} {
		w := newWorld(t, smallSites(), 1)
		w.build(0)
		for _, i := range w.state.Instances() {
			if i.Centre == "c3" && i.Kind == instance.KindTarget && slices.Contains(lost, i.Pool) {
				w.stop(w.machine(i.ID), time.Hour)
			}
		}
		w.round(20 * time.Second)
		first, ok := w.plan(0), false
		require.Empty(t, first, "the plan is complete in one round")
		for _, c := range w.state.ChangesFrom(0) {
			if c.Kind == fleet.KindDrain && !ok {
				i, _ := w.state.Instance(c.ID)
				require.Equal(t, want, i.Centre)
				ok = true
			}
		}
		require.True(t, ok)
	}
}

// TestSpread guards against a new fleet whose first site fills the pools of all sites.
func TestSpread(t *testing.T) {
	w := newWorld(t, smallSites(), 1)
	w.build(0)
	count := map[place]int{}
	for _, i := range w.state.Instances() {
		count[place{group: group{pool: i.Pool, kind: i.Kind}, site: site.Name(i.Centre)}]++
	}
	for name, settings := range w.sites {
		for poolName, spec := range settings.Pools {
			require.Equal(t, spec.Size.Targets, count[place{group: group{pool: poolName, kind: instance.KindTarget}, site: name}])
		}
	}
}

// TestFloorRace guards against two planners that take a pool below its budget together. One of them
// does not know yet that maintenance was switched off at a site, so they drain instances of different
// data centres, and only the floor in the fold can refuse the second drain: the limits of rack and data
// centre are wide.
func TestFloorRace(t *testing.T) {
	for _, order := range [][]int{{0, 1}, {1, 0}} {
		w := raised(t)
		for name, settings := range w.sites {
			settings.Maintenance.Rack, settings.Maintenance.Centre = len(w.machines), len(w.machines)
			w.sites[name] = settings
		}
		var drains []*fleet.Drain
		for n := range w.views {
			w.see(n)
			in := w.input(n)
			if n == 1 {
				in.Sites = maps.Clone(in.Sites)
				settings := in.Sites["c1"]
				settings.Maintenance.Days = 0
				in.Sites["c1"] = settings
			}
			drains = append(drains, drainsOf(w, Plan(in), "tight")...)
		}
		require.Len(t, drains, 2, "each planner uses the headroom of one")
		require.NotEqual(t, w.machine(drains[0].ID).Centre, w.machine(drains[1].ID).Centre)
		require.Equal(t, stream.ResultApplied, w.append(drains[order[0]]).Result)
		second := w.append(drains[order[1]])
		require.Equal(t, stream.ResultStale, second.Result)
		require.Contains(t, second.Reason, "pool tight has 6 active instances of kind target and must keep 6")
		require.Equal(t, 6, w.state.CountByPhase("tight", instance.KindTarget).Active)
	}
}

// drainsOf returns the drains of targets of a pool.
func drainsOf(w *world, proposals []Proposal, name pool.Name) []*fleet.Drain {
	var drains []*fleet.Drain
	for _, p := range proposals {
		drain, ok := p.Body.(*fleet.Drain)
		if i, _ := w.state.Instance(p.Body.Header().ID); ok && i.Pool == name && i.Kind == instance.KindTarget {
			drains = append(drains, drain)
		}
	}
	return drains
}

// TestBusySurplus guards against a pool that loses its surplus, to a spare pool or to a short one, while
// it uses more than busyShare of its size.
func TestBusySurplus(t *testing.T) {
	for next, spare := range map[pool.Name]int{"spare": 0, "tight": 1} {
		w := newWorld(t, smallSites(), 1)
		w.build(0)
		for _, settings := range w.sites {
			settings.Pools["spare"] = pool.Spec{Size: pool.Count{Targets: 1, Workers: 1}, Budget: pool.Count{Targets: spare}, Spare: true}
		}
		w.sites["c1"].Pools["loose"] = pool.Spec{Size: pool.Count{Targets: 1, Workers: 1}}
		if next == "tight" {
			w.sites["c1"].Pools["tight"] = pool.Spec{Size: pool.Count{Targets: 3}, Budget: pool.Count{Targets: 2}}
		}
		w.advance(time.Hour)
		w.see(0)
		in := w.input(0)
		// The pool has six targets and a size of five.
		in.History.Demand = map[pool.Name]float64{"loose": 5*busyShare + 0.1}
		require.Empty(t, reasons(Plan(in)))
		in.History.Demand["loose"] = 5 * busyShare
		drains := drainsOf(w, Plan(in), "loose")
		require.Len(t, drains, 1)
		require.Equal(t, next, drains[0].NextPool)
	}
}
