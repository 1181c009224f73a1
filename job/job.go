package job

import (
	"hibiscuslane.example/hibiscuslane/fleet"
	"hibiscuslane.example/hibiscuslane/instance"
	"hibiscuslane.example/hibiscuslane/pool"
	"hibiscuslane.example/hibiscuslane/record"
	"hibiscuslane.example/hibiscuslane/team"
	"hibiscuslane.example/hibiscuslane/upstream"
)

// ID identifies a job. It is also the id of the job's task on workers.
type ID string

// Epoch numbers the attempts of a job, starting at 1.
type Epoch = upstream.Epoch

// Status is the stage that a job has reached.
type Status string

// Statuses of a job.
const (
	StatusQueued    Status = "queued"  // waits for an attempt
	StatusPlaced    Status = "placed"  // an attempt is recorded, but the worker has not accepted it yet
	StatusRunning   Status = "running" // the worker has accepted the attempt
	StatusDone      Status = "done"
	StatusFailed    Status = "failed"
	StatusCancelled Status = "cancelled"
	StatusUnknown   Status = "unknown" // the last allowed attempt ended without a report
)

// IsFinal reports whether the job has ended, after which its status never changes.
func (s Status) IsFinal() bool {
	return s == StatusDone || s == StatusFailed || s == StatusCancelled || s == StatusUnknown
}

func (s Status) isKnown() bool {
	return s.IsFinal() || s == StatusQueued || s.isActive()
}

// isActive reports whether the job has an attempt that may occupy resources of a worker.
func (s Status) isActive() bool { return s == StatusPlaced || s == StatusRunning }

// Size is an amount of resources.
type Size struct {
	Cores        int `json:"cores"`
	Memory       int `json:"memory"` // MB
	Accelerators int `json:"accelerators,omitempty"`
}

func (s Size) plus(o Size) Size {
	return Size{Cores: s.Cores + o.Cores, Memory: s.Memory + o.Memory, Accelerators: s.Accelerators + o.Accelerators}
}

func (s Size) minus(o Size) Size {
	return Size{Cores: s.Cores - o.Cores, Memory: s.Memory - o.Memory, Accelerators: s.Accelerators - o.Accelerators}
}

func (s Size) fitsIn(limit Size) bool {
	return s.Cores <= limit.Cores && s.Memory <= limit.Memory && s.Accelerators <= limit.Accelerators
}

// fitsQuota reports whether a size is within a quota, in which 0 means no limit.
func (s Size) fitsQuota(quota Size) bool {
	return (quota.Cores == 0 || s.Cores <= quota.Cores) &&
		(quota.Memory == 0 || s.Memory <= quota.Memory) &&
		(quota.Accelerators == 0 || s.Accelerators <= quota.Accelerators)
}

// TeamQuota returns the limits on the total size of the active attempts of a team; 0 means no limit.
func TeamQuota(spec team.Spec) Size {
	return Size{Cores: spec.Cores, Memory: spec.Memory, Accelerators: spec.Accelerators}
}

// Spec is the content of a submit.
type Spec struct {
	Pool    pool.Name `json:"pool"`
	Team    team.Name `json:"team"`
	Command string    `json:"command"`
	Input   string    `json:"input,omitempty"`
	// Size is the declared size.
	Size
	// ExpectedRunTime is the declared run time in milliseconds; 0 means not declared. It is returned with the
	// job and does not affect scheduling.
	ExpectedRunTime int64 `json:"time,omitempty"`
	// MaxAttempts is the maximum number of attempts, from 1 to MaxAttemptLimit.
	MaxAttempts int `json:"limit"`
	// Urgent jobs are planned first, may have other jobs evicted, and are never evicted themselves.
	Urgent bool `json:"urgent,omitempty"`
}

// Placement describes where the current or last attempt of a job was placed.
type Placement struct {
	Worker      instance.ID          `json:"worker"`
	Incarnation instance.Incarnation `json:"incarnation"`
	// Size is the amount that the worker reserves: the declared size corrected by reported usage.
	Size
	// PlacedAt is the time of the place record by the clock of its author.
	PlacedAt fleet.Timestamp `json:"time"`
}

// FailedAttempt describes an attempt that the worker reported as failed.
type FailedAttempt struct {
	Worker      instance.ID          `json:"worker"`
	Incarnation instance.Incarnation `json:"incarnation"`
	Epoch       Epoch                `json:"epoch"`
	Reason      string               `json:"reason,omitempty"`
	// Quick is set if the attempt failed within quickFailureLimit of its placement.
	Quick bool `json:"quick,omitempty"`
}

// Result holds the output of a job, or the reason why it has ended without one.
type Result struct {
	Output string `json:"output,omitempty"`
	Reason string `json:"reason,omitempty"`
}

// Job is a job in the state of the job stream.
type Job struct {
	ID ID `json:"id"`
	// Key is the idempotency key of the submit. Keys of different teams are independent.
	Key string `json:"key,omitempty"`
	Spec
	// SpecHash is a hash of the submitted Spec. A submit that repeats the key must have the same hash.
	SpecHash uint64 `json:"request,string"`
	Status   Status `json:"status"`
	// Epoch is the epoch of the latest attempt, or 0 before the first one; it equals Attempts.
	Epoch    Epoch `json:"epoch"`
	Attempts int   `json:"attempts"`
	// Placement is set with the first attempt. It is replaced by each later attempt and never modified.
	Placement *Placement `json:"placement,omitempty"`
	// FailedAttempts holds the latest failed attempts, oldest first. The slice is replaced and never
	// modified.
	FailedAttempts []FailedAttempt `json:"failures,omitempty"`
	// Result is set once the job has ended.
	Result *Result `json:"result,omitempty"`
	// SubmitOffset is the offset of the submit record, FinishOffset that of the record that ended the job.
	// FinishOffset is 0 until then.
	SubmitOffset record.Offset `json:"submitted"`
	FinishOffset record.Offset `json:"finished,omitempty"`
	// SubmitTime is the time of the submit by the clock of its author. It is used for scheduling and returned
	// with the job, but never decides whether a record applies.
	SubmitTime fleet.Timestamp `json:"time"`
}
