package worker

import (
	"time"

	"hibiscuslane.example/hibiscuslane/instance"
	"hibiscuslane.example/hibiscuslane/standin/machine"
	"hibiscuslane.example/hibiscuslane/upstream"
)

// Reasons in the status of tasks that the worker ends.
const (
	reasonLease      = "lease expired"
	reasonStop       = "stopped by a call"
	reasonCheckpoint = "checkpoint"
	reasonSuperseded = "superseded by a higher epoch"
	reasonMemory     = "out of memory"
	reasonCrash      = "worker crashed"
)

const (
	// throttledSpeed is the progress of a throttled task relative to an unthrottled one.
	throttledSpeed = 0.5
	// journalLimit bounds the memory of a journal in long runs; the oldest runs are dropped.
	journalLimit = 100_000
	// tasksKept bounds the tasks that are reported, running ones excepted.
	tasksKept = 1024
)

type resources struct {
	cores, memory, accelerators int
}

func (r resources) plus(o resources) resources {
	return resources{cores: r.cores + o.cores, memory: r.memory + o.memory, accelerators: r.accelerators + o.accelerators}
}

func (r resources) within(limit resources) bool {
	return r.cores <= limit.cores && r.memory <= limit.memory && r.accelerators <= limit.accelerators
}

// run is one epoch of a task on this worker.
type run struct {
	task    upstream.Task
	command command
	hold    *machine.Hold
	state   upstream.TaskState
	output  string
	reason  string
	record  Record
	// speed is the progress per time since resumed; done is the progress before resumed.
	speed   float64
	done    time.Duration
	resumed time.Time
	samples []sample
	// deadline is the end of the lease.
	deadline time.Time
	// lease, finish and crash cancel the pending callbacks.
	lease, finish, crash func() bool
}

// sample is the usage from a time on.
type sample struct {
	at     time.Time
	cores  float64
	memory int
}

// reserved returns the part of the worker's capacity that the run holds. A throttled run gives half
// of its cores back.
func (r *run) reserved() resources {
	if r.state != upstream.TaskRunning {
		return resources{}
	}
	held := resources{cores: r.task.Cores, memory: r.task.Memory, accelerators: r.task.Accelerators}
	if r.speed < 1 {
		held.cores -= held.cores / 2
	}
	return held
}

func (r *run) progress(now time.Time) time.Duration {
	return r.done + time.Duration(float64(now.Sub(r.resumed))*r.speed)
}

// status reports the run with the usage of an earlier time.
func (r *run) status(seen time.Time) upstream.TaskStatus {
	status := upstream.TaskStatus{
		ID: r.task.ID, Epoch: r.task.Epoch, State: r.state, Output: r.output, Reason: r.reason,
	}
	for _, s := range r.samples {
		if !s.at.After(seen) {
			status.Cores, status.Memory = s.cores, s.memory
		}
	}
	return status
}

// Record is one run in the journal of a worker.
type Record struct {
	Task        upstream.TaskID      `json:"task"`
	Epoch       upstream.Epoch       `json:"epoch"`
	Incarnation instance.Incarnation `json:"incarnation"`
	Start       time.Time            `json:"start"`
	// End is nil while the task runs.
	End    *time.Time         `json:"end"`
	State  upstream.TaskState `json:"state"`
	Reason string             `json:"reason,omitempty"`
}

// Tasks returns the status of the tasks of this life, oldest start first.
func (w *Worker) Tasks() []upstream.TaskStatus {
	seen := w.timer.Now().Add(-w.lag)
	w.mu.Lock()
	defer w.mu.Unlock()
	statuses := make([]upstream.TaskStatus, 0, len(w.order))
	for _, id := range w.order {
		statuses = append(statuses, w.runs[id].status(seen))
	}
	return statuses
}

// Journal returns the ended runs in the order of their end, then the running ones. It outlives
// reboots.
func (w *Worker) Journal() []Record {
	w.mu.Lock()
	defer w.mu.Unlock()
	records := append([]Record{}, w.journal...)
	for _, id := range w.order {
		if r := w.runs[id]; r.state == upstream.TaskRunning {
			records = append(records, r.record)
		}
	}
	return records
}

// endLocked ends a running task. The caller unlocks with unlock.
func (w *Worker) endLocked(r *run, state upstream.TaskState, output, reason string) {
	for _, cancel := range []func() bool{r.lease, r.finish, r.crash} {
		if cancel != nil {
			cancel()
		}
	}
	end := w.timer.Now()
	r.state, r.output, r.reason = state, output, reason
	r.record.End, r.record.State, r.record.Reason = &end, state, reason
	w.journal = append(w.journal, r.record)
	if len(w.journal) > journalLimit {
		w.journal = w.journal[1:]
	}
	w.ended = append(w.ended, r.hold)
}

// end ends a run from a callback, unless it has ended before.
func (w *Worker) end(r *run, state upstream.TaskState, output, reason string) {
	w.mu.Lock()
	defer w.unlock()
	if r.state == upstream.TaskRunning {
		w.endLocked(r, state, output, reason)
	}
}

// pruneLocked drops the oldest ended tasks from the report.
func (w *Worker) pruneLocked() {
	excess := len(w.order) - tasksKept
	if excess <= 0 {
		return
	}
	kept := make([]upstream.TaskID, 0, len(w.order))
	for _, id := range w.order {
		if excess > 0 && w.runs[id].state != upstream.TaskRunning {
			delete(w.runs, id)
			excess--
			continue
		}
		kept = append(kept, id)
	}
	w.order = kept
}
