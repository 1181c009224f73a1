package entry

import "hibiscuslane.example/hibiscuslane/event"

var (
	eventStarted    = event.Define(1000, "entry.started", "the entry has opened its listeners and is loading its state")
	eventReady      = event.Define(1001, "entry.ready", "the entry is ready for callers")
	eventUnready    = event.Define(1002, "entry.unready", "the entry is not ready for callers")
	eventStopping   = event.Define(1003, "entry.stopping", "graceful shutdown started")
	eventWorkCutOff = event.Define(1004, "entry.cut", "graceful shutdown timed out; requests in flight were aborted")
	eventStopped    = event.Define(1005, "entry.stopped", "the entry has stopped")
	eventLoadFailed = event.Define(1006, "load.failed", "the state of a stream cannot be loaded; retrying")
)
