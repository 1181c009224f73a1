package target

import (
	"errors"
	"fmt"

	"hibiscuslane.example/hibiscuslane/failure"
	"hibiscuslane.example/hibiscuslane/instance"
)

// Try describes how far a failed try came.
type Try struct {
	Target instance.ID
	// Written is true unless it is proved that no byte of the request was written to a connection.
	Written bool
	// Fresh is true when the connection was new, so that a dead connection does not explain the
	// failure.
	Fresh bool
}

// Outcome implements failure.Coded.
func (t Try) Outcome() failure.Outcome {
	if t.Written {
		return failure.OutcomeUnknown
	}
	return failure.OutcomeNotRun
}

// InvalidError reports a request that cannot be sent.
type InvalidError struct {
	Reason string
	Cause  error
}

func (e *InvalidError) Error() string {
	return fmt.Sprintf("request cannot be sent: %s: %v", e.Reason, e.Cause)
}

// Unwrap returns the cause.
func (e *InvalidError) Unwrap() error { return e.Cause }

// Code implements failure.Coded.
func (e *InvalidError) Code() failure.Code { return failure.CodeInvalid }

// Outcome implements failure.Coded.
func (e *InvalidError) Outcome() failure.Outcome { return failure.OutcomeNotRun }

// UnreachableError reports that no connection to the target was established.
type UnreachableError struct {
	Target instance.ID
	Cause  error
}

func (e *UnreachableError) Error() string {
	return fmt.Sprintf("no connection to target %s: %v", e.Target, e.Cause)
}

// Unwrap returns the cause.
func (e *UnreachableError) Unwrap() error { return e.Cause }

// Code implements failure.Coded.
func (e *UnreachableError) Code() failure.Code { return failure.CodeUnreachable }

// Outcome implements failure.Coded.
func (e *UnreachableError) Outcome() failure.Outcome { return failure.OutcomeNotRun }

// IsUnreachable reports whether err is an UnreachableError.
func IsUnreachable(err error) bool {
	var unreachable *UnreachableError
	return errors.As(err, &unreachable)
}

// BusyError reports that all connections of the share stayed in use.
type BusyError struct {
	Target instance.ID
	Share  int
}

func (e *BusyError) Error() string {
	return fmt.Sprintf("all %d connections to target %s are in use", e.Share, e.Target)
}

// Code implements failure.Coded.
func (e *BusyError) Code() failure.Code { return failure.CodeOverloaded }

// Outcome implements failure.Coded.
func (e *BusyError) Outcome() failure.Outcome { return failure.OutcomeNotRun }

// BrokenError reports a connection that ended, or a response that is malformed or incomplete.
type BrokenError struct {
	Try
	Cause error
}

func (e *BrokenError) Error() string {
	return fmt.Sprintf("connection to target %s broke before the whole response: %v", e.Target, e.Cause)
}

// Unwrap returns the cause.
func (e *BrokenError) Unwrap() error { return e.Cause }

// Code implements failure.Coded.
func (e *BrokenError) Code() failure.Code { return failure.CodeBroken }

// IsBroken reports whether err is a BrokenError.
func IsBroken(err error) bool {
	var broken *BrokenError
	return errors.As(err, &broken)
}

// DeadError reports a connection that delivered nothing for too long, without an error of its own.
type DeadError struct {
	Try
	Cause error
}

func (e *DeadError) Error() string {
	return fmt.Sprintf("connection to target %s is dead: %v", e.Target, e.Cause)
}

// Unwrap returns the cause.
func (e *DeadError) Unwrap() error { return e.Cause }

// Code implements failure.Coded.
func (e *DeadError) Code() failure.Code { return failure.CodeBroken }

// IsDead reports whether err is a DeadError.
func IsDead(err error) bool {
	var dead *DeadError
	return errors.As(err, &dead)
}

// DeadlineError reports a request whose context ended before the whole response.
type DeadlineError struct {
	Try
	// Silent is true when nothing was heard for so long that the target may have stopped.
	Silent bool
	Cause  error
}

func (e *DeadlineError) Error() string {
	return fmt.Sprintf("no response from target %s in time: %v", e.Target, e.Cause)
}

// Unwrap returns the cause.
func (e *DeadlineError) Unwrap() error { return e.Cause }

// Code implements failure.Coded.
func (e *DeadlineError) Code() failure.Code { return failure.CodeDeadline }

// CrossedError reports a response that does not carry the id of the request.
type CrossedError struct {
	Try
	Want RequestID
	Got  []string
}

func (e *CrossedError) Error() string {
	return fmt.Sprintf("target %s answered request %s with a response to %q", e.Target, e.Want, e.Got)
}

// Code implements failure.Coded.
func (e *CrossedError) Code() failure.Code { return failure.CodeBroken }

// IsCrossed reports whether err is a CrossedError.
func IsCrossed(err error) bool {
	var crossed *CrossedError
	return errors.As(err, &crossed)
}

// SilenceError is the cause of a DeadError that the kernel did not report.
type SilenceError struct {
	Milliseconds int64
}

func (e *SilenceError) Error() string { return fmt.Sprintf("nothing heard for %d ms", e.Milliseconds) }

// Code implements failure.Coded.
func (e *SilenceError) Code() failure.Code { return failure.CodeBroken }

// Outcome implements failure.Coded.
func (e *SilenceError) Outcome() failure.Outcome { return failure.OutcomeUnknown }

// ProtocolError is the cause of a BrokenError for a response that breaks the target protocol.
type ProtocolError struct {
	Reason string
}

func (e *ProtocolError) Error() string { return "response breaks the protocol: " + e.Reason }

// Code implements failure.Coded.
func (e *ProtocolError) Code() failure.Code { return failure.CodeBroken }

// Outcome implements failure.Coded.
func (e *ProtocolError) Outcome() failure.Outcome { return failure.OutcomeUnknown }
