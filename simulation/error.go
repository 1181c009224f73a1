package simulation

import (
	"errors"
	"io"

	"hibiscuslane.example/hibiscuslane/failure"
)

// PlanError reports that a plan cannot be read or written.
type PlanError struct{ Cause error }

func (e *PlanError) Error() string { return "plan: " + e.Cause.Error() }

// Unwrap returns the underlying error.
func (e *PlanError) Unwrap() error { return e.Cause }

// Code implements failure.Coded.
func (e *PlanError) Code() failure.Code { return failure.CodeInvalid }

// Outcome implements failure.Coded.
func (e *PlanError) Outcome() failure.Outcome { return failure.OutcomeNotRun }

var (
	errInvalidStep = errors.New("a step has an unknown action, or a number out of range")
	// errEnded is the error of calls of a process that has ended.
	errEnded = errors.New("the process has ended")
	// errClosed is the error of a call on a connection that the worker had closed before.
	errClosed = errors.New("the connection was closed")
	// errReset is the error of a call whose connection the worker has ended instead of an answer.
	errReset = io.EOF
	// errRefused is the error of a connection to a process that does not run.
	errRefused = errors.New("connection refused")
)
