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

// Worker emulates one life of a worker.
type Worker struct {
	ID, Machine, Pool string
	// CPU is its capacity in thousandths of a core.
	CPU   int
	world *Platform
	born  time.Time
	// drift is the share by which its clock is slow.
	drift float64

	mu      sync.Mutex
	address string
	token   int64
	until   int64 // end of the lease on the worker's clock
	runs    map[string]*run
	ended   [][]any
	last    int64
	// lapsed is the last end that was listed when the lease expired: acknowledgements of it and of earlier ones
	// count for nothing.
	lapsed  int64
	highest map[string]int64
	change  chan struct{}
	// dark workers answer nothing and run on; dead ones have ended.
	dark, dead bool
	// late is the number of starts that get no answer and are carried out after lateBy.
	late   int
	lateBy time.Duration
	// slow is how long a stop takes.
	slow time.Duration
}

type run struct {
	task   string
	number int64
	cpu    int
	timer  *time.Timer
}

type orderBody struct {
	Task     string `json:"task"`
	Run      int64  `json:"run"`
	Spec     string `json:"spec"`
	Deadline int64  `json:"deadline_ms"`
	Token    int64  `json:"fencing_token"`
	Seen     int64  `json:"last_seen"`
	Wait     int64  `json:"wait_ms"`
}

func (w *Worker) clock() int64 {
	return int64(float64(time.Since(w.born).Milliseconds()) * (1 - w.drift))
}

// entry returns the registration of the worker.
func (w *Worker) entry() []byte {
	return fmt.Appendf(nil, `{"service":%q,"address":%q,"zone":"z1","version":"v1","slots":8,"state":"ready","cold_remaining_ms":0,`+
		`"capacity":{"cpu":%d,"mem_mb":65536,"gpu":0},"labels":["a","r1-1"],"machine":%q,"born":%d,"sequence":1}`,
		w.Pool, w.address, w.CPU, w.Machine, w.born.UnixMilli())
}

// RemainingLease returns how long the worker may still run something.
func (w *Worker) RemainingLease() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return time.Duration(w.until-w.clock()) * time.Millisecond
}

// SetUnresponsive makes the worker silent: it runs on and answers nothing.
func (w *Worker) SetUnresponsive(dark bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.dark = dark
}

// DelayStarts leaves the next n starts without an answer and carries them out after d.
func (w *Worker) DelayStarts(n int, d time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.late, w.lateBy = n, d
}

// DelayStops lets stops take d.
func (w *Worker) DelayStops(d time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.slow = d
}

// ServeHTTP implements http.Handler.
func (w *Worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	var body orderBody
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	w.mu.Lock()
	dark := w.dark
	w.mu.Unlock()
	if dark {
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
		w.fence(body)
		time.AfterFunc(w.slow, func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			w.stop(body)
		})
		w.mu.Unlock()
		reply(rw, http.StatusOK, map[string]int64{"clock_ms": w.clock()})
	case "/api/hold":
		w.hold(rw, r, body)
	default:
		reply(rw, http.StatusOK, map[string]int64{"clock_ms": w.clock()})
	}
}

func (w *Worker) serveStart(rw http.ResponseWriter, r *http.Request, body orderBody) {
	w.mu.Lock()
	if w.late > 0 {
		w.late--
		time.AfterFunc(w.lateBy, func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			w.start(body)
		})
		w.mu.Unlock()
		<-r.Context().Done()
		return
	}
	reason := w.start(body)
	w.mu.Unlock()
	if reason != "" {
		reply(rw, http.StatusConflict, map[string]any{"clock_ms": w.clock(), "reason": reason})
		return
	}
	reply(rw, http.StatusOK, map[string]int64{"clock_ms": w.clock()})
}

func (w *Worker) fence(body orderBody) bool {
	if body.Token < w.token {
		return false
	}
	w.token = body.Token
	return true
}

func (w *Worker) start(body orderBody) string {
	switch {
	case w.dead:
		return "old"
	case !w.fence(body):
		return "fence"
	case body.Deadline < w.clock():
		return "late"
	case w.highest[body.Task] >= body.Run:
		return "old"
	}
	if w.runs[body.Task] != nil {
		return ""
	}
	w.until = max(w.until, body.Deadline)
	cpu, length, fails := w.world.begin(w, body.Task, body.Spec)
	n := &run{task: body.Task, number: body.Run, cpu: cpu}
	w.runs[body.Task] = n
	if used := w.used(); used > w.CPU {
		w.world.violate("capacity of %s exceeded: %d of %d", w.ID, used, w.CPU)
	}
	if length > 0 {
		how := "done"
		if fails {
			how = "failed"
		}
		n.timer = time.AfterFunc(length, func() {
			w.mu.Lock()
			defer w.mu.Unlock()
			w.end(n, how)
		})
	}
	return ""
}

func (w *Worker) used() int {
	total := 0
	for _, n := range w.runs {
		total += n.cpu
	}
	return total
}

func (w *Worker) stop(body orderBody) {
	w.highest[body.Task] = max(w.highest[body.Task], body.Run)
	if n := w.runs[body.Task]; n != nil && n.number <= body.Run {
		w.end(n, "stopped")
	}
}

// end ends a run unless it has ended.
func (w *Worker) end(n *run, how string) {
	if w.runs[n.task] != n {
		return
	}
	delete(w.runs, n.task)
	if n.timer != nil {
		n.timer.Stop()
	}
	w.highest[n.task] = max(w.highest[n.task], n.number)
	w.last++
	w.ended = append(w.ended, []any{w.last, n.task, n.number, how, ""})
	w.world.finish(w, n.task, how)
	close(w.change)
	w.change = make(chan struct{})
}

// kill ends the life of the worker without a trace.
func (w *Worker) kill() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.dark, w.dead = true, true
	for _, n := range w.runs {
		if n.timer != nil {
			n.timer.Stop()
		}
		w.world.finish(w, n.task, "gone")
	}
	w.runs = map[string]*run{}
}

// lapse ends everything once the lease has expired.
func (w *Worker) lapse() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.clock() < w.until {
		return
	}
	w.lapsed = w.last
	for _, n := range w.runs {
		w.end(n, "lapsed")
	}
}

func (w *Worker) hold(rw http.ResponseWriter, r *http.Request, body orderBody) {
	w.mu.Lock()
	if !w.fence(body) {
		w.mu.Unlock()
		reply(rw, http.StatusConflict, map[string]any{"clock_ms": w.clock(), "reason": "fence"})
		return
	}
	w.until = max(w.until, body.Deadline)
	for len(w.ended) > 0 && w.ended[0][0].(int64) <= body.Seen {
		if w.ended[0][0].(int64) > w.lapsed {
			w.world.note(w.ended[0][1].(string), w.ended[0][3].(string))
		}
		w.ended = w.ended[1:]
	}
	if len(w.ended) == 0 && body.Wait > 0 {
		change := w.change
		w.mu.Unlock()
		select {
		case <-change:
		case <-time.After(time.Duration(body.Wait) * time.Millisecond):
		case <-r.Context().Done():
			return
		}
		w.mu.Lock()
	}
	running := [][]any{}
	for _, n := range w.runs {
		running = append(running, []any{n.task, n.number, "", 100, 0})
	}
	answer := map[string]any{"born": w.born.UnixMilli(), "clock_ms": w.clock(), "running": running, "ended": w.ended}
	if w.ended == nil {
		answer["ended"] = [][]any{}
	}
	w.mu.Unlock()
	reply(rw, http.StatusOK, answer)
}

// parseSpec reads the text of a job of this package: the processor time of a task in thousandths of a
// core, its duration in milliseconds (0: it lasts) and whether it fails.
func parseSpec(spec string) (cpu int, length time.Duration, fails bool) {
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
