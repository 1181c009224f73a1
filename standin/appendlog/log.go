// Package appendlog emulates the platform's append-only log in memory, with limited retention and
// faults.
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
	DefaultMax = 500
	maxWait    = 30 * time.Second
	// maxBytes bounds the records of one answer, because clients refuse answers above 64 MiB. One
	// record is always returned.
	maxBytes = 8 << 20
)

// Retention bounds what each stream keeps.
type Retention struct {
	// Records is the number of newest records kept; 0 means no bound.
	Records int
	// Age is the age up to which records are kept; 0 means no bound.
	Age time.Duration
}

// Faults are the fault switches of the log.
type Faults struct {
	// Down refuses appends and reads, and ends waiting reads.
	Down bool `json:"down"`
	// Slow delays appends and reads by this number of milliseconds before they take effect.
	Slow int64 `json:"slow"`
	// Lose is the number of next appends whose answer is lost after the effect.
	Lose int `json:"lose"`
	// Rate is the number of appends a second above which appends are refused; 0 means no limit.
	Rate float64 `json:"rate"`
}

// Count is the number of calls and records of one stream.
type Count struct {
	Appends int `json:"appends"`
	Reads   int `json:"reads"`
	Records int `json:"records"`
}

// Log is an append-only log with several streams. It implements upstream.Log and, through Handler,
// the HTTP protocol.
type Log struct {
	retention Retention
	timer     *timer.Service
	ctx       context.Context
	cancel    context.CancelFunc

	mu      sync.Mutex
	streams map[record.Stream]*stream
	faults  Faults
	limiter *rate.Limiter
}

type stream struct {
	// first is the offset of records[0]; it never decreases.
	first   record.Offset
	records []stored
	count   Count
	// changed is closed when a record is appended or a fault switch changes.
	changed chan struct{}
}

type stored struct {
	body json.RawMessage
	at   time.Time
}

func (s *stream) next() record.Offset { return s.first + record.Offset(len(s.records)) }

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

// Close ends all waiting calls.
func (l *Log) Close() { l.cancel() }

// Faults returns the present fault switches.
func (l *Log) Faults() Faults {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.faults
}

// SetFaults replaces the fault switches.
func (l *Log) SetFaults(f Faults) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if f.Rate != l.faults.Rate {
		l.limiter = nil
	}
	if f.Rate > 0 && l.limiter == nil {
		l.limiter = rate.NewLimiter(rate.Limit(f.Rate), max(1, int(f.Rate)))
	}
	l.faults = f
	for _, s := range l.streams {
		s.notify()
	}
}

// Fault changes the switches that the JSON object names and leaves the others as they are.
func (l *Log) Fault(data []byte) error {
	f := l.Faults()
	if err := reply.Strict("fault of the log", data, &f); err != nil {
		return err
	}
	l.SetFaults(f)
	return nil
}

// Counts returns the calls and records per stream since the start.
func (l *Log) Counts() map[record.Stream]Count {
	l.mu.Lock()
	defer l.mu.Unlock()
	counts := make(map[record.Stream]Count, len(l.streams))
	for name, s := range l.streams {
		counts[name] = s.count
	}
	return counts
}

// Append implements upstream.Log. An append that was received takes effect even if ctx ends while
// the log is slow, as it would in a remote store.
func (l *Log) Append(ctx context.Context, name record.Stream, records []json.RawMessage) (record.Offset, error) {
	call := "append to " + string(name)
	if len(records) == 0 {
		return 0, reply.Invalid(call, "no records")
	}
	if err := l.delay(call); err != nil {
		return 0, err
	}
	first, lost, err := l.add(call, name, records)
	if err != nil {
		return 0, err
	}
	if lost {
		return 0, &upstream.CallError{Call: call, Cause: &LostError{}}
	}
	if err := ctx.Err(); err != nil {
		return 0, &upstream.CallError{Call: call, Cause: err}
	}
	return first, nil
}

func (l *Log) delay(call string) error {
	f := l.Faults()
	if f.Down {
		return down(call)
	}
	if err := l.timer.Sleep(l.ctx, time.Duration(f.Slow)*time.Millisecond); err != nil {
		return &upstream.CallError{Call: call, Cause: err}
	}
	return nil
}

func down(call string) error { return reply.Refuse(call, upstream.RefusedDown, "the log is down") }

func (l *Log) add(call string, name record.Stream, records []json.RawMessage) (record.Offset, bool, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.timer.Now()
	if l.faults.Down {
		return 0, false, down(call)
	}
	if l.limiter != nil && !l.limiter.AllowN(now, 1) {
		return 0, false, reply.Refuse(call, upstream.RefusedFull, "the append rate limit is reached")
	}
	s := l.streamLocked(name)
	first := s.next()
	for _, body := range records {
		s.records = append(s.records, stored{body: bytes.Clone(body), at: now})
	}
	s.count.Appends++
	s.count.Records += len(records)
	l.trimLocked(s)
	s.notify()
	lost := l.faults.Lose > 0
	if lost {
		l.faults.Lose--
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

// trimLocked drops the records past the retention window.
func (l *Log) trimLocked(s *stream) {
	drop := 0
	if l.retention.Records > 0 {
		drop = max(0, len(s.records)-l.retention.Records)
	}
	if l.retention.Age > 0 {
		oldest := l.timer.Now().Add(-l.retention.Age)
		for drop < len(s.records) && s.records[drop].at.Before(oldest) {
			drop++
		}
	}
	clear(s.records[:drop])
	s.records = s.records[drop:]
	s.first += record.Offset(drop)
}

// notify wakes the readers that wait for a record.
func (s *stream) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// Read implements upstream.Log.
func (l *Log) Read(ctx context.Context, name record.Stream, from record.Offset, limit int, wait time.Duration) (upstream.Batch, error) {
	call := "read of " + string(name)
	if from < 0 || limit <= 0 || wait < 0 {
		return upstream.Batch{}, reply.Invalid(call, "from and wait must not be negative, max must be positive")
	}
	if err := l.delay(call); err != nil {
		return upstream.Batch{}, err
	}
	var deadline <-chan time.Time
	for {
		batch, changed, err := l.take(call, name, from, limit, deadline == nil)
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

func (l *Log) take(call string, name record.Stream, from record.Offset, limit int, count bool) (upstream.Batch, <-chan struct{}, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.faults.Down {
		return upstream.Batch{}, nil, down(call)
	}
	s := l.streamLocked(name)
	if count {
		s.count.Reads++
	}
	l.trimLocked(s)
	if from < s.first {
		return upstream.Batch{}, nil, &upstream.ExpiredError{Call: call}
	}
	batch := upstream.Batch{OldestOffset: s.first, NextOffset: s.next(), Records: []upstream.StoredRecord{}}
	size := 0
	for offset := from; offset < s.next() && len(batch.Records) < limit; offset++ {
		body := s.records[offset-s.first].body
		size += len(body)
		if size > maxBytes && len(batch.Records) > 0 {
			break
		}
		batch.Records = append(batch.Records, upstream.StoredRecord{Offset: offset, Body: body})
	}
	return batch, s.changed, nil
}
