package route

import (
	"slices"

	"hibiscuslane.example/hibiscuslane/instance"
)

// EjectedTargets returns the ids of the targets that are ejected because new connections to them fail,
// sorted by id.
func (t *Table) EjectedTargets() []instance.ID {
	t.mu.RLock()
	groups := make([]*targetGroup, 0, len(t.groupByPool))
	for _, g := range t.groupByPool {
		groups = append(groups, g)
	}
	t.mu.RUnlock()
	var ejected []instance.ID
	for _, g := range groups {
		ejected = append(ejected, g.ejectedTargets()...)
	}
	slices.Sort(ejected)
	return ejected
}

func (g *targetGroup) ejectedTargets() []instance.ID {
	g.mu.Lock()
	defer g.mu.Unlock()
	var ids []instance.ID
	for _, m := range g.members {
		if m.ejected {
			ids = append(ids, m.instance.ID)
		}
	}
	return ids
}
