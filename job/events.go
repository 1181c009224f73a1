package job

import "hibiscuslane.example/hibiscuslane/event"

var (
	eventPaused         = event.Define(2100, "jobs.paused", "no job records until the job stream is read up to date again; leases of running tasks are still renewed")
	eventContinued      = event.Define(2101, "jobs.continued", "the job stream is up to date; job records continue")
	eventRecorded       = event.Define(2102, "job.recorded", "a proposed job record was applied")
	eventRecordFailed   = event.Define(2103, "job.unrecorded", "a proposed job record was not applied; the next round takes the new state into account")
	eventCallFailed     = event.Define(2104, "worker.failed", "a call to a worker failed; it is repeated")
	eventQuarantined    = event.Define(2105, "worker.quarantined", "a worker fails everything it starts and takes no new attempts")
	eventRestored       = event.Define(2106, "worker.restored", "a worker takes new attempts again")
	eventOrphan         = event.Define(2107, "task.orphaned", "a worker runs a task that is not the current attempt of a job; it is stopped")
	eventEvicted        = event.Define(2108, "job.evicted", "a running job gave way to an urgent one")
	eventWorkerReturned = event.Define(2109, "worker.reached", "a worker answers again")
)
