// Package task defines the jobs of "hibiscuslane run" and their tasks: the specification that callers
// submit (Spec), the progress that the owner tracks (Job), and the stored form of both. Package job
// defines the jobs of "hibiscuslane serve".
package task

import (
	"strconv"
	"strings"
	"time"
)

// JobID is the id of a job, chosen by the caller: sixteen hexadecimal digits.
type JobID string

// jobIDLength is the length of a JobID.
const jobIDLength = 16

// IsValid reports whether the id consists of sixteen hexadecimal digits.
func (id JobID) IsValid() bool {
	if len(id) != jobIDLength {
		return false
	}
	for _, c := range id {
		if (c < '0' || c > '9') && (c < 'a' || c > 'f') && (c < 'A' || c > 'F') {
			return false
		}
	}
	return true
}

// RunNumber numbers the runs of a task. It increases with each run, also when the owner changes.
type RunNumber int64

// Checkpoint is the progress that a task has saved, as reported by a worker. The empty value means none.
type Checkpoint string

// Resources is an amount of capacity, either available or required.
type Resources struct {
	CPU    int64 `json:"cpu,omitempty"`    // thousandths of a core
	Memory int64 `json:"memory,omitempty"` // MB
	GPU    int64 `json:"gpu,omitempty"`    // number of GPUs
}

// CanFit reports whether the demand is at most r in every component.
func (r Resources) CanFit(demand Resources) bool {
	return demand.CPU <= r.CPU && demand.Memory <= r.Memory && demand.GPU <= r.GPU
}

// Add returns the sum of r and other.
func (r Resources) Add(other Resources) Resources {
	return Resources{CPU: r.CPU + other.CPU, Memory: r.Memory + other.Memory, GPU: r.GPU + other.GPU}
}

// Sub returns r minus other. Components may become negative.
func (r Resources) Sub(other Resources) Resources {
	return Resources{CPU: r.CPU - other.CPU, Memory: r.Memory - other.Memory, GPU: r.GPU - other.GPU}
}

// Step is a set of identical tasks of a job.
type Step struct {
	Count     int       `json:"count"`
	Resources Resources `json:"room"` // of each task
	// Estimate is the caller's rough estimate of the duration of a task.
	Estimate time.Duration `json:"estimate,omitempty"`
	// DependsOn lists the indexes of the steps that must be done first. Each is lower than the step's own index.
	DependsOn []int `json:"after,omitempty"`
	// Gang is set if the tasks work only while all of them run; they start and end together.
	Gang bool `json:"gang,omitempty"`
	// SameRack is set if the tasks run slower when they are spread over several racks.
	SameRack bool `json:"together,omitempty"`
	// RequiredLabel is a label that the worker must have; empty means any worker.
	RequiredLabel string `json:"label,omitempty"`
	// PreferredRack is the rack that holds the data; on other racks the tasks run slower.
	PreferredRack string `json:"rack,omitempty"`
	// MaxPerWorker is the maximum number of tasks of one occurrence on one worker; 0 means no limit.
	MaxPerWorker int `json:"spread,omitempty"`
	// WritesCheckpoints is set if the tasks save checkpoints, from which a later run continues.
	WritesCheckpoints bool `json:"saves,omitempty"`
	// Speculative is set if copies of a task may run at the same time; the first to finish counts.
	Speculative bool `json:"copies,omitempty"`
	// LongRunning is set if the tasks run until the job is cancelled.
	LongRunning bool `json:"lasting,omitempty"`
	// Image names the program that the tasks run. Tasks with the same image behave alike.
	Image string `json:"image,omitempty"`
	// LatencyTarget is the limit for the tail latency of a long-running task that serves requests; 0 means that
	// the task serves none.
	LatencyTarget time.Duration `json:"target,omitempty"`
	// BestEffort is set if the tasks use only CPU time that other tasks leave idle; Resources.CPU is not reserved.
	BestEffort bool `json:"fills,omitempty"`
	// MaxUnavailable is how many tasks of a long-running step maintenance may interrupt at a time; 0 means no limit.
	MaxUnavailable int `json:"misses,omitempty"`
}

// Reservation returns the resources that a task of the step reserves on a worker.
func (s Step) Reservation() Resources {
	reserved := s.Resources
	if s.BestEffort {
		reserved.CPU = 0
	}
	return reserved
}

// Spec is the specification of a job as the caller submitted it.
type Spec struct {
	// Payload is passed to workers unchanged with each start of a task.
	Payload string `json:"text"`
	Steps   []Step `json:"steps"`
	// RepeatCount is the number of occurrences of a scheduled job; 0 means that the job runs once, immediately.
	RepeatCount int `json:"repeat,omitempty"`
	// Start is when occurrence 0 is due; Interval is the time from one occurrence to the next.
	Start    time.Time     `json:"start,omitzero"`
	Interval time.Duration `json:"interval,omitempty"`
}

// OccurrenceCount returns how many times the job runs.
func (s Spec) OccurrenceCount() int { return max(s.RepeatCount, 1) }

// MaxTasks limits the tasks of a job, in all steps and occurrences, to a size that one owner can keep in memory.
const MaxTasks = 100000

// isValid reports whether the job has steps, with tasks within MaxTasks, that depend on earlier ones only.
func (s Spec) isValid() bool {
	tasks := 0
	for i, step := range s.Steps {
		if step.Count < 1 || step.Count > MaxTasks {
			return false
		}
		tasks += step.Count
		for _, earlier := range step.DependsOn {
			if earlier < 0 || earlier >= i {
				return false
			}
		}
	}
	return tasks > 0 && s.RepeatCount >= 0 && tasks <= MaxTasks/s.OccurrenceCount()
}

// DueTime returns the earliest start of an occurrence. It is the zero time for a job without a schedule.
func (s Spec) DueTime(occurrence int) time.Time {
	if s.RepeatCount == 0 {
		return time.Time{}
	}
	return s.Start.Add(time.Duration(occurrence) * s.Interval)
}

// HasLongRunningStep reports whether any step runs until the job is cancelled.
func (s Spec) HasLongRunningStep() bool {
	for _, step := range s.Steps {
		if step.LongRunning {
			return true
		}
	}
	return false
}

// Key identifies a task by its job and the indexes, from 0, of its occurrence, of its step and of the task in the step.
type Key struct {
	Job                    JobID
	Occurrence, Step, Task int
}

// String returns the key in the form that is sent to workers: the job, the occurrence, the step and the task,
// separated by dots.
func (k Key) String() string {
	b := make([]byte, 0, jobIDLength+12)
	b = append(b, k.Job...)
	for _, n := range [...]int{k.Occurrence, k.Step, k.Task} {
		b = append(b, '.')
		b = strconv.AppendInt(b, int64(n), 10)
	}
	return string(b)
}

// keyParts is the number of dot-separated parts in the text of a Key.
const keyParts = 4

// ParseKey parses a key in the form that String returns. It returns false if the text is malformed.
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
