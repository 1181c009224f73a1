package dispatch

import (
	"time"

	"hibiscuslane.example/hibiscuslane/worker"
)

// lateStartTime is how long after a start was not answered it may still take effect. The deadline in the order limits that
// only on the incarnation for which it was meant.
const lateStartTime = 15 * time.Second

// watchForLateStart makes the owner ask a worker for its runs, also if it has none, as long as a start may take effect
// there. After a restart the worker has forgotten the stop of the run.
func (d *Dispatcher) watchForLateStart(id worker.ID, now time.Time) {
	if d.lateStarts == nil {
		d.lateStarts = map[worker.ID]time.Time{}
	}
	d.lateStarts[id] = now.Add(lateStartTime)
	if s := d.workers[id]; s != nil {
		s.requestRenewal()
	}
}

// stopOrphanedRuns stops the runs on a worker that the owner does not know. A stop is repeated while the run is listed.
func (d *Dispatcher) stopOrphanedRuns(s *workerState, now time.Time) {
	for id, stop := range s.orphanedRuns {
		if !stop.isDue(now) {
			continue
		}
		d.log.Info(eventOrphanedRun, "worker", s.id, "task", id.key.String(), "run", id.number)
		d.orderStop(s, id, stop, func(_ worker.Incarnation, err error) {
			if err != nil {
				d.log.Debug(eventStopFailed, "worker", s.id, "task", id.key.String(), "run", id.number, "error", err)
			}
		})
	}
}

// hasRunOfOpenJob reports whether a job of one of the runs on the worker has not ended.
func (s *workerState) hasRunOfOpenJob() bool {
	for _, r := range s.runs {
		if r.job.Outcome == "" {
			return true
		}
	}
	return false
}
