package task

import (
	"encoding/json"
	"errors"
	"time"

	"hibiscuslane.example/hibiscuslane/failure"
	"hibiscuslane.example/hibiscuslane/pool"
)

// RecordError reports a stored job that cannot be read.
type RecordError struct {
	ID    JobID
	Cause error
}

func (e *RecordError) Error() string {
	return "stored job " + string(e.ID) + " cannot be read: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *RecordError) Unwrap() error { return e.Cause }

// Code implements failure.Coded.
func (e *RecordError) Code() failure.Code { return failure.CodeInvalid }

// Outcome implements failure.Coded.
func (e *RecordError) Outcome() failure.Outcome { return failure.OutcomeNotRun }

// intake is the stored form of what a caller handed in.
type intake struct {
	Queue    string    `json:"queue"`
	Pool     pool.Name `json:"pool"`
	Accepted int64     `json:"accepted"` // Unix milliseconds
	Policy   Policy    `json:"policy"`
	Spec     Spec      `json:"spec"`
}

// EncodeSubmission returns the stored form of what a caller handed in. It never changes.
func (j *Job) EncodeSubmission() ([]byte, error) {
	data, err := json.Marshal(intake{Queue: j.Queue, Pool: j.Pool, Accepted: j.AcceptedAt.UnixMilli(), Policy: j.Policy, Spec: j.Spec})
	if err != nil {
		return nil, &RecordError{ID: j.ID, Cause: err}
	}
	return data, nil
}

// ParseSubmission reads a stored job without its progress.
func ParseSubmission(id JobID, data []byte) (*Job, error) {
	var in intake
	if err := json.Unmarshal(data, &in); err != nil {
		return nil, &RecordError{ID: id, Cause: err}
	}
	j := New(id, in.Queue, in.Pool, in.Spec, time.UnixMilli(in.Accepted))
	j.Policy = in.Policy
	return j, nil
}

// taskRecord is the progress of a task that is not done.
type taskRecord struct {
	Index    int         `json:"task"`
	Attempts int         `json:"attempts,omitempty"`
	Saved    Checkpoint  `json:"saved,omitempty"`
	Places   []Placement `json:"places,omitempty"`
	Blamed   []string    `json:"blamed,omitempty"`
}

type stepRecord struct {
	Step int `json:"step"`
	// Done has one bit for each task that is done. It is left out once all of them are.
	Done  []byte       `json:"done,omitempty"`
	All   bool         `json:"all,omitempty"`
	Tasks []taskRecord `json:"tasks,omitempty"`
}

type passRecord struct {
	Number int          `json:"pass"`
	Whole  bool         `json:"whole,omitempty"` // all tasks are done
	Steps  []stepRecord `json:"steps,omitempty"`
}

type progressRecord struct {
	Outcome State        `json:"outcome,omitempty"`
	Ended   int64        `json:"ended,omitempty"` // Unix milliseconds
	Begun   bool         `json:"begun,omitempty"`
	Passes  []passRecord `json:"passes,omitempty"`
}

// EncodeProgress returns the stored form of the progress of a job.
func (j *Job) EncodeProgress() ([]byte, error) {
	record := progressRecord{Outcome: j.Outcome, Begun: j.Started}
	if j.Outcome != "" {
		record.Ended = j.EndedAt.UnixMilli()
	} else {
		for k, pass := range j.Occurrences {
			record.Passes = append(record.Passes, pass.record(k))
		}
	}
	data, err := json.Marshal(record)
	if err != nil {
		return nil, &RecordError{ID: j.ID, Cause: err}
	}
	return data, nil
}

// record returns the stored form of an occurrence.
func (o *Occurrence) record(k int) passRecord {
	r := passRecord{Number: k, Whole: o.OpenTasks == 0}
	if r.Whole {
		return r
	}
	for i := range o.Steps {
		if s, ok := o.Steps[i].record(i); ok {
			r.Steps = append(r.Steps, s)
		}
	}
	return r
}

const bitsPerByte = 8

func (p *StepProgress) record(index int) (stepRecord, bool) {
	r := stepRecord{Step: index, All: p.DoneCount == len(p.Tasks)}
	if p.DoneCount > 0 && !r.All {
		r.Done = make([]byte, (len(p.Tasks)+bitsPerByte-1)/bitsPerByte)
	}
	for i := range p.Tasks {
		t := &p.Tasks[i]
		switch {
		case t.Done && r.Done != nil:
			r.Done[i/bitsPerByte] |= 1 << (i % bitsPerByte)
		case !t.Done && (len(t.Placements) > 0 || t.FailedRuns > 0 || t.Checkpoint != ""):
			r.Tasks = append(r.Tasks, taskRecord{Index: i, Attempts: t.FailedRuns, Saved: t.Checkpoint, Places: t.Placements, Blamed: t.FailedWorkers})
		}
	}
	return r, r.All || r.Done != nil || len(r.Tasks) > 0
}

// RestoreProgress applies stored progress to a job without any.
func (j *Job) RestoreProgress(data []byte) error {
	var record progressRecord
	if err := json.Unmarshal(data, &record); err != nil {
		return &RecordError{ID: j.ID, Cause: err}
	}
	for _, p := range record.Passes {
		if p.Number < 0 || p.Number >= j.Spec.OccurrenceCount() {
			continue
		}
		pass := j.Occurrence(p.Number)
		if p.Whole {
			j.restoreWhole(p.Number, pass)
		}
		for _, s := range p.Steps {
			j.restoreStep(p.Number, s)
		}
	}
	j.Started = record.Begun
	j.Outcome = record.Outcome
	if record.Outcome != "" {
		j.EndedAt = time.UnixMilli(record.Ended)
	}
	return nil
}

func (j *Job) restoreWhole(k int, pass *Occurrence) {
	for i := range pass.Steps {
		for n := range pass.Steps[i].Tasks {
			j.FinishTask(Key{Occurrence: k, Step: i, Task: n}, time.Time{})
		}
	}
}

func (j *Job) restoreStep(k int, s stepRecord) {
	if s.Step < 0 || s.Step >= len(j.Spec.Steps) {
		return
	}
	for i := range j.Spec.Steps[s.Step].Count {
		if s.All || i/bitsPerByte < len(s.Done) && s.Done[i/bitsPerByte]&(1<<(i%bitsPerByte)) != 0 {
			j.FinishTask(Key{Occurrence: k, Step: s.Step, Task: i}, time.Time{})
		}
	}
	for _, r := range s.Tasks {
		t := j.Task(Key{Occurrence: k, Step: s.Step, Task: r.Index})
		if t == nil {
			continue
		}
		t.FailedRuns, t.Checkpoint, t.Placements, t.FailedWorkers = r.Attempts, r.Saved, r.Places, r.Blamed
		for _, place := range t.Placements {
			t.LastRun = max(t.LastRun, place.Run)
		}
	}
}

// errNoIntake is the cause of a RecordError where progress is stored of a job that was never accepted.
var errNoIntake = errors.New("the job has no intake and has not ended")

// endedRecord is the stored form of a job whose intake has been dropped.
type endedRecord struct {
	Outcome State `json:"outcome"`
	Ended   int64 `json:"ended"`
}

// ParseEndedJob reads the final state of a job whose intake has been dropped.
func ParseEndedJob(id JobID, data []byte) (*Job, error) {
	var record endedRecord
	if err := json.Unmarshal(data, &record); err != nil {
		return nil, &RecordError{ID: id, Cause: err}
	}
	if !record.Outcome.IsFinal() {
		return nil, &RecordError{ID: id, Cause: errNoIntake}
	}
	return &Job{ID: id, Outcome: record.Outcome, EndedAt: time.UnixMilli(record.Ended), Occurrences: map[int]*Occurrence{}}, nil
}
