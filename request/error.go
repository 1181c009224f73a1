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

// InputError reports an invalid request, which the caller has to correct.
type InputError struct {
	// Field is the part of the request that is invalid.
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

// NotReadyError reports that the entry has not loaded its state yet.
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

// OverloadedError reports a request that was rejected because the requests in flight or their bodies reach a limit.
type OverloadedError struct {
	Requests int
	// Bytes is the sum of the maximum body sizes of the requests in flight.
	Bytes int64
}

func (e *OverloadedError) Error() string {
	return fmt.Sprintf("%d requests with up to %d bytes of bodies are in flight, which is the limit", e.Requests, e.Bytes)
}

// Code implements failure.Coded.
func (e *OverloadedError) Code() failure.Code { return failure.CodeOverloaded }

// Outcome implements failure.Coded.
func (e *OverloadedError) Outcome() failure.Outcome { return failure.OutcomeNotRun }

// RateLimitError reports a team that exceeds its request rate.
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

// DeadlineError reports a request whose deadline passed, or whose caller disconnected, before it was sent.
type DeadlineError struct {
	// Step is the step that was not reached, as a clause such as "it was sent".
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

// AttemptError reports an attempt that did not yield a complete response.
type AttemptError struct {
	Target instance.ID
	// Unsent is true if the attempt failed before the Sender was called.
	Unsent bool
	Cause  error
}

func (e *AttemptError) Error() string { return fmt.Sprintf("target %s: %v", e.Target, e.Cause) }

// Unwrap returns the cause.
func (e *AttemptError) Unwrap() error { return e.Cause }

// Code implements failure.Coded. It returns only codes whose HTTP status depends on the outcome, so that the code of
// a cause from another package never makes an unknown outcome look safe to retry.
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

// IsAttemptError reports whether err is an AttemptError.
func IsAttemptError(err error) bool {
	var attempt *AttemptError
	return errors.As(err, &attempt)
}

// IncompleteResponseError reports a response that ended early on its way from the target or to the caller.
type IncompleteResponseError struct {
	// BytesReceived is the number of bytes of the body that were received or, on the way to the caller, written.
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

// AlreadySentError reports that a request was not sent again because it is not idempotent and may already have been
// executed.
type AlreadySentError struct{}

func (e *AlreadySentError) Error() string {
	return "the request may have been executed; not sent again"
}

// Code implements failure.Coded.
func (e *AlreadySentError) Code() failure.Code { return failure.CodePending }

// Outcome implements failure.Coded.
func (e *AlreadySentError) Outcome() failure.Outcome { return failure.OutcomeUnknown }

// ShutdownTimeoutError reports requests that were still in flight when a graceful shutdown ended.
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
