package member

import "hibiscuslane.example/hibiscuslane/event"

var (
	eventUp         = event.Define(1400, "peer.up", "a peer is heard")
	eventDown       = event.Define(1401, "peer.down", "a peer is no longer heard")
	eventListFailed = event.Define(1402, "list.failed", "the platform's list cannot be read; keeping the last one")
)
