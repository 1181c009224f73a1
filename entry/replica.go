package entry

import (
	"context"
	"sync/atomic"
	"time"

	"hibiscuslane.example/hibiscuslane/event"
	"hibiscuslane.example/hibiscuslane/instance"
	"hibiscuslane.example/hibiscuslane/member"
	"hibiscuslane.example/hibiscuslane/peer"
	"hibiscuslane.example/hibiscuslane/record"
	"hibiscuslane.example/hibiscuslane/snapshot"
	"hibiscuslane.example/hibiscuslane/stream"
	"hibiscuslane.example/hibiscuslane/timer"
	"hibiscuslane.example/hibiscuslane/upstream"
)

// loadRetryDelay is the delay between attempts to load a state while neither the log nor a peer provides
// one.
const loadRetryDelay = 500 * time.Millisecond

// replica is the local copy of the state of one stream, with the parts that read the stream, append to it,
// and write and load snapshots.
type replica struct {
	follower       *stream.Follower
	appender       *stream.Appender
	proposer       *stream.Proposer
	snapshotWriter *snapshot.Writer
	snapshotLoader *snapshot.Loader
	// snapshotAppender appends to the snapshot stream.
	snapshotAppender *stream.Appender
	// loadedFromPeer is set if the state was loaded from a peer because the log could not provide it.
	loadedFromPeer atomic.Bool
}

// replicaDependencies holds the dependencies that all replicas of an entry share.
type replicaDependencies struct {
	log            upstream.Log
	writer         record.Writer
	timer          *timer.Service
	events         event.Log
	group          *member.Group
	clients        *peer.Clients
	snapshotMaxAge time.Duration
}

func newReplica(name record.Stream, state stream.StateMachine, deps replicaDependencies) *replica {
	r := &replica{
		follower:         &stream.Follower{Log: deps.log, Stream: name, State: state, Timer: deps.timer, Events: deps.events},
		appender:         &stream.Appender{Log: deps.log, Stream: name, Writer: deps.writer, Timer: deps.timer, Events: deps.events},
		snapshotAppender: &stream.Appender{Log: deps.log, Stream: name.Snapshot(), Writer: deps.writer, Timer: deps.timer, Events: deps.events},
	}
	r.proposer = &stream.Proposer{Appender: r.appender, Follower: r.follower}
	r.snapshotLoader = &snapshot.Loader{
		Log: deps.log, Follower: r.follower, Timer: deps.timer, Events: deps.events, Clients: deps.clients,
		Peers: func() map[instance.ID]instance.Address { return deps.group.Addresses() },
	}
	r.snapshotWriter = &snapshot.Writer{
		Log: deps.log, Follower: r.follower, Appender: r.snapshotAppender, Timer: deps.timer, Events: deps.events, MaxAge: deps.snapshotMaxAge,
		Rank: func() int { return deps.group.Rank("snapshot/" + string(name)) },
	}
	r.follower.LoadSnapshot = func(ctx context.Context) error {
		_, err := r.snapshotLoader.Load(ctx)
		return err
	}
	return r
}

// isLoaded reports whether the state has reached the head of the stream or was loaded from a peer while
// the log was unavailable.
func (r *replica) isLoaded() bool {
	return r.follower.HasReachedHead() || r.loadedFromPeer.Load()
}

// loadState restores the newest snapshot. It retries until it succeeds or ctx ends.
func (r *replica) loadState(ctx context.Context) error {
	for {
		source, err := r.snapshotLoader.Load(ctx)
		if err == nil {
			r.loadedFromPeer.Store(source == snapshot.SourcePeer)
			return nil
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
		r.follower.Events.Warn(eventLoadFailed, "stream", r.follower.Stream, "error", err)
		if err := r.follower.Timer.Sleep(ctx, loadRetryDelay); err != nil {
			return err
		}
	}
}

// startTasks starts the background tasks of the replica. The follower runs after the state is loaded.
func (r *replica) startTasks(ctx context.Context, start func(func(context.Context) error)) {
	start(func(context.Context) error {
		if err := r.loadState(ctx); err != nil {
			return err
		}
		return r.follower.Run(ctx)
	})
	start(r.appender.Run)
	start(r.snapshotAppender.Run)
	start(r.snapshotWriter.Run)
}
