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

// group is the shard of one pool.
type group struct {
	name pool.Name

	mu sync.Mutex
	// members is sorted by id.
	members []*member
}

// member is a target of a pool. Its fields are guarded by group.mu.
type member struct {
	instance fleet.Instance
	// least is the lowest incarnation that may take work, as known from the platform's list and from
	// refusals. It never decreases.
	least instance.Incarnation
	// failures counts consecutive failures of new connections.
	failures int
	// ejections counts the ejections since the last response; each doubles the time.
	ejections int
	ejected   bool
	// until is the time of the next probe; it is meaningful while ejected.
	until time.Time
}

// takesWork reports whether the target belongs to the pool and does not leave.
func (m *member) takesWork() bool {
	return m.instance.Phase == instance.PhaseActive && m.instance.Incarnation >= m.least
}

func (m *member) phase() instance.Phase {
	if m.instance.Phase == instance.PhaseActive && !m.takesWork() {
		return instance.PhaseDraining
	}
	return m.instance.Phase
}

// reset forgets the health of an earlier incarnation.
func (m *member) reset() {
	m.failures, m.ejections = 0, 0
	m.ejected = false
}

func (g *group) find(id instance.ID) *member {
	i, ok := slices.BinarySearchFunc(g.members, id, func(m *member, id instance.ID) int {
		return cmp.Compare(m.instance.ID, id)
	})
	if !ok {
		return nil
	}
	return g.members[i]
}

// sparedLocked returns the ejected members that take work all the same, because more are ejected than
// the share allows. The number of members that take work may have shrunk after the ejection. Those
// that are due first for a probe are spared.
func (g *group) sparedLocked(share float64) map[*member]bool {
	var ejected []*member
	candidates := 0
	for _, m := range g.members {
		if !m.takesWork() {
			continue
		}
		candidates++
		if m.ejected {
			ejected = append(ejected, m)
		}
	}
	excess := len(ejected) - allowed(candidates, share)
	if excess <= 0 {
		return nil
	}
	slices.SortStableFunc(ejected, func(a, b *member) int { return a.until.Compare(b.until) })
	spared := make(map[*member]bool, excess)
	for _, m := range ejected[:excess] {
		spared[m] = true
	}
	return spared
}

// roomLocked reports whether the share allows one more ejection.
func (g *group) roomLocked(share float64) bool {
	candidates, ejected := 0, 0
	for _, m := range g.members {
		if !m.takesWork() {
			continue
		}
		candidates++
		if m.ejected {
			ejected++
		}
	}
	return ejected < allowed(candidates, share)
}

func allowed(candidates int, share float64) int {
	return int(share * float64(candidates))
}

// usable returns the members that get new work, in the order of their ids.
func (g *group) usable(share float64) []instance.ID {
	g.mu.Lock()
	defer g.mu.Unlock()
	spared := g.sparedLocked(share)
	ids := make([]instance.ID, 0, len(g.members))
	for _, m := range g.members {
		if m.takesWork() && (!m.ejected || spared[m]) {
			ids = append(ids, m.instance.ID)
		}
	}
	return ids
}
