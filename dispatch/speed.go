package dispatch

import (
	"time"

	"hibiscuslane.example/hibiscuslane/pace"
)

// maxReportDelayMixed replaces maxReportDelay while best-effort tasks run beside latency-sensitive ones,
// because the speed of the best-effort tasks has to follow within a few seconds.
const maxReportDelayMixed = 400 * time.Millisecond

// hasMixedTasks reports whether best-effort tasks run beside latency-sensitive ones on the worker.
func (s *workerState) hasMixedTasks() bool {
	return s.latencySensitiveRuns > 0 && s.bestEffortRuns > 0
}

// adjustSpeeds slows best-effort tasks down as far as the latency-sensitive tasks on the worker require it, and
// speeds them up again otherwise.
func (d *Dispatcher) adjustSpeeds(s *workerState) {
	if !s.hasMixedTasks() {
		d.setAllSpeeds(s, pace.FullSpeed)
		return
	}
	worstRatio := 0.0
	for _, r := range s.runs {
		if r.step.LatencyTarget > 0 && r.phase == phaseRunning {
			worstRatio = max(worstRatio, r.lastMeasurement/float64(r.step.LatencyTarget.Milliseconds()))
		}
	}
	worstRatio = d.expectedRatio(s, worstRatio, d.clock.Now())
	for _, r := range s.runs {
		if r.step.BestEffort && r.phase == phaseRunning {
			d.setSpeed(s, r, pace.NextSpeed(r.speedPercent, worstRatio), worstRatio)
		}
	}
}

// setAllSpeeds orders the same speed for all best-effort tasks on a worker.
func (d *Dispatcher) setAllSpeeds(s *workerState, percent int) {
	if s.bestEffortRuns == 0 {
		return
	}
	for _, r := range s.runs {
		if r.step.BestEffort && r.phase == phaseRunning {
			d.setSpeed(s, r, percent, 0)
		}
	}
}

// setSpeed orders a share of full speed for a best-effort task unless it is the share that was last ordered, or that order has
// no result yet. The latency ratio is only logged.
func (d *Dispatcher) setSpeed(s *workerState, r *run, percent int, ratio float64) {
	if percent == r.speedPercent || r.speedPending {
		return
	}
	previous := r.speedPercent
	r.speedPercent, r.speedPending = percent, true
	r.wasSlowed = r.wasSlowed || percent < pace.FullSpeed
	d.log.Info(eventSpeedChanged, "task", r.id.key.String(), "worker", s.id, "from", previous, "percent", percent, "ratio", ratio)
	d.orderSpeed(s, r.id, percent, func(err error) {
		d.mu.Lock()
		defer d.mu.Unlock()
		r.speedPending = false
		if err == nil {
			return
		}
		r.speedPercent = previous // the next report triggers another order
		d.log.Info(eventSpeedFailed, "task", r.id.key.String(), "worker", s.id, "percent", percent, "error", err)
	})
}
