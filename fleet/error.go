package fleet

import (
	"fmt"

	"hibiscuslane.example/hibiscuslane/failure"
	"hibiscuslane.example/hibiscuslane/record"
)

// UnknownKindError reports a record whose kind the fleet stream does not define.
type UnknownKindError struct {
	Kind record.Kind
}

func (e *UnknownKindError) Error() string { return fmt.Sprintf("record kind %q is unknown", e.Kind) }

// Code implements failure.Coded.
func (e *UnknownKindError) Code() failure.Code { return failure.CodeInvalid }

// Outcome implements failure.Coded.
func (e *UnknownKindError) Outcome() failure.Outcome { return failure.OutcomeNotRun }

// FieldError reports a record field that fails validation. Rule describes the violation.
type FieldError struct {
	Field string
	Rule  string
}

func (e *FieldError) Error() string { return "field " + e.Field + " " + e.Rule }

// Code implements failure.Coded.
func (e *FieldError) Code() failure.Code { return failure.CodeInvalid }

// Outcome implements failure.Coded.
func (e *FieldError) Outcome() failure.Outcome { return failure.OutcomeNotRun }

// SnapshotError reports a fleet snapshot that cannot be decoded or is inconsistent.
type SnapshotError struct {
	Reason string
	Cause  error
}

func (e *SnapshotError) Error() string {
	if e.Cause == nil {
		return "fleet snapshot is invalid: " + e.Reason
	}
	return fmt.Sprintf("fleet snapshot is invalid: %s: %v", e.Reason, e.Cause)
}

// Unwrap returns the error that caused the failure, or nil.
func (e *SnapshotError) Unwrap() error { return e.Cause }

// Code implements failure.Coded.
func (e *SnapshotError) Code() failure.Code { return failure.CodeInvalid }

// Outcome implements failure.Coded.
func (e *SnapshotError) Outcome() failure.Outcome { return failure.OutcomeNotRun }
