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
	// trialPlanInterval is the simulated time between two plans. With shorter intervals, the experiment
	// takes more than a minute under the race detector.
	trialPlanInterval = 10 * time.Second
	// trialMaintenanceDays is the maintenance period in days. All instances are due when a day starts.
	trialMaintenanceDays = 1
	// failuresPerInstance and restartsPerInstance are the daily rates at the target size.
	failuresPerInstance = 41.0 / 6600
	restartsPerInstance = 550.0 / 6600
	// failureDuration is the time until a failed instance is replaced.
	failureDuration = 2 * time.Hour
	// rackLossAt lies in the middle of the maintenance wave at the start of the day.
	rackLossAt         = 10 * time.Minute
	centreLossAt       = 12 * time.Hour
	domainLossDuration = 10 * time.Minute
	// meanUtilization is the mean demand of a pool, in busy targets per target of its size. burstFactor
	// and quietFactor are multiplied by the mean. The demand in a burst exceeds the capacity of the pool.
	meanUtilization = 0.3
	burstFactor     = 5.0
	quietFactor     = 1.0 / 20
)

// trialDays is the number of simulated days per user, each with its own seed. More than one day takes
// over a minute with the race detector.
var trialDays = flag.Int("days", 1, "days of the experiment")

// strategy is a method of assigning instances to pools.
type strategy string

const (
	strategyPlanner strategy = "planner"
	strategyStatic  strategy = "static"
	strategyGreedy  strategy = "greedy"
)

var strategies = []strategy{strategyPlanner, strategyStatic, strategyGreedy}

// outage is a simultaneous failure of one or more instances, given by their indices.
type outage struct {
	at        time.Duration
	instances []int
	duration  time.Duration
}

// trialResult holds the measurements of a trial. Fields of type float64 are in instance-seconds.
type trialResult struct {
	spareTime float64
	aboveSize float64
	belowSize float64
	// belowBudget is the time below the availability budget. drainedBelowBudget is the part of it that
	// draining instances would have covered.
	belowBudget        float64
	drainedBelowBudget float64
	// budgetFalls is the number of times that a group fell below its budget. fallsByDrain is the number of
	// drains that caused or aggravated such a fall.
	budgetFalls  int
	fallsByDrain int
	moves        int
	// rollout is the duration of the maintenance wave at the start of the day, until every instance that is
	// not lost has been rebooted. A wave that does not end counts as one day.
	rollout time.Duration
}

func (r *trialResult) add(other trialResult) {
	r.spareTime += other.spareTime
	r.aboveSize += other.aboveSize
	r.belowSize += other.belowSize
	r.belowBudget += other.belowBudget
	r.drainedBelowBudget += other.drainedBelowBudget
	r.budgetFalls += other.budgetFalls
	r.fallsByDrain += other.fallsByDrain
	r.moves += other.moves
	r.rollout = max(r.rollout, other.rollout)
}

// trial simulates one day of one user with one strategy.
type trial struct {
	*simulation
	strategy      strategy
	start         time.Time
	byID          map[instance.ID]*simulatedInstance
	groups        map[memberGroup]*groupCounts
	demandMean    demandAverage
	isBelowBudget map[memberGroup]bool
	trialResult
}

func newTrial(t *testing.T, sites map[site.Name]config.Settings, s strategy) *trial {
	e := &trial{simulation: newSimulation(t, sites, 1), strategy: s, byID: map[instance.ID]*simulatedInstance{}, isBelowBudget: map[memberGroup]bool{}}
	e.populate(0)
	e.groups = newPlanState(e.input(0)).countsByGroup
	for _, m := range e.instances {
		e.byID[m.ID] = m
	}
	e.start = epoch.Add(time.Duration(maintenanceDueShare * trialMaintenanceDays * float64(day)))
	e.now = e.start
	return e
}

// run simulates a day. The list is read before the outages of a step begin, so that the plan of the step
// is made from an outdated list.
func (e *trial) run(outages []outage) trialResult {
	for step := 0; e.now.Sub(e.start) < day; step++ {
		e.readList(0)
		for len(outages) > 0 && !e.now.Before(e.start.Add(outages[0].at)) {
			for _, k := range outages[0].instances {
				e.takeDown(e.instances[k], outages[0].duration)
			}
			outages = outages[1:]
		}
		e.entries[0].failingFor = e.failingTargets()
		in := e.input(0)
		e.performActions(Actions(in))
		for _, p := range e.makeProposals(in, e.demandAt(step)) {
			e.applyProposal(p.Body)
		}
		e.readWholeLog()
		e.recordStep()
		e.advance(trialPlanInterval)
	}
	if e.rollout == 0 {
		e.rollout = day
	}
	e.trialResult.moves = e.simulation.moves
	return e.trialResult
}

// makeProposals returns the proposals of the strategy. The other strategies use the parts of the planner
// that do not choose pools.
func (e *trial) makeProposals(in Input, demand map[pool.Name]float64) []Proposal {
	in.History.Demand = e.demandMean.update(e.now, e.busyTargets(demand))
	if e.strategy == strategyPlanner {
		return Plan(in)
	}
	s := newPlanState(in)
	s.proposeLosses()
	s.proposeJoins()
	for _, p := range s.proposals {
		if join, ok := p.Body.(*fleet.Join); ok {
			e.keepPool(join)
		}
	}
	if s.listSuspect {
		return s.proposals
	}
	if e.strategy == strategyGreedy {
		rebalance(s, demand)
	}
	s.proposeMaintenance()
	s.proposeRemovals()
	return s.proposals
}

// failingTargets returns the targets that are missing from the list. The trial reports them as failing for
// the same time.
func (e *trial) failingTargets() map[instance.ID]time.Duration {
	failing := map[instance.ID]time.Duration{}
	for id, absent := range e.entries[0].absence.absentFor {
		if e.byID[id].Kind == instance.KindTarget {
			failing[id] = absent
		}
	}
	return failing
}

// demandAt returns the demand of each pool in targets at a step. The burst moves to another pool at each
// step.
func (e *trial) demandAt(step int) map[pool.Name]float64 {
	var targets []memberGroup
	for g, c := range e.groups {
		if g.kind == instance.KindTarget && c.size > 0 {
			targets = append(targets, g)
		}
	}
	slices.SortFunc(targets, compareGroups)
	demand := map[pool.Name]float64{}
	for k, g := range targets {
		factor := quietFactor
		if k == step%len(targets) {
			factor = burstFactor
		}
		demand[g.pool] = factor * meanUtilization * float64(e.groups[g].size)
	}
	return demand
}

// busyTargets returns the demand of each pool, limited to the number of its active targets.
func (e *trial) busyTargets(demand map[pool.Name]float64) map[pool.Name]float64 {
	busy := map[pool.Name]float64{}
	for name, wantedTargets := range demand {
		busy[name] = min(wantedTargets, float64(e.state.CountByPhase(name, instance.KindTarget).Active))
	}
	return busy
}

// keepPool changes the join record of a lost instance so that the instance rejoins its previous pool.
func (e *trial) keepPool(join *fleet.Join) {
	if i, _ := e.state.Instance(join.ID); i.Phase == instance.PhaseLost {
		join.Pool = i.Pool
	}
}

// rebalance proposes to move a target to the pool with the highest demand per target. The target comes from
// the pool with the lowest demand per target among those with headroom.
func rebalance(s *planState, demand map[pool.Name]float64) {
	demandPerTarget := func(g memberGroup) float64 {
		c := s.totalCounts(g)
		return demand[g.pool] / float64(max(1, c.usable+c.joining))
	}
	groups := slices.DeleteFunc(slices.Clone(s.sortedGroups(instance.KindTarget)), func(g memberGroup) bool { return s.totalCounts(g).size == 0 })
	byDemand := func(a, b memberGroup) int { return cmp.Compare(demandPerTarget(a), demandPerTarget(b)) }
	highestDemand := slices.MaxFunc(groups, byDemand)
	groups = slices.DeleteFunc(groups, func(g memberGroup) bool { return g == highestDemand || s.totalCounts(g).headroom() <= 0 })
	if len(groups) == 0 {
		return
	}
	lowestDemand := slices.MinFunc(groups, byDemand)
	for k := range s.members {
		if m := &s.members[k]; m.group() == lowestDemand && m.isHealthy() {
			s.proposeDrain(m, highestDemand.pool, "rebalance", "load", drainLimits{})
			return
		}
	}
}

// applyProposal appends a record and counts it if it is a drain that leaves a pool below its budget.
func (e *trial) applyProposal(body fleet.Body) {
	before, _ := e.state.Instance(body.Header().ID)
	wasServing := e.isServing(before)
	verdict := e.applyRecord(body)
	if body.Kind() != fleet.KindDrain || verdict.Result != stream.ResultApplied || !wasServing {
		return
	}
	g := memberGroup{pool: before.Pool, kind: before.Kind}
	if e.countServing(g) < e.groups[g].budget {
		e.fallsByDrain++
	}
}

// isServing reports whether an instance actually takes work, which the list may not show yet.
func (e *trial) isServing(i fleet.Instance) bool {
	m := e.byID[i.ID]
	return i.Phase == instance.PhaseActive && m.up && m.Incarnation == i.Incarnation && m.State == upstream.StateLive
}

// countServing returns the number of members of a group that actually take work.
func (e *trial) countServing(g memberGroup) int {
	n := 0
	for _, i := range e.state.Members(g.pool, g.kind) {
		if e.isServing(i) {
			n++
		}
	}
	return n
}

// recordStep adds the state after the records of a step to the result, for the time until the next step.
func (e *trial) recordStep() {
	seconds, allMaintained := trialPlanInterval.Seconds(), true
	for g, c := range e.groups {
		serving := e.countServing(g)
		allMaintained = allMaintained && !slices.ContainsFunc(e.state.Members(g.pool, g.kind), e.isUnmaintained)
		if c.spare {
			e.spareTime += seconds * float64(serving)
		} else {
			e.aboveSize += seconds * float64(max(0, serving-c.size))
			e.belowSize += seconds * float64(max(0, c.size-serving))
		}
		deficit := max(0, c.budget-serving)
		e.belowBudget += seconds * float64(deficit)
		e.drainedBelowBudget += seconds * float64(min(deficit, e.state.CountByPhase(g.pool, g.kind).Draining))
		if deficit > 0 && !e.isBelowBudget[g] {
			e.budgetFalls++
		}
		e.isBelowBudget[g] = deficit > 0
	}
	if e.rollout == 0 && allMaintained {
		e.rollout = e.now.Sub(e.start)
	}
}

// isUnmaintained reports whether an instance is not lost and has not been rebooted since the day began.
func (e *trial) isUnmaintained(i fleet.Instance) bool {
	return i.Phase != instance.PhaseLost && !i.JoinedAt.AsTime().After(e.start)
}

// generateOutages returns random outages for one day. They depend on the seed only, so that all strategies
// see the same outages.
func generateOutages(instances []*simulatedInstance, seed uint64) []outage {
	random := rand.New(rand.NewPCG(seed, 0))
	at := func() time.Duration { return time.Duration(random.Int64N(int64(day))) }
	var outages []outage
	add := func(perInstance float64, duration time.Duration) {
		for range int(math.Round(perInstance * float64(len(instances)))) {
			outages = append(outages, outage{at: at(), instances: []int{random.IntN(len(instances))}, duration: duration})
		}
	}
	add(failuresPerInstance, failureDuration)
	add(restartsPerInstance, rebootTime)
	rack, centre := outage{at: rackLossAt, duration: domainLossDuration}, outage{at: centreLossAt, duration: domainLossDuration}
	lostRack, lostCentre := instances[random.IntN(len(instances))], instances[random.IntN(len(instances))]
	for k, m := range instances {
		if m.Centre == lostRack.Centre && m.Rack == lostRack.Rack {
			rack.instances = append(rack.instances, k)
		}
		if m.Centre == lostCentre.Centre {
			centre.instances = append(centre.instances, k)
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
		settings.Maintenance.PeriodDays = trialMaintenanceDays
		sites[name] = *settings
	}
	return sites
}

var exampleUsers = []string{"association", "authority"}

// TestExperiment compares the planner with static pools and with greedy rebalancing. It guards against a
// planner whose drains take a pool below its budget, that does not finish maintenance within a day, or
// that moves instances because of bursts.
func TestExperiment(t *testing.T) {
	days := *trialDays
	results := make([]trialResult, len(exampleUsers)*len(strategies)*days)
	resultIndex := func(user, strategy, seed int) int { return (user*len(strategies)+strategy)*days + seed }
	t.Run("days", func(t *testing.T) {
		for userIndex, user := range exampleUsers {
			for strategyIndex, s := range strategies {
				for seed := range days {
					t.Run(fmt.Sprintf("%s/%s/%d", user, s, seed+1), func(t *testing.T) {
						t.Parallel()
						e := newTrial(t, exampleSites(t, user), s)
						results[resultIndex(userIndex, strategyIndex, seed)] = e.run(generateOutages(e.instances, uint64(seed+1)))
					})
				}
			}
		}
	})
	var text strings.Builder
	table := tabwriter.NewWriter(&text, 0, 0, 2, ' ', tabwriter.AlignRight)
	_, _ = fmt.Fprintln(table, "user\tstrategy\tspare\tabove size\tbelow size\tmoves\troll-out\tby drain\tfalls\tbelow budget\tdraining\t")
	for userIndex, user := range exampleUsers {
		sums := map[strategy]trialResult{}
		for strategyIndex, s := range strategies {
			var sum trialResult
			for seed := range days {
				sum.add(results[resultIndex(userIndex, strategyIndex, seed)])
			}
			sums[s] = sum
			_, _ = fmt.Fprintf(table, "%s\t%s\t%.0f\t%.0f\t%.0f\t%d\t%s\t%d\t%d\t%.0f\t%.0f\t\n", user, s, sum.spareTime, sum.aboveSize, sum.belowSize, sum.moves, sum.rollout, sum.fallsByDrain, sum.budgetFalls, sum.belowBudget, sum.drainedBelowBudget)
		}
		require.Zero(t, sums[strategyPlanner].fallsByDrain, "the planner took a pool of %s below its budget", user)
		require.Less(t, sums[strategyPlanner].rollout, day, "the maintenance wave of %s did not end", user)
		require.Less(t, sums[strategyPlanner].moves, sums[strategyGreedy].moves)
		require.Zero(t, sums[strategyStatic].moves)
	}
	require.NoError(t, table.Flush())
	t.Logf("sums of %d day(s), of durations the maximum; columns that are neither counts nor durations are in instance-seconds\n%s", days, text.String())
}
