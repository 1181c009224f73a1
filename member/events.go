package member

import "hibiscuslane.example/hibiscuslane/event"

var (
	eventPeerUp     = event.Define(1400, "peer.up", "a peer is live")
	eventPeerDown   = event.Define(1401, "peer.down", "a peer is no longer live")
	eventListFailed = event.Define(1402, "list.failed", "the platform's list cannot be read; keeping the last one")
)
