package job

import (
	"hibiscuslane.example/hibiscuslane/fleet"
	"hibiscuslane.example/hibiscuslane/instance"
	"hibiscuslane.example/hibiscuslane/pool"
	"hibiscuslane.example/hibiscuslane/record"
	"hibiscuslane.example/hibiscuslane/team"
	"hibiscuslane.example/hibiscuslane/upstream"
)

// ID names a job. It is also the id of its task on workers.
type ID string

// Epoch counts the attempts of a job, starting at 1.
type Epoch = upstream.Epoch

// Status is the state of a job.
type Status string

// States of a job.
const (
	StatusQueued    Status = "queued"
	StatusPlaced    Status = "placed"
	StatusRunning   Status = "running"
	StatusDone      Status = "done"
	StatusFailed    Status = "failed"
	StatusCancelled Status = "cancelled"
	StatusUnknown   Status = "unknown" // the last allowed attempt ended without a report
)

// Final reports whether the status never changes again.
func (s Status) Final() bool {
	return s == StatusDone || s == StatusFailed || s == StatusCancelled || s == StatusUnknown
}

func (s Status) known() bool {
	return s.Final() || s == StatusQueued || s.holds()
}

// holds reports whether an attempt may hold resources of a worker.
func (s Status) holds() bool { return s == StatusPlaced || s == StatusRunning }

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

func (s Size) within(limit Size) bool {
	return s.Cores <= limit.Cores && s.Memory <= limit.Memory && s.Accelerators <= limit.Accelerators
}

// withinQuota reports whether a size respects a quota, in which 0 means no limit.
func (s Size) withinQuota(quota Size) bool {
	return (quota.Cores == 0 || s.Cores <= quota.Cores) &&
		(quota.Memory == 0 || s.Memory <= quota.Memory) &&
		(quota.Accelerators == 0 || s.Accelerators <= quota.Accelerators)
}

// Quota returns the bounds of a team on its running jobs; 0 means no limit.
func Quota(spec team.Spec) Size {
	return Size{Cores: spec.Cores, Memory: spec.Memory, Accelerators: spec.Accelerators}
}

// Spec is what a caller submits.
type Spec struct {
	Pool    pool.Name `json:"pool"`
	Team    team.Name `json:"team"`
	Command string    `json:"command"`
	Input   string    `json:"input,omitempty"`
	// Size is the declared size.
	Size
	// Time is the declared run time in milliseconds; 0 means not declared. It is a hint.
	Time int64 `json:"time,omitempty"`
	// Limit is the most attempts.
	Limit  int  `json:"limit"`
	Urgent bool `json:"urgent,omitempty"`
}

// Placement is the current or last attempt of a job.
type Placement struct {
	Worker      instance.ID          `json:"worker"`
	Incarnation instance.Incarnation `json:"incarnation"`
	// Size is what the worker reserves: the declared size corrected by reported usage.
	Size
	Time fleet.Timestamp `json:"time"`
}

// Failure is a failed attempt.
type Failure struct {
	Worker      instance.ID          `json:"worker"`
	Incarnation instance.Incarnation `json:"incarnation"`
	Epoch       Epoch                `json:"epoch"`
	Reason      string               `json:"reason,omitempty"`
	// Quick says that the attempt ended within quickLimit of its placement.
	Quick bool `json:"quick,omitempty"`
}

// Result is how a job ended.
type Result struct {
	Output string `json:"output,omitempty"`
	Reason string `json:"reason,omitempty"`
}

// Job is a job as the job stream knows it.
type Job struct {
	ID ID `json:"id"`
	// Key is the idempotency key of the submit, in the scope of the team.
	Key string `json:"key,omitempty"`
	Spec
	// Request is a hash of the submitted Spec, with which a repeated submit is compared.
	Request uint64 `json:"request,string"`
	Status  Status `json:"status"`
	// Epoch is that of the newest attempt, and equals Attempts.
	Epoch    Epoch `json:"epoch"`
	Attempts int   `json:"attempts"`
	// Placement is set once an attempt was placed, and is never modified in place.
	Placement *Placement `json:"placement,omitempty"`
	// Failures holds the last failed attempts, oldest first; it is replaced, never modified.
	Failures []Failure `json:"failures,omitempty"`
	Result   *Result   `json:"result,omitempty"`
	// Submitted and Finished are the offsets of the first and last record of the job.
	Submitted record.Offset `json:"submitted"`
	Finished  record.Offset `json:"finished,omitempty"`
	// Time is that of the submit, by the clock of its author. It serves scheduling only.
	Time fleet.Timestamp `json:"time"`
}
