package election

import (
	"strconv"

	"hibiscuslane.example/hibiscuslane/failure"
	"hibiscuslane.example/hibiscuslane/platform"
)

// TermEndedError reports that the term of an owner has ended.
type TermEndedError struct{ Epoch platform.Epoch }

func (e *TermEndedError) Error() string {
	return "the term of epoch " + strconv.FormatInt(int64(e.Epoch), 10) + " has ended"
}

// Code implements failure.Coded.
func (e *TermEndedError) Code() failure.Code { return failure.CodeUnready }

// Outcome implements failure.Coded.
func (e *TermEndedError) Outcome() failure.Outcome { return failure.OutcomeNotRun }
