package planner

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/stretchr/testify/require"

	"hibiscuslane.example/hibiscuslane/config"
	"hibiscuslane.example/hibiscuslane/fleet"
	"hibiscuslane.example/hibiscuslane/instance"
	"hibiscuslane.example/hibiscuslane/pool"
	"hibiscuslane.example/hibiscuslane/record"
	"hibiscuslane.example/hibiscuslane/site"
	"hibiscuslane.example/hibiscuslane/stream"
	"hibiscuslane.example/hibiscuslane/upstream"
)

const rebootTime = 2 * time.Minute

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// simulatedInstance is the actual state of an instance, which the list and the fleet state may not show
// yet.
type simulatedInstance struct {
	upstream.Instance
	up bool
	// returnsAt is the time at which an instance that is down returns. The zero time means never.
	returnsAt time.Time
}

// simulation runs Plan and Actions of several entries over a shared log and a set of simulated instances.
type simulation struct {
	t         require.TestingT
	now       time.Time
	sites     map[site.Name]config.Settings
	instances []*simulatedInstance
	log       []record.Envelope
	// state includes all records of the log.
	state   *fleet.State
	entries []*simulatedEntry
	// poolByIncarnation holds the pool of each incarnation of an instance.
	poolByIncarnation map[string]pool.Name
	moves             int
}

// simulatedEntry is an entry whose fleet state and list may be outdated.
type simulatedEntry struct {
	state      fleet.State
	nextOffset int
	absence    absenceTracker
	failingFor map[instance.ID]time.Duration
}

func newSimulation(t require.TestingT, sites map[site.Name]config.Settings, entries int) *simulation {
	sim := &simulation{t: t, now: epoch, sites: sites, state: &fleet.State{}, poolByIncarnation: map[string]pool.Name{}}
	for range entries {
		sim.entries = append(sim.entries, &simulatedEntry{})
	}
	return sim
}

// populate adds and admits the instances for all pool sizes, and extra ones of each kind per site, four
// to a rack.
func (sim *simulation) populate(extra int) {
	for _, name := range slices.Sorted(maps.Keys(sim.sites)) {
		for _, kind := range instanceKinds {
			total := extra
			for _, spec := range sim.sites[name].Pools {
				size, _ := sizeAndBudget(spec, kind)
				total += size
			}
			for n := range total {
				sim.instances = append(sim.instances, &simulatedInstance{up: true, Instance: upstream.Instance{
					ID: instance.ID(fmt.Sprintf("%s-%s-%02d", name, kind, n)), Kind: kind, Address: "127.0.0.1:1", Incarnation: 1,
					Centre: site.DataCentre(name), Rack: site.Rack(fmt.Sprintf("%s-%d", kind, n/4)), State: upstream.StateLive,
				}})
			}
		}
	}
	sim.readList(0)
	for _, p := range Plan(sim.input(0)) {
		sim.applyRecord(p.Body)
	}
	sim.readWholeLog()
}

func (sim *simulation) listRunning() []upstream.Instance {
	var list []upstream.Instance
	for _, m := range sim.instances {
		if m.up {
			list = append(list, m.Instance)
		}
	}
	return list
}

// readList passes the list to an entry as often as a runner would have read it since the last time, but
// at most since missingLimit ago.
func (sim *simulation) readList(n int) {
	tracker, list, instances := &sim.entries[n].absence, sim.listRunning(), sim.entries[n].state.Instances()
	at := sim.now.Add(-missingLimit)
	if tracker.lastListAt.After(at) {
		at = tracker.lastListAt
	}
	for at = at.Add(maxListInterval); at.Before(sim.now); at = at.Add(maxListInterval) {
		tracker.update(at, list, instances)
	}
	tracker.update(sim.now, list, instances)
}

func (sim *simulation) readWholeLog() {
	for _, e := range sim.entries {
		sim.readLog(e, len(sim.log))
	}
}

func (sim *simulation) readLog(e *simulatedEntry, records int) {
	for ; records > 0 && e.nextOffset < len(sim.log); records-- {
		e.state.Apply(record.Offset(e.nextOffset), sim.log[e.nextOffset])
		e.nextOffset++
	}
}

func (sim *simulation) input(n int) Input {
	e := sim.entries[n]
	in := Input{Now: sim.now, Fleet: e.state.Instances(), ListedInstances: e.absence.listedInstances, MissingFor: e.absence.absentFor, FailingFor: e.failingFor, Sites: sim.sites, Removals: map[instance.ID]fleet.Removal{}}
	in.History.RecentFailures = recentLosses(sim.now, e.state.ChangesFrom(0))
	return in
}

// applyRecord appends a record to the log, applies it to the state, and checks the invariants that hold
// for every log.
func (sim *simulation) applyRecord(body fleet.Body) stream.Verdict {
	data, err := json.Marshal(body)
	require.NoError(sim.t, err)
	e := record.Envelope{ID: record.ID{Sequence: record.Sequence(len(sim.log) + 1)}, Kind: body.Kind(), Time: sim.now, Author: "test", Body: data}
	before, _ := sim.state.Instance(body.Header().ID)
	verdict := sim.state.Apply(record.Offset(len(sim.log)), e)
	sim.log = append(sim.log, e)
	after, _ := sim.state.Instance(body.Header().ID)
	sim.checkInstance(before, after)
	if drain, ok := body.(*fleet.Drain); ok && verdict.Result == stream.ResultApplied {
		active := sim.state.CountByPhase(before.Pool, before.Kind).Active
		require.GreaterOrEqual(sim.t, active, sim.budget(before.Pool, before.Kind), "a drain (%s) took pool %s below its budget", drain.Reason, before.Pool)
	}
	return verdict
}

func (sim *simulation) checkInstance(before, after fleet.Instance) {
	if before.ID != "" && after.ID != "" && before.Pool != after.Pool {
		sim.moves++
		require.Greater(sim.t, after.Incarnation, before.Incarnation, "the pool of %s changed without a higher incarnation", after.ID)
	}
	if after.Phase != instance.PhaseActive {
		return
	}
	incarnation := fmt.Sprint(after.ID, "/", after.Incarnation)
	name, known := sim.poolByIncarnation[incarnation]
	require.True(sim.t, !known || name == after.Pool, "incarnation %s belongs to pools %s and %s", incarnation, name, after.Pool)
	sim.poolByIncarnation[incarnation] = after.Pool
}

func (sim *simulation) budget(name pool.Name, kind instance.Kind) int {
	sum := 0
	for _, settings := range sim.sites {
		_, budget := sizeAndBudget(settings.Pools[name], kind)
		sum += budget
	}
	return sum
}

// plan returns the proposals of an entry. It checks that they respect every budget, for which instances
// that the entry sees as failing do not count.
func (sim *simulation) plan(n int) []Proposal {
	in := sim.input(n)
	proposals := Plan(in)
	require.Equal(sim.t, proposals, Plan(in), "equal inputs must give equal proposals")
	drained := map[instance.ID]bool{}
	for _, p := range proposals {
		if _, ok := p.Body.(*fleet.Drain); ok {
			drained[p.Body.Header().ID] = true
		}
	}
	healthy := map[memberGroup]int{}
	for _, i := range in.Fleet {
		if i.Phase == instance.PhaseActive && in.MissingFor[i.ID] == 0 && in.FailingFor[i.ID] == 0 && !drained[i.ID] {
			healthy[memberGroup{pool: i.Pool, kind: i.Kind}]++
		}
	}
	for id := range drained {
		i, _ := sim.entries[n].state.Instance(id)
		require.GreaterOrEqual(sim.t, healthy[memberGroup{pool: i.Pool, kind: i.Kind}], sim.budget(i.Pool, i.Kind), "the plan drains %s although pool %s has no headroom", id, i.Pool)
	}
	return proposals
}

// performEntryActions computes the actions of an entry and performs them as the platform does.
func (sim *simulation) performEntryActions(n int) { sim.performActions(Actions(sim.input(n))) }

func (sim *simulation) performActions(actions []Action) {
	for _, a := range actions {
		m := sim.find(a.ID)
		if a.Kind == ActionReboot && m.up && m.Incarnation == a.Incarnation {
			sim.takeDown(m, rebootTime)
		}
	}
}

func (sim *simulation) find(id instance.ID) *simulatedInstance {
	index := slices.IndexFunc(sim.instances, func(m *simulatedInstance) bool { return m.ID == id })
	return sim.instances[index]
}

// takeDown stops an instance. It returns after d, or never if d is 0.
func (sim *simulation) takeDown(m *simulatedInstance, d time.Duration) {
	m.up = false
	m.returnsAt = time.Time{}
	if d > 0 {
		m.returnsAt = sim.now.Add(d)
	}
}

func (sim *simulation) advance(d time.Duration) {
	sim.now = sim.now.Add(d)
	for _, m := range sim.instances {
		if !m.up && !m.returnsAt.IsZero() && !sim.now.Before(m.returnsAt) {
			m.up = true
			m.Incarnation++
		}
	}
}

// runRound advances time and lets every entry in turn read the list and the log, propose, and act. It
// returns the number of proposals.
func (sim *simulation) runRound(d time.Duration) (proposals int) {
	sim.advance(d)
	for n := range sim.entries {
		sim.readList(n)
		sim.readLog(sim.entries[n], len(sim.log))
		plan := sim.plan(n)
		proposals += len(plan)
		for _, p := range plan {
			sim.applyRecord(p.Body)
		}
		sim.readLog(sim.entries[n], len(sim.log))
		sim.performEntryActions(n)
	}
	sim.readWholeLog()
	return proposals
}

func reasons(proposals []Proposal) string {
	var lines []string
	for _, p := range proposals {
		lines = append(lines, fmt.Sprintf("%s %s: %s", p.Body.Kind(), p.Body.Header().ID, p.Reason()))
	}
	return strings.Join(lines, "\n")
}
