package appendlog

import "hibiscuslane.example/hibiscuslane/failure"

// ResponseLostError reports an append that took effect but whose response was dropped by Faults.LostResponses.
type ResponseLostError struct{}

func (e *ResponseLostError) Error() string {
	return "the append took effect, but its response was lost"
}

// Code implements failure.Coded.
func (e *ResponseLostError) Code() failure.Code { return failure.CodeOutage }

// Outcome implements failure.Coded.
func (e *ResponseLostError) Outcome() failure.Outcome { return failure.OutcomeUnknown }
