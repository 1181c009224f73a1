package dispatch

import "hibiscuslane.example/hibiscuslane/task"

// recordFinalCheckpoint records the checkpoint with which a run has ended.
func (d *Dispatcher) recordFinalCheckpoint(r *run, checkpoint task.Checkpoint) {
	if !r.job.RecordCheckpoint(r.id.key, r.id.number, checkpoint) {
		d.log.Info(eventCheckpointIgnored, "task", r.id.key.String(), "run", r.id.number, "worker", r.workerID, "saves", r.step.WritesCheckpoints)
	}
}
