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

// Figures of a small deployment, as in DEPLOY.md.
const (
	heartbeat          = 1500 * time.Millisecond
	silentBeats        = 3
	maxHold            = 10 * time.Second
	stopTime           = 50 * time.Millisecond // at most stop_timeout_ms, 200 ms
	gangTimeout        = 3 * time.Second
	checkpointInterval = 2 * time.Second
	restoreTime        = 100 * time.Millisecond
	moveTime           = 1500 * time.Millisecond
	maintenanceTime    = 2 * time.Second
	contactTime        = 3 * time.Second
	cancelTime         = 3 * time.Second
	noticeTime         = 4500 * time.Millisecond
	finishTime         = 14 * time.Second
	startupTime        = 700 * time.Millisecond // of a task that lasts
	ticketValidity     = 3 * time.Second
	decideTime         = 5 * time.Millisecond
	worldTick          = 20 * time.Millisecond
	coresMachine       = 16000 // thousandths of a core
	memoryMachine      = 65536 // MB
)

// stepInfo is what the executors know about a step of a job that was handed in.
type stepInfo struct {
	count int
	// work is how long task 0 works; each further task works spread longer than the one before.
	work, spread time.Duration
	lasting      bool
	mayMiss      int
	gang         bool
	checkpoints  bool
	needsTicket  bool
	cpu          int
}

type jobInfo struct {
	steps []stepInfo
	// cancelledAt is when a client got the acknowledgement of its cancelling; zero before.
	cancelledAt time.Time
}

// world holds the executors and machines of the platform. All methods that are not exported as handlers expect the
// caller to hold mu unless they say otherwise.
type world struct {
	journal *journal
	store   *store

	mu        sync.Mutex
	machines  []*machine
	live      map[string]*executor // by id
	lastBeat  map[string]time.Time // by id, of all entries in the store
	jobs      map[string]*jobInfo
	gangs     map[string]*gang
	tickets   map[string]ticket
	taskState map[string]*taskState
	lastID    int
	// doneRuns holds by task the runs that have ended done: false, or true once the task was started again.
	doneRuns map[string]map[int64]bool
	// noted holds the tasks of which an end done was taken note of, lapsed the runs of which the end was not before the
	// lease of its executor lapsed.
	noted, lapsed map[string]bool
	// calmSince is when the last disruption by the script ended.
	calmSince time.Time
	// rule is the name of the rule under test.
	rule string
}

type ticket struct {
	step, executor string
	until          time.Time
}

// taskState is what the platform has seen of a task.
type taskState struct {
	// notAtWorkSince is when the task was last seen to stop working; zero while it is at work.
	notAtWorkSince time.Time
	// stopped is set while the task is away because an order has ended it.
	stopped bool
}

type machine struct {
	id, rack, kind, pool, state string
	executor                    *executor
}

func newWorld(j *journal, s *store, rule string) *world {
	w := &world{
		journal: j, store: s, rule: rule, live: map[string]*executor{}, lastBeat: map[string]time.Time{}, jobs: map[string]*jobInfo{},
		gangs: map[string]*gang{}, tickets: map[string]ticket{}, taskState: map[string]*taskState{},
		doneRuns: map[string]map[int64]bool{}, noted: map[string]bool{}, lapsed: map[string]bool{},
	}
	go w.tick()
	return w
}

// addMachines adds machines with an executor each to a pool. It locks mu.
func (w *world) addMachines(pool string, count int) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	for range count {
		n := len(w.machines) + 1
		m := &machine{id: fmt.Sprintf("m-%d", n), rack: fmt.Sprintf("r1-%d", (n+3)/4), kind: "a", pool: pool, state: "up"}
		w.machines = append(w.machines, m)
		if err := w.startNew(m); err != nil {
			return err
		}
	}
	return nil
}

// startNew starts an executor on a machine under a new id.
func (w *world) startNew(m *machine) error {
	w.lastID++
	return w.startExecutor(m, fmt.Sprintf("i-%04x", w.lastID), "127.0.0.1:0")
}

// startExecutor starts an executor on a machine.
func (w *world) startExecutor(m *machine, id, address string) error {
	listener, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", address)
	if err != nil {
		return err
	}
	e := &executor{
		world: w, id: id, machine: m, address: listener.Addr().String(), bornAt: time.Now(),
		runs: map[string]*run{}, highest: map[string]int64{}, changed: make(chan struct{}),
	}
	e.server = &http.Server{Handler: e, ReadHeaderTimeout: time.Second}
	m.executor, m.state = e, "up"
	w.live[id] = e
	go func() { _ = e.server.Serve(listener) }() // ends when the executor does
	w.beat(e)
	w.journal.logf("executor %s starts on %s (%s) at %s", id, m.id, m.pool, e.address)
	return nil
}

// beat writes the entry of an executor.
func (w *world) beat(e *executor) {
	e.sequence++
	w.lastBeat[e.id] = time.Now()
	w.store.put("keyed.servers", e.id, e.entry())
}

// tick writes heartbeats, drops the entries of silent executors and ends what runs without a lease. It locks mu.
func (w *world) tick() {
	for {
		time.Sleep(worldTick)
		w.mu.Lock()
		now := time.Now()
		for id, at := range w.lastBeat {
			e := w.live[id]
			switch {
			case e != nil && now.Sub(at) >= heartbeat:
				w.beat(e)
			case e == nil && now.Sub(at) >= silentBeats*heartbeat:
				delete(w.lastBeat, id)
				w.store.put("keyed.servers", id, nil)
			}
		}
		for _, e := range w.live {
			if e.clock() <= e.leaseEnd {
				continue
			}
			for _, r := range e.list() {
				w.end(r, "lapsed")
			}
			for _, ended := range e.ends {
				w.lapsed[runKey(ended.task, ended.run)] = true
			}
		}
		w.mu.Unlock()
	}
}

// gone ends an executor and everything that runs on it.
func (w *world) gone(e *executor, why string) {
	w.journal.logf("executor %s on %s ends: %s", e.id, e.machine.id, why)
	delete(w.live, e.id)
	e.machine.executor = nil
	for _, r := range e.list() {
		w.end(r, "gone")
	}
	_ = e.server.Close() // the connections of a crashed process are reset
}

// crash ends the executor of a machine and starts another one after d. It locks mu.
func (w *world) crash(m *machine, d time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if m.executor == nil {
		return
	}
	m.state = "down"
	w.gone(m.executor, "crash")
	w.calmSince = time.Now().Add(d)
	time.AfterFunc(d, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if err := w.startNew(m); err != nil {
			w.journal.logf("executor cannot start: %v", err)
		}
	})
}

// restart crashes the executor of a machine and starts it again after d under the id and the address that it had. It locks
// mu.
func (w *world) restart(m *machine, d time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	e := m.executor
	if e == nil {
		return
	}
	m.state = "down"
	w.gone(e, "crash")
	time.AfterFunc(d, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if err := w.startExecutor(m, e.id, e.address); err != nil {
			w.journal.logf("executor cannot start: %v", err)
		}
	})
}

// serveCloud serves the list of machines and the orders for them. It locks mu.
func (w *world) serveCloud(rw http.ResponseWriter, r *http.Request) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if r.URL.Path == "/api/machines" {
		list := []map[string]any{}
		for _, m := range w.machines {
			id := ""
			if m.executor != nil {
				id = m.executor.id
			}
			list = append(list, map[string]any{
				"machine": m.id, "pool": m.pool, "state": m.state, "zone": "z1", "labels": []string{m.kind, m.rack},
				"capacity": map[string]int{"cpu": coresMachine, "mem_mb": memoryMachine, "gpu": 0}, "id": id,
			})
		}
		reply(rw, http.StatusOK, map[string]any{"machines": list, "next_page_token": nil})
		return
	}
	var order struct {
		Machine string `json:"machine"`
		Pool    string `json:"pool"`
		Wave    int    `json:"wave"`
	}
	if json.NewDecoder(r.Body).Decode(&order) != nil {
		reply(rw, http.StatusBadRequest, map[string]any{})
		return
	}
	var m *machine
	for _, other := range w.machines {
		if other.id == order.Machine {
			m = other
		}
	}
	w.journal.logf("order %s for %s to %q by %s", r.URL.Path, order.Machine, order.Pool, r.Header.Get("X-Lease-Holder"))
	switch {
	case m == nil:
		reply(rw, http.StatusBadRequest, map[string]any{})
		return
	case m.state != "up" || m.executor == nil:
		reply(rw, http.StatusConflict, map[string]any{"reason": "busy"})
		return
	case r.URL.Path == "/api/machine-move" && m.pool == order.Pool:
		reply(rw, http.StatusOK, map[string]any{})
		return
	}
	downtime := maintenanceTime
	m.state = "upkeep"
	if r.URL.Path == "/api/machine-move" {
		m.pool, m.state, downtime = order.Pool, "moving", moveTime
	}
	id := m.executor.id
	w.gone(m.executor, "order for its machine")
	delete(w.lastBeat, id)
	w.store.put("keyed.servers", id, nil)
	time.AfterFunc(downtime, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if err := w.startNew(m); err != nil {
			w.journal.logf("executor cannot start: %v", err)
		}
	})
	reply(rw, http.StatusOK, map[string]any{})
}

// serveAdvice issues tickets for all executors that it is asked about. It locks mu.
func (w *world) serveAdvice(rw http.ResponseWriter, r *http.Request) {
	var order struct {
		Step    string   `json:"step"`
		Workers []string `json:"workers"`
	}
	if json.NewDecoder(r.Body).Decode(&order) != nil {
		reply(rw, http.StatusBadRequest, map[string]any{})
		return
	}
	time.Sleep(decideTime)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.journal.logf("advice on %s asked for %v", order.Step, order.Workers)
	good := [][]string{}
	for _, id := range order.Workers {
		w.lastID++
		text := fmt.Sprintf("ticket-%d", w.lastID)
		w.tickets[text] = ticket{step: order.Step, executor: id, until: time.Now().Add(ticketValidity)}
		good = append(good, []string{id, text})
	}
	reply(rw, http.StatusOK, map[string]any{"good": good, "valid_ms": ticketValidity.Milliseconds()})
}

// stepOf returns the job and the step of a task.
func (w *world) stepOf(task string) (*jobInfo, stepInfo, bool) {
	parts := strings.Split(task, ".")
	const taskParts = 4
	if len(parts) != taskParts || w.jobs[parts[0]] == nil {
		return nil, stepInfo{}, false
	}
	job := w.jobs[parts[0]]
	index, err := strconv.Atoi(parts[2])
	if err != nil || index < 0 || index >= len(job.steps) {
		return nil, stepInfo{}, false
	}
	return job, job.steps[index], true
}

// stepName returns the name of the step of a task.
func stepName(task string) string { return task[:strings.LastIndexByte(task, '.')] }

// stateOf returns what was seen of a task.
func (w *world) stateOf(task string) *taskState {
	if w.taskState[task] == nil {
		w.taskState[task] = &taskState{}
	}
	return w.taskState[task]
}

// runsOf returns the runs of a task on all executors that are up.
func (w *world) runsOf(task string) []*run {
	var runs []*run
	for _, e := range w.live {
		for _, r := range e.runs {
			if r.task == task {
				runs = append(runs, r)
			}
		}
	}
	return runs
}
