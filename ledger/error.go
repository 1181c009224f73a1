package ledger

import (
	"errors"

	"hibiscuslane.example/hibiscuslane/event"
	"hibiscuslane.example/hibiscuslane/failure"
)

var (
	eventRepeat     = event.Define(2600, "append.repeat", "the store did not take an append; it is repeated")
	eventMoved      = event.Define(2602, "ledger.moved", "the ledger has moved to another partition, because the store did not answer for its own")
	eventMoveFailed = event.Define(2603, "ledger.stays", "another partition does not take the ledger either")
	eventExpected   = event.Define(2601, "append.sequence", "the store expects another sequence number")
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

// NotStoredError reports a write that is not stored and never will be: another process writes now, or the
// store does not take it. Cause may be nil.
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

// IsNotStored reports whether the write is provably not stored and never will be.
func IsNotStored(err error) bool {
	var closed *NotStoredError
	return errors.As(err, &closed)
}
