package main

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"
)

// Numbers of the case of cancelled jobs. 20 of 60 jobs are 0.33 of them.
const (
	cancelEntries = 9
	cancelWorkers = 2
	cancelJobs    = 60
	cancelMany    = 20
	cancelFew     = 2
	cancelTasks   = 48
	cancelBody    = `{"spec":"60000 60000","steps":[{"count":%d,"cpu":10,"mem_mb":16,"estimate_ms":60000}]}`
	// maxCancelTime and maxStopTime are cancel_ms and stop_timeout_ms of the settings.
	maxCancelTime = 3 * time.Second
	maxStopTime   = 200 * time.Millisecond
	cancelSettle  = time.Second
	cancelWatch   = 20 * time.Second
)

// runCancel hands in 60 jobs of 48 tasks, which all run on two workers, and cancels 20 of them; without the disruption, two
// of them. It checks when their tasks end. Nothing else happens.
func runCancel(ctx context.Context, r *rig, trouble bool) ([]string, error) {
	if err := r.start(ctx, cancelEntries, cancelWorkers); err != nil {
		return nil, err
	}
	var jobs []string
	for i := range cancelJobs {
		id := fmt.Sprintf("00000000000d%04x", i)
		jobs = append(jobs, id)
		if err := r.submit(ctx, id, fmt.Sprintf(cancelBody, cancelTasks)); err != nil {
			return nil, err
		}
	}
	if _, err := r.awaitWorkerRuns(ctx, cancelJobs*cancelTasks); err != nil {
		return nil, err
	}
	if err := pause(ctx, cancelSettle); err != nil {
		return nil, err
	}
	cancelled := cancelMany
	if !trouble {
		cancelled = cancelFew
	}
	acknowledged := r.cancelAll(ctx, jobs[:cancelled])
	if len(acknowledged) == 0 {
		return nil, fmt.Errorf("no cancel was acknowledged")
	}
	if err := pause(ctx, cancelWatch); err != nil {
		return nil, err
	}
	return r.judgeCancel(acknowledged), nil
}

// cancelAll cancels jobs, all at once, and returns when each cancel was acknowledged.
func (r *rig) cancelAll(ctx context.Context, jobs []string) map[string]time.Time {
	acknowledged := map[string]time.Time{}
	var mu sync.Mutex
	var calls sync.WaitGroup
	for i, id := range jobs {
		calls.Go(func() {
			status, _ := r.call(ctx, r.entries[i%len(r.entries)], http.MethodDelete, queuePrefix+id, "")
			mu.Lock()
			defer mu.Unlock()
			if status == http.StatusOK {
				acknowledged[id] = time.Now()
			}
		})
	}
	calls.Wait()
	return acknowledged
}

// judgeCancel checks the rule UNASKED: no task of a cancelled job runs on maxStopTime after maxCancelTime has passed since the
// acknowledgement.
func (r *rig) judgeCancel(acknowledged map[string]time.Time) []string {
	late, last, total := 0, time.Duration(0), 0
	how := map[string]int{}
	for _, run := range r.fleet.allRuns() {
		job, _, _ := strings.Cut(run.task, ".")
		at, ok := acknowledged[job]
		if !ok {
			continue
		}
		total++
		end := run.endedAt
		if end.IsZero() {
			end = time.Now()
		}
		after := end.Sub(at)
		if after > maxCancelTime+maxStopTime {
			late++
		}
		last = max(last, after)
		how[run.how]++
	}
	r.rec.add("%d cancels acknowledged, of jobs with %d runs: the last run ended after %.3f s, %d later than %s; ends: %v", len(acknowledged), total, last.Seconds(), late, maxCancelTime+maxStopTime, how)
	if late == 0 {
		return nil
	}
	return []string{fmt.Sprintf("UNASKED: %d of %d tasks ran on more than %s after the acknowledgement of their job's cancel, the last for %.1f s", late, total, maxCancelTime+maxStopTime, last.Seconds())}
}
