package main

import (
	"context"
	"fmt"
	"time"
)

// Numbers of the case of many ends. One of nine entries is 0.11 of them.
const (
	endsEntries  = 9
	endsWorkers  = 3
	endsJobs     = 24
	endsTasks    = 100
	endsFreeze   = 2500 * time.Millisecond
	endsWithin   = 60 * time.Second
	endsBody     = `{"spec":"5000 5600","steps":[{"count":%d,"cpu":20,"mem_mb":32,"estimate_ms":5300}]}`
	endsFirstEnd = 4900 * time.Millisecond
)

// runEnds hands in 24 jobs of 100 small tasks, which fill three workers with 800 tasks each. While the tasks end, the
// machine that gives the orders is frozen, so that more ends wait at each worker than one answer lists.
func runEnds(ctx context.Context, r *rig, trouble bool) ([]string, error) {
	if err := r.start(ctx, endsEntries, endsWorkers); err != nil {
		return nil, err
	}
	var jobs []string
	for i := range endsJobs {
		id := fmt.Sprintf("00000000000e%04x", i)
		jobs = append(jobs, id)
		if err := r.submit(ctx, id, fmt.Sprintf(endsBody, endsTasks)); err != nil {
			return nil, err
		}
	}
	first, err := r.awaitWorkerRuns(ctx, endsJobs*endsTasks)
	if err != nil {
		return nil, err
	}
	if trouble {
		if err := pause(ctx, time.Until(first.Add(endsFirstEnd))); err != nil {
			return nil, err
		}
		owner := r.owner()
		if owner == nil {
			return nil, fmt.Errorf("no entry holds the ownership")
		}
		if err := owner.freeze(ctx, endsFreeze); err != nil {
			return nil, err
		}
	}
	for _, id := range jobs {
		if state := r.awaitState(ctx, id, endsWithin); state != "completed" {
			r.rec.add("job %s is shown as %q", id, state)
		}
	}
	return r.judgeTwice(), nil
}

// awaitWorkerRuns waits until so many runs have started and returns when the first one did.
func (r *rig) awaitWorkerRuns(ctx context.Context, n int) (time.Time, error) {
	for {
		if runs := r.fleet.allRuns(); len(runs) >= n {
			return runs[0].startedAt, nil
		}
		if err := pause(ctx, retryPause/10); err != nil {
			return time.Time{}, fmt.Errorf("%d of %d runs have started: %w", len(r.fleet.allRuns()), n, err)
		}
	}
}

// judgeTwice checks the rule TWICE: no two runs of a task at the same time, and no start after an end "done" that is taken
// note of at any time. If the executor's lease lapsed between the end and its note, the end is left out: no lease of a
// worker lapses in these cases while the worker has ends, which is checked too.
func (r *rig) judgeTwice() []string {
	byTask := map[string][]run{}
	for _, run := range r.fleet.allRuns() {
		byTask[run.task] = append(byTask[run.task], run)
	}
	lapsed := r.fleet.lapses()
	after, beside := 0, 0
	example := ""
	for task, runs := range byTask {
		for i, a := range runs {
			for _, b := range runs[i+1:] {
				if a.endedAt.IsZero() || b.startedAt.Before(a.endedAt) {
					beside++
					example = fmt.Sprintf("%s: run %d on %s and run %d on %s at the same time", task, a.number, a.worker, b.number, b.worker)
				}
				if a.how == "done" && !a.notedAt.IsZero() && b.startedAt.After(a.endedAt) && !hasLapsed(lapsed[a.worker], a) {
					after++
					example = fmt.Sprintf("%s: run %d on %s ended done %.3f s before run %d started on %s; that end was taken note of %.3f s after it", task, a.number, a.worker, b.startedAt.Sub(a.endedAt).Seconds(), b.number, b.worker, a.notedAt.Sub(a.endedAt).Seconds())
				}
			}
		}
	}
	r.rec.add("%d tasks ran; %d starts after an end done that was taken note of, %d pairs of runs at the same time", len(byTask), after, beside)
	if after+beside == 0 {
		return nil
	}
	return []string{fmt.Sprintf("TWICE: %d starts after an end done that was taken note of, %d pairs of runs at the same time; for example %s", after, beside, example)}
}

// hasLapsed reports whether a lease lapsed between the end of a run and its note.
func hasLapsed(lapses []time.Time, r run) bool {
	for _, at := range lapses {
		if !at.Before(r.endedAt) && !at.After(r.notedAt) {
			return true
		}
	}
	return false
}
