package ledger_test

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hibiscuslane.example/hibiscuslane/event"
	"hibiscuslane.example/hibiscuslane/ledger"
	"hibiscuslane.example/hibiscuslane/platform"
	"hibiscuslane.example/hibiscuslane/timer"
)

// store is an in-memory store that accepts appends while it is up.
type store struct {
	mu sync.Mutex
	up bool
	// unavailable holds the partitions that refuse calls although the store is up. byPartition holds the
	// records of each partition, and stored those of all partitions in the order of their appends.
	unavailable map[int]bool
	byPartition map[int][]platform.Record
	fenced      bool
	stored      []platform.Record
	appends     int
	// maxBytes is the largest append that the connection transfers before it times out; zero means no limit.
	maxBytes int
	// appendTime is how long an append takes.
	appendTime time.Duration
}

func (s *store) Append(_ context.Context, _ platform.Topic, partition int, _ platform.Producer, records []platform.Record) error {
	time.Sleep(s.appendTime)
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.fenced:
		return &platform.StatusError{Call: "append", Status: http.StatusConflict, Reason: "fenced"}
	case !s.up || s.unavailable[partition]:
		return &platform.StatusError{Call: "append", Status: http.StatusServiceUnavailable}
	}
	size := 0
	for _, r := range records {
		size += len(r.Key) + len(r.Value)
	}
	if s.maxBytes > 0 && size > s.maxBytes {
		return &platform.CallError{Call: "append", Cause: context.DeadlineExceeded}
	}
	if s.byPartition == nil {
		s.byPartition = map[int][]platform.Record{}
	}
	s.byPartition[partition] = append(s.byPartition[partition], records...)
	s.stored = append(s.stored, records...)
	s.appends++
	return nil
}

func (s *store) Newest(_ context.Context, _ platform.Topic, partition int) ([]platform.Record, platform.Offset, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.up || s.unavailable[partition] {
		return nil, 0, &platform.StatusError{Call: "newest", Status: http.StatusServiceUnavailable}
	}
	return append([]platform.Record(nil), s.byPartition[partition]...), 0, nil
}

func (s *store) update(f func(*store)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(s)
}

// openAndRun opens a ledger and runs it. The channel receives the error that Run returns.
func openAndRun(t *testing.T, s *store) (*ledger.Ledger, <-chan error) {
	t.Helper()
	l, _, err := ledger.Open(t.Context(), s, ledger.TopicJobs, 0, 1, &timer.Service{}, event.Log{})
	require.NoError(t, err)
	ended := make(chan error, 1)
	go func() { ended <- l.Run(t.Context()) }()
	return l, ended
}

const waitTimeout = 5 * time.Second

// TestEmptyWriteWaits guards against a write without records that is confirmed before earlier writes. Results
// of jobs would then be acknowledged before they are stored.
func TestEmptyWriteWaits(t *testing.T) {
	s := &store{up: true}
	l, _ := openAndRun(t, s)
	s.update(func(s *store) { s.up = false })
	first, second := make(chan error, 1), make(chan error, 1)
	l.Write([]platform.Record{{Key: "a", Value: []byte("1")}}, func(err error) { first <- err })
	l.Write(nil, func(err error) { second <- err })
	select {
	case err := <-second:
		require.NoError(t, err)
		require.Fail(t, "confirmed although an earlier write is not stored")
	case <-time.After(300 * time.Millisecond):
	}
	s.update(func(s *store) { s.up = true })
	for _, outcome := range []chan error{first, second} {
		select {
		case err := <-outcome:
			require.NoError(t, err)
		case <-time.After(waitTimeout):
			require.Fail(t, "no outcome")
		}
	}
}

// TestFenced guards against writes that are confirmed or silently dropped after a later owner has taken over.
// A write without a callback must not crash the process.
func TestFenced(t *testing.T) {
	s := &store{up: true}
	l, ended := openAndRun(t, s)
	s.update(func(s *store) { s.fenced = true })
	outcome := make(chan error, 2)
	l.Write([]platform.Record{{Key: "a", Value: []byte("1")}}, func(err error) { outcome <- err })
	require.True(t, platform.IsFenced(<-ended))
	require.False(t, ledger.IsNotStored(<-outcome), "the write was sent and may be stored")
	l.Write([]platform.Record{{Key: "b", Value: []byte("1")}}, nil)
	l.Write([]platform.Record{{Key: "c", Value: []byte("1")}}, func(err error) { outcome <- err })
	require.True(t, ledger.IsNotStored(<-outcome))
	require.Error(t, errors.Unwrap(&ledger.NotStoredError{Cause: errors.ErrUnsupported}))
}

// TestWithdraw guards against callers that wait for a store that rejects writes, and against a withdrawn
// write that is stored anyway.
func TestWithdraw(t *testing.T) {
	s := &store{up: true}
	l, _ := openAndRun(t, s)
	s.update(func(s *store) { s.up = false })
	outcomes := make(chan error, 2)
	l.TryWrite([]platform.Record{{Key: "a", Value: []byte("1")}}, func(err error) { outcomes <- err })
	kept := make(chan error, 1)
	l.Write([]platform.Record{{Key: "b", Value: []byte("1")}}, func(err error) { kept <- err })
	l.TryWrite([]platform.Record{{Key: "c", Value: []byte("1")}}, func(err error) { outcomes <- err })
	for range 2 {
		select {
		case err := <-outcomes:
			require.True(t, ledger.IsNotStored(err))
		case <-time.After(waitTimeout):
			require.Fail(t, "a write waits for a store that rejects it")
		}
	}
	s.update(func(s *store) { s.up = true })
	require.NoError(t, <-kept)
	s.update(func(s *store) {
		require.Len(t, s.stored, 1)
		require.Equal(t, "b", s.stored[0].Key)
	})
}

// TestWithdrawnTwice guards against a second outcome of a write that was withdrawn from a batch which fails later. The owner
// has dropped the job by then, and would wait without end for a caller that takes no second result.
func TestWithdrawnTwice(t *testing.T) {
	s := &store{up: true}
	l, ended := openAndRun(t, s)
	s.update(func(s *store) { s.up = false })
	outcomes := make(chan error, 2)
	l.TryWrite([]platform.Record{{Key: "a", Value: []byte("1")}}, func(err error) { outcomes <- err })
	require.True(t, ledger.IsNotStored(<-outcomes))
	s.update(func(s *store) { s.up, s.fenced = true, true })
	l.Write([]platform.Record{{Key: "b", Value: []byte("1")}}, nil)
	require.True(t, platform.IsFenced(<-ended))
	require.Empty(t, outcomes)
}

// TestWithdrawWithoutCallback guards against a panic of the owner when a write is withdrawn that nobody waits for.
func TestWithdrawWithoutCallback(t *testing.T) {
	s := &store{up: true}
	l, _ := openAndRun(t, s)
	s.update(func(s *store) { s.up = false })
	l.TryWrite([]platform.Record{{Key: "a", Value: []byte("1")}}, nil)
	require.True(t, ledger.IsNotStored(writeAndWait(t, l, true, platform.Record{Key: "b", Value: []byte("1")})))
}

// TestFlushAfterFailure guards against a process that waits for the outcome of writes although the ledger has failed them.
func TestFlushAfterFailure(t *testing.T) {
	s := &store{up: true}
	l, ended := openAndRun(t, s)
	s.update(func(s *store) { s.fenced = true })
	l.Write([]platform.Record{{Key: "a", Value: []byte("1")}}, nil)
	require.True(t, platform.IsFenced(<-ended))
	ctx, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	l.Flush(ctx)
	require.NoError(t, ctx.Err())
	require.Zero(t, l.StalledFor())
}

// partitionOwner is the owner of a ledger that can move.
type partitionOwner struct {
	mu        sync.Mutex
	snapshot  []platform.Record
	partition int
	err       error
}

func (o *partitionOwner) Snapshot() []platform.Record { return o.snapshot }

func (o *partitionOwner) PublishPartition(_ context.Context, partition int) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.err == nil {
		o.partition = partition
	}
	return o.err
}

func (o *partitionOwner) RecordAppend(time.Time) {}

// openMovable opens a ledger that can move and runs it. The channel receives the error that Run returns.
func openMovable(t *testing.T, s *store, owner *partitionOwner) (*ledger.Ledger, <-chan error) {
	t.Helper()
	l, _, err := ledger.Open(t.Context(), s, ledger.TopicJobs, 0, 1, &timer.Service{}, event.Log{})
	require.NoError(t, err)
	l.AllowMoves(owner)
	ended := make(chan error, 1)
	go func() { ended <- l.Run(t.Context()) }()
	return l, ended
}

// writeAndWait writes a record, with TryWrite if optional is set, and returns the outcome.
func writeAndWait(t *testing.T, l *ledger.Ledger, optional bool, r platform.Record) error {
	t.Helper()
	done := make(chan error, 1)
	if optional {
		l.TryWrite([]platform.Record{r}, func(err error) { done <- err })
	} else {
		l.Write([]platform.Record{r}, func(err error) { done <- err })
	}
	select {
	case err := <-done:
		return err
	case <-time.After(waitTimeout):
		require.Fail(t, "no outcome")
		return nil
	}
}

// TestMove guards against an owner that stops working because one partition is unavailable. The ledger must
// move with all its records, delete the leftover records of an earlier use of the new partition, and still
// accept new jobs. It must not return to a partition that it has written to, where an unanswered append may still take
// effect.
func TestMove(t *testing.T) {
	leftover := platform.Record{Key: "left", Value: []byte("1")}
	s := &store{up: true, unavailable: map[int]bool{}, byPartition: map[int][]platform.Record{2: {leftover}}}
	owner := &partitionOwner{snapshot: []platform.Record{{Key: "old", Value: []byte("1")}}}
	l, _ := openMovable(t, s, owner)
	require.NoError(t, writeAndWait(t, l, false, platform.Record{Key: "a", Value: []byte("1")}))
	s.update(func(s *store) { s.unavailable = map[int]bool{0: true, 1: true} })
	require.NoError(t, writeAndWait(t, l, true, platform.Record{Key: "b", Value: []byte("1")}))
	require.Equal(t, 2, owner.partition, "the second partition is unavailable too")
	s.update(func(s *store) {
		require.Equal(t, []platform.Record{leftover, {Key: "left"}, {Key: "old", Value: []byte("1")}, {Key: "b", Value: []byte("1")}}, s.byPartition[2])
	})
	for _, next := range []int{3, 5, 7, 1} { // 0 was used before
		s.update(func(s *store) { s.unavailable = map[int]bool{owner.partition: true, next - 1: next > 1} })
		require.NoError(t, writeAndWait(t, l, true, platform.Record{Key: "c", Value: []byte("1")}))
		require.Equal(t, next, owner.partition, "the ledger must move again, and never to a former partition")
	}
}

// TestMoveRefused guards against writes that are confirmed from a partition that later owners do not open. A publication
// that has failed may still take effect, so that the ledger must not go on in its old partition either.
func TestMoveRefused(t *testing.T) {
	s := &store{up: true, unavailable: map[int]bool{}}
	owner := &partitionOwner{err: context.Canceled}
	l, ended := openMovable(t, s, owner)
	s.update(func(s *store) { s.unavailable = map[int]bool{0: true} })
	err := writeAndWait(t, l, true, platform.Record{Key: "a", Value: []byte("1")})
	require.Error(t, err)
	require.False(t, ledger.IsNotStored(err), "the write was sent")
	require.ErrorIs(t, <-ended, context.Canceled)
	s.update(func(s *store) { s.unavailable = nil })
	require.True(t, ledger.IsNotStored(writeAndWait(t, l, true, platform.Record{Key: "b", Value: []byte("1")})))
	s.update(func(s *store) { require.Empty(t, s.stored) })
}

// TestBacklogNeverStored guards against a backlog that is sent as one append, which takes longer than the timeout of an
// append each time that it is repeated. A busy owner may send no more than half a megabyte in a second.
func TestBacklogNeverStored(t *testing.T) {
	s := &store{up: true, maxBytes: 500_000}
	l, _ := openAndRun(t, s)
	s.update(func(s *store) { s.up = false })
	const writes, valueBytes = 1500, 1000
	stored := make(chan error, writes)
	for range writes {
		l.Write([]platform.Record{{Key: "a", Value: make([]byte, valueBytes)}}, func(err error) { stored <- err })
	}
	s.update(func(s *store) { s.up = true })
	for range writes {
		select {
		case err := <-stored:
			require.NoError(t, err)
		case <-time.After(waitTimeout):
			require.Fail(t, "the backlog is not stored")
		}
	}
}

// TestQueueDelayHidden guards against an owner that takes new jobs while earlier writes have waited for seconds, although
// no single append takes long: their callers would wait until their deadlines.
func TestQueueDelayHidden(t *testing.T) {
	s := &store{up: true, appendTime: 40 * time.Millisecond}
	l, _ := openAndRun(t, s)
	require.Zero(t, l.Delay())
	const writes, valueBytes = 40, 200_000 // more than one write does not go into an append
	stored := make(chan error, writes)
	begin := time.Now()
	for range writes {
		l.Write([]platform.Record{{Key: "a", Value: make([]byte, valueBytes)}}, func(err error) { stored <- err })
	}
	queued := time.Now()
	for range writes / 2 {
		require.NoError(t, <-stored)
	}
	waited := time.Since(queued)
	require.GreaterOrEqual(t, l.Delay(), waited, "the next write has waited since the beginning")
	require.Less(t, l.Delay(), time.Since(begin)+s.appendTime)
	for range writes / 2 {
		require.NoError(t, <-stored)
	}
	require.Eventually(t, func() bool { return l.Delay() == 0 }, waitTimeout, time.Millisecond)
}
