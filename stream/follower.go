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
	readLimit = 500
	// readWait bounds a long poll. It is short enough that a silent connection is noticed within the
	// 11 s in which a configuration change has to be in force everywhere.
	readWait    = 2 * time.Second
	readTimeout = readWait + 2*time.Second
	backoffBase = 100 * time.Millisecond
	backoffMax  = 2 * time.Second
	// writerWindow is the number of records after which a silent writer is forgotten. A writer has at
	// most one batch in flight, so a repeated batch arrives long before.
	writerWindow = 100_000
	// verdictsKept bounds the verdicts that Proposers can still ask for.
	verdictsKept = 8192
)

// Follower tails one stream into a Folder. Set the exported fields before Run.
type Follower struct {
	Log    upstream.Log
	Stream record.Stream
	State  StateMachine
	Timer  *timer.Service
	Events event.Log
	// LoadSnapshot loads a snapshot when the offset is past retention; it calls Restore.
	LoadSnapshot func(ctx context.Context) error

	mu sync.Mutex
	// next is the offset of the next record to fold. It never decreases.
	next record.Offset
	// head is the highest end of the stream seen in a read. head >= next once current is set.
	head    record.Offset
	current bool
	// contact is the time of the last successful read.
	contact time.Time
	// writers holds the highest sequence folded of each writer. A lower or equal sequence is a
	// repeated append.
	writers  map[record.Writer]writerMark
	verdicts map[record.ID]folded
	// order lists the keys of verdicts, oldest first.
	order   []record.ID
	changed chan struct{}
}

// folded is the verdict on a record and the offset of its first copy, the one that counts.
type folded struct {
	verdict Verdict
	offset  record.Offset
}

type writerMark struct {
	Sequence record.Sequence `json:"sequence"`
	Offset   record.Offset   `json:"offset"`
}

// NextOffset returns the offset of the next record to fold.
func (f *Follower) NextOffset() record.Offset {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.next
}

// HasReachedHead reports whether the follower has reached the head of the stream at least once.
func (f *Follower) HasReachedHead() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.current
}

// LastRead returns the time of the last successful read; it is zero before the first.
func (f *Follower) LastRead() time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.contact
}

// Changed returns a channel that is closed when the next batch of records has been folded.
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

// Wait blocks until the record at the offset has been folded or ctx ends.
func (f *Follower) Wait(ctx context.Context, offset record.Offset) error {
	for {
		f.mu.Lock()
		done, changed := f.next > offset, f.changedLocked()
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

// Verdict returns the verdict on a recent record, if it has been folded.
func (f *Follower) Verdict(id record.ID) (Verdict, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	entry, ok := f.verdicts[id]
	return entry.verdict, ok
}

// VerdictWithOffset returns the verdict on a recent record and the offset at which it was folded. When an append
// was repeated after a lost answer, that is the offset of the first copy, while the acknowledgment
// names a later one.
func (f *Follower) VerdictWithOffset(id record.ID) (record.Offset, Verdict, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	entry, ok := f.verdicts[id]
	return entry.offset, entry.verdict, ok
}

// Run reads the stream until ctx ends.
func (f *Follower) Run(ctx context.Context) error {
	delay := time.Duration(0)
	for ctx.Err() == nil {
		err := f.step(ctx)
		if err == nil {
			if delay > 0 {
				f.Events.Info(eventResumed, "stream", f.Stream)
			}
			delay = 0
			continue
		}
		if ctx.Err() != nil {
			break
		}
		delay = nextDelay(delay)
		f.Events.Warn(eventReadFailed, "stream", f.Stream, "error", err, "delay_ms", delay.Milliseconds())
		_ = f.Timer.Sleep(ctx, delay)
	}
	return ctx.Err()
}

// nextDelay doubles the delay up to backoffMax and adds up to half of it as jitter, so that entries
// do not return to a recovering log at the same moment.
func nextDelay(delay time.Duration) time.Duration {
	delay = min(max(2*delay, backoffBase), backoffMax)
	return delay + rand.N(delay/2+1)
}

func (f *Follower) step(ctx context.Context) error {
	readCtx, cancel := f.Timer.WithTimeout(ctx, readTimeout)
	defer cancel()
	batch, err := f.Log.Read(readCtx, f.Stream, f.NextOffset(), readLimit, f.wait())
	if upstream.IsExpired(err) && f.LoadSnapshot != nil {
		f.Events.Warn(eventExpired, "stream", f.Stream, "offset", f.NextOffset())
		return f.LoadSnapshot(ctx)
	}
	if err != nil {
		return err
	}
	f.apply(batch)
	return nil
}

// wait returns how long a read may wait for records. Until the head is reached a read does not wait, so
// that an entry whose snapshot is at the head learns so at once.
func (f *Follower) wait() time.Duration {
	if f.HasReachedHead() {
		return readWait
	}
	return 0
}

func (f *Follower) apply(batch upstream.Batch) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, stored := range batch.Records {
		if stored.Offset != f.next {
			// A restore moved the offset while the read was in flight.
			continue
		}
		f.foldLocked(stored)
		f.next = stored.Offset + 1
	}
	f.contact = f.Timer.Now()
	f.head = max(f.head, batch.Next)
	if !f.current && f.next >= batch.Next {
		f.current = true
		f.Events.Info(eventCaughtUp, "stream", f.Stream, "offset", f.next)
	}
	f.notifyLocked()
}

func (f *Follower) notifyLocked() {
	close(f.changedLocked())
	f.changed = nil
}

func (f *Follower) foldLocked(stored upstream.Stored) {
	envelope, err := record.Decode(stored.Body)
	if err != nil {
		f.Events.Warn(eventInvalid, "stream", f.Stream, "offset", stored.Offset, "error", err)
		return
	}
	verdict := f.verdictLocked(stored.Offset, envelope)
	switch verdict.Result {
	case ResultInvalid:
		f.Events.Warn(eventInvalid, "stream", f.Stream, "offset", stored.Offset, "record", envelope.ID, "reason", verdict.Reason)
	case ResultStale:
		f.Events.Debug(eventStale, "stream", f.Stream, "offset", stored.Offset, "record", envelope.ID, "reason", verdict.Reason)
	case ResultApplied, ResultDuplicate:
	}
	if verdict.Result != ResultDuplicate {
		f.keepLocked(envelope.ID, folded{verdict: verdict, offset: stored.Offset})
	}
}

func (f *Follower) verdictLocked(offset record.Offset, envelope record.Envelope) Verdict {
	if f.writers == nil {
		f.writers = map[record.Writer]writerMark{}
	}
	if mark, ok := f.writers[envelope.ID.Writer]; ok && envelope.ID.Sequence <= mark.Sequence {
		return Verdict{Result: ResultDuplicate, Reason: "the record was read before"}
	}
	f.writers[envelope.ID.Writer] = writerMark{Sequence: envelope.ID.Sequence, Offset: offset}
	if offset%writerWindow == 0 {
		f.pruneLocked(offset)
	}
	return f.State.Apply(offset, envelope)
}

func (f *Follower) pruneLocked(offset record.Offset) {
	for writer, mark := range f.writers {
		if mark.Offset < offset-writerWindow {
			delete(f.writers, writer)
		}
	}
}

func (f *Follower) keepLocked(id record.ID, entry folded) {
	if f.verdicts == nil {
		f.verdicts = map[record.ID]folded{}
	}
	f.verdicts[id] = entry
	f.order = append(f.order, id)
	if len(f.order) > verdictsKept {
		delete(f.verdicts, f.order[0])
		f.order = f.order[1:]
	}
}

// image is the form in which a follower's state travels in snapshots.
type image struct {
	Writers []writerImage   `json:"writers"`
	State   json.RawMessage `json:"state"`
}

type writerImage struct {
	record.Writer
	writerMark
}

// Snapshot returns the state together with the offset of the next record to fold, and the digest of
// the state.
func (f *Follower) Snapshot() (record.Offset, uint64, []byte, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	state, err := f.State.Snapshot()
	if err != nil {
		return 0, 0, nil, err
	}
	img := image{State: state, Writers: make([]writerImage, 0, len(f.writers))}
	for writer, mark := range f.writers {
		img.Writers = append(img.Writers, writerImage{Writer: writer, writerMark: mark})
	}
	data, err := json.Marshal(img)
	if err != nil {
		return 0, 0, nil, err
	}
	return f.next, f.State.Digest(), data, nil
}

// Digest returns the offset of the next record to fold and the digest of the state there.
func (f *Follower) Digest() (record.Offset, uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.next, f.State.Digest()
}

// Restore replaces the state by a snapshot taken at the given offset. A snapshot older than the
// present state is refused, so that no state ever goes back.
func (f *Follower) Restore(offset record.Offset, digest uint64, data []byte) error {
	var img image
	if err := json.Unmarshal(data, &img); err != nil {
		return &RestoreError{Stream: f.Stream, Reason: "malformed", Cause: err}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if offset < f.next {
		return &RestoreError{Stream: f.Stream, Reason: "older than the present state"}
	}
	previous, err := f.State.Snapshot()
	if err != nil {
		return &RestoreError{Stream: f.Stream, Reason: "present state cannot be saved", Cause: err}
	}
	if err := f.State.Restore(img.State); err != nil {
		return &RestoreError{Stream: f.Stream, Reason: "state is malformed", Cause: err}
	}
	if f.State.Digest() != digest {
		// The present state is put back; it was a valid snapshot a moment ago.
		_ = f.State.Restore(previous)
		return &RestoreError{Stream: f.Stream, Reason: "digest differs"}
	}
	f.writers = make(map[record.Writer]writerMark, len(img.Writers))
	for _, writer := range img.Writers {
		f.writers[writer.Writer] = writer.writerMark
	}
	f.next = offset
	f.notifyLocked()
	return nil
}
