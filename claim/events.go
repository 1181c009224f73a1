package claim

import "hibiscuslane.example/hibiscuslane/event"

var (
	eventAbandoned = event.Define(1600, "claim.abandoned", "the log did not confirm a claim in time; the key is freed once it does")
	eventWaits     = event.Define(1601, "outcome.waits", "the appender takes no outcome; trying again")
	eventLost      = event.Define(1602, "outcome.lost", "the process stops before the log took an outcome; the key stays unknown")
)
