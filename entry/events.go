package entry

import "hibiscuslane.example/hibiscuslane/event"

var (
	eventStarted  = event.Define(1000, "entry.started", "the entry listens and loads its state")
	eventReady    = event.Define(1001, "entry.ready", "the entry is ready for callers")
	eventUnready  = event.Define(1002, "entry.unready", "the entry is not ready for callers")
	eventStopping = event.Define(1003, "entry.stopping", "graceful shutdown started")
	eventCut      = event.Define(1004, "entry.cut", "graceful shutdown reached its bound; work in flight was cut off")
	eventStopped  = event.Define(1005, "entry.stopped", "the entry has stopped")
	eventLoad     = event.Define(1006, "load.failed", "the state of a stream cannot be loaded; retrying")
)
