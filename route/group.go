package route

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"hibiscuslane.example/hibiscuslane/fleet"
	"hibiscuslane.example/hibiscuslane/instance"
	"hibiscuslane.example/hibiscuslane/pool"
)

// targetGroup holds the targets of one pool.
type targetGroup struct {
	pool pool.Name

	mu sync.Mutex
	// members is sorted by id.
	members []*member
}

// member is a target of a pool and its health. Its fields are guarded by targetGroup.mu.
type member struct {
	instance fleet.Instance
	// minIncarnation is the lowest incarnation that may receive work according to the list of the
	// platform, refusals and other entries. It never decreases.
	minIncarnation instance.Incarnation
	// consecutiveFailures counts consecutive failures of new connections.
	consecutiveFailures int
	// ejections counts the ejections since the last response. Each one doubles the ejection time.
	ejections int
	ejected   bool
	// nextProbe is the time of the next probe. It is used only while ejected is set.
	nextProbe time.Time
}

// acceptsWork reports whether the target is active and not known to be leaving under its incarnation.
func (m *member) acceptsWork() bool {
	return m.instance.Phase == instance.PhaseActive && m.instance.Incarnation >= m.minIncarnation
}

// phase returns the phase of the target. It is draining for an active target that is known to be leaving.
func (m *member) phase() instance.Phase {
	if m.instance.Phase == instance.PhaseActive && !m.acceptsWork() {
		return instance.PhaseDraining
	}
	return m.instance.Phase
}

// resetHealth clears the recorded failures and ejections.
func (m *member) resetHealth() {
	m.consecutiveFailures, m.ejections = 0, 0
	m.ejected = false
}

// find returns the member with the given id, or nil.
func (g *targetGroup) find(id instance.ID) *member {
	i, ok := slices.BinarySearchFunc(g.members, id, func(m *member, id instance.ID) int {
		return cmp.Compare(m.instance.ID, id)
	})
	if !ok {
		return nil
	}
	return g.members[i]
}

// exemptFromEjectionLocked returns the ejected members that receive work nevertheless, because more
// members are ejected than maxShare allows. This happens if other members stop accepting work after the
// ejection. The members whose next probe is earliest are exempt.
func (g *targetGroup) exemptFromEjectionLocked(maxShare float64) map[*member]bool {
	var ejected []*member
	candidates := 0
	for _, m := range g.members {
		if !m.acceptsWork() {
			continue
		}
		candidates++
		if m.ejected {
			ejected = append(ejected, m)
		}
	}
	excess := len(ejected) - maxEjected(candidates, maxShare)
	if excess <= 0 {
		return nil
	}
	slices.SortStableFunc(ejected, func(a, b *member) int { return a.nextProbe.Compare(b.nextProbe) })
	exempt := make(map[*member]bool, excess)
	for _, m := range ejected[:excess] {
		exempt[m] = true
	}
	return exempt
}

// canEjectLocked reports whether maxShare allows one more ejection.
func (g *targetGroup) canEjectLocked(maxShare float64) bool {
	candidates, ejected := 0, 0
	for _, m := range g.members {
		if !m.acceptsWork() {
			continue
		}
		candidates++
		if m.ejected {
			ejected++
		}
	}
	return ejected < maxEjected(candidates, maxShare)
}

// maxEjected returns the number of candidates that may be ejected at once.
func maxEjected(candidates int, maxShare float64) int {
	return int(maxShare * float64(candidates))
}

// usableTargets returns the ids of the members that receive new work, sorted by id.
func (g *targetGroup) usableTargets(maxShare float64) []instance.ID {
	g.mu.Lock()
	defer g.mu.Unlock()
	exempt := g.exemptFromEjectionLocked(maxShare)
	ids := make([]instance.ID, 0, len(g.members))
	for _, m := range g.members {
		if m.acceptsWork() && (!m.ejected || exempt[m]) {
			ids = append(ids, m.instance.ID)
		}
	}
	return ids
}
