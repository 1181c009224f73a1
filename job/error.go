package job

import (
	"errors"
	"fmt"
	"time"

	"hibiscuslane.example/hibiscuslane/failure"
	"hibiscuslane.example/hibiscuslane/record"
	"hibiscuslane.example/hibiscuslane/team"
)

// UnknownKindError reports a record whose kind the job stream does not define.
type UnknownKindError struct {
	Kind record.Kind
}

func (e *UnknownKindError) Error() string { return fmt.Sprintf("record kind %q is unknown", e.Kind) }

// Code implements failure.Coded.
func (e *UnknownKindError) Code() failure.Code { return failure.CodeInvalid }

// Outcome implements failure.Coded.
func (e *UnknownKindError) Outcome() failure.Outcome { return failure.OutcomeNotRun }

// FieldError reports an invalid field of a record or a request. Rule says what the field must be.
type FieldError struct {
	Field string
	Rule  string
}

func (e *FieldError) Error() string { return "field " + e.Field + " " + e.Rule }

// Code implements failure.Coded.
func (e *FieldError) Code() failure.Code { return failure.CodeInvalid }

// Outcome implements failure.Coded.
func (e *FieldError) Outcome() failure.Outcome { return failure.OutcomeNotRun }

// SnapshotError reports a snapshot of the job state that is malformed or inconsistent.
type SnapshotError struct {
	Reason string
}

func (e *SnapshotError) Error() string { return "job snapshot is invalid: " + e.Reason }

// Code implements failure.Coded.
func (e *SnapshotError) Code() failure.Code { return failure.CodeInvalid }

// Outcome implements failure.Coded.
func (e *SnapshotError) Outcome() failure.Outcome { return failure.OutcomeNotRun }

// NotFoundError reports a job that is not in the state: either it was never submitted, or it ended and
// has been removed since.
type NotFoundError struct {
	ID ID
}

func (e *NotFoundError) Error() string { return fmt.Sprintf("job %q is not known", e.ID) }

// Code implements failure.Coded.
func (e *NotFoundError) Code() failure.Code { return failure.CodeMissing }

// Outcome implements failure.Coded.
func (e *NotFoundError) Outcome() failure.Outcome { return failure.OutcomeNotRun }

// IsNotFound reports whether err is a NotFoundError.
func IsNotFound(err error) bool {
	var missing *NotFoundError
	return errors.As(err, &missing)
}

// UnknownRouteError reports a request whose method and path the job API does not define.
type UnknownRouteError struct {
	Method, Path string
}

func (e *UnknownRouteError) Error() string {
	return fmt.Sprintf("there is no call %s %s", e.Method, e.Path)
}

// Code implements failure.Coded.
func (e *UnknownRouteError) Code() failure.Code { return failure.CodeMissing }

// Outcome implements failure.Coded.
func (e *UnknownRouteError) Outcome() failure.Outcome { return failure.OutcomeNotRun }

// KeyReusedError reports an idempotency key that already belongs to a job with different content.
type KeyReusedError struct {
	Team team.Name
	Key  string
	ID   ID
}

func (e *KeyReusedError) Error() string {
	return fmt.Sprintf("idempotency key %q of team %s belongs to job %s, which has another content", e.Key, e.Team, e.ID)
}

// Code implements failure.Coded.
func (e *KeyReusedError) Code() failure.Code { return failure.CodeReused }

// Outcome implements failure.Coded.
func (e *KeyReusedError) Outcome() failure.Outcome { return failure.OutcomeNotRun }

// StateFullError reports a submit that was rejected because the limits of the state are reached.
type StateFullError struct {
	Reason string
}

func (e *StateFullError) Error() string { return e.Reason }

// Code implements failure.Coded.
func (e *StateFullError) Code() failure.Code { return failure.CodeOverloaded }

// Outcome implements failure.Coded.
func (e *StateFullError) Outcome() failure.Outcome { return failure.OutcomeNotRun }

// RetryAfter implements failure.Delayed.
func (e *StateFullError) RetryAfter() time.Duration { return stateFullRetryAfter }

// QuotaError reports a job that alone exceeds the quota of its team.
type QuotaError struct {
	Team  team.Name
	Quota Size
}

func (e *QuotaError) Error() string {
	return fmt.Sprintf("the job is larger than the quota of team %s (%d cores, %d MB, %d accelerators; 0 means no limit)",
		e.Team, e.Quota.Cores, e.Quota.Memory, e.Quota.Accelerators)
}

// Code implements failure.Coded.
func (e *QuotaError) Code() failure.Code { return failure.CodeLimited }

// Outcome implements failure.Coded.
func (e *QuotaError) Outcome() failure.Outcome { return failure.OutcomeNotRun }

// NotReadyError reports a request that arrived before the state was loaded or while no configuration is
// active.
type NotReadyError struct{}

func (e *NotReadyError) Error() string { return "the jobs are not loaded yet" }

// Code implements failure.Coded.
func (e *NotReadyError) Code() failure.Code { return failure.CodeUnready }

// Outcome implements failure.Coded.
func (e *NotReadyError) Outcome() failure.Outcome { return failure.OutcomeNotRun }

// RetryAfter implements failure.Delayed.
func (e *NotReadyError) RetryAfter() time.Duration { return notReadyRetryAfter }

// UnconfirmedCancelError reports a cancellation whose record was not confirmed before the request ended.
// The job may still be cancelled.
type UnconfirmedCancelError struct {
	ID    ID
	Cause error
}

func (e *UnconfirmedCancelError) Error() string {
	return fmt.Sprintf("the cancellation of job %s is not confirmed yet: %v", e.ID, e.Cause)
}

// Unwrap returns the cause.
func (e *UnconfirmedCancelError) Unwrap() error { return e.Cause }

// Code implements failure.Coded.
func (e *UnconfirmedCancelError) Code() failure.Code { return failure.CodePending }

// Outcome implements failure.Coded.
func (e *UnconfirmedCancelError) Outcome() failure.Outcome { return failure.OutcomeUnknown }

// LogUnavailableError reports a request that was refused because the log did not accept its record in time
// or has not answered reads lately.
type LogUnavailableError struct {
	Cause error
}

func (e *LogUnavailableError) Error() string {
	return "the log took no record in time: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *LogUnavailableError) Unwrap() error { return e.Cause }

// Code implements failure.Coded.
func (e *LogUnavailableError) Code() failure.Code { return failure.CodeOutage }

// Outcome implements failure.Coded.
func (e *LogUnavailableError) Outcome() failure.Outcome { return failure.OutcomeNotRun }

// RetryAfter implements failure.Delayed.
func (e *LogUnavailableError) RetryAfter() time.Duration { return logRetryAfter }

// LogContactError reports how long ago the log last answered.
type LogContactError struct {
	SinceContact time.Duration
}

func (e *LogContactError) Error() string {
	return fmt.Sprintf("no answer for %v", e.SinceContact.Round(time.Millisecond))
}

// Code implements failure.Coded.
func (e *LogContactError) Code() failure.Code { return failure.CodeOutage }

// Outcome implements failure.Coded.
func (e *LogContactError) Outcome() failure.Outcome { return failure.OutcomeNotRun }
