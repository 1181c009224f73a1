package task_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"hibiscuslane.example/hibiscuslane/task"
)

// drawJob returns a random job with random progress.
func drawJob(t *rapid.T) *task.Job {
	var spec task.Spec
	for i := range rapid.IntRange(1, 3).Draw(t, "steps") {
		step := task.Step{Count: rapid.IntRange(1, 20).Draw(t, "count"), Resources: task.Resources{CPU: 100}, Estimate: time.Second}
		if i > 0 {
			step.DependsOn = []int{i - 1}
		}
		spec.Steps = append(spec.Steps, step)
	}
	spec.RepeatCount = rapid.IntRange(0, 3).Draw(t, "repeat")
	j := task.New("00000000000000aa", "queue", "pool", spec, time.UnixMilli(1000))
	for k := range spec.OccurrenceCount() {
		for i, step := range spec.Steps {
			for n := range step.Count {
				key := task.Key{Job: j.ID, Occurrence: k, Step: i, Task: n}
				switch rapid.IntRange(0, 3).Draw(t, "state") {
				case 0:
					j.FinishTask(key, time.UnixMilli(2000))
				case 1:
					j.Task(key).Placements = []task.Placement{{Worker: rapid.SampledFrom([]string{"w", "x"}).Draw(t, "worker"), Incarnation: 5, Machine: "m", Run: task.RunNumber(1000 + n)}}
				case 2:
					j.Task(key).FailedRuns = 1
					j.Task(key).Crashes = 1
					j.Task(key).Checkpoint = "x"
					j.Task(key).FailedWorkers = []string{"w"}
				}
			}
		}
	}
	return j
}

// TestRestore guards against progress that is lost when a new owner loads a job: a completed task would run
// again, a placement would be forgotten while its run goes on, and failed runs would be counted from zero again.
func TestRestore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		j := drawJob(t)
		submission, err := j.EncodeSubmission()
		require.NoError(t, err)
		progress, err := j.EncodeProgress()
		require.NoError(t, err)
		if j.Outcome != "" {
			ended, err := task.ParseEndedJob(j.ID, progress)
			require.NoError(t, err)
			require.Equal(t, j.Outcome, ended.Outcome)
			return
		}
		restored, err := task.ParseSubmission(j.ID, submission)
		require.NoError(t, err)
		var parts [][]byte
		for n := range j.PartCount() {
			part, err := j.EncodePart(n)
			require.NoError(t, err)
			if len(part) > 0 {
				parts = append(parts, part)
			}
		}
		require.NoError(t, restored.RestoreProgress(progress, parts...))
		require.Equal(t, j.OpenOccurrences, restored.OpenOccurrences)
		for k := range j.Spec.OccurrenceCount() {
			for i, step := range j.Spec.Steps {
				for n := range step.Count {
					key := task.Key{Job: j.ID, Occurrence: k, Step: i, Task: n}
					want, got := j.Task(key), restored.Task(key)
					require.Equal(t, want.Done, got.Done)
					if !want.Done {
						require.Equal(t, want.Placements, got.Placements)
						require.Equal(t, want.FailedRuns, got.FailedRuns)
						require.Equal(t, want.Crashes, got.Crashes)
						require.Equal(t, want.Checkpoint, got.Checkpoint)
					}
				}
			}
		}
	})
}

// TestKey guards against task keys that change when they are sent to a worker and parsed from its report, and
// against malformed keys that are accepted.
func TestKey(t *testing.T) {
	key := task.Key{Job: "00000000000000aa", Occurrence: 2, Step: 1, Task: 17}
	parsed, ok := task.ParseKey(key.String())
	require.True(t, ok)
	require.Equal(t, key, parsed)
	for _, text := range []string{"", "a.b.c", "a.1.2", "a.1.2.-3", "a.1.2.x", "a.1.2.3.4"} {
		_, ok := task.ParseKey(text)
		require.False(t, ok, text)
	}
}

// TestRestoreEarlierForm guards against placements that are forgotten when they were stored by an earlier version, in
// which each one had the whole identity of its worker.
func TestRestoreEarlierForm(t *testing.T) {
	j := task.New("00000000000000aa", "queue", "pool", task.Spec{Steps: []task.Step{{Count: 2}}}, time.UnixMilli(1000))
	require.NoError(t, j.RestoreProgress([]byte(`{"begun":true,"passes":[{"pass":0,"steps":[{"step":0,"tasks":[{"task":1,"places":[{"worker":"w","birth":5,"machine":"m","run":7}]}]}]}]}`)))
	restored := j.Task(task.Key{Job: j.ID, Task: 1})
	require.Equal(t, []task.Placement{{Worker: "w", Incarnation: 5, Machine: "m", Run: 7}}, restored.Placements)
	require.Equal(t, task.RunNumber(7), restored.LastRun)
}

// TestRecordGrowsByTask guards against records that repeat the identity of a worker for each task placed on it. In a
// burst, the owner writes thousands of placements a second.
func TestRecordGrowsByTask(t *testing.T) {
	size := func(tasks int) int {
		j := task.New("00000000000000aa", "queue", "pool", task.Spec{Steps: []task.Step{{Count: tasks}}}, time.UnixMilli(1000))
		for n := range tasks {
			j.Task(task.Key{Job: j.ID, Task: n}).Placements = []task.Placement{{Worker: "i-2e74d49a6e", Incarnation: 1_770_000_000_000, Machine: "m-21a7b", Run: 4001}}
		}
		data, err := j.EncodeProgress()
		require.NoError(t, err)
		return len(data)
	}
	const maxBytesPerTask = 40
	require.LessOrEqual(t, (size(16)-size(8))/8, maxBytesPerTask)
}

// TestGangCheckpointRestored guards against members of a gang that a new owner starts with different checkpoints, also if an
// earlier version has stored one for each member, and against a report of an earlier run that replaces that of a later one.
func TestGangCheckpointRestored(t *testing.T) {
	newJob := func() *task.Job {
		return task.New("00000000000000aa", "queue", "pool", task.Spec{Steps: []task.Step{{Count: 2, Gang: true, WritesCheckpoints: true}}}, time.UnixMilli(1000))
	}
	first, second := task.Key{Job: "00000000000000aa"}, task.Key{Job: "00000000000000aa", Task: 1}
	earlier := newJob()
	require.NoError(t, earlier.RestoreProgress([]byte(`{"passes":[{"pass":0,"steps":[{"step":0,"tasks":[{"task":0,"saved":"x"},{"task":1,"saved":"y"}]}]}]}`)))
	require.Equal(t, earlier.StartCheckpoint(first, 1), earlier.StartCheckpoint(second, 1))
	require.True(t, earlier.RecordCheckpoint(second, 2, "z"))
	require.False(t, earlier.RecordCheckpoint(first, 1, "late"))
	progress, err := earlier.EncodeProgress()
	require.NoError(t, err)
	restored := newJob()
	require.NoError(t, restored.RestoreProgress(progress))
	require.Equal(t, task.Checkpoint("z"), restored.StartCheckpoint(first, 3))
	require.Equal(t, task.Checkpoint("z"), restored.StartCheckpoint(second, 3))
}

// TestCheckpointOfOtherStep guards against a task that is started with a checkpoint although its step saves none.
func TestCheckpointOfOtherStep(t *testing.T) {
	j := task.New("00000000000000aa", "queue", "pool", task.Spec{Steps: []task.Step{{Count: 1}}}, time.UnixMilli(1000))
	require.False(t, j.RecordCheckpoint(task.Key{Job: j.ID}, 1, "odd"))
	require.Empty(t, j.StartCheckpoint(task.Key{Job: j.ID}, 2))
}
