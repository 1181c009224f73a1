package dispatch

import (
	"time"

	"hibiscuslane.example/hibiscuslane/worker"
)

// lateStartTime is how long after a start was not answered it may still take effect. The deadline in the order limits that
// only on the incarnation for which it was meant.
const lateStartTime = 10 * time.Second

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
