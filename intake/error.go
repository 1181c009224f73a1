package intake

import (
	"time"

	"hibiscuslane.example/hibiscuslane/failure"
)

// LimitError reports a body that isn't read to its end. The request has not run.
type LimitError struct {
	reason string
	code   failure.Code
}

var (
	// ErrTooLarge is returned for a body that exceeds its limit.
	ErrTooLarge = &LimitError{reason: "the body is too large", code: failure.CodeInvalid}
	// ErrNoRoom is returned for a body for which the process has no memory at present.
	ErrNoRoom = &RoomError{}
)

func (e *LimitError) Error() string { return e.reason }

// Code implements failure.Coded.
func (e *LimitError) Code() failure.Code { return e.code }

// Outcome implements failure.Coded.
func (e *LimitError) Outcome() failure.Outcome { return failure.OutcomeNotRun }

// RoomError reports a body for which the process has no memory at present. The request has not run.
type RoomError struct{}

func (e *RoomError) Error() string { return "the process holds too many bodies" }

// Code implements failure.Coded.
func (e *RoomError) Code() failure.Code { return failure.CodeOverloaded }

// Outcome implements failure.Coded.
func (e *RoomError) Outcome() failure.Outcome { return failure.OutcomeNotRun }

// RetryAfter implements failure.Delayed. Bodies that are stuck have given way by then.
func (e *RoomError) RetryAfter() time.Duration { return retryTime }

// ReadError reports a body whose client has stopped sending it. The request has not run.
type ReadError struct{ Cause error }

func (e *ReadError) Error() string { return "the body cannot be read: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *ReadError) Unwrap() error { return e.Cause }

// Code implements failure.Coded.
func (e *ReadError) Code() failure.Code { return failure.CodeBroken }

// Outcome implements failure.Coded.
func (e *ReadError) Outcome() failure.Outcome { return failure.OutcomeNotRun }
