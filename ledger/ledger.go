// Package ledger keeps the jobs, waves and machine orders of "hibiscuslane run" in the platform's store. Only one
// process writes at a time: its epoch fences appends of earlier writers, and its sequence numbers make retried
// appends idempotent. Package stream writes the state of "hibiscuslane serve", where every entry may append.
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
	// TopicJobs holds all jobs. Its records are keyed, and the store keeps the newest record of each key.
	TopicJobs platform.Topic = "keyed.job"
	// Partitions is the number of partitions between which the ledger of jobs moves. The platform has 32 per
	// topic.
	Partitions = 8

	// producerName is the same for all owners, so that a higher epoch fences the appends of earlier owners.
	producerName = "owner"
	// appendTimeout bounds one append. The store answers in 4 ms, or in about 0.4 s when it is slow.
	appendTimeout = 1200 * time.Millisecond
	// retryDelay is the pause before a failed append is retried.
	retryDelay = 100 * time.Millisecond
	// withdrawAfter is how long an append may stay unconfirmed before optional writes are withdrawn. A caller
	// that is refused early still has time to retry.
	withdrawAfter = 300 * time.Millisecond
	// moveAfter is how long an append may stay unconfirmed before the ledger moves to another partition. Moving
	// before withdrawAfter spares callers the refusal.
	moveAfter = 250 * time.Millisecond
	// probeTimeout bounds the first call to another partition. maxMoveAttempts is the number of partitions
	// that are tried before the current one is retried, which must not wait for the others when all are
	// unavailable.
	probeTimeout    = 250 * time.Millisecond
	maxMoveAttempts = 2
	// slowAppendTime is the duration from which an append is logged.
	slowAppendTime = 200 * time.Millisecond
	// maxAppendBytes is the size at which nothing more is added to an append, which may exceed it by the last write.
	// The store accepts up to 2 MB, but a large append of a busy owner may not end within appendTimeout, and it is
	// repeated as it is.
	maxAppendBytes = 128 << 10
)

// Store is the part of the platform's store that the ledger uses.
type Store interface {
	Append(ctx context.Context, topic platform.Topic, partition int, producer platform.Producer, records []platform.Record) error
	Newest(ctx context.Context, topic platform.Topic, partition int) ([]platform.Record, platform.Offset, error)
}

// Callback receives the outcome of a write: nil once it is stored. After an error the write may still be
// stored, unless IsNotStored holds for the error.
type Callback func(error)

// write is a set of records that are stored atomically.
type write struct {
	records  []platform.Record
	callback Callback
	// optional writes are withdrawn while the store does not accept them.
	optional bool
	queuedAt time.Time
}

// Ledger stores records in the order in which they are written. Use Open to create one.
type Ledger struct {
	store Store
	topic platform.Topic
	// partition holds the ledger. Only Run changes it.
	partition int
	clock     *timer.Service
	log       event.Log
	epoch     platform.Epoch
	// partitionOwner provides the snapshot for a move and publishes the new partition; nil if the ledger does not
	// move.
	partitionOwner PartitionOwner
	// usedPartitions are the partitions that this ledger has written to. It never returns to one of them: an
	// unanswered append may still take effect there and use the sequence number of a later one.
	usedPartitions map[int]bool

	mu        sync.Mutex
	pending   []write
	closedErr error // set once nothing more can be written
	wake      chan struct{}
	// sequence is the sequence number of the last append. Only Open and Run use it, without the lock.
	sequence platform.Sequence
	// stalledSince is when the current append was first sent; zero once it has an outcome. oldestSent is when
	// its first write was queued.
	stalledSince, oldestSent time.Time
}

// Open fences earlier writers of a partition and returns its ledger together with all stored records.
func Open(ctx context.Context, store Store, topic platform.Topic, partition int, epoch platform.Epoch, clock *timer.Service, log event.Log) (*Ledger, []platform.Record, error) {
	l := &Ledger{store: store, topic: topic, partition: partition, clock: clock, log: log, epoch: epoch, wake: make(chan struct{}, 1), usedPartitions: map[int]bool{partition: true}}
	records, err := l.fence(ctx, appendTimeout)
	if err != nil {
		return nil, nil, err
	}
	return l, records, nil
}

// fence fences earlier writers of the partition and returns its records. The timeout bounds the append that fences
// them.
func (l *Ledger) fence(ctx context.Context, timeout time.Duration) ([]platform.Record, error) {
	callCtx, cancel := l.clock.WithTimeout(ctx, timeout)
	defer cancel()
	if err := l.appendOnce(callCtx, nil); err != nil {
		return nil, err
	}
	callCtx, cancel = l.clock.WithTimeout(ctx, 2*appendTimeout)
	defer cancel()
	records, _, err := l.store.Newest(callCtx, l.topic, l.partition)
	return records, err
}

// appendOnce sends one append with the current sequence number.
func (l *Ledger) appendOnce(ctx context.Context, records []platform.Record) error {
	callCtx, cancel := l.clock.WithTimeout(ctx, appendTimeout)
	defer cancel()
	p := platform.Producer{Name: producerName, Epoch: l.epoch, Sequence: l.sequence}
	sent := l.clock.Now()
	err := l.store.Append(callCtx, l.topic, l.partition, p, records)
	if took := l.clock.Since(sent); took > slowAppendTime {
		l.log.Info(eventAppendSlow, "part", l.partition, "records", len(records), "bytes", sizeOf(records), "took", took, "error", err)
	}
	if err == nil && l.partitionOwner != nil {
		l.partitionOwner.RecordAppend(sent)
	}
	return err
}

// Write stores records atomically and calls callback, which may be nil, from another goroutine. Without records,
// callback is called once all earlier writes are stored.
func (l *Ledger) Write(records []platform.Record, callback Callback) {
	l.enqueue(write{records: records, callback: callback})
}

// TryWrite is a Write that is withdrawn if the store confirms no append for withdrawAfter and the write is
// certainly not stored. In that case callback is called with an error for which IsNotStored holds.
func (l *Ledger) TryWrite(records []platform.Record, callback Callback) {
	l.enqueue(write{records: records, callback: callback, optional: true})
}

func (l *Ledger) enqueue(w write) {
	callback := w.callback
	w.queuedAt = l.clock.Now()
	l.mu.Lock()
	err := l.closedErr
	if err == nil {
		l.pending = append(l.pending, w)
	}
	l.mu.Unlock()
	if err != nil {
		if callback != nil {
			go callback(&NotStoredError{Cause: err})
		}
		return
	}
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// StalledFor returns how long the current append has been unconfirmed; zero if there is none.
func (l *Ledger) StalledFor() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.stalledSince.IsZero() {
		return 0
	}
	return l.clock.Since(l.stalledSince)
}

// Delay returns how long the oldest write without an outcome has waited, in the queue or for the store; zero if there is
// none. A new write takes about as long while the queue does not shrink.
func (l *Ledger) Delay() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case !l.stalledSince.IsZero():
		return l.clock.Since(l.oldestSent)
	case len(l.pending) > 0:
		return l.clock.Since(l.pending[0].queuedAt)
	}
	return 0
}

// flushPollInterval is the interval at which Flush checks for pending writes.
const flushPollInterval = 5 * time.Millisecond

// Flush waits until all writes have an outcome, or ctx ends.
func (l *Ledger) Flush(ctx context.Context) {
	for l.hasPending() && l.clock.Sleep(ctx, flushPollInterval) == nil {
	}
}

func (l *Ledger) hasPending() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.pending) > 0 || !l.stalledSince.IsZero()
}

// Run appends writes until ctx ends, a later writer has taken over or the ledger no longer knows which partition
// later owners open. It then fails all remaining writes and returns the error.
func (l *Ledger) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return l.failAll(nil, ctx.Err())
		case <-l.wake:
		}
		for {
			batch := l.nextBatch()
			if len(batch) == 0 {
				break
			}
			if unconfirmed, err := l.appendBatch(ctx, batch); err != nil {
				return l.failAll(unconfirmed, err)
			}
		}
	}
}

// nextBatch removes the writes of the next append from the queue.
func (l *Ledger) nextBatch() []write {
	l.mu.Lock()
	defer l.mu.Unlock()
	size, n := 0, 0
	for n < len(l.pending) && (n == 0 || size < maxAppendBytes) {
		size += sizeOf(l.pending[n].records)
		n++
	}
	batch := l.pending[:n:n]
	l.pending = l.pending[n:]
	if n > 0 {
		l.stalledSince, l.oldestSent = l.clock.Now(), batch[0].queuedAt
	}
	return batch
}

// appendBatch stores a batch. It retries until the batch is stored, a later writer has fenced this one, a move has
// an unknown result or ctx ends. While the store does not confirm the batch, it moves the ledger and withdraws optional
// writes. With an error, it returns the writes that have no outcome yet.
func (l *Ledger) appendBatch(ctx context.Context, batch []write) ([]write, error) {
	records := recordsOf(batch)
	if len(records) == 0 {
		l.confirmBatch(batch)
		return nil, nil
	}
	l.sequence++
	certainlyNotStored := true // no attempt of this batch can have been stored
	for attempt := 1; ; attempt++ {
		err := l.appendOnce(ctx, records)
		if err == nil {
			break
		}
		certainlyNotStored = certainlyNotStored && platform.IsRefused(err)
		if expected, ok := platform.ExpectedSequence(err); ok {
			l.log.Info(eventSequenceCorrected, "try", attempt, "sequence", l.sequence, "expected", expected)
			if expected > l.sequence {
				break // an earlier attempt was stored
			}
			l.sequence = expected
			continue
		}
		if platform.IsFenced(err) || ctx.Err() != nil {
			return batch, err
		}
		l.log.Warn(eventAppendRetried, "try", attempt, "records", len(records), "error", err)
		if l.StalledFor() > moveAfter {
			moved, err := l.tryMove(ctx)
			if err != nil {
				return batch, err
			}
			if moved {
				l.sequence++
				certainlyNotStored = true // appends to the old partition no longer matter
				continue
			}
		}
		if l.StalledFor() > withdrawAfter {
			if l.withdrawPending(); certainlyNotStored {
				batch = l.withdrawOptional(batch, err)
				records = recordsOf(batch)
			}
		}
		if err := l.clock.Sleep(ctx, retryDelay); err != nil {
			return batch, err
		}
	}
	l.confirmBatch(batch)
	return nil, nil
}

func recordsOf(batch []write) []platform.Record {
	var records []platform.Record
	for _, w := range batch {
		records = append(records, w.records...)
	}
	return records
}

// sizeOf returns the number of bytes of the keys and values.
func sizeOf(records []platform.Record) int {
	size := 0
	for _, r := range records {
		size += len(r.Key) + len(r.Value)
	}
	return size
}

// withdrawPending withdraws the optional writes that are queued behind the current append.
func (l *Ledger) withdrawPending() {
	l.mu.Lock()
	pending := l.pending
	l.pending = nil
	l.mu.Unlock()
	pending = l.withdrawOptional(pending, nil)
	l.mu.Lock()
	l.pending = append(pending, l.pending...)
	l.mu.Unlock()
}

// withdrawOptional reports the optional writes of a list as not stored and returns the others.
func (l *Ledger) withdrawOptional(writes []write, cause error) []write {
	var required []write
	for _, w := range writes {
		if !w.optional {
			required = append(required, w)
			continue
		}
		if w.callback != nil {
			w.callback(&NotStoredError{Cause: cause})
		}
	}
	return required
}

// confirmBatch reports success to the writes of a stored batch.
func (l *Ledger) confirmBatch(batch []write) {
	l.mu.Lock()
	l.stalledSince = time.Time{}
	l.mu.Unlock()
	for _, w := range batch {
		if w.callback != nil {
			w.callback(nil)
		}
	}
}

// failAll reports err to a batch that was sent and to all queued writes, and returns it. Later writes fail too.
func (l *Ledger) failAll(batch []write, err error) error {
	l.mu.Lock()
	unfinished := append(batch, l.pending...)
	l.pending, l.stalledSince = nil, time.Time{}
	l.closedErr = err
	l.mu.Unlock()
	for i, w := range unfinished {
		if w.callback == nil {
			continue
		}
		if i < len(batch) {
			w.callback(&UncertainError{Cause: err})
			continue
		}
		w.callback(&NotStoredError{Cause: err})
	}
	return err
}
