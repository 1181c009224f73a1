package audit

import "hibiscuslane.example/hibiscuslane/failure"

// WriteError reports that the audit trail could not be written completely.
type WriteError struct {
	Cause error
}

func (e *WriteError) Error() string { return "audit trail cannot be written: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *WriteError) Unwrap() error { return e.Cause }

// Code implements failure.Coded.
func (e *WriteError) Code() failure.Code { return failure.CodeInternal }

// Outcome implements failure.Coded.
func (e *WriteError) Outcome() failure.Outcome { return failure.OutcomeUnknown }
