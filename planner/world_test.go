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

// machine is an instance as it really is.
type machine struct {
	upstream.Listing
	up bool
	// wakes is when a machine that is down returns; the zero time means never.
	wakes time.Time
}

// world steps the pure functions over a shared log and a set of machines.
type world struct {
	t        require.TestingT
	now      time.Time
	sites    map[site.Name]config.Settings
	machines []*machine
	log      []record.Envelope
	// state is folded up to the end of the log.
	state *fleet.State
	views []*viewer
	// lives holds the pool of each life of an instance.
	lives map[string]pool.Name
	moves int
}

// viewer is an entry with its own, possibly old, view of the log and the list.
type viewer struct {
	state    fleet.State
	folded   int
	presence presence
	failing  map[instance.ID]time.Duration
}

func newWorld(t require.TestingT, sites map[site.Name]config.Settings, viewers int) *world {
	w := &world{t: t, now: epoch, sites: sites, state: &fleet.State{}, lives: map[string]pool.Name{}}
	for range viewers {
		w.views = append(w.views, &viewer{})
	}
	return w
}

// build adds the machines of every size declared, four to a rack, and admits them.
func (w *world) build(extra int) {
	for _, name := range slices.Sorted(maps.Keys(w.sites)) {
		for _, kind := range kinds {
			total := extra
			for _, spec := range w.sites[name].Pools {
				size, _ := counts(spec, kind)
				total += size
			}
			for n := range total {
				w.machines = append(w.machines, &machine{up: true, Listing: upstream.Listing{
					ID: instance.ID(fmt.Sprintf("%s-%s-%02d", name, kind, n)), Kind: kind, Address: "127.0.0.1:1", Incarnation: 1,
					Centre: site.DataCentre(name), Rack: site.Rack(fmt.Sprintf("%s-%d", kind, n/4)), State: upstream.StateLive,
				}})
			}
		}
	}
	w.see(0)
	for _, p := range Plan(w.input(0)) {
		w.append(p.Body)
	}
	w.catchUp()
}

func (w *world) list() []upstream.Listing {
	var list []upstream.Listing
	for _, m := range w.machines {
		if m.up {
			list = append(list, m.Listing)
		}
	}
	return list
}

// see shows the list to a viewer as often as a runner would have read it, up to the silence limit.
func (w *world) see(n int) {
	p, list, instances := &w.views[n].presence, w.list(), w.views[n].state.Instances()
	at := w.now.Add(-silenceLimit)
	if p.last.After(at) {
		at = p.last
	}
	for at = at.Add(listGap); at.Before(w.now); at = at.Add(listGap) {
		p.add(at, list, instances)
	}
	p.add(w.now, list, instances)
}

func (w *world) catchUp() {
	for _, v := range w.views {
		w.read(v, len(w.log))
	}
}

func (w *world) read(v *viewer, records int) {
	for ; records > 0 && v.folded < len(w.log); records-- {
		v.state.Fold(record.Offset(v.folded), w.log[v.folded])
		v.folded++
	}
}

func (w *world) input(n int) Input {
	v := w.views[n]
	in := Input{Now: w.now, Fleet: v.state.Instances(), Listings: v.presence.list, MissingFor: v.presence.absent, FailingFor: v.failing, Sites: w.sites, Removals: map[instance.ID]fleet.Removal{}}
	in.History.RecentFailures = failures(w.now, v.state.ChangesFrom(0))
	return in
}

// append folds a record into the state and checks what must hold for every log.
func (w *world) append(body fleet.Body) stream.Verdict {
	data, err := json.Marshal(body)
	require.NoError(w.t, err)
	e := record.Envelope{ID: record.ID{Sequence: record.Sequence(len(w.log) + 1)}, Kind: body.Kind(), Time: w.now, Author: "test", Body: data}
	before, _ := w.state.Instance(body.Header().ID)
	verdict := w.state.Fold(record.Offset(len(w.log)), e)
	w.log = append(w.log, e)
	after, _ := w.state.Instance(body.Header().ID)
	w.checkInstance(before, after)
	if drain, ok := body.(*fleet.Drain); ok && verdict.Result == stream.ResultApplied {
		active := w.state.CountByPhase(before.Pool, before.Kind).Active
		require.GreaterOrEqual(w.t, active, w.budget(before.Pool, before.Kind), "a drain (%s) took pool %s below its budget", drain.Reason, before.Pool)
	}
	return verdict
}

func (w *world) checkInstance(before, after fleet.Instance) {
	if before.ID != "" && after.ID != "" && before.Pool != after.Pool {
		w.moves++
		require.Greater(w.t, after.Incarnation, before.Incarnation, "the pool of %s changed without a higher incarnation", after.ID)
	}
	if after.Phase != instance.PhaseActive {
		return
	}
	life := fmt.Sprint(after.ID, "/", after.Incarnation)
	name, known := w.lives[life]
	require.True(w.t, !known || name == after.Pool, "life %s belongs to pools %s and %s", life, name, after.Pool)
	w.lives[life] = after.Pool
}

func (w *world) budget(name pool.Name, kind instance.Kind) int {
	sum := 0
	for _, settings := range w.sites {
		_, budget := counts(settings.Pools[name], kind)
		sum += budget
	}
	return sum
}

// plan returns a viewer's proposals and checks that they leave every budget, counting what the viewer
// knows to fail.
func (w *world) plan(n int) []Proposal {
	in := w.input(n)
	proposals := Plan(in)
	require.Equal(w.t, proposals, Plan(in), "equal inputs give equal proposals")
	drained := map[instance.ID]bool{}
	for _, p := range proposals {
		if _, ok := p.Body.(*fleet.Drain); ok {
			drained[p.Body.Header().ID] = true
		}
	}
	healthy := map[group]int{}
	for _, i := range in.Fleet {
		if i.Phase == instance.PhaseActive && in.MissingFor[i.ID] == 0 && in.FailingFor[i.ID] == 0 && !drained[i.ID] {
			healthy[group{pool: i.Pool, kind: i.Kind}]++
		}
	}
	for id := range drained {
		i, _ := w.views[n].state.Instance(id)
		require.GreaterOrEqual(w.t, healthy[group{pool: i.Pool, kind: i.Kind}], w.budget(i.Pool, i.Kind), "the plan drains %s although pool %s has no headroom", id, i.Pool)
	}
	return proposals
}

// act carries out a viewer's actions as the platform does.
func (w *world) act(n int) { w.control(Actions(w.input(n))) }

func (w *world) control(actions []Action) {
	for _, a := range actions {
		m := w.machine(a.ID)
		if a.Kind == ActionReboot && m.up && m.Incarnation == a.Incarnation {
			w.stop(m, rebootTime)
		}
	}
}

func (w *world) machine(id instance.ID) *machine {
	at := slices.IndexFunc(w.machines, func(m *machine) bool { return m.ID == id })
	return w.machines[at]
}

func (w *world) stop(m *machine, d time.Duration) {
	m.up = false
	m.wakes = time.Time{}
	if d > 0 {
		m.wakes = w.now.Add(d)
	}
}

func (w *world) advance(d time.Duration) {
	w.now = w.now.Add(d)
	for _, m := range w.machines {
		if !m.up && !m.wakes.IsZero() && !w.now.Before(m.wakes) {
			m.up = true
			m.Incarnation++
		}
	}
}

// round lets every viewer see everything, propose, and act.
func (w *world) round(d time.Duration) (proposals int) {
	w.advance(d)
	for n := range w.views {
		w.see(n)
		w.read(w.views[n], len(w.log))
		plan := w.plan(n)
		proposals += len(plan)
		for _, p := range plan {
			w.append(p.Body)
		}
		w.read(w.views[n], len(w.log))
		w.act(n)
	}
	w.catchUp()
	return proposals
}

func reasons(proposals []Proposal) string {
	var lines []string
	for _, p := range proposals {
		lines = append(lines, fmt.Sprintf("%s %s: %s", p.Body.Kind(), p.Body.Header().ID, p.Reason()))
	}
	return strings.Join(lines, "\n")
}
