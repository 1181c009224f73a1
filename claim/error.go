package claim

import (
	"errors"
	"fmt"
	"time"

	"hibiscuslane.example/hibiscuslane/failure"
	"hibiscuslane.example/hibiscuslane/record"
)

// ReusedError reports an idempotency key that was used with another request.
type ReusedError struct {
	Key Key
}

func (e *ReusedError) Error() string {
	return fmt.Sprintf("idempotency key %q of team %s was used with another method, path or body", e.Key.Key, e.Key.Team)
}

// Code implements failure.Coded.
func (e *ReusedError) Code() failure.Code { return failure.CodeReused }

// Outcome implements failure.Coded.
func (e *ReusedError) Outcome() failure.Outcome { return failure.OutcomeNotRun }

// IsReused reports whether err is a ReusedError.
func IsReused(err error) bool {
	var reused *ReusedError
	return errors.As(err, &reused)
}

// LogError reports a request that was refused because its claim was not confirmed by the log in time.
type LogError struct {
	Key   Key
	Cause error
}

func (e *LogError) Error() string {
	return fmt.Sprintf("the log did not confirm the claim of key %q in time: %v", e.Key.Key, e.Cause)
}

// Unwrap returns the cause.
func (e *LogError) Unwrap() error { return e.Cause }

// Code implements failure.Coded.
func (e *LogError) Code() failure.Code { return failure.CodeOutage }

// Outcome implements failure.Coded. The cause may be ambiguous about the record, but nothing was sent.
func (e *LogError) Outcome() failure.Outcome { return failure.OutcomeNotRun }

// RetryAfter implements failure.Delayed.
func (e *LogError) RetryAfter() time.Duration { return logRetry }

// FullError reports a claim that was refused because the state holds the most claims it may.
type FullError struct {
	Limit int
}

func (e *FullError) Error() string {
	return fmt.Sprintf("%d idempotency keys are kept, which is the limit", e.Limit)
}

// Code implements failure.Coded.
func (e *FullError) Code() failure.Code { return failure.CodeOverloaded }

// Outcome implements failure.Coded.
func (e *FullError) Outcome() failure.Outcome { return failure.OutcomeNotRun }

// RetryAfter implements failure.Delayed.
func (e *FullError) RetryAfter() time.Duration { return fullRetry }

// UnsettledError reports a repeat whose first request has no outcome, or has the outcome unknown.
type UnsettledError struct {
	Key    Key
	Holder record.Writer
	// Final says that no outcome will follow.
	Final bool
}

func (e *UnsettledError) Error() string {
	if e.Final {
		return fmt.Sprintf("the outcome of the first request with key %q, sent by %s, is unknown", e.Key.Key, e.Holder.Entry)
	}
	return fmt.Sprintf("the first request with key %q, held by %s, has no outcome yet", e.Key.Key, e.Holder.Entry)
}

// Code implements failure.Coded.
func (e *UnsettledError) Code() failure.Code { return failure.CodePending }

// Outcome implements failure.Coded.
func (e *UnsettledError) Outcome() failure.Outcome { return failure.OutcomeUnknown }

// DroppedError reports a repeat of an executed request whose answer is no longer kept.
type DroppedError struct {
	Key   Key
	Cause error
}

func (e *DroppedError) Error() string {
	text := fmt.Sprintf("the request with key %q was executed, but its answer is not kept", e.Key.Key)
	if e.Cause == nil {
		return text
	}
	return text + ": " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *DroppedError) Unwrap() error { return e.Cause }

// Code implements failure.Coded.
func (e *DroppedError) Code() failure.Code { return failure.CodeExpired }

// Outcome implements failure.Coded. The answer cannot be delivered, so the outcome is not answered.
func (e *DroppedError) Outcome() failure.Outcome { return failure.OutcomeUnknown }

// FieldError reports a record or snapshot with a bad value.
type FieldError struct {
	Field  string
	Reason string
}

func (e *FieldError) Error() string { return "field " + e.Field + " " + e.Reason }

// Code implements failure.Coded.
func (e *FieldError) Code() failure.Code { return failure.CodeInvalid }

// Outcome implements failure.Coded.
func (e *FieldError) Outcome() failure.Outcome { return failure.OutcomeNotRun }

// DrainError reports outcomes that the log did not take before the end of a graceful shutdown.
type DrainError struct {
	Left  int
	Cause error
}

func (e *DrainError) Error() string {
	return fmt.Sprintf("%d outcomes are not in the log: %v", e.Left, e.Cause)
}

// Unwrap returns the cause.
func (e *DrainError) Unwrap() error { return e.Cause }

// Code implements failure.Coded.
func (e *DrainError) Code() failure.Code { return failure.CodeOutage }

// Outcome implements failure.Coded.
func (e *DrainError) Outcome() failure.Outcome { return failure.OutcomeUnknown }
