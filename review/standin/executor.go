package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"time"
)

// executor is one life of a machine. World.mu guards it.
type executor struct {
	world    *world
	id       string
	machine  *machine
	address  string
	bornAt   time.Time
	server   *http.Server
	sequence int
	token    int64
	leaseEnd int64 // on the executor's clock
	runs     map[string]*run
	highest  map[string]int64 // by task, the highest run that was stopped or has ended
	ends     []endRow
	lastEnd  int64
	changed  chan struct{} // closed and replaced when a run ends
}

// run is one run of a task on an executor.
type run struct {
	executor *executor
	task     string
	number   int64
	job      *jobInfo
	step     stepInfo
	started  time.Time
	// workSince is when the run began to work; zero while it waits.
	workSince time.Time
	// carried is the checkpoint of the start, and resumed the work that it stands for.
	carried string
	resumed time.Duration
	timers  []*time.Timer
}

// endRow is an end that is listed until it is taken note of.
type endRow struct {
	number int64
	task   string
	run    int64
	how    string
	saved  string
}

// gang holds the members of one run of a gang by task.
type gang struct{ members map[string]*run }

func (e *executor) clock() int64 { return time.Since(e.bornAt).Milliseconds() + 1000 }

// entry returns what the executor says of itself in the store.
func (e *executor) entry() []byte {
	data, err := json.Marshal(map[string]any{
		"service": e.machine.pool, "address": e.address, "zone": "z1", "version": "v1", "slots": 8, "state": "ready", "cold_remaining_ms": 0,
		"capacity": map[string]int{"cpu": coresMachine, "mem_mb": memoryMachine, "gpu": 0}, "labels": []string{e.machine.kind, e.machine.rack},
		"machine": e.machine.id, "born": e.bornAt.UnixMilli(), "clock_ms": e.clock(), "sequence": e.sequence,
	})
	if err != nil {
		return nil
	}
	return data
}

// list returns the runs, so that they can be ended one after the other.
func (e *executor) list() []*run {
	var runs []*run
	for _, r := range e.runs {
		runs = append(runs, r)
	}
	return runs
}

// order is the body of all calls to an executor.
type order struct {
	Task         string `json:"task"`
	Run          int64  `json:"run"`
	Spec         string `json:"spec"`
	DeadlineMS   int64  `json:"deadline_ms"`
	FencingToken int64  `json:"fencing_token"`
	LastSeen     int64  `json:"last_seen"`
	WaitMS       int64  `json:"wait_ms"`
	Checkpoint   string `json:"last_checkpoint"`
	Ticket       string `json:"ticket"`
}

// ServeHTTP implements http.Handler.
func (e *executor) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	var o order
	if json.NewDecoder(r.Body).Decode(&o) != nil {
		reply(rw, http.StatusBadRequest, map[string]any{})
		return
	}
	if target := r.Header.Get("X-Target-Instance"); target != "" && target != e.id {
		reply(rw, http.StatusMisdirectedRequest, map[string]any{})
		return
	}
	e.world.mu.Lock()
	defer e.world.mu.Unlock()
	if o.FencingToken < e.token {
		reply(rw, http.StatusConflict, map[string]any{"clock_ms": e.clock(), "reason": "fence"})
		return
	}
	e.token = o.FencingToken
	switch r.URL.Path {
	case "/api/run-start":
		reason := e.start(o)
		if reason == "" {
			reply(rw, http.StatusOK, map[string]any{"clock_ms": e.clock()})
			return
		}
		e.world.journal.logf("start %s run %d at %s by token %d: refused, %s", o.Task, o.Run, e.id, o.FencingToken, reason)
		reply(rw, http.StatusConflict, map[string]any{"clock_ms": e.clock(), "reason": reason})
	case "/api/run-stop":
		e.stop(o)
		reply(rw, http.StatusOK, map[string]any{"clock_ms": e.clock()})
	case "/api/hold":
		e.hold(rw, r, o)
	default:
		reply(rw, http.StatusOK, map[string]any{"clock_ms": e.clock()})
	}
}

// extend extends the lease, by maxHold at most.
func (e *executor) extend(deadline int64) {
	e.leaseEnd = max(e.leaseEnd, min(deadline, e.clock()+maxHold.Milliseconds()))
}

func runKey(task string, number int64) string { return task + "#" + strconv.FormatInt(number, 10) }

// start starts a run. It returns the reason of a refusal.
func (e *executor) start(o order) string {
	w := e.world
	job, step, known := w.stepOf(o.Task)
	switch {
	case o.DeadlineMS < e.clock():
		return "late"
	case e.highest[o.Task] >= o.Run:
		e.extend(o.DeadlineMS)
		return "old"
	case e.runs[runKey(o.Task, o.Run)] != nil:
		e.extend(o.DeadlineMS)
		return ""
	}
	if known && step.needsTicket {
		t := w.tickets[o.Ticket]
		if t.step != stepName(o.Task) || t.executor != e.id || time.Now().After(t.until) {
			return "ticket"
		}
	}
	e.extend(o.DeadlineMS)
	r := &run{executor: e, task: o.Task, number: o.Run, job: job, step: step, started: time.Now(), carried: o.Checkpoint}
	if len(o.Checkpoint) >= checkpointDigits {
		ms, _ := strconv.ParseInt(o.Checkpoint[:checkpointDigits], 16, 64) // checkpoints of other forms stand for no work
		r.resumed = time.Duration(ms) * time.Millisecond
	}
	w.journal.logf("start %s run %d at %s on %s by token %d, last_checkpoint %q", o.Task, o.Run, e.id, e.machine.id, o.FencingToken, o.Checkpoint)
	w.checkStart(r)
	e.runs[runKey(o.Task, o.Run)] = r
	if step.gang {
		w.joinGang(r)
		return ""
	}
	r.after(r.delay(), func() { w.work(r) })
	return ""
}

// checkpointDigits is the number of digits of a checkpoint that hold the work done, in milliseconds.
const checkpointDigits = 8

// delay returns the time from the start of a run until it works.
func (r *run) delay() time.Duration {
	switch {
	case r.step.lasting:
		return startupTime
	case r.carried != "":
		return restoreTime
	}
	return 0
}

// after calls f with world.mu held after d, unless the run has ended.
func (r *run) after(d time.Duration, f func()) {
	w := r.executor.world
	r.timers = append(r.timers, time.AfterFunc(d, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if r.executor.runs[runKey(r.task, r.number)] == r {
			f()
		}
	}))
}

// work lets a run work until its work is done.
func (w *world) work(r *run) {
	r.workSince = time.Now()
	*w.stateOf(r.task) = taskState{}
	if !r.step.lasting {
		r.after(max(0, r.workTime()-r.resumed), func() { w.end(r, "done") })
	}
}

// workTime returns how long the task of a run works.
func (r *run) workTime() time.Duration {
	index, _ := strconv.Atoi(r.task[len(stepName(r.task))+1:]) // executors refuse no name that the entries send
	return r.step.work + time.Duration(index)*r.step.spread
}

// joinGang adds a run to its gang, which works from the moment when all members with the same checkpoint are there.
func (w *world) joinGang(r *run) {
	name := stepName(r.task) + "#" + strconv.FormatInt(r.number, 10)
	g := w.gangs[name]
	if g == nil {
		g = &gang{members: map[string]*run{}}
		w.gangs[name] = g
	}
	g.members[r.task] = r
	r.after(gangTimeout, func() {
		if r.workSince.IsZero() {
			w.end(r, "alone")
		}
	})
	if len(g.members) < r.step.count {
		return
	}
	for _, other := range g.members {
		if other.carried != r.carried {
			w.journal.logf("gang %s does not form: members carry last_checkpoint %q and %q", name, r.carried, other.carried)
			return
		}
	}
	for _, member := range g.members {
		w.work(member)
	}
}

// saved returns the checkpoint of a run. A run produces one with each interval of work and, if it is being stopped, at the
// stop.
func (r *run) saved(stopping bool) string {
	if !r.step.checkpoints || r.workSince.IsZero() {
		return r.carried
	}
	done := r.resumed + time.Since(r.workSince)
	if !stopping {
		done -= (done - r.resumed) % checkpointInterval
	}
	if done <= r.resumed {
		return r.carried
	}
	return fmt.Sprintf("%08x%s", done.Milliseconds(), r.task[4:12])
}

// end ends a run.
func (w *world) end(r *run, how string) {
	e := r.executor
	if e.runs[runKey(r.task, r.number)] != r {
		return
	}
	for _, t := range r.timers {
		t.Stop()
	}
	saved := r.saved(how == "stopped")
	delete(e.runs, runKey(r.task, r.number))
	e.highest[r.task] = max(e.highest[r.task], r.number)
	e.lastEnd++
	e.ends = append(e.ends, endRow{number: e.lastEnd, task: r.task, run: r.number, how: how, saved: saved})
	close(e.changed)
	e.changed = make(chan struct{})
	w.journal.logf("end %s run %d at %s: %s, saved %q", r.task, r.number, e.id, how, saved)
	if state := w.stateOf(r.task); state.notAtWorkSince.IsZero() {
		state.notAtWorkSince = time.Now()
	}
	w.checkEnd(r, how)
	if !r.step.gang {
		return
	}
	name := stepName(r.task) + "#" + strconv.FormatInt(r.number, 10)
	g := w.gangs[name]
	delete(w.gangs, name)
	if g == nil {
		return
	}
	for _, other := range g.members {
		switch {
		case other == r:
		case how == "done":
			w.end(other, "done")
		default:
			w.end(other, "broken")
		}
	}
}

// stop stops a run. A run that is not there yet is refused later.
func (e *executor) stop(o order) {
	w := e.world
	w.journal.logf("stop %s run %d at %s by token %d", o.Task, o.Run, e.id, o.FencingToken)
	e.highest[o.Task] = max(e.highest[o.Task], o.Run)
	for _, r := range e.list() {
		if r.task != o.Task || r.number > o.Run {
			continue
		}
		w.checkStop(r)
		w.stateOf(r.task).stopped = true
		r.after(stopTime, func() { w.end(r, "stopped") })
	}
}

// hold renews the lease and returns both lists. It releases world.mu while it waits.
func (e *executor) hold(rw http.ResponseWriter, r *http.Request, o order) {
	if o.DeadlineMS > 0 {
		e.extend(o.DeadlineMS)
	}
	for len(e.ends) > 0 && e.ends[0].number <= o.LastSeen {
		e.world.note(e.ends[0])
		e.ends = e.ends[1:]
	}
	if len(e.ends) == 0 && o.WaitMS > 0 {
		changed := e.changed
		e.world.mu.Unlock()
		select {
		case <-changed:
		case <-time.After(time.Duration(o.WaitMS) * time.Millisecond):
		case <-r.Context().Done():
		}
		e.world.mu.Lock()
	}
	const maxEnds = 500
	running, ended := [][]any{}, [][]any{}
	for _, active := range e.runs {
		percent := 100
		if active.step.lasting && active.workSince.IsZero() {
			percent = 0
		}
		running = append(running, []any{active.task, active.number, active.saved(false), percent, 0})
	}
	for _, row := range e.ends[:min(len(e.ends), maxEnds)] {
		ended = append(ended, []any{row.number, row.task, row.run, row.how, row.saved})
	}
	reply(rw, http.StatusOK, map[string]any{"born": e.bornAt.UnixMilli(), "clock_ms": e.clock(), "running": running, "ended": ended})
}
