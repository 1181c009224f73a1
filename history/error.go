package history

import (
	"errors"
	"strconv"

	"hibiscuslane.example/hibiscuslane/failure"
)

var errInvalidEvent = errors.New("an event has no kind or process, or is earlier than the one before")

// FormatError reports that a history file cannot be read.
type FormatError struct {
	Line  int // 0 for the whole file
	Cause error
}

func (e *FormatError) Error() string {
	return "history, line " + strconv.Itoa(e.Line) + ": " + e.Cause.Error()
}

// Unwrap returns the underlying error.
func (e *FormatError) Unwrap() error { return e.Cause }

// Code implements failure.Coded.
func (e *FormatError) Code() failure.Code { return failure.CodeInvalid }

// Outcome implements failure.Coded.
func (e *FormatError) Outcome() failure.Outcome { return failure.OutcomeNotRun }
