package dispatch

import (
	"maps"
	"time"

	"hibiscuslane.example/hibiscuslane/worker"
)

// lateStartTime is how long after a start was not answered it may still take effect. The deadline in the order limits that
// only on the incarnation for which it was meant.
const lateStartTime = 15 * time.Second

// lateStart is the start of a run that was not answered and may still take effect.
type lateStart struct {
	// until is when it no longer may.
	until time.Time
	// incarnation is that for which the order was meant, or a later one that has confirmed a stop of the run.
	incarnation worker.Incarnation
	stop        stopState
	// held is the run, which counts for its team; nil once the worker has shown that the start took effect.
	held *run
}

// watchForLateStart makes the owner ask a worker for its runs, also if it has none, as long as the start of a run may take effect
// there, and stop the run on each incarnation later than the given one. The start was sent before the given time.
func (d *Dispatcher) watchForLateStart(r *run, s *workerState, incarnation worker.Incarnation, sentBefore time.Time) {
	if d.lateStarts == nil {
		d.lateStarts = map[worker.ID]map[runID]*lateStart{}
	}
	if d.lateStarts[s.id] == nil {
		d.lateStarts[s.id] = map[runID]*lateStart{}
	}
	if earlier := d.lateStarts[s.id][r.id]; earlier != nil {
		earlier.release(d)
	}
	late := &lateStart{until: sentBefore.Add(lateStartTime), incarnation: incarnation}
	if r.startConfirmedAt.IsZero() {
		d.holdRun(r)
		late.held = r
	}
	d.lateStarts[s.id][r.id] = late
	s.requestRenewal()
}

// stopLateStarts stops the runs whose starts may take effect on a later incarnation of the worker, which has forgotten earlier
// stops, and rejects a start after a stop. A run that the owner still tracks may be at work there.
func (d *Dispatcher) stopLateStarts(s *workerState, now time.Time) {
	for id, late := range d.lateStarts[s.id] {
		if late.incarnation == s.incarnation || d.runs[id] != nil || !late.stop.isDue(now) {
			continue
		}
		d.orderStop(s, id, &late.stop, func(incarnation worker.Incarnation, err error) {
			if err != nil {
				d.log.Info(eventStopFailed, "task", id.key.String(), "run", id.number, "worker", s.id, "error", err)
				return
			}
			late.incarnation = incarnation
		})
	}
}

// checkLateStarts forgets the starts that can no longer take effect, and repeats the stops of the others where necessary.
func (d *Dispatcher) checkLateStarts(now time.Time) {
	for id, starts := range d.lateStarts {
		maps.DeleteFunc(starts, func(_ runID, late *lateStart) bool {
			if !now.After(late.until) {
				return false
			}
			late.release(d)
			return true
		})
		if len(starts) == 0 {
			delete(d.lateStarts, id)
		}
		if s := d.workers[id]; s != nil {
			d.stopLateStarts(s, now)
		}
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
