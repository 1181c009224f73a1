package stream

import (
	"errors"
	"fmt"

	"hibiscuslane.example/hibiscuslane/failure"
	"hibiscuslane.example/hibiscuslane/record"
)

// BacklogError reports an append that was refused because the queue of the Appender is full.
type BacklogError struct {
	Stream record.Stream
	Limit  int
}

func (e *BacklogError) Error() string {
	return fmt.Sprintf("backlog of stream %s is full (%d records)", e.Stream, e.Limit)
}

// Code implements failure.Coded.
func (e *BacklogError) Code() failure.Code { return failure.CodeOverloaded }

// Outcome implements failure.Coded.
func (e *BacklogError) Outcome() failure.Outcome { return failure.OutcomeNotRun }

// WithdrawnError reports a record that was withdrawn because the log did not accept it in time. The
// record never appears in the stream.
type WithdrawnError struct {
	Stream record.Stream
	Cause  error
}

func (e *WithdrawnError) Error() string {
	return fmt.Sprintf("stream %s took no record in time: %v", e.Stream, e.Cause)
}

// Unwrap returns the cause.
func (e *WithdrawnError) Unwrap() error { return e.Cause }

// Code implements failure.Coded.
func (e *WithdrawnError) Code() failure.Code { return failure.CodeOutage }

// Outcome implements failure.Coded.
func (e *WithdrawnError) Outcome() failure.Outcome { return failure.OutcomeNotRun }

// PendingError reports a record that may be in the stream or may still appear in it: an append was
// attempted, and its result or the verdict on the record is not known.
type PendingError struct {
	Stream record.Stream
	ID     record.ID
	Cause  error
}

func (e *PendingError) Error() string {
	return fmt.Sprintf("result of record %s in stream %s is not known: %v", e.ID, e.Stream, e.Cause)
}

// Unwrap returns the cause.
func (e *PendingError) Unwrap() error { return e.Cause }

// Code implements failure.Coded.
func (e *PendingError) Code() failure.Code { return failure.CodePending }

// Outcome implements failure.Coded.
func (e *PendingError) Outcome() failure.Outcome { return failure.OutcomeUnknown }

// IsPending reports whether err is a PendingError.
func IsPending(err error) bool {
	var pending *PendingError
	return errors.As(err, &pending)
}

// VerdictError reports a record that is in the stream but was not applied to the state.
type VerdictError struct {
	Stream  record.Stream
	Offset  record.Offset
	Verdict Verdict
}

func (e *VerdictError) Error() string {
	return fmt.Sprintf("record at offset %d of stream %s is %s: %s", e.Offset, e.Stream, e.Verdict.Result, e.Verdict.Reason)
}

// Code implements failure.Coded.
func (e *VerdictError) Code() failure.Code {
	if e.Verdict.Result == ResultInvalid {
		return failure.CodeInvalid
	}
	return failure.CodeConflict
}

// Outcome implements failure.Coded.
func (e *VerdictError) Outcome() failure.Outcome { return failure.OutcomeNotRun }

// RestoreError reports a snapshot that cannot be loaded.
type RestoreError struct {
	Stream record.Stream
	Reason string
	Cause  error
}

func (e *RestoreError) Error() string {
	if e.Cause == nil {
		return fmt.Sprintf("snapshot of stream %s cannot be loaded: %s", e.Stream, e.Reason)
	}
	return fmt.Sprintf("snapshot of stream %s cannot be loaded: %s: %v", e.Stream, e.Reason, e.Cause)
}

// Unwrap returns the cause.
func (e *RestoreError) Unwrap() error { return e.Cause }

// Code implements failure.Coded.
func (e *RestoreError) Code() failure.Code { return failure.CodeInvalid }

// Outcome implements failure.Coded.
func (e *RestoreError) Outcome() failure.Outcome { return failure.OutcomeNotRun }

// VerdictUnavailableError reports a record whose verdict is not in memory, for example because the
// follower skipped the record when it loaded a newer snapshot.
type VerdictUnavailableError struct {
	ID record.ID
}

func (e *VerdictUnavailableError) Error() string {
	return "verdict on record " + e.ID.String() + " is not kept"
}

// Code implements failure.Coded.
func (e *VerdictUnavailableError) Code() failure.Code { return failure.CodePending }

// Outcome implements failure.Coded.
func (e *VerdictUnavailableError) Outcome() failure.Outcome { return failure.OutcomeUnknown }
