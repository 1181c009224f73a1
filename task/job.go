package task

import (
	"time"

	"hibiscuslane.example/hibiscuslane/pool"
)

// State is the state of a job.
type State string

// States of a job.
const (
	StatePending   State = "pending" // no task has started
	StateRunning   State = "running"
	StateDone      State = "done"
	StateFailed    State = "failed"
	StateCancelled State = "cancelled"
)

// IsFinal reports whether the state no longer changes.
func (s State) IsFinal() bool {
	return s == StateDone || s == StateFailed || s == StateCancelled
}

// Placement says where a run of a task was ordered.
type Placement struct {
	Worker      string    `json:"worker"`
	Incarnation int64     `json:"birth"`
	Machine     string    `json:"machine,omitempty"`
	Run         RunNumber `json:"run"`
}

// Task is the progress of one task.
type Task struct {
	// Done is set once a run has ended as done. It is never unset.
	Done bool
	// FailedRuns counts the runs that have ended as failed.
	FailedRuns int
	// LastRun is the highest run number that was ordered.
	LastRun    RunNumber
	Checkpoint Checkpoint
	// Placements are the runs that may be running. There is more than one only if the step allows copies.
	Placements []Placement
	// FailedWorkers are the workers on which the task has failed.
	FailedWorkers []string
	// WaitingSince is when the task became ready to run or its last run ended. It is not stored.
	WaitingSince time.Time
}

// StepProgress is the progress of a step of one occurrence.
type StepProgress struct {
	Tasks []Task
	// DoneCount is the number of tasks that are done.
	DoneCount int
}

// Occurrence is one pass through the steps of a job.
type Occurrence struct {
	Steps []StepProgress
	// OpenTasks is the number of tasks that are not done.
	OpenTasks int
}

// Policy is what the queue of a job said when the job was accepted. An owner goes by it while it does not know
// the configuration, or the configuration does not name the queue any more.
type Policy struct {
	// MaxAttempts is the number of failed runs of a task after which the job has failed; zero if it is not known.
	MaxAttempts      int           `json:"attempts,omitempty"`
	Priority         int           `json:"priority,omitempty"`
	MaxStretch       float64       `json:"stretch,omitempty"`
	LatencyAllowance time.Duration `json:"latency,omitempty"` // nanoseconds
	NeedsAdvice      bool          `json:"advised,omitempty"`
}

// Job is a job with its progress.
type Job struct {
	ID    JobID
	Queue string
	// Pool is the pool of the queue, as the last configuration that had the queue says.
	Pool   pool.Name
	Policy Policy
	Spec   Spec
	// AcceptedAt is when the job was accepted.
	AcceptedAt time.Time
	// EndedAt is when the job reached its final state.
	EndedAt time.Time
	// Outcome is the final state; it is empty while the job is open.
	Outcome State
	// Started is set once a task has started.
	Started bool
	// Occurrences holds the occurrences that have begun, by number.
	Occurrences map[int]*Occurrence
	// OpenOccurrences is the number of occurrences that are not done.
	OpenOccurrences int
}

// New returns a job without progress.
func New(id JobID, queue string, to pool.Name, spec Spec, accepted time.Time) *Job {
	return &Job{ID: id, Queue: queue, Pool: to, Spec: spec, AcceptedAt: accepted, Occurrences: map[int]*Occurrence{}, OpenOccurrences: spec.OccurrenceCount()}
}

// Occurrence returns the progress of an occurrence and creates it if need be.
func (j *Job) Occurrence(k int) *Occurrence {
	pass := j.Occurrences[k]
	if pass == nil {
		pass = &Occurrence{Steps: make([]StepProgress, len(j.Spec.Steps))}
		for i, step := range j.Spec.Steps {
			pass.Steps[i].Tasks = make([]Task, step.Count)
			pass.OpenTasks += step.Count
		}
		j.Occurrences[k] = pass
	}
	return pass
}

// Task returns the task with the given key, or nil if the job has none.
func (j *Job) Task(key Key) *Task {
	if key.Occurrence < 0 || key.Occurrence >= j.Spec.OccurrenceCount() || key.Step < 0 || key.Step >= len(j.Spec.Steps) ||
		key.Task < 0 || key.Task >= j.Spec.Steps[key.Step].Count {
		return nil
	}
	return &j.Occurrence(key.Occurrence).Steps[key.Step].Tasks[key.Task]
}

// FinishTask marks a task as done, and the job once all its tasks are.
func (j *Job) FinishTask(key Key, now time.Time) {
	t := j.Task(key)
	if t == nil || t.Done {
		return
	}
	pass := j.Occurrence(key.Occurrence)
	t.Done = true
	pass.Steps[key.Step].DoneCount++
	pass.OpenTasks--
	if pass.OpenTasks > 0 {
		return
	}
	j.OpenOccurrences--
	if j.OpenOccurrences == 0 && j.Outcome == "" {
		j.End(StateDone, now)
	}
}

// End gives the job its final state.
func (j *Job) End(outcome State, now time.Time) {
	j.Outcome = outcome
	j.EndedAt = now
}

// State returns the state that callers are shown.
func (j *Job) State() State {
	switch {
	case j.Outcome != "":
		return j.Outcome
	case j.Started:
		return StateRunning
	}
	return StatePending
}

// IsStepReady reports whether the tasks of a step may start: the occurrence is due and the earlier steps are done.
func (j *Job) IsStepReady(k, step int, now time.Time) bool {
	if j.Spec.RepeatCount > 0 && now.Before(j.Spec.DueTime(k)) {
		return false
	}
	pass := j.Occurrences[k]
	for _, earlier := range j.Spec.Steps[step].DependsOn {
		if pass == nil || pass.Steps[earlier].DoneCount < j.Spec.Steps[earlier].Count {
			return false
		}
	}
	return true
}

// CriticalPath returns the estimated duration of the longest chain of work from the given progress on.
func (j *Job) CriticalPath(pass *Occurrence) time.Duration {
	ends := make([]time.Duration, len(j.Spec.Steps))
	var longest time.Duration
	for i, step := range j.Spec.Steps {
		var start time.Duration
		for _, earlier := range step.DependsOn {
			start = max(start, ends[earlier])
		}
		ends[i] = start
		if pass == nil || pass.Steps[i].DoneCount < step.Count {
			ends[i] += step.Estimate
		}
		longest = max(longest, ends[i])
	}
	return longest
}
