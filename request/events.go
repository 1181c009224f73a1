package request

import "hibiscuslane.example/hibiscuslane/event"

var (
	eventFailed = event.Define(1500, "request.failed", "a request failed")
	eventRetry  = event.Define(1501, "request.retry", "a try failed; the request is tried again")
	eventAbort  = event.Define(1502, "response.broken", "a streamed response broke off; the caller's connection is aborted")
)
