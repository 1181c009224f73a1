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

// fillShortPools proposes moves from spare pools and from pools with a surplus into the pools that lack
// instances, in the order of need. Demand never causes a move, so that a burst of requests does not
// either. It decides only between pools with equal need and, by idleSurplus, whether a pool keeps its
// surplus.
func (s *planState) fillShortPools() {
	for _, kind := range instanceKinds {
		candidates := s.moveCandidates(kind)
		if len(candidates) == 0 {
			continue
		}
		for _, g := range s.shortGroups(kind) {
			for s.totalCounts(g).replacementsNeeded() > 0 && s.moveOneInto(g, candidates) {
			}
		}
	}
}

// moveCandidates returns the instances of a kind that may be moved out of their pool.
func (s *planState) moveCandidates(kind instance.Kind) []*member {
	var candidates []*member
	for i := range s.members {
		m := &s.members[i]
		if m.Kind == kind && m.isHealthy() && s.canRelease(m.group()) {
			candidates = append(candidates, m)
		}
	}
	return candidates
}

// canRelease reports whether an instance may be moved out of the group.
func (s *planState) canRelease(g memberGroup) bool {
	c := s.totalCounts(g)
	return (c.spare && c.headroom() > 0) || s.idleSurplus(g) > 0
}

// idleSurplus returns the surplus of a group, or 0 for targets of a pool with high demand.
func (s *planState) idleSurplus(g memberGroup) int {
	c := s.totalCounts(g)
	busy := g.kind == instance.KindTarget && s.in.History.Demand[g.pool] > busyThreshold*float64(c.size)
	if busy {
		return 0
	}
	return c.surplus(s.in.Now)
}

// shortGroups returns the groups of a kind that need replacements, ordered by need.
func (s *planState) shortGroups(kind instance.Kind) []memberGroup {
	var groups []memberGroup
	for _, g := range s.sortedGroups(kind) {
		if c := s.totalCounts(g); !c.spare && c.replacementsNeeded() > 0 {
			groups = append(groups, g)
		}
	}
	slices.SortFunc(groups, func(a, b memberGroup) int {
		byBudgetShortfall := -cmp.Compare(max(0, s.totalCounts(a).budgetShortfall()), max(0, s.totalCounts(b).budgetShortfall()))
		return cmp.Or(byBudgetShortfall, s.compareSizeShortfall(a, b))
	})
	return groups
}

// moveOneInto proposes to move the best candidate into the group and reports whether there was one.
func (s *planState) moveOneInto(g memberGroup, candidates []*member) bool {
	regions := s.shortRegions(g)
	var best *member
	for _, m := range candidates {
		if m.Phase != instance.PhaseActive || m.group() == g || !s.canRelease(m.group()) {
			continue
		}
		if best == nil || s.compareCandidates(g, regions, m, best) < 0 {
			best = m
		}
	}
	if best == nil {
		return false
	}
	s.proposeDrain(best, g.pool, "fill/"+string(g.pool)+"/"+string(g.kind), fmt.Sprintf("pool %s lacks %d", g.pool, s.totalCounts(g).replacementsNeeded()), drainLimits{})
	return true
}

// compareCandidates orders the candidates for a move into a group. An instance of a pool with a surplus
// precedes one of a spare pool. After that, the order is by the shortfall of the group at the site, largest
// first, then by whether the group lacks instances in the region, and then by the number of members of the
// group in the rack, fewest first.
func (s *planState) compareCandidates(g memberGroup, regions map[site.Region]bool, a, b *member) int {
	return cmp.Or(
		compareBools(s.totalCounts(a.group()).spare, s.totalCounts(b.group()).spare),
		-cmp.Compare(s.siteCounts(groupAtSite{memberGroup: g, site: a.site()}).sizeShortfall(), s.siteCounts(groupAtSite{memberGroup: g, site: b.site()}).sizeShortfall()),
		-compareBools(regions[s.in.Sites[a.site()].Region], regions[s.in.Sites[b.site()].Region]),
		cmp.Compare(s.membersInDomain[groupInDomain{memberGroup: g, failureDomain: a.rack()}], s.membersInDomain[groupInDomain{memberGroup: g, failureDomain: b.rack()}]),
		cmp.Compare(a.ID, b.ID),
	)
}

// shortRegions returns the regions with a site at which the group lacks instances.
func (s *planState) shortRegions(g memberGroup) map[site.Region]bool {
	regions := map[site.Region]bool{}
	for name, settings := range s.in.Sites {
		if s.siteCounts(groupAtSite{memberGroup: g, site: name}).sizeShortfall() > 0 {
			regions[settings.Region] = true
		}
	}
	return regions
}

// releaseSurplus proposes to move instances to a spare pool from pools that have exceeded their size for
// long enough.
func (s *planState) releaseSurplus() {
	for _, kind := range instanceKinds {
		for _, g := range s.sortedGroups(kind) {
			for n := s.idleSurplus(g); n > 0 && s.releaseOne(g); n-- {
			}
		}
	}
}

// releaseOne proposes to move one member of the group to a spare pool and reports whether it could. It
// leaves out members at sites where maintenance is paused.
func (s *planState) releaseOne(g memberGroup) bool {
	var best *member
	for i := range s.members {
		m := &s.members[i]
		if m.group() != g || !m.isHealthy() || s.isMaintenancePaused(m.site()) {
			continue
		}
		if best == nil || s.compareSurplusMembers(m, best) < 0 {
			best = m
		}
	}
	if best == nil {
		return false
	}
	spare, ok := s.sparePoolFor(g.kind, best.site(), "")
	if !ok {
		return false
	}
	c := s.totalCounts(g)
	s.proposeDrain(best, spare.pool, "give/"+string(g.pool)+"/"+string(g.kind), fmt.Sprintf("pool %s has %d above its size", g.pool, c.healthy-c.size), drainLimits{})
	return true
}

// compareSurplusMembers orders the members of a pool for release to a spare pool. Members at the site
// with the largest surplus come first, then those in the rack with the most members.
func (s *planState) compareSurplusMembers(a, b *member) int {
	return cmp.Or(
		cmp.Compare(s.siteCounts(groupAtSite{memberGroup: a.group(), site: a.site()}).sizeShortfall(), s.siteCounts(groupAtSite{memberGroup: b.group(), site: b.site()}).sizeShortfall()),
		-cmp.Compare(s.membersInDomain[groupInDomain{memberGroup: a.group(), failureDomain: a.rack()}], s.membersInDomain[groupInDomain{memberGroup: b.group(), failureDomain: b.rack()}]),
		cmp.Compare(a.ID, b.ID),
	)
}

// drainLimits holds the maximum number of draining instances in the rack and in the data centre of an
// instance. 0 means no limit.
type drainLimits struct {
	rack, centre int
}

// proposeDrain proposes to drain a member and updates the counts, so that the rest of the plan takes the
// drain into account.
func (s *planState) proposeDrain(m *member, next pool.Name, decisionKey, reason string, limits drainLimits) {
	from := m.group()
	s.propose(decisionKey, &fleet.Drain{
		RecordHeader: newRecordHeader(*m, "%s", reason), NextPool: next,
		MinActive: s.totalCounts(from).minActive(), MaxDrainingInRack: limits.rack, MaxDrainingInCentre: limits.centre,
	})
	s.updateCounts(from, m.site(), func(c *groupCounts) {
		c.active--
		c.healthy--
		c.usable--
	})
	s.membersInDomain[groupInDomain{memberGroup: from, failureDomain: m.rack()}]--
	m.Phase = instance.PhaseDraining
	m.NextPool = next
	m.PhaseSince = fleet.TimestampOf(s.in.Now)
	s.countDraining(*m)
}
