package planner

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"hibiscuslane.example/hibiscuslane/config"
	"hibiscuslane.example/hibiscuslane/fleet"
	"hibiscuslane.example/hibiscuslane/instance"
	"hibiscuslane.example/hibiscuslane/pool"
	"hibiscuslane.example/hibiscuslane/site"
	"hibiscuslane.example/hibiscuslane/upstream"
)

// group is a pool restricted to one kind of instance.
type group struct {
	pool pool.Name
	kind instance.Kind
}

func compareGroups(a, b group) int {
	return cmp.Or(cmp.Compare(a.pool, b.pool), cmp.Compare(a.kind, b.kind))
}

// place is the part of a group at one site.
type place struct {
	group
	site site.Name
}

// domain is a rack, or a whole data centre if rack is empty.
type domain struct {
	centre site.DataCentre
	rack   site.Rack
}

// tally counts a group, over all sites or at one. Plan updates it with every proposal, so that later
// proposals of the same plan take earlier ones into account.
type tally struct {
	// size and budget are the sums over the sites concerned.
	size   int
	budget int
	spare  bool
	// active counts instances in phase active, healthy those of them without any sign of failure.
	active  int
	healthy int
	// usable counts active instances whose signs of failure are younger than listLag.
	usable int
	// incoming counts instances that will join after their reboot; returning those of them that belong
	// to the pool already.
	incoming  int
	returning int
	// expected counts failed instances that are still awaited.
	expected int
	// latest is the last change of phase of any member.
	latest fleet.Timestamp
	tuning tuning
}

// gap is the number of instances that the group lacks if nothing else returns.
func (t *tally) gap() int { return t.size - t.usable - t.incoming }

// deficit is the number of instances that the group lacks for its budget.
func (t *tally) deficit() int { return t.budget - t.usable - t.incoming }

// shortage is the number of instances to move in: those below the budget at once, the others when the
// failed ones are no longer awaited.
func (t *tally) shortage() int { return max(t.deficit(), t.gap()-t.expected) }

// headroom is the number of instances that may be drained.
func (t *tally) headroom() int { return t.healthy - t.budget }

// floor is the least number of active instances that a drain must leave: the budget, plus those that
// are active in name only.
func (t *tally) floor() int { return t.budget + t.active - t.healthy }

// surplus is the number of instances above the size that the group has kept for long enough.
func (t *tally) surplus(now time.Time) int {
	if t.spare || now.Sub(t.latest.AsTime()) < t.tuning.surplus {
		return 0
	}
	return max(0, min(t.healthy-t.size, t.headroom()))
}

// member is an instance together with what is known about its health.
type member struct {
	fleet.Instance
	listing upstream.Listing
	listed  bool
	// sick is how long the instance has shown signs of failure; 0 means none.
	sick time.Duration
}

func (m member) group() group { return group{pool: m.Pool, kind: m.Kind} }
func (m member) site() site.Name {
	return site.Name(m.Centre)
}
func (m member) rack() domain   { return domain{centre: m.Centre, rack: m.Rack} }
func (m member) centre() domain { return domain{centre: m.Centre} }

// healthy reports whether the instance works and may be drained.
func (m member) healthy() bool { return m.Phase == instance.PhaseActive && m.sick == 0 }

// reborn reports whether the platform lists a later life of the instance than the fleet knows.
func (m member) reborn() bool { return m.listed && m.listing.Incarnation > m.Incarnation }

// view is the input, indexed and counted.
type view struct {
	in      Input
	members []member
	listed  map[instance.ID]upstream.Listing
	known   map[instance.ID]bool
	groups  map[group]*tally
	places  map[place]*tally
	// racks counts the members of a pool in each rack, down the instances out of service in a rack or
	// data centre.
	racks map[rackPlace]int
	down  map[domain]int
	// draining counts those of down that drain.
	draining map[domain]int
	// suspect is set when more than half of the fleet is missing from the list at once, which is more
	// likely a fault of the list.
	suspect bool
	// order caches the sorted groups of a kind.
	order map[instance.Kind][]group
	// wave is the number of recent and present failures.
	wave      int
	proposals []Proposal
}

type rackPlace struct {
	group
	domain
}

var kinds = []instance.Kind{instance.KindTarget, instance.KindWorker}

func newView(in Input) *view {
	v := &view{
		in:     in,
		listed: make(map[instance.ID]upstream.Listing, len(in.Listings)),
		known:  make(map[instance.ID]bool, len(in.Fleet)),
		groups: map[group]*tally{},
		places: map[place]*tally{},
		racks:  map[rackPlace]int{},
		down:   map[domain]int{},

		draining: map[domain]int{},
		order:    map[instance.Kind][]group{},
	}
	v.declare()
	v.in.Listings = slices.Clone(in.Listings)
	slices.SortFunc(v.in.Listings, func(a, b upstream.Listing) int { return cmp.Compare(a.ID, b.ID) })
	for _, listing := range in.Listings {
		v.listed[listing.ID] = listing
	}
	missing := 0
	for _, i := range in.Fleet {
		m := v.member(i)
		v.members = append(v.members, m)
		v.known[i.ID] = true
		v.count(m)
		if i.Phase == instance.PhaseActive && in.MissingFor[i.ID] >= listLag {
			missing++
		}
	}
	v.suspect = 2*missing > len(in.Fleet)
	v.countFailures()
	v.surge()
	return v
}

// declare reads sizes and budgets from the settings.
func (v *view) declare() {
	weights := map[group]config.Weights{}
	for _, name := range v.sites() {
		settings := v.in.Sites[name]
		for poolName, spec := range settings.Pools {
			for _, kind := range kinds {
				g := group{pool: poolName, kind: kind}
				size, budget := counts(spec, kind)
				for _, t := range []*tally{v.total(g), v.at(place{group: g, site: name})} {
					t.size += size
					t.budget += min(size, budget)
					t.spare = t.spare || spec.Spare
				}
				w := weights[g]
				w.Buffer += settings.Weights.Buffer
				w.Moves += settings.Weights.Moves
				w.Rollout += settings.Weights.Rollout
				weights[g] = w
			}
		}
	}
	for g, t := range v.groups {
		t.tuning = tune(weights[g])
	}
}

func counts(spec pool.Spec, kind instance.Kind) (size, budget int) {
	if kind == instance.KindWorker {
		return spec.Size.Workers, spec.Budget.Workers
	}
	return spec.Size.Targets, spec.Budget.Targets
}

func (v *view) sites() []site.Name {
	return slices.Sorted(maps.Keys(v.in.Sites))
}

func (v *view) total(g group) *tally {
	t, ok := v.groups[g]
	if !ok {
		t = &tally{tuning: tune(config.Weights{})}
		v.groups[g] = t
	}
	return t
}

func (v *view) at(p place) *tally {
	t, ok := v.places[p]
	if !ok {
		t = &tally{}
		v.places[p] = t
	}
	return t
}

// each calls f with the tallies that a member of the group at the site counts in.
func (v *view) each(g group, name site.Name, f func(*tally)) {
	f(v.total(g))
	f(v.at(place{group: g, site: name}))
}

func (v *view) member(i fleet.Instance) member {
	m := member{Instance: i}
	m.listing, m.listed = v.listed[i.ID]
	m.sick = max(v.in.MissingFor[i.ID], v.in.FailingFor[i.ID])
	if m.reborn() {
		m.sick = max(m.sick, listLag)
	}
	if m.listed && m.listing.State == upstream.StateLeaving {
		// The platform takes the instance away, so no pool waits for it to recover.
		m.sick = max(m.sick, patienceBase+patienceSpan)
	}
	return m
}

func (v *view) count(m member) {
	v.each(m.group(), m.site(), func(t *tally) { t.latest = max(t.latest, m.PhaseSince) })
	switch m.Phase {
	case instance.PhaseActive:
		v.countActive(m)
	case instance.PhaseDraining:
		v.countDraining(m)
	case instance.PhaseLost:
		v.countDown(m)
		v.await(m, v.in.Now.Sub(m.PhaseSince.AsTime()))
	}
}

func (v *view) countActive(m member) {
	v.racks[rackPlace{group: m.group(), domain: m.rack()}]++
	v.each(m.group(), m.site(), func(t *tally) {
		t.active++
		if m.sick == 0 {
			t.healthy++
		}
		if m.sick < listLag {
			t.usable++
		}
	})
	if m.sick == 0 {
		return
	}
	v.countDown(m)
	if m.sick >= listLag {
		v.await(m, m.sick)
	}
}

func (v *view) countDraining(m member) {
	v.countDown(m)
	v.draining[m.rack()]++
	v.draining[m.centre()]++
	next := group{pool: m.NextPool, kind: m.Kind}
	v.racks[rackPlace{group: next, domain: m.rack()}]++
	v.each(next, m.site(), func(t *tally) {
		t.incoming++
		t.latest = max(t.latest, m.PhaseSince)
		if m.NextPool == m.Pool {
			t.returning++
		}
	})
}

func (v *view) countDown(m member) {
	v.down[m.rack()]++
	v.down[m.centre()]++
}

// await counts a failed instance as expected back while its pool is patient.
func (v *view) await(m member, failed time.Duration) {
	patience := v.total(m.group()).tuning.patience
	if failed < patience {
		v.each(m.group(), m.site(), func(t *tally) { t.expected++ })
	}
}

// surge raises the size of a pool that has no instance above its budget by one while maintenance is
// due in it. Otherwise such a pool could never be maintained.
func (v *view) surge() {
	raised := map[group]bool{}
	for _, m := range v.members {
		g := m.group()
		t := v.total(g)
		if raised[g] || t.spare || t.size == 0 || t.size > t.budget || !v.due(m) || v.paused(m.site()) {
			continue
		}
		raised[g] = true
		t.size++
		v.at(place{group: g, site: m.site()}).size++
	}
}
