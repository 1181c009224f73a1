package main

import (
	"context"
	"fmt"
	"strings"
	"time"
)

// Numbers of the case of a lasting job. One of eight workers is 0.125 of the pool.
const (
	lastingEntries  = 3
	lastingWorkers  = 8
	lastingTasks    = 5
	lastingMayMiss  = 1
	lastingBody     = `{"spec":"600000 600000","steps":[{"count":%d,"cpu":2000,"mem_mb":256,"estimate_ms":1000,"long_running":true,"may_miss":%d,"anti_affinity":1}]}`
	lastingCrashes  = 2
	lastingDowntime = 3 * time.Second
	lastingAfter    = time.Second
	lastingWatch    = 20 * time.Second
)

// runLasting hands in a job of five tasks that last and lets the worker of its first task crash, twice. Nobody cancels the
// job.
func runLasting(ctx context.Context, r *rig, trouble bool) ([]string, error) {
	if err := r.start(ctx, lastingEntries, lastingWorkers); err != nil {
		return nil, err
	}
	const job = "00000000000000a1"
	if err := r.submit(ctx, job, fmt.Sprintf(lastingBody, lastingTasks, lastingMayMiss)); err != nil {
		return nil, err
	}
	if _, err := r.awaitWorkerRuns(ctx, lastingTasks); err != nil {
		return nil, err
	}
	for range lastingCrashes {
		if !trouble {
			break
		}
		w, err := r.awaitWorker(ctx, job+".0.0.0")
		if err != nil {
			return nil, err
		}
		if err := pause(ctx, lastingAfter); err != nil {
			return nil, err
		}
		w.crash(lastingDowntime)
	}
	if err := pause(ctx, lastingWatch); err != nil {
		return nil, err
	}
	r.rec.add("the job is shown as %q", r.state(ctx, job, time.Second))
	return r.judgeAvailable(job), nil
}

// judgeAvailable checks the rule AVAIL: no order ends a task of the job on a sound worker while lastingMayMiss others of its
// step are away. Nobody has cancelled the job.
func (r *rig) judgeAvailable(job string) []string {
	var runs []run
	for _, run := range r.fleet.runsOf("") {
		if strings.HasPrefix(run.task, job) {
			runs = append(runs, run)
		}
	}
	ended, example := 0, ""
	for _, stopped := range runs {
		if stopped.how != "stopped" {
			continue
		}
		working := map[string]bool{}
		for _, other := range runs {
			if other.task != stopped.task && other.startedAt.Before(stopped.endedAt) && (other.endedAt.IsZero() || other.endedAt.After(stopped.endedAt)) {
				working[other.task] = true
			}
		}
		if away := lastingTasks - 1 - len(working); away >= lastingMayMiss {
			ended++
			example = fmt.Sprintf("%s run %d on %s is ended by an order while %d others of its step are away", stopped.task, stopped.number, stopped.worker, away)
		}
	}
	working := 0
	for _, run := range runs {
		if run.endedAt.IsZero() {
			working++
		}
	}
	r.rec.add("%d tasks were ended by an order while %d or more others were away; %d of %d tasks are at work in the end", ended, lastingMayMiss, working, lastingTasks)
	if ended == 0 {
		return nil
	}
	return []string{fmt.Sprintf("AVAIL: %d tasks ended by an order, for example %s; %d of %d tasks are at work in the end", ended, example, working, lastingTasks)}
}
