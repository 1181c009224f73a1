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

// Final reports whether the state no longer changes.
func (s State) Final() bool {
	return s == StateDone || s == StateFailed || s == StateCancelled
}

// Place says where a run of a task was ordered.
type Place struct {
	Worker  string    `json:"worker"`
	Birth   int64     `json:"birth"`
	Machine string    `json:"machine,omitempty"`
	Run     RunNumber `json:"run"`
}

// Task is the progress of one task.
type Task struct {
	// Done is set once a run has ended as done. It is never unset.
	Done bool
	// Attempts counts the runs that have ended as failed.
	Attempts int
	// Last is the highest run number that was ordered.
	Last  RunNumber
	Saved Checkpoint
	// Places are the runs that may be running. There is more than one only if the step allows copies.
	Places []Place
	// Blamed are the workers on which the task has failed.
	Blamed []string
	// Since is when the task became ready to run or its last run ended. It is not stored.
	Since time.Time
}

// Progress is the progress of a step of one occurrence.
type Progress struct {
	Tasks []Task
	// Done is the number of tasks that are done.
	Done int
}

// Occurrence is one pass through the steps of a job.
type Occurrence struct {
	Steps []Progress
	// Open is the number of tasks that are not done.
	Open int
}

// Policy is what the queue of a job said when the job was accepted. An owner goes by it while it does not know
// the configuration, or the configuration does not name the queue any more.
type Policy struct {
	// Attempts is the number of failed runs of a task after which the job has failed; zero if it is not known.
	Attempts int           `json:"attempts,omitempty"`
	Priority int           `json:"priority,omitempty"`
	Stretch  float64       `json:"stretch,omitempty"`
	Latency  time.Duration `json:"latency,omitempty"` // nanoseconds
	Advised  bool          `json:"advised,omitempty"`
}

// Job is a job with its progress.
type Job struct {
	ID    JobID
	Queue string
	// Pool is the pool of the queue, as the last configuration that had the queue says.
	Pool   pool.Name
	Policy Policy
	Spec   Spec
	// Accepted is when the job was accepted.
	Accepted time.Time
	// Ended is when the job reached its final state.
	Ended time.Time
	// Outcome is the final state; it is empty while the job is open.
	Outcome State
	// Begun is set once a task has started.
	Begun bool
	// Passes holds the occurrences that have begun, by number.
	Passes map[int]*Occurrence
	// Left is the number of occurrences that are not done.
	Left int
}

// New returns a job without progress.
func New(id JobID, queue string, to pool.Name, spec Spec, accepted time.Time) *Job {
	return &Job{ID: id, Queue: queue, Pool: to, Spec: spec, Accepted: accepted, Passes: map[int]*Occurrence{}, Left: spec.Occurrences()}
}

// Pass returns the progress of an occurrence and creates it if need be.
func (j *Job) Pass(k int) *Occurrence {
	pass := j.Passes[k]
	if pass == nil {
		pass = &Occurrence{Steps: make([]Progress, len(j.Spec.Steps))}
		for i, step := range j.Spec.Steps {
			pass.Steps[i].Tasks = make([]Task, step.Count)
			pass.Open += step.Count
		}
		j.Passes[k] = pass
	}
	return pass
}

// Task returns the task with the given key, or nil if the job has none.
func (j *Job) Task(key Key) *Task {
	if key.Occurrence < 0 || key.Occurrence >= j.Spec.Occurrences() || key.Step < 0 || key.Step >= len(j.Spec.Steps) ||
		key.Task < 0 || key.Task >= j.Spec.Steps[key.Step].Count {
		return nil
	}
	return &j.Pass(key.Occurrence).Steps[key.Step].Tasks[key.Task]
}

// Finish marks a task as done, and the job once all its tasks are.
func (j *Job) Finish(key Key, now time.Time) {
	t := j.Task(key)
	if t == nil || t.Done {
		return
	}
	pass := j.Pass(key.Occurrence)
	t.Done = true
	pass.Steps[key.Step].Done++
	pass.Open--
	if pass.Open > 0 {
		return
	}
	j.Left--
	if j.Left == 0 && j.Outcome == "" {
		j.End(StateDone, now)
	}
}

// End gives the job its final state.
func (j *Job) End(outcome State, now time.Time) {
	j.Outcome = outcome
	j.Ended = now
}

// State returns the state that callers are shown.
func (j *Job) State() State {
	switch {
	case j.Outcome != "":
		return j.Outcome
	case j.Begun:
		return StateRunning
	}
	return StatePending
}

// Ready reports whether the tasks of a step may start: the occurrence is due and the earlier steps are done.
func (j *Job) Ready(k, step int, now time.Time) bool {
	if j.Spec.Repeat > 0 && now.Before(j.Spec.Due(k)) {
		return false
	}
	pass := j.Passes[k]
	for _, earlier := range j.Spec.Steps[step].After {
		if pass == nil || pass.Steps[earlier].Done < j.Spec.Steps[earlier].Count {
			return false
		}
	}
	return true
}

// Chain returns the estimated duration of the longest chain of work from the given progress on.
func (j *Job) Chain(pass *Occurrence) time.Duration {
	ends := make([]time.Duration, len(j.Spec.Steps))
	var longest time.Duration
	for i, step := range j.Spec.Steps {
		var start time.Duration
		for _, earlier := range step.After {
			start = max(start, ends[earlier])
		}
		ends[i] = start
		if pass == nil || pass.Steps[i].Done < step.Count {
			ends[i] += step.Estimate
		}
		longest = max(longest, ends[i])
	}
	return longest
}
