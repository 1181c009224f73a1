package admin

import (
	"fmt"
	"time"

	"hibiscuslane.example/hibiscuslane/failure"
	"hibiscuslane.example/hibiscuslane/record"
)

// RequestError reports a malformed request.
type RequestError struct {
	Reason string
	Cause  error
}

func (e *RequestError) Error() string {
	if e.Cause == nil {
		return e.Reason
	}
	return e.Reason + ": " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *RequestError) Unwrap() error { return e.Cause }

// Code implements failure.Coded.
func (e *RequestError) Code() failure.Code { return failure.CodeInvalid }

// Outcome implements failure.Coded.
func (e *RequestError) Outcome() failure.Outcome { return failure.OutcomeNotRun }

// LagError reports a dry run at an entry that has not yet read the version that the publish is based on.
type LagError struct {
	Version     record.Offset
	BaseVersion record.Offset
}

func (e *LagError) Error() string {
	return fmt.Sprintf("the entry has version %d in force and has not read version %d yet", e.Version, e.BaseVersion)
}

// Code implements failure.Coded.
func (e *LagError) Code() failure.Code { return failure.CodeUnready }

// Outcome implements failure.Coded.
func (e *LagError) Outcome() failure.Outcome { return failure.OutcomeNotRun }

// RetryAfter implements failure.Delayed.
func (e *LagError) RetryAfter() time.Duration { return lagRetryAfter }

// RemoteError is an error that the called entry returned.
type RemoteError struct {
	Status int
	Body   failure.Body
}

func (e *RemoteError) Error() string { return e.Body.Reason }

// Code implements failure.Coded.
func (e *RemoteError) Code() failure.Code { return e.Body.Code }

// Outcome implements failure.Coded.
func (e *RemoteError) Outcome() failure.Outcome { return e.Body.Outcome }

// CallError reports a call without a valid response.
type CallError struct {
	Call  string
	Cause error
	// MaybeSent is set if the call may have reached the entry.
	MaybeSent bool
}

func (e *CallError) Error() string { return e.Call + " failed: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *CallError) Unwrap() error { return e.Cause }

// Code implements failure.Coded.
func (e *CallError) Code() failure.Code {
	if e.MaybeSent {
		return failure.CodeBroken
	}
	return failure.CodeUnreachable
}

// Outcome implements failure.Coded.
func (e *CallError) Outcome() failure.Outcome {
	if e.MaybeSent {
		return failure.OutcomeUnknown
	}
	return failure.OutcomeNotRun
}
