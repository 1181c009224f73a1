package main

import (
	"context"
	"fmt"
	"strings"
	"time"
)

// Numbers of the case of a large job: its tasks need 138 of the 160 cores of ten workers.
const (
	largeEntries = 3
	largeWorkers = 10
	largeTasks   = 4600
	largeParts   = 10
	largeBody    = `{"spec":"8000 10000 saves","steps":[{"count":%d,"cpu":30,"mem_mb":8,"estimate_ms":9000,"checkpoints":true}]}`
	// largeOther is a small job of two steps, which is accepted before.
	largeOther     = `{"spec":"12000 12000","steps":[{"count":4,"cpu":200,"mem_mb":64,"estimate_ms":12000},{"count":4,"cpu":200,"mem_mb":64,"estimate_ms":12000,"after":[0]}]}`
	largeOtherStep = 4
	largeWithin    = 40 * time.Second
	// maxIdle is how long a job may have nothing running while a task's turn has come and there is capacity.
	maxIdle = 3 * time.Second
)

// runLarge hands in a small job of two steps and then a job of 4,600 tasks that save checkpoints; without the disruption,
// ten jobs of 460 tasks. It checks whether the second step of the small job starts once the first one is done.
func runLarge(ctx context.Context, r *rig, trouble bool) ([]string, error) {
	if err := r.start(ctx, largeEntries, largeWorkers); err != nil {
		return nil, err
	}
	const other = "00000000000000b1"
	if err := r.submit(ctx, other, largeOther); err != nil {
		return nil, err
	}
	parts := 1
	if !trouble {
		parts = largeParts
	}
	var jobs []string
	for i := range parts {
		id := fmt.Sprintf("000000000000aa%02x", i)
		jobs = append(jobs, id)
		if err := r.submit(ctx, id, fmt.Sprintf(largeBody, largeTasks/parts)); err != nil {
			return nil, err
		}
	}
	state := r.awaitState(ctx, other, largeWithin)
	for _, id := range jobs {
		r.rec.add("job %s is shown as %q", id, r.state(ctx, id, time.Second))
	}
	if state == "completed" {
		return nil, nil
	}
	return r.judgeIdle(other, state), nil
}

// judgeIdle checks the rule LOST for a job that is not completed: nothing of it runs, the tasks of its first step have all
// ended done, its second step has not started for maxIdle, and nothing else runs.
func (r *rig) judgeIdle(job, state string) []string {
	var firstDone time.Time
	done, started, active := 0, 0, 0
	for _, run := range r.fleet.allRuns() {
		switch {
		case run.endedAt.IsZero():
			active++
		case strings.HasPrefix(run.task, job+".0.0.") && run.how == "done":
			done++
			if run.endedAt.After(firstDone) {
				firstDone = run.endedAt
			}
		}
		if strings.HasPrefix(run.task, job+".0.1.") {
			started++
		}
	}
	idle := time.Since(firstDone)
	r.rec.add("job %s is shown as %q: %d of %d tasks of its first step have ended done, %d of its second have started since, in %.1f s; %d runs of all jobs are at work", job, state, done, largeOtherStep, started, idle.Seconds(), active)
	if done < largeOtherStep || started > 0 || active > 0 || idle < maxIdle {
		return nil
	}
	return []string{fmt.Sprintf("LOST: accepted job %s has had nothing running for %.1f s although the first step is done and all workers are idle; it is shown as %q", job, idle.Seconds(), state)}
}
