package dispatch

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hibiscuslane.example/hibiscuslane/election"
	"hibiscuslane.example/hibiscuslane/ledger"
	"hibiscuslane.example/hibiscuslane/platform"
	"hibiscuslane.example/hibiscuslane/task"
	"hibiscuslane.example/hibiscuslane/timer"
	"hibiscuslane.example/hibiscuslane/worker"
)

// fakeOwnership is an ownership whose confirmation the test sets. Confirm fails if there is a later owner.
type fakeOwnership struct {
	confirmed, hasLaterOwner bool
	silence                  time.Duration
}

func (f *fakeOwnership) PublishPartition(context.Context, platform.Epoch, int) error { return nil }
func (f *fakeOwnership) RecordConfirmation(time.Time)                                {}
func (f *fakeOwnership) IsConfirmed() bool                                           { return f.confirmed }
func (f *fakeOwnership) StoreSilence() time.Duration                                 { return f.silence }

func (f *fakeOwnership) Confirm(_ context.Context, epoch platform.Epoch) error {
	if f.hasLaterOwner {
		return &election.TermEndedError{Epoch: epoch}
	}
	return nil
}

// TestPausedOwnerActs guards against an owner that wakes after a pause of some seconds and, before it learns that its term
// has ended, starts a queued task or extends a lease that a later owner takes for expired.
func TestPausedOwnerActs(t *testing.T) {
	ownership := &fakeOwnership{confirmed: true}
	d := New(t.Context(), election.Gained{Epoch: 1}, Options{Clock: &timer.Service{}, Ownership: ownership})
	d.ledger = &ledger.Ledger{}
	d.timing.MaxLease = time.Minute
	now := d.clock.Now()
	registration := worker.Registration{ID: "w", State: worker.StateReady, Capacity: task.Resources{CPU: 10}}
	s := &workerState{id: "w", registration: registration, runs: map[runID]*run{}, tokenAcknowledged: true, incarnation: 1}
	s.lease.RecordClock(1000, now)
	d.workers["w"], d.registrations["w"] = s, registration
	newRun := func(number task.RunNumber, phase runPhase) *run {
		j := &job{Job: task.New("00000000000000aa", "queue", "pool", task.Spec{Steps: []task.Step{{Count: 1}}}, now)}
		r := &run{id: runID{key: task.Key{Job: j.ID}, number: number}, job: j, step: &j.Spec.Steps[0], worker: s, workerID: "w", phase: phase}
		d.runs[r.id] = r
		s.reserve(r)
		return r
	}
	newRun(1, phaseRunning)
	renewal, _ := d.nextRenewal(s)
	require.NotZero(t, renewal.LeaseDeadline)
	ownership.confirmed = false
	renewal, _ = d.nextRenewal(s)
	require.Zero(t, renewal.LeaseDeadline, "the lease is extended")
	queued := newRun(2, phasePlanned)
	d.sendStart(t.Context(), queued) // without a client, sending the order would panic
	require.NotContains(t, d.runs, queued.id)
}
