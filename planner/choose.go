package planner

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"hibiscuslane.example/hibiscuslane/instance"
	"hibiscuslane.example/hibiscuslane/pool"
	"hibiscuslane.example/hibiscuslane/site"
	"hibiscuslane.example/hibiscuslane/upstream"
)

func siteOf(listing upstream.Listing) site.Name { return site.Name(listing.Centre) }

// sorted returns the groups of a kind in a fixed order. Groups without settings are left out unless
// they have members.
func (v *view) sorted(kind instance.Kind) []group {
	if cached, ok := v.order[kind]; ok {
		return cached
	}
	var groups []group
	for g := range maps.Keys(v.groups) {
		if g.kind == kind {
			groups = append(groups, g)
		}
	}
	slices.SortFunc(groups, compareGroups)
	v.order[kind] = groups
	return groups
}

// choose returns the pool for an instance that may join any: a pool below its budget, else its own
// pool, else the pool most short of its size at the site, else the pool most short over all sites, else
// a spare pool. The name is empty if the settings declare no pool.
func (v *view) choose(kind instance.Kind, name site.Name, own pool.Name) (pool.Name, string) {
	if chosen, reason := v.neediest(kind, name, own, false); chosen != "" {
		return chosen, reason
	}
	return v.fallback(kind, name, own)
}

// neediest returns the pool that lacks an instance most, seen from a site. With local set, it must lack
// one at the site.
func (v *view) neediest(kind instance.Kind, name site.Name, own pool.Name, local bool) (pool.Name, string) {
	best, found := group{}, false
	for _, g := range v.sorted(kind) {
		t := v.total(g)
		if t.spare || t.gap() <= 0 || local && v.at(place{group: g, site: name}).gap() <= 0 {
			continue
		}
		if !found || v.compareNeed(g, best, name, own) < 0 {
			best, found = g, true
		}
	}
	if !found {
		return "", ""
	}
	return best.pool, fmt.Sprintf("pool %s lacks %d", best.pool, v.total(best).gap())
}

// compareNeed orders groups by need of an instance at a site; negative means that a comes first.
func (v *view) compareNeed(a, b group, name site.Name, own pool.Name) int {
	pa, pb := v.at(place{group: a, site: name}), v.at(place{group: b, site: name})
	return cmp.Or(
		-compareBool(v.total(a).deficit() > 0, v.total(b).deficit() > 0),
		-compareBool(a.pool == own, b.pool == own),
		-cmp.Compare(max(0, pa.gap()), max(0, pb.gap())),
		v.compareGap(a, b),
	)
}

// compareGap orders groups by what they lack over all sites, and by demand if they lack the same.
func (v *view) compareGap(a, b group) int {
	return cmp.Or(
		-cmp.Compare(v.total(a).gap(), v.total(b).gap()),
		-cmp.Compare(v.in.History.Demand[a.pool], v.in.History.Demand[b.pool]),
		compareGroups(a, b),
	)
}

// fallback returns the pool for an instance that no pool lacks: the spare pool most short at the site,
// else its own pool, else the pool least above its size.
func (v *view) fallback(kind instance.Kind, name site.Name, own pool.Name) (pool.Name, string) {
	if g, ok := v.spareFor(kind, name, own); ok {
		return g.pool, "no pool lacks an instance"
	}
	if own != "" {
		return own, "no pool lacks an instance and there is no spare pool"
	}
	best, found := group{}, false
	for _, g := range v.sorted(kind) {
		if v.total(g).size > 0 && (!found || v.total(g).gap() > v.total(best).gap()) {
			best, found = g, true
		}
	}
	return best.pool, "no pool lacks an instance and there is no spare pool"
}

// spareFor returns the spare pool that an instance at the site should go to.
func (v *view) spareFor(kind instance.Kind, name site.Name, own pool.Name) (group, bool) {
	best, found := group{}, false
	for _, g := range v.sorted(kind) {
		if !v.total(g).spare {
			continue
		}
		if g.pool == own {
			return g, true
		}
		if !found || v.at(place{group: g, site: name}).gap() > v.at(place{group: best, site: name}).gap() {
			best, found = g, true
		}
	}
	return best, found
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}
