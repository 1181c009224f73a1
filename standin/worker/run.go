package worker

import (
	"time"

	"hibiscuslane.example/hibiscuslane/instance"
	"hibiscuslane.example/hibiscuslane/standin/machine"
	"hibiscuslane.example/hibiscuslane/upstream"
)

// Reasons in the status of tasks that the worker ended.
const (
	reasonLease      = "lease expired"
	reasonStop       = "stopped by a call"
	reasonCheckpoint = "checkpoint"
	reasonSuperseded = "superseded by a higher epoch"
	reasonMemory     = "out of memory"
	reasonCrash      = "worker crashed"
)

const (
	// throttledSpeed is the speed of a throttled task relative to an unthrottled one.
	throttledSpeed = 0.5
	// maxJournalEntries bounds the memory of the journal of a long-lived worker; the oldest runs are dropped.
	maxJournalEntries = 100_000
	// maxReportedTasks is the number of tasks above which ended tasks are removed from the report.
	maxReportedTasks = 1024
)

// resources is an amount of resources; memory is in MB.
type resources struct {
	cores, memory, accelerators int
}

func (r resources) add(o resources) resources {
	return resources{cores: r.cores + o.cores, memory: r.memory + o.memory, accelerators: r.accelerators + o.accelerators}
}

func (r resources) fitsIn(limit resources) bool {
	return r.cores <= limit.cores && r.memory <= limit.memory && r.accelerators <= limit.accelerators
}

// run is the execution of a task under one epoch.
type run struct {
	task    upstream.Task
	command command
	work    *machine.Work
	state   upstream.TaskState
	output  string
	reason  string
	record  RunRecord
	// speed is the progress per elapsed time since resumedAt; savedProgress is the progress made before.
	speed         float64
	savedProgress time.Duration
	resumedAt     time.Time
	samples       []sample
	// deadline is the time at which the lease expires.
	deadline time.Time
	// These functions cancel the pending callbacks for the end of the lease, the end of the run time, and a crash.
	cancelLease, cancelFinish, cancelCrash func() bool
}

// sample is the resource usage from a time until the next sample.
type sample struct {
	at     time.Time
	cores  float64
	memory int // MB
}

// reserved returns the part of the worker's capacity that the run occupies. A throttled run releases half
// of its cores, rounded down.
func (r *run) reserved() resources {
	if r.state != upstream.TaskRunning {
		return resources{}
	}
	reserved := resources{cores: r.task.Cores, memory: r.task.Memory, accelerators: r.task.Accelerators}
	if r.speed < 1 {
		reserved.cores -= reserved.cores / 2
	}
	return reserved
}

func (r *run) progress(now time.Time) time.Duration {
	return r.savedProgress + time.Duration(float64(now.Sub(r.resumedAt))*r.speed)
}

// status returns the status of the run, with the resource usage at usageTime.
func (r *run) status(usageTime time.Time) upstream.TaskStatus {
	status := upstream.TaskStatus{
		ID: r.task.ID, Epoch: r.task.Epoch, State: r.state, Output: r.output, Reason: r.reason,
	}
	for _, s := range r.samples {
		if !s.at.After(usageTime) {
			status.Cores, status.Memory = s.cores, s.memory
		}
	}
	return status
}

// RunRecord is the journal entry of a run.
type RunRecord struct {
	Task        upstream.TaskID      `json:"task"`
	Epoch       upstream.Epoch       `json:"epoch"`
	Incarnation instance.Incarnation `json:"incarnation"`
	Start       time.Time            `json:"start"`
	// End is nil while the run lasts.
	End    *time.Time         `json:"end"`
	State  upstream.TaskState `json:"state"`
	Reason string             `json:"reason,omitempty"`
}

// Tasks returns the status of the tasks of this incarnation in the order of their start.
func (w *Worker) Tasks() []upstream.TaskStatus {
	usageTime := w.timer.Now().Add(-w.usageLag)
	w.mu.Lock()
	defer w.mu.Unlock()
	statuses := make([]upstream.TaskStatus, 0, len(w.taskOrder))
	for _, id := range w.taskOrder {
		statuses = append(statuses, w.runs[id].status(usageTime))
	}
	return statuses
}

// Journal returns the last maxJournalEntries ended runs in the order of their end, including those before a
// reboot or crash, then the active runs.
func (w *Worker) Journal() []RunRecord {
	w.mu.Lock()
	defer w.mu.Unlock()
	records := append([]RunRecord{}, w.journal...)
	for _, id := range w.taskOrder {
		if r := w.runs[id]; r.state == upstream.TaskRunning {
			records = append(records, r.record)
		}
	}
	return records
}

// endRunLocked ends an active run. The caller, except reset, must unlock with unlockAndEndWork.
func (w *Worker) endRunLocked(r *run, state upstream.TaskState, output, reason string) {
	for _, cancel := range []func() bool{r.cancelLease, r.cancelFinish, r.cancelCrash} {
		if cancel != nil {
			cancel()
		}
	}
	end := w.timer.Now()
	r.state, r.output, r.reason = state, output, reason
	r.record.End, r.record.State, r.record.Reason = &end, state, reason
	w.journal = append(w.journal, r.record)
	if len(w.journal) > maxJournalEntries {
		w.journal = w.journal[1:]
	}
	w.endedWork = append(w.endedWork, r.work)
}

// endRun ends a run from a callback, unless it has ended before.
func (w *Worker) endRun(r *run, state upstream.TaskState, output, reason string) {
	w.mu.Lock()
	defer w.unlockAndEndWork()
	if r.state == upstream.TaskRunning {
		w.endRunLocked(r, state, output, reason)
	}
}

// pruneLocked removes ended tasks, oldest start first, until at most maxReportedTasks are left or none has ended.
func (w *Worker) pruneLocked() {
	excess := len(w.taskOrder) - maxReportedTasks
	if excess <= 0 {
		return
	}
	kept := make([]upstream.TaskID, 0, len(w.taskOrder))
	for _, id := range w.taskOrder {
		if excess > 0 && w.runs[id].state != upstream.TaskRunning {
			delete(w.runs, id)
			excess--
			continue
		}
		kept = append(kept, id)
	}
	w.taskOrder = kept
}
