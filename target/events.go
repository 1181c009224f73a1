package target

import "hibiscuslane.example/hibiscuslane/event"

var (
	eventDead    = event.Define(1800, "connection.dead", "a connection delivered nothing and was replaced")
	eventSuspect = event.Define(1801, "connection.silent", "a request hears nothing; older idle connections are closed and a new one is opened")
	eventCrossed = event.Define(1802, "response.crossed", "a response carried the id of another request and was discarded")
)
