package process

import (
	"errors"
	"net/http"

	"hibiscuslane.example/hibiscuslane/event"
	"hibiscuslane.example/hibiscuslane/failure"
	"hibiscuslane.example/hibiscuslane/instance"
)

var (
	eventStarted            = event.Define(1050, "process.started", "the process has started")
	eventStopping           = event.Define(1051, "process.stopping", "graceful shutdown started")
	eventRequestsCut        = event.Define(1052, "process.cut", "graceful shutdown timed out; open requests were aborted")
	eventStopped            = event.Define(1053, "process.stopped", "the process has stopped")
	eventOwnershipGained    = event.Define(1054, "tenure.gained", "this process is now the owner")
	eventOwnershipLost      = event.Define(1055, "tenure.lost", "this process is no longer the owner")
	eventOwnerSilent        = event.Define(1058, "owner.silent", "the owner does not respond; the members that it named have voted")
	eventPeerRequestFailed  = event.Define(1062, "peer.failed", "serving a request of a peer has failed because of a fault in this program")
	eventPeerNotAccepted    = event.Define(1063, "peer.unaccepted", "a connection of a peer cannot be accepted for want of descriptors or memory; it is tried again")
	eventPeerBroken         = event.Define(1064, "peer.broken", "a connection of a peer was closed within a request, or sent a malformed one")
	eventMetricsUnserved    = event.Define(1057, "metrics.unserved", "the metrics cannot be served; callers are still served")
	eventSpeedChanged       = event.Define(1061, "instance.speed", "the instance was slowed down or has recovered; factor is how many times as long as at its best it takes for the same work")
	eventSettingsReloaded   = event.Define(1059, "settings.reloaded", "the settings were reloaded; changed addresses require a restart")
	eventSettingsUnreadable = event.Define(1060, "settings.unread", "the settings cannot be read; the current ones stay in force")
	eventTermEnded          = event.Define(1056, "tenure.ended", "the term of an owner has ended")
)

// ListenError reports an address on which the process cannot listen or has stopped accepting connections.
type ListenError struct {
	Address instance.Address
	Cause   error
}

func (e *ListenError) Error() string {
	return "cannot serve " + string(e.Address) + ": " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *ListenError) Unwrap() error { return e.Cause }

// Code implements failure.Coded.
func (e *ListenError) Code() failure.Code { return failure.CodeInternal }

// Outcome implements failure.Coded.
func (e *ListenError) Outcome() failure.Outcome { return failure.OutcomeNotRun }

func isServerClosed(err error) bool { return errors.Is(err, http.ErrServerClosed) }
