package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// maxHold is the longest lease, and stopTime how long a stop takes. Both are bounds of the settings.
	maxHold  = 10 * time.Second
	stopTime = 50 * time.Millisecond
	// heartbeatPeriod is the time between two writes of an executor to the store.
	heartbeatPeriod = 1500 * time.Millisecond
	leaseTick       = 20 * time.Millisecond
	maxWait         = 2 * time.Second
	maxListed       = 500
)

// activeRun is a run that is at work on an executor.
type activeRun struct {
	task  string
	run   int64
	began time.Time
	timer *time.Timer
}

// order is the body of any call to an executor.
type order struct {
	Task         string `json:"task"`
	Run          int64  `json:"run"`
	Spec         string `json:"spec"`
	DeadlineMS   int64  `json:"deadline_ms"`
	FencingToken int64  `json:"fencing_token"`
	LastSeen     int64  `json:"last_seen"`
	WaitMS       int64  `json:"wait_ms"`
}

// executor emulates an executor of the users' pages, over all of its incarnations.
type executor struct {
	id, machine, rack string
	service           string
	address           string
	bed               *bed

	mu       sync.Mutex
	kind     string
	server   *http.Server // nil while the executor is down
	born     time.Time
	sequence int64
	token    int64
	leaseEnd int64 // on the clock of the incarnation, in milliseconds
	runs     map[string]*activeRun
	highest  map[string]int64
	ends     [][]any
	lastEnd  int64
	changed  chan struct{}
}

// start begins an incarnation.
func (e *executor) start() error {
	listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", e.address)
	if err != nil {
		return err
	}
	e.mu.Lock()
	e.address = listener.Addr().String()
	e.born, e.sequence, e.token, e.leaseEnd, e.lastEnd = time.Now(), 0, 0, 0, 0
	e.runs, e.highest, e.ends, e.changed = map[string]*activeRun{}, map[string]int64{}, nil, make(chan struct{})
	e.server = &http.Server{Handler: e, ReadHeaderTimeout: time.Minute}
	server := e.server
	e.mu.Unlock()
	go func() { _ = server.Serve(listener) }()
	e.bed.rec.log("executor %s of %s begins at %s, born %d, kind %s", e.id, e.service, e.address, e.born.UnixMilli(), e.kind)
	return nil
}

// crash ends the incarnation at once, with everything that runs on it.
func (e *executor) crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.server == nil {
		return
	}
	_ = e.server.Close()
	e.server = nil
	e.bed.rec.log("executor %s crashes with %d runs", e.id, len(e.runs))
	for _, r := range e.runs {
		r.timer.Stop()
		e.bed.runEnded(e.id, r, "gone")
	}
	e.runs = map[string]*activeRun{}
}

// register writes the entry of the executor to the store.
func (e *executor) register() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.server == nil {
		return
	}
	e.sequence++
	entry, _ := json.Marshal(map[string]any{
		"service": e.service, "address": e.address, "zone": "z1", "version": "v1", "slots": 8, "state": "ready", "cold_remaining_ms": 0,
		"sequence": e.sequence, "capacity": map[string]int64{"cpu": 16000, "mem_mb": 65536, "gpu": 0},
		"labels": []string{e.kind, e.rack}, "machine": e.machine, "born": e.born.UnixMilli(),
	})
	e.bed.store.Put("keyed.servers", e.id, entry)
}

// written returns how often the incarnation has written to the store.
func (e *executor) written() int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.sequence
}

func (e *executor) clock() int64 { return time.Since(e.born).Milliseconds() + 1 }

// beat writes heartbeats and ends leases until the context ends.
func (e *executor) beat(ctx context.Context) {
	heartbeat, lease := time.NewTicker(heartbeatPeriod), time.NewTicker(leaseTick)
	defer heartbeat.Stop()
	defer lease.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-heartbeat.C:
			e.register()
		case <-lease.C:
			e.checkLease()
		}
	}
}

func (e *executor) checkLease() {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.server == nil || e.clock() <= e.leaseEnd {
		return
	}
	for _, r := range e.runs {
		e.end(r, "lapsed")
	}
}

// end ends a run and lists it. The caller holds mu.
func (e *executor) end(r *activeRun, how string) {
	if e.runs[r.task] != r {
		return
	}
	delete(e.runs, r.task)
	r.timer.Stop()
	e.highest[r.task] = max(e.highest[r.task], r.run)
	e.lastEnd++
	e.ends = append(e.ends, []any{e.lastEnd, r.task, r.run, how, ""})
	e.bed.runEnded(e.id, r, how)
	close(e.changed)
	e.changed = make(chan struct{})
}

// ServeHTTP implements http.Handler.
func (e *executor) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var o order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if r.Header.Get("X-Target-Instance") != e.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch r.URL.Path {
	case "/api/run-start":
		e.mu.Lock()
		reason := e.startRun(o)
		e.mu.Unlock()
		e.answer(w, reason)
	case "/api/run-stop":
		e.mu.Lock()
		reason := e.stopRun(o)
		e.mu.Unlock()
		e.answer(w, reason)
	case "/api/hold":
		e.hold(w, r, o)
	default:
		e.answer(w, "")
	}
}

// answer confirms an order, or refuses it for a reason.
func (e *executor) answer(w http.ResponseWriter, reason string) {
	body, status := map[string]any{"clock_ms": e.clock(), "born": e.born.UnixMilli()}, http.StatusOK
	if reason != "" {
		body["reason"], status = reason, http.StatusConflict
	}
	writeJSON(w, status, body)
}

// acceptToken reports whether an order is not fenced, and keeps its token. The caller holds mu.
func (e *executor) acceptToken(o order) bool {
	if o.FencingToken < e.token {
		return false
	}
	e.token = o.FencingToken
	return true
}

// extend extends the lease. The caller holds mu.
func (e *executor) extend(deadline int64) {
	e.leaseEnd = max(e.leaseEnd, min(deadline, e.clock()+maxHold.Milliseconds()))
}

// startRun starts a run, or returns the reason for which it is refused. The caller holds mu.
func (e *executor) startRun(o order) string {
	switch {
	case !e.acceptToken(o):
		return "fence"
	case o.DeadlineMS < e.clock():
		return "late"
	}
	e.extend(o.DeadlineMS)
	if r := e.runs[o.Task]; r != nil && r.run == o.Run {
		return ""
	}
	if o.Run <= e.highest[o.Task] {
		return "old"
	}
	if earlier := e.runs[o.Task]; earlier != nil {
		return "old"
	}
	duration, fails := parseSpec(o.Spec)
	started := &activeRun{task: o.Task, run: o.Run, began: time.Now()}
	how := "done"
	if fails {
		how = "failed"
	}
	started.timer = time.AfterFunc(duration, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.end(started, how)
	})
	e.runs[o.Task] = started
	e.bed.runStarted(e, started, o)
	return ""
}

// stopRun stops a run. The caller holds mu.
func (e *executor) stopRun(o order) string {
	if !e.acceptToken(o) {
		return "fence"
	}
	e.highest[o.Task] = max(e.highest[o.Task], o.Run)
	if r := e.runs[o.Task]; r != nil && r.run <= o.Run {
		time.AfterFunc(stopTime, func() {
			e.mu.Lock()
			defer e.mu.Unlock()
			e.end(r, "stopped")
		})
	}
	return ""
}

// hold extends the lease, forgets ends that were seen, and lists what runs and what has ended.
func (e *executor) hold(w http.ResponseWriter, r *http.Request, o order) {
	e.mu.Lock()
	if !e.acceptToken(o) {
		e.mu.Unlock()
		e.answer(w, "fence")
		return
	}
	if o.DeadlineMS > 0 {
		e.extend(o.DeadlineMS)
	}
	for len(e.ends) > 0 && e.ends[0][0].(int64) <= o.LastSeen {
		e.bed.rec.log("executor %s: the end of %s run %d (%s) is taken note of", e.id, e.ends[0][1], e.ends[0][2], e.ends[0][3])
		e.ends = e.ends[1:]
	}
	if len(e.ends) == 0 && o.WaitMS > 0 {
		changed := e.changed
		e.mu.Unlock()
		select {
		case <-changed:
		case <-time.After(min(time.Duration(o.WaitMS)*time.Millisecond, maxWait)):
		case <-r.Context().Done():
			return
		}
		e.mu.Lock()
	}
	running := [][]any{}
	for _, active := range e.runs {
		running = append(running, []any{active.task, active.run, "", 100, 0})
	}
	ended := append([][]any{}, e.ends[:min(len(e.ends), maxListed)]...)
	body := map[string]any{"clock_ms": e.clock(), "born": e.born.UnixMilli(), "running": running, "ended": ended}
	e.mu.Unlock()
	writeJSON(w, http.StatusOK, body)
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data)
}

// parseSpec reads a specification such as "ms=1500" or "ms=200 fails".
func parseSpec(spec string) (time.Duration, bool) {
	text, rest, _ := strings.Cut(strings.TrimPrefix(spec, "ms="), " ")
	ms, err := strconv.Atoi(text)
	if err != nil {
		return 0, false
	}
	return time.Duration(ms) * time.Millisecond, rest == "fails"
}

// String implements fmt.Stringer.
func (e *executor) String() string { return fmt.Sprintf("%s (%s)", e.id, e.machine) }
