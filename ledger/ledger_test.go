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
	mu      sync.Mutex
	up      bool
	fenced  bool
	stored  []platform.Record
	appends int
}

func (s *store) Append(_ context.Context, _ platform.Topic, _ int, _ platform.Producer, records []platform.Record) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.fenced:
		return &platform.StatusError{Call: "append", Status: http.StatusConflict, Reason: "fenced"}
	case !s.up:
		return &platform.StatusError{Call: "append", Status: http.StatusServiceUnavailable}
	}
	s.stored = append(s.stored, records...)
	s.appends++
	return nil
}

func (s *store) Newest(context.Context, platform.Topic, int) ([]platform.Record, platform.Offset, error) {
	return nil, 0, nil
}

func (s *store) set(f func(*store)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(s)
}

func open(t *testing.T, s *store) (*ledger.Ledger, <-chan error) {
	t.Helper()
	l, _, err := ledger.Open(t.Context(), s, ledger.TopicJobs, 1, &timer.Service{}, event.Log{})
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
	require.False(t, ledger.IsNotSent(<-outcome), "the write was sent and may be stored")
	l.Write([]platform.Record{{Key: "b", Value: []byte("1")}}, nil)
	l.Write([]platform.Record{{Key: "c", Value: []byte("1")}}, func(err error) { outcome <- err })
	require.True(t, ledger.IsNotSent(<-outcome))
	require.Error(t, errors.Unwrap(&ledger.ClosedError{Cause: errors.ErrUnsupported}))
}

// TestWithdraw guards against callers that wait for a store that refuses, and against a withdrawn write
// that is stored all the same.
func TestWithdraw(t *testing.T) {
	s := &store{up: true}
	l, _ := open(t, s)
	s.set(func(s *store) { s.up = false })
	outcomes := make(chan error, 2)
	l.Offer([]platform.Record{{Key: "a", Value: []byte("1")}}, func(err error) { outcomes <- err })
	kept := make(chan error, 1)
	l.Write([]platform.Record{{Key: "b", Value: []byte("1")}}, func(err error) { kept <- err })
	l.Offer([]platform.Record{{Key: "c", Value: []byte("1")}}, func(err error) { outcomes <- err })
	for range 2 {
		select {
		case err := <-outcomes:
			require.True(t, ledger.IsNotSent(err))
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
