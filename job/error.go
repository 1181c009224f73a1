package job

import (
	"errors"
	"fmt"
	"time"

	"hibiscuslane.example/hibiscuslane/failure"
	"hibiscuslane.example/hibiscuslane/record"
	"hibiscuslane.example/hibiscuslane/team"
)

// KindError reports a record of a kind that the job stream does not have.
type KindError struct {
	Kind record.Kind
}

func (e *KindError) Error() string { return fmt.Sprintf("record kind %q is unknown", e.Kind) }

// Code implements failure.Coded.
func (e *KindError) Code() failure.Code { return failure.CodeInvalid }

// Outcome implements failure.Coded.
func (e *KindError) Outcome() failure.Outcome { return failure.OutcomeNotRun }

// FieldError reports a field of a record or a call that breaks a rule.
type FieldError struct {
	Field string
	Rule  string
}

func (e *FieldError) Error() string { return "field " + e.Field + " " + e.Rule }

// Code implements failure.Coded.
func (e *FieldError) Code() failure.Code { return failure.CodeInvalid }

// Outcome implements failure.Coded.
func (e *FieldError) Outcome() failure.Outcome { return failure.OutcomeNotRun }

// SnapshotError reports a snapshot of the job state that is malformed or contradicts itself.
type SnapshotError struct {
	Reason string
}

func (e *SnapshotError) Error() string { return "job snapshot is invalid: " + e.Reason }

// Code implements failure.Coded.
func (e *SnapshotError) Code() failure.Code { return failure.CodeInvalid }

// Outcome implements failure.Coded.
func (e *SnapshotError) Outcome() failure.Outcome { return failure.OutcomeNotRun }

// NotFoundError reports a job that is not in the state: it was never submitted, or ended long ago.
type NotFoundError struct {
	ID ID
}

func (e *NotFoundError) Error() string { return fmt.Sprintf("job %q is not known", e.ID) }

// Code implements failure.Coded.
func (e *NotFoundError) Code() failure.Code { return failure.CodeMissing }

// Outcome implements failure.Coded.
func (e *NotFoundError) Outcome() failure.Outcome { return failure.OutcomeNotRun }

// IsNotFound reports whether err is a MissingError.
func IsNotFound(err error) bool {
	var missing *NotFoundError
	return errors.As(err, &missing)
}

// UnknownRouteError reports a call of the job interface that does not exist.
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

// KeyReusedError reports an idempotency key that was used for another job.
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

// StateFullError reports a submit that was refused because the state holds the most open jobs it may.
type StateFullError struct {
	Reason string
}

func (e *StateFullError) Error() string { return e.Reason }

// Code implements failure.Coded.
func (e *StateFullError) Code() failure.Code { return failure.CodeOverloaded }

// Outcome implements failure.Coded.
func (e *StateFullError) Outcome() failure.Outcome { return failure.OutcomeNotRun }

// RetryAfter implements failure.Delayed.
func (e *StateFullError) RetryAfter() time.Duration { return fullRetry }

// QuotaError reports a job that is larger than the whole quota of its team.
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

// NotReadyError reports a call before the state is loaded or while no configuration is in force.
type NotReadyError struct{}

func (e *NotReadyError) Error() string { return "the jobs are not loaded yet" }

// Code implements failure.Coded.
func (e *NotReadyError) Code() failure.Code { return failure.CodeUnready }

// Outcome implements failure.Coded.
func (e *NotReadyError) Outcome() failure.Outcome { return failure.OutcomeNotRun }

// RetryAfter implements failure.Delayed.
func (e *NotReadyError) RetryAfter() time.Duration { return unreadyRetry }

// UnconfirmedCancelError reports a cancellation whose record was not confirmed in time.
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

// LogUnavailableError reports a call that was refused because the log took no record in time.
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
func (e *LogUnavailableError) RetryAfter() time.Duration { return logRetry }

// LogContactError reports that the log has not answered for some time.
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
