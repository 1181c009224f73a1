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
	// maxNewRecords is the number of records after the newest snapshot from which on another one is due
	// although MaxAge has not passed, so that a new entry has few records to apply.
	maxNewRecords = 5000
	// delayPerRank delays the entries of higher rank, so that only one of them writes a snapshot that is
	// due.
	delayPerRank = 2 * time.Second
	readTimeout  = 3 * time.Second
	// maxSnapshotsRead is the number of snapshot records that are read. Older snapshots are used only if
	// the newest one is damaged.
	maxSnapshotsRead = 3
)

// Writer appends snapshots of the state of one stream to the log when they are due. Set the exported
// fields before Run.
type Writer struct {
	Log      upstream.Log
	Follower *stream.Follower
	Appender *stream.Appender
	Timer    *timer.Service
	Events   event.Log
	// MaxAge is the age of the newest snapshot at which another one is due. It is a third of the log's
	// retention, so that the log still holds a snapshot if one is not written in time.
	MaxAge time.Duration
	// Rank returns the rank of this entry among the entries that may write. The entry of rank 0 writes first.
	Rank func() int

	// knownHead is the head of the snapshot stream at the last check, and newest the newest usable
	// snapshot before it, or nil if there is none.
	knownHead record.Offset
	newest    *snapshotMetadata
}

// snapshotMetadata tells where a snapshot is in the log, which records its state covers, and how old it is.
type snapshotMetadata struct {
	// recordOffset is the offset of the record in the snapshot stream. stateOffset is the offset of the
	// next record to apply to the state.
	recordOffset, stateOffset record.Offset
	writtenAt                 time.Time
}

// Run checks periodically whether a snapshot is due, and writes it, until ctx ends.
func (w *Writer) Run(ctx context.Context) error {
	checkInterval := min(w.MaxAge/10+time.Millisecond, 10*time.Second)
	ticks := w.Timer.Every(checkInterval)
	defer ticks.Stop()
	for {
		if err := w.writeIfDue(ctx); err != nil && ctx.Err() == nil {
			w.Events.Warn(eventSnapshotFailed, "stream", w.Follower.Stream, "error", err)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticks.C():
		}
	}
}

// writeIfDue writes a snapshot if one is due and is still due after the delay for the rank of this entry.
func (w *Writer) writeIfDue(ctx context.Context) error {
	due, err := w.isDue(ctx)
	if err != nil || !due {
		return err
	}
	if rank := w.Rank(); rank > 0 {
		if err := w.Timer.Sleep(ctx, time.Duration(rank)*delayPerRank); err != nil {
			return err
		}
		if due, err = w.isDue(ctx); err != nil || !due {
			return err
		}
	}
	return w.writeSnapshot(ctx)
}

// isDue reports whether a snapshot should be written. It makes one read that returns no records, unless
// a snapshot was appended since the last call.
func (w *Writer) isDue(ctx context.Context) (bool, error) {
	offset := w.Follower.NextOffset()
	if offset == 0 || !w.Follower.HasReachedHead() {
		return false, nil
	}
	if err := w.refreshNewest(ctx); err != nil {
		return false, err
	}
	if w.newest == nil {
		return true, nil
	}
	if offset-w.newest.stateOffset >= maxNewRecords {
		return true, nil
	}
	return w.Timer.Since(w.newest.writtenAt) >= w.MaxAge, nil
}

// refreshNewest reads the newest snapshot if the snapshot stream has grown since the last check. Otherwise it
// forgets the known one if the log no longer retains it.
func (w *Writer) refreshNewest(ctx context.Context) error {
	ctx, cancel := w.Timer.WithTimeout(ctx, readTimeout)
	defer cancel()
	head, err := w.Log.Read(ctx, w.Follower.Stream.Snapshot(), offsetBeyondHead, 1, 0)
	if err != nil {
		return err
	}
	if head.NextOffset == w.knownHead {
		if w.newest != nil && w.newest.recordOffset < head.OldestOffset {
			w.newest = nil
		}
		return nil
	}
	found, err := readSnapshotsBefore(ctx, w.Log, w.Follower.Stream, head)
	if err != nil {
		return err
	}
	w.knownHead, w.newest = head.NextOffset, nil
	if len(found) > 0 {
		last := found[len(found)-1]
		w.newest = &snapshotMetadata{recordOffset: last.recordOffset, stateOffset: last.body.Offset, writtenAt: last.writtenAt}
		w.reportDivergence(last)
	}
	return nil
}

// reportDivergence logs an error if the own state differs from a snapshot at the same offset.
func (w *Writer) reportDivergence(newest storedSnapshot) {
	offset, own := w.Follower.Digest()
	if offset == newest.body.Offset && newest.body.Digest != formatDigest(own) {
		w.Events.Error(eventStateDiverged, "stream", w.Follower.Stream, "offset", offset, "writer", newest.writer.Entry)
	}
}

func (w *Writer) writeSnapshot(ctx context.Context) error {
	offset, digest, state, err := w.Follower.Snapshot()
	if err != nil {
		return err
	}
	body, err := Compress(w.Follower.Stream, offset, digest, state)
	if err != nil {
		return err
	}
	if _, _, err := w.Appender.Append(ctx, Kind, record.Author(w.Appender.Writer.Entry), body); err != nil {
		return err
	}
	w.Events.Info(eventSnapshotWritten, "stream", w.Follower.Stream, "offset", offset, "bytes", len(body.State))
	return nil
}

// storedSnapshot is a snapshot with the offset, the time and the writer of its record.
type storedSnapshot struct {
	body         Body
	recordOffset record.Offset
	writtenAt    time.Time
	writer       record.Writer
}

// readNewestSnapshots returns the newest usable snapshots in the log, in ascending order of the offsets
// of their states.
func readNewestSnapshots(ctx context.Context, log upstream.Log, name record.Stream, clock *timer.Service) ([]storedSnapshot, error) {
	ctx, cancel := clock.WithTimeout(ctx, readTimeout)
	defer cancel()
	head, err := log.Read(ctx, name.Snapshot(), offsetBeyondHead, 1, 0)
	if err != nil {
		return nil, err
	}
	return readSnapshotsBefore(ctx, log, name, head)
}

// readSnapshotsBefore reads the last records before the head of a snapshot stream and returns the usable
// snapshots among them, in ascending order of the offsets of their states. It leaves out a snapshot whose state is
// older than that of a snapshot before it.
func readSnapshotsBefore(ctx context.Context, log upstream.Log, name record.Stream, head upstream.Batch) ([]storedSnapshot, error) {
	batch, err := log.Read(ctx, name.Snapshot(), max(head.OldestOffset, head.NextOffset-maxSnapshotsRead), maxSnapshotsRead, 0)
	if err != nil {
		return nil, err
	}
	var found []storedSnapshot
	for _, stored := range batch.Records {
		body, err := Decode(name, stored.Body)
		if err != nil {
			continue
		}
		// Decode has already decoded the same envelope without an error.
		envelope, _ := record.Decode(stored.Body)
		s := storedSnapshot{body: body, recordOffset: stored.Offset, writtenAt: envelope.Time, writer: envelope.ID.Writer}
		if len(found) == 0 || s.body.Offset >= found[len(found)-1].body.Offset {
			found = append(found, s)
		}
	}
	return found, nil
}

// offsetBeyondHead is larger than any head. A read from it returns only the bounds of the stream.
const offsetBeyondHead = record.Offset(1) << 60
