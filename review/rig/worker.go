package main

import (
	"context"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Times of the workers, as the settings name them.
const (
	maxHold            = 10 * time.Second
	maxReportWait      = 2 * time.Second
	stopTime           = 50 * time.Millisecond
	checkpointInterval = 2 * time.Second
	heartbeatInterval  = 1500 * time.Millisecond
	leaseCheckInterval = 10 * time.Millisecond
	maxListedEnds      = 500
	maxLoggedLists     = 3
)

// fleet holds the workers of one pool and what has run on them.
type fleet struct {
	rec   *record
	store *store
	pool  string
	quit  chan struct{}

	mu      sync.Mutex
	workers []*worker
	runs    []*run
	// gangJob is the job whose tasks are a gang of gangSize, and gangs holds its runs by number.
	gangJob  string
	gangSize int
	gangs    map[int64]*gang
}

// run is a run of a task on a worker. Its fields are guarded by fleet.mu.
type run struct {
	task   string
	number int64
	worker string
	born   int64
	cpu    int
	// startedAt and endedAt are when the run began and ended, notedAt when the end was taken note of; zero if not.
	startedAt, endedAt, notedAt time.Time
	// how is the cause of the end; "crash" if the worker ended.
	how string
	// number of the end at its incarnation.
	end int64
	// checkpoint is the one with which the run was started, and saves is set if it saves new ones.
	checkpoint string
	saves      bool
	timer      *time.Timer
	// isLate is set if the order was carried out late.
	isLate bool
}

// worker is one machine of the pool with the incarnation that runs there, if any.
type worker struct {
	fleet       *fleet
	id, machine string
	address     string
	cpu         int

	// The fields below are guarded by fleet.mu.
	born     int64
	bornAt   time.Time
	up       bool
	server   *http.Server
	sequence int
	token    int64
	leaseEnd time.Time
	lastEnd  int64
	active   []*run
	ended    []*run
	// highest is the highest run of each task that was stopped here or has ended here.
	highest map[string]int64
	changed chan struct{}
	// lateStarts is the number of upcoming starts that get no answer and are carried out lateBy later.
	lateStarts int
	lateBy     time.Duration
	// lapses are the times at which the lease of the worker has run out.
	lapses    []time.Time
	longLists int
	isLapsed  bool
}

// order is the body of a call to a worker.
type order struct {
	Task         string `json:"task"`
	Run          int64  `json:"run"`
	Spec         string `json:"spec"`
	DeadlineMS   int64  `json:"deadline_ms"`
	FencingToken int64  `json:"fencing_token"`
	LastSeen     int64  `json:"last_seen"`
	WaitMS       int64  `json:"wait_ms"`
	Checkpoint   string `json:"last_checkpoint"`
}

func newFleet(rec *record, s *store, pool string) *fleet {
	f := &fleet{rec: rec, store: s, pool: pool, quit: make(chan struct{})}
	go f.watch()
	return f
}

// watch expires leases and writes the registrations until the fleet is closed.
func (f *fleet) watch() {
	beats := time.Now()
	for {
		select {
		case <-f.quit:
			return
		case <-time.After(leaseCheckInterval):
		}
		beat := time.Since(beats) > heartbeatInterval
		if beat {
			beats = time.Now()
		}
		f.mu.Lock()
		for _, w := range f.workers {
			w.expireLease()
			if beat && w.up {
				w.register()
			}
		}
		f.mu.Unlock()
	}
}

// addWorker starts a worker on a new machine.
func (f *fleet) addWorker(cpu int) (*worker, error) {
	addresses, err := freeAddresses(loopback, 1)
	if err != nil {
		return nil, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	n := len(f.workers) + 1
	w := &worker{fleet: f, id: fmt.Sprintf("i-%010d", n), machine: fmt.Sprintf("m-%04d", n), address: addresses[0], cpu: cpu}
	f.workers = append(f.workers, w)
	return w, w.start()
}

// start starts an incarnation. The lock must be held.
func (w *worker) start() error {
	var config net.ListenConfig
	listener, err := config.Listen(context.Background(), "tcp", w.address)
	if err != nil {
		return err
	}
	w.bornAt = time.Now()
	w.born = w.bornAt.UnixMilli()
	w.up, w.token, w.lastEnd, w.active, w.ended, w.sequence = true, 0, 0, nil, nil, 0
	w.leaseEnd = w.bornAt
	w.highest = map[string]int64{}
	w.changed = make(chan struct{})
	born := w.born
	w.server = &http.Server{Handler: http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) { w.serve(rw, r, born) }), ReadHeaderTimeout: time.Minute}
	go func(s *http.Server) { _ = s.Serve(listener) }(w.server)
	w.fleet.rec.add("worker %s starts (born %d)", w.id, w.born)
	w.register()
	return nil
}

// register writes the registration. The lock must be held.
func (w *worker) register() {
	w.sequence++
	data, _ := json.Marshal(map[string]any{
		"service": w.fleet.pool, "address": w.address, "zone": "z1", "version": "v1", "slots": 8, "state": "ready", "cold_remaining_ms": 0,
		"sequence": w.sequence, "machine": w.machine, "born": w.born, "capacity": w.capacity(), "labels": w.labels(),
	})
	w.fleet.store.put("keyed.servers", w.id, data)
}

func (w *worker) capacity() map[string]int {
	return map[string]int{"cpu": w.cpu, "mem_mb": 65536, "gpu": 0}
}

func (w *worker) labels() []string { return []string{"a", "r1-1"} }

// crash ends the worker and its runs at once and starts it again, with the same id, after d.
func (w *worker) crash(d time.Duration) {
	f := w.fleet
	f.mu.Lock()
	defer f.mu.Unlock()
	w.up = false
	for _, r := range w.active {
		r.endedAt, r.how = time.Now(), "crash"
		if r.timer != nil {
			r.timer.Stop()
		}
	}
	f.rec.add("worker %s crashes with %d runs, and is back after %s", w.id, len(w.active), d)
	w.active, w.ended = nil, nil
	server := w.server
	go func() { _ = server.Close() }()
	time.AfterFunc(d, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		if err := w.start(); err != nil {
			f.rec.add("worker %s does not start again: %v", w.id, err)
		}
	})
}

func (w *worker) clockMS() int64 { return time.Since(w.bornAt).Milliseconds() }

// serve answers one call to the incarnation that was born at the given time.
func (w *worker) serve(rw http.ResponseWriter, r *http.Request, born int64) {
	var o order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	if r.Header.Get("X-Target-Instance") != w.id {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if r.URL.Path == "/api/hold" {
		w.serveHold(rw, r, o, born)
		return
	}
	f := w.fleet
	f.mu.Lock()
	if w.born != born || !w.up {
		f.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	reason := ""
	switch r.URL.Path {
	case "/api/run-start":
		if w.lateStarts > 0 {
			w.lateStarts--
			f.mu.Unlock()
			w.carryOutLate(o)
			<-r.Context().Done()
			return
		}
		reason = w.startRun(o, false)
	case "/api/run-stop":
		reason = w.stopRun(o)
	}
	clock := w.clockMS()
	f.mu.Unlock()
	if reason != "" {
		writeJSON(rw, http.StatusConflict, map[string]any{"clock_ms": clock, "born": born, "reason": reason})
		return
	}
	writeJSON(rw, http.StatusOK, map[string]any{"clock_ms": clock, "born": born})
}

// carryOutLate carries out a start later, on the incarnation that the worker has then.
func (w *worker) carryOutLate(o order) {
	f := w.fleet
	f.rec.add("worker %s leaves the start of %s run %d without an answer and carries it out after %s", w.id, o.Task, o.Run, w.lateBy)
	time.AfterFunc(w.lateBy, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		if w.up {
			f.rec.add("worker %s carries out the late start of %s run %d: %q", w.id, o.Task, o.Run, w.startRun(o, true))
		}
	})
}

// extendLease takes the deadline of an order. The lock must be held.
func (w *worker) extendLease(deadlineMS int64) {
	end := w.bornAt.Add(time.Duration(deadlineMS) * time.Millisecond)
	if latest := time.Now().Add(maxHold); end.After(latest) {
		end = latest
	}
	if end.After(w.leaseEnd) {
		w.leaseEnd = end
	}
}

// startRun starts a run and returns the reason if it refuses. The lock must be held.
func (w *worker) startRun(o order, isLate bool) string {
	if o.FencingToken < w.token {
		return "fence"
	}
	w.token = o.FencingToken
	if o.DeadlineMS < w.clockMS() {
		return "late"
	}
	w.extendLease(o.DeadlineMS)
	if w.highest[o.Task] >= o.Run {
		return "old"
	}
	for _, r := range w.active {
		if r.task == o.Task && r.number == o.Run {
			return ""
		}
	}
	r := &run{task: o.Task, number: o.Run, worker: w.id, born: w.born, startedAt: time.Now(), checkpoint: o.Checkpoint, saves: strings.HasSuffix(o.Spec, savesWord), isLate: isLate}
	w.active = append(w.active, r)
	w.fleet.runs = append(w.fleet.runs, r)
	w.fleet.rec.add("run %s %d starts on %s, order with token %d", r.task, r.number, w.id, o.FencingToken)
	if f := w.fleet; f.gangJob != "" && strings.HasPrefix(o.Task, f.gangJob) {
		f.joinGang(w, r, durationOf(o.Task, o.Spec))
		return ""
	}
	r.timer = time.AfterFunc(durationOf(o.Task, o.Spec), func() {
		w.fleet.mu.Lock()
		defer w.fleet.mu.Unlock()
		w.endRun(r, "done")
	})
	return ""
}

// durationOf returns how long a task runs: the specification of its job names the least and the greatest time in
// milliseconds, between which the tasks of a step are spread by their index.
func durationOf(task, spec string) time.Duration {
	const spread, stride = 1000, 619
	words := strings.Fields(spec)
	parts := strings.Split(task, ".")
	if len(words) < 2 || len(parts) < 4 {
		return time.Second
	}
	low, _ := strconv.Atoi(words[0])
	high, _ := strconv.Atoi(words[1])
	index, _ := strconv.Atoi(parts[3])
	return time.Duration(low+(high-low)*(index*stride%spread)/spread) * time.Millisecond
}

// stopRun stops a run. The lock must be held.
func (w *worker) stopRun(o order) string {
	if o.FencingToken < w.token {
		return "fence"
	}
	w.token = o.FencingToken
	w.highest[o.Task] = max(w.highest[o.Task], o.Run)
	for _, r := range w.active {
		if r.task == o.Task && r.number <= o.Run {
			time.AfterFunc(stopTime, func() {
				w.fleet.mu.Lock()
				defer w.fleet.mu.Unlock()
				w.endRun(r, "stopped")
			})
		}
	}
	return ""
}

// endRun ends a run that is still active and lists its end. The lock must be held.
func (w *worker) endRun(r *run, how string) {
	index := -1
	for i, other := range w.active {
		if other == r {
			index = i
		}
	}
	if index < 0 {
		return
	}
	w.active = append(w.active[:index:index], w.active[index+1:]...)
	r.timer.Stop()
	w.lastEnd++
	r.end, r.endedAt, r.how = w.lastEnd, time.Now(), how
	w.highest[r.task] = max(w.highest[r.task], r.number)
	w.ended = append(w.ended, r)
	w.fleet.rec.add("run %s %d on %s ends: %s", r.task, r.number, w.id, how)
	close(w.changed)
	w.changed = make(chan struct{})
	if w.fleet.gangs != nil && strings.HasPrefix(r.task, w.fleet.gangJob) {
		w.fleet.breakGang(r, how)
	}
}

// expireLease ends all runs once the lease has expired. The lock must be held.
func (w *worker) expireLease() {
	if !w.up || time.Now().Before(w.leaseEnd) {
		w.isLapsed = false
		return
	}
	if !w.isLapsed {
		w.isLapsed = true
		w.lapses = append(w.lapses, time.Now())
	}
	for len(w.active) > 0 {
		w.endRun(w.active[0], "lapsed")
	}
}

// serveHold takes note of ends, extends the lease and lists what runs and what has ended.
func (w *worker) serveHold(rw http.ResponseWriter, r *http.Request, o order, born int64) {
	f := w.fleet
	f.mu.Lock()
	if w.born != born || !w.up {
		f.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	if o.FencingToken < w.token {
		clock := w.clockMS()
		f.mu.Unlock()
		writeJSON(rw, http.StatusConflict, map[string]any{"clock_ms": clock, "born": born, "reason": "fence"})
		return
	}
	w.token = o.FencingToken
	if o.DeadlineMS > 0 {
		w.extendLease(o.DeadlineMS)
	}
	for len(w.ended) > 0 && w.ended[0].end <= o.LastSeen {
		w.ended[0].notedAt = time.Now()
		w.ended = w.ended[1:]
	}
	if len(w.ended) == 0 && o.WaitMS > 0 {
		changed := w.changed
		f.mu.Unlock()
		select {
		case <-changed:
		case <-time.After(min(time.Duration(o.WaitMS)*time.Millisecond, maxReportWait)):
		case <-r.Context().Done():
			return
		}
		f.mu.Lock()
	}
	if w.born != born || !w.up {
		f.mu.Unlock()
		panic(http.ErrAbortHandler)
	}
	body := w.report()
	f.mu.Unlock()
	writeJSON(rw, http.StatusOK, body)
}

// report returns the lists of runs. The lock must be held.
func (w *worker) report() map[string]any {
	running, ended := [][]any{}, [][]any{}
	for _, r := range w.active {
		running = append(running, []any{r.task, r.number, r.saved(), 100, float64(r.cpu)})
	}
	for _, r := range w.ended[:min(len(w.ended), maxListedEnds)] {
		ended = append(ended, []any{r.end, r.task, r.number, r.how, r.saved()})
	}
	if len(w.ended) > maxListedEnds && w.longLists < maxLoggedLists {
		w.longLists++
		w.fleet.rec.add("worker %s lists %d of %d ends and %d running", w.id, len(ended), len(w.ended), len(running))
	}
	return map[string]any{"clock_ms": w.clockMS(), "born": w.born, "running": running, "ended": ended}
}

// savesWord in the specification of a job means that its tasks save checkpoints.
const savesWord = "saves"

// saved returns the checkpoint of a run, a new one for each checkpointInterval of its work.
func (r *run) saved() string {
	if !r.saves || r.how == "done" {
		return ""
	}
	n := int64(time.Since(r.startedAt) / checkpointInterval)
	if n == 0 {
		return r.checkpoint
	}
	hash := fnv.New64a()
	_, _ = fmt.Fprint(hash, r.task, r.number, n)
	return fmt.Sprintf("%016x", hash.Sum64())
}

// allRuns returns copies of all runs, in the order of their starts.
func (f *fleet) allRuns() []run {
	f.mu.Lock()
	defer f.mu.Unlock()
	list := make([]run, 0, len(f.runs))
	for _, r := range f.runs {
		list = append(list, *r)
	}
	return list
}

// workerOf returns the worker on which a task is at work, or nil.
func (f *fleet) workerOf(task string) *worker {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, w := range f.workers {
		for _, r := range w.active {
			if r.task == task {
				return w
			}
		}
	}
	return nil
}

// lapses returns the times at which the leases of the workers ran out, by worker.
func (f *fleet) lapses() map[string][]time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	lapses := map[string][]time.Time{}
	for _, w := range f.workers {
		lapses[w.id] = append(lapses[w.id], w.lapses...)
	}
	return lapses
}

func (f *fleet) close() { close(f.quit) }

// ServeHTTP serves the list of machines. No case needs a move or maintenance, which are refused.
func (f *fleet) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/api/machines" {
		writeJSON(rw, http.StatusConflict, map[string]string{"reason": "busy"})
		return
	}
	f.mu.Lock()
	list := []map[string]any{}
	for _, w := range f.workers {
		state, id := "up", w.id
		if !w.up {
			state, id = "down", ""
		}
		list = append(list, map[string]any{"machine": w.machine, "pool": f.pool, "state": state, "zone": "z1", "labels": w.labels(), "capacity": w.capacity(), "id": id})
	}
	f.mu.Unlock()
	writeJSON(rw, http.StatusOK, map[string]any{"machines": list, "next_page_token": ""})
}
