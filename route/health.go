package route

import (
	"context"
	"sync"
	"time"

	"hibiscuslane.example/hibiscuslane/instance"
)

const (
	// probePeriod is the resolution of ejection times.
	probePeriod = 250 * time.Millisecond
	// probesAtOnce bounds the probes in flight; the others wait for the next period.
	probesAtOnce = 16
)

// Prober opens a new connection to a target and closes it.
type Prober interface {
	Probe(ctx context.Context, address instance.Address) error
}

// RecordResult takes the result of a try that carried the incarnation. Results of other incarnations are
// ignored.
func (t *Table) RecordResult(id instance.ID, incarnation instance.Incarnation, result Result) {
	g := t.group(id)
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
		m.reset()
		return
	}
	t.failedLocked(g, m)
}

func (t *Table) failedLocked(g *group, m *member) {
	limits := t.EjectionLimits.withDefaults()
	m.failures++
	if m.ejected || m.failures < limits.ConsecutiveFailures || !m.takesWork() {
		return
	}
	if !g.roomLocked(limits.MaxShare) {
		if m.failures == limits.ConsecutiveFailures {
			t.Events.Warn(eventSpared, "target", m.instance.ID, "pool", g.name, "failures", m.failures)
		}
		return
	}
	t.ejectLocked(g, m)
}

// ejectLocked ejects a member, or prolongs its ejection after a failed probe.
func (t *Table) ejectLocked(g *group, m *member) {
	limits := t.EjectionLimits.withDefaults()
	d := limits.BaseDuration
	for i := 0; i < m.ejections && d < limits.MaxDuration; i++ {
		d *= 2
	}
	d = min(d, limits.MaxDuration)
	m.ejections++
	m.ejected = true
	m.until = t.Timer.Now().Add(d)
	t.Events.Warn(eventEjected, "target", m.instance.ID, "pool", g.name, "failures", m.failures, "time_ms", d.Milliseconds())
}

// restoreLocked ends an ejection. One further failure ejects again, for twice the time, until a
// response arrives.
func (t *Table) restoreLocked(g *group, m *member) {
	if !m.ejected {
		return
	}
	m.ejected = false
	m.failures = t.EjectionLimits.withDefaults().ConsecutiveFailures - 1
	t.Events.Info(eventRestored, "target", m.instance.ID, "pool", g.name, "ejections", m.ejections)
}

// Run probes ejected targets until ctx ends.
func (t *Table) Run(ctx context.Context, prober Prober) error {
	tick := t.Timer.Every(probePeriod)
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

// probe is a probe of one incarnation of a target.
type probe struct {
	id          instance.ID
	incarnation instance.Incarnation
	address     instance.Address
}

// ProbeEjected probes the ejected targets whose time is over, at most probesAtOnce of them, and waits for the
// results.
func (t *Table) ProbeEjected(ctx context.Context, prober Prober) {
	var group sync.WaitGroup
	for _, p := range t.due() {
		group.Go(func() {
			err := prober.Probe(ctx, p.address)
			if ctx.Err() == nil {
				t.probed(p, err == nil)
			}
		})
	}
	group.Wait()
}

func (t *Table) due() []probe {
	now := t.Timer.Now()
	t.mu.RLock()
	defer t.mu.RUnlock()
	var due []probe
	for _, g := range t.groups {
		due = g.appendDue(due, now)
	}
	return due
}

func (g *group) appendDue(due []probe, now time.Time) []probe {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, m := range g.members {
		if len(due) < probesAtOnce && m.ejected && m.takesWork() && !now.Before(m.until) {
			due = append(due, probe{id: m.instance.ID, incarnation: m.instance.Incarnation, address: m.instance.Address})
		}
	}
	return due
}

func (t *Table) probed(p probe, ok bool) {
	g := t.group(p.id)
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
