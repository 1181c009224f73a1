package tenure

import (
	"strconv"

	"hibiscuslane.example/hibiscuslane/failure"
	"hibiscuslane.example/hibiscuslane/platform"
)

// OverError reports that a tenure has ended.
type OverError struct{ Epoch platform.Epoch }

func (e *OverError) Error() string {
	return "the tenure " + strconv.FormatInt(int64(e.Epoch), 10) + " is over"
}

// Code implements failure.Coded.
func (e *OverError) Code() failure.Code { return failure.CodeUnready }

// Outcome implements failure.Coded.
func (e *OverError) Outcome() failure.Outcome { return failure.OutcomeNotRun }
