package snapshot

import (
	"context"
	"time"

	"hibiscuslane.example/hibiscuslane/event"
	"hibiscuslane.example/hibiscuslane/platform"
	"hibiscuslane.example/hibiscuslane/record"
	"hibiscuslane.example/hibiscuslane/stream"
	"hibiscuslane.example/hibiscuslane/timer"
)

const (
	// recordLimit is the number of records after which a snapshot is due before its period, so that
	// a new entry never folds a long tail.
	recordLimit = 5000
	// rankDelay separates the entries that might write the same snapshot.
	rankDelay   = 2 * time.Second
	readTimeout = 3 * time.Second
	readLimit   = 16
)

// Keeper appends snapshots of one stream. Set the exported fields before Run.
type Keeper struct {
	Log      platform.Log
	Follower *stream.Follower
	Appender *stream.Appender
	Timer    *timer.Service
	Events   event.Log
	// Period is the greatest age of the newest snapshot. It is a third of the log's retention, so
	// that one missed pass still leaves a snapshot in the window.
	Period time.Duration
	// Rank returns the position of this entry among those that may write; 0 writes first.
	Rank func() int
}

// Run writes snapshots that are due until ctx ends.
func (k *Keeper) Run(ctx context.Context) error {
	check := min(k.Period/10+time.Millisecond, 10*time.Second)
	tick := k.Timer.Every(check)
	defer tick.Stop()
	for {
		if err := k.pass(ctx); err != nil && ctx.Err() == nil {
			k.Events.Warn(eventFailed, "stream", k.Follower.Stream, "error", err)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C():
		}
	}
}

// pass writes a snapshot if one is due, and is still due after the delay of this entry's rank.
func (k *Keeper) pass(ctx context.Context) error {
	due, err := k.due(ctx)
	if err != nil || !due {
		return err
	}
	if rank := k.Rank(); rank > 0 {
		if err := k.Timer.Sleep(ctx, time.Duration(rank)*rankDelay); err != nil {
			return err
		}
		if due, err = k.due(ctx); err != nil || !due {
			return err
		}
	}
	return k.write(ctx)
}

func (k *Keeper) due(ctx context.Context) (bool, error) {
	offset := k.Follower.Offset()
	if offset == 0 || !k.Follower.Current() {
		return false, nil
	}
	newest, err := newestImage(ctx, k.Log, k.Follower.Stream, k.Timer)
	if err != nil {
		return false, err
	}
	if newest == nil {
		return true, nil
	}
	k.compare(*newest)
	if offset-newest.image.Offset >= recordLimit {
		return true, nil
	}
	return k.Timer.Since(newest.written) >= k.Period, nil
}

// compare reports a state that differs from another entry's at the same offset.
func (k *Keeper) compare(newest written) {
	digest, _, err := newest.image.Unpack()
	if err != nil {
		return
	}
	offset, own, _, err := k.Follower.Snapshot()
	if err == nil && offset == newest.image.Offset && own != digest {
		k.Events.Error(eventDiverged, "stream", k.Follower.Stream, "offset", offset, "writer", newest.writer.Entry)
	}
}

func (k *Keeper) write(ctx context.Context) error {
	offset, digest, state, err := k.Follower.Snapshot()
	if err != nil {
		return err
	}
	image, err := Pack(k.Follower.Stream, offset, digest, state)
	if err != nil {
		return err
	}
	if _, _, err := k.Appender.Append(ctx, Kind, record.Author(k.Appender.Writer.Entry), image); err != nil {
		return err
	}
	k.Events.Info(eventWritten, "stream", k.Follower.Stream, "offset", offset, "bytes", len(image.State))
	return nil
}

// written is an image with the time and the writer of its record.
type written struct {
	image   Image
	written time.Time
	writer  record.Writer
}

// newestImage returns the newest usable image in the log, or nil if there is none.
func newestImage(ctx context.Context, log platform.Log, name record.Stream, clock *timer.Service) (*written, error) {
	images, err := images(ctx, log, name, clock)
	if err != nil || len(images) == 0 {
		return nil, err
	}
	return &images[len(images)-1], nil
}

// images returns the last usable images in the log, the one with the highest offset last.
func images(ctx context.Context, log platform.Log, name record.Stream, clock *timer.Service) ([]written, error) {
	ctx, cancel := clock.WithTimeout(ctx, readTimeout)
	defer cancel()
	head, err := log.Read(ctx, name.Snapshot(), endOfStream, 1, 0)
	if err != nil {
		return nil, err
	}
	batch, err := log.Read(ctx, name.Snapshot(), max(head.First, head.Next-readLimit), readLimit, 0)
	if err != nil {
		return nil, err
	}
	var found []written
	for _, stored := range batch.Records {
		image, err := Decode(name, stored.Body)
		if err != nil {
			continue
		}
		// The envelope was decoded a moment ago.
		envelope, _ := record.Decode(stored.Body)
		w := written{image: image, written: envelope.Time, writer: envelope.ID.Writer}
		if len(found) == 0 || w.image.Offset >= found[len(found)-1].image.Offset {
			found = append(found, w)
		}
	}
	return found, nil
}

// endOfStream is an offset past any head; a read there returns only the bounds of the stream.
const endOfStream = record.Offset(1) << 60
