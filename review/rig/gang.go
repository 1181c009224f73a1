package main

import (
	"context"
	"fmt"
	"time"
)

// Numbers of the case of a gang.
const (
	gangEntries = 3
	gangWorkers = 8
	gangTasks   = 300
	gangFew     = 200
	gangBody    = `{"spec":"3000 3000","steps":[{"count":%d,"cpu":50,"mem_mb":16,"estimate_ms":3000,"gang":true}]}`
	gangWithin  = 40 * time.Second
)

// runGang hands in a gang of 300 small tasks, which fits on one of eight workers; without the disruption, one of 200. Nothing else happens.
func runGang(ctx context.Context, r *rig, trouble bool) ([]string, error) {
	if err := r.start(ctx, gangEntries, gangWorkers); err != nil {
		return nil, err
	}
	const job = "00000000000000f1"
	tasks := gangTasks
	if !trouble {
		tasks = gangFew
	}
	r.fleet.setGang(job, tasks)
	if err := r.submit(ctx, job, fmt.Sprintf(gangBody, tasks)); err != nil {
		return nil, err
	}
	state := r.awaitState(ctx, job, gangWithin)
	how := map[string]int{}
	for _, run := range r.fleet.allRuns() {
		how[run.how]++
	}
	r.rec.add("the gang is shown as %q; its runs ended: %v", state, how)
	if how["alone"] == 0 {
		if state != "completed" {
			return nil, fmt.Errorf("the gang has not ended, it is shown as %q", state)
		}
		return nil, nil
	}
	return []string{fmt.Sprintf("GANG: %d runs ended alone although nothing was disturbed; the job is shown as %q after %s", how["alone"], state, gangWithin)}, nil
}

// gangTimeout is gang_timeout_ms of the settings.
const gangTimeout = 3 * time.Second

// gang is one run of a gang: it works from the moment when all its members are present.
type gang struct {
	members []*run
	on      []*worker
	working bool
}

// setGang declares that the tasks of a job's only step are a gang of the given size.
func (f *fleet) setGang(job string, size int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.gangJob, f.gangSize, f.gangs = job, size, map[int64]*gang{}
}

// joinGang adds a started run to its gang. The lock must be held.
func (f *fleet) joinGang(w *worker, r *run, work time.Duration) {
	g := f.gangs[r.number]
	if g == nil {
		g = &gang{}
		f.gangs[r.number] = g
	}
	g.members, g.on = append(g.members, r), append(g.on, w)
	end := func(how string) func() {
		return func() {
			f.mu.Lock()
			defer f.mu.Unlock()
			if how == "alone" && g.working {
				return
			}
			w.endRun(r, how)
		}
	}
	r.timer = time.AfterFunc(gangTimeout, end("alone"))
	if len(g.members) < f.gangSize || g.working {
		return
	}
	g.working = true
	time.AfterFunc(work, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		for _, m := range g.members {
			if !m.endedAt.IsZero() {
				return // the gang was broken
			}
		}
		for i, m := range g.members {
			g.on[i].endRun(m, "done")
		}
	})
}

// breakGang ends the other members of a gang that was at work when one of them ends. The lock must be held.
func (f *fleet) breakGang(r *run, how string) {
	g := f.gangs[r.number]
	if g == nil || !g.working || how == "done" || how == "broken" {
		return
	}
	for i, m := range g.members {
		if m != r {
			g.on[i].endRun(m, "broken")
		}
	}
}
