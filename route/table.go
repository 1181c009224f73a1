package route

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"hibiscuslane.example/hibiscuslane/event"
	"hibiscuslane.example/hibiscuslane/fleet"
	"hibiscuslane.example/hibiscuslane/instance"
	"hibiscuslane.example/hibiscuslane/pool"
	"hibiscuslane.example/hibiscuslane/timer"
	"hibiscuslane.example/hibiscuslane/upstream"
)

// EjectionLimits of ejection. Zero fields mean the default.
type EjectionLimits struct {
	// Failures is the number of consecutive failures of new connections that ejects a target; default 3.
	ConsecutiveFailures int
	// Base is the time of the first ejection; default 1 s. It doubles with each one up to Max, default
	// 1 min.
	BaseDuration time.Duration
	MaxDuration  time.Duration
	// Share is the part of a pool's targets that may be ejected at once, rounded down; default 0.5.
	MaxShare float64
}

func (l EjectionLimits) withDefaults() EjectionLimits {
	if l.ConsecutiveFailures <= 0 {
		l.ConsecutiveFailures = 3
	}
	if l.BaseDuration <= 0 {
		l.BaseDuration = time.Second
	}
	if l.MaxDuration <= 0 {
		l.MaxDuration = time.Minute
	}
	if l.MaxShare <= 0 {
		l.MaxShare = 0.5
	}
	return l
}

// Table holds the targets of all pools. The zero value is empty and usable; set the exported fields
// before the first call.
type Table struct {
	EjectionLimits EjectionLimits
	Timer          *timer.Service
	Events         event.Log

	mu sync.RWMutex
	// groups and home are replaced as a whole by Update and never changed.
	groups map[pool.Name]*group
	// home names the group of each target.
	home map[instance.ID]*group
	// least holds the lowest usable incarnation of each target that is listed or known, so that it
	// survives a move between pools. Lock order: mu before group.mu.
	least map[instance.ID]instance.Incarnation
	// listed holds the targets of the latest list.
	listed map[instance.ID]bool
}

// UpdateFleet replaces the fleet state. Instances that are not targets are ignored.
func (t *Table) UpdateFleet(instances []fleet.Instance) {
	t.mu.Lock()
	defer t.mu.Unlock()
	old := t.home
	t.groups, t.home = map[pool.Name]*group{}, make(map[instance.ID]*group, len(instances))
	for _, i := range instances {
		if i.Kind != instance.KindTarget {
			continue
		}
		g := t.groups[i.Pool]
		if g == nil {
			g = &group{name: i.Pool}
			t.groups[i.Pool] = g
		}
		g.members = append(g.members, t.memberLocked(old[i.ID], i))
		t.home[i.ID] = g
	}
	for _, g := range t.groups {
		slices.SortFunc(g.members, func(a, b *member) int { return cmp.Compare(a.instance.ID, b.instance.ID) })
	}
	t.pruneLocked()
}

// memberLocked returns a new member that keeps the health of the same incarnation.
func (t *Table) memberLocked(old *group, i fleet.Instance) *member {
	m := &member{instance: i, least: t.least[i.ID]}
	if old == nil {
		return m
	}
	old.mu.Lock()
	defer old.mu.Unlock()
	before := old.find(i.ID)
	if before != nil && before.instance.Incarnation == i.Incarnation && before.instance.Address == i.Address {
		m.failures, m.ejections = before.failures, before.ejections
		m.ejected, m.until = before.ejected, before.until
	}
	return m
}

// UpdateList takes a list of the platform. A listed leaving target takes no more work under the listed
// incarnation; a listed live target takes none under an earlier one.
func (t *Table) UpdateList(listings []upstream.Instance) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.listed = make(map[instance.ID]bool, len(listings))
	for _, l := range listings {
		if l.Kind != instance.KindTarget {
			continue
		}
		t.listed[l.ID] = true
		least := l.Incarnation
		if l.State == upstream.StateLeaving {
			least++
		}
		t.raiseLocked(l.ID, least, "list")
	}
	t.pruneLocked()
}

// RecordRefusal takes the refusal of a request that carried the incarnation.
func (t *Table) RecordRefusal(id instance.ID, incarnation instance.Incarnation, refusal upstream.Refusal) {
	if !leaving(refusal) {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.raiseLocked(id, incarnation+1, "refusal")
}

// MarkLeaving takes the report of another entry whose list shows a target as leaving.
func (t *Table) MarkLeaving(id instance.ID, incarnation instance.Incarnation) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.raiseLocked(id, incarnation+1, "peer")
}

// raiseLocked raises the lowest usable incarnation of a target. It never lowers it, because the list
// lags behind refusals and the fleet state.
func (t *Table) raiseLocked(id instance.ID, least instance.Incarnation, source string) {
	if least <= t.least[id] {
		return
	}
	if t.least == nil {
		t.least = map[instance.ID]instance.Incarnation{}
	}
	t.least[id] = least
	g := t.home[id]
	if g == nil {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	m := g.find(id)
	took := m.takesWork()
	m.least = least
	if took && !m.takesWork() {
		t.Events.Info(eventLeaving, "target", id, "pool", g.name, "incarnation", m.instance.Incarnation, "source", source)
	}
}

// pruneLocked forgets targets that neither the fleet state nor the latest list names.
func (t *Table) pruneLocked() {
	for id := range t.least {
		if t.home[id] == nil && !t.listed[id] {
			delete(t.least, id)
		}
	}
}

// UsableTargets returns the targets of a pool that get new work now, sorted by id.
func (t *Table) UsableTargets(name pool.Name) []instance.ID {
	t.mu.RLock()
	g := t.groups[name]
	t.mu.RUnlock()
	if g == nil {
		return nil
	}
	return g.usable(t.EjectionLimits.withDefaults().MaxShare)
}

// Lookup returns a target. Callers look up a target just before they send, so that a change since the
// choice of the target is seen.
func (t *Table) Lookup(id instance.ID) (Target, bool) {
	g := t.group(id)
	if g == nil {
		return Target{}, false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	m := g.find(id)
	return Target{
		ID:          id,
		Pool:        g.name,
		Address:     m.instance.Address,
		Incarnation: m.instance.Incarnation,
		Phase:       m.phase(),
		Ejected:     m.ejected,
	}, true
}

func (t *Table) group(id instance.ID) *group {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.home[id]
}
