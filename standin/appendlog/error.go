package appendlog

import "hibiscuslane.example/hibiscuslane/failure"

// ResponseLostError reports an append that took effect and whose answer was dropped by a fault switch.
type ResponseLostError struct{}

func (e *ResponseLostError) Error() string { return "the answer was lost after the effect" }

// Code implements failure.Coded.
func (e *ResponseLostError) Code() failure.Code { return failure.CodeOutage }

// Outcome implements failure.Coded.
func (e *ResponseLostError) Outcome() failure.Outcome { return failure.OutcomeUnknown }
