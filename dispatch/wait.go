package dispatch

import (
	"time"

	"hibiscuslane.example/hibiscuslane/pool"
	"hibiscuslane.example/hibiscuslane/schedule"
	"hibiscuslane.example/hibiscuslane/task"
)

const (
	// longWaitTime is how long a long-running task waits before the reasons are logged, and longWaitLogInterval is the
	// minimum time between two checks. Each check logs at most maxLongWaitLogs steps.
	longWaitTime        = 2 * time.Second
	longWaitLogInterval = time.Second
	maxLongWaitLogs     = 4
)

// logLongWaits logs the long-running steps with a task that has waited for longer than longWaitTime, together with the
// number of workers in their pool that could not take it, by obstacle. It is called after the plan, whose workers are given.
func (d *Dispatcher) logLongWaits(pending map[pool.Name][]*schedule.PendingStep, workers map[pool.Name][]*schedule.Worker, teams schedule.Teams, now time.Time) {
	if now.Sub(d.longWaitsLoggedAt) < longWaitLogInterval {
		return
	}
	d.longWaitsLoggedAt = now
	logged := 0
	for name, steps := range pending {
		for _, p := range steps {
			index, since := d.longestWait(p)
			if index < 0 || now.Sub(since) < longWaitTime || logged == maxLongWaitLogs {
				continue
			}
			logged++
			obstacles := map[schedule.Obstacle]int{}
			isTeamAtMaximum := teams[p.Team].Startable(p) == 0
			for _, w := range workers[name] {
				if isTeamAtMaximum {
					obstacles[schedule.ObstacleTeam]++
				} else {
					obstacles[schedule.FindObstacle(p, index, w)]++
				}
			}
			key := task.Key{Job: p.Job, Occurrence: p.Occurrence, Step: p.Step, Task: index}
			d.log.Info(eventTaskWaits, "task", key.String(), "waited", now.Sub(since), "pool", name, "needs", p.Spec.Reservation(), "available", len(workers[name]), "in_pool", d.countWorkers(name), "obstacles", obstacles)
		}
	}
}

// longestWait returns the waiting task of a long-running step that has waited for the longest time, and since when. The
// index is negative if the step has none.
func (d *Dispatcher) longestWait(p *schedule.PendingStep) (index int, since time.Time) {
	index = -1
	if !p.Spec.LongRunning {
		return index, since
	}
	for _, i := range p.Tasks {
		if waitingSince, ok := d.waitingSince(p, i); ok && (index < 0 || waitingSince.Before(since)) {
			index, since = i, waitingSince
		}
	}
	return index, since
}

// countWorkers returns the number of known workers in a pool, including those that take no tasks.
func (d *Dispatcher) countWorkers(name pool.Name) int {
	count := 0
	for _, s := range d.workers {
		if s.registration.Pool == name {
			count++
		}
	}
	return count
}
