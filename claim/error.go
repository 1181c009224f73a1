package claim

import (
	"errors"
	"fmt"
	"time"

	"hibiscuslane.example/hibiscuslane/failure"
	"hibiscuslane.example/hibiscuslane/record"
)

// KeyReusedError reports an idempotency key that was already used with a different request.
type KeyReusedError struct {
	Key Key
}

func (e *KeyReusedError) Error() string {
	return fmt.Sprintf("idempotency key %q of team %s was used with another method, path or body", e.Key.Value, e.Key.Team)
}

// Code implements failure.Coded.
func (e *KeyReusedError) Code() failure.Code { return failure.CodeReused }

// Outcome implements failure.Coded.
func (e *KeyReusedError) Outcome() failure.Outcome { return failure.OutcomeNotRun }

// IsKeyReused reports whether err is a KeyReusedError.
func IsKeyReused(err error) bool {
	var reused *KeyReusedError
	return errors.As(err, &reused)
}

// NotConfirmedError reports a request that was refused because the log did not confirm its claim in time.
type NotConfirmedError struct {
	Key   Key
	Cause error
}

func (e *NotConfirmedError) Error() string {
	return fmt.Sprintf("the log did not confirm the claim of key %q in time: %v", e.Key.Value, e.Cause)
}

// Unwrap returns the cause.
func (e *NotConfirmedError) Unwrap() error { return e.Cause }

// Code implements failure.Coded.
func (e *NotConfirmedError) Code() failure.Code { return failure.CodeOutage }

// Outcome implements failure.Coded. The claim may still be in the log, but the request was not sent.
func (e *NotConfirmedError) Outcome() failure.Outcome { return failure.OutcomeNotRun }

// RetryAfter implements failure.Delayed.
func (e *NotConfirmedError) RetryAfter() time.Duration { return logRetryAfter }

// LimitError reports a claim that was refused because the state contains the maximum number of claims.
type LimitError struct {
	Limit int
}

func (e *LimitError) Error() string {
	return fmt.Sprintf("%d idempotency keys are kept, which is the limit", e.Limit)
}

// Code implements failure.Coded.
func (e *LimitError) Code() failure.Code { return failure.CodeOverloaded }

// Outcome implements failure.Coded.
func (e *LimitError) Outcome() failure.Outcome { return failure.OutcomeNotRun }

// RetryAfter implements failure.Delayed.
func (e *LimitError) RetryAfter() time.Duration { return limitRetryAfter }

// NoOutcomeError reports a retry whose first request has no outcome yet, or whose outcome is unknown.
type NoOutcomeError struct {
	Key    Key
	Holder record.Writer
	// Final is true if no further outcome is expected.
	Final bool
}

func (e *NoOutcomeError) Error() string {
	if e.Final {
		return fmt.Sprintf("the outcome of the first request with key %q, sent by %s, is unknown", e.Key.Value, e.Holder.Entry)
	}
	return fmt.Sprintf("the first request with key %q, held by %s, has no outcome yet", e.Key.Value, e.Holder.Entry)
}

// Code implements failure.Coded.
func (e *NoOutcomeError) Code() failure.Code { return failure.CodePending }

// Outcome implements failure.Coded.
func (e *NoOutcomeError) Outcome() failure.Outcome { return failure.OutcomeUnknown }

// AnswerNotKeptError reports a retry of an executed request whose answer is no longer available.
type AnswerNotKeptError struct {
	Key   Key
	Cause error
}

func (e *AnswerNotKeptError) Error() string {
	text := fmt.Sprintf("the request with key %q was executed, but its answer is not kept", e.Key.Value)
	if e.Cause == nil {
		return text
	}
	return text + ": " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *AnswerNotKeptError) Unwrap() error { return e.Cause }

// Code implements failure.Coded.
func (e *AnswerNotKeptError) Code() failure.Code { return failure.CodeExpired }

// Outcome implements failure.Coded. The outcome is unknown rather than answered, because the caller does not
// get the answer.
func (e *AnswerNotKeptError) Outcome() failure.Outcome { return failure.OutcomeUnknown }

// InvalidFieldError reports an invalid value in a record or a snapshot.
type InvalidFieldError struct {
	Field  string
	Reason string
}

func (e *InvalidFieldError) Error() string { return "field " + e.Field + " " + e.Reason }

// Code implements failure.Coded.
func (e *InvalidFieldError) Code() failure.Code { return failure.CodeInvalid }

// Outcome implements failure.Coded.
func (e *InvalidFieldError) Outcome() failure.Outcome { return failure.OutcomeNotRun }

// DrainError reports outcomes that the log did not confirm before the end of a graceful shutdown.
type DrainError struct {
	Pending int
	Cause   error
}

func (e *DrainError) Error() string {
	return fmt.Sprintf("%d outcomes are not in the log: %v", e.Pending, e.Cause)
}

// Unwrap returns the cause.
func (e *DrainError) Unwrap() error { return e.Cause }

// Code implements failure.Coded.
func (e *DrainError) Code() failure.Code { return failure.CodeOutage }

// Outcome implements failure.Coded.
func (e *DrainError) Outcome() failure.Outcome { return failure.OutcomeUnknown }
