package dispatch

import (
	"slices"
	"strconv"
	"time"

	"hibiscuslane.example/hibiscuslane/interference"
)

const (
	// interferenceRefresh is the time between two readings of the pairs that disturb each other.
	interferenceRefresh = 500 * time.Millisecond
	// settleTime is how long a run must have been at work for its measurements to count, and those of others beside it. Workers
	// measure over half a second.
	settleTime = 600 * time.Millisecond
)

// interferenceState is what this term has learned about tasks that slow each other down. A later owner begins with nothing: it
// learns the same in some seconds, and until then tasks are placed as they are without it.
type interferenceState struct {
	isEnabled bool
	table     interference.Table
	// pairs and costs were read from the table at refreshedAt.
	pairs       []interference.Pair
	costs       interference.Costs
	refreshedAt time.Time
	// avoided is the number of tasks for which another worker was chosen because of a pair.
	avoided int64
}

// kindOf returns the kind of the tasks of a step, and nothing while interference is not learned.
func (state *interferenceState) kindOf(j *job, step int) interference.Kind {
	if !state.isEnabled {
		return ""
	}
	return kindOf(j, step)
}

// kindOf returns the kind of the tasks of a step.
func kindOf(j *job, step int) interference.Kind {
	if image := j.Spec.Steps[step].Image; image != "" {
		return interference.ImageKind(image)
	}
	return interference.Kind(j.Queue + "/" + strconv.Itoa(step))
}

func (r *run) kind() interference.Kind { return kindOf(r.job, r.id.key.Step) }

// countKinds returns the number of tasks of each kind on the worker.
func (s *workerState) countKinds() map[interference.Kind]int {
	kinds := make(map[interference.Kind]int, len(s.runs))
	for _, r := range s.runs {
		kinds[r.kind()]++
	}
	return kinds
}

// learnFromReport learns from the tail latency of a long-running task that serves requests.
func (d *Dispatcher) learnFromReport(r *run, now time.Time) {
	target := r.step.LatencyTarget
	if target <= 0 || r.lastMeasurement <= 0 || r.fullSpeedSince.IsZero() || now.Sub(r.fullSpeedSince) < settleTime {
		return
	}
	d.learn(r, r.lastMeasurement/float64(target.Milliseconds()), now.Add(-settleTime), now)
}

// learnFromEnd learns from the duration of a task that is done. What is expected is the mean of the tasks of the same step that
// have ended before: an estimate may be wrong by a factor that all tasks of a job share, which would pass for the effect of
// whatever runs beside that job.
func (d *Dispatcher) learnFromEnd(r *run, now time.Time) {
	if !d.interference.isEnabled || r.step.LongRunning || r.step.Gang || !d.hasOwnDuration(r) || !isComparable(r.worker, now) {
		return
	}
	took := now.Sub(r.startConfirmedAt)
	id := stepID{occurrence: r.id.key.Occurrence, step: r.id.key.Step}
	earlier := r.job.durations[id]
	if r.job.durations == nil {
		r.job.durations = map[stepID]durationSum{}
	}
	r.job.durations[id] = durationSum{total: earlier.total + took, count: earlier.count + 1}
	if earlier.count < minSiblings {
		return
	}
	expected := earlier.total / time.Duration(earlier.count)
	d.learn(r, took.Seconds()/max(expected, time.Millisecond).Seconds(), now.Add(-took/2), now)
}

// hasOwnDuration reports whether the time since the start of a run was confirmed is what its task takes on the worker. It is not
// if the task has resumed from a checkpoint, if this owner has slowed it down, if an earlier owner has started it, or if its end
// was the first sign of its start.
func (d *Dispatcher) hasOwnDuration(r *run) bool {
	return !r.startConfirmedAt.IsZero() && r.id.number >= d.firstRunNumber() && !r.wasSlowed && r.task().Checkpoint == "" && r.task().FailedRuns == 0
}

// isComparable reports whether nothing but the tasks beside it is known to slow a task on the worker down: the worker is neither
// suspect nor silent, and has not just started.
func isComparable(s *workerState, now time.Time) bool {
	return s != nil && !now.Before(s.suspectUntil) && s.unreachableSince.IsZero() && s.registration.WarmupRemaining <= 0
}

// minSiblings is the number of tasks of a step that must have ended before the duration of another one is judged by them.
const minSiblings = 3

// stepID identifies a step of a job.
type stepID struct{ occurrence, step int }

// durationSum is the sum of the durations of a number of tasks.
type durationSum struct {
	total time.Duration
	count int
}

// learn records how much longer than expected a task takes. Tasks that have started by the given time count as beside it.
func (d *Dispatcher) learn(r *run, ratio float64, besideSince, now time.Time) {
	s := r.worker
	if !d.interference.isEnabled || !isComparable(s, now) {
		return
	}
	var beside []interference.Kind
	for _, other := range s.runs {
		if other == r || other.startConfirmedAt.IsZero() || other.startConfirmedAt.After(besideSince) || other.speedPercent == 0 {
			continue
		}
		if kind := other.kind(); !slices.Contains(beside, kind) {
			beside = append(beside, kind)
		}
	}
	d.interference.table.Observe(interference.Observation{Kind: r.kind(), Beside: beside, Ratio: ratio, At: now})
}

// refreshInterference reads the pairs that disturb each other from the table, and logs those that are new or forgotten.
func (d *Dispatcher) refreshInterference(now time.Time) {
	state := &d.interference
	if !state.isEnabled || now.Sub(state.refreshedAt) < interferenceRefresh {
		return
	}
	state.refreshedAt = now
	before := state.pairs
	state.pairs = state.table.Pairs(now)
	state.costs = interference.NewCosts(state.pairs)
	for _, p := range state.pairs {
		if !containsPair(before, p) {
			d.log.Info(eventInterferenceFound, "slowed", p.Kind, "beside", p.Neighbour, "slowdown", p.Slowdown)
		}
	}
	for _, p := range before {
		if !containsPair(state.pairs, p) {
			d.log.Info(eventInterferenceForgotten, "slowed", p.Kind, "beside", p.Neighbour)
		}
	}
}

func containsPair(pairs []interference.Pair, pair interference.Pair) bool {
	return slices.ContainsFunc(pairs, func(p interference.Pair) bool { return p.Kind == pair.Kind && p.Neighbour == pair.Neighbour })
}

// expectedRatio returns the ratio of tail latency to target that is to be expected on a worker from its latency-sensitive tasks and
// the best-effort tasks beside them that have started too recently to show in a measurement.
func (d *Dispatcher) expectedRatio(s *workerState, measured float64, now time.Time) float64 {
	if d.interference.costs == nil {
		return measured
	}
	expected := measured
	for _, victim := range s.runs {
		if victim.step.LatencyTarget <= 0 || victim.phase != phaseRunning {
			continue
		}
		ratio := victim.lastMeasurement / float64(victim.step.LatencyTarget.Milliseconds())
		for _, r := range s.runs {
			if r.step.BestEffort && r.phase == phaseRunning && now.Sub(r.startConfirmedAt) < settleTime {
				ratio *= 1 + d.interference.slowdown(victim.kind(), r.kind())
			}
		}
		expected = max(expected, ratio)
	}
	return expected
}

// slowdown returns by which share a kind is known to be slowed down beside another.
func (state *interferenceState) slowdown(kind, neighbour interference.Kind) float64 {
	for _, p := range state.pairs {
		if p.Kind == kind && p.Neighbour == neighbour {
			return p.Slowdown
		}
	}
	return 0
}

// Interference returns the pairs of kinds that are known to disturb each other, and the number of tasks that were placed on another
// worker because of it.
func (d *Dispatcher) Interference() (pairs []interference.Pair, avoided int64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.interference.pairs, d.interference.avoided
}
