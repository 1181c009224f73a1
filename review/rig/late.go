package main

import (
	"context"
	"fmt"
	"time"
)

// Numbers of the case of a late start. One of eight workers is 0.125 of the pool.
const (
	lateEntries  = 3
	lateWorkers  = 8
	lateBy       = 7 * time.Second
	lateCrash    = time.Second
	lateDowntime = 4 * time.Second
	lateWatch    = 12 * time.Second
	lateBody     = `{"spec":"25000 25000","steps":[{"count":1,"cpu":2000,"mem_mb":256,"estimate_ms":25000}]}`
)

// runLate hands in a job with one task of 25 s. The first order to start it gets no answer and is carried out 7 s later.
// Meanwhile the worker that it was sent to crashes and comes back.
func runLate(ctx context.Context, r *rig, trouble bool) ([]string, error) {
	if err := r.start(ctx, lateEntries, lateWorkers); err != nil {
		return nil, err
	}
	if trouble {
		r.fleet.delayNextStart()
	}
	const job = "0000000000000071"
	if err := r.submit(ctx, job, lateBody); err != nil {
		return nil, err
	}
	if trouble {
		w, err := r.fleet.awaitDelayedStart(ctx)
		if err != nil {
			return nil, err
		}
		if err := pause(ctx, lateCrash); err != nil {
			return nil, err
		}
		w.crash(lateDowntime)
	}
	if _, err := r.awaitWorker(ctx, job+".0.0.0"); err != nil {
		return nil, err
	}
	if err := pause(ctx, lateWatch); err != nil {
		return nil, err
	}
	return r.judgeTwice(), nil
}

// delayNextStart leaves the next start at any worker without an answer.
func (f *fleet) delayNextStart() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, w := range f.workers {
		w.lateStarts, w.lateBy = 1, lateBy
	}
}

// awaitDelayedStart waits until a worker has left a start without an answer, and returns it. All others answer from then on.
func (f *fleet) awaitDelayedStart(ctx context.Context) (*worker, error) {
	for {
		f.mu.Lock()
		var delayed *worker
		for _, w := range f.workers {
			if w.lateStarts == 0 {
				delayed = w
			}
		}
		if delayed != nil {
			for _, w := range f.workers {
				w.lateStarts = 0
			}
			f.mu.Unlock()
			return delayed, nil
		}
		f.mu.Unlock()
		if err := pause(ctx, time.Millisecond); err != nil {
			return nil, fmt.Errorf("no start was sent: %w", err)
		}
	}
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
