package stream

import "hibiscuslane.example/hibiscuslane/event"

var (
	eventReadFailed   = event.Define(1200, "read.failed", "reading the stream failed; retrying")
	eventInvalid      = event.Define(1201, "record.invalid", "a record was ignored because it is invalid")
	eventStale        = event.Define(1202, "record.stale", "a record was ignored because its precondition does not hold")
	eventExpired      = event.Define(1203, "read.expired", "the offset is past retention; loading a snapshot")
	eventAppendFailed = event.Define(1204, "append.failed", "appending a batch failed; repeating it with the same ids")
	eventCaughtUp     = event.Define(1205, "stream.current", "the stream is read up to its head")
	eventResumed      = event.Define(1206, "read.resumed", "reading the stream works again")
)
