package dispatch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hibiscuslane.example/hibiscuslane/election"
	"hibiscuslane.example/hibiscuslane/schedule"
	"hibiscuslane.example/hibiscuslane/task"
	"hibiscuslane.example/hibiscuslane/timer"
	"hibiscuslane.example/hibiscuslane/worker"
)

// TestGangCheckpointsDiffer guards against members of a gang that are started with different checkpoints after a crash, or
// while another member reports one, and that wait for each other until they end alone.
func TestGangCheckpointsDiffer(t *testing.T) {
	d := New(t.Context(), election.Gained{Epoch: 1}, Options{Clock: &timer.Service{}, Timing: Timing{MaxLease: time.Minute}})
	addReadyWorker(d, "w", "pool")
	j := &job{Job: task.New(testJob, "queue", "pool", task.Spec{Steps: []task.Step{{Count: 2, Gang: true, WritesCheckpoints: true}}}, d.clock.Now())}
	d.jobs[j.ID] = j
	place := func() []*run {
		for n := range 2 {
			d.assignTask(schedule.Assignment{Pending: &schedule.PendingStep{Job: j.ID}, Task: n, Worker: "w"})
		}
		return d.stepRuns(j, task.Key{Job: j.ID})
	}
	for i, r := range place() {
		d.endRun(r, worker.CauseGangBroken, []task.Checkpoint{"first", "second"}[i], d.clock.Now())
	}
	runs := place()
	started, _ := d.prepareStart(runs[0])
	require.NotEmpty(t, started.Checkpoint)
	d.applyRunReport(runs[0], worker.Run{Checkpoint: "third"}, d.clock.Now())
	other, _ := d.prepareStart(runs[1])
	require.Equal(t, started.Checkpoint, other.Checkpoint)
}
