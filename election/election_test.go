package election_test

import (
	"context"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hibiscuslane.example/hibiscuslane/election"
	"hibiscuslane.example/hibiscuslane/platform"
	"hibiscuslane.example/hibiscuslane/timer"
)

// store is a log of claims. Appends whose answer is lost take effect.
type store struct {
	mu     sync.Mutex
	claims []platform.Record
	lose   bool
	down   bool
	// clock and delay make calls take time.
	clock *timer.Manual
	delay time.Duration
}

// wait takes the time of a call.
func (s *store) wait(ctx context.Context) error {
	s.mu.Lock()
	delay := s.delay
	s.mu.Unlock()
	if delay == 0 {
		return nil
	}
	if err := s.clock.Sleep(ctx, delay); err != nil {
		return &platform.CallError{Call: "call", Cause: err}
	}
	return nil
}

var errDown = &platform.StatusError{Call: "call", Status: http.StatusServiceUnavailable}

func (s *store) AppendAt(ctx context.Context, _ platform.Topic, _ int, at platform.Offset, r platform.Record) error {
	if err := s.wait(ctx); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.down:
		return errDown
	case int(at) != len(s.claims):
		return &platform.StatusError{Call: "append", Status: http.StatusPreconditionFailed}
	}
	r.Offset = at
	s.claims = append(s.claims, r)
	if s.lose {
		return &platform.CallError{Call: "append", Cause: context.DeadlineExceeded}
	}
	return nil
}

func (s *store) Read(_ context.Context, _ platform.Topic, _ int, from platform.Offset, _ time.Duration) (platform.Batch, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return platform.Batch{}, errDown
	}
	end := platform.Offset(len(s.claims))
	return platform.Batch{Records: s.claims[min(from, end):], NextOffset: end, EndOffset: end}, nil
}

func (s *store) Newest(ctx context.Context, _ platform.Topic, _ int) ([]platform.Record, platform.Offset, error) {
	if err := s.wait(ctx); err != nil {
		return nil, 0, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return nil, 0, errDown
	}
	end := platform.Offset(len(s.claims))
	if end == 0 || s.claims[end-1].Value == nil {
		return nil, end, nil
	}
	return s.claims[end-1:], end, nil
}

func (s *store) set(f func(*store)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	f(s)
}

type keeper struct {
	*election.Elector
	mu      sync.Mutex
	changes []election.Change
	stop    func()
}

func start(t *testing.T, s *store, clock *timer.Manual, member string) *keeper {
	t.Helper()
	k := &keeper{}
	ctx, cancel := context.WithCancel(t.Context())
	var done sync.WaitGroup
	k.stop = func() { cancel(); done.Wait() }
	k.Elector = &election.Elector{Store: s, Member: election.Member(member), Clock: &clock.Service, OnChange: func(c election.Change) {
		k.mu.Lock()
		defer k.mu.Unlock()
		k.changes = append(k.changes, c)
	}}
	done.Go(func() { k.Run(ctx) })
	t.Cleanup(k.stop)
	return k
}

// epoch returns the epoch of the tenure that k has now; 0 if it has none.
func (k *keeper) epoch() platform.Epoch {
	k.mu.Lock()
	defer k.mu.Unlock()
	if len(k.changes) == 0 {
		return 0
	}
	if gained, ok := k.changes[len(k.changes)-1].(election.Gained); ok {
		return gained.Epoch
	}
	return 0
}

func await(t *testing.T, clock *timer.Manual, what string, done func() bool) {
	t.Helper()
	require.Eventually(t, func() bool {
		clock.Advance(50 * time.Millisecond)
		return done()
	}, 10*time.Second, time.Millisecond, what)
}

// TestOneOwner guards against two owners after a race for the first claim.
func TestOneOwner(t *testing.T) {
	clock := timer.NewManual(time.UnixMilli(0))
	s := &store{}
	a, b := start(t, s, clock, "a:1/x"), start(t, s, clock, "b:1/x")
	await(t, clock, "no owner", func() bool { return a.Owner() != "" && a.Owner() == b.Owner() })
	require.True(t, (a.epoch() != 0) != (b.epoch() != 0))
}

// TestEpochOnce guards against a second tenure with the epoch of the first, whose run numbers and token
// would repeat: an owner resigns, and nobody else claims.
func TestEpochOnce(t *testing.T) {
	clock := timer.NewManual(time.UnixMilli(0))
	k := start(t, &store{}, clock, "a:1/x")
	await(t, clock, "not owner", func() bool { return k.epoch() != 0 })
	first := k.epoch()
	k.Resign("test")
	await(t, clock, "not owner again", func() bool { return k.epoch() != 0 })
	require.Greater(t, k.epoch(), first)
}

// TestLostAnswer guards against a claim that is in force although its answer was lost, and against an
// owner that never learns of it.
func TestLostAnswer(t *testing.T) {
	clock := timer.NewManual(time.UnixMilli(0))
	s := &store{lose: true}
	k := start(t, s, clock, "a:1/x")
	await(t, clock, "no claim", func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		return len(s.claims) > 0
	})
	s.set(func(s *store) { s.lose = false })
	await(t, clock, "not owner", func() bool { return k.epoch() != 0 })
}

// TestSilentStore guards against an owner that goes on although another process may have replaced it, and
// against one that gives up in a short outage.
func TestSilentStore(t *testing.T) {
	clock := timer.NewManual(time.UnixMilli(0))
	s := &store{}
	k := start(t, s, clock, "a:1/x")
	await(t, clock, "not owner", func() bool { return k.epoch() != 0 })
	s.set(func(s *store) { s.down = true })
	begin := clock.Now()
	await(t, clock, "still owner", func() bool { return k.epoch() == 0 })
	require.Greater(t, clock.Since(begin), election.ConfirmTimeout-time.Second)
}

// TestReplaced guards against an owner that does not notice that a peer has replaced it, and against a
// takeover that counts as certain although the earlier owner only gave no answer.
func TestReplaced(t *testing.T) {
	clock := timer.NewManual(time.UnixMilli(0))
	s := &store{}
	a := start(t, s, clock, "a:1/x")
	await(t, clock, "not owner", func() bool { return a.epoch() != 0 })
	b := start(t, s, clock, "b:1/x")
	await(t, clock, "owner unknown", func() bool { return b.Owner() == a.Member })
	b.ReplaceOwner(t.Context(), a.Member, election.DepartureUnknown)
	await(t, clock, "both are owners", func() bool { return a.epoch() == 0 && b.epoch() != 0 })
	require.Equal(t, election.Gained{Epoch: 2, Departure: election.DepartureUnknown}, b.changes[0])
}

// TestStopGivesUp guards against an ownership that stays with a process that has stopped.
func TestStopGivesUp(t *testing.T) {
	clock := timer.NewManual(time.UnixMilli(0))
	s := &store{}
	a := start(t, s, clock, "a:1/x")
	await(t, clock, "not owner", func() bool { return a.epoch() != 0 })
	a.stop()
	b := start(t, s, clock, "b:1/x")
	await(t, clock, "no new owner", func() bool { return b.epoch() != 0 })
	require.Equal(t, election.Gained{Epoch: 3, Departure: election.DepartureNone}, b.changes[0])
}

// TestClaimWhileOwner guards against a second claim by a process that has become the owner while it found
// out that the earlier owner is gone: the work of the first tenure would go on beside the second.
func TestClaimWhileOwner(t *testing.T) {
	clock := timer.NewManual(time.UnixMilli(0))
	k := start(t, &store{}, clock, "a:1/x")
	await(t, clock, "not owner", func() bool { return k.epoch() != 0 })
	k.ReplaceOwner(t.Context(), "b:1/x", election.DepartureExited)
	k.mu.Lock()
	defer k.mu.Unlock()
	require.Len(t, k.changes, 1)
}

// TestSlowStore guards against a vacant ownership that nobody can claim because a slow store takes longer
// for a look and a claim together than one call may take.
func TestSlowStore(t *testing.T) {
	clock := timer.NewManual(time.UnixMilli(0))
	s := &store{clock: clock, delay: 700 * time.Millisecond}
	k := start(t, s, clock, "a:1/x")
	t.Cleanup(func() { s.set(func(s *store) { s.delay = 0 }) }) // for the last call, when nothing moves the clock
	begin := clock.Now()
	await(t, clock, "not owner", func() bool { return k.epoch() != 0 })
	require.Less(t, clock.Since(begin), 5*time.Second)
}

// TestMove guards against a later owner that opens the partition which the ledger has left, and against an
// owner that takes its own claim for that of another process.
func TestMove(t *testing.T) {
	clock := timer.NewManual(time.UnixMilli(0))
	s := &store{}
	a := start(t, s, clock, "a:1/x")
	await(t, clock, "not owner", func() bool { return a.epoch() != 0 })
	require.NoError(t, a.PublishPartition(t.Context(), a.epoch(), 5))
	begin := clock.Now()
	await(t, clock, "time stands still", func() bool { return clock.Since(begin) > 2*election.ConfirmTimeout })
	require.NotZero(t, a.epoch(), "the owner has lost its tenure by its own claim")
	a.stop()
	b := start(t, s, clock, "b:1/x")
	await(t, clock, "no new owner", func() bool { return b.epoch() != 0 })
	require.Equal(t, election.Gained{Epoch: 4, Departure: election.DepartureNone, Partition: 5}, b.changes[0])
}

// TestMoveUncertain guards against an owner that goes on in the former partition after a claim whose answer
// was lost, and against one that goes on after another process has claimed the ownership.
func TestMoveUncertain(t *testing.T) {
	clock := timer.NewManual(time.UnixMilli(0))
	s := &store{}
	a := start(t, s, clock, "a:1/x")
	await(t, clock, "not owner", func() bool { return a.epoch() != 0 })
	s.set(func(s *store) { s.lose = true })
	moved := make(chan error, 1)
	go func() { moved <- a.PublishPartition(t.Context(), a.epoch(), 3) }()
	await(t, clock, "no outcome", func() bool { return len(moved) > 0 })
	require.NoError(t, <-moved)
	s.set(func(s *store) { s.lose = false })

	s.set(func(s *store) {
		s.claims = append(s.claims, platform.Record{Key: "owner", Value: []byte("b:1/x#3"), Offset: platform.Offset(len(s.claims))})
	})
	var over *election.TermEndedError
	require.ErrorAs(t, a.PublishPartition(t.Context(), 1, 4), &over)
	require.Zero(t, a.epoch())
}
