package upstream

import (
	"errors"
	"fmt"

	"hibiscuslane.example/hibiscuslane/failure"
)

// RefusedError reports a call that the platform, a target or a worker refused and did not execute.
type RefusedError struct {
	Call    string
	Refusal Refusal
	Reason  string
}

func (e *RefusedError) Error() string {
	return fmt.Sprintf("%s was refused (%s): %s", e.Call, e.Refusal, e.Reason)
}

// Code implements failure.Coded.
func (e *RefusedError) Code() failure.Code {
	switch e.Refusal {
	case RefusedDown:
		return failure.CodeOutage
	case RefusedExpired:
		return failure.CodeExpired
	case RefusedMissing:
		return failure.CodeMissing
	case RefusedInvalid:
		return failure.CodeInvalid
	case RefusedIncarnation, RefusedDraining, RefusedFull, RefusedBusy, RefusedEpoch:
		return failure.CodeRefused
	}
	return failure.CodeRefused
}

// Outcome implements failure.Coded.
func (e *RefusedError) Outcome() failure.Outcome { return failure.OutcomeNotRun }

// IsRefused reports whether err is a RefusedError with the given refusal.
func IsRefused(err error, refusal Refusal) bool {
	var refused *RefusedError
	return errors.As(err, &refused) && refused.Refusal == refusal
}

// ExpiredError reports a read from an offset whose records the log has deleted.
type ExpiredError struct {
	Call string
}

func (e *ExpiredError) Error() string { return e.Call + ": records are past the retention window" }

// Code implements failure.Coded.
func (e *ExpiredError) Code() failure.Code { return failure.CodeExpired }

// Outcome implements failure.Coded.
func (e *ExpiredError) Outcome() failure.Outcome { return failure.OutcomeNotRun }

// IsExpired reports whether err is an ExpiredError.
func IsExpired(err error) bool {
	var expired *ExpiredError
	return errors.As(err, &expired)
}

// CallError reports a call that may or may not have taken effect: the connection failed, or the response was
// malformed or had an unexpected status.
type CallError struct {
	Call  string
	Cause error
}

func (e *CallError) Error() string { return fmt.Sprintf("%s failed: %v", e.Call, e.Cause) }

// Unwrap returns the cause.
func (e *CallError) Unwrap() error { return e.Cause }

// Code implements failure.Coded.
func (e *CallError) Code() failure.Code { return failure.CodeOutage }

// Outcome implements failure.Coded.
func (e *CallError) Outcome() failure.Outcome { return failure.OutcomeUnknown }

// StatusError reports a response with an unexpected HTTP status.
type StatusError struct {
	Status int
}

func (e *StatusError) Error() string { return fmt.Sprintf("unexpected HTTP status %d", e.Status) }

// Code implements failure.Coded.
func (e *StatusError) Code() failure.Code { return failure.CodeOutage }

// Outcome implements failure.Coded.
func (e *StatusError) Outcome() failure.Outcome { return failure.OutcomeUnknown }
