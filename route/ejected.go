package route

import (
	"slices"

	"hibiscuslane.example/hibiscuslane/instance"
)

// EjectedTargets returns the targets that health keeps new work away from, sorted by id.
func (t *Table) EjectedTargets() []instance.ID {
	t.mu.RLock()
	groups := make([]*group, 0, len(t.groups))
	for _, g := range t.groups {
		groups = append(groups, g)
	}
	t.mu.RUnlock()
	var ejected []instance.ID
	for _, g := range groups {
		ejected = append(ejected, g.ejected()...)
	}
	slices.Sort(ejected)
	return ejected
}

func (g *group) ejected() []instance.ID {
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
