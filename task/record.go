package task

import (
	"encoding/json"
	"errors"
	"slices"
	"time"

	"hibiscuslane.example/hibiscuslane/failure"
	"hibiscuslane.example/hibiscuslane/pool"
	"hibiscuslane.example/hibiscuslane/team"
)

// RecordError reports that a job cannot be encoded for storage or decoded from its stored form.
type RecordError struct {
	ID    JobID
	Cause error
}

func (e *RecordError) Error() string {
	return "job " + string(e.ID) + " cannot be encoded or decoded: " + e.Cause.Error()
}

// Unwrap returns the underlying error.
func (e *RecordError) Unwrap() error { return e.Cause }

// Code implements failure.Coded.
func (e *RecordError) Code() failure.Code { return failure.CodeInvalid }

// Outcome implements failure.Coded.
func (e *RecordError) Outcome() failure.Outcome { return failure.OutcomeNotRun }

// submission is the stored form of a job as it was accepted.
type submission struct {
	Queue      string    `json:"queue"`
	Team       team.Name `json:"team,omitempty"`
	Pool       pool.Name `json:"pool"`
	AcceptedAt int64     `json:"accepted"` // Unix milliseconds
	Policy     Policy    `json:"policy"`
	Spec       Spec      `json:"spec"`
}

// EncodeSubmission returns the stored form of a job as it was accepted, without its progress.
func (j *Job) EncodeSubmission() ([]byte, error) {
	data, err := json.Marshal(submission{Queue: j.Queue, Team: j.Team, Pool: j.Pool, AcceptedAt: j.AcceptedAt.UnixMilli(), Policy: j.Policy, Spec: j.Spec})
	if err != nil {
		return nil, &RecordError{ID: j.ID, Cause: err}
	}
	return data, nil
}

// errInvalidSpec is the cause of a RecordError if the steps of a stored job are not those of a job that was accepted.
var errInvalidSpec = errors.New("the specification is invalid")

// ParseSubmission decodes what EncodeSubmission returned. The job has no progress.
func ParseSubmission(id JobID, data []byte) (*Job, error) {
	var in submission
	if err := json.Unmarshal(data, &in); err != nil {
		return nil, &RecordError{ID: id, Cause: err}
	}
	if !in.Spec.isValid() {
		return nil, &RecordError{ID: id, Cause: errInvalidSpec}
	}
	j := New(id, in.Queue, in.Pool, in.Spec, time.UnixMilli(in.AcceptedAt))
	j.Team, j.Policy = in.Team, in.Policy
	return j, nil
}

// taskRecord is the stored progress of a task that is not done.
type taskRecord struct {
	Index      int `json:"task"`
	FailedRuns int `json:"attempts,omitempty"`
	Crashes    int `json:"crashes,omitempty"`
	// LoneCrashes is at most Crashes.
	LoneCrashes int `json:"alone,omitempty"`
	// Checkpoint is empty for members of a gang, but in records of earlier versions.
	Checkpoint Checkpoint `json:"saved,omitempty"`
	// Runs lists the placements.
	Runs []runRecord `json:"runs,omitempty"`
	// Placements lists the placements in records of earlier versions.
	Placements    []Placement `json:"places,omitempty"`
	FailedWorkers []string    `json:"blamed,omitempty"`
}

// runRecord is the stored form of a placement: the index of the worker in stepRecord.Workers and the run number. The
// tasks of a step usually share a few workers, and in a burst most of what is stored are placements.
type runRecord [2]int64

// workerRecord identifies an incarnation of a worker on which tasks of a step are placed.
type workerRecord struct {
	Worker      string `json:"worker"`
	Incarnation int64  `json:"birth"`
	Machine     string `json:"machine,omitempty"`
}

// stepRecord is the stored progress of a step, or of some of its tasks.
type stepRecord struct {
	Step int `json:"step"`
	// From and To are the index of the first task and that after the last one. If To is zero, the record covers all tasks.
	From int `json:"from,omitempty"`
	To   int `json:"to,omitempty"`
	// DoneBits has one bit for each task, which is set if the task is done. It is empty if none or all are done.
	DoneBits []byte `json:"done,omitempty"`
	AllDone  bool   `json:"all,omitempty"`
	// Checkpoint is that of a gang. It is stored with the first task.
	Checkpoint Checkpoint `json:"saved,omitempty"`
	// Workers are the workers to which the placements of Tasks refer.
	Workers []workerRecord `json:"at,omitempty"`
	Tasks   []taskRecord   `json:"tasks,omitempty"`
}

// toRunRecord returns the stored form of a placement and adds its worker to Workers if it is not there yet.
func (r *stepRecord) toRunRecord(p Placement) runRecord {
	w := workerRecord{Worker: p.Worker, Incarnation: p.Incarnation, Machine: p.Machine}
	index := slices.Index(r.Workers, w)
	if index < 0 {
		index = len(r.Workers)
		r.Workers = append(r.Workers, w)
	}
	return runRecord{int64(index), int64(p.Run)}
}

// placementsOf returns the placements of a task. It skips those whose worker is missing.
func (r *stepRecord) placementsOf(t taskRecord) []Placement {
	placements := t.Placements
	for _, run := range t.Runs {
		if index := run[0]; index >= 0 && index < int64(len(r.Workers)) {
			w := r.Workers[index]
			placements = append(placements, Placement{Worker: w.Worker, Incarnation: w.Incarnation, Machine: w.Machine, Run: RunNumber(run[1])})
		}
	}
	return placements
}

// occurrenceRecord is the stored progress of an occurrence.
type occurrenceRecord struct {
	Number  int          `json:"pass"`
	AllDone bool         `json:"whole,omitempty"` // all tasks are done
	Steps   []stepRecord `json:"steps,omitempty"`
}

// progressRecord is the stored progress of a job.
type progressRecord struct {
	Outcome     State              `json:"outcome,omitempty"`
	EndedAt     int64              `json:"ended,omitempty"` // Unix milliseconds
	KeptSince   int64              `json:"kept,omitempty"`  // OwnerTime in milliseconds
	Started     bool               `json:"begun,omitempty"`
	Unsubmitted bool               `json:"void,omitempty"`
	Occurrences []occurrenceRecord `json:"passes,omitempty"`
}

// EncodeProgress returns the main record of the progress of a job. It leaves out the occurrences if they are stored in parts
// or the job has ended; in the latter case, ParseEndedJob decodes it without the submission.
func (j *Job) EncodeProgress() ([]byte, error) {
	record := progressRecord{Outcome: j.Outcome, Started: j.Started, Unsubmitted: j.Unsubmitted}
	if j.Outcome != "" {
		record.EndedAt, record.KeptSince = j.EndedAt.UnixMilli(), time.Duration(j.KeptSince).Milliseconds()
	} else if j.PartCount() == 0 {
		perOccurrence := j.Spec.taskCount()
		for number, occurrence := range j.Occurrences {
			record.Occurrences = append(record.Occurrences, occurrence.toRecord(number, 0, perOccurrence))
		}
	}
	data, err := json.Marshal(record)
	if err != nil {
		return nil, &RecordError{ID: j.ID, Cause: err}
	}
	return data, nil
}

// toRecord returns the stored form of some tasks of the occurrence with the given number: those from an index up to, and
// without, another one, counted through all steps.
func (o *Occurrence) toRecord(number, from, to int) occurrenceRecord {
	r := occurrenceRecord{Number: number}
	offset := 0
	for i := range o.Steps {
		count := len(o.Steps[i].Tasks)
		if first, end := max(from-offset, 0), min(to-offset, count); first < end {
			if s, ok := o.Steps[i].toRecord(i, first, end); ok {
				r.Steps = append(r.Steps, s)
			}
		}
		offset += count
	}
	if o.OpenTasks == 0 && from == 0 && to == offset {
		r.AllDone, r.Steps = true, nil
	}
	return r
}

const bitsPerByte = 8

// toRecord returns the stored form of the tasks in a range of the step with the given index, and whether they have any progress
// to store.
func (p *StepProgress) toRecord(index, from, to int) (stepRecord, bool) {
	r := stepRecord{Step: index}
	if from > 0 || to < len(p.Tasks) {
		r.From, r.To = from, to
	}
	tasks, done := p.Tasks[from:to], 0
	doneBits := make([]byte, (len(tasks)+bitsPerByte-1)/bitsPerByte)
	for i := range tasks {
		if tasks[i].Done {
			done++
			doneBits[i/bitsPerByte] |= 1 << (i % bitsPerByte)
		}
	}
	r.AllDone = done == len(tasks)
	if done > 0 && !r.AllDone {
		r.DoneBits = doneBits
	}
	if from == 0 && !r.AllDone {
		r.Checkpoint = p.Checkpoint
	}
	for i := range tasks {
		if record, ok := r.toTaskRecord(from+i, &tasks[i], p.Checkpoint != ""); ok {
			r.Tasks = append(r.Tasks, record)
		}
	}
	return r, done > 0 || len(r.Tasks) > 0 || r.Checkpoint != ""
}

// toTaskRecord returns the stored form of the task with the given index, and whether it has any progress to store beyond
// being done. The checkpoint of a gang replaces those of its tasks.
func (r *stepRecord) toTaskRecord(index int, t *Task, hasGangCheckpoint bool) (taskRecord, bool) {
	record := taskRecord{Index: index, FailedRuns: t.FailedRuns, Crashes: t.Crashes, LoneCrashes: t.LoneCrashes, FailedWorkers: t.FailedWorkers}
	if !hasGangCheckpoint {
		record.Checkpoint = t.Checkpoint
	}
	if t.Done || len(t.Placements) == 0 && t.FailedRuns == 0 && t.Crashes == 0 && record.Checkpoint == "" {
		return taskRecord{}, false
	}
	for _, p := range t.Placements {
		record.Runs = append(record.Runs, r.toRunRecord(p))
	}
	return record, true
}

// RestoreProgress applies the main record of the progress, and the parts, to a job that has no progress yet.
func (j *Job) RestoreProgress(data []byte, parts ...[]byte) error {
	var record progressRecord
	if err := json.Unmarshal(data, &record); err != nil {
		return &RecordError{ID: j.ID, Cause: err}
	}
	j.restoreOccurrences(record.Occurrences)
	for _, part := range parts {
		var record progressRecord
		if err := json.Unmarshal(part, &record); err != nil {
			return &RecordError{ID: j.ID, Cause: err}
		}
		j.restoreOccurrences(record.Occurrences)
	}
	j.Started = record.Started
	j.Outcome = record.Outcome
	if record.Outcome != "" {
		j.EndedAt, j.KeptSince = time.UnixMilli(record.EndedAt), ownerTimeOf(record.KeptSince)
	}
	return nil
}

// restoreDoneOccurrence marks all tasks of an occurrence as done.
func (j *Job) restoreDoneOccurrence(number int, occurrence *Occurrence) {
	for i := range occurrence.Steps {
		for n := range occurrence.Steps[i].Tasks {
			j.FinishTask(Key{Occurrence: number, Step: i, Task: n}, time.Time{})
		}
	}
}

// restoreStep applies the stored progress of a step of the occurrence with the given number. It ignores steps and
// tasks that the job does not have.
func (j *Job) restoreStep(number int, s stepRecord) {
	if s.Step < 0 || s.Step >= len(j.Spec.Steps) {
		return
	}
	count := j.Spec.Steps[s.Step].Count
	if s.To == 0 {
		s.To = count
	}
	for i := range min(s.To, count) - s.From {
		if s.AllDone || i/bitsPerByte < len(s.DoneBits) && s.DoneBits[i/bitsPerByte]&(1<<(i%bitsPerByte)) != 0 {
			j.FinishTask(Key{Occurrence: number, Step: s.Step, Task: s.From + i}, time.Time{})
		}
	}
	p := &j.Occurrence(number).Steps[s.Step]
	if s.Checkpoint != "" {
		p.Checkpoint = s.Checkpoint
	}
	for _, r := range s.Tasks {
		t := j.Task(Key{Occurrence: number, Step: s.Step, Task: r.Index})
		if t == nil {
			continue
		}
		t.FailedRuns, t.Crashes, t.LoneCrashes, t.Checkpoint, t.Placements, t.FailedWorkers = r.FailedRuns, r.Crashes, r.LoneCrashes, r.Checkpoint, s.placementsOf(r), r.FailedWorkers
		if j.Spec.Steps[s.Step].Gang && p.Checkpoint == "" {
			p.Checkpoint = r.Checkpoint
		}
		for _, placement := range t.Placements {
			t.LastRun = max(t.LastRun, placement.Run)
		}
	}
}

// ownerTimeOf returns the OwnerTime of a stored number of milliseconds.
func ownerTimeOf(ms int64) OwnerTime { return OwnerTime(time.Duration(ms) * time.Millisecond) }

// errNoSubmission is the cause of a RecordError if the progress of an open job is stored without its submission.
var errNoSubmission = errors.New("the submission is missing and the job has not ended")

// endedRecord is the part of the stored progress that is needed after the submission was deleted.
type endedRecord struct {
	Outcome     State `json:"outcome"`
	EndedAt     int64 `json:"ended"` // Unix milliseconds
	KeptSince   int64 `json:"kept"`  // OwnerTime in milliseconds
	Unsubmitted bool  `json:"void"`
}

// ParseEndedJob decodes the final state of a job whose submission was deleted.
func ParseEndedJob(id JobID, data []byte) (*Job, error) {
	var record endedRecord
	if err := json.Unmarshal(data, &record); err != nil {
		return nil, &RecordError{ID: id, Cause: err}
	}
	if !record.Outcome.IsFinal() {
		return nil, &RecordError{ID: id, Cause: errNoSubmission}
	}
	return &Job{ID: id, Outcome: record.Outcome, EndedAt: time.UnixMilli(record.EndedAt), KeptSince: ownerTimeOf(record.KeptSince), Occurrences: map[int]*Occurrence{}, Unsubmitted: record.Unsubmitted}, nil
}
