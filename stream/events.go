package stream

import "hibiscuslane.example/hibiscuslane/event"

var (
	eventReadFailed    = event.Define(1200, "read.failed", "reading the stream failed; retrying")
	eventRecordInvalid = event.Define(1201, "record.invalid", "a record was ignored because it is invalid")
	eventRecordStale   = event.Define(1202, "record.stale", "a record was ignored because its precondition does not hold")
	eventReadExpired   = event.Define(1203, "read.expired", "the records at the next offset are no longer retained; loading a snapshot")
	eventAppendFailed  = event.Define(1204, "append.failed", "appending a batch failed; retrying with the same record ids")
	eventCaughtUp      = event.Define(1205, "stream.current", "the follower has reached the head of the stream")
	eventReadResumed   = event.Define(1206, "read.resumed", "reading the stream works again")
)
