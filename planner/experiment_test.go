package planner

import (
	"cmp"
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"text/tabwriter"
	"time"

	"github.com/stretchr/testify/require"

	"hibiscuslane.example/hibiscuslane/config"
	"hibiscuslane.example/hibiscuslane/fleet"
	"hibiscuslane.example/hibiscuslane/instance"
	"hibiscuslane.example/hibiscuslane/pool"
	"hibiscuslane.example/hibiscuslane/site"
	"hibiscuslane.example/hibiscuslane/stream"
	"hibiscuslane.example/hibiscuslane/upstream"
)

const (
	// trialStep is the time between two plans. It keeps the experiment below a minute with the race
	// detector.
	trialStep = 10 * time.Second
	// trialPeriod is the maintenance period in days. All instances are due when a day starts.
	trialPeriod = 1
	// failuresPerInstance and restartsPerInstance are those of a day of the target size.
	failuresPerInstance = 41.0 / 6600
	restartsPerInstance = 550.0 / 6600
	// failureTime is the time until a failed instance is replaced.
	failureTime = 2 * time.Hour
	// The rack is lost in the middle of the maintenance wave that starts the day.
	rackLossAt   = 10 * time.Minute
	centreLossAt = 12 * time.Hour
	domainLoss   = 10 * time.Minute
	// meanUse is the mean demand of a pool, in busy targets per target of its size. The other two are
	// factors of the mean: a burst exceeds the capacity of its pool.
	meanUse     = 0.3
	burstFactor = 5.0
	quietFactor = 1.0 / 20
)

// trialDays is the number of recorded days per user, each with its own seed. More than one takes over a
// minute with the race detector.
var trialDays = flag.Int("days", 1, "days of the experiment")

// way is a method of assigning instances to pools.
type way string

const (
	wayPlanner way = "planner"
	wayStatic  way = "static"
	wayGreedy  way = "greedy"
)

var ways = []way{wayPlanner, wayStatic, wayGreedy}

// outage takes machines down together.
type outage struct {
	at       time.Duration
	machines []int
	lasts    time.Duration
}

// figures are the results of a trial, in instance-seconds unless stated otherwise.
type figures struct {
	spare     float64
	above     float64
	belowSize float64
	// below is the time below the availability budget, and drained the part of it that the instances
	// which drain would have covered.
	below   float64
	drained float64
	// times counts the falls below the budget, and own the drains that caused or deepened one.
	times int
	own   int
	moves int
	// rollout is the time of the wave that starts the day: until every instance in service has been
	// rebooted. A wave that does not end counts as a day.
	rollout time.Duration
}

func (f *figures) add(o figures) {
	f.spare += o.spare
	f.above += o.above
	f.belowSize += o.belowSize
	f.below += o.below
	f.drained += o.drained
	f.times += o.times
	f.own += o.own
	f.moves += o.moves
	f.rollout = max(f.rollout, o.rollout)
}

// trial is one day of one user under one way.
type trial struct {
	*world
	way    way
	start  time.Time
	byID   map[instance.ID]*machine
	groups map[group]*tally
	demand demand
	low    map[group]bool
	figures
}

func newTrial(t *testing.T, sites map[site.Name]config.Settings, w way) *trial {
	e := &trial{world: newWorld(t, sites, 1), way: w, byID: map[instance.ID]*machine{}, low: map[group]bool{}}
	e.build(0)
	e.groups = newView(e.input(0)).groups
	for _, m := range e.machines {
		e.byID[m.ID] = m
	}
	e.start = epoch.Add(time.Duration(dueShare * trialPeriod * float64(day)))
	e.now = e.start
	return e
}

// run steps through a day. An outage is not on the list yet when the plan of its step is made.
func (e *trial) run(outages []outage) figures {
	for n := 0; e.now.Sub(e.start) < day; n++ {
		e.see(0)
		for len(outages) > 0 && !e.now.Before(e.start.Add(outages[0].at)) {
			for _, k := range outages[0].machines {
				e.stop(e.machines[k], outages[0].lasts)
			}
			outages = outages[1:]
		}
		e.views[0].failing = e.failing()
		in := e.input(0)
		e.control(Actions(in))
		for _, p := range e.propose(in, e.load(n)) {
			e.apply(p.Body)
		}
		e.catchUp()
		e.measure()
		e.advance(trialStep)
	}
	if e.rollout == 0 {
		e.rollout = day
	}
	e.figures.moves = e.world.moves
	return e.figures
}

func (e *trial) propose(in Input, load map[pool.Name]float64) []Proposal {
	in.History.Demand = e.demand.add(e.now, e.busy(load))
	if e.way == wayPlanner {
		return Plan(in)
	}
	v := newView(in)
	v.lose()
	v.join()
	for _, p := range v.proposals {
		if join, ok := p.Body.(*fleet.Join); ok {
			e.keepPool(join)
		}
	}
	if v.suspect {
		return v.proposals
	}
	if e.way == wayGreedy {
		rebalance(v, load)
	}
	v.maintain()
	v.remove()
	return v.proposals
}

// failing reports the targets that are missing from the list as failing too.
func (e *trial) failing() map[instance.ID]time.Duration {
	failing := map[instance.ID]time.Duration{}
	for id, absent := range e.views[0].presence.absent {
		if e.byID[id].Kind == instance.KindTarget {
			failing[id] = absent
		}
	}
	return failing
}

// load is the demand per pool in targets. The bursts take turns between the pools at each step.
func (e *trial) load(n int) map[pool.Name]float64 {
	var targets []group
	for g, t := range e.groups {
		if g.kind == instance.KindTarget && t.size > 0 {
			targets = append(targets, g)
		}
	}
	slices.SortFunc(targets, compareGroups)
	load := map[pool.Name]float64{}
	for k, g := range targets {
		factor := quietFactor
		if k == n%len(targets) {
			factor = burstFactor
		}
		load[g.pool] = factor * meanUse * float64(e.groups[g].size)
	}
	return load
}

// busy is the load that the active targets of each pool can take.
func (e *trial) busy(load map[pool.Name]float64) map[pool.Name]float64 {
	busy := map[pool.Name]float64{}
	for name, wanted := range load {
		busy[name] = min(wanted, float64(e.state.CountByPhase(name, instance.KindTarget).Active))
	}
	return busy
}

// keepPool makes a returning instance rejoin its pool.
func (e *trial) keepPool(join *fleet.Join) {
	if i, _ := e.state.Instance(join.ID); i.Phase == instance.PhaseLost {
		join.Pool = i.Pool
	}
}

// rebalance moves a target from the least loaded pool that has headroom to the most loaded one.
func rebalance(v *view, load map[pool.Name]float64) {
	relative := func(g group) float64 {
		t := v.total(g)
		return load[g.pool] / float64(max(1, t.usable+t.incoming))
	}
	groups := slices.DeleteFunc(slices.Clone(v.sorted(instance.KindTarget)), func(g group) bool { return v.total(g).size == 0 })
	byLoad := func(a, b group) int { return cmp.Compare(relative(a), relative(b)) }
	most := slices.MaxFunc(groups, byLoad)
	groups = slices.DeleteFunc(groups, func(g group) bool { return g == most || v.total(g).headroom() <= 0 })
	if len(groups) == 0 {
		return
	}
	least := slices.MinFunc(groups, byLoad)
	for k := range v.members {
		if m := &v.members[k]; m.group() == least && m.healthy() {
			v.drain(m, most.pool, "rebalance", "load", limits{})
			return
		}
	}
}

// apply appends a record and counts it if it is a drain that leaves a pool below its budget.
func (e *trial) apply(body fleet.Body) {
	before, _ := e.state.Instance(body.Header().ID)
	worked := e.serves(before)
	verdict := e.append(body)
	if body.Kind() != fleet.KindDrain || verdict.Result != stream.ResultApplied || !worked {
		return
	}
	g := group{pool: before.Pool, kind: before.Kind}
	if e.serving(g) < e.groups[g].budget {
		e.own++
	}
}

// serves reports whether an instance takes work, whatever the list says.
func (e *trial) serves(i fleet.Instance) bool {
	m := e.byID[i.ID]
	return i.Phase == instance.PhaseActive && m.up && m.Incarnation == i.Incarnation && m.State == upstream.StateLive
}

func (e *trial) serving(g group) int {
	n := 0
	for _, i := range e.state.Members(g.pool, g.kind) {
		if e.serves(i) {
			n++
		}
	}
	return n
}

// measure adds the figures of the step that begins.
func (e *trial) measure() {
	seconds, visited := trialStep.Seconds(), true
	for g, t := range e.groups {
		n := e.serving(g)
		visited = visited && !slices.ContainsFunc(e.state.Members(g.pool, g.kind), e.unvisited)
		if t.spare {
			e.spare += seconds * float64(n)
		} else {
			e.above += seconds * float64(max(0, n-t.size))
			e.belowSize += seconds * float64(max(0, t.size-n))
		}
		deficit := max(0, t.budget-n)
		e.below += seconds * float64(deficit)
		e.drained += seconds * float64(min(deficit, e.state.CountByPhase(g.pool, g.kind).Draining))
		if deficit > 0 && !e.low[g] {
			e.times++
		}
		e.low[g] = deficit > 0
	}
	if e.rollout == 0 && visited {
		e.rollout = e.now.Sub(e.start)
	}
}

// unvisited reports whether an instance is in service and has not been rebooted since the day began.
func (e *trial) unvisited(i fleet.Instance) bool {
	return i.Phase != instance.PhaseLost && !i.JoinedAt.AsTime().After(e.start)
}

// recordDay draws the outages of one day, which are the same for every way.
func recordDay(machines []*machine, seed uint64) []outage {
	random := rand.New(rand.NewPCG(seed, 0))
	at := func() time.Duration { return time.Duration(random.Int64N(int64(day))) }
	var outages []outage
	add := func(perInstance float64, lasts time.Duration) {
		for range int(math.Round(perInstance * float64(len(machines)))) {
			outages = append(outages, outage{at: at(), machines: []int{random.IntN(len(machines))}, lasts: lasts})
		}
	}
	add(failuresPerInstance, failureTime)
	add(restartsPerInstance, rebootTime)
	rack, centre := outage{at: rackLossAt, lasts: domainLoss}, outage{at: centreLossAt, lasts: domainLoss}
	lostRack, lostCentre := machines[random.IntN(len(machines))], machines[random.IntN(len(machines))]
	for k, m := range machines {
		if m.Centre == lostRack.Centre && m.Rack == lostRack.Rack {
			rack.machines = append(rack.machines, k)
		}
		if m.Centre == lostCentre.Centre {
			centre.machines = append(centre.machines, k)
		}
	}
	outages = append(outages, rack, centre)
	slices.SortStableFunc(outages, func(a, b outage) int { return cmp.Compare(a.at, b.at) })
	return outages
}

// exampleSites reads the settings of an example user, with the maintenance period of the experiment.
func exampleSites(t *testing.T, user string) map[site.Name]config.Settings {
	files, err := config.ReadDir(filepath.Join("..", "examples", user, "config"))
	require.NoError(t, err)
	merged, err := config.Merge(files)
	require.NoError(t, err)
	sites := map[site.Name]config.Settings{}
	for name, settings := range merged {
		settings.Maintenance.Days = trialPeriod
		sites[name] = *settings
	}
	return sites
}

var users = []string{"association", "authority"}

// TestExperiment compares the planner with static pools and greedy rebalancing. It guards against a
// planner that takes a pool below its budget, that does not finish maintenance, or that follows bursts.
func TestExperiment(t *testing.T) {
	days := *trialDays
	results := make([]figures, len(users)*len(ways)*days)
	slot := func(user, w, seed int) int { return (user*len(ways)+w)*days + seed }
	t.Run("days", func(t *testing.T) {
		for u, user := range users {
			for k, w := range ways {
				for seed := range days {
					t.Run(fmt.Sprintf("%s/%s/%d", user, w, seed+1), func(t *testing.T) {
						t.Parallel()
						e := newTrial(t, exampleSites(t, user), w)
						results[slot(u, k, seed)] = e.run(recordDay(e.machines, uint64(seed+1)))
					})
				}
			}
		}
	})
	var text strings.Builder
	table := tabwriter.NewWriter(&text, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(table, "user\tway\tspare\tabove size\tbelow size\tmoves\troll-out\town act\tfalls\tbelow budget\tdraining\t")
	for u, user := range users {
		sums := map[way]figures{}
		for k, w := range ways {
			var sum figures
			for seed := range days {
				sum.add(results[slot(u, k, seed)])
			}
			sums[w] = sum
			_, _ = fmt.Fprintf(table, "%s\t%s\t%.0f\t%.0f\t%.0f\t%d\t%s\t%d\t%d\t%.0f\t%.0f\t\n", user, w, sum.spare, sum.above, sum.belowSize, sum.moves, sum.rollout, sum.own, sum.times, sum.below, sum.drained)
		}
		require.Zero(t, sums[wayPlanner].own, "the planner took a pool of %s below its budget", user)
		require.Less(t, sums[wayPlanner].rollout, day, "the maintenance wave of %s did not end", user)
		require.Less(t, sums[wayPlanner].moves, sums[wayGreedy].moves)
		require.Zero(t, sums[wayStatic].moves)
	}
	require.NoError(t, table.Flush())
	t.Logf("sums of %d day(s), in instance-seconds where no unit is given\n%s", days, text.String())
}
