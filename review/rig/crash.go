package main

import (
	"context"
	"fmt"
	"time"
)

// Numbers of the case of crashing workers. One of eight workers is 0.125 of the pool.
const (
	crashEntries  = 3
	crashWorkers  = 8
	crashCount    = 2
	crashDowntime = 4 * time.Second
	crashAfter    = 2 * time.Second
	crashWithin   = 70 * time.Second
)

// runCrash hands in a job with one task of 12 s and lets the worker that runs it crash, twice. No run ends "failed".
func runCrash(ctx context.Context, r *rig, trouble bool) ([]string, error) {
	if err := r.start(ctx, crashEntries, crashWorkers); err != nil {
		return nil, err
	}
	const job = "00000000000000c1"
	task := job + ".0.0.0"
	if err := r.submit(ctx, job, `{"spec":"12000 12000","steps":[{"count":1,"cpu":2000,"mem_mb":256,"estimate_ms":12000}]}`); err != nil {
		return nil, err
	}
	for range crashCount {
		if !trouble {
			break
		}
		w, err := r.awaitWorker(ctx, task)
		if err != nil {
			return nil, err
		}
		if err := pause(ctx, crashAfter); err != nil {
			return nil, err
		}
		w.crash(crashDowntime)
	}
	state := r.awaitState(ctx, job, crashWithin)
	failed := 0
	for _, run := range r.fleet.runsOf(task) {
		if run.how == "failed" {
			failed++
		}
	}
	r.rec.add("the job is shown as %q; %d runs of its task, of which %d ended failed, with %d attempts allowed", state, len(r.fleet.runsOf(task)), failed, maxAttempts)
	if state != "completed" && state != "failed" && state != "cancelled" {
		return nil, fmt.Errorf("the job has not ended, it is shown as %q", state)
	}
	if state != "completed" && failed < maxAttempts {
		return []string{fmt.Sprintf("LOST: accepted job %s is shown as %q; %d of its runs ended failed, %d may", job, state, failed, maxAttempts)}, nil
	}
	return nil, nil
}

// awaitWorker waits until a task is at work and returns its worker.
func (r *rig) awaitWorker(ctx context.Context, task string) (*worker, error) {
	for {
		if w := r.fleet.workerOf(task); w != nil {
			return w, nil
		}
		if err := pause(ctx, retryPause/10); err != nil {
			return nil, fmt.Errorf("task %s is not at work: %w", task, err)
		}
	}
}
