package snapshot

import (
	"context"
	"time"

	"hibiscuslane.example/hibiscuslane/event"
	"hibiscuslane.example/hibiscuslane/record"
	"hibiscuslane.example/hibiscuslane/stream"
	"hibiscuslane.example/hibiscuslane/timer"
	"hibiscuslane.example/hibiscuslane/upstream"
)

const (
	// recordLimit is the number of records after which a snapshot is due before its period, so that
	// a new entry never folds a long tail.
	recordLimit = 5000
	// rankDelay separates the entries that might write the same snapshot.
	rankDelay   = 2 * time.Second
	readTimeout = 3 * time.Second
	// readLimit is the number of images that are looked at; all but the last serve only when it is
	// damaged.
	readLimit = 3
)

// Writer appends snapshots of one stream. Set the exported fields before Run.
type Writer struct {
	Log      upstream.Log
	Follower *stream.Follower
	Appender *stream.Appender
	Timer    *timer.Service
	Events   event.Log
	// MaxAge is the greatest age of the newest snapshot. It is a third of the log's retention, so
	// that one missed pass still leaves a snapshot in the window.
	MaxAge time.Duration
	// Rank returns the position of this entry among those that may write; 0 writes first.
	Rank func() int

	// end is the head of the snapshot stream as of the last look, and newest the newest image before it;
	// nil if there is none.
	end    record.Offset
	newest *seen
}

// seen is what is remembered of an image.
type seen struct {
	// at is the offset of the record in the snapshot stream, offset that of the state.
	at, offset record.Offset
	written    time.Time
}

// Run writes snapshots that are due until ctx ends.
func (k *Writer) Run(ctx context.Context) error {
	check := min(k.MaxAge/10+time.Millisecond, 10*time.Second)
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
func (k *Writer) pass(ctx context.Context) error {
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

// due reports whether a snapshot should be written. It costs one read without records unless another
// entry has written a snapshot since the last call.
func (k *Writer) due(ctx context.Context) (bool, error) {
	offset := k.Follower.NextOffset()
	if offset == 0 || !k.Follower.HasReachedHead() {
		return false, nil
	}
	if err := k.refresh(ctx); err != nil {
		return false, err
	}
	if k.newest == nil {
		return true, nil
	}
	if offset-k.newest.offset >= recordLimit {
		return true, nil
	}
	return k.Timer.Since(k.newest.written) >= k.MaxAge, nil
}

// refresh takes up the newest image if the snapshot stream has grown.
func (k *Writer) refresh(ctx context.Context) error {
	ctx, cancel := k.Timer.WithTimeout(ctx, readTimeout)
	defer cancel()
	head, err := k.Log.Read(ctx, k.Follower.Stream.Snapshot(), endOfStream, 1, 0)
	if err != nil {
		return err
	}
	if head.Next == k.end {
		if k.newest != nil && k.newest.at < head.First {
			k.newest = nil
		}
		return nil
	}
	found, err := readImages(ctx, k.Log, k.Follower.Stream, head)
	if err != nil {
		return err
	}
	k.end, k.newest = head.Next, nil
	if len(found) > 0 {
		last := found[len(found)-1]
		k.newest = &seen{at: last.at, offset: last.image.Offset, written: last.written}
		k.compare(last)
	}
	return nil
}

// compare reports a state that differs from another entry's at the same offset.
func (k *Writer) compare(newest written) {
	offset, own := k.Follower.Digest()
	if offset == newest.image.Offset && newest.image.Digest != formatDigest(own) {
		k.Events.Error(eventDiverged, "stream", k.Follower.Stream, "offset", offset, "writer", newest.writer.Entry)
	}
}

func (k *Writer) write(ctx context.Context) error {
	offset, digest, state, err := k.Follower.Snapshot()
	if err != nil {
		return err
	}
	image, err := Compress(k.Follower.Stream, offset, digest, state)
	if err != nil {
		return err
	}
	if _, _, err := k.Appender.Append(ctx, Kind, record.Author(k.Appender.Writer.Entry), image); err != nil {
		return err
	}
	k.Events.Info(eventWritten, "stream", k.Follower.Stream, "offset", offset, "bytes", len(image.State))
	return nil
}

// written is an image with the place, the time and the writer of its record.
type written struct {
	image   Body
	at      record.Offset
	written time.Time
	writer  record.Writer
}

// images returns the last usable images in the log, the one with the highest offset last.
func images(ctx context.Context, log upstream.Log, name record.Stream, clock *timer.Service) ([]written, error) {
	ctx, cancel := clock.WithTimeout(ctx, readTimeout)
	defer cancel()
	head, err := log.Read(ctx, name.Snapshot(), endOfStream, 1, 0)
	if err != nil {
		return nil, err
	}
	return readImages(ctx, log, name, head)
}

// readImages reads the last records before the head of a snapshot stream.
func readImages(ctx context.Context, log upstream.Log, name record.Stream, head upstream.Batch) ([]written, error) {
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
		w := written{image: image, at: stored.Offset, written: envelope.Time, writer: envelope.ID.Writer}
		if len(found) == 0 || w.image.Offset >= found[len(found)-1].image.Offset {
			found = append(found, w)
		}
	}
	return found, nil
}

// endOfStream is an offset past any head; a read there returns only the bounds of the stream.
const endOfStream = record.Offset(1) << 60
