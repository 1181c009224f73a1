package dispatch

import (
	"hibiscuslane.example/hibiscuslane/failure"
	"hibiscuslane.example/hibiscuslane/pool"
	"hibiscuslane.example/hibiscuslane/task"
	"hibiscuslane.example/hibiscuslane/worker"
)

// UnnamedPoolError reports an entry among the registrations of workers whose pool no configuration has named.
type UnnamedPoolError struct {
	Worker worker.ID
	Pool   pool.Name
}

func (e *UnnamedPoolError) Error() string {
	return "entry " + string(e.Worker) + " belongs to pool " + string(e.Pool) + ", which is not configured"
}

// Code implements failure.Coded.
func (e *UnnamedPoolError) Code() failure.Code { return failure.CodeInvalid }

// Outcome implements failure.Coded.
func (e *UnnamedPoolError) Outcome() failure.Outcome { return failure.OutcomeNotRun }

// UnencodableJobError reports a job that cannot be encoded for the ledger, or only in records that the store does not accept. A new
// job is rejected then, another one fails.
type UnencodableJobError struct{ Job task.JobID }

func (e *UnencodableJobError) Error() string { return "job " + string(e.Job) + " cannot be stored" }

// Code implements failure.Coded.
func (e *UnencodableJobError) Code() failure.Code { return failure.CodeInvalid }

// Outcome implements failure.Coded.
func (e *UnencodableJobError) Outcome() failure.Outcome { return failure.OutcomeNotRun }
