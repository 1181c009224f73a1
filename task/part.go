package task

import "encoding/json"

const (
	// tasksPerPart is the number of tasks whose progress is stored in one part. The store limits the size of a record, and a
	// job that changes stores only the parts that have changed.
	tasksPerPart = 64
	// maxCheckpointBytes is the length of the longest checkpoint that is kept, so that those of a part fit in one record.
	maxCheckpointBytes = 2048
)

// PartCount returns the number of parts in which the progress of the tasks is stored; zero if the main record holds it.
func (j *Job) PartCount() int {
	tasks := j.Spec.taskCount() * j.Spec.OccurrenceCount()
	if tasks <= tasksPerPart {
		return 0
	}
	return (tasks + tasksPerPart - 1) / tasksPerPart
}

// taskCount returns the number of tasks of one occurrence.
func (s Spec) taskCount() int {
	count := 0
	for _, step := range s.Steps {
		count += step.Count
	}
	return count
}

// EncodePart returns the stored form of a part of the progress, or nil if there is no progress in it. Part n has tasksPerPart
// tasks, counted through all steps of one occurrence after the other.
func (j *Job) EncodePart(n int) ([]byte, error) {
	perOccurrence := j.Spec.taskCount()
	first := n * tasksPerPart
	end := min(first+tasksPerPart, perOccurrence*j.Spec.OccurrenceCount())
	var record progressRecord
	for number := first / perOccurrence; number*perOccurrence < end; number++ {
		occurrence := j.Occurrences[number]
		if occurrence == nil {
			continue
		}
		offset := number * perOccurrence
		if r := occurrence.toRecord(number, max(first-offset, 0), min(end-offset, perOccurrence)); r.AllDone || len(r.Steps) > 0 {
			record.Occurrences = append(record.Occurrences, r)
		}
	}
	if len(record.Occurrences) == 0 {
		return nil, nil
	}
	data, err := json.Marshal(record)
	if err != nil {
		return nil, &RecordError{ID: j.ID, Cause: err}
	}
	return data, nil
}

// restoreOccurrences applies stored progress of tasks.
func (j *Job) restoreOccurrences(records []occurrenceRecord) {
	for _, r := range records {
		if r.Number < 0 || r.Number >= j.Spec.OccurrenceCount() {
			continue
		}
		occurrence := j.Occurrence(r.Number)
		if r.AllDone {
			j.restoreDoneOccurrence(r.Number, occurrence)
		}
		for _, s := range r.Steps {
			j.restoreStep(r.Number, s)
		}
	}
}
