package stream

import (
	"context"
	"encoding/json"
	"math/rand/v2"
	"sync"
	"time"

	"hibiscuslane.example/hibiscuslane/event"
	"hibiscuslane.example/hibiscuslane/record"
	"hibiscuslane.example/hibiscuslane/timer"
	"hibiscuslane.example/hibiscuslane/upstream"
)

const (
	maxReadRecords = 500
	// maxReadWait is the duration of a long poll that finds no record. It is short so that a dead
	// connection is detected within the 11 s in which a configuration change must be in force at every
	// entry.
	maxReadWait = 2 * time.Second
	readTimeout = maxReadWait + 2*time.Second
	backoffBase = 100 * time.Millisecond
	backoffMax  = 2 * time.Second
	// writerRetention is the least number of records after which the position of a writer that has appended
	// nothing since is dropped. A writer has at most one batch in flight, so a retried batch arrives long
	// before that.
	writerRetention = 100_000
	// maxVerdicts limits the verdicts that are kept in memory for Proposers.
	maxVerdicts = 8192
)

// Follower reads one stream and applies its records to a StateMachine. Set the exported fields before
// Run.
type Follower struct {
	Log    upstream.Log
	Stream record.Stream
	State  StateMachine
	Timer  *timer.Service
	Events event.Log
	// LoadSnapshot is called when the log no longer retains the record at the next offset. It calls
	// Restore with a newer snapshot.
	LoadSnapshot func(ctx context.Context) error

	mu sync.Mutex
	// nextOffset is the offset of the next record to apply. It never decreases.
	nextOffset record.Offset
	// head is the highest end of the stream that a read has returned.
	head        record.Offset
	reachedHead bool
	// lastRead is the time of the last successful read.
	lastRead time.Time
	// writerPositions holds the highest sequence number read from each writer. A record with a lower or
	// equal sequence number comes from a retried append.
	writerPositions map[record.Writer]writerPosition
	// verdicts holds the verdicts on the last maxVerdicts records, without duplicates and undecodable records.
	verdicts map[record.ID]recordVerdict
	// verdictOrder lists the keys of verdicts, oldest first.
	verdictOrder []record.ID
	// changed is the channel that Changed returns; nil if none has been requested since the last change.
	changed chan struct{}
}

// recordVerdict is the verdict on a record and the offset of its first copy. Later copies are duplicates.
type recordVerdict struct {
	verdict Verdict
	offset  record.Offset
}

// writerPosition is the last record read from a writer.
type writerPosition struct {
	Sequence record.Sequence `json:"sequence"`
	Offset   record.Offset   `json:"offset"`
}

// NextOffset returns the offset of the next record to apply.
func (f *Follower) NextOffset() record.Offset {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.nextOffset
}

// HasReachedHead reports whether the follower has reached the head of the stream at least once.
func (f *Follower) HasReachedHead() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.reachedHead
}

// LastRead returns the time of the last successful read; it is zero before the first.
func (f *Follower) LastRead() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.lastRead
}

// Changed returns a channel that is closed after the next successful read, even one without records, or the next
// Restore.
func (f *Follower) Changed() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.changedLocked()
}

func (f *Follower) changedLocked() chan struct{} {
	if f.changed == nil {
		f.changed = make(chan struct{})
	}
	return f.changed
}

// Wait blocks until the record at the offset has been processed or is covered by a restored snapshot, or until ctx
// ends.
func (f *Follower) Wait(ctx context.Context, offset record.Offset) error {
	for {
		f.mu.Lock()
		done, changed := f.nextOffset > offset, f.changedLocked()
		f.mu.Unlock()
		if done {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
		}
	}
}

// Verdict returns the verdict on a recent record. It returns false if the verdict is not in memory.
func (f *Follower) Verdict(id record.ID) (Verdict, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	recent, ok := f.verdicts[id]
	return recent.verdict, ok
}

// VerdictWithOffset returns the verdict on a recent record and the offset of its first copy. If an
// append was retried after a lost response, the acknowledged offset is that of a later copy.
func (f *Follower) VerdictWithOffset(id record.ID) (record.Offset, Verdict, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	recent, ok := f.verdicts[id]
	return recent.offset, recent.verdict, ok
}

// Run reads the stream until ctx ends.
func (f *Follower) Run(ctx context.Context) error {
	delay := time.Duration(0)
	for ctx.Err() == nil {
		err := f.readOnce(ctx)
		if err == nil {
			if delay > 0 {
				f.Events.Info(eventReadResumed, "stream", f.Stream)
			}
			delay = 0
			continue
		}
		if ctx.Err() != nil {
			break
		}
		delay = nextBackoff(delay)
		f.Events.Warn(eventReadFailed, "stream", f.Stream, "error", err, "delay_ms", delay.Milliseconds())
		_ = f.Timer.Sleep(ctx, delay)
	}
	return ctx.Err()
}

// nextBackoff doubles the delay up to backoffMax and adds up to half of it as jitter, so that the
// entries do not all retry at the same moment when the log recovers.
func nextBackoff(delay time.Duration) time.Duration {
	delay = min(max(2*delay, backoffBase), backoffMax)
	return delay + rand.N(delay/2+1)
}

// readOnce reads the next records and applies them, or loads a snapshot if the log no longer retains
// them.
func (f *Follower) readOnce(ctx context.Context) error {
	readCtx, cancel := f.Timer.WithTimeout(ctx, readTimeout)
	defer cancel()
	batch, err := f.Log.Read(readCtx, f.Stream, f.NextOffset(), maxReadRecords, f.readWait())
	if upstream.IsExpired(err) && f.LoadSnapshot != nil {
		f.Events.Warn(eventReadExpired, "stream", f.Stream, "offset", f.NextOffset())
		return f.LoadSnapshot(ctx)
	}
	if err != nil {
		return err
	}
	f.applyBatch(batch)
	return nil
}

// readWait returns how long a read waits for new records. A read does not wait before the head has been
// reached, so that an entry whose snapshot is at the head detects this at once.
func (f *Follower) readWait() time.Duration {
	if f.HasReachedHead() {
		return maxReadWait
	}
	return 0
}

func (f *Follower) applyBatch(batch upstream.Batch) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, stored := range batch.Records {
		if stored.Offset != f.nextOffset {
			// Restore changed the next offset while the read was in flight.
			continue
		}
		f.applyRecordLocked(stored)
		f.nextOffset = stored.Offset + 1
	}
	f.lastRead = f.Timer.Now()
	f.head = max(f.head, batch.NextOffset)
	if !f.reachedHead && f.nextOffset >= batch.NextOffset {
		f.reachedHead = true
		f.Events.Info(eventCaughtUp, "stream", f.Stream, "offset", f.nextOffset)
	}
	f.notifyLocked()
}

func (f *Follower) notifyLocked() {
	close(f.changedLocked())
	f.changed = nil
}

func (f *Follower) applyRecordLocked(stored upstream.StoredRecord) {
	envelope, err := record.Decode(stored.Body)
	if err != nil {
		f.Events.Warn(eventRecordInvalid, "stream", f.Stream, "offset", stored.Offset, "error", err)
		return
	}
	verdict := f.applyIfNewLocked(stored.Offset, envelope)
	switch verdict.Result {
	case ResultInvalid:
		f.Events.Warn(eventRecordInvalid, "stream", f.Stream, "offset", stored.Offset, "record", envelope.ID, "reason", verdict.Reason)
	case ResultStale:
		f.Events.Debug(eventRecordStale, "stream", f.Stream, "offset", stored.Offset, "record", envelope.ID, "reason", verdict.Reason)
	case ResultApplied, ResultDuplicate:
	}
	if verdict.Result != ResultDuplicate {
		f.storeVerdictLocked(envelope.ID, recordVerdict{verdict: verdict, offset: stored.Offset})
	}
}

// applyIfNewLocked applies a record to the state unless it is a duplicate from a retried append.
func (f *Follower) applyIfNewLocked(offset record.Offset, envelope record.Envelope) Verdict {
	if f.writerPositions == nil {
		f.writerPositions = map[record.Writer]writerPosition{}
	}
	if last, ok := f.writerPositions[envelope.ID.Writer]; ok && envelope.ID.Sequence <= last.Sequence {
		return Verdict{Result: ResultDuplicate, Reason: "the record was read before"}
	}
	f.writerPositions[envelope.ID.Writer] = writerPosition{Sequence: envelope.ID.Sequence, Offset: offset}
	if offset%writerRetention == 0 {
		f.dropIdleWritersLocked(offset)
	}
	return f.State.Apply(offset, envelope)
}

func (f *Follower) dropIdleWritersLocked(offset record.Offset) {
	for writer, position := range f.writerPositions {
		if position.Offset < offset-writerRetention {
			delete(f.writerPositions, writer)
		}
	}
}

func (f *Follower) storeVerdictLocked(id record.ID, verdict recordVerdict) {
	if f.verdicts == nil {
		f.verdicts = map[record.ID]recordVerdict{}
	}
	f.verdicts[id] = verdict
	f.verdictOrder = append(f.verdictOrder, id)
	if len(f.verdictOrder) > maxVerdicts {
		delete(f.verdicts, f.verdictOrder[0])
		f.verdictOrder = f.verdictOrder[1:]
	}
}

// snapshotBody is the JSON encoding of a snapshot: the state and the position of each writer.
type snapshotBody struct {
	Writers []snapshotWriter `json:"writers"`
	State   json.RawMessage  `json:"state"`
}

type snapshotWriter struct {
	record.Writer
	writerPosition
}

// Snapshot returns the offset of the next record to apply, the digest of the state, and the state with
// the positions of the writers, encoded for Restore.
func (f *Follower) Snapshot() (record.Offset, uint64, []byte, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	state, err := f.State.Snapshot()
	if err != nil {
		return 0, 0, nil, err
	}
	body := snapshotBody{State: state, Writers: make([]snapshotWriter, 0, len(f.writerPositions))}
	for writer, position := range f.writerPositions {
		body.Writers = append(body.Writers, snapshotWriter{Writer: writer, writerPosition: position})
	}
	data, err := json.Marshal(body)
	if err != nil {
		return 0, 0, nil, err
	}
	return f.nextOffset, f.State.Digest(), data, nil
}

// Digest returns the offset of the next record to apply and the digest of the current state.
func (f *Follower) Digest() (record.Offset, uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.nextOffset, f.State.Digest()
}

// Restore replaces the state by a snapshot taken at the given offset. It rejects a snapshot that is malformed, whose
// state has another digest, or that is older than the current state, so that the state never goes back to an earlier
// offset.
func (f *Follower) Restore(offset record.Offset, digest uint64, data []byte) error {
	var body snapshotBody
	if err := json.Unmarshal(data, &body); err != nil {
		return &RestoreError{Stream: f.Stream, Reason: "malformed", Cause: err}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if offset < f.nextOffset {
		return &RestoreError{Stream: f.Stream, Reason: "older than the present state"}
	}
	previous, err := f.State.Snapshot()
	if err != nil {
		return &RestoreError{Stream: f.Stream, Reason: "present state cannot be saved", Cause: err}
	}
	if err := f.State.Restore(body.State); err != nil {
		return &RestoreError{Stream: f.Stream, Reason: "state is malformed", Cause: err}
	}
	if f.State.Digest() != digest {
		// Restoring the previous state cannot fail, because the state has just encoded it.
		_ = f.State.Restore(previous)
		return &RestoreError{Stream: f.Stream, Reason: "digest differs"}
	}
	f.writerPositions = make(map[record.Writer]writerPosition, len(body.Writers))
	for _, writer := range body.Writers {
		f.writerPositions[writer.Writer] = writer.writerPosition
	}
	f.nextOffset = offset
	f.notifyLocked()
	return nil
}
