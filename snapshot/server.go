package snapshot

import (
	"context"

	"github.com/twitchtv/twirp"

	"hibiscuslane.example/hibiscuslane/peer"
	"hibiscuslane.example/hibiscuslane/record"
	"hibiscuslane.example/hibiscuslane/stream"
)

// Server serves snapshots of the states of this entry to its peers. It implements peer.Snapshotter.
type Server struct {
	Followers map[record.Stream]*stream.Follower
	// IsLoaded reports whether the state of a stream is loaded. A state that is still being loaded is not
	// served.
	IsLoaded func(name record.Stream) bool
}

// Snapshot implements peer.Snapshotter.
func (s *Server) Snapshot(_ context.Context, query *peer.SnapshotQuery) (*peer.SnapshotImage, error) {
	name := record.Stream(query.GetStream())
	follower, ok := s.Followers[name]
	if !ok {
		return nil, twirp.NotFoundError("no such stream")
	}
	if !s.IsLoaded(name) {
		return nil, twirp.NewError(twirp.Unavailable, "state is not loaded yet")
	}
	offset, digest, state, err := follower.Snapshot()
	if err != nil {
		return nil, twirp.InternalErrorWith(err)
	}
	return &peer.SnapshotImage{Stream: string(name), Offset: int64(offset), Digest: digest, State: state}, nil
}
