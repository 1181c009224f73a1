package appendlog

import "hibiscuslane.example/hibiscuslane/failure"

// LostError reports an append that took effect and whose answer was dropped by a fault switch.
type LostError struct{}

func (e *LostError) Error() string { return "the answer was lost after the effect" }

// Code implements failure.Coded.
func (e *LostError) Code() failure.Code { return failure.CodeOutage }

// Outcome implements failure.Coded.
func (e *LostError) Outcome() failure.Outcome { return failure.OutcomeUnknown }
