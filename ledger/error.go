package ledger

import (
	"errors"

	"hibiscuslane.example/hibiscuslane/event"
	"hibiscuslane.example/hibiscuslane/failure"
)

var (
	eventAppendSlow        = event.Define(2604, "append.slow", "an append has taken long, with or without success")
	eventAppendRetried     = event.Define(2600, "append.repeat", "an append failed; retrying")
	eventMoved             = event.Define(2602, "ledger.moved", "the ledger has moved because its partition is unavailable")
	eventMoveFailed        = event.Define(2603, "ledger.stays", "the ledger could not be moved to another partition")
	eventMoveUncertain     = event.Define(2605, "ledger.uncertain", "it is not known whether later owners open the old partition of the ledger or the new one; the owner writes nothing more")
	eventSequenceCorrected = event.Define(2601, "append.sequence", "the store expects a different sequence number")
)

// UncertainError reports a write that was sent and may be stored.
type UncertainError struct{ Cause error }

func (e *UncertainError) Error() string { return "write may be stored: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *UncertainError) Unwrap() error { return e.Cause }

// Code implements failure.Coded.
func (e *UncertainError) Code() failure.Code { return failure.CodeOutage }

// Outcome implements failure.Coded.
func (e *UncertainError) Outcome() failure.Outcome { return failure.OutcomeUnknown }

// NotStoredError reports a write that is not stored and never will be, because another process is the writer
// now or the store does not accept the write. Cause may be nil, for example if the write was
// withdrawn before it was sent.
type NotStoredError struct{ Cause error }

func (e *NotStoredError) Error() string {
	if e.Cause == nil {
		return "write is not stored: the store does not answer"
	}
	return "write is not stored: " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *NotStoredError) Unwrap() error { return e.Cause }

// Code implements failure.Coded.
func (e *NotStoredError) Code() failure.Code { return failure.CodeUnready }

// Outcome implements failure.Coded.
func (e *NotStoredError) Outcome() failure.Outcome { return failure.OutcomeNotRun }

// IsNotStored reports whether the write is certainly not stored and never will be.
func IsNotStored(err error) bool {
	var notStored *NotStoredError
	return errors.As(err, &notStored)
}
