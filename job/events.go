package job

import "hibiscuslane.example/hibiscuslane/event"

var (
	eventPaused         = event.Define(2100, "jobs.paused", "the job stream is not up to date; no job records are proposed until it is, but the leases of running tasks are still renewed")
	eventResumed        = event.Define(2101, "jobs.continued", "the job stream is up to date again; job records are proposed again")
	eventRecorded       = event.Define(2102, "job.recorded", "a proposed job record was applied")
	eventRecordFailed   = event.Define(2103, "job.unrecorded", "a proposed job record was rejected or not confirmed in time; the next round decides again from the new state")
	eventCallFailed     = event.Define(2104, "worker.failed", "a call to a worker failed or was refused; a later round repeats it if it is still needed")
	eventQuarantined    = event.Define(2105, "worker.quarantined", "a worker was quarantined because its tasks keep failing; no new attempts are placed on it")
	eventRestored       = event.Define(2106, "worker.restored", "the quarantine of a worker has ended; new attempts are placed on it again")
	eventOrphanStopped  = event.Define(2107, "task.orphaned", "a worker runs a task that is not the current attempt of its job; the task is stopped")
	eventEvicted        = event.Define(2108, "job.evicted", "an attempt was ended to free resources for an urgent job")
	eventWorkerReturned = event.Define(2109, "worker.reached", "a worker answers again after failed calls")
)
