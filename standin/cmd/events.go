package cmd

import "hibiscuslane.example/hibiscuslane/event"

var (
	eventStarted = event.Define(3000, "standin.started", "the emulated fleet accepts calls")
	eventStopped = event.Define(3001, "standin.stopped", "the emulated fleet has stopped")
)
