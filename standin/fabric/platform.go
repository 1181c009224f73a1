package fabric

import (
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Platform is a platform with its workers and machines. Close ends it.
type Platform struct {
	Store Store
	// MinHandoverInterval is the time in which two holders may not give orders for one machine. It is set before entries start.
	MinHandoverInterval time.Duration
	// ClockDrift is the share by which the clock of every second worker is slow. It is set before the first machine is
	// added.
	ClockDrift float64
	// ProxyAddress returns the address at which a worker is listed, given its machine and its own address; nil lists
	// its own. It is set before the first machine is added.
	ProxyAddress func(machine, address string) string
	// URL addresses of the services, without a scheme.
	StoreAddress, FleetAddress string

	mu         sync.Mutex
	workers    map[string]*Worker // by machine
	machines   map[string]string  // pool by machine
	away       map[string]string  // state by machine that is not up
	serial     int
	servers    []*httptest.Server
	violations []string
	running    map[string]string // worker by task
	starts     map[string]int
	noted      map[string]bool
	acks       map[string]int
	orders     []string
	// jobs are the tasks of each step of the jobs that were handed in, by job; nil if they are not checked.
	jobs map[string][]int
	// done are the tasks of which a run has ended as done.
	done    map[string]bool
	holders map[string]turn // by machine
	quit    chan struct{}
}

// turn is the last order for a machine.
type turn struct {
	name string
	at   time.Time
}

// States of a machine.
const (
	stateUp     = "up"
	stateMoving = "moving"
	stateUpkeep = "upkeep"
	stateDown   = "down"
)

const (
	// awayTime is how long a machine is away for a move or maintenance.
	awayTime = 150 * time.Millisecond
	// checkPeriod is the time between checks of leases.
	checkPeriod = 20 * time.Millisecond
)

// NewPlatform starts a platform without workers.
func NewPlatform() *Platform {
	w := &Platform{
		workers: map[string]*Worker{}, machines: map[string]string{}, away: map[string]string{}, running: map[string]string{},
		starts: map[string]int{}, noted: map[string]bool{}, quit: make(chan struct{}), holders: map[string]turn{}, done: map[string]bool{}, acks: map[string]int{},
	}
	w.StoreAddress = w.serve(&w.Store)
	w.FleetAddress = w.serve(http.HandlerFunc(w.fleet))
	w.Store.part("keyed.op", "0")
	go w.check()
	return w
}

func (w *Platform) serve(h http.Handler) string {
	server := httptest.NewServer(h)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.servers = append(w.servers, server)
	return strings.TrimPrefix(server.URL, "http://")
}

// Close ends the platform.
func (w *Platform) Close() {
	close(w.quit)
	w.mu.Lock()
	servers := w.servers
	w.mu.Unlock()
	for _, s := range servers {
		s.CloseClientConnections()
		s.Close()
	}
}

// AddStoreProxy returns another address of the store, and a switch that makes the store refuse calls there.
func (w *Platform) AddStoreProxy() (address string, refuse *atomic.Bool) {
	refuse = &atomic.Bool{}
	return w.serve(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		if refuse.Load() {
			rw.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		w.Store.ServeHTTP(rw, r)
	})), refuse
}

func (w *Platform) check() {
	for {
		select {
		case <-w.quit:
			return
		case <-time.After(checkPeriod):
		}
		for _, worker := range w.Workers() {
			worker.lapse()
		}
	}
}

// Workers returns the living workers.
func (w *Platform) Workers() []*Worker {
	w.mu.Lock()
	defer w.mu.Unlock()
	var list []*Worker
	for _, worker := range w.workers {
		list = append(list, worker)
	}
	return list
}

// AddMachine adds a machine. A spare one is switched off.
func (w *Platform) AddMachine(pool string, cpu int, spare bool) string {
	w.mu.Lock()
	w.serial++
	id := fmt.Sprintf("m-%d", w.serial)
	w.machines[id] = pool
	w.mu.Unlock()
	if !spare {
		w.boot(id, pool, cpu)
	}
	return id
}

// boot begins a life of a worker on a machine.
func (w *Platform) boot(machine, pool string, cpu int) {
	w.mu.Lock()
	w.serial++
	worker := &Worker{
		ID: fmt.Sprintf("i-%d", w.serial), Machine: machine, Pool: pool, CPU: cpu, world: w, born: time.Now(),
		runs: map[string]*run{}, highest: map[string]int64{}, change: make(chan struct{}),
	}
	if w.serial%2 == 0 {
		worker.drift = w.ClockDrift
	}
	w.workers[machine] = worker
	w.mu.Unlock()
	worker.address = w.serve(worker)
	if w.ProxyAddress != nil {
		worker.address = w.ProxyAddress(worker.Machine, worker.address)
	}
	w.Store.Put("keyed.servers", worker.ID, worker.entry())
}

// CrashWorker ends the worker on a machine and begins another life there after d.
func (w *Platform) CrashWorker(machine string, d time.Duration) {
	w.mu.Lock()
	worker := w.workers[machine]
	if worker == nil {
		w.mu.Unlock()
		return // it is away
	}
	delete(w.workers, machine)
	w.away[machine] = stateDown
	w.mu.Unlock()
	worker.kill()
	time.AfterFunc(d, func() {
		w.Store.Put("keyed.servers", worker.ID, nil)
		w.mu.Lock()
		delete(w.away, machine)
		w.mu.Unlock()
		w.boot(machine, worker.Pool, worker.CPU)
	})
}

// PublishConfig puts a configuration in force: one queue for each pool, at host and path of the pool's name.
func (w *Platform) PublishConfig(version int, pools []string, spare string) {
	routes, services := []map[string]any{}, []map[string]any{}
	for _, p := range pools {
		routes = append(routes, map[string]any{
			"name": "q-" + p, "host": "callers", "path_prefix": "/" + p + "/", "type": "non_idempotent", "timeout_ms": 3000,
			"target_latency_ms": 600, "priority": 0, "service": p, "max_attempts": 2, "stretch": 1.6,
		})
		services = append(services, map[string]any{"name": p, "enforces_capacity": false, "spare": false})
	}
	if spare != "" {
		services = append(services, map[string]any{"name": spare, "spare": true})
	}
	data, err := json.Marshal(map[string]any{"version": version, "routes": routes, "services": services, "limits": map[string]int{"max_body_bytes": 262144}})
	if err != nil {
		w.violate("configuration cannot be encoded: %v", err)
		return
	}
	w.Store.Put("keyed.op", "config", data)
}

// PublishWave publishes a wave of maintenance.
func (w *Platform) PublishWave(number int, machines []string, seconds float64, most int) {
	data, err := json.Marshal(map[string]any{"wave": number, "machines": machines, "duration_s": seconds, "maximum": most})
	if err != nil {
		w.violate("wave cannot be encoded: %v", err)
		return
	}
	w.Store.Put("keyed.op", fmt.Sprintf("wave/%d", number), data)
}

func (w *Platform) fleet(rw http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/api/machines" {
		w.listMachines(rw)
		return
	}
	var body struct {
		Machine string `json:"machine"`
		Pool    string `json:"pool"`
		Wave    int    `json:"wave"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	w.mu.Lock()
	pool, ok := w.machines[body.Machine]
	if !ok || w.away[body.Machine] != "" {
		w.mu.Unlock()
		reply(rw, http.StatusConflict, map[string]string{"reason": "busy"})
		return
	}
	if done := fmt.Sprintf("%s/%s/%d", r.URL.Path, body.Machine, body.Wave); strings.HasSuffix(r.URL.Path, "machine-upkeep") && w.noted[done] {
		w.mu.Unlock()
		rw.WriteHeader(http.StatusOK)
		return
	} else if strings.HasSuffix(r.URL.Path, "machine-upkeep") {
		w.noted[done] = true
	}
	w.turns(body.Machine, r.Header.Get("X-Lease-Holder"))
	to, state := pool, stateUpkeep
	if strings.HasSuffix(r.URL.Path, "machine-move") {
		to, state = body.Pool, stateMoving
	}
	w.machines[body.Machine] = to
	w.away[body.Machine] = state
	w.orders = append(w.orders, strings.TrimPrefix(r.URL.Path, "/api/machine-")+" "+body.Machine+" "+to)
	worker := w.workers[body.Machine]
	delete(w.workers, body.Machine)
	w.mu.Unlock()
	cpu := 16000
	if worker != nil {
		cpu = worker.CPU
		worker.kill()
		w.Store.Put("keyed.servers", worker.ID, nil)
	}
	time.AfterFunc(awayTime, func() {
		w.mu.Lock()
		delete(w.away, body.Machine)
		w.mu.Unlock()
		if to != "spare" {
			w.boot(body.Machine, to, cpu)
		}
	})
	rw.WriteHeader(http.StatusOK)
}

// turns notes the holder that ordered a machine, and that it was another one less than Turn before.
func (w *Platform) turns(machine, holder string) {
	last, ok := w.holders[machine]
	if ok && last.name != holder && time.Since(last.at) < w.MinHandoverInterval {
		w.violations = append(w.violations, fmt.Sprintf("orders for %s by %s and %s within %s", machine, last.name, holder, time.Since(last.at)))
	}
	w.holders[machine] = turn{name: holder, at: time.Now()}
}

func (w *Platform) listMachines(rw http.ResponseWriter) {
	w.mu.Lock()
	defer w.mu.Unlock()
	list := []map[string]any{}
	for id, pool := range w.machines {
		state := stateUp
		if away := w.away[id]; away != "" {
			state = away
		}
		list = append(list, map[string]any{
			"machine": id, "pool": pool, "state": state, "zone": "z1", "labels": []string{"a", "r1-1"},
			"capacity": map[string]int{"cpu": 16000, "mem_mb": 65536},
		})
	}
	reply(rw, http.StatusOK, map[string]any{"machines": list, "next_page_token": nil})
}

// MachineOrders returns the orders for machines that were carried out: verb, machine and pool.
func (w *Platform) MachineOrders() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]string(nil), w.orders...)
}

func (w *Platform) violate(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.violations = append(w.violations, fmt.Sprintf(format, args...))
}

// Violations returns what must never happen and did.
func (w *Platform) Violations() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]string(nil), w.violations...)
}

// StartCount returns how often a task was started.
func (w *Platform) StartCount(task string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.starts[task]
}

// begin notes a start and returns what the task does.
func (w *Platform) begin(worker *Worker, task, spec string) (cpu int, length time.Duration, fails bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if other := w.running[task]; other != "" {
		w.violations = append(w.violations, "two runs of "+task+" at once: "+other+" and "+worker.ID)
	}
	if w.noted[task] {
		w.violations = append(w.violations, "start of "+task+" after its end was noted")
	}
	w.asked(task)
	w.running[task] = worker.ID
	w.starts[task]++
	return parseSpec(spec)
}

// ExpectJob names a job that is handed in, with the number of tasks of each step. Starts of other jobs, and of
// tasks before all those of the step before have ended, are violations from then on.
func (w *Platform) ExpectJob(job string, counts ...int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.jobs == nil {
		w.jobs = map[string][]int{}
	}
	w.jobs[job] = counts
}

// asked checks that a task belongs to a job that was handed in, and that its turn has come.
func (w *Platform) asked(task string) {
	if w.jobs == nil {
		return
	}
	var step, index int
	parts := strings.Split(task, ".")
	counts, known := w.jobs[parts[0]]
	if _, err := fmt.Sscanf(strings.Join(parts[1:], " "), "0 %d %d", &step, &index); err != nil || !known || step >= len(counts) || index >= counts[step] {
		w.violations = append(w.violations, "start of "+task+", which nobody asked for")
		return
	}
	for i := 0; step > 0 && i < counts[step-1]; i++ {
		if earlier := fmt.Sprintf("%s.0.%d.%d", parts[0], step-1, i); !w.done[earlier] {
			w.violations = append(w.violations, "start of "+task+" before the end of "+earlier)
		}
	}
}

// RunningTasks returns the tasks that run, with the worker of each.
func (w *Platform) RunningTasks() map[string]string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return maps.Clone(w.running)
}

func (w *Platform) finish(worker *Worker, task, how string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if how == "done" {
		w.done[task] = true
	}
	if w.running[task] == worker.ID {
		delete(w.running, task)
	}
}

// note records that an end was acknowledged.
func (w *Platform) note(task, how string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.acks[task]++
	if how == "done" {
		w.noted[task] = true
	}
}

// AcknowledgedEnds returns how many ends of a task were acknowledged.
func (w *Platform) AcknowledgedEnds(task string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.acks[task]
}
