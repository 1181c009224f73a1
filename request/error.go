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

// RouteError reports a path that no route matches.
type RouteError struct {
	Path string
}

func (e *RouteError) Error() string { return fmt.Sprintf("no route matches path %q", e.Path) }

// Code implements failure.Coded.
func (e *RouteError) Code() failure.Code { return failure.CodeMissing }

// Outcome implements failure.Coded.
func (e *RouteError) Outcome() failure.Outcome { return failure.OutcomeNotRun }

// UnreadyError reports an entry that has not loaded its state.
type UnreadyError struct{}

func (e *UnreadyError) Error() string { return "this entry has not loaded its state" }

// Code implements failure.Coded.
func (e *UnreadyError) Code() failure.Code { return failure.CodeUnready }

// Outcome implements failure.Coded.
func (e *UnreadyError) Outcome() failure.Outcome { return failure.OutcomeNotRun }

// StoppingError reports a request that arrived during a graceful shutdown.
type StoppingError struct{}

func (e *StoppingError) Error() string { return "this entry is shutting down" }

// Code implements failure.Coded.
func (e *StoppingError) Code() failure.Code { return failure.CodeStopping }

// Outcome implements failure.Coded.
func (e *StoppingError) Outcome() failure.Outcome { return failure.OutcomeNotRun }

// CrowdedError reports a request that was refused because too many are in flight.
type CrowdedError struct {
	Requests int
	Bytes    int64
}

func (e *CrowdedError) Error() string {
	return fmt.Sprintf("%d requests with up to %d bytes of bodies are in flight, which is the limit", e.Requests, e.Bytes)
}

// Code implements failure.Coded.
func (e *CrowdedError) Code() failure.Code { return failure.CodeOverloaded }

// Outcome implements failure.Coded.
func (e *CrowdedError) Outcome() failure.Outcome { return failure.OutcomeNotRun }

// RateError reports a team that is over its rate.
type RateError struct {
	Team  team.Name
	After time.Duration
}

func (e *RateError) Error() string { return fmt.Sprintf("team %s is over its rate", e.Team) }

// Code implements failure.Coded.
func (e *RateError) Code() failure.Code { return failure.CodeLimited }

// Outcome implements failure.Coded.
func (e *RateError) Outcome() failure.Outcome { return failure.OutcomeNotRun }

// RetryAfter implements failure.Delayed.
func (e *RateError) RetryAfter() time.Duration { return e.After }

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

// TryError reports a try that did not yield a whole response.
type TryError struct {
	Target instance.ID
	// Unsent is set if the try failed before it was handed to the sender.
	Unsent bool
	Cause  error
}

func (e *TryError) Error() string { return fmt.Sprintf("target %s: %v", e.Target, e.Cause) }

// Unwrap returns the cause.
func (e *TryError) Unwrap() error { return e.Cause }

// Code implements failure.Coded. It is one of the codes whose HTTP status follows the outcome, so that
// a cause from another package never makes an unknown outcome look safe to repeat.
func (e *TryError) Code() failure.Code {
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
func (e *TryError) Outcome() failure.Outcome {
	if e.Unsent || failure.Of(e.Cause).Outcome() == failure.OutcomeNotRun {
		return failure.OutcomeNotRun
	}
	return failure.OutcomeUnknown
}

// IsTry reports whether err is a TryError.
func IsTry(err error) bool {
	var try *TryError
	return errors.As(err, &try)
}

// BrokenError reports a response that ended early.
type BrokenError struct {
	// Bytes of the body arrived.
	Bytes int
	Cause error
}

func (e *BrokenError) Error() string {
	return fmt.Sprintf("the response broke off after %d bytes of its body: %v", e.Bytes, e.Cause)
}

// Unwrap returns the cause.
func (e *BrokenError) Unwrap() error { return e.Cause }

// Code implements failure.Coded.
func (e *BrokenError) Code() failure.Code {
	if errors.Is(e.Cause, context.DeadlineExceeded) {
		return failure.CodeDeadline
	}
	return failure.CodeBroken
}

// Outcome implements failure.Coded.
func (e *BrokenError) Outcome() failure.Outcome { return failure.OutcomeUnknown }

// RepeatedError reports a second send of a request that is not idempotent.
type RepeatedError struct{}

func (e *RepeatedError) Error() string { return "the request may have been executed; not sent again" }

// Code implements failure.Coded.
func (e *RepeatedError) Code() failure.Code { return failure.CodePending }

// Outcome implements failure.Coded.
func (e *RepeatedError) Outcome() failure.Outcome { return failure.OutcomeUnknown }

// CutError reports requests that were in flight at the end of a graceful shutdown.
type CutError struct {
	Left  int
	Cause error
}

func (e *CutError) Error() string {
	return fmt.Sprintf("%d requests are still in flight: %v", e.Left, e.Cause)
}

// Unwrap returns the cause.
func (e *CutError) Unwrap() error { return e.Cause }

// Code implements failure.Coded.
func (e *CutError) Code() failure.Code { return failure.CodeDeadline }

// Outcome implements failure.Coded.
func (e *CutError) Outcome() failure.Outcome { return failure.OutcomeUnknown }
