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

// EjectionLimits configures when targets are ejected and for how long. A zero field selects its default.
type EjectionLimits struct {
	// ConsecutiveFailures is the number of consecutive failures of new connections after which a target is
	// ejected. The default is 3.
	ConsecutiveFailures int
	// BaseDuration is the duration of the first ejection, 1 s by default. It doubles with each further
	// ejection up to MaxDuration, 1 min by default.
	BaseDuration time.Duration
	MaxDuration  time.Duration
	// MaxShare is the fraction of the work-accepting targets of a pool that may be ejected at once. The
	// resulting number is rounded down. The default is 0.5.
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

// Table holds the targets of all pools and their health. It is safe for concurrent use. The zero value is
// empty and ready to use. The exported fields must be set before the first call.
type Table struct {
	EjectionLimits EjectionLimits
	Timer          *timer.Service
	Events         event.Log

	mu sync.RWMutex
	// groupByPool and groupByTarget are replaced as a whole by UpdateFleet and never modified otherwise.
	groupByPool   map[pool.Name]*targetGroup
	groupByTarget map[instance.ID]*targetGroup
	// minIncarnations holds the lowest usable incarnation of each target in the list or the fleet state. It
	// is kept here so that it survives a move between pools. Lock order: mu before targetGroup.mu.
	minIncarnations map[instance.ID]instance.Incarnation
	// listed holds the targets in the latest list of the platform.
	listed map[instance.ID]bool
}

// UpdateFleet replaces the fleet state. It ignores instances that are not targets. The health of a target
// is kept while its incarnation and address stay the same.
func (t *Table) UpdateFleet(instances []fleet.Instance) {
	t.mu.Lock()
	defer t.mu.Unlock()
	previousGroups := t.groupByTarget
	t.groupByPool, t.groupByTarget = map[pool.Name]*targetGroup{}, make(map[instance.ID]*targetGroup, len(instances))
	for _, i := range instances {
		if i.Kind != instance.KindTarget {
			continue
		}
		g := t.groupByPool[i.Pool]
		if g == nil {
			g = &targetGroup{pool: i.Pool}
			t.groupByPool[i.Pool] = g
		}
		g.members = append(g.members, t.newMemberLocked(previousGroups[i.ID], i))
		t.groupByTarget[i.ID] = g
	}
	for _, g := range t.groupByPool {
		slices.SortFunc(g.members, func(a, b *member) int { return cmp.Compare(a.instance.ID, b.instance.ID) })
	}
	t.pruneUnknownLocked()
}

// newMemberLocked returns a new member. It copies the health from the previous group if incarnation and
// address of the target are unchanged.
func (t *Table) newMemberLocked(previousGroup *targetGroup, i fleet.Instance) *member {
	m := &member{instance: i, minIncarnation: t.minIncarnations[i.ID]}
	if previousGroup == nil {
		return m
	}
	previousGroup.mu.Lock()
	defer previousGroup.mu.Unlock()
	previous := previousGroup.find(i.ID)
	if previous != nil && previous.instance.Incarnation == i.Incarnation && previous.instance.Address == i.Address {
		m.consecutiveFailures, m.ejections = previous.consecutiveFailures, previous.ejections
		m.ejected, m.nextProbe = previous.ejected, previous.nextProbe
	}
	return m
}

// UpdateList processes a list of the platform. A target listed as leaving receives no more work under the
// listed incarnation. A target listed as live receives none under an earlier incarnation.
func (t *Table) UpdateList(list []upstream.Instance) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.listed = make(map[instance.ID]bool, len(list))
	for _, listedInstance := range list {
		if listedInstance.Kind != instance.KindTarget {
			continue
		}
		t.listed[listedInstance.ID] = true
		minIncarnation := listedInstance.Incarnation
		if listedInstance.State == upstream.StateLeaving {
			minIncarnation++
		}
		t.raiseMinIncarnationLocked(listedInstance.ID, minIncarnation, "list")
	}
	t.pruneUnknownLocked()
}

// RecordRefusal processes the refusal of a request that named the incarnation. If the refusal shows that
// the target is leaving, the target receives no more work under this incarnation.
func (t *Table) RecordRefusal(id instance.ID, incarnation instance.Incarnation, refusal upstream.Refusal) {
	if !isLeavingRefusal(refusal) {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.raiseMinIncarnationLocked(id, incarnation+1, "refusal")
}

// MarkLeaving processes the notice of another entry that the list shows a target as leaving.
func (t *Table) MarkLeaving(id instance.ID, incarnation instance.Incarnation) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.raiseMinIncarnationLocked(id, incarnation+1, "peer")
}

// raiseMinIncarnationLocked raises the lowest usable incarnation of a target. It never lowers it, because
// the list lags behind refusals and the fleet state.
func (t *Table) raiseMinIncarnationLocked(id instance.ID, minIncarnation instance.Incarnation, source string) {
	if minIncarnation <= t.minIncarnations[id] {
		return
	}
	if t.minIncarnations == nil {
		t.minIncarnations = map[instance.ID]instance.Incarnation{}
	}
	t.minIncarnations[id] = minIncarnation
	g := t.groupByTarget[id]
	if g == nil {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	m := g.find(id)
	accepted := m.acceptsWork()
	m.minIncarnation = minIncarnation
	if accepted && !m.acceptsWork() {
		t.Events.Info(eventLeaving, "target", id, "pool", g.pool, "incarnation", m.instance.Incarnation, "source", source)
	}
}

// pruneUnknownLocked deletes the minimum incarnations of targets that are neither in the fleet state nor in
// the latest list.
func (t *Table) pruneUnknownLocked() {
	for id := range t.minIncarnations {
		if t.groupByTarget[id] == nil && !t.listed[id] {
			delete(t.minIncarnations, id)
		}
	}
}

// UsableTargets returns the ids of the targets of a pool that receive new work, sorted by id.
func (t *Table) UsableTargets(name pool.Name) []instance.ID {
	t.mu.RLock()
	g := t.groupByPool[name]
	t.mu.RUnlock()
	if g == nil {
		return nil
	}
	return g.usableTargets(t.EjectionLimits.withDefaults().MaxShare)
}

// Lookup returns the current state of a target. Callers use it immediately before they send a request, so
// that they notice changes made since the target was chosen.
func (t *Table) Lookup(id instance.ID) (Target, bool) {
	g := t.findGroup(id)
	if g == nil {
		return Target{}, false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	m := g.find(id)
	return Target{
		ID:          id,
		Pool:        g.pool,
		Address:     m.instance.Address,
		Incarnation: m.instance.Incarnation,
		Phase:       m.phase(),
		Ejected:     m.ejected,
	}, true
}

func (t *Table) findGroup(id instance.ID) *targetGroup {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return t.groupByTarget[id]
}
