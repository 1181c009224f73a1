package planner

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hibiscuslane.example/hibiscuslane/config"
	"hibiscuslane.example/hibiscuslane/fleet"
	"hibiscuslane.example/hibiscuslane/instance"
	"hibiscuslane.example/hibiscuslane/pool"
	"hibiscuslane.example/hibiscuslane/record"
	"hibiscuslane.example/hibiscuslane/site"
	"hibiscuslane.example/hibiscuslane/stream"
	"hibiscuslane.example/hibiscuslane/timer"
	"hibiscuslane.example/hibiscuslane/upstream"
)

// surroundings stands for everything that a runner talks to.
type surroundings struct {
	mu       sync.Mutex
	w        *world
	clock    *timer.Manual
	contact  time.Time
	rank     int
	proposed int
	calls    []string
	refuse   bool
	listDown bool
	list     []upstream.Listing
	listed   time.Time
}

func (s *surroundings) List() ([]upstream.Listing, time.Time) {
	if !s.listDown {
		s.list, s.listed = s.w.list(), s.clock.Now()
	}
	return s.list, s.listed
}

func (s *surroundings) Propose(_ context.Context, _ record.Kind, _ record.Author, body any) (record.Offset, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.proposed++
	s.w.now = s.clock.Now()
	verdict := s.w.append(body.(fleet.Body))
	if verdict.Result != stream.ResultApplied {
		return 0, &stream.VerdictError{Verdict: verdict}
	}
	return 0, nil
}

func (s *surroundings) call(verb ActionKind, id instance.ID, incarnation instance.Incarnation) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls = append(s.calls, fmt.Sprint(verb, " ", id, " ", incarnation))
	if s.refuse {
		return &upstream.RefusedError{Refusal: upstream.RefusedBusy}
	}
	return nil
}

func (s *surroundings) Drain(_ context.Context, id instance.ID, n instance.Incarnation) error {
	return s.call(ActionDrain, id, n)
}

func (s *surroundings) Reboot(_ context.Context, id instance.ID, n instance.Incarnation) error {
	return s.call(ActionReboot, id, n)
}

func (s *surroundings) Contact() time.Time                     { return s.contact }
func (s *surroundings) Current() bool                          { return true }
func (s *surroundings) Rank(string) int                        { return s.rank }
func (s *surroundings) Failing() map[instance.ID]time.Duration { return nil }
func (s *surroundings) Demand() map[pool.Name]float64          { return nil }
func (s *surroundings) Sites() map[site.Name]config.Settings   { return s.w.sites }

// step advances time, optionally with a successful read of the log, and runs one round.
func (s *surroundings) step(r *Runner, d time.Duration, read bool) {
	s.clock.Advance(d)
	if read {
		s.contact = s.clock.Now()
	}
	r.round(context.Background())
}

func newRunner(t *testing.T) (*Runner, *surroundings) {
	w := newWorld(t, smallSites(), 1)
	s := &surroundings{w: w, clock: timer.NewManual(epoch)}
	w.build(0)
	r := &Runner{State: w.state, Lister: s, Controller: s, Proposer: s, Follower: s, Ranker: s, Observer: s, Settings: s, Timer: &s.clock.Service, Author: "entry-1"}
	s.step(r, time.Second, true)
	require.Zero(t, s.proposed, "a fleet at its sizes needs nothing")
	return r, s
}

// TestGate guards against proposals from a state that is old because the log is silent or because the
// process was frozen.
func TestGate(t *testing.T) {
	r, s := newRunner(t)
	s.w.sites["c1"].Pools["loose"] = pool.Spec{Size: pool.Count{Targets: 1, Workers: 1}}
	s.step(r, 2*time.Second, true)
	for range 1800 {
		s.step(r, time.Second, false)
	}
	require.Zero(t, s.proposed, "the log is silent")
	s.step(r, time.Minute, true)
	require.Zero(t, s.proposed, "the process was frozen and the read may be older")
	s.step(r, time.Second, true)
	require.Zero(t, s.proposed, "no second read yet")
	s.step(r, time.Second, false)
	require.Zero(t, s.proposed, "still no second read")
	s.step(r, time.Second, true)
	require.Equal(t, 1, s.proposed)
}

// TestRank guards against every entry proposing the same record at once.
func TestRank(t *testing.T) {
	r, s := newRunner(t)
	s.rank = 1
	s.w.machines = append(s.w.machines, &machine{up: true, Listing: upstream.Listing{ID: "new", Kind: instance.KindWorker, Address: "127.0.0.1:1", Incarnation: 1, Centre: "c1", Rack: "worker-9", State: upstream.StateLive}})
	s.step(r, time.Second, true)
	s.step(r, time.Second, true)
	require.Zero(t, s.proposed, "the entry of rank 0 proposes first")
	s.step(r, time.Second, true)
	require.Equal(t, 1, s.proposed)
	s.step(r, time.Second, true)
	require.Equal(t, 1, s.proposed, "the record is applied")
}

// TestRestart guards against a reboot before every entry knows of the drain or without an accepted
// drain, and against calls repeated every second.
func TestRestart(t *testing.T) {
	r, s := newRunner(t)
	first, second := s.w.state.Members("loose", instance.KindTarget)[0].ID, s.w.state.Members("loose", instance.KindTarget)[1].ID
	s.w.append(&fleet.Drain{RecordHeader: fleet.RecordHeader{ID: first, Version: 1}, NextPool: "loose"})
	s.refuse = true
	for range 6 {
		s.step(r, time.Second, true)
	}
	require.Equal(t, []string{"drain " + string(first) + " 1", "drain " + string(first) + " 1"}, s.calls)
	s.refuse, s.calls = false, nil
	for range 6 {
		s.step(r, time.Second, true)
	}
	require.Equal(t, []string{"drain " + string(first) + " 1", "reboot " + string(first) + " 1"}, s.calls)
	s.calls = nil
	s.w.now = s.clock.Now()
	s.w.append(&fleet.Drain{RecordHeader: fleet.RecordHeader{ID: second, Version: 1}, NextPool: "loose"})
	s.step(r, time.Second, true)
	require.NotContains(t, s.calls, "reboot "+string(second)+" 1")
	s.step(r, time.Second, true)
	require.NotContains(t, s.calls, "reboot "+string(second)+" 1", "two seconds are too short for all entries to know")
	s.step(r, time.Second, true)
	require.Contains(t, s.calls, "reboot "+string(second)+" 1")
}

// TestListOutage guards against instances declared lost because the list cannot be read.
func TestListOutage(t *testing.T) {
	r, s := newRunner(t)
	s.listDown = true
	for range 600 {
		s.step(r, time.Second, true)
	}
	require.Zero(t, s.proposed)
	s.listDown = false
	s.w.stop(s.w.machine("c1-worker-00"), 0)
	for range 40 {
		s.step(r, time.Second, true)
	}
	require.Zero(t, s.proposed, "the outage does not count as absence")
	for range 30 {
		s.step(r, time.Second, true)
	}
	require.Equal(t, 1, s.proposed, "an instance that is missing from the lists is lost")
}

// TestRun guards against a runner that does not plan or does not stop.
func TestRun(t *testing.T) {
	r, s := newRunner(t)
	s.w.stop(s.w.machine("c1-worker-00"), 0)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- r.Run(ctx) }()
	require.NoError(t, s.clock.Await(ctx, 1))
	s.clock.Advance(period)
	cancel()
	require.ErrorIs(t, <-ended, context.Canceled)
}
