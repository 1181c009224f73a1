package planner

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	"hibiscuslane.example/hibiscuslane/instance"
	"hibiscuslane.example/hibiscuslane/site"
)

// proposeMaintenance proposes to drain the instances that are due for maintenance, within the
// availability budget of their pool and the limits of rack and data centre. Instances that joined their
// pool earliest come first.
func (s *planState) proposeMaintenance() {
	var due []*member
	for i := range s.members {
		if m := &s.members[i]; s.isMaintenanceDue(*m) && !s.isMaintenancePaused(m.site()) {
			due = append(due, m)
		}
	}
	slices.SortFunc(due, func(a, b *member) int {
		return cmp.Or(cmp.Compare(a.JoinedAt, b.JoinedAt), cmp.Compare(a.ID, b.ID))
	})
	for _, m := range due {
		limits, ok := s.maintenanceLimits(*m)
		if !ok {
			continue
		}
		age := s.in.Now.Sub(m.JoinedAt.AsTime()).Truncate(time.Hour)
		s.proposeDrain(m, m.Pool, "maintain/"+string(m.Pool)+"/"+string(m.Kind), fmt.Sprintf("maintenance: last joined %s ago", age), limits)
	}
}

// isMaintenanceDue reports whether a healthy instance has been in service long enough for maintenance.
func (s *planState) isMaintenanceDue(m member) bool {
	days := s.in.Sites[m.site()].Maintenance.PeriodDays
	if days <= 0 || !m.isHealthy() {
		return false
	}
	age := s.in.Now.Sub(m.JoinedAt.AsTime())
	return age >= time.Duration(maintenanceDueShare*float64(days)*float64(day))
}

// isMaintenancePaused reports whether the number of recent failures reaches the limit at which the site
// pauses maintenance.
func (s *planState) isMaintenancePaused(siteName site.Name) bool {
	return s.recentFailures >= max(1, s.in.Sites[siteName].Maintenance.PauseAfterFailures)
}

// maintenanceLimits reports whether an instance may be drained now, and returns the limits for its drain
// record. The settings limit all instances out of service, whereas the fleet state checks a record
// against draining instances only, so the limits are reduced by the instances that are out of service for
// another reason.
func (s *planState) maintenanceLimits(m member) (drainLimits, bool) {
	settings := s.in.Sites[m.site()].Maintenance
	rack, centre := max(1, settings.MaxPerRack), max(1, settings.MaxPerCentre)
	if s.outOfService[m.rack()] >= rack || s.outOfService[m.centre()] >= centre {
		return drainLimits{}, false
	}
	c := s.totalCounts(m.group())
	if c.headroom() <= 0 || c.rejoining >= maxInMaintenance(c) {
		return drainLimits{}, false
	}
	return drainLimits{
		rack:   rack - (s.outOfService[m.rack()] - s.draining[m.rack()]),
		centre: centre - (s.outOfService[m.centre()] - s.draining[m.centre()]),
	}, true
}

// maxInMaintenance returns the number of members of a pool that maintenance may keep out of service at
// once. It is a share of the headroom, given by the roll-out weight, but at least one. Members that already
// rejoin the pool count towards the headroom here.
func maxInMaintenance(c *groupCounts) int {
	share := c.policy.rolloutShare * float64(c.headroom()+c.rejoining)
	return max(1, int(math.Ceil(share)))
}

// countRecentFailures counts the instances that failed recently or are failing now. An instance that is
// lost now and also listed in the history counts once.
func (s *planState) countRecentFailures() {
	counted := map[instance.ID]bool{}
	for _, m := range s.members {
		if m.Phase == instance.PhaseLost && s.in.Now.Sub(m.PhaseSince.AsTime()) < failureWindow {
			counted[m.ID] = true
		}
		if m.Phase == instance.PhaseActive && m.unhealthyFor >= listLagTolerance {
			counted[m.ID] = true
		}
	}
	for _, f := range s.in.History.RecentFailures {
		if s.in.Now.Sub(f.At) < failureWindow {
			counted[f.ID] = true
		}
	}
	s.recentFailures = len(counted)
}
