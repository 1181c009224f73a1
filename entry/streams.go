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

// loadRetry is the pause between attempts to load a state while neither the log nor a peer has one.
const loadRetry = 500 * time.Millisecond

// channel is one stream with what reads, writes and keeps it.
type channel struct {
	follower *stream.Follower
	appender *stream.Appender
	proposer *stream.Proposer
	keeper   *snapshot.Writer
	loader   *snapshot.Loader
	// snapshots appends to the snapshot stream.
	snapshots *stream.Appender
	// fromPeer is set once the state came from a peer because the log was down.
	fromPeer atomic.Bool
}

// channelParts is what all channels of an entry share.
type channelParts struct {
	log     upstream.Log
	writer  record.Writer
	timer   *timer.Service
	events  event.Log
	group   *member.Group
	clients *peer.Clients
	period  time.Duration
}

func newChannel(name record.Stream, state stream.StateMachine, p channelParts) *channel {
	c := &channel{
		follower:  &stream.Follower{Log: p.log, Stream: name, State: state, Timer: p.timer, Events: p.events},
		appender:  &stream.Appender{Log: p.log, Stream: name, Writer: p.writer, Timer: p.timer, Events: p.events},
		snapshots: &stream.Appender{Log: p.log, Stream: name.Snapshot(), Writer: p.writer, Timer: p.timer, Events: p.events},
	}
	c.proposer = &stream.Proposer{Appender: c.appender, Follower: c.follower}
	c.loader = &snapshot.Loader{
		Log: p.log, Follower: c.follower, Timer: p.timer, Events: p.events, Clients: p.clients,
		Peers: func() map[instance.ID]instance.Address { return p.group.Addresses() },
	}
	c.keeper = &snapshot.Writer{
		Log: p.log, Follower: c.follower, Appender: c.snapshots, Timer: p.timer, Events: p.events, MaxAge: p.period,
		Rank: func() int { return p.group.Rank("snapshot/" + string(name)) },
	}
	c.follower.LoadSnapshot = func(ctx context.Context) error {
		_, err := c.loader.Load(ctx)
		return err
	}
	return c
}

// loaded reports whether the state is as new as the log allowed when it was last reachable.
func (c *channel) loaded() bool {
	return c.follower.HasReachedHead() || c.fromPeer.Load()
}

// load restores the newest snapshot, and repeats until it succeeds or ctx ends.
func (c *channel) load(ctx context.Context) error {
	for {
		source, err := c.loader.Load(ctx)
		if err == nil {
			c.fromPeer.Store(source == snapshot.SourcePeer)
			return nil
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
		c.follower.Events.Warn(eventLoad, "stream", c.follower.Stream, "error", err)
		if err := c.follower.Timer.Sleep(ctx, loadRetry); err != nil {
			return err
		}
	}
}

// tasks returns what runs for the channel after the load.
func (c *channel) run(ctx context.Context, start func(func(context.Context) error)) {
	start(func(context.Context) error {
		if err := c.load(ctx); err != nil {
			return err
		}
		return c.follower.Run(ctx)
	})
	start(c.appender.Run)
	start(c.snapshots.Run)
	start(c.keeper.Run)
}
