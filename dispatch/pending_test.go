package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"hibiscuslane.example/hibiscuslane/election"
	"hibiscuslane.example/hibiscuslane/schedule"
	"hibiscuslane.example/hibiscuslane/task"
	"hibiscuslane.example/hibiscuslane/timer"
	"hibiscuslane.example/hibiscuslane/worker"
)

// TestKeptPendingSteps guards against tasks that are placed twice or never because the pending steps that are kept
// between cycles do not follow a change of their job. It compares them with a full count after random changes.
func TestKeptPendingSteps(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := New(t.Context(), election.Gained{Epoch: 1}, Options{Clock: &timer.Service{}})
		now := d.clock.Now()
		var workers []worker.ID
		for i := range 3 {
			id := worker.ID(fmt.Sprintf("w%d", i))
			d.workers[id] = &workerState{id: id, rack: fmt.Sprintf("r1-%d", i%2), runs: map[runID]*run{}}
			workers = append(workers, id)
		}
		for i := range rapid.IntRange(1, 4).Draw(t, "jobs") {
			spec := task.Spec{Steps: []task.Step{{Count: 3, Estimate: time.Second}, {Count: 2, Estimate: time.Second, DependsOn: []int{0}}}}
			j := &job{Job: task.New(task.JobID(fmt.Sprint(i)), "queue", "pool", spec, now)}
			j.queue.MaxAttempts = 2
			d.jobs[j.ID] = j
			d.insertOpenJob(j)
		}
		for range rapid.IntRange(1, 30).Draw(t, "changes") {
			now = now.Add(time.Duration(rapid.IntRange(0, 200).Draw(t, "pause")) * time.Millisecond)
			changeRandomly(t, d, workers, now)
			kept := d.pendingSteps(now)
			for _, j := range d.openJobs {
				j.forgetPendingSteps()
			}
			require.Equal(t, d.pendingSteps(now), kept)
		}
	})
}

// changeRandomly places a waiting task or ends a run in one of the ways in which runs end.
func changeRandomly(t *rapid.T, d *Dispatcher, workers []worker.ID, now time.Time) {
	if waiting := d.pendingSteps(now)["pool"]; len(waiting) > 0 && rapid.Bool().Draw(t, "place") {
		step := waiting[rapid.IntRange(0, len(waiting)-1).Draw(t, "step")]
		d.assignTask(schedule.Assignment{Pending: step, Task: rapid.SampledFrom(step.Tasks).Draw(t, "task"), Worker: rapid.SampledFrom(workers).Draw(t, "worker")})
		return
	}
	var runs []*run
	for _, j := range d.openJobs {
		for step := range j.Spec.Steps {
			runs = append(runs, d.stepRuns(j, task.Key{Job: j.ID, Step: step})...)
		}
	}
	if len(runs) == 0 {
		return
	}
	r := rapid.SampledFrom(runs).Draw(t, "run")
	switch rapid.SampledFrom([]string{"done", "failed", "refused", "crash"}).Draw(t, "end") {
	case "done":
		d.endRun(r, worker.CauseDone, "", now)
	case "failed":
		d.endRun(r, worker.CauseFailed, "", now)
	case "refused":
		d.removeRun(r)
		r.task().NotBefore = now.Add(refusedRetryDelay)
	case "crash":
		r.startConfirmedAt = now
		d.recordCrash("m", []*run{r}, now)
		d.endRun(r, worker.CauseLeaseExpired, "", now)
	}
}
