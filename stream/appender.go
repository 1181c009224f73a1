package stream

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"hibiscuslane.example/hibiscuslane/event"
	"hibiscuslane.example/hibiscuslane/platform"
	"hibiscuslane.example/hibiscuslane/record"
	"hibiscuslane.example/hibiscuslane/timer"
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
	Log    platform.Log
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
	data      json.RawMessage
	tried     bool
	withdrawn bool
	done      chan record.Offset
}

// Append queues a record and waits for its offset. When ctx ends first it returns OutageError if no
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
	return record.ID{}, 0, &OutageError{Stream: a.Stream, Cause: cause}
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
	p.tried = true
	// The body was encoded before, and the other fields always encode.
	p.data, _ = record.Encode(p.envelope)
}

// send repeats the batch until it is acknowledged or ctx ends.
func (a *Appender) send(ctx context.Context, batch []*pending) error {
	records := make([]json.RawMessage, len(batch))
	for i, p := range batch {
		records[i] = p.data
	}
	delay := time.Duration(0)
	for {
		first, err := a.try(ctx, records)
		if err == nil {
			acknowledge(batch, first)
			return nil
		}
		if ctx.Err() != nil {
			return ctx.Err()
		}
		delay = nextDelay(delay)
		a.Events.Warn(eventAppendFailed, "stream", a.Stream, "records", len(batch), "error", err, "delay_ms", delay.Milliseconds())
		if err := a.Timer.Sleep(ctx, delay); err != nil {
			return err
		}
	}
}

func (a *Appender) try(ctx context.Context, records []json.RawMessage) (record.Offset, error) {
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
	offset, verdict, ok := p.Follower.Folded(id)
	if !ok {
		return acknowledged, &PendingError{Stream: stream, ID: id, Cause: &ForgottenError{ID: id}}
	}
	if verdict.Result != ResultApplied {
		return offset, &VerdictError{Stream: stream, Offset: offset, Verdict: verdict}
	}
	return offset, nil
}

// Waiting returns the number of records that no append has carried yet.
func (a *Appender) Waiting() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.queue)
}
