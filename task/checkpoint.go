package task

// RecordCheckpoint records a checkpoint that a run of a task has reported, and returns false if it must not be used: the
// step saves none, a later run has reported one, or it is too long to be stored. The checkpoint of any member of a gang is valid for the whole gang, so
// the latest one replaces those of all members.
func (j *Job) RecordCheckpoint(key Key, run RunNumber, checkpoint Checkpoint) bool {
	t := j.Task(key)
	if checkpoint == "" || t == nil {
		return true
	}
	if !j.Spec.Steps[key.Step].WritesCheckpoints || run < t.CheckpointRun || len(checkpoint) > maxCheckpointBytes {
		return false
	}
	isNew := checkpoint != t.Checkpoint
	t.Checkpoint, t.CheckpointRun = checkpoint, run
	if !j.Spec.Steps[key.Step].Gang {
		return true
	}
	p := &j.Occurrence(key.Occurrence).Steps[key.Step]
	if run < p.CheckpointRun {
		return false
	}
	if isNew { // members report their checkpoints again and again
		p.Checkpoint, p.CheckpointRun = checkpoint, run
	}
	return true
}

// StartCheckpoint returns the checkpoint with which a run of a task starts. All members of a gang get the same one, whatever
// is reported between their starts.
func (j *Job) StartCheckpoint(key Key, run RunNumber) Checkpoint {
	if !j.Spec.Steps[key.Step].Gang {
		return j.Task(key).Checkpoint
	}
	p := &j.Occurrence(key.Occurrence).Steps[key.Step]
	if p.startRun != run {
		p.startRun, p.startCheckpoint = run, p.Checkpoint
	}
	return p.startCheckpoint
}
