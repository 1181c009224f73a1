package stream

import (
	"context"
	"encoding/json"
	"slices"
	"sync"
	"time"

	"hibiscuslane.example/hibiscuslane/event"
	"hibiscuslane.example/hibiscuslane/failure"
	"hibiscuslane.example/hibiscuslane/record"
	"hibiscuslane.example/hibiscuslane/timer"
	"hibiscuslane.example/hibiscuslane/upstream"
)

const (
	// minAppendInterval is the least time between the starts of two appends of one entry to one stream.
	// With it, nine entries make at most 360 appends a second to a stream; the platform accepts several hundred.
	minAppendInterval = 25 * time.Millisecond
	// appendTimeout limits one attempt to append a batch.
	appendTimeout = 3 * time.Second
	// withdrawTimeout limits how long a caller that gives up waits for the result of the attempt in flight.
	withdrawTimeout  = 500 * time.Millisecond
	maxBatchRecords  = 256
	maxQueuedRecords = 4096
)

// Appender appends the records of one process to one stream in batches. It has at most one append in flight
// and retries it with the same record ids until it succeeds, because a failed append may have taken
// effect. Set the exported fields before Run.
type Appender struct {
	Log    upstream.Log
	Stream record.Stream
	Writer record.Writer
	Timer  *timer.Service
	Events event.Log

	mu sync.Mutex
	// queue holds the records that are not part of a batch yet.
	queue        []*pendingRecord
	lastSequence record.Sequence
	wake         chan struct{}
}

// pendingRecord is a record whose offset in the stream is not known yet.
type pendingRecord struct {
	envelope record.Envelope
	// encoded is the envelope as JSON. It is set when the record gets its sequence number.
	encoded json.RawMessage
	// maybeAppended is set while an append of the record is in flight or may have taken effect.
	// maybeAppendedBefore is its value before the attempt in flight.
	maybeAppended, maybeAppendedBefore bool
	// attempt is closed at the end of the latest attempt. It is nil before the first one.
	attempt chan struct{}
	// withdrawing is set while a caller that gives up the record waits for the result of the attempt in flight.
	withdrawing bool
	// withdrawn is set when the caller has given up the record, which is possible only while maybeAppended is unset.
	withdrawn    bool
	acknowledged chan record.Offset
}

// Append queues a record and waits for its offset. If ctx ends during an attempt, it waits up to
// withdrawTimeout longer for the result. Without one it returns PendingError if the record may be in the stream.
// Otherwise it withdraws the record, so that it never appears in the
// stream, and returns WithdrawnError. It returns BacklogError at once if the queue is full.
func (a *Appender) Append(ctx context.Context, kind record.Kind, author record.Author, body any) (record.ID, record.Offset, error) {
	data, err := json.Marshal(body)
	if err != nil {
		return record.ID{}, 0, &record.DecodeError{Kind: kind, Cause: err}
	}
	p := &pendingRecord{
		envelope:     record.Envelope{Kind: kind, Author: author, Body: data},
		acknowledged: make(chan record.Offset, 1),
	}
	if err := a.enqueue(p); err != nil {
		return record.ID{}, 0, err
	}
	select {
	case offset := <-p.acknowledged:
		return p.envelope.ID, offset, nil
	case <-ctx.Done():
		return a.withdraw(p, ctx.Err())
	}
}

func (a *Appender) enqueue(p *pendingRecord) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.queue) >= maxQueuedRecords {
		return &BacklogError{Stream: a.Stream, Limit: maxQueuedRecords}
	}
	a.queue = append(a.queue, p)
	select {
	case a.wakeChannelLocked() <- struct{}{}:
	default:
	}
	return nil
}

func (a *Appender) wakeChannelLocked() chan struct{} {
	if a.wake == nil {
		a.wake = make(chan struct{}, 1)
	}
	return a.wake
}

// withdraw gives up a record whose caller no longer waits, unless an append may already have stored it. An attempt
// in flight may still be refused, and a refused record is not attempted again.
func (a *Appender) withdraw(p *pendingRecord, cause error) (record.ID, record.Offset, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if attempt := p.attempt; p.maybeAppended && !p.maybeAppendedBefore {
		p.withdrawing = true
		a.mu.Unlock()
		select {
		case <-attempt:
		case <-a.Timer.After(withdrawTimeout):
		}
		a.mu.Lock()
		p.withdrawing = false
	}
	select {
	case offset := <-p.acknowledged:
		return p.envelope.ID, offset, nil
	default:
	}
	if p.maybeAppended {
		return p.envelope.ID, 0, &PendingError{Stream: a.Stream, ID: p.envelope.ID, Cause: cause}
	}
	p.withdrawn = true
	return record.ID{}, 0, &WithdrawnError{Stream: a.Stream, Cause: cause}
}

// Run appends queued records until ctx ends.
func (a *Appender) Run(ctx context.Context) error {
	a.mu.Lock()
	wake := a.wakeChannelLocked()
	a.mu.Unlock()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-wake:
		}
		for batch := a.nextBatch(); len(batch) > 0; batch = a.nextBatch() {
			start := a.Timer.Now()
			if err := a.appendBatch(ctx, batch); err != nil {
				return err
			}
			if err := a.Timer.Sleep(ctx, minAppendInterval-a.Timer.Since(start)); err != nil {
				return err
			}
		}
	}
}

// nextBatch removes the next batch from the queue, skips withdrawn records and assigns ids to the others.
func (a *Appender) nextBatch() []*pendingRecord {
	a.mu.Lock()
	defer a.mu.Unlock()
	var batch []*pendingRecord
	for len(a.queue) > 0 && len(batch) < maxBatchRecords {
		p := a.queue[0]
		a.queue = a.queue[1:]
		if p.withdrawn {
			continue
		}
		a.assignIDLocked(p)
		batch = append(batch, p)
	}
	return batch
}

func (a *Appender) assignIDLocked(p *pendingRecord) {
	a.lastSequence++
	p.envelope.ID = record.ID{Writer: a.Writer, Sequence: a.lastSequence}
	p.envelope.Time = a.Timer.Now().UTC()
	// The body is already valid JSON, and encoding the other fields cannot fail.
	p.encoded, _ = record.Encode(p.envelope)
}

// appendBatch retries the batch until it is acknowledged or ctx ends. As long as the log has refused
// every attempt, no record can be in the stream and records may still be withdrawn.
func (a *Appender) appendBatch(ctx context.Context, batch []*pendingRecord) error {
	delay := time.Duration(0)
	for {
		batch = a.beginAttempt(batch)
		if len(batch) == 0 {
			return nil
		}
		firstOffset, err := a.appendOnce(ctx, batch)
		if err == nil {
			acknowledgeBatch(batch, firstOffset)
			a.endAttempt(batch, false)
			return nil
		}
		a.endAttempt(batch, failure.Of(err).Outcome() == failure.OutcomeNotRun)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		delay = nextBackoff(delay)
		a.Events.Warn(eventAppendFailed, "stream", a.Stream, "records", len(batch), "error", err, "delay_ms", delay.Milliseconds())
		if err := a.Timer.Sleep(ctx, delay); err != nil {
			return err
		}
	}
}

// beginAttempt drops the withdrawn records of a batch and marks the others as possibly appended.
func (a *Appender) beginAttempt(batch []*pendingRecord) []*pendingRecord {
	a.mu.Lock()
	defer a.mu.Unlock()
	batch = slices.DeleteFunc(batch, func(p *pendingRecord) bool { return p.withdrawn })
	attempt := make(chan struct{})
	for _, p := range batch {
		p.maybeAppendedBefore = p.maybeAppended
		p.maybeAppended = true
		p.attempt = attempt
	}
	return batch
}

// endAttempt ends the attempt in flight. If the log has refused it, the marks of beginAttempt are undone, and the
// records whose callers are giving up are withdrawn. Records that an earlier attempt may have appended stay marked.
func (a *Appender) endAttempt(batch []*pendingRecord, refused bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, p := range batch {
		if refused {
			p.maybeAppended = p.maybeAppendedBefore
			p.withdrawn = p.withdrawing && !p.maybeAppended
		}
	}
	// The records of a batch share the channel.
	close(batch[0].attempt)
}

func (a *Appender) appendOnce(ctx context.Context, batch []*pendingRecord) (record.Offset, error) {
	records := make([]json.RawMessage, len(batch))
	for i, p := range batch {
		records[i] = p.encoded
	}
	ctx, cancel := a.Timer.WithTimeout(ctx, appendTimeout)
	defer cancel()
	return a.Log.Append(ctx, a.Stream, records)
}

func acknowledgeBatch(batch []*pendingRecord, firstOffset record.Offset) {
	for i, p := range batch {
		p.acknowledged <- firstOffset + record.Offset(i)
	}
}

// Proposer appends records and returns their verdicts.
type Proposer struct {
	Appender *Appender
	Follower *Follower
}

// Propose appends a record, waits until the follower has processed it, and returns its offset. It
// returns VerdictError if the record was not applied to the state.
func (p *Proposer) Propose(ctx context.Context, kind record.Kind, author record.Author, body any) (record.Offset, error) {
	id, ackOffset, err := p.Appender.Append(ctx, kind, author, body)
	if err != nil {
		return 0, err
	}
	stream := p.Appender.Stream
	if err := p.Follower.Wait(ctx, ackOffset); err != nil {
		return ackOffset, &PendingError{Stream: stream, ID: id, Cause: err}
	}
	offset, verdict, ok := p.Follower.VerdictWithOffset(id)
	if !ok {
		return ackOffset, &PendingError{Stream: stream, ID: id, Cause: &VerdictUnavailableError{ID: id}}
	}
	if verdict.Result != ResultApplied {
		return offset, &VerdictError{Stream: stream, Offset: offset, Verdict: verdict}
	}
	return offset, nil
}
