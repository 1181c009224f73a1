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
	// appendGap is the least time between two appends of one entry to one stream. Nine entries thus
	// stay under 360 appends a second, within the several hundred that the platform takes.
	appendGap     = 25 * time.Millisecond
	appendTimeout = 3 * time.Second
	batchLimit    = 256
	backlogLimit  = 4096
)

// Appender batches the records of one process in one stream. It keeps one append in flight and
// repeats it with the same ids until it succeeds, because a failed append may have taken effect. Set
// the exported fields before Run.
type Appender struct {
	Log    upstream.Log
	Stream record.Stream
	Writer record.Writer
	Timer  *timer.Service
	Events event.Log

	mu sync.Mutex
	// queue holds records that no append has carried yet.
	queue    []*pending
	sequence record.Sequence
	wake     chan struct{}
}

type pending struct {
	envelope record.Envelope
	// data is the encoded envelope, set when the record gets its sequence.
	data json.RawMessage
	// tried is set while an attempt is in flight or may have taken effect, and ambiguous if that held
	// before the attempt in flight.
	tried, ambiguous bool
	// withdrawn is set only while tried is not.
	withdrawn bool
	done      chan record.Offset
}

// Append queues a record and waits for its offset. When ctx ends first it returns WithdrawnError if no
// append carried the record, in which case it never appears, and PendingError otherwise.
func (a *Appender) Append(ctx context.Context, kind record.Kind, author record.Author, body any) (record.ID, record.Offset, error) {
	data, err := json.Marshal(body)
	if err != nil {
		return record.ID{}, 0, &record.DecodeError{Kind: kind, Cause: err}
	}
	p := &pending{
		envelope: record.Envelope{Kind: kind, Author: author, Body: data},
		done:     make(chan record.Offset, 1),
	}
	if err := a.enqueue(p); err != nil {
		return record.ID{}, 0, err
	}
	select {
	case offset := <-p.done:
		return p.envelope.ID, offset, nil
	case <-ctx.Done():
		return a.abandon(p, ctx.Err())
	}
}

func (a *Appender) enqueue(p *pending) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.queue) >= backlogLimit {
		return &BacklogError{Stream: a.Stream, Limit: backlogLimit}
	}
	a.queue = append(a.queue, p)
	select {
	case a.wakeLocked() <- struct{}{}:
	default:
	}
	return nil
}

func (a *Appender) wakeLocked() chan struct{} {
	if a.wake == nil {
		a.wake = make(chan struct{}, 1)
	}
	return a.wake
}

func (a *Appender) abandon(p *pending, cause error) (record.ID, record.Offset, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if p.tried {
		return p.envelope.ID, 0, &PendingError{Stream: a.Stream, ID: p.envelope.ID, Cause: cause}
	}
	p.withdrawn = true
	return record.ID{}, 0, &WithdrawnError{Stream: a.Stream, Cause: cause}
}

// Run appends queued records until ctx ends.
func (a *Appender) Run(ctx context.Context) error {
	a.mu.Lock()
	wake := a.wakeLocked()
	a.mu.Unlock()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-wake:
		}
		for batch := a.take(); len(batch) > 0; batch = a.take() {
			start := a.Timer.Now()
			if err := a.send(ctx, batch); err != nil {
				return err
			}
			if err := a.Timer.Sleep(ctx, appendGap-a.Timer.Since(start)); err != nil {
				return err
			}
		}
	}
}

// take removes the next batch from the queue and numbers its records.
func (a *Appender) take() []*pending {
	a.mu.Lock()
	defer a.mu.Unlock()
	var batch []*pending
	for len(a.queue) > 0 && len(batch) < batchLimit {
		p := a.queue[0]
		a.queue = a.queue[1:]
		if p.withdrawn {
			continue
		}
		a.numberLocked(p)
		batch = append(batch, p)
	}
	return batch
}

func (a *Appender) numberLocked(p *pending) {
	a.sequence++
	p.envelope.ID = record.ID{Writer: a.Writer, Sequence: a.sequence}
	p.envelope.Time = a.Timer.Now().UTC()
	// The body was encoded before, and the other fields always encode.
	p.data, _ = record.Encode(p.envelope)
}

// send repeats the batch until it is acknowledged or ctx ends. While the log has refused every attempt,
// no record can have taken effect, and records may still be withdrawn.
func (a *Appender) send(ctx context.Context, batch []*pending) error {
	delay := time.Duration(0)
	for {
		batch = a.attempt(batch)
		if len(batch) == 0 {
			return nil
		}
		first, err := a.try(ctx, batch)
		if err == nil {
			acknowledge(batch, first)
			return nil
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if failure.Of(err).Outcome() == failure.OutcomeNotRun {
			a.refused(batch)
		}
		delay = nextDelay(delay)
		a.Events.Warn(eventAppendFailed, "stream", a.Stream, "records", len(batch), "error", err, "delay_ms", delay.Milliseconds())
		if err := a.Timer.Sleep(ctx, delay); err != nil {
			return err
		}
	}
}

// attempt drops the records that were withdrawn and marks the others as tried.
func (a *Appender) attempt(batch []*pending) []*pending {
	a.mu.Lock()
	defer a.mu.Unlock()
	batch = slices.DeleteFunc(batch, func(p *pending) bool { return p.withdrawn })
	for _, p := range batch {
		p.ambiguous = p.tried
		p.tried = true
	}
	return batch
}

// refused takes the mark of an attempt back that the log refused, unless an earlier attempt may have
// taken effect.
func (a *Appender) refused(batch []*pending) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, p := range batch {
		p.tried = p.ambiguous
	}
}

func (a *Appender) try(ctx context.Context, batch []*pending) (record.Offset, error) {
	records := make([]json.RawMessage, len(batch))
	for i, p := range batch {
		records[i] = p.data
	}
	ctx, cancel := a.Timer.WithTimeout(ctx, appendTimeout)
	defer cancel()
	return a.Log.Append(ctx, a.Stream, records)
}

func acknowledge(batch []*pending, first record.Offset) {
	for i, p := range batch {
		p.done <- first + record.Offset(i)
	}
}

// Proposer appends records and reports what the fold did with them.
type Proposer struct {
	Appender *Appender
	Follower *Follower
}

// Propose appends a record, waits until it has been folded, and returns the offset at which it was. A
// record that was not applied is a VerdictError.
func (p *Proposer) Propose(ctx context.Context, kind record.Kind, author record.Author, body any) (record.Offset, error) {
	id, acknowledged, err := p.Appender.Append(ctx, kind, author, body)
	if err != nil {
		return 0, err
	}
	stream := p.Appender.Stream
	if err := p.Follower.Wait(ctx, acknowledged); err != nil {
		return acknowledged, &PendingError{Stream: stream, ID: id, Cause: err}
	}
	offset, verdict, ok := p.Follower.VerdictWithOffset(id)
	if !ok {
		return acknowledged, &PendingError{Stream: stream, ID: id, Cause: &VerdictUnavailableError{ID: id}}
	}
	if verdict.Result != ResultApplied {
		return offset, &VerdictError{Stream: stream, Offset: offset, Verdict: verdict}
	}
	return offset, nil
}
