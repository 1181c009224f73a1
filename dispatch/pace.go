package dispatch

import (
	"context"
	"time"

	"hibiscuslane.example/hibiscuslane/pace"
	"hibiscuslane.example/hibiscuslane/worker"
)

// paceWait is how long a worker may wait with the answer to a renewal while tasks that fill run beside
// tasks that serve: their share has to follow within a few seconds.
const paceWait = 400 * time.Millisecond

// shared reports whether tasks that fill run beside tasks that serve.
func (s *station) shared() bool {
	serving, filling := false, false
	for _, r := range s.runs {
		serving = serving || r.step.LatencyTarget > 0
		filling = filling || r.step.BestEffort
	}
	return serving && filling
}

// pace holds tasks that fill back as far as the tasks that serve on the worker need it.
func (d *Dispatcher) pace(s *station) {
	if !s.shared() {
		d.paceAll(s, pace.FullSpeed)
		return
	}
	worst := 0.0
	for _, r := range s.runs {
		if r.step.LatencyTarget > 0 && r.phase == phaseRunning {
			worst = max(worst, r.reading/float64(r.step.LatencyTarget.Milliseconds()))
		}
	}
	for _, r := range s.runs {
		if r.step.BestEffort && r.phase == phaseRunning {
			d.setPace(s, r, pace.NextSpeed(r.percent, worst), worst)
		}
	}
}

func (d *Dispatcher) paceAll(s *station, percent int) {
	for _, r := range s.runs {
		if r.step.BestEffort && r.phase == phaseRunning {
			d.setPace(s, r, percent, 0)
		}
	}
}

// setPace orders a share unless it is in force.
func (d *Dispatcher) setPace(s *station, r *run, percent int, ratio float64) {
	if percent == r.percent {
		return
	}
	before := r.percent
	r.percent = percent
	d.log.Info(eventPace, "task", r.id.key.String(), "worker", s.id, "from", before, "percent", percent, "ratio", ratio)
	s.order(func(ctx context.Context) {
		err := s.caller.SetSpeed(ctx, r.id.key, r.id.run, percent, worker.FencingToken(d.epoch))
		if err == nil {
			return
		}
		d.mu.Lock()
		defer d.mu.Unlock()
		r.percent = before // ordered again after the next look
		d.log.Info(eventUnpaced, "task", r.id.key.String(), "worker", s.id, "percent", percent, "error", err)
	})
}
