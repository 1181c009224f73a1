package demo

import (
	"hibiscuslane.example/hibiscuslane/failure"
)

// StepError reports a step of the demo that failed.
type StepError struct {
	Step   string
	Reason string
	Cause  error
}

func (e *StepError) Error() string {
	if e.Cause == nil {
		return e.Step + ": " + e.Reason
	}
	return e.Step + ": " + e.Reason + ": " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *StepError) Unwrap() error { return e.Cause }

// Code implements failure.Coded.
func (e *StepError) Code() failure.Code { return failure.CodeInternal }

// Outcome implements failure.Coded.
func (e *StepError) Outcome() failure.Outcome { return failure.OutcomeUnknown }
