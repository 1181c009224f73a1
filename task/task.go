// Package task describes jobs and their tasks: what callers hand in, the state that the owner keeps,
// and the form in which it is stored.
package task

import (
	"strconv"
	"strings"
	"time"
)

// JobID is the id that the caller chose: sixteen hexadecimal digits.
type JobID string

// idDigits is the length of a JobID.
const idDigits = 16

// IsValid reports whether the id has the form of a JobID.
func (id JobID) IsValid() bool {
	if len(id) != idDigits {
		return false
	}
	for _, c := range id {
		if (c < '0' || c > '9') && (c < 'a' || c > 'f') && (c < 'A' || c > 'F') {
			return false
		}
	}
	return true
}

// RunNumber numbers the runs of a task. It rises with each run, also across owners.
type RunNumber int64

// Checkpoint is saved progress. The empty value means none.
type Checkpoint string

// Resources is capacity or a demand for it.
type Resources struct {
	CPU    int64 `json:"cpu,omitempty"`    // thousandths of a core
	Memory int64 `json:"memory,omitempty"` // MB
	GPU    int64 `json:"gpu,omitempty"`
}

// CanFit reports whether the demand fits into r.
func (r Resources) CanFit(demand Resources) bool {
	return demand.CPU <= r.CPU && demand.Memory <= r.Memory && demand.GPU <= r.GPU
}

// Add returns the sum of both.
func (r Resources) Add(other Resources) Resources {
	return Resources{CPU: r.CPU + other.CPU, Memory: r.Memory + other.Memory, GPU: r.GPU + other.GPU}
}

// Sub returns r less other. Components may become negative.
func (r Resources) Sub(other Resources) Resources {
	return Resources{CPU: r.CPU - other.CPU, Memory: r.Memory - other.Memory, GPU: r.GPU - other.GPU}
}

// Step is a set of equal tasks of a job.
type Step struct {
	Count     int       `json:"count"`
	Resources Resources `json:"room"`
	// Estimate is the caller's rough estimate of the duration of a task.
	Estimate time.Duration `json:"estimate,omitempty"`
	// DependsOn lists earlier steps that must be done first. Every value is lower than the step's index.
	DependsOn []int `json:"after,omitempty"`
	// Gang says that the tasks work only together and end together.
	Gang bool `json:"gang,omitempty"`
	// SameRack says that the tasks are slower when they run on more than one rack.
	SameRack bool `json:"together,omitempty"`
	// RequiredLabel is a label that the worker must have; empty means any worker.
	RequiredLabel string `json:"label,omitempty"`
	// PreferredRack is where the data is; elsewhere the tasks are slower.
	PreferredRack string `json:"rack,omitempty"`
	// MaxPerWorker is the greatest number of tasks of an occurrence on one worker; 0 means no bound.
	MaxPerWorker int `json:"spread,omitempty"`
	// WritesCheckpoints says that the tasks produce checkpoints.
	WritesCheckpoints bool `json:"saves,omitempty"`
	// Speculative says that copies of a task may run at once; the first to finish counts.
	Speculative bool `json:"copies,omitempty"`
	// LongRunning says that the tasks run until the job is cancelled.
	LongRunning bool `json:"lasting,omitempty"`
	// Image names what the tasks run. Tasks of one image behave alike.
	Image string `json:"image,omitempty"`
	// LatencyTarget bounds the tail of the response times of a lasting task; 0 means that it serves nobody.
	LatencyTarget time.Duration `json:"target,omitempty"`
	// BestEffort says that the tasks use the processor time that others leave; Room.CPU is not reserved.
	BestEffort bool `json:"fills,omitempty"`
	// MaxUnavailable is how many tasks of a lasting step the system may keep away at a time; 0 means unbounded.
	MaxUnavailable int `json:"misses,omitempty"`
}

// Reservation returns the room that a task of the step reserves on a worker.
func (s Step) Reservation() Resources {
	room := s.Resources
	if s.BestEffort {
		room.CPU = 0
	}
	return room
}

// Spec is a job as its caller handed it in.
type Spec struct {
	Payload string `json:"text"`
	Steps   []Step `json:"steps"`
	// RepeatCount is the number of occurrences of a scheduled job; 0 means a job that runs once, at once.
	RepeatCount int `json:"repeat,omitempty"`
	// Start is when occurrence 0 is due, Interval the distance between occurrences.
	Start    time.Time     `json:"start,omitzero"`
	Interval time.Duration `json:"interval,omitempty"`
}

// OccurrenceCount returns how often the steps run.
func (s Spec) OccurrenceCount() int { return max(s.RepeatCount, 1) }

// DueTime returns when occurrence k may start. It is the zero time for a job without a schedule.
func (s Spec) DueTime(k int) time.Time {
	if s.RepeatCount == 0 {
		return time.Time{}
	}
	return s.Start.Add(time.Duration(k) * s.Interval)
}

// HasLongRunningStep reports whether a step lasts until the job is cancelled.
func (s Spec) HasLongRunningStep() bool {
	for _, step := range s.Steps {
		if step.LongRunning {
			return true
		}
	}
	return false
}

// Key names a task.
type Key struct {
	Job                    JobID
	Occurrence, Step, Task int
}

// String returns the key in the form that workers use.
func (k Key) String() string {
	b := make([]byte, 0, idDigits+12)
	b = append(b, k.Job...)
	for _, n := range [...]int{k.Occurrence, k.Step, k.Task} {
		b = append(b, '.')
		b = strconv.AppendInt(b, int64(n), 10)
	}
	return string(b)
}

// keyParts is the number of parts of the text of a Key.
const keyParts = 4

// ParseKey reads the form that String writes.
func ParseKey(text string) (Key, bool) {
	parts := strings.Split(text, ".")
	if len(parts) != keyParts {
		return Key{}, false
	}
	var numbers [keyParts - 1]int
	for i, part := range parts[1:] {
		n, err := strconv.Atoi(part)
		if err != nil || n < 0 {
			return Key{}, false
		}
		numbers[i] = n
	}
	return Key{Job: JobID(parts[0]), Occurrence: numbers[0], Step: numbers[1], Task: numbers[2]}, true
}
