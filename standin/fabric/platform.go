package fabric

import (
	"context"
	"encoding/json"
	"fmt"
	"maps"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"hibiscuslane.example/hibiscuslane/standin/port"
)

// Platform emulates the store, the fleet service, and the workers and machines of the platform.
type Platform struct {
	Store Store
	// MinHandoverInterval is the minimum time between orders for the same machine from different owners. Shorter
	// intervals are violations. Set it before the entries start.
	MinHandoverInterval time.Duration
	// MaxLease is the longest lease of a worker, which shortens longer ones; zero means no limit. Set it before the first machine
	// is added.
	MaxLease time.Duration
	// InitialClock is what the clocks of the workers show when their machines are added, as if they had run for that long. Those of
	// later incarnations and workers start at zero. Set it before the first machine is added.
	InitialClock time.Duration
	// ClockDrift is the fraction by which the clocks of the workers with an even number in their id run slow. Machines
	// and workers share these numbers. Set it before the first machine is added.
	ClockDrift float64
	// ProxyAddress returns the address under which a worker is registered, given its machine and its own address. If it
	// is nil, the worker registers its own address. Set it before the first machine is added.
	ProxyAddress func(machine, address string) string
	// SenderOf returns the name, as in RecordDisturbance, of the process that sends starts with a fencing token. If it is
	// nil or returns an empty string, a disturbance of any process excuses a start. Set it before the entries start.
	SenderOf func(token int64) string
	// StoreAddress and FleetAddress are the host and port of the two services.
	StoreAddress, FleetAddress string

	// mu may be locked while the mu of a worker is held, but not the other way round.
	mu            sync.Mutex
	workers       map[string]*Worker // by machine; terminated workers are absent
	pools         map[string]string  // pool by machine
	offlineStates map[string]string  // state by machine; machines that are up are absent
	storeless     map[string]bool    // machines whose workers cannot reach the store
	lastID        int                // the number in the last id of a machine or worker
	servers       []*httptest.Server
	workerServers []*http.Server      // of all incarnations
	reservations  []*port.Reservation // of the ports of all workers, which may restart
	violations    []string
	runningOn     map[string]string // worker id by running task
	startCounts   map[string]int    // started runs by task
	// acknowledged holds the tasks whose completion was acknowledged, and the maintenance orders that were carried out,
	// as PATH/MACHINE/WAVE.
	acknowledged  map[string]bool
	endCounts     map[string]int // acknowledged ends by task, see AcknowledgedEnds
	machineOrders []string       // see MachineOrders
	// expectedJobs holds the announced jobs by id. It is nil if starts are not checked.
	expectedJobs        map[string]*submission
	runRecords          []*runRecord               // in the order of their starts
	reportedCheckpoints map[string]map[string]bool // by task
	disturbances        []*disturbance
	// doneTasks holds the tasks of which a run has completed.
	doneTasks map[string]bool
	// doneRuns holds the completed runs of each task by number, and whether the task was started again afterwards.
	doneRuns   map[string]map[int64]bool
	lastOrders map[string]machineOrder // the latest order by machine
	// maximums holds by team the highest maximum that was published, in thousandths of a core. Teams without one are absent.
	maximums map[string]int
	// orderDelay is the time from the arrival of an order for a machine until it is carried out and confirmed.
	orderDelay time.Duration
	// delayedOrders is the number of orders for machines that have arrived and wait for orderDelay to pass.
	delayedOrders int
	quit          chan struct{}
}

// machineOrder records who sent an order for a machine, and when.
type machineOrder struct {
	owner string
	at    time.Time
}

// States of a machine in the protocol of the fleet service.
const (
	stateUp          = "up"
	stateMoving      = "moving"
	stateMaintenance = "upkeep"
	stateDown        = "down"
)

const (
	// offlineTime is how long a machine is offline for a move or maintenance.
	offlineTime = 150 * time.Millisecond
	// leaseCheckPeriod is the time between checks for expired leases.
	leaseCheckPeriod = 20 * time.Millisecond
	// listenTimeout limits the attempts of a worker to listen on its address.
	listenTimeout = time.Second
)

// workerHost is the loopback address of the workers. No connection begins there and no other process uses it, so a worker that
// restarts finds its port free.
var workerHost = fmt.Sprintf("127.2.%d.%d", os.Getpid()>>8&0xff, os.Getpid()&0xff)

// NewPlatform starts a platform without machines. Stop it with Close.
func NewPlatform() *Platform {
	p := &Platform{
		workers: map[string]*Worker{}, pools: map[string]string{}, offlineStates: map[string]string{}, runningOn: map[string]string{},
		startCounts: map[string]int{}, acknowledged: map[string]bool{}, quit: make(chan struct{}), lastOrders: map[string]machineOrder{}, doneTasks: map[string]bool{}, doneRuns: map[string]map[int64]bool{}, endCounts: map[string]int{},
		reportedCheckpoints: map[string]map[string]bool{}, storeless: map[string]bool{},
	}
	p.StoreAddress = p.startServer(&p.Store)
	p.FleetAddress = p.startServer(http.HandlerFunc(p.serveFleet))
	p.Store.partition("keyed.op", "0")
	go p.watchWorkers()
	return p
}

func (p *Platform) startServer(h http.Handler) string {
	server := httptest.NewServer(h)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.servers = append(p.servers, server)
	return strings.TrimPrefix(server.URL, "http://")
}

// listenForWorker opens a loopback address for the calls to the worker on a machine. It returns nil and reports a violation if
// another program holds the port.
func (p *Platform) listenForWorker(machine, address string) net.Listener {
	for giveUp := time.Now().Add(listenTimeout); ; time.Sleep(leaseCheckPeriod) {
		l, err := (&net.ListenConfig{}).Listen(context.Background(), "tcp", address)
		if err == nil {
			return l
		}
		if time.Now().After(giveUp) {
			p.recordViolation("worker on %s cannot listen: %v", machine, err)
			return nil
		}
	}
}

// addWorker adds a worker to its machine and serves the calls to it. The caller must hold mu.
func (p *Platform) addWorker(w *Worker, l net.Listener) {
	w.server = &http.Server{Addr: l.Addr().String(), Handler: w, ReadHeaderTimeout: time.Minute}
	p.workers[w.Machine] = w
	p.workerServers = append(p.workerServers, w.server)
	go func() { _ = w.server.Serve(l) }() // returns an error when the server is closed
}

// SetStoreReachable connects the worker on a machine, and the later ones there, to the store or disconnects them from it. The entry of
// a disconnected worker expires. It is back soon after the connection.
func (p *Platform) SetStoreReachable(machine string, isReachable bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.storeless[machine] = !isReachable
}

// Close stops the servers of the platform and closes all connections to them. Runs are not ended.
func (p *Platform) Close() {
	close(p.quit)
	p.mu.Lock()
	servers, workerServers, reservations := p.servers, p.workerServers, p.reservations
	p.mu.Unlock()
	for _, s := range workerServers {
		_ = s.Close() // the error of closing a listener, which is not used again
	}
	for _, r := range reservations {
		_ = r.Close() // the error of closing a socket, which is not used again
	}
	for _, s := range servers {
		s.CloseClientConnections()
		s.Close()
	}
}

// AddStoreProxy serves the store at an additional address. While refuse is true, calls to that address are answered
// with 503.
func (p *Platform) AddStoreProxy() (address string, refuse *atomic.Bool) {
	refuse = &atomic.Bool{}
	return p.startServer(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		if refuse.Load() {
			rw.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		p.Store.ServeHTTP(rw, r)
	})), refuse
}

// watchWorkers lets the leases of workers expire and sends their heartbeats.
func (p *Platform) watchWorkers() {
	for {
		select {
		case <-p.quit:
			return
		case <-time.After(leaseCheckPeriod):
		}
		for _, worker := range p.Workers() {
			worker.expireLease()
			p.mu.Lock()
			isConnected := !p.storeless[worker.Machine]
			p.mu.Unlock()
			worker.sendHeartbeat(isConnected)
		}
	}
}

// Workers returns the workers that are not terminated, in no particular order.
func (p *Platform) Workers() []*Worker {
	p.mu.Lock()
	defer p.mu.Unlock()
	var list []*Worker
	for _, worker := range p.workers {
		list = append(list, worker)
	}
	return list
}

// AddMachine adds a machine to a pool and returns its id. Unless spare is set, it starts a worker on the machine, with a
// capacity of cpu thousandths of a core.
func (p *Platform) AddMachine(pool string, cpu int, spare bool) string {
	p.mu.Lock()
	p.lastID++
	id := fmt.Sprintf("m-%d", p.lastID)
	p.pools[id] = pool
	p.mu.Unlock()
	if !spare {
		p.startWorker(id, pool, cpu, p.InitialClock)
	}
	return id
}

// startWorker starts a worker with a new id on a machine and registers it.
func (p *Platform) startWorker(machine, pool string, cpu int, clock time.Duration) {
	reservation, err := port.Reserve(workerHost + ":0")
	if err != nil {
		p.recordViolation("no port for the worker on %s: %v", machine, err)
		return
	}
	p.mu.Lock()
	p.reservations = append(p.reservations, reservation)
	p.mu.Unlock()
	address := string(reservation.Address())
	l := p.listenForWorker(machine, address)
	if l == nil {
		return
	}
	if p.ProxyAddress != nil {
		address = p.ProxyAddress(machine, address)
	}
	p.mu.Lock()
	p.lastID++
	worker := &Worker{
		ID: fmt.Sprintf("i-%d", p.lastID), Machine: machine, Pool: pool, CPU: cpu, platform: p, startedAt: time.Now(), clockAtStart: clock,
		runs: map[string]*run{}, highestRun: map[string]int64{}, changed: make(chan struct{}), address: address, isRegistered: true, lastHeartbeat: time.Now(),
	}
	if p.lastID%2 == 0 {
		worker.clockDrift = p.ClockDrift
	}
	p.addWorker(worker, l)
	p.mu.Unlock()
	p.Store.Put("keyed.servers", worker.ID, worker.registration())
}

// CrashWorker terminates the worker on a machine and starts a new incarnation after d.
func (p *Platform) CrashWorker(machine string, d time.Duration) {
	p.mu.Lock()
	worker := p.workers[machine]
	if worker == nil {
		p.mu.Unlock()
		return // the machine is offline
	}
	delete(p.workers, machine)
	p.offlineStates[machine] = stateDown
	p.mu.Unlock()
	worker.terminate()
	time.AfterFunc(d, func() {
		p.Store.Put("keyed.servers", worker.ID, nil)
		p.mu.Lock()
		delete(p.offlineStates, machine)
		p.mu.Unlock()
		p.startWorker(machine, worker.Pool, worker.CPU, 0)
	})
}

// PublishConfig publishes a configuration with one route for each pool, whose path prefix is the name of the pool.
// A spare that is not empty is published as the pool of unused machines.
func (p *Platform) PublishConfig(version int, pools []string, spare string) {
	p.PublishTeams(version, pools, spare, nil)
}

// Team is a team of callers in a configuration.
type Team struct {
	Name   string   `json:"name"`
	Keys   []string `json:"api_keys"`
	Weight float64  `json:"weight"`
	// Maximum limits what the team may have running. The zero value sets no limit.
	Maximum Maximum `json:"maximum"`
}

// Maximum is a limit of resources.
type Maximum struct {
	CPU int `json:"cpu"` // thousandths of a core
}

// PublishTeams publishes a configuration as PublishConfig does, with teams, unless teams is nil. The routes of the public pools need
// no key.
func (p *Platform) PublishTeams(version int, pools []string, spare string, teams []Team, public ...string) {
	routes, services := []map[string]any{}, []map[string]any{}
	for _, pool := range pools {
		routes = append(routes, map[string]any{
			"name": "q-" + pool, "host": "callers", "path_prefix": "/" + pool + "/", "type": "non_idempotent", "timeout_ms": 3000,
			"target_latency_ms": 600, "priority": 0, "service": pool, "max_attempts": 2, "stretch": 1.6,
			"public": slices.Contains(public, pool),
		})
		services = append(services, map[string]any{"name": pool, "enforces_capacity": false, "spare": false})
	}
	if spare != "" {
		services = append(services, map[string]any{"name": spare, "spare": true})
	}
	config := map[string]any{"version": version, "routes": routes, "services": services, "limits": map[string]int{"max_body_bytes": 262144}}
	if teams != nil {
		config["tenants"] = teams
	}
	data, err := json.Marshal(config)
	if err != nil {
		p.recordViolation("configuration cannot be encoded: %v", err)
		return
	}
	p.recordMaximums(teams)
	p.Store.Put("keyed.op", "config", data)
}

// PublishWave requests a maintenance wave with a time limit, in which at most maximum machines are maintained at once.
func (p *Platform) PublishWave(number int, machines []string, timeLimitSeconds float64, maximum int) {
	data, err := json.Marshal(map[string]any{"wave": number, "machines": machines, "duration_s": timeLimitSeconds, "maximum": maximum})
	if err != nil {
		p.recordViolation("wave cannot be encoded: %v", err)
		return
	}
	p.Store.Put("keyed.op", fmt.Sprintf("wave/%d", number), data)
}

// DelayMachineOrders lets orders for machines take effect d after they arrive.
func (p *Platform) DelayMachineOrders(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.orderDelay = d
}

// DelayedMachineOrders returns the number of orders for machines that have arrived and not taken effect yet.
func (p *Platform) DelayedMachineOrders() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.delayedOrders
}

// serveFleet lists the machines or carries out an order to move or maintain a machine. It refuses an order for a machine
// that is unknown or offline.
func (p *Platform) serveFleet(rw http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/api/machines" {
		p.serveMachines(rw)
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
	p.mu.Lock()
	delay := p.orderDelay
	p.delayedOrders++
	p.mu.Unlock()
	time.Sleep(delay)
	p.mu.Lock()
	p.delayedOrders--
	pool, ok := p.pools[body.Machine]
	if !ok || p.offlineStates[body.Machine] != "" {
		p.mu.Unlock()
		writeJSON(rw, http.StatusConflict, map[string]string{"reason": "busy"})
		return
	}
	// A repeated maintenance order of a wave is confirmed but not carried out again.
	if key := fmt.Sprintf("%s/%s/%d", r.URL.Path, body.Machine, body.Wave); strings.HasSuffix(r.URL.Path, "machine-upkeep") && p.acknowledged[key] {
		p.mu.Unlock()
		rw.WriteHeader(http.StatusOK)
		return
	} else if strings.HasSuffix(r.URL.Path, "machine-upkeep") {
		p.acknowledged[key] = true
	}
	p.checkHandover(body.Machine, r.Header.Get("X-Lease-Holder"))
	newPool, state := pool, stateMaintenance
	if strings.HasSuffix(r.URL.Path, "machine-move") {
		newPool, state = body.Pool, stateMoving
	}
	p.pools[body.Machine] = newPool
	p.offlineStates[body.Machine] = state
	p.machineOrders = append(p.machineOrders, strings.TrimPrefix(r.URL.Path, "/api/machine-")+" "+body.Machine+" "+newPool)
	worker := p.workers[body.Machine]
	delete(p.workers, body.Machine)
	p.mu.Unlock()
	cpu := 16000 // of a machine without a worker
	if worker != nil {
		cpu = worker.CPU
		worker.terminate()
		p.Store.Put("keyed.servers", worker.ID, nil)
	}
	time.AfterFunc(offlineTime, func() {
		p.mu.Lock()
		delete(p.offlineStates, body.Machine)
		p.mu.Unlock()
		// Unused machines have no worker. Tests name their pool "spare".
		if newPool != "spare" {
			p.startWorker(body.Machine, newPool, cpu, 0)
		}
	})
	rw.WriteHeader(http.StatusOK)
}

// checkHandover records the owner that sent an order for a machine. It reports a violation if another owner sent the
// previous order for the machine less than MinHandoverInterval before. The caller must hold mu.
func (p *Platform) checkHandover(machine, owner string) {
	last, ok := p.lastOrders[machine]
	if ok && last.owner != owner && time.Since(last.at) < p.MinHandoverInterval {
		p.violations = append(p.violations, fmt.Sprintf("orders for %s by %s and %s within %s", machine, last.owner, owner, time.Since(last.at)))
	}
	p.lastOrders[machine] = machineOrder{owner: owner, at: time.Now()}
}

func (p *Platform) serveMachines(rw http.ResponseWriter) {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := []map[string]any{}
	for id, pool := range p.pools {
		state := stateUp
		if offline := p.offlineStates[id]; offline != "" {
			state = offline
		}
		list = append(list, map[string]any{
			"machine": id, "pool": pool, "state": state, "zone": "z1", "labels": []string{"a", "r1-1"},
			"capacity": map[string]int{"cpu": 16000, "mem_mb": 65536},
		})
	}
	writeJSON(rw, http.StatusOK, map[string]any{"machines": list, "next_page_token": nil})
}

// MachineOrders returns the orders that were carried out, each as "VERB MACHINE POOL".
func (p *Platform) MachineOrders() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]string(nil), p.machineOrders...)
}

func (p *Platform) recordViolation(format string, args ...any) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.violations = append(p.violations, fmt.Sprintf(format, args...))
}

// Violations describes the invariants that were violated so far.
func (p *Platform) Violations() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Concat(p.jobViolations(time.Now()), p.maximumViolations(), p.violations)
}

// StartCount returns the number of runs of a task that were started.
func (p *Platform) StartCount(task string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.startCounts[task]
}

// recordStart records the start of a run. It returns the processor capacity that the run uses, in thousandths of a core,
// its duration and whether it fails.
func (p *Platform) recordStart(worker *Worker, order orderBody) (cpu int, duration time.Duration, fails bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if other := p.runningOn[order.Task]; other != "" {
		p.violations = append(p.violations, "two runs of "+order.Task+" at once: "+other+" and "+worker.ID)
	}
	if p.acknowledged[order.Task] {
		p.violations = append(p.violations, "start of "+order.Task+" after its end was acknowledged")
	}
	for number := range p.doneRuns[order.Task] {
		p.doneRuns[order.Task][number] = true
	}
	p.checkStart(order)
	p.runningOn[order.Task] = worker.ID
	p.startCounts[order.Task]++
	record := &runRecord{task: order.Task, number: order.Run, worker: worker.ID, machine: worker.Machine, token: order.FencingToken, startedAt: time.Now(), late: order.late}
	if p.SenderOf != nil {
		record.sender = p.SenderOf(order.FencingToken)
	}
	p.runRecords = append(p.runRecords, record)
	return parseSpec(order.Spec)
}

// RunningTasks returns the running tasks, each with the id of its worker.
func (p *Platform) RunningTasks() map[string]string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return maps.Clone(p.runningOn)
}

// recordEnd records that a run ended on a worker. Only the outcome done makes the task count as done, unless it is long-running.
func (p *Platform) recordEnd(worker *Worker, task string, number int64, outcome string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if outcome == "done" && !p.isLongRunning(task) {
		p.doneTasks[task] = true
		if p.doneRuns[task] == nil {
			p.doneRuns[task] = map[int64]bool{}
		}
		p.doneRuns[task][number] = false
	}
	if p.runningOn[task] == worker.ID {
		delete(p.runningOn, task)
	}
	for _, r := range slices.Backward(p.runRecords) {
		if r.task == task && r.worker == worker.ID && r.number == number {
			r.endedAt, r.outcome = time.Now(), outcome
			break
		}
	}
}

// recordAcknowledgement records that the end of a run was acknowledged. If its outcome is done and the task is not long-running, a
// start of the task after that end is a violation, whether it follows or precedes the acknowledgement.
func (p *Platform) recordAcknowledgement(task string, number int64, outcome string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.endCounts[task]++
	if outcome != "done" || p.isLongRunning(task) {
		return
	}
	p.acknowledged[task] = true
	if p.doneRuns[task][number] {
		p.violations = append(p.violations, "acknowledgement of the end of "+task+" after the task was started again")
	}
}

// AcknowledgedEnds returns the number of runs of a task whose end was acknowledged before the lease of the worker
// expired.
func (p *Platform) AcknowledgedEnds(task string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.endCounts[task]
}
