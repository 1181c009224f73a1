package planner

import (
	"cmp"
	"fmt"
	"slices"

	"hibiscuslane.example/hibiscuslane/fleet"
	"hibiscuslane.example/hibiscuslane/instance"
	"hibiscuslane.example/hibiscuslane/pool"
	"hibiscuslane.example/hibiscuslane/site"
)

// fill replaces what pools lack by moves from spare pools and from pools with a surplus, the neediest
// pool first. Demand moves nothing, so a burst never does; it only decides between equal needs.
func (v *view) fill() {
	for _, kind := range kinds {
		sources := v.sources(kind)
		if len(sources) == 0 {
			continue
		}
		for _, g := range v.needy(kind) {
			for v.total(g).shortage() > 0 && v.moveInto(g, sources) {
			}
		}
	}
}

// sources returns the instances that may be moved out of their pool.
func (v *view) sources(kind instance.Kind) []*member {
	var sources []*member
	for i := range v.members {
		m := &v.members[i]
		if m.Kind == kind && m.healthy() && v.available(m.group()) {
			sources = append(sources, m)
		}
	}
	return sources
}

// available reports whether an instance may be moved out of the group.
func (v *view) available(g group) bool {
	t := v.total(g)
	return (t.spare && t.headroom() > 0) || v.excess(g) > 0
}

// excess is the surplus of a group that is not busy.
func (v *view) excess(g group) int {
	t := v.total(g)
	busy := g.kind == instance.KindTarget && v.in.History.Demand[g.pool] > busyShare*float64(t.size)
	if busy {
		return 0
	}
	return t.surplus(v.in.Now)
}

// needy returns the short groups of a kind, the neediest first.
func (v *view) needy(kind instance.Kind) []group {
	var needy []group
	for _, g := range v.sorted(kind) {
		if t := v.total(g); !t.spare && t.shortage() > 0 {
			needy = append(needy, g)
		}
	}
	slices.SortFunc(needy, func(a, b group) int {
		deficits := -cmp.Compare(max(0, v.total(a).deficit()), max(0, v.total(b).deficit()))
		return cmp.Or(deficits, v.compareGap(a, b))
	})
	return needy
}

func (v *view) moveInto(g group, sources []*member) bool {
	regions := v.shortRegions(g)
	var best *member
	for _, m := range sources {
		if m.Phase != instance.PhaseActive || m.group() == g || !v.available(m.group()) {
			continue
		}
		if best == nil || v.compareSources(g, regions, m, best) < 0 {
			best = m
		}
	}
	if best == nil {
		return false
	}
	v.drain(best, g.pool, "fill/"+string(g.pool)+"/"+string(g.kind), fmt.Sprintf("pool %s lacks %d", g.pool, v.total(g).shortage()), limits{})
	return true
}

// compareSources orders the candidates for a move into a group: from a surplus before from a spare
// pool, at the site that lacks most, in a region that lacks any, in the rack with the fewest members of
// the group.
func (v *view) compareSources(g group, regions map[site.Region]bool, a, b *member) int {
	return cmp.Or(
		compareBool(v.total(a.group()).spare, v.total(b.group()).spare),
		-cmp.Compare(v.at(place{group: g, site: a.site()}).gap(), v.at(place{group: g, site: b.site()}).gap()),
		-compareBool(regions[v.in.Sites[a.site()].Region], regions[v.in.Sites[b.site()].Region]),
		cmp.Compare(v.racks[rackPlace{group: g, domain: a.rack()}], v.racks[rackPlace{group: g, domain: b.rack()}]),
		cmp.Compare(a.ID, b.ID),
	)
}

func (v *view) shortRegions(g group) map[site.Region]bool {
	regions := map[site.Region]bool{}
	for name, settings := range v.in.Sites {
		if v.at(place{group: g, site: name}).gap() > 0 {
			regions[settings.Region] = true
		}
	}
	return regions
}

// giveBack moves what a pool has kept above its size for long enough to a spare pool.
func (v *view) giveBack() {
	for _, kind := range kinds {
		for _, g := range v.sorted(kind) {
			for n := v.excess(g); n > 0 && v.giveOne(g); n-- {
			}
		}
	}
}

func (v *view) giveOne(g group) bool {
	var best *member
	for i := range v.members {
		m := &v.members[i]
		if m.group() != g || !m.healthy() || v.paused(m.site()) {
			continue
		}
		if best == nil || v.compareSurplus(m, best) < 0 {
			best = m
		}
	}
	if best == nil {
		return false
	}
	spare, ok := v.spareFor(g.kind, best.site(), "")
	if !ok {
		return false
	}
	t := v.total(g)
	v.drain(best, spare.pool, "give/"+string(g.pool)+"/"+string(g.kind), fmt.Sprintf("pool %s has %d above its size", g.pool, t.healthy-t.size), limits{})
	return true
}

// compareSurplus orders the members of a pool for giving back: at the site with the largest surplus, in
// the rack with the most members.
func (v *view) compareSurplus(a, b *member) int {
	return cmp.Or(
		cmp.Compare(v.at(place{group: a.group(), site: a.site()}).gap(), v.at(place{group: b.group(), site: b.site()}).gap()),
		-cmp.Compare(v.racks[rackPlace{group: a.group(), domain: a.rack()}], v.racks[rackPlace{group: b.group(), domain: b.rack()}]),
		cmp.Compare(a.ID, b.ID),
	)
}

// limits are the most draining instances in the rack and data centre; 0 means no limit.
type limits struct {
	rack, centre int
}

// drain proposes a drain and counts it, so that the rest of the plan respects it.
func (v *view) drain(m *member, next pool.Name, decision, reason string, l limits) {
	from := m.group()
	v.propose(decision, &fleet.Drain{
		RecordHeader: subject(*m, "%s", reason), NextPool: next,
		MinActive: v.total(from).floor(), MaxDrainingInRack: l.rack, MaxDrainingInCentre: l.centre,
	})
	v.each(from, m.site(), func(t *tally) {
		t.active--
		t.healthy--
		t.usable--
	})
	v.racks[rackPlace{group: from, domain: m.rack()}]--
	m.Phase = instance.PhaseDraining
	m.NextPool = next
	m.PhaseSince = fleet.TimestampOf(v.in.Now)
	v.countDraining(*m)
}
