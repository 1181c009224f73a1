package ledger

import (
	"errors"

	"hibiscuslane.example/hibiscuslane/event"
	"hibiscuslane.example/hibiscuslane/failure"
)

var (
	eventRepeat   = event.Define(2600, "append.repeat", "the store did not take an append; it is repeated")
	eventExpected = event.Define(2601, "append.sequence", "the store expects another sequence number")
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

// ClosedError reports a write that was never sent, because another process writes now.
type ClosedError struct{ Cause error }

func (e *ClosedError) Error() string { return "write was not sent: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *ClosedError) Unwrap() error { return e.Cause }

// Code implements failure.Coded.
func (e *ClosedError) Code() failure.Code { return failure.CodeUnready }

// Outcome implements failure.Coded.
func (e *ClosedError) Outcome() failure.Outcome { return failure.OutcomeNotRun }

// IsNotSent reports whether the write provably never reached the store.
func IsNotSent(err error) bool {
	var closed *ClosedError
	return errors.As(err, &closed)
}
