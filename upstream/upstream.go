// Package upstream defines what the system uses of the platform: the append-only log, the list of
// instances, drain and reboot, and the task interface of workers. Client types speak the published
// HTTP protocol.
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
	// Append adds records to a stream and returns the offset of the first. An error may hide an
	// append that took effect.
	Append(ctx context.Context, stream record.Stream, records []json.RawMessage) (record.Offset, error)
	// Read returns up to limit records from an offset on, and waits up to wait for the first one.
	// It fails with ExpiredError when the offset is older than the oldest kept record.
	Read(ctx context.Context, stream record.Stream, from record.Offset, limit int, wait time.Duration) (Batch, error)
}

// Batch is a run of consecutive records.
type Batch struct {
	// OldestOffset is the offset of the oldest record that the log still keeps.
	OldestOffset record.Offset `json:"first"`
	// NextOffset is the offset that the next appended record will get.
	NextOffset record.Offset  `json:"next"`
	Records    []StoredRecord `json:"records"`
}

// StoredRecord is a record at its offset.
type StoredRecord struct {
	Offset record.Offset   `json:"offset"`
	Body   json.RawMessage `json:"body"`
}

// Directory is the platform's list of instances. It lags behind the truth.
type Directory interface {
	List(ctx context.Context) ([]Instance, error)
}

// InstanceState is the state of an instance in the platform's list.
type InstanceState string

// States of a listing.
const (
	StateLive    InstanceState = "live"
	StateLeaving InstanceState = "leaving"
)

// Instance describes one instance.
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

// Controller drains and reboots instances.
type Controller interface {
	Drain(ctx context.Context, id instance.ID, incarnation instance.Incarnation) error
	// Reboot restarts an idle instance under the next incarnation. It fails with RefusedError and the
	// word busy while work runs there.
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
	TaskExpired TaskState = "lapsed"
)

// TaskID names a task; the system uses the job id.
type TaskID string

// Epoch counts the attempts of a task. A worker refuses an epoch that is not higher than the last
// it has seen for the task.
type Epoch uint64

// Task is the order to start a task.
type Task struct {
	ID          TaskID               `json:"task"`
	Epoch       Epoch                `json:"epoch"`
	Incarnation instance.Incarnation `json:"incarnation"`
	// LeaseMS is the time in milliseconds after which the worker stops the task unless renewed.
	LeaseMS      int64  `json:"lease"`
	Cores        int    `json:"cores"`
	Memory       int    `json:"memory"` // MB
	Accelerators int    `json:"accelerators,omitempty"`
	Command      string `json:"command"`
	Input        string `json:"input,omitempty"`
}

// TaskStatus is a worker's report of a task. Usage lags.
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
	Renew(ctx context.Context, task TaskID, epoch Epoch, lease time.Duration) error
	Stop(ctx context.Context, task TaskID, epoch Epoch) error
	Checkpoint(ctx context.Context, task TaskID, epoch Epoch) error
	Throttle(ctx context.Context, task TaskID, epoch Epoch) error
	Tasks(ctx context.Context) ([]TaskStatus, error)
}

// Headers of the target protocol.
const (
	HeaderIncarnation = "Platform-Incarnation"
	HeaderRequest     = "Platform-Request"
	HeaderRefused     = "Platform-Refused"
)

// Refusal is the word with which the platform, a target or a worker refuses a call before it starts.
type Refusal string

// Refusals.
const (
	RefusedIncarnation Refusal = "incarnation"
	RefusedDraining    Refusal = "draining"
	RefusedFull        Refusal = "full"
	RefusedBusy        Refusal = "busy"
	RefusedEpoch       Refusal = "epoch"
	RefusedExpired     Refusal = "expired"
	RefusedDown        Refusal = "down"
	RefusedMissing     Refusal = "missing"
	RefusedInvalid     Refusal = "invalid"
)
