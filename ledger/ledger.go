// Package ledger keeps jobs in the platform's store. One process at a time writes: its epoch fences the
// appends of earlier writers, and its sequence numbers make repeated appends harmless.
package ledger

import (
	"context"
	"sync"
	"time"

	"hibiscuslane.example/hibiscuslane/event"
	"hibiscuslane.example/hibiscuslane/platform"
	"hibiscuslane.example/hibiscuslane/timer"
)

const (
	// TopicJobs holds all jobs. Its records are keyed, so the newest of each key lasts.
	TopicJobs platform.Topic = "keyed.job"
	// Partitions is the number of partitions among which the ledger of jobs moves; the platform has 32 of a topic.
	Partitions = 8

	producer = "owner"
	// appendTimeout bounds one call. The store answers in 4 ms, and in about 0.4 s when it is slow.
	appendTimeout = 1200 * time.Millisecond
	// retryDelay is the pause before a failed append is repeated.
	retryDelay = 100 * time.Millisecond
	// withdrawAfter is how long the store may refuse an append before writes are withdrawn that may be. A
	// caller that is refused early can still be served by a repeat.
	withdrawAfter = 300 * time.Millisecond
	// moveAfter is how long an append may go without an answer before the ledger moves to another partition. A
	// move in time spares callers the refusal.
	moveAfter = 250 * time.Millisecond
	// probeTimeout bounds the first call to another partition, moveTries the partitions that are tried before
	// the own one is tried again: when all are away, that one must not wait for them.
	probeTimeout = 250 * time.Millisecond
	moveTries    = 2
	// maxBytes bounds the records of one append; the store takes 2 MB.
	maxBytes = 1 << 20
)

// Store is the part of the platform's store that the ledger uses.
type Store interface {
	Append(ctx context.Context, topic platform.Topic, part int, producer platform.Producer, records []platform.Record) error
	Newest(ctx context.Context, topic platform.Topic, part int) ([]platform.Record, platform.Offset, error)
}

// Callback receives the outcome of a write: nil once it is stored. After an error the write may still be
// stored, unless the error says that it was refused.
type Callback func(error)

// write is a set of records that is stored whole.
type write struct {
	records []platform.Record
	done    Callback
	// optional writes are withdrawn while the store does not take them.
	optional bool
}

// Ledger writes records in the order in which they are given. Open returns one that may write.
type Ledger struct {
	store Store
	topic platform.Topic
	// part is the partition that holds the ledger. Only Run changes it.
	part  int
	clock *timer.Service
	log   event.Log
	epoch platform.Epoch
	// mover moves the ledger; nil if it stays.
	mover PartitionOwner
	// visited are the partitions that this ledger has written to. It never returns to one: an append without an
	// answer may still be carried out there, and would take the sequence number of a later one.
	visited map[int]bool

	mu      sync.Mutex
	pending []write
	err     error // set once no more can be written
	wake    chan struct{}
	next    platform.Sequence
	// Stalled is when the oldest append that has no answer was first sent; zero if there is none.
	stalled time.Time
}

// Open fences earlier writers of a partition and returns its ledger with all stored records.
func Open(ctx context.Context, store Store, topic platform.Topic, part int, epoch platform.Epoch, clock *timer.Service, log event.Log) (*Ledger, []platform.Record, error) {
	l := &Ledger{store: store, topic: topic, part: part, clock: clock, log: log, epoch: epoch, wake: make(chan struct{}, 1), visited: map[int]bool{part: true}}
	records, err := l.open(ctx, appendTimeout)
	if err != nil {
		return nil, nil, err
	}
	return l, records, nil
}

// open fences the partition and returns what it holds.
func (l *Ledger) open(ctx context.Context, bound time.Duration) ([]platform.Record, error) {
	call, cancel := l.clock.WithTimeout(ctx, bound)
	defer cancel()
	if err := l.send(call, nil); err != nil {
		return nil, err
	}
	call, cancel = l.clock.WithTimeout(ctx, 2*appendTimeout)
	defer cancel()
	records, _, err := l.store.Newest(call, l.topic, l.part)
	return records, err
}

// send appends once, with the next sequence number.
func (l *Ledger) send(ctx context.Context, records []platform.Record) error {
	call, cancel := l.clock.WithTimeout(ctx, appendTimeout)
	defer cancel()
	p := platform.Producer{Name: producer, Epoch: l.epoch, Sequence: l.next}
	sent := l.clock.Now()
	err := l.store.Append(call, l.topic, l.part, p, records)
	if err == nil && l.mover != nil {
		l.mover.RecordAppend(sent)
	}
	return err
}

// Write stores records, all or none, and calls done from another goroutine. Without records, done is called
// once all earlier writes are stored.
func (l *Ledger) Write(records []platform.Record, done Callback) {
	l.add(write{records: records, done: done})
}

// TryWrite is a Write that may be withdrawn: if the store does not take it for a while, and it certainly is
// not stored, done is called with an error for which IsNotSent holds, and it never will be stored.
func (l *Ledger) TryWrite(records []platform.Record, done Callback) {
	l.add(write{records: records, done: done, optional: true})
}

func (l *Ledger) add(w write) {
	done := w.done
	l.mu.Lock()
	err := l.err
	if err == nil {
		l.pending = append(l.pending, w)
	}
	l.mu.Unlock()
	if err != nil {
		if done != nil {
			go done(&NotStoredError{Cause: err})
		}
		return
	}
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// StalledFor returns how long the oldest append has been without an answer.
func (l *Ledger) StalledFor() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.stalled.IsZero() {
		return 0
	}
	return l.clock.Since(l.stalled)
}

// flushPoll is the time between looks at the writes that are left.
const flushPoll = 5 * time.Millisecond

// Flush waits until all writes have an outcome, or ctx ends.
func (l *Ledger) Flush(ctx context.Context) {
	for l.left() && l.clock.Sleep(ctx, flushPoll) == nil {
	}
}

func (l *Ledger) left() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.pending) > 0 || !l.stalled.IsZero()
}

// Run appends until ctx ends or a later writer has taken over. It then fails all writes that are left and
// returns the error.
func (l *Ledger) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return l.close(nil, ctx.Err())
		case <-l.wake:
		}
		for {
			batch := l.take()
			if len(batch) == 0 {
				break
			}
			if err := l.append(ctx, batch); err != nil {
				return l.close(batch, err)
			}
		}
	}
}

// take returns the writes of the next append.
func (l *Ledger) take() []write {
	l.mu.Lock()
	defer l.mu.Unlock()
	size, n := 0, 0
	for n < len(l.pending) && (n == 0 || size < maxBytes) {
		for _, r := range l.pending[n].records {
			size += len(r.Key) + len(r.Value)
		}
		n++
	}
	batch := l.pending[:n:n]
	l.pending = l.pending[n:]
	if n > 0 {
		l.stalled = l.clock.Now()
	}
	return batch
}

// append stores a batch. It repeats the append until the store has answered it.
func (l *Ledger) append(ctx context.Context, batch []write) error {
	records := recordsOf(batch)
	if len(records) == 0 {
		l.settle(batch)
		return nil
	}
	l.next++
	certain := true // no try of this batch can have been stored
	for try := 1; ; try++ {
		err := l.send(ctx, records)
		if err == nil {
			break
		}
		certain = certain && platform.IsRefused(err)
		if expected, ok := platform.ExpectedSequence(err); ok {
			l.log.Info(eventExpected, "try", try, "sequence", l.next, "expected", expected)
			if expected > l.next {
				break // an earlier try was stored
			}
			l.next = expected
			continue
		}
		if platform.IsFenced(err) || ctx.Err() != nil {
			return err
		}
		l.log.Warn(eventRepeat, "try", try, "records", len(records), "error", err)
		if l.StalledFor() > moveAfter && l.move(ctx) {
			l.next++
			certain = true // what the former partition stores does not count any more
			continue
		}
		if l.StalledFor() > withdrawAfter {
			if l.withdraw(); certain {
				batch = l.required(batch, err)
				records = recordsOf(batch)
			}
		}
		if err := l.clock.Sleep(ctx, retryDelay); err != nil {
			return err
		}
	}
	l.settle(batch)
	return nil
}

func recordsOf(batch []write) []platform.Record {
	var records []platform.Record
	for _, w := range batch {
		records = append(records, w.records...)
	}
	return records
}

// withdraw withdraws the optional writes that wait behind the append on its way.
func (l *Ledger) withdraw() {
	l.mu.Lock()
	pending := l.pending
	l.pending = nil
	l.mu.Unlock()
	pending = l.required(pending, nil)
	l.mu.Lock()
	l.pending = append(pending, l.pending...)
	l.mu.Unlock()
}

// required withdraws the optional writes of a list and returns the others.
func (l *Ledger) required(list []write, cause error) []write {
	var left []write
	for _, w := range list {
		if !w.optional {
			left = append(left, w)
			continue
		}
		w.done(&NotStoredError{Cause: cause})
	}
	return left
}

// settle tells the outcome of a batch that is stored.
func (l *Ledger) settle(batch []write) {
	l.mu.Lock()
	l.stalled = time.Time{}
	l.mu.Unlock()
	for _, w := range batch {
		if w.done != nil {
			w.done(nil)
		}
	}
}

func (l *Ledger) close(batch []write, err error) error {
	l.mu.Lock()
	rest := append(batch, l.pending...)
	l.pending = nil
	l.err = err
	l.mu.Unlock()
	for i, w := range rest {
		if w.done == nil {
			continue
		}
		if i < len(batch) {
			w.done(&UncertainError{Cause: err})
			continue
		}
		w.done(&NotStoredError{Cause: err})
	}
	return err
}
