// Package worker emulates a machine that runs tasks under leases with epochs. Commands are emulated
// in the process; no process is started.
package worker

import (
	"net/http"
	"sync"
	"time"

	"hibiscuslane.example/hibiscuslane/instance"
	"hibiscuslane.example/hibiscuslane/standin/machine"
	"hibiscuslane.example/hibiscuslane/standin/reply"
	"hibiscuslane.example/hibiscuslane/timer"
	"hibiscuslane.example/hibiscuslane/upstream"
)

// Capacity of a worker whose listing names none.
const (
	DefaultCores  = 16
	DefaultMemory = 65536 // MB
)

// Options describe a worker. The zero value has the default capacity and listens at a free port.
type Options struct {
	ID      instance.ID
	Listing upstream.Instance
	// Restart is the time from a reboot to the return of the worker.
	Restart time.Duration
	// Lag is the age of the reported usage.
	Lag time.Duration
	// Checkpoints holds the saved progress of tasks; nil means that the worker keeps its own.
	Checkpoints *Checkpoints
	Timer       *timer.Service
}

// Faults are the fault switches of a worker.
type Faults struct {
	machine.Faults
	// Fail is the reason with which every task fails as it starts; empty means no fault.
	Fail string `json:"fail"`
}

// Worker is an emulated worker.
type Worker struct {
	*machine.Machine
	lag         time.Duration
	checkpoints *Checkpoints
	timer       *timer.Service
	capacity    resources

	mu   sync.Mutex
	fail string
	// runs holds the latest run of each task in this life, order their tasks, oldest start first.
	runs  map[upstream.TaskID]*run
	order []upstream.TaskID
	// epochs holds the highest epoch started of each task in this life.
	epochs  map[upstream.TaskID]upstream.Epoch
	journal []Record
	// ended holds runs whose hold is released when mu is unlocked.
	ended []*machine.Hold
}

// Start opens the address of a worker.
func Start(options Options) (*Worker, error) {
	listing := options.Listing
	listing.Kind = instance.KindWorker
	if options.ID != "" {
		listing.ID = options.ID
	}
	if listing.Cores == 0 {
		listing.Cores = DefaultCores
	}
	if listing.Memory == 0 {
		listing.Memory = DefaultMemory
	}
	if options.Checkpoints == nil {
		options.Checkpoints = &Checkpoints{}
	}
	w := &Worker{
		lag:         options.Lag,
		checkpoints: options.Checkpoints,
		timer:       options.Timer,
		capacity:    resources{cores: listing.Cores, memory: listing.Memory, accelerators: listing.Accelerators},
		runs:        map[upstream.TaskID]*run{},
		epochs:      map[upstream.TaskID]upstream.Epoch{},
	}
	m, err := machine.New(machine.Options{
		Listing: listing,
		Restart: options.Restart,
		Timer:   options.Timer,
		Reset:   w.reset,
	})
	if err != nil {
		return nil, err
	}
	w.Machine = m
	m.Serve(w.handler())
	return w, nil
}

// reset forgets the tasks of the previous life.
func (w *Worker) reset() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, r := range w.runs {
		if r.state == upstream.TaskRunning {
			w.endLocked(r, upstream.TaskStopped, "", reasonCrash)
		}
	}
	// The holds belong to the previous life, whose count no longer matters.
	w.ended = nil
	w.runs = map[upstream.TaskID]*run{}
	w.order = nil
	w.epochs = map[upstream.TaskID]upstream.Epoch{}
}

// unlock releases the holds of ended runs after mu, because a hold locks the machine and the machine
// calls reset under its own lock.
func (w *Worker) unlock() {
	ended := w.ended
	w.ended = nil
	w.mu.Unlock()
	for _, hold := range ended {
		hold.Release()
	}
}

// Faults returns the present fault switches.
func (w *Worker) Faults() Faults {
	w.mu.Lock()
	fail := w.fail
	w.mu.Unlock()
	return Faults{Faults: w.Machine.Faults(), Fail: fail}
}

// SetFaults replaces the fault switches.
func (w *Worker) SetFaults(f Faults) error {
	w.mu.Lock()
	w.fail = f.Fail
	w.mu.Unlock()
	return w.Machine.SetFaults(f.Faults)
}

// Fault changes the switches that the JSON object names and leaves the others as they are.
func (w *Worker) Fault(data []byte) error {
	f := w.Faults()
	if err := reply.Strict("fault of "+string(w.ID()), data, &f); err != nil {
		return err
	}
	return w.SetFaults(f)
}

func (w *Worker) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /tasks", w.serveStart)
	mux.HandleFunc("GET /tasks", w.serveTasks)
	mux.HandleFunc("POST /tasks/{task}/renew", w.serveVerb(w.renew))
	mux.HandleFunc("POST /tasks/{task}/stop", w.serveVerb(w.stop))
	mux.HandleFunc("POST /tasks/{task}/checkpoint", w.serveVerb(w.checkpoint))
	mux.HandleFunc("POST /tasks/{task}/throttle", w.serveVerb(w.throttle))
	mux.HandleFunc("GET /-/journal", w.serveJournal)
	return mux
}

type verbBody struct {
	Epoch upstream.Epoch `json:"epoch"`
	Lease int64          `json:"lease"` // milliseconds
}

type tasksAnswer struct {
	Tasks []upstream.TaskStatus `json:"tasks"`
}

type journalAnswer struct {
	Runs []Record `json:"runs"`
}

func (w *Worker) serveStart(rw http.ResponseWriter, r *http.Request) {
	var task upstream.Task
	err := reply.Decode(r, &task)
	if err == nil {
		err = w.start(task)
	}
	if err != nil {
		reply.Error(rw, err)
		return
	}
	reply.Accepted(rw)
}

func (w *Worker) serveVerb(do func(*run, verbBody) error) http.HandlerFunc {
	return func(rw http.ResponseWriter, r *http.Request) {
		var body verbBody
		err := reply.Decode(r, &body)
		if err == nil {
			err = w.apply(r.URL.Path, upstream.TaskID(r.PathValue("task")), body, do)
		}
		if err != nil {
			reply.Error(rw, err)
			return
		}
		reply.Accepted(rw)
	}
}

func (w *Worker) serveTasks(rw http.ResponseWriter, _ *http.Request) {
	reply.JSON(rw, http.StatusOK, tasksAnswer{Tasks: w.Tasks()})
}

func (w *Worker) serveJournal(rw http.ResponseWriter, _ *http.Request) {
	reply.JSON(rw, http.StatusOK, journalAnswer{Runs: w.Journal()})
}
