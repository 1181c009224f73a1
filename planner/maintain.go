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

// maintain drains the instances that are due, the longest unvisited first, within the availability
// budget of the pool and the limits of rack and data centre.
func (v *view) maintain() {
	var due []*member
	for i := range v.members {
		if m := &v.members[i]; v.due(*m) && !v.paused(m.site()) {
			due = append(due, m)
		}
	}
	slices.SortFunc(due, func(a, b *member) int {
		return cmp.Or(cmp.Compare(a.JoinedAt, b.JoinedAt), cmp.Compare(a.ID, b.ID))
	})
	for _, m := range due {
		l, ok := v.mayMaintain(*m)
		if !ok {
			continue
		}
		age := v.in.Now.Sub(m.JoinedAt.AsTime()).Truncate(time.Hour)
		v.drain(m, m.Pool, "maintain/"+string(m.Pool)+"/"+string(m.Kind), fmt.Sprintf("maintenance: last joined %s ago", age), l)
	}
}

// due reports whether an instance should be visited by maintenance now.
func (v *view) due(m member) bool {
	days := v.in.Sites[m.site()].Maintenance.Days
	if days <= 0 || !m.healthy() {
		return false
	}
	age := v.in.Now.Sub(m.JoinedAt.AsTime())
	return age >= time.Duration(dueShare*float64(days)*float64(day))
}

// paused reports whether failures come in a wave, by the settings of the site.
func (v *view) paused(name site.Name) bool {
	return v.wave >= max(1, v.in.Sites[name].Maintenance.Pause)
}

// mayMaintain reports whether an instance may be drained now, and the limits that its record names. A
// limit counts all instances out of service, whereas the fold sees only those that drain, so the
// others are subtracted.
func (v *view) mayMaintain(m member) (limits, bool) {
	settings := v.in.Sites[m.site()].Maintenance
	rack, centre := max(1, settings.Rack), max(1, settings.Centre)
	if v.down[m.rack()] >= rack || v.down[m.centre()] >= centre {
		return limits{}, false
	}
	t := v.total(m.group())
	if t.headroom() <= 0 || t.returning >= parallel(t) {
		return limits{}, false
	}
	return limits{
		rack:   rack - (v.down[m.rack()] - v.draining[m.rack()]),
		centre: centre - (v.down[m.centre()] - v.draining[m.centre()]),
	}, true
}

// parallel is the number of members of a pool that maintenance may keep out of service at once: the
// share of the headroom that the weight of roll-out earns, at least one.
func parallel(t *tally) int {
	share := t.tuning.rollout * float64(t.headroom()+t.returning)
	return max(1, int(math.Ceil(share)))
}

// countFailures adds the recent failures to the wave. An instance that is lost now counts once, even if
// the history lists it too.
func (v *view) countFailures() {
	counted := map[instance.ID]bool{}
	for _, m := range v.members {
		if m.Phase == instance.PhaseLost && v.in.Now.Sub(m.PhaseSince.AsTime()) < waveWindow {
			counted[m.ID] = true
		}
		if m.Phase == instance.PhaseActive && m.sick >= listLag {
			counted[m.ID] = true
		}
	}
	for _, f := range v.in.History.RecentFailures {
		if v.in.Now.Sub(f.At) < waveWindow {
			counted[f.ID] = true
		}
	}
	v.wave = len(counted)
}
