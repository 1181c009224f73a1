package snapshot

import (
	"context"
	"sync"
	"time"

	"hibiscuslane.example/hibiscuslane/event"
	"hibiscuslane.example/hibiscuslane/instance"
	"hibiscuslane.example/hibiscuslane/peer"
	"hibiscuslane.example/hibiscuslane/record"
	"hibiscuslane.example/hibiscuslane/stream"
	"hibiscuslane.example/hibiscuslane/timer"
	"hibiscuslane.example/hibiscuslane/upstream"
)

// peerTimeout limits the wait for the snapshots of peers. It is long enough that every reachable peer
// answers, so that the snapshot with the highest offset can be chosen.
const peerTimeout = 2 * time.Second

// Source is the origin of a loaded snapshot.
type Source string

// Sources of a snapshot.
const (
	SourceNone Source = "none" // no snapshot was needed; the log retains the following records
	SourceLog  Source = "log"
	SourcePeer Source = "peer"
)

// MissingError reports that the log no longer retains the records after the state of the follower and
// holds no usable snapshot that replaces them.
type MissingError struct {
	UnusableError
}

// Loader loads the newest snapshot of a stream from the log. If the log is unavailable, or holds neither a usable
// snapshot nor the next records, it loads one from a peer.
type Loader struct {
	Log      upstream.Log
	Follower *stream.Follower
	Timer    *timer.Service
	Events   event.Log
	Clients  *peer.Clients
	// Peers returns the addresses of all peers in the platform's list.
	Peers func() map[instance.ID]instance.Address
}

// Load restores the follower from the newest snapshot that is ahead of it.
func (l *Loader) Load(ctx context.Context) (Source, error) {
	source, logErr := l.loadFromLog(ctx)
	if logErr == nil {
		return source, nil
	}
	if l.loadFromPeers(ctx) {
		return SourcePeer, nil
	}
	return SourceNone, logErr
}

func (l *Loader) loadFromLog(ctx context.Context) (Source, error) {
	found, err := readNewestSnapshots(ctx, l.Log, l.Follower.Stream, l.Timer)
	if err != nil {
		return SourceNone, err
	}
	for i := len(found) - 1; i >= 0; i-- {
		body := found[i].body
		if body.Offset <= l.Follower.NextOffset() {
			break
		}
		if l.restoreSnapshot(body) {
			l.Events.Info(eventSnapshotLoaded, "stream", body.Stream, "offset", body.Offset, "source", SourceLog)
			return SourceLog, nil
		}
	}
	return SourceNone, l.checkRecordsRetained(ctx)
}

// checkRecordsRetained returns an error if the log no longer retains the record at the follower's
// offset, since applying only the later ones would give a wrong state.
func (l *Loader) checkRecordsRetained(ctx context.Context) error {
	ctx, cancel := l.Timer.WithTimeout(ctx, readTimeout)
	defer cancel()
	head, err := l.Log.Read(ctx, l.Follower.Stream, offsetBeyondHead, 1, 0)
	if err != nil {
		return err
	}
	if l.Follower.NextOffset() < head.OldestOffset {
		l.Events.Error(eventSnapshotMissing, "stream", l.Follower.Stream, "first", head.OldestOffset)
		return &MissingError{UnusableError{Stream: l.Follower.Stream, Reason: "the log no longer retains the next records and no snapshot replaces them"}}
	}
	return nil
}

func (l *Loader) restoreSnapshot(body Body) bool {
	digest, state, err := body.Decompress()
	if err == nil {
		err = l.Follower.Restore(body.Offset, digest, state)
	}
	if err != nil {
		l.Events.Warn(eventSnapshotRejected, "stream", l.Follower.Stream, "offset", body.Offset, "error", err)
	}
	return err == nil
}

// loadFromPeers restores the snapshot with the highest offset among those of the reachable peers. It
// returns true without restoring if the state of the follower is at least as recent.
func (l *Loader) loadFromPeers(ctx context.Context) bool {
	ctx, cancel := l.Timer.WithTimeout(ctx, peerTimeout)
	defer cancel()
	var (
		mu    sync.Mutex
		best  *peer.SnapshotImage
		group sync.WaitGroup
	)
	for _, address := range l.Peers() {
		group.Go(func() {
			received, err := l.Clients.Get(address).Snapshot(ctx, &peer.SnapshotQuery{Stream: string(l.Follower.Stream)})
			if err != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			if best == nil || received.GetOffset() > best.GetOffset() {
				best = received
			}
		})
	}
	group.Wait()
	if best == nil || record.Offset(best.GetOffset()) <= l.Follower.NextOffset() {
		return best != nil
	}
	err := l.Follower.Restore(record.Offset(best.GetOffset()), best.GetDigest(), best.GetState())
	if err != nil {
		l.Events.Warn(eventSnapshotRejected, "stream", l.Follower.Stream, "offset", best.GetOffset(), "error", err)
		return false
	}
	l.Events.Info(eventSnapshotLoaded, "stream", l.Follower.Stream, "offset", best.GetOffset(), "source", SourcePeer)
	return true
}
