package simulation

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"hibiscuslane.example/hibiscuslane/history"
)

// recorder takes the response of the store.
type recorder struct {
	status int
	header http.Header
	body   bytes.Buffer
}

func (r *recorder) Header() http.Header { return r.header }

func (r *recorder) WriteHeader(status int) { r.status = status }

func (r *recorder) Write(data []byte) (int, error) { return r.body.Write(data) }

// waitingRead is a read of the store that waits for records.
type waitingRead struct {
	call  *call
	uri   string
	until time.Time
}

// emptyBatchBytes is the size of the response to a read that finds no records.
const emptyBatchBytes = 16

// serveStore carries out a call to the store.
func (w *world) serveStore(c *call) {
	q := queryOf(c.uri)
	if wait, _ := strconv.Atoi(q.Get("wait_ms")); wait > 0 {
		q.Del("wait_ms")
		read := &waitingRead{call: c, uri: "/api/log-read?" + q.Encode(), until: w.now.Add(time.Duration(wait) * time.Millisecond)}
		w.waitingReads = append(w.waitingReads, read)
		w.storeChanged = true
		return
	}
	w.answer(c, w.callStore(c, c.uri))
	if f := w.faultOn(c); f != nil && f.mode == ModeRepeat {
		_ = w.callStore(c, c.uri) // the second arrival has no caller
	}
}

// callStore calls the store of standin/fabric.
func (w *world) callStore(c *call, uri string) response {
	request, err := http.NewRequestWithContext(context.Background(), c.method, "http://"+hostStore+uri, bytes.NewReader(c.body))
	if err != nil {
		return response{status: http.StatusBadRequest}
	}
	r := &recorder{status: http.StatusOK, header: http.Header{}}
	w.store.ServeHTTP(r, request)
	w.storeChanged = w.storeChanged || c.method == http.MethodPost
	return response{status: r.status, body: r.body.Bytes()}
}

// serveWaitingReads answers the reads whose records have come, or that have waited long enough.
func (w *world) serveWaitingReads() {
	changed := w.storeChanged
	w.storeChanged = false
	w.waitingReads = slices.DeleteFunc(w.waitingReads, func(r *waitingRead) bool {
		isLate := !r.until.After(w.now)
		if !changed && !isLate {
			return false
		}
		answer := w.callStore(r.call, r.uri)
		if answer.status == http.StatusOK && len(answer.body) <= emptyBatchBytes && !isLate {
			return false
		}
		w.answer(r.call, answer)
		return true
	})
}

// machine is a machine of the fleet.
type machine struct {
	id, pool string
	state    string
	worker   string // the id of its worker
	// cpu is its capacity in thousandths of a core.
	cpu   int
	token int64
	// maintained holds the waves that it was maintained for.
	maintained map[int]bool
}

// States of a machine.
const (
	stateUp          = "up"
	stateMoving      = "moving"
	stateMaintenance = "upkeep"
)

// sparePool is the pool of machines that are switched off.
const sparePool = "spare"

func poolName(n int) string { return fmt.Sprintf("pool-%d", n) }

// addMachine adds a machine, with a worker unless it is a spare one.
func (w *world) addMachine(n int) {
	m := &machine{id: fmt.Sprintf("m-%d", n+1), pool: poolName(n%poolCount + 1), state: stateUp, worker: fmt.Sprintf("w-%d", n+1), cpu: workerCPU, maintained: map[int]bool{}}
	w.machines = append(w.machines, m)
	if n >= workers {
		m.pool = sparePool
		return
	}
	w.startWorker(m.worker, m)
}

// machineOrder is the body of an order for a machine.
type machineOrder struct {
	Machine string `json:"machine"`
	Pool    string `json:"pool"`
	Wave    int    `json:"wave"`
}

// serveFleet lists the machines or carries out an order.
func (w *world) serveFleet(c *call) {
	if strings.HasPrefix(c.uri, "/api/machines") {
		list := []map[string]any{}
		for _, m := range w.machines {
			list = append(list, map[string]any{"machine": m.id, "pool": m.pool, "state": m.state, "zone": "z1", "labels": []string{"a", "r1-1"}, "capacity": map[string]int{"cpu": m.cpu, "mem_mb": 65536}})
		}
		body, err := json.Marshal(map[string]any{"machines": list})
		if err != nil {
			w.answer(c, response{status: http.StatusInternalServerError})
			return
		}
		w.answer(c, response{status: http.StatusOK, body: body})
		return
	}
	var o machineOrder
	if json.Unmarshal(c.body, &o) != nil {
		w.answer(c, response{status: http.StatusBadRequest})
		return
	}
	token, _ := strconv.ParseInt(c.header.Get("X-Fencing-Token"), 10, 64)
	for _, m := range w.machines {
		if m.id == o.Machine {
			w.answer(c, response{status: w.carryOut(m, o, token, c)})
			return
		}
	}
	w.answer(c, response{status: http.StatusBadRequest})
}

// carryOut carries out an order for a machine and returns the status of the response.
func (w *world) carryOut(m *machine, o machineOrder, token int64, c *call) int {
	if token < m.token {
		return http.StatusConflict
	}
	m.token = token
	if o.Pool == "" && m.maintained[o.Wave] || o.Pool != "" && m.pool == o.Pool && m.state != stateMaintenance {
		return http.StatusOK // a repeated order
	}
	if m.state != stateUp {
		return http.StatusConflict
	}
	holder, _, _ := strings.Cut(c.header.Get("X-Lease-Holder"), ":")
	isLate := w.now.Sub(c.sentAt) > lateAfter || !c.from.pausedUntil.IsZero() || !c.from.resumedAt.IsZero() && w.now.Sub(c.from.resumedAt) < contactTime
	w.record(history.Event{Process: history.ProcessPlatform, Kind: history.KindOrder, Machine: m.id, Pool: o.Pool, Wave: o.Wave, Token: token, Holder: holder, Late: isLate})
	m.state = stateMaintenance
	if o.Pool != "" {
		m.state, m.pool = stateMoving, o.Pool
	} else {
		m.maintained[o.Wave] = true
	}
	if k := w.workers[m.id]; k != nil {
		delete(w.workers, m.id)
		k.end()
		w.store.Put("keyed.servers", k.id, nil)
		w.storeChanged = true
	}
	w.after(offlineTime, func() {
		m.state = stateUp
		m.worker += "x" // a worker that returns has another id
		w.record(history.Event{Process: history.ProcessPlatform, Kind: history.KindBack, Machine: m.id})
		if m.pool != sparePool {
			w.startWorker(m.worker, m)
		}
	})
	return http.StatusOK
}

// publishConfig publishes a configuration with a queue for each pool.
func (w *world) publishConfig(version int) {
	routes, pools := []map[string]any{}, []map[string]any{}
	for n := range poolCount {
		name := poolName(n + 1)
		routes = append(routes, map[string]any{"name": "q-" + name, "host": "callers", "path_prefix": "/" + name + "/", "timeout_ms": 3000, "target_latency_ms": 30000, "service": name, "max_attempts": 2 + version%2, "stretch": 10})
		pools = append(pools, map[string]any{"name": name})
	}
	pools = append(pools, map[string]any{"name": sparePool, "spare": true})
	data, err := json.Marshal(map[string]any{"version": version, "routes": routes, "services": pools, "limits": map[string]int{"max_body_bytes": 262144}})
	if err != nil {
		w.recordFault("the configuration cannot be encoded: %v", err)
		return
	}
	w.record(history.Event{Process: history.ProcessOperator, Kind: history.KindConfig, Version: version})
	w.store.Put("keyed.op", "config", data)
	w.storeChanged = true
}

// publishWave requests the maintenance of all machines.
func (w *world) publishWave(number, maximum int) {
	var ids []string
	for _, m := range w.machines {
		ids = append(ids, m.id)
	}
	data, err := json.Marshal(map[string]any{"wave": number, "machines": ids, "duration_s": waveSeconds, "maximum": maximum})
	if err != nil {
		w.recordFault("the wave cannot be encoded: %v", err)
		return
	}
	w.record(history.Event{Process: history.ProcessOperator, Kind: history.KindWave, Wave: number, Maximum: maximum})
	w.store.Put("keyed.op", "wave/"+strconv.Itoa(number), data)
	w.storeChanged = true
}

// waveSeconds is the time limit of a wave.
const waveSeconds = 8
