package entry

import (
	"math"

	"golang.org/x/sync/semaphore"
	"golang.org/x/sys/unix"

	"hibiscuslane.example/hibiscuslane/event"
	"hibiscuslane.example/hibiscuslane/intake"
	"hibiscuslane.example/hibiscuslane/metric"
)

// guards bounds what the clients of an entry make it hold.
type guards struct {
	plan                  intake.EntryPlan
	callers, peers, admin *intake.Guard
}

// newGuards returns the guards for a process with the given memory.
func newGuards(memoryBytes int64, log event.Log) guards {
	plan := intake.NewEntryPlan(memoryBytes, descriptorLimit())
	// One byte more shows the excess of a body.
	return guards{
		plan:    plan,
		callers: &intake.Guard{Name: "callers", MaxConns: plan.CallerConns, Limits: callerLimits, Bodies: intake.NewBudget(plan.CallerBytes), Responses: semaphore.NewWeighted(plan.ResponseBytes), Log: log},
		peers:   &intake.Guard{Name: "peers", MaxConns: plan.PeerConns, Limits: callerLimits, Requests: intake.NewBudget(plan.PeerBytes), Log: log},
		admin:   &intake.Guard{Name: "admin", MaxConns: plan.AdminConns, Limits: callerLimits, Bodies: intake.NewBudget(plan.PublishBytes + 1), Log: log},
	}
}

// callerLimits returns the limits of connections.
func callerLimits() intake.Limits {
	return intake.Limits{HeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout}
}

// descriptorLimit returns the number of descriptors that the process may have open; zero if it is not known.
func descriptorLimit() int {
	var limit unix.Rlimit
	if unix.Getrlimit(unix.RLIMIT_NOFILE, &limit) != nil || limit.Cur > math.MaxInt32 {
		return 0
	}
	return int(limit.Cur)
}

// readConns returns the number of open connections of each listener.
func (g guards) readConns() []metric.Sample {
	var samples []metric.Sample
	for _, guard := range []*intake.Guard{g.callers, g.peers, g.admin} {
		samples = append(samples, metric.Sample{Label: "listener", LabelValue: guard.Name, Value: float64(guard.Conns())})
	}
	return samples
}

// budgets returns the budgets by the listener whose clients they bound.
func (g guards) budgets() map[string]*intake.Budget {
	return map[string]*intake.Budget{g.callers.Name: g.callers.Bodies, g.peers.Name: g.peers.Requests, g.admin.Name: g.admin.Bodies}
}

// readHeld returns the bytes that the process holds for its clients.
func (g guards) readHeld() []metric.Sample {
	var samples []metric.Sample
	for name, budget := range g.budgets() {
		samples = append(samples, metric.Sample{Label: "from", LabelValue: name, Value: float64(budget.Held())})
	}
	return samples
}

// readRefusals returns the number of requests that found no room.
func (g guards) readRefusals() []metric.Sample {
	var samples []metric.Sample
	for name, budget := range g.budgets() {
		samples = append(samples, metric.Sample{Label: "from", LabelValue: name, Value: float64(budget.Refusals())})
	}
	return samples
}
