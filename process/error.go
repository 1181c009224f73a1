package process

import (
	"errors"
	"net/http"

	"hibiscuslane.example/hibiscuslane/event"
	"hibiscuslane.example/hibiscuslane/failure"
	"hibiscuslane.example/hibiscuslane/instance"
)

var (
	eventStart   = event.Define(1050, "process.started", "the process listens")
	eventStop    = event.Define(1051, "process.stopping", "graceful shutdown started")
	eventCut     = event.Define(1052, "process.cut", "graceful shutdown reached its bound; requests were cut off")
	eventStopped = event.Define(1053, "process.stopped", "the process has stopped")
	eventGained  = event.Define(1054, "tenure.gained", "the store made this process the owner")
	eventLost    = event.Define(1055, "tenure.lost", "this process is no longer the owner")
	eventSilent  = event.Define(1058, "owner.silent", "the owner does not answer; members that it named were asked")
	eventMetrics = event.Define(1057, "metrics.unserved", "the metrics cannot be served; callers are served all the same")
	eventReload  = event.Define(1059, "settings.reloaded", "the settings were read again; changed addresses take a restart")
	eventUnread  = event.Define(1060, "settings.unread", "the settings cannot be read; those in force stay")
	eventEnded   = event.Define(1056, "tenure.ended", "the work of a tenure has ended")
)

// ListenError reports an address that cannot be served.
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

func isClosed(err error) bool { return errors.Is(err, http.ErrServerClosed) }
