package simulation

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"time"

	"hibiscuslane.example/hibiscuslane/history"
)

// Times of workers and machines.
const (
	maxLease = 6 * time.Second
	// expiryAfter is how long the entry of a worker lasts that cannot reach the store.
	expiryAfter  = 1500 * time.Millisecond
	workerCPU    = 4000 // thousandths of a core
	taskCPU      = 1000
	offlineTime  = time.Second
	registerTime = 100 * time.Millisecond // from the start of a worker to its registration
)

// worker is one incarnation of a worker. Package standin/fabric has one with sockets and the clock of the system.
type worker struct {
	world         *world
	id            string
	machine       string
	pool          string
	cpu           int // thousandths of a core
	startedAt     time.Time
	token         int64
	leaseEnd      int64 // on the clock of the worker, in milliseconds
	runs          []*run
	ends          []runEnd
	lastEnd       int64
	endsAtExpiry  int64 // the last end when the lease last ended runs
	highestRun    map[string]int64
	waiting       []*waitingReport
	hasEnded      bool
	isRegistered  bool
	unreachableAt time.Time // since when it cannot reach the store; zero if it can
	// closeSeen is set once entries know that the incarnation has ended; world.mu guards it.
	closeSeen bool
}

type run struct {
	task   string
	number int64
}

// runEnd is an end that is not acknowledged.
type runEnd struct {
	number int64
	task   string
	run    int64
	cause  string
}

// waitingReport is a renewal that waits for an end.
type waitingReport struct {
	call *call
	done bool
}

// order is the body of all calls to a worker.
type order struct {
	Task         string `json:"task"`
	Run          int64  `json:"run"`
	Spec         string `json:"spec"`
	DeadlineMS   int64  `json:"deadline_ms"`
	FencingToken int64  `json:"fencing_token"`
	LastSeen     int64  `json:"last_seen"`
	WaitMS       int64  `json:"wait_ms"`
}

func (w *worker) host() string { return "worker-" + w.id }

func (w *worker) clock() int64 { return w.world.now.Sub(w.startedAt).Milliseconds() }

func (w *worker) record(e history.Event) {
	e.Process = history.Process(w.id)
	w.world.record(e)
}

// startWorker starts an incarnation of a worker on a machine.
func (w *world) startWorker(id string, m *machine) {
	k := &worker{world: w, id: id, machine: m.id, pool: m.pool, cpu: m.cpu, startedAt: w.now, highestRun: map[string]int64{}}
	w.workers[m.id] = k
	k.record(history.Event{Kind: history.KindBoot, Machine: m.id, Pool: m.pool})
	w.after(registerTime, k.register)
}

// register writes the entry of the worker.
func (w *worker) register() {
	if w.hasEnded || !w.unreachableAt.IsZero() {
		return
	}
	w.isRegistered = true
	w.world.store.Put("keyed.servers", w.id, fmt.Appendf(nil, `{"service":%q,"address":"%s:1","zone":"z1","state":"ready","capacity":{"cpu":%d,"mem_mb":65536,"gpu":0},"labels":["a","r1-1"],"machine":%q,"born":%d}`,
		w.pool, w.host(), w.cpu, w.machine, w.startedAt.UnixMilli()))
	w.world.storeChanged = true
}

// end ends the incarnation and all its runs at once.
func (w *worker) end() {
	w.hasEnded = true
	w.runs = nil
	w.record(history.Event{Kind: history.KindGone, Machine: w.machine})
	// The end of its connections shows after a tick, unless the worker is cut off then.
	w.world.after(tick, func() {
		if w.world.faultOn(&call{to: w.host()}) != nil {
			w.world.after(maxLasts*time.Millisecond, w.showClose)
			return
		}
		w.showClose()
	})
}

func (w *worker) showClose() {
	w.world.mu.Lock()
	w.closeSeen = true
	w.world.mu.Unlock()
	for _, r := range w.waiting {
		if !r.done {
			r.done = true
			w.world.answer(r.call, response{err: errReset})
		}
	}
}

// serveWorker lets a call arrive at the worker that has its address now.
func (w *world) serveWorker(c *call) {
	var current *worker
	for _, k := range w.workers {
		if k.host() == c.to && !k.hasEnded {
			current = k
		}
	}
	switch {
	case c.uri == pathConnect && current == nil:
		w.answer(c, response{err: errRefused})
	case c.uri == pathConnect:
		w.answer(c, response{conn: &connection{entry: c.from, worker: current}})
	case c.conn != nil && c.conn.worker.hasEnded:
		w.answer(c, response{err: errReset})
	case c.conn != nil:
		c.conn.worker.serve(c)
	case current == nil:
		w.answer(c, response{err: errRefused})
	default:
		current.serve(c)
	}
}

// serve carries out a call.
func (w *worker) serve(c *call) {
	var o order
	if json.Unmarshal(c.body, &o) != nil {
		w.world.answer(c, response{status: http.StatusBadRequest})
		return
	}
	if o.FencingToken < w.token {
		w.refuse(c, "fence")
		return
	}
	w.token = o.FencingToken
	switch c.uri {
	case "/api/run-start":
		if reason := w.start(c, o); reason != "" {
			w.refuse(c, reason)
			return
		}
		w.confirm(c)
	case "/api/run-stop":
		w.stop(o)
		w.confirm(c)
	case "/api/hold":
		w.report(c, o)
	default:
		w.confirm(c)
	}
}

func (w *worker) confirm(c *call) {
	w.world.answer(c, response{status: http.StatusOK, body: fmt.Appendf(nil, `{"clock_ms":%d}`, w.clock())})
}

func (w *worker) refuse(c *call, reason string) {
	w.world.answer(c, response{status: http.StatusConflict, body: fmt.Appendf(nil, `{"clock_ms":%d,"reason":%q}`, w.clock(), reason)})
}

// start starts a run, or returns why it does not.
func (w *worker) start(c *call, o order) string {
	switch {
	case o.DeadlineMS < w.clock():
		return "late"
	case w.highestRun[o.Task] >= o.Run:
		return "old"
	case slices.ContainsFunc(w.runs, func(r *run) bool { return r.task == o.Task }):
		return "" // confirmed without effect
	}
	w.extendLease(o.DeadlineMS)
	r := &run{task: o.Task, number: o.Run}
	w.runs = append(w.runs, r)
	w.record(history.Event{Kind: history.KindStart, Task: o.Task, Run: o.Run, Token: o.FencingToken, Late: w.world.now.Sub(c.sentAt) > lateAfter})
	var cpu, takes int64
	if _, err := fmt.Sscanf(o.Spec, "%d %d", &cpu, &takes); err == nil {
		w.world.after(time.Duration(takes)*time.Millisecond, func() { w.endRun(r, "done") })
	}
	return ""
}

// extendLease extends the lease to a deadline, as far as the longest lease allows.
func (w *worker) extendLease(deadline int64) {
	w.leaseEnd = max(w.leaseEnd, min(deadline, w.clock()+maxLease.Milliseconds()))
}

func (w *worker) stop(o order) {
	w.highestRun[o.Task] = max(w.highestRun[o.Task], o.Run)
	for _, r := range slices.Clone(w.runs) {
		if r.task == o.Task && r.number <= o.Run {
			w.endRun(r, "stopped")
		}
	}
}

// endRun ends a run, unless it has ended, and reports it.
func (w *worker) endRun(r *run, cause string) {
	i := slices.Index(w.runs, r)
	if i < 0 || w.hasEnded {
		return
	}
	w.runs = slices.Delete(w.runs, i, i+1)
	w.highestRun[r.task] = max(w.highestRun[r.task], r.number)
	w.lastEnd++
	w.ends = append(w.ends, runEnd{number: w.lastEnd, task: r.task, run: r.number, cause: cause})
	w.record(history.Event{Kind: history.KindEnd, Task: r.task, Run: r.number, Cause: history.Cause(cause)})
	for _, waiting := range w.waiting {
		w.answerReport(waiting)
	}
	w.waiting = nil
}

// expire ends the runs if the lease has expired.
func (w *worker) expire() {
	if len(w.runs) == 0 || w.clock() < w.leaseEnd {
		return
	}
	for _, r := range slices.Clone(w.runs) {
		w.endRun(r, "lapsed")
	}
	w.endsAtExpiry = w.lastEnd
}

// report renews the lease and answers at once, or when a run ends.
func (w *worker) report(c *call, o order) {
	if o.DeadlineMS > 0 {
		w.extendLease(o.DeadlineMS)
	}
	for len(w.ends) > 0 && w.ends[0].number <= o.LastSeen {
		end := w.ends[0]
		w.ends = w.ends[1:]
		w.record(history.Event{Kind: history.KindAcked, Task: end.task, Run: end.run, Cause: history.Cause(end.cause), Excused: end.number <= w.endsAtExpiry})
	}
	waiting := &waitingReport{call: c}
	if len(w.ends) > 0 || o.WaitMS == 0 {
		w.answerReport(waiting)
		return
	}
	w.waiting = append(w.waiting, waiting)
	w.world.after(time.Duration(o.WaitMS)*time.Millisecond, func() { w.answerReport(waiting) })
}

func (w *worker) answerReport(waiting *waitingReport) {
	if waiting.done || w.hasEnded {
		return
	}
	waiting.done = true
	running, ended := [][]any{}, [][]any{}
	for _, r := range w.runs {
		running = append(running, []any{r.task, r.number, "", 100, 0})
	}
	for _, e := range w.ends {
		ended = append(ended, []any{e.number, e.task, e.run, e.cause, ""})
	}
	body, err := json.Marshal(map[string]any{"born": w.startedAt.UnixMilli(), "clock_ms": w.clock(), "running": running, "ended": ended})
	if err != nil {
		w.world.answer(waiting.call, response{status: http.StatusInternalServerError})
		return
	}
	w.world.answer(waiting.call, response{status: http.StatusOK, body: body})
}
