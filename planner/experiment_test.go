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
	// failuresPerInstance and restartsPerInstance are the daily rates at the design scale.
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
	tr := &trial{simulation: newSimulation(t, sites, 1), strategy: s, byID: map[instance.ID]*simulatedInstance{}, isBelowBudget: map[memberGroup]bool{}}
	tr.populate(0)
	tr.groups = newPlanState(tr.input(0)).countsByGroup
	for _, m := range tr.instances {
		tr.byID[m.ID] = m
	}
	tr.start = epoch.Add(time.Duration(maintenanceDueShare * trialMaintenanceDays * float64(day)))
	tr.now = tr.start
	return tr
}

// run simulates a day. The list is read before the outages of a step begin, so that the plan of the step
// is made from an outdated list.
func (tr *trial) run(outages []outage) trialResult {
	for step := 0; tr.now.Sub(tr.start) < day; step++ {
		tr.readList(0)
		for len(outages) > 0 && !tr.now.Before(tr.start.Add(outages[0].at)) {
			for _, k := range outages[0].instances {
				tr.takeDown(tr.instances[k], outages[0].duration)
			}
			outages = outages[1:]
		}
		tr.entries[0].failingFor = tr.failingTargets()
		in := tr.input(0)
		tr.performActions(Actions(in))
		for _, p := range tr.makeProposals(in, tr.demandAt(step)) {
			tr.applyProposal(p.Body)
		}
		tr.readWholeLog()
		tr.recordStep()
		tr.advance(trialPlanInterval)
	}
	if tr.rollout == 0 {
		tr.rollout = day
	}
	tr.trialResult.moves = tr.simulation.moves
	return tr.trialResult
}

// makeProposals returns the proposals of the strategy. The other strategies use the parts of the planner
// that do not choose pools.
func (tr *trial) makeProposals(in Input, demand map[pool.Name]float64) []Proposal {
	in.History.Demand = tr.demandMean.update(tr.now, tr.busyTargets(demand))
	if tr.strategy == strategyPlanner {
		return Plan(in)
	}
	s := newPlanState(in)
	s.proposeLosses()
	s.proposeJoins()
	for _, p := range s.proposals {
		if join, ok := p.Body.(*fleet.Join); ok {
			tr.keepPool(join)
		}
	}
	if s.listSuspect {
		return s.proposals
	}
	if tr.strategy == strategyGreedy {
		rebalance(s, demand)
	}
	s.proposeMaintenance()
	s.proposeRemovals()
	return s.proposals
}

// failingTargets returns the targets that are missing from the list. The trial reports them as failing for
// the same time.
func (tr *trial) failingTargets() map[instance.ID]time.Duration {
	failing := map[instance.ID]time.Duration{}
	for id, absent := range tr.entries[0].absence.absentFor {
		if tr.byID[id].Kind == instance.KindTarget {
			failing[id] = absent
		}
	}
	return failing
}

// demandAt returns the demand of each pool in targets at a step. The burst moves to another pool at each
// step.
func (tr *trial) demandAt(step int) map[pool.Name]float64 {
	var targets []memberGroup
	for g, c := range tr.groups {
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
		demand[g.pool] = factor * meanUtilization * float64(tr.groups[g].size)
	}
	return demand
}

// busyTargets returns the demand of each pool, limited to the number of its active targets.
func (tr *trial) busyTargets(demand map[pool.Name]float64) map[pool.Name]float64 {
	busy := map[pool.Name]float64{}
	for name, wantedTargets := range demand {
		busy[name] = min(wantedTargets, float64(tr.state.CountByPhase(name, instance.KindTarget).Active))
	}
	return busy
}

// keepPool changes the join record of a lost instance so that the instance rejoins its previous pool.
func (tr *trial) keepPool(join *fleet.Join) {
	if i, _ := tr.state.Instance(join.ID); i.Phase == instance.PhaseLost {
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
func (tr *trial) applyProposal(body fleet.Body) {
	before, _ := tr.state.Instance(body.Header().ID)
	wasServing := tr.isServing(before)
	verdict := tr.applyRecord(body)
	if body.Kind() != fleet.KindDrain || verdict.Result != stream.ResultApplied || !wasServing {
		return
	}
	g := memberGroup{pool: before.Pool, kind: before.Kind}
	if tr.countServing(g) < tr.groups[g].budget {
		tr.fallsByDrain++
	}
}

// isServing reports whether an instance actually takes work, which the list may not show yet.
func (tr *trial) isServing(i fleet.Instance) bool {
	m := tr.byID[i.ID]
	return i.Phase == instance.PhaseActive && m.up && m.Incarnation == i.Incarnation && m.State == upstream.StateLive
}

// countServing returns the number of members of a group that actually take work.
func (tr *trial) countServing(g memberGroup) int {
	n := 0
	for _, i := range tr.state.Members(g.pool, g.kind) {
		if tr.isServing(i) {
			n++
		}
	}
	return n
}

// recordStep adds the state after the records of a step to the result, for the time until the next step.
func (tr *trial) recordStep() {
	seconds, allMaintained := trialPlanInterval.Seconds(), true
	for g, c := range tr.groups {
		serving := tr.countServing(g)
		allMaintained = allMaintained && !slices.ContainsFunc(tr.state.Members(g.pool, g.kind), tr.isUnmaintained)
		if c.spare {
			tr.spareTime += seconds * float64(serving)
		} else {
			tr.aboveSize += seconds * float64(max(0, serving-c.size))
			tr.belowSize += seconds * float64(max(0, c.size-serving))
		}
		deficit := max(0, c.budget-serving)
		tr.belowBudget += seconds * float64(deficit)
		tr.drainedBelowBudget += seconds * float64(min(deficit, tr.state.CountByPhase(g.pool, g.kind).Draining))
		if deficit > 0 && !tr.isBelowBudget[g] {
			tr.budgetFalls++
		}
		tr.isBelowBudget[g] = deficit > 0
	}
	if tr.rollout == 0 && allMaintained {
		tr.rollout = tr.now.Sub(tr.start)
	}
}

// isUnmaintained reports whether an instance is not lost and has not been rebooted since the day began.
func (tr *trial) isUnmaintained(i fleet.Instance) bool {
	return i.Phase != instance.PhaseLost && !i.JoinedAt.AsTime().After(tr.start)
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
						tr := newTrial(t, exampleSites(t, user), s)
						results[resultIndex(userIndex, strategyIndex, seed)] = tr.run(generateOutages(tr.instances, uint64(seed+1)))
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
