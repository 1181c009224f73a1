package route

import (
	"context"
	"sync"
	"time"

	"hibiscuslane.example/hibiscuslane/instance"
)

const (
	// probeInterval is the time between two checks for due probes, and so the resolution of ejection
	// times.
	probeInterval = 250 * time.Millisecond
	// maxConcurrentProbes limits the number of concurrent probes. Further ones wait for the next check.
	maxConcurrentProbes = 16
)

// Prober opens a new connection to a target and closes it.
type Prober interface {
	Probe(ctx context.Context, address instance.Address) error
}

// RecordResult updates the health of a target from the result of a request attempt that named the
// incarnation. It ignores neutral results, and results of other incarnations than the current one.
func (t *Table) RecordResult(id instance.ID, incarnation instance.Incarnation, result Result) {
	g := t.findGroup(id)
	if g == nil || result == ResultNeutral {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	m := g.find(id)
	if m.instance.Incarnation != incarnation {
		return
	}
	if result == ResultAnswered {
		t.restoreLocked(g, m)
		m.resetHealth()
		return
	}
	t.recordFailureLocked(g, m)
}

// recordFailureLocked counts a failed connection and ejects the member if it reaches the failure limit and
// the maximum share of ejected members is not reached.
func (t *Table) recordFailureLocked(g *targetGroup, m *member) {
	limits := t.EjectionLimits.withDefaults()
	m.consecutiveFailures++
	if m.ejected || m.consecutiveFailures < limits.ConsecutiveFailures || !m.acceptsWork() {
		return
	}
	if !g.canEjectLocked(limits.MaxShare) {
		if m.consecutiveFailures == limits.ConsecutiveFailures {
			t.Events.Warn(eventNotEjected, "target", m.instance.ID, "pool", g.pool, "failures", m.consecutiveFailures)
		}
		return
	}
	t.ejectLocked(g, m)
}

// ejectLocked ejects a member, or extends its ejection after a failed probe.
func (t *Table) ejectLocked(g *targetGroup, m *member) {
	limits := t.EjectionLimits.withDefaults()
	duration := limits.BaseDuration
	for i := 0; i < m.ejections && duration < limits.MaxDuration; i++ {
		duration *= 2
	}
	duration = min(duration, limits.MaxDuration)
	m.ejections++
	m.ejected = true
	m.nextProbe = t.Timer.Now().Add(duration)
	t.Events.Warn(eventEjected, "target", m.instance.ID, "pool", g.pool, "failures", m.consecutiveFailures, "time_ms", duration.Milliseconds())
}

// restoreLocked ends an ejection. Until a response arrives, a single failure ejects the member again, for
// twice the time.
func (t *Table) restoreLocked(g *targetGroup, m *member) {
	if !m.ejected {
		return
	}
	m.ejected = false
	m.consecutiveFailures = t.EjectionLimits.withDefaults().ConsecutiveFailures - 1
	t.Events.Info(eventRestored, "target", m.instance.ID, "pool", g.pool, "ejections", m.ejections)
}

// Run probes ejected targets when their ejection time has passed, until ctx ends.
func (t *Table) Run(ctx context.Context, prober Prober) error {
	tick := t.Timer.Every(probeInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C():
			t.ProbeEjected(ctx, prober)
		}
	}
}

// probe identifies a target to probe and the incarnation that the result applies to.
type probe struct {
	id          instance.ID
	incarnation instance.Incarnation
	address     instance.Address
}

// ProbeEjected probes the ejected targets whose ejection time has passed, at most maxConcurrentProbes of
// them, and waits for the results.
func (t *Table) ProbeEjected(ctx context.Context, prober Prober) {
	var wg sync.WaitGroup
	for _, p := range t.dueProbes() {
		wg.Go(func() {
			err := prober.Probe(ctx, p.address)
			if ctx.Err() == nil {
				t.recordProbe(p, err == nil)
			}
		})
	}
	wg.Wait()
}

func (t *Table) dueProbes() []probe {
	now := t.Timer.Now()
	t.mu.RLock()
	defer t.mu.RUnlock()
	var due []probe
	for _, g := range t.groupByPool {
		due = g.appendDueProbes(due, now)
	}
	return due
}

// appendDueProbes appends a probe for each ejected member whose ejection time has passed, up to
// maxConcurrentProbes in total.
func (g *targetGroup) appendDueProbes(due []probe, now time.Time) []probe {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, m := range g.members {
		if len(due) < maxConcurrentProbes && m.ejected && m.acceptsWork() && !now.Before(m.nextProbe) {
			due = append(due, probe{id: m.instance.ID, incarnation: m.instance.Incarnation, address: m.instance.Address})
		}
	}
	return due
}

// recordProbe restores the target after a successful probe and extends its ejection after a failed one.
// It ignores the result if the target is no longer ejected or runs under another incarnation.
func (t *Table) recordProbe(p probe, ok bool) {
	g := t.findGroup(p.id)
	if g == nil {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	m := g.find(p.id)
	if m.instance.Incarnation != p.incarnation || !m.ejected {
		return
	}
	if ok {
		t.restoreLocked(g, m)
		return
	}
	t.ejectLocked(g, m)
}
