package process

import (
	"hibiscuslane.example/hibiscuslane/intake"
	"hibiscuslane.example/hibiscuslane/metric"
)

// listeners holds the guards of the listeners of a process, and the budgets for what it holds for clients.
type listeners struct {
	callers, readiness, peers, metrics *intake.Guard
	bodies, forwarded                  *intake.Budget
}

// newListeners returns guards and budgets for the memory and descriptors in the settings.
func (p *Process) newListeners() listeners {
	s := p.currentSettings()
	plan := intake.NewPlan(s.MemoryBytes, s.MaxDescriptors)
	bodies := intake.NewBudget(plan.BodyBytes)
	return listeners{
		callers:   &intake.Guard{Name: "callers", MaxConns: plan.CallerConns, Limits: p.callerLimits, Bodies: bodies, Log: p.log},
		readiness: &intake.Guard{Name: "readiness", MaxConns: plan.ReadinessConns, Log: p.log},
		peers:     &intake.Guard{Name: "peers", MaxConns: plan.PeerConns, Log: p.log},
		metrics:   &intake.Guard{Name: "metrics", MaxConns: plan.MetricsConns, Log: p.log},
		bodies:    bodies,
		forwarded: intake.NewBudget(plan.ForwardedBytes),
	}
}

// callerLimits returns the limits of callers' connections in the configuration in force.
func (p *Process) callerLimits() intake.Limits {
	config := p.follower.Config()
	if config == nil {
		return intake.Limits{}
	}
	return intake.Limits{HeaderTimeout: config.HeaderTimeout, IdleTimeout: config.IdleTimeout, HeaderBytes: config.MaxHeaderBytes}
}

// all returns the guards.
func (l listeners) all() []*intake.Guard {
	return []*intake.Guard{l.callers, l.readiness, l.peers, l.metrics}
}

// readConns returns the number of open connections of each listener.
func (l listeners) readConns() []metric.Sample {
	var samples []metric.Sample
	for _, g := range l.all() {
		samples = append(samples, metric.Sample{Label: "listener", LabelValue: g.Name, Value: float64(g.Conns())})
	}
	return samples
}

// readClosed returns the number of connections that the guards have closed, by reason.
func (l listeners) readClosed() []metric.Sample {
	counts := map[intake.Reason]int64{}
	for _, g := range l.all() {
		for reason, count := range g.Closed() {
			counts[reason] += count
		}
	}
	var samples []metric.Sample
	for reason, count := range counts {
		samples = append(samples, metric.Sample{Label: "reason", LabelValue: string(reason), Value: float64(count)})
	}
	return samples
}

// readHeld returns the bytes of bodies that the process holds.
func (l listeners) readHeld() []metric.Sample {
	return []metric.Sample{{Label: "from", LabelValue: "callers", Value: float64(l.bodies.Held())}, {Label: "from", LabelValue: "peers", Value: float64(l.forwarded.Held())}}
}

// readRefusals returns the number of requests that found no room.
func (l listeners) readRefusals() []metric.Sample {
	return []metric.Sample{{Label: "from", LabelValue: "callers", Value: float64(l.bodies.Refusals())}, {Label: "from", LabelValue: "peers", Value: float64(l.forwarded.Refusals())}}
}
