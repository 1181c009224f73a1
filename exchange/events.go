package exchange

import "hibiscuslane.example/hibiscuslane/event"

var (
	eventDeadConnection   = event.Define(1800, "connection.dead", "a connection delivered no data; it and the older idle connections to the address were closed")
	eventSilentConnection = event.Define(1801, "connection.silent", "no response data has arrived yet; older idle connections are closed and a new one is opened")
	eventResponseMismatch = event.Define(1802, "response.crossed", "a response did not carry the ID of its request and was discarded")
)
