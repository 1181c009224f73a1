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

// memberGroup identifies the instances of one kind in one pool.
type memberGroup struct {
	pool pool.Name
	kind instance.Kind
}

func compareGroups(a, b memberGroup) int {
	return cmp.Or(cmp.Compare(a.pool, b.pool), cmp.Compare(a.kind, b.kind))
}

// groupAtSite identifies the members of a group at one site.
type groupAtSite struct {
	memberGroup
	site site.Name
}

// failureDomain identifies a rack, or a whole data centre if rack is empty.
type failureDomain struct {
	centre site.DataCentre
	rack   site.Rack
}

// groupCounts holds the settings and the instance counts of a group, over all sites or at one site. Plan
// updates them with every proposal, so that later proposals of the same plan take earlier ones into
// account.
type groupCounts struct {
	// size and budget are the sums over the sites that the counts cover.
	size   int
	budget int
	spare  bool
	// active is the number of instances in phase active, healthy the number of those without any sign of
	// failure.
	active  int
	healthy int
	// usable is the number of active instances that have shown no signs of failure or have shown them for
	// less than listLagTolerance.
	usable int
	// joining is the number of instances that will join after their reboot, rejoining the number of those
	// that already belong to the pool.
	joining   int
	rejoining int
	// awaited is the number of failed instances whose recovery the pool still waits for.
	awaited int
	// lastPhaseChange is the time of the latest phase change of a current or joining member.
	lastPhaseChange fleet.Timestamp
	// policy is set only in counts over all sites.
	policy weightPolicy
}

// sizeShortfall returns the number of instances that the group lacks to reach its size if no failed
// instance recovers. It is negative if the group exceeds its size.
func (c *groupCounts) sizeShortfall() int { return c.size - c.usable - c.joining }

// budgetShortfall returns the number of instances that the group lacks to reach its availability budget.
func (c *groupCounts) budgetShortfall() int { return c.budget - c.usable - c.joining }

// replacementsNeeded returns the number of instances to move into the group. Instances missing from the
// budget are replaced at once, others only when the group no longer waits for the failed ones to recover.
func (c *groupCounts) replacementsNeeded() int {
	return max(c.budgetShortfall(), c.sizeShortfall()-c.awaited)
}

// headroom returns the number of instances that may be drained.
func (c *groupCounts) headroom() int { return c.healthy - c.budget }

// minActive returns the minimum number of active instances that must remain after a drain. It is the
// budget plus the number of instances in phase active that show signs of failure.
func (c *groupCounts) minActive() int { return c.budget + c.active - c.healthy }

// surplus returns the number of healthy instances above the size of the group, limited to its headroom.
// It is 0 for a spare pool and while the last phase change is more recent than surplusHold.
func (c *groupCounts) surplus(now time.Time) int {
	if c.spare || now.Sub(c.lastPhaseChange.AsTime()) < c.policy.surplusHold {
		return 0
	}
	return max(0, min(c.healthy-c.size, c.headroom()))
}

// member combines an instance with its entry in the platform's list and its health.
type member struct {
	fleet.Instance
	listedInstance upstream.Instance
	listed         bool
	// unhealthyFor is how long the instance has shown signs of failure. 0 means that it shows none.
	unhealthyFor time.Duration
}

func (m member) group() memberGroup { return memberGroup{pool: m.Pool, kind: m.Kind} }
func (m member) site() site.Name {
	return site.Name(m.Centre)
}
func (m member) rack() failureDomain   { return failureDomain{centre: m.Centre, rack: m.Rack} }
func (m member) centre() failureDomain { return failureDomain{centre: m.Centre} }

// isHealthy reports whether the instance is active and shows no signs of failure.
func (m member) isHealthy() bool { return m.Phase == instance.PhaseActive && m.unhealthyFor == 0 }

// hasNewIncarnation reports whether the platform lists the instance under a higher incarnation than the
// fleet state.
func (m member) hasNewIncarnation() bool {
	return m.listed && m.listedInstance.Incarnation > m.Incarnation
}

// planState holds the indexed input and the counts from which a plan is computed, and collects its
// proposals.
type planState struct {
	in                 Input
	members            []member
	listedInstanceByID map[instance.ID]upstream.Instance
	inFleet            map[instance.ID]bool
	countsByGroup      map[memberGroup]*groupCounts
	countsBySite       map[groupAtSite]*groupCounts
	// membersInDomain is the number of active and joining members of a group in each rack. outOfService is
	// the number of instances in each rack and data centre that are draining, lost or show signs of failure.
	membersInDomain map[groupInDomain]int
	outOfService    map[failureDomain]int
	// draining is the number of instances in outOfService that are draining.
	draining map[failureDomain]int
	// listSuspect is set when more than half of the fleet is in phase active and has been missing from the
	// list for at least listLagTolerance. This is more likely a fault of the list than of the instances.
	listSuspect bool
	// groupsByKind caches the result of sortedGroups.
	groupsByKind map[instance.Kind][]memberGroup
	// recentFailures is the number of instances that failed recently or are failing now.
	recentFailures int
	proposals      []Proposal
}

// groupInDomain identifies the members of a group in one failure domain.
type groupInDomain struct {
	memberGroup
	failureDomain
}

var instanceKinds = []instance.Kind{instance.KindTarget, instance.KindWorker}

func newPlanState(in Input) *planState {
	s := &planState{
		in:                 in,
		listedInstanceByID: make(map[instance.ID]upstream.Instance, len(in.ListedInstances)),
		inFleet:            make(map[instance.ID]bool, len(in.Fleet)),
		countsByGroup:      map[memberGroup]*groupCounts{},
		countsBySite:       map[groupAtSite]*groupCounts{},
		membersInDomain:    map[groupInDomain]int{},
		outOfService:       map[failureDomain]int{},
		draining:           map[failureDomain]int{},
		groupsByKind:       map[instance.Kind][]memberGroup{},
	}
	s.loadSettings()
	s.in.ListedInstances = slices.Clone(in.ListedInstances)
	slices.SortFunc(s.in.ListedInstances, func(a, b upstream.Instance) int { return cmp.Compare(a.ID, b.ID) })
	for _, listedInstance := range in.ListedInstances {
		s.listedInstanceByID[listedInstance.ID] = listedInstance
	}
	missing := 0
	for _, i := range in.Fleet {
		m := s.newMember(i)
		s.members = append(s.members, m)
		s.inFleet[i.ID] = true
		s.countMember(m)
		if i.Phase == instance.PhaseActive && in.MissingFor[i.ID] >= listLagTolerance {
			missing++
		}
	}
	s.listSuspect = 2*missing > len(in.Fleet)
	s.countRecentFailures()
	s.addMaintenanceSurge()
	return s
}

// loadSettings reads the sizes, budgets and weights of all pools from the settings.
func (s *planState) loadSettings() {
	weights := map[memberGroup]config.Weights{}
	for _, siteName := range s.sortedSites() {
		settings := s.in.Sites[siteName]
		for poolName, spec := range settings.Pools {
			for _, kind := range instanceKinds {
				g := memberGroup{pool: poolName, kind: kind}
				size, budget := sizeAndBudget(spec, kind)
				for _, c := range []*groupCounts{s.totalCounts(g), s.siteCounts(groupAtSite{memberGroup: g, site: siteName})} {
					c.size += size
					c.budget += min(size, budget)
					c.spare = c.spare || spec.Spare
				}
				w := weights[g]
				w.Buffer += settings.Weights.Buffer
				w.Moves += settings.Weights.Moves
				w.Rollout += settings.Weights.Rollout
				weights[g] = w
			}
		}
	}
	for g, c := range s.countsByGroup {
		c.policy = policyFromWeights(weights[g])
	}
}

func sizeAndBudget(spec pool.Spec, kind instance.Kind) (size, budget int) {
	if kind == instance.KindWorker {
		return spec.Size.Workers, spec.Budget.Workers
	}
	return spec.Size.Targets, spec.Budget.Targets
}

func (s *planState) sortedSites() []site.Name {
	return slices.Sorted(maps.Keys(s.in.Sites))
}

func (s *planState) totalCounts(g memberGroup) *groupCounts {
	c, ok := s.countsByGroup[g]
	if !ok {
		c = &groupCounts{policy: policyFromWeights(config.Weights{})}
		s.countsByGroup[g] = c
	}
	return c
}

func (s *planState) siteCounts(key groupAtSite) *groupCounts {
	c, ok := s.countsBySite[key]
	if !ok {
		c = &groupCounts{}
		s.countsBySite[key] = c
	}
	return c
}

// updateCounts calls f with each of the counts that include a member of the group at the site.
func (s *planState) updateCounts(g memberGroup, siteName site.Name, f func(*groupCounts)) {
	f(s.totalCounts(g))
	f(s.siteCounts(groupAtSite{memberGroup: g, site: siteName}))
}

func (s *planState) newMember(i fleet.Instance) member {
	m := member{Instance: i}
	m.listedInstance, m.listed = s.listedInstanceByID[i.ID]
	m.unhealthyFor = max(s.in.MissingFor[i.ID], s.in.FailingFor[i.ID])
	if m.hasNewIncarnation() {
		// The instance has restarted, so it is not usable until it joins under the new incarnation.
		m.unhealthyFor = max(m.unhealthyFor, listLagTolerance)
	}
	if m.listed && m.listedInstance.State == upstream.StateLeaving {
		// The platform is withdrawing the instance, so no pool waits for it to recover.
		m.unhealthyFor = max(m.unhealthyFor, recoveryWaitBase+recoveryWaitSpan)
	}
	return m
}

func (s *planState) countMember(m member) {
	s.updateCounts(m.group(), m.site(), func(c *groupCounts) { c.lastPhaseChange = max(c.lastPhaseChange, m.PhaseSince) })
	switch m.Phase {
	case instance.PhaseActive:
		s.countActive(m)
	case instance.PhaseDraining:
		s.countDraining(m)
	case instance.PhaseLost:
		s.countOutOfService(m)
		s.countAwaited(m, s.in.Now.Sub(m.PhaseSince.AsTime()))
	}
}

func (s *planState) countActive(m member) {
	s.membersInDomain[groupInDomain{memberGroup: m.group(), failureDomain: m.rack()}]++
	s.updateCounts(m.group(), m.site(), func(c *groupCounts) {
		c.active++
		if m.unhealthyFor == 0 {
			c.healthy++
		}
		if m.unhealthyFor < listLagTolerance {
			c.usable++
		}
	})
	if m.unhealthyFor == 0 {
		return
	}
	s.countOutOfService(m)
	if m.unhealthyFor >= listLagTolerance {
		s.countAwaited(m, m.unhealthyFor)
	}
}

func (s *planState) countDraining(m member) {
	s.countOutOfService(m)
	s.draining[m.rack()]++
	s.draining[m.centre()]++
	next := memberGroup{pool: m.NextPool, kind: m.Kind}
	s.membersInDomain[groupInDomain{memberGroup: next, failureDomain: m.rack()}]++
	s.updateCounts(next, m.site(), func(c *groupCounts) {
		c.joining++
		c.lastPhaseChange = max(c.lastPhaseChange, m.PhaseSince)
		if m.NextPool == m.Pool {
			c.rejoining++
		}
	})
}

func (s *planState) countOutOfService(m member) {
	s.outOfService[m.rack()]++
	s.outOfService[m.centre()]++
}

// countAwaited counts a failed instance as awaited until the recovery wait of its pool has passed.
func (s *planState) countAwaited(m member, failedFor time.Duration) {
	recoveryWait := s.totalCounts(m.group()).policy.recoveryWait
	if failedFor < recoveryWait {
		s.updateCounts(m.group(), m.site(), func(c *groupCounts) { c.awaited++ })
	}
}

// addMaintenanceSurge raises the size of each group that is not larger than its budget by one while one
// of its members is due for maintenance and maintenance is not paused at the site of that member. Without
// the extra instance, no member could ever be drained. Spare pools are not raised.
func (s *planState) addMaintenanceSurge() {
	raised := map[memberGroup]bool{}
	for _, m := range s.members {
		g := m.group()
		c := s.totalCounts(g)
		if raised[g] || c.spare || c.size == 0 || c.size > c.budget || !s.isMaintenanceDue(m) || s.isMaintenancePaused(m.site()) {
			continue
		}
		raised[g] = true
		c.size++
		s.siteCounts(groupAtSite{memberGroup: g, site: m.site()}).size++
	}
}
