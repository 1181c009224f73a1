package task

import (
	"time"

	"hibiscuslane.example/hibiscuslane/pool"
	"hibiscuslane.example/hibiscuslane/team"
)

// State is the state of a job as callers see it.
type State string

// States of a job.
const (
	StatePending   State = "pending" // no task has started
	StateRunning   State = "running"
	StateDone      State = "done"
	StateFailed    State = "failed"
	StateCancelled State = "cancelled"
)

// IsFinal reports whether a job in this state has ended.
func (s State) IsFinal() bool {
	return s == StateDone || s == StateFailed || s == StateCancelled
}

// Placement records on which worker a run of a task was ordered.
type Placement struct {
	Worker      string    `json:"worker"`
	Incarnation int64     `json:"birth"`
	Machine     string    `json:"machine,omitempty"`
	Run         RunNumber `json:"run"`
}

// Task is the progress of one task.
type Task struct {
	// Done is set once a run has completed the task. It is never reset.
	Done bool
	// FailedRuns counts the runs that have failed.
	FailedRuns int
	// Crashes counts the workers that have crashed under the task, for which it may be the cause.
	Crashes int
	// LoneCrashes counts those of them in which no other task can have been the cause.
	LoneCrashes int
	// LastRun is the highest run number that was ordered.
	LastRun RunNumber
	// Checkpoint is the one that a run of the task reported last, and CheckpointRun that run; zero if an earlier owner
	// recorded it. What a run starts with is StartCheckpoint.
	Checkpoint    Checkpoint
	CheckpointRun RunNumber
	// Placements lists the runs that are planned or may be running. The owner places a task only while it has none,
	// also in a speculative step.
	Placements []Placement
	// FailedWorkers lists workers on which the task has failed, the latest last.
	FailedWorkers []string
	// NotBefore is the earliest time of the next run: the end of the last run, or the end of the retry delay after a
	// worker refused the task. It is not stored.
	NotBefore time.Time
}

// StepProgress is the progress of one step in one occurrence.
type StepProgress struct {
	Tasks []Task
	// DoneCount is the number of tasks that are done.
	DoneCount int
	// Checkpoint is the latest new checkpoint of a member of a gang, and CheckpointRun the run that reported it.
	Checkpoint    Checkpoint
	CheckpointRun RunNumber
	// startRun is the latest run of a gang of which a member was started, with startCheckpoint.
	startRun        RunNumber
	startCheckpoint Checkpoint
}

// Occurrence is one execution of all steps of a job. A scheduled job has several.
type Occurrence struct {
	Steps []StepProgress
	// OpenTasks is the number of tasks that are not done.
	OpenTasks int
}

// Policy holds the settings of the queue at the time when the job was accepted. An owner applies it while the
// configuration is not loaded, or if the configuration no longer contains the queue.
type Policy struct {
	// MaxAttempts is the number of failed runs of one task at which the job fails; zero if it is not known.
	MaxAttempts int `json:"attempts,omitempty"`
	Priority    int `json:"priority,omitempty"` // 0 is the highest
	// A job is late if it takes longer than MaxStretch times its critical path plus LatencyAllowance.
	MaxStretch       float64       `json:"stretch,omitempty"`
	LatencyAllowance time.Duration `json:"latency,omitempty"` // nanoseconds
	NeedsAdvice      bool          `json:"advised,omitempty"`
}

// OwnerTime is a time on the clock that each owner continues from the latest OwnerTime that is stored. It stands still while
// there is no owner, and is therefore never ahead of the time that has passed.
type OwnerTime time.Duration

// Job is a job and its progress.
type Job struct {
	ID    JobID
	Queue string
	// Team is the team of the caller; empty if the job belongs to none.
	Team team.Name
	// Pool is the pool of the queue according to the last configuration that contained the queue.
	Pool   pool.Name
	Policy Policy
	Spec   Spec
	// AcceptedAt is when the owner took the job or, if it had refused the job for want of room before, first refused it. The
	// deadlines count from it.
	AcceptedAt time.Time
	// EndedAt is when the job reached its final state.
	EndedAt time.Time
	// KeptSince is when the retention of the job began, after its end; zero if it has not begun or an earlier version has
	// stored the job.
	KeptSince OwnerTime
	// Outcome is the final state; it is empty until the job ends.
	Outcome State
	// Started is set once any task has started.
	Started bool
	// Occurrences holds the progress of occurrences by their number; those without an entry have no progress.
	Occurrences map[int]*Occurrence
	// OpenOccurrences is the number of occurrences that are not done.
	OpenOccurrences int
	// Unsubmitted is set if the job was cancelled before a submission of it arrived. Its Outcome is StateCancelled.
	Unsubmitted bool
}

// NewUnsubmitted returns a job that was cancelled before a submission of it arrived.
func NewUnsubmitted(id JobID, cancelledAt time.Time) *Job {
	return &Job{ID: id, Outcome: StateCancelled, EndedAt: cancelledAt, Occurrences: map[int]*Occurrence{}, Unsubmitted: true}
}

// New returns a job without progress.
func New(id JobID, queue string, poolName pool.Name, spec Spec, acceptedAt time.Time) *Job {
	return &Job{ID: id, Queue: queue, Pool: poolName, Spec: spec, AcceptedAt: acceptedAt, Occurrences: map[int]*Occurrence{}, OpenOccurrences: spec.OccurrenceCount()}
}

// Occurrence returns the progress of an occurrence and creates it if it does not exist.
func (j *Job) Occurrence(number int) *Occurrence {
	occurrence := j.Occurrences[number]
	if occurrence == nil {
		occurrence = &Occurrence{Steps: make([]StepProgress, len(j.Spec.Steps))}
		for i, step := range j.Spec.Steps {
			occurrence.Steps[i].Tasks = make([]Task, step.Count)
			occurrence.OpenTasks += step.Count
		}
		j.Occurrences[number] = occurrence
	}
	return occurrence
}

// Task returns the progress of the task with the given key, or nil if the job has no such task.
func (j *Job) Task(key Key) *Task {
	if key.Occurrence < 0 || key.Occurrence >= j.Spec.OccurrenceCount() || key.Step < 0 || key.Step >= len(j.Spec.Steps) ||
		key.Task < 0 || key.Task >= j.Spec.Steps[key.Step].Count {
		return nil
	}
	return &j.Occurrence(key.Occurrence).Steps[key.Step].Tasks[key.Task]
}

// FinishTask marks a task as done. With the last open task, the job ends as done too.
func (j *Job) FinishTask(key Key, now time.Time) {
	t := j.Task(key)
	if t == nil || t.Done {
		return
	}
	occurrence := j.Occurrence(key.Occurrence)
	t.Done = true
	occurrence.Steps[key.Step].DoneCount++
	occurrence.OpenTasks--
	if occurrence.OpenTasks > 0 {
		return
	}
	j.OpenOccurrences--
	if j.OpenOccurrences == 0 && j.Outcome == "" {
		j.End(StateDone, now)
	}
}

// End sets the final state of the job.
func (j *Job) End(outcome State, now time.Time) {
	j.Outcome = outcome
	j.EndedAt = now
}

// State returns the state of the job as callers see it.
func (j *Job) State() State {
	switch {
	case j.Outcome != "":
		return j.Outcome
	case j.Started:
		return StateRunning
	}
	return StatePending
}

// IsStepReady reports whether the tasks of a step may start: the occurrence is due and the steps that the step
// depends on are done.
func (j *Job) IsStepReady(number, step int, now time.Time) bool {
	if j.Spec.RepeatCount > 0 && now.Before(j.Spec.DueTime(number)) {
		return false
	}
	occurrence := j.Occurrences[number]
	for _, earlier := range j.Spec.Steps[step].DependsOn {
		if occurrence == nil || occurrence.Steps[earlier].DoneCount < j.Spec.Steps[earlier].Count {
			return false
		}
	}
	return true
}

// CriticalPath returns the estimated duration of the longest chain of dependent steps that are not done in the
// given occurrence. With nil, it covers all steps.
func (j *Job) CriticalPath(occurrence *Occurrence) time.Duration {
	ends := make([]time.Duration, len(j.Spec.Steps))
	var longest time.Duration
	for i, step := range j.Spec.Steps {
		var start time.Duration
		for _, earlier := range step.DependsOn {
			start = max(start, ends[earlier])
		}
		ends[i] = start
		if occurrence == nil || occurrence.Steps[i].DoneCount < step.Count {
			ends[i] += step.Estimate
		}
		longest = max(longest, ends[i])
	}
	return longest
}
