// Package worker emulates a worker of "hibiscuslane serve" that runs tasks under leases with epochs. Commands
// are emulated in memory; no process is started. Package fabric emulates the workers of "hibiscuslane run".
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

// Capacity of a worker whose Options.ListedInstance states none.
const (
	DefaultCores  = 16
	DefaultMemory = 65536 // MB
)

// Options describe a worker. The zero value has the default capacity and listens on a free port.
type Options struct {
	// ID replaces the id of ListedInstance, unless it is empty.
	ID             instance.ID
	ListedInstance upstream.Instance
	// RestartDelay is the time that a reboot takes.
	RestartDelay time.Duration
	// UsageLag is the delay after which a change of the resource usage is reported.
	UsageLag time.Duration
	// Checkpoints stores the progress of tasks; nil means that the worker has its own store.
	Checkpoints *Checkpoints
	Timer       *timer.Service
}

// Faults are the faults that can be injected into a worker.
type Faults struct {
	machine.Faults
	// TaskFailure is the reason with which every task fails at its start; empty means no fault.
	TaskFailure string `json:"fail"`
}

// Worker is an emulated worker with its tasks and journal.
type Worker struct {
	*machine.Machine
	usageLag    time.Duration
	checkpoints *Checkpoints
	timer       *timer.Service
	capacity    resources

	mu          sync.Mutex
	taskFailure string
	// runs holds the latest run of each task in this incarnation; taskOrder holds the tasks in the order of
	// their start.
	runs      map[upstream.TaskID]*run
	taskOrder []upstream.TaskID
	// epochs holds the highest epoch of each task that was started in this incarnation.
	epochs  map[upstream.TaskID]upstream.Epoch
	journal []RunRecord
	// endedWork holds the work of ended runs, which unlockAndEndWork marks as finished.
	endedWork []*machine.Work
}

// Start starts a worker.
func Start(options Options) (*Worker, error) {
	listedInstance := options.ListedInstance
	listedInstance.Kind = instance.KindWorker
	if options.ID != "" {
		listedInstance.ID = options.ID
	}
	if listedInstance.Cores == 0 {
		listedInstance.Cores = DefaultCores
	}
	if listedInstance.Memory == 0 {
		listedInstance.Memory = DefaultMemory
	}
	if options.Checkpoints == nil {
		options.Checkpoints = &Checkpoints{}
	}
	w := &Worker{
		usageLag:    options.UsageLag,
		checkpoints: options.Checkpoints,
		timer:       options.Timer,
		capacity:    resources{cores: listedInstance.Cores, memory: listedInstance.Memory, accelerators: listedInstance.Accelerators},
		runs:        map[upstream.TaskID]*run{},
		epochs:      map[upstream.TaskID]upstream.Epoch{},
	}
	m, err := machine.New(machine.Options{
		ListedInstance: listedInstance,
		RestartDelay:   options.RestartDelay,
		Timer:          options.Timer,
		OnRestart:      w.reset,
	})
	if err != nil {
		return nil, err
	}
	w.Machine = m
	m.Serve(w.handler())
	return w, nil
}

// reset removes the tasks of the previous incarnation.
func (w *Worker) reset() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, r := range w.runs {
		if r.state == upstream.TaskRunning {
			w.endRunLocked(r, upstream.TaskStopped, "", reasonCrash)
		}
	}
	// This work belongs to the previous incarnation, whose number of running tasks is no longer read.
	w.endedWork = nil
	w.runs = map[upstream.TaskID]*run{}
	w.taskOrder = nil
	w.epochs = map[upstream.TaskID]upstream.Epoch{}
}

// unlockAndEndWork unlocks mu and then marks the work of ended runs as finished. The opposite order could
// deadlock: Work.End locks the machine, and the machine holds its lock when it calls reset, which locks mu.
func (w *Worker) unlockAndEndWork() {
	ended := w.endedWork
	w.endedWork = nil
	w.mu.Unlock()
	for _, work := range ended {
		work.End()
	}
}

// Faults returns the current faults.
func (w *Worker) Faults() Faults {
	w.mu.Lock()
	failure := w.taskFailure
	w.mu.Unlock()
	return Faults{Faults: w.Machine.Faults(), TaskFailure: failure}
}

// SetFaults replaces the current faults.
func (w *Worker) SetFaults(f Faults) error {
	w.mu.Lock()
	w.taskFailure = f.TaskFailure
	w.mu.Unlock()
	return w.Machine.SetFaults(f.Faults)
}

// PatchFaults sets the faults that the JSON object contains and leaves the others unchanged.
func (w *Worker) PatchFaults(data []byte) error {
	f := w.Faults()
	if err := reply.DecodeStrict("fault of "+string(w.ID()), data, &f); err != nil {
		return err
	}
	return w.SetFaults(f)
}

func (w *Worker) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /tasks", w.serveStart)
	mux.HandleFunc("GET /tasks", w.serveTasks)
	mux.HandleFunc("POST /tasks/{task}/renew", w.serveTaskCall(w.renew))
	mux.HandleFunc("POST /tasks/{task}/stop", w.serveTaskCall(w.stop))
	mux.HandleFunc("POST /tasks/{task}/checkpoint", w.serveTaskCall(w.checkpoint))
	mux.HandleFunc("POST /tasks/{task}/throttle", w.serveTaskCall(w.throttle))
	mux.HandleFunc("GET /-/journal", w.serveJournal)
	return mux
}

type taskRequest struct {
	Epoch upstream.Epoch `json:"epoch"`
	Lease int64          `json:"lease"` // milliseconds
}

type tasksResponse struct {
	Tasks []upstream.TaskStatus `json:"tasks"`
}

type journalResponse struct {
	Runs []RunRecord `json:"runs"`
}

func (w *Worker) serveStart(rw http.ResponseWriter, r *http.Request) {
	var task upstream.Task
	err := reply.DecodeBody(r, &task)
	if err == nil {
		err = w.startTask(task)
	}
	if err != nil {
		reply.Error(rw, err)
		return
	}
	reply.Accepted(rw)
}

func (w *Worker) serveTaskCall(operation func(*run, taskRequest) error) http.HandlerFunc {
	return func(rw http.ResponseWriter, r *http.Request) {
		var body taskRequest
		err := reply.DecodeBody(r, &body)
		if err == nil {
			err = w.applyToRun(r.URL.Path, upstream.TaskID(r.PathValue("task")), body, operation)
		}
		if err != nil {
			reply.Error(rw, err)
			return
		}
		reply.Accepted(rw)
	}
}

func (w *Worker) serveTasks(rw http.ResponseWriter, _ *http.Request) {
	reply.JSON(rw, http.StatusOK, tasksResponse{Tasks: w.Tasks()})
}

func (w *Worker) serveJournal(rw http.ResponseWriter, _ *http.Request) {
	reply.JSON(rw, http.StatusOK, journalResponse{Runs: w.Journal()})
}
