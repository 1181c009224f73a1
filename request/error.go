package request

import (
	"context"
	"errors"
	"fmt"
	"time"

	"hibiscuslane.example/hibiscuslane/failure"
	"hibiscuslane.example/hibiscuslane/instance"
	"hibiscuslane.example/hibiscuslane/team"
)

// InputError reports a request that a caller has to correct.
type InputError struct {
	// Field names the part of the request.
	Field  string
	Reason string
}

func (e *InputError) Error() string { return e.Field + " " + e.Reason }

// Code implements failure.Coded.
func (e *InputError) Code() failure.Code { return failure.CodeInvalid }

// Outcome implements failure.Coded.
func (e *InputError) Outcome() failure.Outcome { return failure.OutcomeNotRun }

// NoRouteError reports a path that no route matches.
type NoRouteError struct {
	Path string
}

func (e *NoRouteError) Error() string { return fmt.Sprintf("no route matches path %q", e.Path) }

// Code implements failure.Coded.
func (e *NoRouteError) Code() failure.Code { return failure.CodeMissing }

// Outcome implements failure.Coded.
func (e *NoRouteError) Outcome() failure.Outcome { return failure.OutcomeNotRun }

// NotReadyError reports an entry that has not loaded its state.
type NotReadyError struct{}

func (e *NotReadyError) Error() string { return "this entry has not loaded its state" }

// Code implements failure.Coded.
func (e *NotReadyError) Code() failure.Code { return failure.CodeUnready }

// Outcome implements failure.Coded.
func (e *NotReadyError) Outcome() failure.Outcome { return failure.OutcomeNotRun }

// ShuttingDownError reports a request that arrived during a graceful shutdown.
type ShuttingDownError struct{}

func (e *ShuttingDownError) Error() string { return "this entry is shutting down" }

// Code implements failure.Coded.
func (e *ShuttingDownError) Code() failure.Code { return failure.CodeStopping }

// Outcome implements failure.Coded.
func (e *ShuttingDownError) Outcome() failure.Outcome { return failure.OutcomeNotRun }

// OverloadedError reports a request that was refused because too many are in flight.
type OverloadedError struct {
	Requests int
	Bytes    int64
}

func (e *OverloadedError) Error() string {
	return fmt.Sprintf("%d requests with up to %d bytes of bodies are in flight, which is the limit", e.Requests, e.Bytes)
}

// Code implements failure.Coded.
func (e *OverloadedError) Code() failure.Code { return failure.CodeOverloaded }

// Outcome implements failure.Coded.
func (e *OverloadedError) Outcome() failure.Outcome { return failure.OutcomeNotRun }

// RateLimitError reports a team that is over its rate.
type RateLimitError struct {
	Team  team.Name
	Delay time.Duration
}

func (e *RateLimitError) Error() string { return fmt.Sprintf("team %s is over its rate", e.Team) }

// Code implements failure.Coded.
func (e *RateLimitError) Code() failure.Code { return failure.CodeLimited }

// Outcome implements failure.Coded.
func (e *RateLimitError) Outcome() failure.Outcome { return failure.OutcomeNotRun }

// RetryAfter implements failure.Delayed.
func (e *RateLimitError) RetryAfter() time.Duration { return e.Delay }

// DeadlineError reports a request whose deadline passed, or whose caller left, before it was sent.
type DeadlineError struct {
	Step  string
	Cause error
}

func (e *DeadlineError) Error() string {
	if e.Cause == nil {
		return "the deadline passed before " + e.Step
	}
	return fmt.Sprintf("the request ended before %s: %v", e.Step, e.Cause)
}

// Unwrap returns the cause.
func (e *DeadlineError) Unwrap() error { return e.Cause }

// Code implements failure.Coded.
func (e *DeadlineError) Code() failure.Code { return failure.CodeDeadline }

// Outcome implements failure.Coded.
func (e *DeadlineError) Outcome() failure.Outcome { return failure.OutcomeNotRun }

// AttemptError reports a try that did not yield a whole response.
type AttemptError struct {
	Target instance.ID
	// Unsent is set if the try failed before it was handed to the sender.
	Unsent bool
	Cause  error
}

func (e *AttemptError) Error() string { return fmt.Sprintf("target %s: %v", e.Target, e.Cause) }

// Unwrap returns the cause.
func (e *AttemptError) Unwrap() error { return e.Cause }

// Code implements failure.Coded. It is one of the codes whose HTTP status follows the outcome, so that
// a cause from another package never makes an unknown outcome look safe to repeat.
func (e *AttemptError) Code() failure.Code {
	code := failure.Of(e.Cause).Code()
	switch code {
	case failure.CodeDeadline, failure.CodeRefused, failure.CodeUnreachable, failure.CodeBroken, failure.CodePending:
		return code
	default:
	}
	switch {
	case errors.Is(e.Cause, context.DeadlineExceeded):
		return failure.CodeDeadline
	case e.Outcome() == failure.OutcomeNotRun:
		return failure.CodeRefused
	}
	return failure.CodeBroken
}

// Outcome implements failure.Coded.
func (e *AttemptError) Outcome() failure.Outcome {
	if e.Unsent || failure.Of(e.Cause).Outcome() == failure.OutcomeNotRun {
		return failure.OutcomeNotRun
	}
	return failure.OutcomeUnknown
}

// IsAttemptError reports whether err is a AttemptError.
func IsAttemptError(err error) bool {
	var try *AttemptError
	return errors.As(err, &try)
}

// IncompleteResponseError reports a response that ended early.
type IncompleteResponseError struct {
	// BytesReceived is the number of bytes of the body that arrived.
	BytesReceived int
	Cause         error
}

func (e *IncompleteResponseError) Error() string {
	return fmt.Sprintf("the response broke off after %d bytes of its body: %v", e.BytesReceived, e.Cause)
}

// Unwrap returns the cause.
func (e *IncompleteResponseError) Unwrap() error { return e.Cause }

// Code implements failure.Coded.
func (e *IncompleteResponseError) Code() failure.Code {
	if errors.Is(e.Cause, context.DeadlineExceeded) {
		return failure.CodeDeadline
	}
	return failure.CodeBroken
}

// Outcome implements failure.Coded.
func (e *IncompleteResponseError) Outcome() failure.Outcome { return failure.OutcomeUnknown }

// AlreadySentError reports a second send of a request that is not idempotent.
type AlreadySentError struct{}

func (e *AlreadySentError) Error() string {
	return "the request may have been executed; not sent again"
}

// Code implements failure.Coded.
func (e *AlreadySentError) Code() failure.Code { return failure.CodePending }

// Outcome implements failure.Coded.
func (e *AlreadySentError) Outcome() failure.Outcome { return failure.OutcomeUnknown }

// ShutdownTimeoutError reports requests that were in flight at the end of a graceful shutdown.
type ShutdownTimeoutError struct {
	InFlight int
	Cause    error
}

func (e *ShutdownTimeoutError) Error() string {
	return fmt.Sprintf("%d requests are still in flight: %v", e.InFlight, e.Cause)
}

// Unwrap returns the cause.
func (e *ShutdownTimeoutError) Unwrap() error { return e.Cause }

// Code implements failure.Coded.
func (e *ShutdownTimeoutError) Code() failure.Code { return failure.CodeDeadline }

// Outcome implements failure.Coded.
func (e *ShutdownTimeoutError) Outcome() failure.Outcome { return failure.OutcomeUnknown }
