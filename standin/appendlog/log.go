// Package appendlog emulates the platform's append-only log in memory, with limited retention and
// injected faults.
package appendlog

import (
	"bytes"
	"context"
	"encoding/json"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"hibiscuslane.example/hibiscuslane/record"
	"hibiscuslane.example/hibiscuslane/standin/reply"
	"hibiscuslane.example/hibiscuslane/timer"
	"hibiscuslane.example/hibiscuslane/upstream"
)

// Limits of one read.
const (
	DefaultReadLimit = 500              // records
	maxWait          = 30 * time.Second // longer wait times are reduced to it
	// maxReadBytes bounds the records of one response, because clients refuse responses above 64 MiB.
	// A read returns its first record even if that record alone is larger.
	maxReadBytes = 8 << 20
)

// Retention bounds the records that each stream keeps.
type Retention struct {
	// MaxRecords is the maximum number of records; 0 means no bound.
	MaxRecords int
	// MaxAge is the maximum age of a record; 0 means no bound.
	MaxAge time.Duration
}

// Faults are the faults that can be injected into the log.
type Faults struct {
	// Down refuses appends and reads, including reads that already wait.
	Down bool `json:"down"`
	// DelayMS is the delay in milliseconds before an append or read takes effect.
	DelayMS int64 `json:"slow"`
	// LostResponses is the number of upcoming appends that take effect but whose response is lost.
	LostResponses int `json:"lose"`
	// MaxAppendRate is the maximum number of appends per second; further ones are refused. The appends of one
	// second, or a single one if the rate is lower, may come in a burst. 0 means no limit.
	MaxAppendRate float64 `json:"rate"`
}

// StreamCounters holds the numbers of successful appends, of reads and of appended records of a stream.
type StreamCounters struct {
	Appends int `json:"appends"`
	Reads   int `json:"reads"`
	Records int `json:"records"`
}

// Log is an append-only log with several streams. It implements upstream.Log and, through the handlers
// that RegisterHandlers adds, the HTTP protocol.
type Log struct {
	retention Retention
	timer     *timer.Service
	ctx       context.Context // ends when the log is closed
	cancel    context.CancelFunc

	mu      sync.Mutex
	streams map[record.Stream]*stream
	faults  Faults
	limiter *rate.Limiter
}

type stream struct {
	// firstOffset is the offset of records[0]; it never decreases.
	firstOffset record.Offset
	records     []storedRecord
	counters    StreamCounters
	// changed is closed and replaced when records are appended or the faults change.
	changed chan struct{}
}

type storedRecord struct {
	body     json.RawMessage
	storedAt time.Time
}

func (s *stream) nextOffset() record.Offset { return s.firstOffset + record.Offset(len(s.records)) }

// New returns an empty log.
func New(retention Retention, service *timer.Service) *Log {
	ctx, cancel := context.WithCancel(context.Background())
	return &Log{
		retention: retention,
		timer:     service,
		ctx:       ctx,
		cancel:    cancel,
		streams:   map[record.Stream]*stream{},
	}
}

// Close aborts all waiting and delayed calls.
func (l *Log) Close() { l.cancel() }

// Faults returns the current faults.
func (l *Log) Faults() Faults {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.faults
}

// SetFaults replaces the current faults.
func (l *Log) SetFaults(f Faults) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if f.MaxAppendRate != l.faults.MaxAppendRate {
		l.limiter = nil
	}
	if f.MaxAppendRate > 0 && l.limiter == nil {
		l.limiter = rate.NewLimiter(rate.Limit(f.MaxAppendRate), max(1, int(f.MaxAppendRate)))
	}
	l.faults = f
	for _, s := range l.streams {
		s.notifyReaders()
	}
}

// PatchFaults sets the faults that the JSON object contains and leaves the others unchanged.
func (l *Log) PatchFaults(data []byte) error {
	f := l.Faults()
	if err := reply.DecodeStrict("fault of the log", data, &f); err != nil {
		return err
	}
	l.SetFaults(f)
	return nil
}

// Counters returns the counters of each stream since the start.
func (l *Log) Counters() map[record.Stream]StreamCounters {
	l.mu.Lock()
	defer l.mu.Unlock()
	counters := make(map[record.Stream]StreamCounters, len(l.streams))
	for name, s := range l.streams {
		counters[name] = s.counters
	}
	return counters
}

// Append implements upstream.Log. A received append takes effect even if ctx ends during an injected
// delay, as it would in a remote store.
func (l *Log) Append(ctx context.Context, name record.Stream, records []json.RawMessage) (record.Offset, error) {
	call := "append to " + string(name)
	if len(records) == 0 {
		return 0, reply.Invalid(call, "no records")
	}
	if err := l.awaitDelay(call); err != nil {
		return 0, err
	}
	first, lost, err := l.appendRecords(call, name, records)
	if err != nil {
		return 0, err
	}
	if lost {
		return 0, &upstream.CallError{Call: call, Cause: &ResponseLostError{}}
	}
	if err := ctx.Err(); err != nil {
		return 0, &upstream.CallError{Call: call, Cause: err}
	}
	return first, nil
}

// awaitDelay waits for the injected delay. It refuses the call if the log is down before the delay.
func (l *Log) awaitDelay(call string) error {
	f := l.Faults()
	if f.Down {
		return refuseDown(call)
	}
	if err := l.timer.Sleep(l.ctx, time.Duration(f.DelayMS)*time.Millisecond); err != nil {
		return &upstream.CallError{Call: call, Cause: err}
	}
	return nil
}

func refuseDown(call string) error {
	return reply.Refuse(call, upstream.RefusedDown, "the log is down")
}

// appendRecords appends records and returns the offset of the first one, and whether the response must be lost.
func (l *Log) appendRecords(call string, name record.Stream, records []json.RawMessage) (record.Offset, bool, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.timer.Now()
	if l.faults.Down {
		return 0, false, refuseDown(call)
	}
	if l.limiter != nil && !l.limiter.AllowN(now, 1) {
		return 0, false, reply.Refuse(call, upstream.RefusedFull, "the append rate limit is reached")
	}
	s := l.streamLocked(name)
	first := s.nextOffset()
	for _, body := range records {
		s.records = append(s.records, storedRecord{body: bytes.Clone(body), storedAt: now})
	}
	s.counters.Appends++
	s.counters.Records += len(records)
	l.trimLocked(s)
	s.notifyReaders()
	lost := l.faults.LostResponses > 0
	if lost {
		l.faults.LostResponses--
	}
	return first, lost, nil
}

func (l *Log) streamLocked(name record.Stream) *stream {
	s, ok := l.streams[name]
	if !ok {
		s = &stream{changed: make(chan struct{})}
		l.streams[name] = s
	}
	return s
}

// trimLocked drops the records outside the retention window.
func (l *Log) trimLocked(s *stream) {
	drop := 0
	if l.retention.MaxRecords > 0 {
		drop = max(0, len(s.records)-l.retention.MaxRecords)
	}
	if l.retention.MaxAge > 0 {
		oldest := l.timer.Now().Add(-l.retention.MaxAge)
		for drop < len(s.records) && s.records[drop].storedAt.Before(oldest) {
			drop++
		}
	}
	clear(s.records[:drop])
	s.records = s.records[drop:]
	s.firstOffset += record.Offset(drop)
}

// notifyReaders wakes the reads that wait for records.
func (s *stream) notifyReaders() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// Read implements upstream.Log. The wait time starts after an injected delay.
func (l *Log) Read(ctx context.Context, name record.Stream, from record.Offset, limit int, wait time.Duration) (upstream.Batch, error) {
	call := "read of " + string(name)
	if from < 0 || limit <= 0 || wait < 0 {
		return upstream.Batch{}, reply.Invalid(call, "from and wait must not be negative, max must be positive")
	}
	if err := l.awaitDelay(call); err != nil {
		return upstream.Batch{}, err
	}
	var deadline <-chan time.Time
	for {
		batch, changed, err := l.readBatch(call, name, from, limit, deadline == nil)
		if err != nil || len(batch.Records) > 0 || wait == 0 {
			return batch, err
		}
		if deadline == nil {
			deadline = l.timer.After(min(wait, maxWait))
		}
		select {
		case <-changed:
		case <-deadline:
			return batch, nil
		case <-l.ctx.Done():
			return upstream.Batch{}, &upstream.CallError{Call: call, Cause: l.ctx.Err()}
		case <-ctx.Done():
			return upstream.Batch{}, &upstream.CallError{Call: call, Cause: ctx.Err()}
		}
	}
}

// readBatch returns the available records from an offset on, and a channel that is closed at the next change.
// Read sets countRead only in its first call, so that a read that waits is counted once.
func (l *Log) readBatch(call string, name record.Stream, from record.Offset, limit int, countRead bool) (upstream.Batch, <-chan struct{}, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.faults.Down {
		return upstream.Batch{}, nil, refuseDown(call)
	}
	s := l.streamLocked(name)
	if countRead {
		s.counters.Reads++
	}
	l.trimLocked(s)
	if from < s.firstOffset {
		return upstream.Batch{}, nil, &upstream.ExpiredError{Call: call}
	}
	batch := upstream.Batch{OldestOffset: s.firstOffset, NextOffset: s.nextOffset(), Records: []upstream.StoredRecord{}}
	size := 0
	for offset := from; offset < s.nextOffset() && len(batch.Records) < limit; offset++ {
		body := s.records[offset-s.firstOffset].body
		size += len(body)
		if size > maxReadBytes && len(batch.Records) > 0 {
			break
		}
		batch.Records = append(batch.Records, upstream.StoredRecord{Offset: offset, Body: body})
	}
	return batch, s.changed, nil
}
