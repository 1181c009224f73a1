// Package upstream defines the interfaces of the platform that "hibiscuslane serve" uses: the append-only log, the list
// of instances, their control operations, and the task interface of workers. Client and WorkerClient implement them
// over the platform's HTTP protocol. Package platform is the client of the platform on which "hibiscuslane run" runs.
package upstream

import (
	"context"
	"encoding/json"
	"time"

	"hibiscuslane.example/hibiscuslane/instance"
	"hibiscuslane.example/hibiscuslane/record"
	"hibiscuslane.example/hibiscuslane/site"
)

// Log is the platform's append-only log.
type Log interface {
	// Append adds records to a stream and returns the offset of the first. If it fails, the records may
	// have been added nevertheless.
	Append(ctx context.Context, stream record.Stream, records []json.RawMessage) (record.Offset, error)
	// Read returns up to limit records, starting at an offset, and waits at most wait for the first one.
	// It fails with ExpiredError if the log has already deleted the record at the offset.
	Read(ctx context.Context, stream record.Stream, from record.Offset, limit int, wait time.Duration) (Batch, error)
}

// Batch is the result of a read: consecutive records of a stream, and the range of offsets that the stream has.
type Batch struct {
	// OldestOffset is the offset of the oldest record that the log still has.
	OldestOffset record.Offset `json:"first"`
	// NextOffset is the offset that the next appended record will get.
	NextOffset record.Offset  `json:"next"`
	Records    []StoredRecord `json:"records"`
}

// StoredRecord is a record of the log with its offset.
type StoredRecord struct {
	Offset record.Offset   `json:"offset"`
	Body   json.RawMessage `json:"body"`
}

// Directory is the platform's list of instances. It is updated with a delay.
type Directory interface {
	List(ctx context.Context) ([]Instance, error)
}

// InstanceState is the state of an instance in the platform's list.
type InstanceState string

// States of an instance.
const (
	StateLive    InstanceState = "live"
	StateLeaving InstanceState = "leaving" // accepts no new work under its current incarnation
)

// Instance describes an instance in the platform's list.
type Instance struct {
	ID          instance.ID          `json:"id"`
	Kind        instance.Kind        `json:"kind"`
	Address     instance.Address     `json:"address"`
	Incarnation instance.Incarnation `json:"incarnation"`
	Centre      site.DataCentre      `json:"centre"`
	Rack        site.Rack            `json:"rack"`
	State       InstanceState        `json:"state"`
	// Cores, Memory (MB) and Accelerators are set for workers.
	Cores        int `json:"cores,omitempty"`
	Memory       int `json:"memory,omitempty"`
	Accelerators int `json:"accelerators,omitempty"`
}

// Controller drains and reboots instances. A call for another incarnation than the current one is refused
// (RefusedIncarnation).
type Controller interface {
	// Drain makes an instance refuse new work until it is rebooted.
	Drain(ctx context.Context, id instance.ID, incarnation instance.Incarnation) error
	// Reboot restarts an idle instance, which gets the next incarnation. It fails with RefusedBusy while
	// the instance executes work.
	Reboot(ctx context.Context, id instance.ID, incarnation instance.Incarnation) error
}

// TaskState is the state of a task on a worker.
type TaskState string

// States of a task.
const (
	TaskRunning TaskState = "running"
	TaskDone    TaskState = "done"
	TaskFailed  TaskState = "failed"
	TaskStopped TaskState = "stopped"
	TaskExpired TaskState = "lapsed" // the lease expired
)

// TaskID identifies a task; it is the ID of the job.
type TaskID string

// Epoch counts the attempts of a task and serves as a fencing token: a worker refuses to start a task unless its
// epoch is higher than every earlier one of the task.
type Epoch uint64

// Task holds the parameters with which a worker starts a task.
type Task struct {
	ID          TaskID               `json:"task"`
	Epoch       Epoch                `json:"epoch"`
	Incarnation instance.Incarnation `json:"incarnation"` // of the worker
	// LeaseMS is the duration of the lease in milliseconds. The worker stops the task when the lease expires.
	LeaseMS      int64  `json:"lease"`
	Cores        int    `json:"cores"`
	Memory       int    `json:"memory"` // MB
	Accelerators int    `json:"accelerators,omitempty"`
	Command      string `json:"command"`
	Input        string `json:"input,omitempty"`
}

// TaskStatus is the state of a task as its worker reports it. Cores and Memory are its resource usage, which is
// updated with a delay.
type TaskStatus struct {
	ID     TaskID    `json:"task"`
	Epoch  Epoch     `json:"epoch"`
	State  TaskState `json:"state"`
	Output string    `json:"output,omitempty"`
	Reason string    `json:"reason,omitempty"`
	Cores  float64   `json:"cores"`
	Memory int       `json:"memory"` // MB
}

// Worker is the task interface of one worker.
type Worker interface {
	Start(ctx context.Context, task Task) error
	// Renew makes the lease of a task expire after the given duration from now.
	Renew(ctx context.Context, task TaskID, epoch Epoch, lease time.Duration) error
	// Stop ends a task. Its progress is lost.
	Stop(ctx context.Context, task TaskID, epoch Epoch) error
	// Checkpoint saves the progress of a task and ends it. Its next epoch resumes from there.
	Checkpoint(ctx context.Context, task TaskID, epoch Epoch) error
	// Throttle makes a task release half of its cores until the end of its epoch.
	Throttle(ctx context.Context, task TaskID, epoch Epoch) error
	// Tasks returns the status of the running tasks and of those that ended recently.
	Tasks(ctx context.Context) ([]TaskStatus, error)
}

// Headers of the protocol between entries and targets.
const (
	HeaderIncarnation = "Platform-Incarnation" // of a request: the incarnation that it is meant for
	HeaderRequest     = "Platform-Request"     // the ID of the request, which the response repeats
	HeaderRefused     = "Platform-Refused"     // of a response that refuses the request: the Refusal
)

// Refusal is the reason code with which the platform, a target or a worker refuses a call.
type Refusal string

// Reasons of refusals.
const (
	RefusedIncarnation Refusal = "incarnation" // the instance has another incarnation
	RefusedDraining    Refusal = "draining"    // the instance accepts no new work
	RefusedFull        Refusal = "full"        // the capacity or a rate limit is reached
	RefusedBusy        Refusal = "busy"        // the instance still executes work
	RefusedEpoch       Refusal = "epoch"       // the epoch is too low, or not that of the running task
	RefusedExpired     Refusal = "expired"     // the log has deleted the records
	RefusedDown        Refusal = "down"        // the service is unavailable
	RefusedMissing     Refusal = "missing"     // the instance or task does not exist
	RefusedInvalid     Refusal = "invalid"     // the call is malformed
)
