package snapshot

import "hibiscuslane.example/hibiscuslane/event"

var (
	eventWritten  = event.Define(1300, "snapshot.written", "a snapshot was appended to the log")
	eventFailed   = event.Define(1301, "snapshot.failed", "a snapshot could not be written")
	eventLoaded   = event.Define(1302, "snapshot.loaded", "a snapshot was loaded")
	eventRejected = event.Define(1303, "snapshot.rejected", "a snapshot was passed over")
	eventDiverged = event.Define(1304, "state.diverged", "the state differs from another entry's at the same offset")
	eventMissing  = event.Define(1305, "snapshot.missing", "the log holds no usable snapshot")
)
