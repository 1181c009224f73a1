package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hibiscuslane.example/hibiscuslane/election"
	"hibiscuslane.example/hibiscuslane/task"
	"hibiscuslane.example/hibiscuslane/timer"
	"hibiscuslane.example/hibiscuslane/worker"
)

// TestCrashBlame guards against a crash that is blamed on a task which had crashed a worker before although another task
// on the worker caused it, against a task that escapes the blame for the same reason, and against blame for a start
// that was not confirmed.
func TestCrashBlame(t *testing.T) {
	d := New(t.Context(), election.Gained{Epoch: 1}, Options{Clock: &timer.Service{}})
	now := d.clock.Now()
	newRun := func(crashes int, startConfirmedAt time.Time) *run {
		j := &job{Job: task.New("00000000000000aa", "queue", "pool", task.Spec{Steps: []task.Step{{Count: 1}}}, now)}
		r := &run{id: runID{key: task.Key{Job: j.ID}}, job: j, step: &j.Spec.Steps[0], phase: phaseRunning, startConfirmedAt: startConfirmedAt}
		r.task().Crashes = crashes
		return r
	}
	suspect, other, unconfirmed := newRun(1, now), newRun(0, now), newRun(0, time.Time{})
	d.recordCrash("m", []*run{suspect, other, unconfirmed}, now)
	require.Equal(t, 2, suspect.task().Crashes)
	require.Equal(t, 1, other.task().Crashes)
	require.Zero(t, unconfirmed.task().Crashes)
	require.Empty(t, suspect.job.Outcome, "the other task may have caused the crash")
	d.recordCrash("m", []*run{other, unconfirmed}, now)
	require.Equal(t, task.StateFailed, other.job.Outcome, "no other task can have caused the second crash")
	d.recordCrash("m", []*run{suspect, newRun(0, now)}, now)
	require.Equal(t, task.StateFailed, suspect.job.Outcome, "a third crash is not risked again")
}

// TestSuspectStarves guards against a task that waits without end for a worker of its own because other tasks keep
// crashing the few workers of its pool.
func TestSuspectStarves(t *testing.T) {
	d := New(t.Context(), election.Gained{Epoch: 1}, Options{Clock: &timer.Service{}})
	now := d.clock.Now().Add(time.Minute)
	suspect := &task.Task{Crashes: 1, NotBefore: now}
	require.True(t, d.mustRunApart(suspect, now))
	require.False(t, d.mustRunApart(suspect, now.Add(maxApartWait)))
	restored := &task.Task{Crashes: 1}
	require.True(t, d.mustRunApart(restored, d.termStart), "a new owner does not know how long the task has waited")
}

// TestLongRunningBlame guards against a long-running job that is given up, and whose tasks are stopped, because workers
// crashed under it, whether or not other tasks crashed them (incident inc-ce4f, review case 5), and against one that
// crashes workers at the pace at which it can be started.
func TestLongRunningBlame(t *testing.T) {
	d := New(t.Context(), election.Gained{Epoch: 1}, Options{Clock: &timer.Service{}})
	now := d.clock.Now()
	newRun := func(longRunning bool) *run {
		j := &job{Job: task.New("00000000000000aa", "queue", "pool", task.Spec{Steps: []task.Step{{Count: 1, LongRunning: longRunning}}}, now)}
		return &run{id: runID{key: task.Key{Job: j.ID}}, job: j, step: &j.Spec.Steps[0], phase: phaseRunning, startConfirmedAt: now}
	}
	lasting := newRun(true)
	crash := func(others ...*run) time.Duration {
		d.recordCrash("m", append(others, lasting), now)
		d.runs[lasting.id] = lasting
		d.endRun(lasting, worker.CauseLeaseExpired, "", now)
		return lasting.task().NotBefore.Sub(now)
	}
	for range 2 * maxCrashes {
		require.Zero(t, crash(newRun(false)))
	}
	require.Zero(t, crash(), "one worker that crashes for a cause of its own")
	last := time.Duration(0)
	for range 3 {
		delay := crash()
		require.Greater(t, delay, last, "no other task can have caused these crashes")
		last = delay
	}
	for range 10 {
		require.LessOrEqual(t, crash(), maxCrashRetryDelay)
	}
	require.Empty(t, lasting.job.Outcome)
}

// TestCrashLongAfterStart guards against a job that is given up because several workers have crashed for causes of their own while
// its task was at work.
func TestCrashLongAfterStart(t *testing.T) {
	d := New(t.Context(), election.Gained{Epoch: 1}, Options{Clock: &timer.Service{}})
	now := d.clock.Now()
	j := &job{Job: task.New("00000000000000aa", "queue", "pool", task.Spec{Steps: []task.Step{{Count: 1}}}, now)}
	r := &run{id: runID{key: task.Key{Job: j.ID}}, job: j, step: &j.Spec.Steps[0], phase: phaseRunning, startConfirmedAt: now.Add(-2 * crashProbation)}
	for range 2 * maxCrashes {
		d.recordCrash("m", []*run{r}, now)
	}
	require.Empty(t, j.Outcome)
	require.Zero(t, r.task().Crashes)
}

// TestSilenceIsNoWork guards against a long-running task that escapes the blame for a crash because the time in which its
// worker was already silent counts as time at work.
func TestSilenceIsNoWork(t *testing.T) {
	d := New(t.Context(), election.Gained{Epoch: 1}, Options{Clock: &timer.Service{}})
	startedAt := d.clock.Now()
	j := &job{Job: task.New("00000000000000aa", "queue", "pool", task.Spec{Steps: []task.Step{{Count: 1, LongRunning: true}}}, startedAt)}
	silent := &workerState{unreachableSince: startedAt.Add(time.Second)}
	r := &run{id: runID{key: task.Key{Job: j.ID}}, job: j, step: &j.Spec.Steps[0], phase: phaseRunning, startConfirmedAt: startedAt, fullSpeedSince: startedAt, worker: silent}
	d.recordCrash("m", []*run{r}, startedAt.Add(2*crashProbation))
	require.Equal(t, 1, r.task().Crashes)
}

// TestLostRunsKept guards against runs that are forgotten as possible causes of a crash because the lease of their worker
// expires again for a run that was planned but not started.
func TestLostRunsKept(t *testing.T) {
	d := New(t.Context(), election.Gained{Epoch: 1}, Options{Clock: &timer.Service{}})
	now := d.clock.Now()
	started := &run{id: runID{number: 1}, phase: phaseRunning, step: &task.Step{LongRunning: true}}
	s := &workerState{incarnation: 1, runs: map[runID]*run{started.id: started}}
	d.expireRuns(s, now)
	planned := &run{id: runID{number: 2}, phase: phasePlanned, step: started.step}
	s.runs = map[runID]*run{planned.id: planned}
	d.expireRuns(s, now)
	require.Equal(t, []*run{started}, d.takeLostRuns("", 2))
}

// TestBrokenOffStartBlame guards against a task that crashes workers without end because they crash before they answer its start, and
// against blame for starts that were sent to a worker that had crashed or that did not answer for another cause.
func TestBrokenOffStartBlame(t *testing.T) {
	d := New(t.Context(), election.Gained{Epoch: 1}, Options{Clock: &timer.Service{}})
	now := d.clock.Now()
	newRun := func(sent time.Time, brokenOff bool) *run {
		j := &job{Job: task.New("00000000000000aa", "queue", "pool", task.Spec{Steps: []task.Step{{Count: 1}}}, now)}
		return &run{id: runID{key: task.Key{Job: j.ID}}, job: j, step: &j.Spec.Steps[0], phase: phaseUnconfirmed, startSentAt: sent, startBrokenOff: brokenOff}
	}
	first, later, unanswered := newRun(now.Add(-20*time.Millisecond), true), newRun(now.Add(-10*time.Millisecond), true), newRun(now.Add(-30*time.Millisecond), false)
	d.recordCrash("m", []*run{later, unanswered, first}, now)
	require.Equal(t, 1, first.task().Crashes)
	require.Zero(t, later.task().Crashes)
	require.Zero(t, unanswered.task().Crashes)
	d.recordCrash("m", []*run{first}, now)
	require.Equal(t, task.StateFailed, first.job.Outcome)
	old := newRun(now.Add(-2*crashProbation), true)
	d.recordCrash("m", []*run{old}, now)
	require.Zero(t, old.task().Crashes)
}
