package planner

import (
	"fmt"
	"testing"
	"time"

	"hibiscuslane.example/hibiscuslane/config"
	"hibiscuslane.example/hibiscuslane/fleet"
	"hibiscuslane.example/hibiscuslane/instance"
	"hibiscuslane.example/hibiscuslane/pool"
	"hibiscuslane.example/hibiscuslane/site"
	"hibiscuslane.example/hibiscuslane/upstream"
)

const (
	benchCentres = 14
	// benchInstancesPerPool is the mean number of instances in a pool at the design scale, and
	// benchMaxPools the number of pools at the design scale.
	benchInstancesPerPool = 23
	benchMaxPools         = 290
	// benchMaintenanceDays is the maintenance period at the design scale.
	benchMaintenanceDays = 21
)

// BenchmarkPlan measures a plan for a fleet in which all instances are healthy, and for one in which 1 %
// of them have been missing long enough to be lost. Both plans include the maintenance that is due.
func BenchmarkPlan(b *testing.B) {
	for _, missing := range []bool{false, true} {
		for _, size := range []int{100, 1000, 6600, 20_000} {
			b.Run(fmt.Sprintf("missing=%t/instances=%d", missing, size), func(b *testing.B) {
				in := benchInput(size, missing)
				b.ReportAllocs()
				records := 0
				for b.Loop() {
					records = len(Plan(in))
				}
				b.ReportMetric(float64(records), "records")
			})
		}
	}
}

// BenchmarkAbsenceAndActions measures what a cycle does in addition to its plan: the update of the absence
// tracker and the computation of the actions.
func BenchmarkAbsenceAndActions(b *testing.B) {
	for _, size := range []int{100, 1000, 6600, 20_000} {
		b.Run(fmt.Sprintf("instances=%d", size), func(b *testing.B) {
			in := benchInput(size, false)
			var tracker absenceTracker
			b.ReportAllocs()
			for n := 0; b.Loop(); n++ {
				tracker.update(in.Now.Add(time.Duration(n)*time.Second), in.ListedInstances, in.Fleet)
				Actions(in)
			}
		})
	}
}

// benchInput returns an input whose instances are spread evenly over pools, data centres and racks of
// four instances.
func benchInput(size int, missing bool) Input {
	in := Input{Now: epoch.Add(benchMaintenanceDays * day), Sites: map[site.Name]config.Settings{}, MissingFor: map[instance.ID]time.Duration{}}
	pools := min(benchMaxPools, max(1, size/benchInstancesPerPool))
	for c := range benchCentres {
		in.Sites[benchSite(c)] = config.Settings{
			Pools:       map[pool.Name]pool.Spec{},
			Maintenance: config.Maintenance{PeriodDays: benchMaintenanceDays, MaxPerRack: 1, MaxPerCentre: 4, PauseAfterFailures: 1000},
		}
	}
	for n := range size {
		centre, name := n%benchCentres, pool.Name(fmt.Sprint("pool-", n/benchCentres%pools))
		i := fleet.Instance{
			ID: instance.ID(fmt.Sprintf("worker-%06d", n)), Kind: instance.KindWorker, Address: "127.0.0.1:1",
			Centre: site.DataCentre(benchSite(centre)), Rack: site.Rack(fmt.Sprint("rack-", n/benchCentres/4)), Pool: name,
			Phase: instance.PhaseActive, Incarnation: 1, Version: 1,
			// The last reboots are spread over the maintenance period, so that a constant share of the
			// instances is due.
			JoinedAt: fleet.TimestampOf(epoch.Add(time.Duration(n%benchMaintenanceDays) * day)),
		}
		i.PhaseSince = i.JoinedAt
		in.Fleet = append(in.Fleet, i)
		in.ListedInstances = append(in.ListedInstances, upstream.Instance{
			ID: i.ID, Kind: i.Kind, Address: i.Address, Incarnation: 1, Centre: i.Centre, Rack: i.Rack, State: upstream.StateLive,
		})
		if missing && n%100 == 0 {
			in.MissingFor[i.ID] = 2 * missingLimit
		}
		addWorker(in.Sites[benchSite(centre)].Pools, name)
	}
	return in
}

func benchSite(n int) site.Name { return site.Name(fmt.Sprintf("centre-%02d", n)) }

// addWorker adds one worker to the size of a pool at a site and adjusts the budget.
func addWorker(pools map[pool.Name]pool.Spec, name pool.Name) {
	spec := pools[name]
	spec.Size.Workers++
	spec.Budget.Workers = spec.Size.Workers * 3 / 4
	pools[name] = spec
}
