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

// fakeDependencies implements all interfaces that a Runner depends on, over a simulation.
type fakeDependencies struct {
	mu            sync.Mutex
	sim           *simulation
	clock         *timer.Manual
	lastRead      time.Time
	rank          int
	proposalCount int
	calls         []string
	refuseCalls   bool
	listDown      bool
	list          []upstream.Instance
	listReadAt    time.Time
}

func (deps *fakeDependencies) List() ([]upstream.Instance, time.Time) {
	if !deps.listDown {
		deps.list, deps.listReadAt = deps.sim.listRunning(), deps.clock.Now()
	}
	return deps.list, deps.listReadAt
}

func (deps *fakeDependencies) Propose(_ context.Context, _ record.Kind, _ record.Author, body any) (record.Offset, error) {
	deps.mu.Lock()
	defer deps.mu.Unlock()
	deps.proposalCount++
	deps.sim.now = deps.clock.Now()
	verdict := deps.sim.applyRecord(body.(fleet.Body))
	if verdict.Result != stream.ResultApplied {
		return 0, &stream.VerdictError{Verdict: verdict}
	}
	return 0, nil
}

// recordCall records a call to the platform and refuses it if refuseCalls is set.
func (deps *fakeDependencies) recordCall(kind ActionKind, id instance.ID, incarnation instance.Incarnation) error {
	deps.mu.Lock()
	defer deps.mu.Unlock()
	deps.calls = append(deps.calls, fmt.Sprint(kind, " ", id, " ", incarnation))
	if deps.refuseCalls {
		return &upstream.RefusedError{Refusal: upstream.RefusedBusy}
	}
	return nil
}

func (deps *fakeDependencies) Drain(_ context.Context, id instance.ID, incarnation instance.Incarnation) error {
	return deps.recordCall(ActionDrain, id, incarnation)
}

func (deps *fakeDependencies) Reboot(_ context.Context, id instance.ID, incarnation instance.Incarnation) error {
	return deps.recordCall(ActionReboot, id, incarnation)
}

func (deps *fakeDependencies) LastRead() time.Time                    { return deps.lastRead }
func (deps *fakeDependencies) HasReachedHead() bool                   { return true }
func (deps *fakeDependencies) Rank(string) int                        { return deps.rank }
func (deps *fakeDependencies) Failing() map[instance.ID]time.Duration { return nil }
func (deps *fakeDependencies) Demand() map[pool.Name]float64          { return nil }
func (deps *fakeDependencies) Sites() map[site.Name]config.Settings   { return deps.sim.sites }

// advance advances the clock, optionally with a successful read of the log, and runs one cycle.
func (deps *fakeDependencies) advance(r *Runner, d time.Duration, read bool) {
	deps.clock.Advance(d)
	if read {
		deps.lastRead = deps.clock.Now()
	}
	r.runCycle(context.Background())
}

func newRunner(t *testing.T) (*Runner, *fakeDependencies) {
	sim := newSimulation(t, smallSites(), 1)
	deps := &fakeDependencies{sim: sim, clock: timer.NewManual(epoch)}
	sim.populate(0)
	r := &Runner{State: sim.state, Lister: deps, Controller: deps, Proposer: deps, Follower: deps, Ranker: deps, Observer: deps, Settings: deps, Timer: &deps.clock.Service, Author: "entry-1"}
	deps.advance(r, time.Second, true)
	require.Zero(t, deps.proposalCount, "no proposal is expected while every pool has reached its size")
	return r, deps
}

// TestGate guards against proposals from a state that is outdated because the log cannot be read or because
// the process was paused.
func TestGate(t *testing.T) {
	r, deps := newRunner(t)
	deps.sim.sites["c1"].Pools["loose"] = pool.Spec{Size: pool.Count{Targets: 1, Workers: 1}}
	deps.advance(r, 2*time.Second, true)
	for range 1800 {
		deps.advance(r, time.Second, false)
	}
	require.Zero(t, deps.proposalCount, "the log cannot be read")
	deps.advance(r, time.Minute, true)
	require.Zero(t, deps.proposalCount, "the process was paused, so the response to the read may have been sent before")
	deps.advance(r, time.Second, true)
	require.Zero(t, deps.proposalCount, "there was no second read yet")
	deps.advance(r, time.Second, false)
	require.Zero(t, deps.proposalCount, "there was still no second read")
	deps.advance(r, time.Second, true)
	require.Equal(t, 1, deps.proposalCount)
}

// TestRank guards against entries that all propose the same record at once.
func TestRank(t *testing.T) {
	r, deps := newRunner(t)
	deps.rank = 1
	deps.sim.instances = append(deps.sim.instances, &simulatedInstance{up: true, Instance: upstream.Instance{ID: "new", Kind: instance.KindWorker, Address: "127.0.0.1:1", Incarnation: 1, Centre: "c1", Rack: "worker-9", State: upstream.StateLive}})
	deps.advance(r, time.Second, true)
	deps.advance(r, time.Second, true)
	require.Zero(t, deps.proposalCount, "the entry of rank 0 must be able to propose first")
	deps.advance(r, time.Second, true)
	require.Equal(t, 1, deps.proposalCount)
	deps.advance(r, time.Second, true)
	require.Equal(t, 1, deps.proposalCount, "the record is already applied")
}

// TestRestart guards against a reboot without an accepted drain or before every entry can know of the
// drain, and against calls that are repeated every second.
func TestRestart(t *testing.T) {
	r, deps := newRunner(t)
	first, second := deps.sim.state.Members("loose", instance.KindTarget)[0].ID, deps.sim.state.Members("loose", instance.KindTarget)[1].ID
	deps.sim.applyRecord(&fleet.Drain{RecordHeader: fleet.RecordHeader{ID: first, Version: 1}, NextPool: "loose"})
	deps.refuseCalls = true
	for range 6 {
		deps.advance(r, time.Second, true)
	}
	require.Equal(t, []string{"drain " + string(first) + " 1", "drain " + string(first) + " 1"}, deps.calls)
	deps.refuseCalls, deps.calls = false, nil
	for range 6 {
		deps.advance(r, time.Second, true)
	}
	require.Equal(t, []string{"drain " + string(first) + " 1", "reboot " + string(first) + " 1"}, deps.calls)
	deps.calls = nil
	deps.sim.now = deps.clock.Now()
	deps.sim.applyRecord(&fleet.Drain{RecordHeader: fleet.RecordHeader{ID: second, Version: 1}, NextPool: "loose"})
	deps.advance(r, time.Second, true)
	require.NotContains(t, deps.calls, "reboot "+string(second)+" 1")
	deps.advance(r, time.Second, true)
	require.NotContains(t, deps.calls, "reboot "+string(second)+" 1", "two seconds are too short for all entries to learn of the drain")
	deps.advance(r, time.Second, true)
	require.Contains(t, deps.calls, "reboot "+string(second)+" 1")
}

// TestListOutage guards against instances that are declared lost because the list cannot be read.
func TestListOutage(t *testing.T) {
	r, deps := newRunner(t)
	deps.listDown = true
	for range 600 {
		deps.advance(r, time.Second, true)
	}
	require.Zero(t, deps.proposalCount)
	deps.listDown = false
	deps.sim.takeDown(deps.sim.find("c1-worker-00"), 0)
	for range 40 {
		deps.advance(r, time.Second, true)
	}
	require.Zero(t, deps.proposalCount, "the outage must not count as absence")
	for range 30 {
		deps.advance(r, time.Second, true)
	}
	require.Equal(t, 1, deps.proposalCount, "an instance that is missing from the lists must be declared lost")
}

// TestRun guards against a runner that does not plan periodically or does not stop.
func TestRun(t *testing.T) {
	r, deps := newRunner(t)
	deps.sim.takeDown(deps.sim.find("c1-worker-00"), 0)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- r.Run(ctx) }()
	require.NoError(t, deps.clock.AwaitSubscribers(ctx, 1))
	deps.clock.Advance(planInterval)
	cancel()
	require.ErrorIs(t, <-ended, context.Canceled)
}
