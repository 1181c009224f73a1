package exchange

import (
	"errors"
	"fmt"

	"hibiscuslane.example/hibiscuslane/failure"
	"hibiscuslane.example/hibiscuslane/instance"
)

// Attempt describes how far a failed attempt to send a request got.
type Attempt struct {
	Target instance.ID
	// Written is false only if it is certain that no byte of the request was written to a connection.
	Written bool
	// NewConnection is true if the request was the first one on its connection. A connection that went dead
	// while idle then cannot explain the failure.
	NewConnection bool
}

// Outcome implements failure.Coded.
func (a Attempt) Outcome() failure.Outcome {
	if a.Written {
		return failure.OutcomeUnknown
	}
	return failure.OutcomeNotRun
}

// InvalidError reports a malformed request, which cannot be sent.
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

// UnreachableError reports that no connection to the target could be established.
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

// ConnectionLimitError reports that no connection became free in time and no further one may be opened.
type ConnectionLimitError struct {
	Target instance.ID
	Limit  int
}

func (e *ConnectionLimitError) Error() string {
	return fmt.Sprintf("all %d connections to target %s are in use", e.Limit, e.Target)
}

// Code implements failure.Coded.
func (e *ConnectionLimitError) Code() failure.Code { return failure.CodeOverloaded }

// Outcome implements failure.Coded.
func (e *ConnectionLimitError) Outcome() failure.Outcome { return failure.OutcomeNotRun }

// BrokenError reports a connection that was closed early, or a response that is malformed or incomplete.
type BrokenError struct {
	Attempt
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

// DeadConnectionError reports a connection that delivered no data for too long although it was never closed.
type DeadConnectionError struct {
	Attempt
	Cause error
}

func (e *DeadConnectionError) Error() string {
	return fmt.Sprintf("connection to target %s is dead: %v", e.Target, e.Cause)
}

// Unwrap returns the cause.
func (e *DeadConnectionError) Unwrap() error { return e.Cause }

// Code implements failure.Coded.
func (e *DeadConnectionError) Code() failure.Code { return failure.CodeBroken }

// IsDeadConnection reports whether err is a DeadConnectionError.
func IsDeadConnection(err error) bool {
	var dead *DeadConnectionError
	return errors.As(err, &dead)
}

// DeadlineError reports a request whose context ended before the whole response had arrived.
type DeadlineError struct {
	Attempt
	// Unresponsive is true if no byte was received for so long that the target may have stopped.
	Unresponsive bool
	Cause        error
}

func (e *DeadlineError) Error() string {
	return fmt.Sprintf("no response from target %s in time: %v", e.Target, e.Cause)
}

// Unwrap returns the cause.
func (e *DeadlineError) Unwrap() error { return e.Cause }

// Code implements failure.Coded.
func (e *DeadlineError) Code() failure.Code { return failure.CodeDeadline }

// ResponseMismatchError reports a response that does not carry the ID of the request.
type ResponseMismatchError struct {
	Attempt
	Want RequestID
	Got  []string
}

func (e *ResponseMismatchError) Error() string {
	return fmt.Sprintf("target %s answered request %s with a response to %q", e.Target, e.Want, e.Got)
}

// Code implements failure.Coded.
func (e *ResponseMismatchError) Code() failure.Code { return failure.CodeBroken }

// IsResponseMismatch reports whether err is a ResponseMismatchError.
func IsResponseMismatch(err error) bool {
	var mismatch *ResponseMismatchError
	return errors.As(err, &mismatch)
}

// ReceiveTimeoutError is the cause of a DeadConnectionError when the transport's own timeout expired, rather
// than a timeout of the kernel.
type ReceiveTimeoutError struct {
	Milliseconds int64
}

func (e *ReceiveTimeoutError) Error() string {
	return fmt.Sprintf("nothing heard for %d ms", e.Milliseconds)
}

// Code implements failure.Coded.
func (e *ReceiveTimeoutError) Code() failure.Code { return failure.CodeBroken }

// Outcome implements failure.Coded.
func (e *ReceiveTimeoutError) Outcome() failure.Outcome { return failure.OutcomeUnknown }

// ProtocolError is the cause of a BrokenError when the response violates the target protocol.
type ProtocolError struct {
	Reason string
}

func (e *ProtocolError) Error() string { return "response breaks the protocol: " + e.Reason }

// Code implements failure.Coded.
func (e *ProtocolError) Code() failure.Code { return failure.CodeBroken }

// Outcome implements failure.Coded.
func (e *ProtocolError) Outcome() failure.Outcome { return failure.OutcomeUnknown }
