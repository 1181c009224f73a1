package carrier

import (
	"errors"

	"hibiscuslane.example/hibiscuslane/event"
	"hibiscuslane.example/hibiscuslane/failure"
)

var (
	eventSessionEnded    = event.Define(2750, "carrier.lost", "a session with a carrier has ended; its workers are called by others")
	eventServing         = event.Define(2751, "carrier.serves", "this entry carries calls of the owner to workers")
	eventServed          = event.Define(2752, "carrier.ended", "this entry no longer carries calls of an owner")
	eventOrdersExpired   = event.Define(2753, "carrier.expired", "calls were dropped because the permission to send them had run out")
	eventEpochRefused    = event.Define(2754, "carrier.refused", "an owner of an earlier term wanted this entry to carry its calls")
	eventOrderUnreadable = event.Define(2755, "carrier.unreadable", "a call to a worker cannot be decoded")
)

// LostError reports that a carrier returned no result of the worker: its session ended, or its permission ran out. It says
// nothing about the worker. The call may have been carried out.
type LostError struct {
	Carrier string
	Cause   error
}

func (e *LostError) Error() string { return "carrier " + e.Carrier + ": " + e.Cause.Error() }

// Unwrap returns the underlying error.
func (e *LostError) Unwrap() error { return e.Cause }

// Code implements failure.Coded.
func (e *LostError) Code() failure.Code { return failure.CodeOutage }

// Outcome implements failure.Coded.
func (e *LostError) Outcome() failure.Outcome { return failure.OutcomeUnknown }

// IsLost reports whether a call failed because of its carrier, not of the worker.
func IsLost(err error) bool {
	var lost *LostError
	return errors.As(err, &lost)
}

var (
	errClosed  = errors.New("the session has ended")
	errSilent  = errors.New("the carrier is silent")
	errExpired = errors.New("the permission to send the call had run out")
	errTimeout = errors.New("no result in time")
	errRefused = errors.New("the carrier refused the session")
)
