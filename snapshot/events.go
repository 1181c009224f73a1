package snapshot

import "hibiscuslane.example/hibiscuslane/event"

var (
	eventSnapshotWritten  = event.Define(1300, "snapshot.written", "a snapshot was appended to the log")
	eventSnapshotFailed   = event.Define(1301, "snapshot.failed", "a snapshot could not be written")
	eventSnapshotLoaded   = event.Define(1302, "snapshot.loaded", "a snapshot was loaded")
	eventSnapshotRejected = event.Define(1303, "snapshot.rejected", "a snapshot was skipped because it cannot be restored")
	eventStateDiverged    = event.Define(1304, "state.diverged", "the state differs from that of another entry at the same offset")
	eventSnapshotMissing  = event.Define(1305, "snapshot.missing", "the log holds neither the next records nor a usable snapshot that replaces them")
)
