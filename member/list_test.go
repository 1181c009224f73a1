package member

import (
	"testing"

	"github.com/stretchr/testify/require"

	"hibiscuslane.example/hibiscuslane/peer"
)

// TestUnlistedPeerForgotten guards against an entry that does not read the list sooner after an unlisted peer has reported,
// because a report with its own id came after that.
func TestUnlistedPeerForgotten(t *testing.T) {
	g := &Group{Self: "1"}
	g.RecordStatus(&peer.Status{Entry: "1"})
	require.False(t, g.hasUnlistedPeer)
	g.RecordStatus(&peer.Status{Entry: "9"})
	g.RecordStatus(&peer.Status{Entry: "1"})
	require.True(t, g.hasUnlistedPeer)
}
