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

// store takes appends while it is up.
type store struct {
	mu sync.Mutex
	up bool
	// away are partitions that do not answer while the others do, kept what each holds.
	away    map[int]bool
	kept    map[int][]platform.Record
	fenced  bool
	stored  []platform.Record
	appends int
}

func (s *store) Append(_ context.Context, _ platform.Topic, part int, _ platform.Producer, records []platform.Record) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.fenced:
		return &platform.StatusError{Call: "append", Status: http.StatusConflict, Reason: "fenced"}
	case !s.up || s.away[part]:
		return &platform.StatusError{Call: "append", Status: http.StatusServiceUnavailable}
	}
	if s.kept == nil {
		s.kept = map[int][]platform.Record{}
	}
	s.kept[part] = append(s.kept[part], records...)
	s.stored = append(s.stored, records...)
	s.appends++
	return nil
}

func (s *store) Newest(_ context.Context, _ platform.Topic, part int) ([]platform.Record, platform.Offset, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.up || s.away[part] {
		return nil, 0, &platform.StatusError{Call: "newest", Status: http.StatusServiceUnavailable}
	}
	return append([]platform.Record(nil), s.kept[part]...), 0, nil
}

func (s *store) set(f func(*store)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(s)
}

func open(t *testing.T, s *store) (*ledger.Ledger, <-chan error) {
	t.Helper()
	l, _, err := ledger.Open(t.Context(), s, ledger.TopicJobs, 0, 1, &timer.Service{}, event.Log{})
	require.NoError(t, err)
	ended := make(chan error, 1)
	go func() { ended <- l.Run(t.Context()) }()
	return l, ended
}

const patience = 5 * time.Second

// TestEmptyWriteWaits guards against ends that are acknowledged while the write that stores them is still
// on its way: a write without records is confirmed after all earlier ones.
func TestEmptyWriteWaits(t *testing.T) {
	s := &store{up: true}
	l, _ := open(t, s)
	s.set(func(s *store) { s.up = false })
	first, second := make(chan error, 1), make(chan error, 1)
	l.Write([]platform.Record{{Key: "a", Value: []byte("1")}}, func(err error) { first <- err })
	l.Write(nil, func(err error) { second <- err })
	select {
	case err := <-second:
		require.NoError(t, err)
		require.Fail(t, "confirmed although an earlier write is not stored")
	case <-time.After(300 * time.Millisecond):
	}
	s.set(func(s *store) { s.up = true })
	for _, outcome := range []chan error{first, second} {
		select {
		case err := <-outcome:
			require.NoError(t, err)
		case <-time.After(patience):
			require.Fail(t, "no outcome")
		}
	}
}

// TestFenced guards against writes that are confirmed, or silently dropped, after a later owner has taken
// over; a write without a callback must not crash the process.
func TestFenced(t *testing.T) {
	s := &store{up: true}
	l, ended := open(t, s)
	s.set(func(s *store) { s.fenced = true })
	outcome := make(chan error, 2)
	l.Write([]platform.Record{{Key: "a", Value: []byte("1")}}, func(err error) { outcome <- err })
	require.True(t, platform.IsFenced(<-ended))
	require.False(t, ledger.IsNotStored(<-outcome), "the write was sent and may be stored")
	l.Write([]platform.Record{{Key: "b", Value: []byte("1")}}, nil)
	l.Write([]platform.Record{{Key: "c", Value: []byte("1")}}, func(err error) { outcome <- err })
	require.True(t, ledger.IsNotStored(<-outcome))
	require.Error(t, errors.Unwrap(&ledger.NotStoredError{Cause: errors.ErrUnsupported}))
}

// TestWithdraw guards against callers that wait for a store that refuses, and against a withdrawn write
// that is stored all the same.
func TestWithdraw(t *testing.T) {
	s := &store{up: true}
	l, _ := open(t, s)
	s.set(func(s *store) { s.up = false })
	outcomes := make(chan error, 2)
	l.TryWrite([]platform.Record{{Key: "a", Value: []byte("1")}}, func(err error) { outcomes <- err })
	kept := make(chan error, 1)
	l.Write([]platform.Record{{Key: "b", Value: []byte("1")}}, func(err error) { kept <- err })
	l.TryWrite([]platform.Record{{Key: "c", Value: []byte("1")}}, func(err error) { outcomes <- err })
	for range 2 {
		select {
		case err := <-outcomes:
			require.True(t, ledger.IsNotStored(err))
		case <-time.After(patience):
			require.Fail(t, "a write waits for a store that refuses it")
		}
	}
	s.set(func(s *store) { s.up = true })
	require.NoError(t, <-kept)
	s.set(func(s *store) {
		require.Len(t, s.stored, 1)
		require.Equal(t, "b", s.stored[0].Key)
	})
}

// mover is the owner of a ledger that moves.
type mover struct {
	mu       sync.Mutex
	snapshot []platform.Record
	part     int
	err      error
}

func (m *mover) Snapshot() []platform.Record { return m.snapshot }

func (m *mover) PublishPartition(_ context.Context, part int) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.err == nil {
		m.part = part
	}
	return m.err
}

func (m *mover) RecordAppend(time.Time) {}

func movable(t *testing.T, s *store, m *mover) *ledger.Ledger {
	t.Helper()
	l, _, err := ledger.Open(t.Context(), s, ledger.TopicJobs, 0, 1, &timer.Service{}, event.Log{})
	require.NoError(t, err)
	l.AllowMoves(m)
	go func() { _ = l.Run(t.Context()) }() // ends with the test
	return l
}

func outcome(t *testing.T, l *ledger.Ledger, offer bool, r platform.Record) error {
	t.Helper()
	done := make(chan error, 1)
	if offer {
		l.TryWrite([]platform.Record{r}, func(err error) { done <- err })
	} else {
		l.Write([]platform.Record{r}, func(err error) { done <- err })
	}
	select {
	case err := <-done:
		return err
	case <-time.After(patience):
		require.Fail(t, "no outcome")
		return nil
	}
}

// TestMove guards against an owner that stands still because one partition is away: the ledger moves with all
// that must last, without the leftovers of an earlier stay, and a new job is not refused.
func TestMove(t *testing.T) {
	left := platform.Record{Key: "left", Value: []byte("1")}
	s := &store{up: true, away: map[int]bool{}, kept: map[int][]platform.Record{2: {left}}}
	m := &mover{snapshot: []platform.Record{{Key: "old", Value: []byte("1")}}}
	l := movable(t, s, m)
	require.NoError(t, outcome(t, l, false, platform.Record{Key: "a", Value: []byte("1")}))
	s.set(func(s *store) { s.away = map[int]bool{0: true, 1: true} })
	require.NoError(t, outcome(t, l, true, platform.Record{Key: "b", Value: []byte("1")}))
	require.Equal(t, 2, m.part, "the second partition is away as well")
	s.set(func(s *store) {
		require.Equal(t, []platform.Record{left, {Key: "left"}, {Key: "old", Value: []byte("1")}, {Key: "b", Value: []byte("1")}}, s.kept[2])
	})
	s.set(func(s *store) { s.away = map[int]bool{2: true} })
	require.NoError(t, outcome(t, l, true, platform.Record{Key: "c", Value: []byte("1")}))
	require.Equal(t, 3, m.part, "a partition that this ledger has written to must not be used again")
}

// TestMoveRefused guards against writes that are confirmed from a partition of which later owners know nothing.
func TestMoveRefused(t *testing.T) {
	s := &store{up: true, away: map[int]bool{}}
	m := &mover{err: context.Canceled}
	l := movable(t, s, m)
	s.set(func(s *store) { s.away = map[int]bool{0: true} })
	require.True(t, ledger.IsNotStored(outcome(t, l, true, platform.Record{Key: "a", Value: []byte("1")})))
	s.set(func(s *store) { s.away = nil })
	require.NoError(t, outcome(t, l, true, platform.Record{Key: "b", Value: []byte("1")}))
	s.set(func(s *store) { require.Equal(t, []platform.Record{{Key: "b", Value: []byte("1")}}, s.kept[0]) })
}
