package fabric

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Worker emulates one incarnation of a worker.
type Worker struct {
	ID, Machine, Pool string
	// CPU is the capacity of the worker in thousandths of a core.
	CPU       int
	platform  *Platform
	startedAt time.Time
	// clockAtStart is what the clock of the worker showed when it started.
	clockAtStart time.Duration
	server       *http.Server // of this incarnation
	// clockDrift is the fraction by which the clock of the worker runs slow.
	clockDrift float64

	// mu is held by the callers of acceptToken, startRun, usedCPU, stopRun and endRun.
	mu                 sync.Mutex
	address            string          // the registered one, set before the worker is registered; not guarded by mu
	token              int64           // the highest fencing token of the calls so far
	leaseEnd           int64           // on the clock of the worker, in milliseconds
	runs               map[string]*run // by task
	unacknowledgedEnds [][]any         // rows of number, task, run, outcome and checkpoint, as they are reported
	lastEnd            int64           // the number of the last end
	// lastEndAtExpiry is the number of the last end when the lease last ended runs, or expired while the entry of the worker had
	// expired too. Acknowledgements of ends up to it are not counted, because the entries may start a task again then. A lease that
	// expires while nothing runs on a registered worker excuses nothing: ends that were reported before it are still to be acted on.
	lastEndAtExpiry int64
	highestRun      map[string]int64 // by task, the highest run that was stopped or has ended; a new run must be higher
	changed         chan struct{}    // closed and replaced when a run ends
	// An unresponsive worker goes on running tasks but answers no call. A terminated worker runs nothing.
	unresponsive, terminated bool
	// delayedStarts is the number of upcoming starts that get no response and take effect after startDelay.
	delayedStarts int
	startDelay    time.Duration
	draining      bool
	// stopDelay is the time from a call to stop a run until the run ends.
	stopDelay time.Duration
	// lastHeartbeat is when this incarnation or, until it is registered, an earlier one last reached the store.
	lastHeartbeat time.Time
	// isRegistered is set once this incarnation has registered, until its entry expires.
	isRegistered bool
	// registersAt is when an incarnation that is not registered does so, unless it cannot reach the store.
	registersAt time.Time
	hasExpired  bool // the entry of the worker has expired
}

const (
	// deadlySuffix ends the specification of a job whose tasks crash each worker that starts them.
	deadlySuffix = " crashes"
	// checkpointsSuffix ends the specification of a job whose tasks save checkpoints.
	checkpointsSuffix = " saves"
	// maxListedEnds is the number of ends that a report lists at most.
	maxListedEnds = 500
	// crashDowntime is how long a worker is down after such a crash.
	crashDowntime = 200 * time.Millisecond
	// heartbeatInterval is the time between two writes of a worker to the store. Its entry expires after maxMissedHeartbeats
	// of them.
	heartbeatInterval   = 1500 * time.Millisecond
	maxMissedHeartbeats = 3
)

type run struct {
	task   string
	number int64
	cpu    int // thousandths of a core
	timer  *time.Timer

	checkpoints bool // the run saves a checkpoint when it starts
}

// orderBody is the body of all calls to a worker. Each call uses some of the fields.
type orderBody struct {
	Task         string `json:"task"`
	Run          int64  `json:"run"`
	Spec         string `json:"spec"`
	DeadlineMS   int64  `json:"deadline_ms"`
	FencingToken int64  `json:"fencing_token"`
	LastSeen     int64  `json:"last_seen"`
	WaitMS       int64  `json:"wait_ms"`

	LastCheckpoint string `json:"last_checkpoint"`
	late           bool   // a start that is carried out late
}

// clockMS returns the time on the clock of the worker, in milliseconds.
func (w *Worker) clockMS() int64 {
	return w.clockAtStart.Milliseconds() + int64(float64(time.Since(w.startedAt).Milliseconds())*(1-w.clockDrift))
}

// registration returns the record with which the worker registers in the store.
func (w *Worker) registration() []byte {
	state := "ready"
	if w.draining {
		state = "draining"
	}
	return fmt.Appendf(nil, `{"service":%q,"address":%q,"zone":"z1","version":"v1","slots":8,"state":%q,"cold_remaining_ms":0,`+
		`"capacity":{"cpu":%d,"mem_mb":65536,"gpu":0},"labels":["a","r1-1"],"machine":%q,"born":%d,"sequence":1}`,
		w.Pool, w.address, state, w.CPU, w.Machine, w.startedAt.UnixMilli())
}

// RemainingLease returns the time until the lease of the worker expires, on the worker's clock. It is negative after
// the expiry.
func (w *Worker) RemainingLease() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return time.Duration(w.leaseEnd-w.clockMS()) * time.Millisecond
}

// SetUnresponsive makes the worker answer no calls while it goes on running tasks, or ends this state.
func (w *Worker) SetUnresponsive(unresponsive bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.unresponsive = unresponsive
}

// Drain announces in the registration of the worker that it is about to end.
func (w *Worker) Drain() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.draining = true
	w.platform.Store.Put("keyed.servers", w.ID, w.registration())
}

// Unregister removes the registration of the worker, which runs on, as if its entry had expired. Register puts it back.
func (w *Worker) Unregister() { w.platform.Store.Put("keyed.servers", w.ID, nil) }

// Register registers the worker again after Unregister.
func (w *Worker) Register() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.platform.Store.Put("keyed.servers", w.ID, w.registration())
}

// SetCapacity changes the capacity of the worker, in thousandths of a core, and its registration.
func (w *Worker) SetCapacity(cpu int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.CPU = cpu
	w.platform.Store.Put("keyed.servers", w.ID, w.registration())
}

// sendHeartbeat lets the worker write to the store if it is connected to it: a registration that is due, or a sign of life.
// The entry of a worker that has written nothing for too long expires.
func (w *Worker) sendHeartbeat(isConnected bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	switch {
	case isConnected && w.isRegistered:
		w.lastHeartbeat = now
	case isConnected && !now.Before(w.registersAt):
		w.isRegistered, w.hasExpired, w.lastHeartbeat = true, false, now
		w.platform.Store.Put("keyed.servers", w.ID, w.registration())
	case !w.hasExpired && now.Sub(w.lastHeartbeat) > maxMissedHeartbeats*heartbeatInterval:
		w.isRegistered, w.hasExpired = false, true
		w.platform.Store.Put("keyed.servers", w.ID, nil)
	}
	if !isConnected && !w.isRegistered {
		w.registersAt = now.Add(heartbeatInterval)
	}
}

// Restart ends the worker, its runs and the connections to it at once, and starts a new incarnation with the same id and address
// after d. Calls are refused meanwhile.
func (w *Worker) Restart(d time.Duration) { w.restart(d, 0, false) }

// RestartUnresponsive restarts the worker, and the new incarnation answers no call until SetUnresponsive is called on it.
func (w *Worker) RestartUnresponsive(d time.Duration) { w.restart(d, 0, true) }

// RestartUnnoticed restarts the worker, and the new incarnation registers only a delay after its start.
func (w *Worker) RestartUnnoticed(d, registrationDelay time.Duration) {
	w.restart(d, registrationDelay, false)
}

func (w *Worker) restart(d, registrationDelay time.Duration, unresponsive bool) {
	p := w.platform
	lastHeartbeat := time.Now()
	p.mu.Lock()
	delete(p.workers, w.Machine)
	p.offlineStates[w.Machine] = stateDown
	p.mu.Unlock()
	w.terminate()
	_ = w.server.Close() // the error of closing the listener, which is not used again
	time.AfterFunc(d, func() {
		l := p.listenForWorker(w.Machine, w.server.Addr)
		if l == nil {
			return
		}
		next := &Worker{
			ID: w.ID, Machine: w.Machine, Pool: w.Pool, CPU: w.CPU, platform: p, startedAt: time.Now(), clockDrift: w.clockDrift, unresponsive: unresponsive,
			runs: map[string]*run{}, highestRun: map[string]int64{}, changed: make(chan struct{}), address: w.address,
			lastHeartbeat: lastHeartbeat, registersAt: time.Now().Add(registrationDelay),
		}
		p.mu.Lock()
		delete(p.offlineStates, next.Machine)
		p.addWorker(next, l)
		isConnected := !p.storeless[next.Machine]
		p.mu.Unlock()
		next.sendHeartbeat(isConnected)
	})
}

// currentIncarnation returns the latest incarnation with the id of the worker.
func (w *Worker) currentIncarnation() *Worker {
	w.platform.mu.Lock()
	defer w.platform.mu.Unlock()
	if next := w.platform.workers[w.Machine]; next != nil && next.ID == w.ID {
		return next
	}
	return w
}

// DelayStarts leaves the next n starts without a response and lets them take effect after d, on the incarnation that has
// the id of the worker then.
func (w *Worker) DelayStarts(n int, d time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.delayedStarts, w.startDelay = n, d
}

// DelayStops lets stopped runs end d after the call.
func (w *Worker) DelayStops(d time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopDelay = d
}

// ServeHTTP implements http.Handler.
func (w *Worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	var body orderBody
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	w.mu.Lock()
	unresponsive := w.unresponsive
	w.mu.Unlock()
	if unresponsive {
		<-r.Context().Done()
		return
	}
	if r.Header.Get("X-Target-Instance") != w.ID {
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch r.URL.Path {
	case "/api/run-start":
		w.serveStart(rw, r, body)
	case "/api/run-stop":
		w.mu.Lock()
		w.acceptToken(body)
		time.AfterFunc(w.stopDelay, func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			w.stopRun(body)
		})
		w.mu.Unlock()
		writeJSON(rw, http.StatusOK, map[string]int64{"clock_ms": w.clockMS()})
	case "/api/hold":
		w.serveReport(rw, r, body)
	default:
		// Any other call is confirmed but has no effect.
		writeJSON(rw, http.StatusOK, map[string]int64{"clock_ms": w.clockMS()})
	}
}

func (w *Worker) serveStart(rw http.ResponseWriter, r *http.Request, body orderBody) {
	w.mu.Lock()
	if w.delayedStarts > 0 {
		w.delayedStarts--
		body.late = true
		time.AfterFunc(w.startDelay, func() {
			current := w.currentIncarnation()
			current.mu.Lock()
			defer current.mu.Unlock()
			current.startRun(body)
		})
		w.mu.Unlock()
		<-r.Context().Done()
		return
	}
	reason := w.startRun(body)
	w.mu.Unlock()
	if reason != "" {
		writeJSON(rw, http.StatusConflict, map[string]any{"clock_ms": w.clockMS(), "reason": reason})
		return
	}
	writeJSON(rw, http.StatusOK, map[string]int64{"clock_ms": w.clockMS()})
}

// acceptToken stores the fencing token of a call and reports whether the token is current.
func (w *Worker) acceptToken(body orderBody) bool {
	if body.FencingToken < w.token {
		return false
	}
	w.token = body.FencingToken
	return true
}

// startRun starts a run. If it refuses the start, it returns the reason, otherwise an empty string.
func (w *Worker) startRun(body orderBody) string {
	switch {
	case w.terminated:
		return "old"
	case !w.acceptToken(body):
		return "fence"
	case body.DeadlineMS < w.clockMS():
		return "late"
	case w.highestRun[body.Task] >= body.Run:
		return "old"
	}
	// The start of a task that already runs here is confirmed without effect, whatever the number of the run.
	if w.runs[body.Task] != nil {
		return ""
	}
	w.extendLease(body.DeadlineMS)
	cpu, duration, fails := w.platform.recordStart(w, body)
	if strings.HasSuffix(body.Spec, deadlySuffix) {
		go w.platform.CrashWorker(w.Machine, crashDowntime)
	}
	started := &run{task: body.Task, number: body.Run, cpu: cpu, checkpoints: strings.HasSuffix(body.Spec, checkpointsSuffix)}
	w.runs[body.Task] = started
	if used := w.usedCPU(); used > w.CPU {
		w.platform.recordViolation("capacity of %s exceeded: %d of %d", w.ID, used, w.CPU)
	}
	if duration > 0 {
		outcome := "done"
		if fails {
			outcome = "failed"
		}
		started.timer = time.AfterFunc(duration, func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			w.endRun(started, outcome)
		})
	}
	return ""
}

func (w *Worker) usedCPU() int {
	total := 0
	for _, r := range w.runs {
		total += r.cpu
	}
	return total
}

func (w *Worker) stopRun(body orderBody) {
	w.highestRun[body.Task] = max(w.highestRun[body.Task], body.Run)
	if r := w.runs[body.Task]; r != nil && r.number <= body.Run {
		w.endRun(r, "stopped")
	}
}

// endRun ends a run, unless it has ended already, and lists it until the end is acknowledged.
func (w *Worker) endRun(r *run, outcome string) {
	if w.runs[r.task] != r {
		return
	}
	delete(w.runs, r.task)
	if r.timer != nil {
		r.timer.Stop()
	}
	w.highestRun[r.task] = max(w.highestRun[r.task], r.number)
	w.lastEnd++
	w.unacknowledgedEnds = append(w.unacknowledgedEnds, []any{w.lastEnd, r.task, r.number, outcome, w.platform.reportCheckpoint(r)})
	w.platform.recordEnd(w, r.task, r.number, outcome)
	close(w.changed)
	w.changed = make(chan struct{})
}

// terminate ends the worker and its runs at once. It answers no further calls.
func (w *Worker) terminate() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.unresponsive, w.terminated = true, true
	for _, r := range w.runs {
		if r.timer != nil {
			r.timer.Stop()
		}
		w.platform.recordEnd(w, r.task, r.number, "gone")
	}
	w.runs = map[string]*run{}
}

// extendLease extends the lease to a deadline, as far as the longest lease allows.
func (w *Worker) extendLease(deadline int64) {
	if limit := w.platform.MaxLease; limit > 0 {
		deadline = min(deadline, w.clockMS()+limit.Milliseconds())
	}
	w.leaseEnd = max(w.leaseEnd, deadline)
}

// expireLease ends all runs if the lease has expired.
func (w *Worker) expireLease() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.clockMS() < w.leaseEnd || len(w.runs) == 0 && !w.hasExpired {
		return
	}
	w.lastEndAtExpiry = w.lastEnd
	for _, r := range w.runs {
		w.endRun(r, "lapsed")
	}
}

// serveReport renews the lease, accepts acknowledgements of ended runs, and reports the running and the ended runs. If
// there is no end to report, it waits for one up to the time that the caller requests.
func (w *Worker) serveReport(rw http.ResponseWriter, r *http.Request, body orderBody) {
	w.mu.Lock()
	if !w.acceptToken(body) {
		w.mu.Unlock()
		writeJSON(rw, http.StatusConflict, map[string]any{"clock_ms": w.clockMS(), "reason": "fence"})
		return
	}
	w.extendLease(body.DeadlineMS)
	for len(w.unacknowledgedEnds) > 0 && w.unacknowledgedEnds[0][0].(int64) <= body.LastSeen {
		if w.unacknowledgedEnds[0][0].(int64) > w.lastEndAtExpiry {
			end := w.unacknowledgedEnds[0]
			w.platform.recordAcknowledgement(end[1].(string), end[2].(int64), end[3].(string))
		}
		w.unacknowledgedEnds = w.unacknowledgedEnds[1:]
	}
	if len(w.unacknowledgedEnds) == 0 && body.WaitMS > 0 {
		changed := w.changed
		w.mu.Unlock()
		select {
		case <-changed:
		case <-time.After(time.Duration(body.WaitMS) * time.Millisecond):
		case <-r.Context().Done():
			return
		}
		w.mu.Lock()
	}
	running := [][]any{} // rows of task, run, checkpoint, speed in percent and measurement
	for _, active := range w.runs {
		running = append(running, []any{active.task, active.number, w.platform.reportCheckpoint(active), 100, 0})
	}
	listed := w.unacknowledgedEnds[:min(len(w.unacknowledgedEnds), maxListedEnds)]
	response := map[string]any{"born": w.startedAt.UnixMilli(), "clock_ms": w.clockMS(), "running": running, "ended": listed}
	if w.unacknowledgedEnds == nil {
		response["ended"] = [][]any{}
	}
	w.mu.Unlock()
	writeJSON(rw, http.StatusOK, response)
}

// parseSpec parses the specification of a job: the processor capacity that a task uses, in thousandths of a core, its
// duration in milliseconds (0: until it is stopped), and the optional word "fails". For a malformed specification it
// returns zeros.
func parseSpec(spec string) (cpu int, duration time.Duration, fails bool) {
	parts := strings.Split(spec, " ")
	if len(parts) < 2 {
		return 0, 0, false
	}
	cpu, err := strconv.Atoi(parts[0])
	if err != nil {
		return 0, 0, false
	}
	ms, err := strconv.Atoi(parts[1])
	if err != nil {
		return 0, 0, false
	}
	return cpu, time.Duration(ms) * time.Millisecond, len(parts) > 2 && parts[2] == "fails"
}
