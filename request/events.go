package request

import "hibiscuslane.example/hibiscuslane/event"

var (
	eventRequestFailed   = event.Define(1500, "request.failed", "a request failed")
	eventRetry           = event.Define(1501, "request.retry", "an attempt failed; the request is retried")
	eventResponseAborted = event.Define(1502, "response.broken", "a streamed response ended early; the connection to the caller is aborted")
)
