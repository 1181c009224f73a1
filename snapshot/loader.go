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

// peerTimeout bounds the wait for the snapshots of peers. All reachable peers answer within it, so
// that the highest offset among them is taken.
const peerTimeout = 2 * time.Second

// Source says where a snapshot came from.
type Source string

// Sources of a snapshot.
const (
	SourceNone Source = "none" // the log is reachable and the stream starts at offset 0
	SourceLog  Source = "log"
	SourcePeer Source = "peer"
)

// MissingError reports that neither the log nor a peer has a usable snapshot.
type MissingError struct {
	UnusableError
}

// Loader loads the newest snapshot of a stream, from the log or, while the log is down, from a peer.
type Loader struct {
	Log      upstream.Log
	Follower *stream.Follower
	Timer    *timer.Service
	Events   event.Log
	Clients  *peer.Clients
	// Peers returns the addresses of all listed peers.
	Peers func() map[instance.ID]instance.Address
}

// Load restores the follower from the newest snapshot that is ahead of it.
func (l *Loader) Load(ctx context.Context) (Source, error) {
	source, logErr := l.fromLog(ctx)
	if logErr == nil {
		return source, nil
	}
	if l.fromPeers(ctx) {
		return SourcePeer, nil
	}
	return SourceNone, logErr
}

func (l *Loader) fromLog(ctx context.Context) (Source, error) {
	found, err := images(ctx, l.Log, l.Follower.Stream, l.Timer)
	if err != nil {
		return SourceNone, err
	}
	for i := len(found) - 1; i >= 0; i-- {
		image := found[i].image
		if image.Offset <= l.Follower.NextOffset() {
			break
		}
		if l.restore(image) {
			l.Events.Info(eventLoaded, "stream", image.Stream, "offset", image.Offset, "source", SourceLog)
			return SourceLog, nil
		}
	}
	return SourceNone, l.checkTail(ctx)
}

// checkTail fails when the records after the follower's offset are gone, since folding the rest
// would give a wrong state.
func (l *Loader) checkTail(ctx context.Context) error {
	ctx, cancel := l.Timer.WithTimeout(ctx, readTimeout)
	defer cancel()
	head, err := l.Log.Read(ctx, l.Follower.Stream, endOfStream, 1, 0)
	if err != nil {
		return err
	}
	if l.Follower.NextOffset() < head.First {
		l.Events.Error(eventMissing, "stream", l.Follower.Stream, "first", head.First)
		return &MissingError{UnusableError{Stream: l.Follower.Stream, Reason: "records before the first kept one are gone and no snapshot covers them"}}
	}
	return nil
}

func (l *Loader) restore(image Body) bool {
	digest, state, err := image.Decompress()
	if err == nil {
		err = l.Follower.Restore(image.Offset, digest, state)
	}
	if err != nil {
		l.Events.Warn(eventRejected, "stream", l.Follower.Stream, "offset", image.Offset, "error", err)
	}
	return err == nil
}

func (l *Loader) fromPeers(ctx context.Context) bool {
	ctx, cancel := l.Timer.WithTimeout(ctx, peerTimeout)
	defer cancel()
	var (
		mu   sync.Mutex
		best *peer.SnapshotImage
		wait sync.WaitGroup
	)
	for _, address := range l.Peers() {
		wait.Go(func() {
			image, err := l.Clients.Get(address).Snapshot(ctx, &peer.SnapshotQuery{Stream: string(l.Follower.Stream)})
			if err != nil {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			if best == nil || image.GetOffset() > best.GetOffset() {
				best = image
			}
		})
	}
	wait.Wait()
	if best == nil || record.Offset(best.GetOffset()) <= l.Follower.NextOffset() {
		return best != nil
	}
	err := l.Follower.Restore(record.Offset(best.GetOffset()), best.GetDigest(), best.GetState())
	if err != nil {
		l.Events.Warn(eventRejected, "stream", l.Follower.Stream, "offset", best.GetOffset(), "error", err)
		return false
	}
	l.Events.Info(eventLoaded, "stream", l.Follower.Stream, "offset", best.GetOffset(), "source", SourcePeer)
	return true
}
