package wave

import (
	"math"
	"slices"
	"sort"
	"time"

	"hibiscuslane.example/hibiscuslane/pool"
	"hibiscuslane.example/hibiscuslane/task"
	"hibiscuslane.example/hibiscuslane/worker"
)

// Machine is a machine of a wave that has not been maintained yet.
type Machine struct {
	ID worker.MachineID
	// Up is set if the machine is in service and may be drained or maintained now.
	Up bool
	// Draining is set if the machine is already being drained.
	Draining bool
	// DrainingSince is when draining began.
	DrainingSince time.Time
	// BatchTasks is the number of tasks on the machine that end on their own; LongRunningTasks is the number of those
	// that do not.
	BatchTasks, LongRunningTasks int
	// LimitedSteps holds the step of each long-running task whose step allows only some of its tasks to be away.
	LimitedSteps []LimitedStep
	Pool         pool.Name
	// Load is the share of the capacity of the pool that running and waiting tasks reserve.
	Load float64
}

// LimitedStep is a long-running step of which at most MaxUnavailable tasks may be away at a time.
type LimitedStep struct {
	Job            task.JobID
	Step           int
	MaxUnavailable int
}

// Plan lists the next actions of a wave.
type Plan struct {
	// Drain lists the machines to drain: new tasks are placed elsewhere if possible, and long-running tasks are moved
	// elsewhere.
	Drain []worker.MachineID
	// Maintain lists the machines whose maintenance is to be ordered now.
	Maintain []worker.MachineID
}

// Timing holds the remaining time of a wave, the number of machines under maintenance and the duration of maintenance.
type Timing struct {
	// TimeLeft is the time until the deadline of the wave.
	TimeLeft time.Duration
	// UnavailableMachines is the number of machines of the wave that are or may be under maintenance.
	UnavailableMachines int
	// MaintenanceTime is how long the maintenance of a machine takes.
	MaintenanceTime time.Duration
}

// IsLastMoment reports whether the wave can only just be in time if the tasks on a machine whose maintenance is due are stopped
// now.
func (t Timing) IsLastMoment() bool { return t.TimeLeft < t.MaintenanceTime+stopTime }

const (
	// stopTime is how long it takes to stop the tasks of a worker, to store their ends and to order the maintenance.
	stopTime = 1500 * time.Millisecond
	// typicalDrainTime is how long it usually takes to drain a machine: batch tasks have to end on their own.
	typicalDrainTime = 2 * time.Second
	// maxDrainTime is how long batch tasks may run on a draining machine before maintenance ends them.
	maxDrainTime = 4 * time.Second
	// drainTimeDivisor divides the time that is left after deducting the maintenance of one machine: batch tasks on a
	// draining machine get one part of it, and the rest is for the machines that follow.
	drainTimeDivisor = 3
	// plannedTimeFraction is the part of the remaining time that the plan uses. The rest is a reserve for machines that
	// are down or drain slowly.
	plannedTimeFraction = 0.6
	// evictionTime is how long a long-running task is away when it moves: it is stopped, starts on another worker and has
	// to run there at full speed for a moment before the next task of its step may go.
	evictionTime = 2500 * time.Millisecond
	// lowLoad is the load of a pool below which the pool can do without some of its machines.
	lowLoad = 0.7
)

// PlanNext returns the next actions of a wave. To preserve the capacity of the pools, it takes as few machines out of
// service at a time as the remaining time allows. Idle machines and those of pools with a low load go first, because
// the burst of a queue is over after some seconds. A machine whose batch tasks do not end in time is maintained
// nevertheless, but never one that still runs long-running tasks.
func PlanNext(request Request, machines []Machine, timing Timing, now time.Time) Plan {
	var plan Plan
	concurrency := requiredConcurrency(request, len(machines), timing)
	available := request.MaxUnavailable - timing.UnavailableMachines
	sort.SliceStable(machines, func(i, j int) bool { return goesBefore(machines[i], machines[j]) })
	inProgress := timing.UnavailableMachines
	// Shortly before the deadline, machines of pools with a high load are drained too.
	urgent := timing.TimeLeft < maxDrainTime*2
	// The less time is left, the less time batch tasks get to end on their own.
	drainTime := min(maxDrainTime, max(0, (timing.TimeLeft-timing.MaintenanceTime)/drainTimeDivisor))
	limited := newLimitedSteps(machines, timing)
	for _, m := range machines {
		if !m.Up || !m.Draining && !limited.canStart(m, inProgress < concurrency) {
			continue
		}
		idle := m.BatchTasks == 0 && m.LongRunningTasks == 0
		timedOut := m.Draining && now.Sub(m.DrainingSince) > drainTime && m.LongRunningTasks == 0
		switch {
		case available > 0 && (idle || timedOut):
			plan.Maintain = append(plan.Maintain, m.ID)
			available--
			inProgress++
		case m.Draining || m.Load < lowLoad || urgent || limited.isSlow(m):
			plan.Drain = append(plan.Drain, m.ID)
			inProgress++
			limited.drain(m)
		}
	}
	return plan
}

// limitedSteps tells which long-running steps still have room to let go of tasks, and which of them have to.
type limitedSteps struct {
	// tasks is the number of tasks of a step on machines of the wave, and draining the number of those on draining ones.
	tasks, draining map[LimitedStep]int
	timing          Timing
}

func newLimitedSteps(machines []Machine, timing Timing) *limitedSteps {
	l := &limitedSteps{tasks: map[LimitedStep]int{}, draining: map[LimitedStep]int{}, timing: timing}
	for _, m := range machines {
		for _, s := range m.LimitedSteps {
			l.tasks[s]++
			if m.Draining {
				l.draining[s]++
			}
		}
	}
	return l
}

// hasRoom reports whether a task of the machine may go, unless the machine is only waiting for others that are draining.
func (l *limitedSteps) hasRoom(m Machine) bool {
	return len(m.LimitedSteps) == 0 || slices.ContainsFunc(m.LimitedSteps, func(s LimitedStep) bool { return l.draining[s] < s.MaxUnavailable })
}

// canStart reports whether draining of the machine may begin, if the plan has room for one more or its steps cannot wait.
func (l *limitedSteps) canStart(m Machine, planHasRoom bool) bool {
	return l.hasRoom(m) && (planHasRoom || l.isSlow(m))
}

// isSlow reports whether the tasks of one of the machine's steps can only just leave the machines of the wave in time,
// because few of them may be away at a time. Without it, their machines went last, and a wave was late for one or two.
func (l *limitedSteps) isSlow(m Machine) bool {
	return slices.ContainsFunc(m.LimitedSteps, func(s LimitedStep) bool {
		rounds := (l.tasks[s] + s.MaxUnavailable - 1) / s.MaxUnavailable
		needed := time.Duration(rounds)*evictionTime + l.timing.MaintenanceTime
		return float64(needed) > plannedTimeFraction*float64(l.timing.TimeLeft)
	})
}

// drain counts the tasks of a machine that begins to drain.
func (l *limitedSteps) drain(m Machine) {
	if m.Draining {
		return
	}
	for _, s := range m.LimitedSteps {
		l.draining[s]++
	}
}

// requiredConcurrency returns how many machines have to be drained or maintained at the same time for the wave to meet
// its deadline. It is at most twice the number that may be under maintenance, so that the next ones are drained while
// those are maintained.
func requiredConcurrency(request Request, remaining int, timing Timing) int {
	if timing.TimeLeft <= 0 {
		return 2 * request.MaxUnavailable
	}
	needed := float64(remaining+timing.UnavailableMachines) * float64(timing.MaintenanceTime+typicalDrainTime) / (plannedTimeFraction * float64(timing.TimeLeft))
	return min(max(int(math.Ceil(needed)), 1), 2*request.MaxUnavailable)
}

// goesBefore orders machines: draining ones first, then idle ones, then those of pools with a low load, then those with
// the fewest long-running and the fewest batch tasks.
func goesBefore(a, b Machine) bool {
	if a.Draining != b.Draining {
		return a.Draining
	}
	if idleA, idleB := a.BatchTasks+a.LongRunningTasks == 0, b.BatchTasks+b.LongRunningTasks == 0; idleA != idleB {
		return idleA
	}
	if lowA, lowB := a.Load < lowLoad, b.Load < lowLoad; lowA != lowB {
		return lowA
	}
	if a.LongRunningTasks != b.LongRunningTasks {
		return a.LongRunningTasks < b.LongRunningTasks
	}
	return a.BatchTasks < b.BatchTasks
}
