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

func siteOfListedInstance(listedInstance upstream.Instance) site.Name {
	return site.Name(listedInstance.Centre)
}

// sortedGroups returns the groups of a kind in a fixed order. It omits groups that have neither settings
// nor members.
func (s *planState) sortedGroups(kind instance.Kind) []memberGroup {
	if cached, ok := s.groupsByKind[kind]; ok {
		return cached
	}
	var groups []memberGroup
	for g := range maps.Keys(s.countsByGroup) {
		if g.kind == kind {
			groups = append(groups, g)
		}
	}
	slices.SortFunc(groups, compareGroups)
	s.groupsByKind[kind] = groups
	return groups
}

// choosePool returns the pool for an instance that may join any pool, and the reason for the choice. Among
// the pools that lack instances, one below its availability budget is preferred, then the current pool of
// the instance, then the pool with the largest shortfall at the site, then the one with the largest
// shortfall over all sites. If no pool lacks an instance, fallbackPool chooses. The name is empty if the
// instance has no pool and the settings declare neither a spare pool nor a pool with a size for its kind.
func (s *planState) choosePool(kind instance.Kind, siteName site.Name, currentPool pool.Name) (pool.Name, string) {
	if chosen, reason := s.neediestPool(kind, siteName, currentPool, false); chosen != "" {
		return chosen, reason
	}
	return s.fallbackPool(kind, siteName, currentPool)
}

// neediestPool returns the pool with the greatest need for an instance at the site, and the reason for
// the choice. With atSiteOnly, only pools that lack an instance at this site are considered.
func (s *planState) neediestPool(kind instance.Kind, siteName site.Name, currentPool pool.Name, atSiteOnly bool) (pool.Name, string) {
	best, found := memberGroup{}, false
	for _, g := range s.sortedGroups(kind) {
		c := s.totalCounts(g)
		if c.spare || c.sizeShortfall() <= 0 || atSiteOnly && s.siteCounts(groupAtSite{memberGroup: g, site: siteName}).sizeShortfall() <= 0 {
			continue
		}
		if !found || s.compareNeed(g, best, siteName, currentPool) < 0 {
			best, found = g, true
		}
	}
	if !found {
		return "", ""
	}
	return best.pool, fmt.Sprintf("pool %s lacks %d", best.pool, s.totalCounts(best).sizeShortfall())
}

// compareNeed orders groups by their need for an instance at a site. A negative result means that a needs
// the instance more.
func (s *planState) compareNeed(a, b memberGroup, siteName site.Name, currentPool pool.Name) int {
	countsA, countsB := s.siteCounts(groupAtSite{memberGroup: a, site: siteName}), s.siteCounts(groupAtSite{memberGroup: b, site: siteName})
	return cmp.Or(
		-compareBools(s.totalCounts(a).budgetShortfall() > 0, s.totalCounts(b).budgetShortfall() > 0),
		-compareBools(a.pool == currentPool, b.pool == currentPool),
		-cmp.Compare(max(0, countsA.sizeShortfall()), max(0, countsB.sizeShortfall())),
		s.compareSizeShortfall(a, b),
	)
}

// compareSizeShortfall orders groups by their size shortfall over all sites, largest first, and groups
// with equal shortfalls by demand, highest first.
func (s *planState) compareSizeShortfall(a, b memberGroup) int {
	return cmp.Or(
		-cmp.Compare(s.totalCounts(a).sizeShortfall(), s.totalCounts(b).sizeShortfall()),
		-cmp.Compare(s.in.History.Demand[a.pool], s.in.History.Demand[b.pool]),
		compareGroups(a, b),
	)
}

// fallbackPool returns the pool for an instance that no pool needs, and the reason for the choice. It
// prefers a spare pool, then the current pool of the instance, then the pool that exceeds its size least.
func (s *planState) fallbackPool(kind instance.Kind, siteName site.Name, currentPool pool.Name) (pool.Name, string) {
	if g, ok := s.sparePoolFor(kind, siteName, currentPool); ok {
		return g.pool, "no pool lacks an instance"
	}
	if currentPool != "" {
		return currentPool, "no pool lacks an instance and there is no spare pool"
	}
	best, found := memberGroup{}, false
	for _, g := range s.sortedGroups(kind) {
		if s.totalCounts(g).size > 0 && (!found || s.totalCounts(g).sizeShortfall() > s.totalCounts(best).sizeShortfall()) {
			best, found = g, true
		}
	}
	return best.pool, "no pool lacks an instance and there is no spare pool"
}

// sparePoolFor returns the spare pool that an instance at the site should join: its current pool if that
// is a spare pool, else the spare pool with the largest shortfall at the site.
func (s *planState) sparePoolFor(kind instance.Kind, siteName site.Name, currentPool pool.Name) (memberGroup, bool) {
	best, found := memberGroup{}, false
	for _, g := range s.sortedGroups(kind) {
		if !s.totalCounts(g).spare {
			continue
		}
		if g.pool == currentPool {
			return g, true
		}
		if !found || s.siteCounts(groupAtSite{memberGroup: g, site: siteName}).sizeShortfall() > s.siteCounts(groupAtSite{memberGroup: best, site: siteName}).sizeShortfall() {
			best, found = g, true
		}
	}
	return best, found
}

// compareBools orders false before true.
func compareBools(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	}
	return -1
}
