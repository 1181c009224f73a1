package dispatch

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hibiscuslane.example/hibiscuslane/platform"
	"hibiscuslane.example/hibiscuslane/schedule"
	"hibiscuslane.example/hibiscuslane/task"
	"hibiscuslane.example/hibiscuslane/worker"
)

// testMaxLease is the longest lease of a worker in these tests.
const testMaxLease = 10 * time.Second

// newLeaseOwner returns an owner that has restored the records of a store and has read the registrations: the worker "w" of the
// given incarnation.
func newLeaseOwner(t *testing.T, s *keyedStore, epoch platform.Epoch, incarnation int) (*Dispatcher, *workerState) {
	t.Helper()
	d := newOwnerOfEpoch(t, s, epoch)
	d.mu.Lock()
	defer d.mu.Unlock()
	var cancel context.CancelFunc
	d.ctx, cancel = context.WithCancel(t.Context())
	cancel() // it calls no worker by itself
	d.registrationsLoadedAt = d.termStart
	d.applyRegistration(entryRecord("w", "desk", incarnation))
	return d, d.workers["w"]
}

// answer processes a report of a worker that lists the given runs.
func answer(d *Dispatcher, w *workerState, incarnation worker.Incarnation, runs ...*run) {
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock.Now()
	d.applyReport(w, reportOf(incarnation, runs...), now, now)
}

// placeLongRunning places a task of a long-running job on the worker "w" and stores the placement.
func placeLongRunning(t *testing.T, d *Dispatcher, id task.JobID) *run {
	t.Helper()
	spec := task.Spec{Steps: []task.Step{{Count: 1, LongRunning: true}}}
	j := &job{Job: task.New(id, "queue", "desk", spec, d.clock.Now()), stored: true}
	d.mu.Lock()
	d.jobs[id] = j
	d.assignTask(schedule.Assignment{Pending: &schedule.PendingStep{Job: id}, Worker: "w"})
	var placed *run
	for _, r := range d.runs {
		if r.job == j {
			placed = r
		}
	}
	d.mu.Unlock()
	storeChanges(t, d, j)
	return placed
}

// requireKeptUntil checks that a run of an earlier owner on a worker that does not answer is given up at the given time after the
// longest lease that the earlier owner grants, and not before.
func requireKeptUntil(t *testing.T, d *Dispatcher, id runID, after time.Duration) {
	t.Helper()
	d.mu.Lock()
	defer d.mu.Unlock()
	expiry := d.termStart.Add(d.inheritedRunTimeout + after)
	d.expireInheritedRuns(expiry.Add(-time.Millisecond))
	require.Contains(t, d.runs, id)
	d.expireInheritedRuns(expiry.Add(time.Millisecond))
	require.NotContains(t, d.runs, id)
}

// TestRestartUnnoticedByEarlierOwner guards against a task that is started again while it runs: its start was ordered with a
// deadline on the clock of an earlier incarnation of the worker, which the later one extends to the longest lease. The owner fails,
// and the next one does not reach the worker. A worker that has not restarted is not waited for.
func TestRestartUnnoticedByEarlierOwner(t *testing.T) {
	s := &keyedStore{}
	d, _ := newLeaseOwner(t, s, 1, 1000)
	r := placeLongRunning(t, d, "00000000000000aa")
	same, _ := newLeaseOwner(t, s, 2, 1000)
	requireKeptUntil(t, same, r.id, 0)
	next, _ := newLeaseOwner(t, s, 3, 2000)
	requireKeptUntil(t, next, r.id, testMaxLease)
}

// TestRestartForgottenByNextOwner guards against the same for a task that was placed on the worker soon after its restart, with a
// right deadline: the lease of the worker covers all its runs, and the task that had extended it has ended.
func TestRestartForgottenByNextOwner(t *testing.T) {
	s := &keyedStore{}
	d, w := newLeaseOwner(t, s, 1, 1000)
	answer(d, w, 1000)
	first := placeLongRunning(t, d, "00000000000000aa")
	d.mu.Lock()
	first.phase = phaseStarting
	d.handleStartResult(first, w, 0, nil)
	d.applyRegistration(entryRecord("w", "desk", 2000))
	d.mu.Unlock()
	answer(d, w, 2000, first)
	second := placeLongRunning(t, d, "00000000000000bb")
	d.mu.Lock()
	d.finishJob(first.job, task.StateCancelled, d.clock.Now())
	d.mu.Unlock()
	storeChanges(t, d, first.job)
	next, _ := newLeaseOwner(t, s, 2, 2000)
	requireKeptUntil(t, next, second.id, testMaxLease)
}

// TestRestartedWorkerLostByNextOwner guards against the same if the next owner reaches the worker, which falls silent then: only the
// deadlines of its own term were taken into account.
func TestRestartedWorkerLostByNextOwner(t *testing.T) {
	s := &keyedStore{}
	d, _ := newLeaseOwner(t, s, 1, 1000)
	r := placeLongRunning(t, d, "00000000000000aa")
	next, w := newLeaseOwner(t, s, 2, 2000)
	answer(next, w, 2000, next.runs[r.id])
	next.mu.Lock()
	defer next.mu.Unlock()
	now := next.clock.Now()
	next.extendLease(w, now)
	w.unreachableSince = now
	require.False(t, next.hasLeaseExpired(w, now.Add(testMaxLease)))
	require.True(t, next.hasLeaseExpired(w, now.Add(testMaxLease+2*maxLeaseLifetime)))
}

// TestRestartShownByClock guards against the same if no owner learns of the restart because the worker is cut off before: the start
// was confirmed with a clock that lies behind that of the earlier incarnation, and the lease counted as expired on the earlier one.
// A clock that is only slow is no restart.
func TestRestartShownByClock(t *testing.T) {
	for clock, isExtended := range map[worker.Clock]bool{40: true, 500: false} {
		s := &keyedStore{}
		d, w := newLeaseOwner(t, s, 1, 1000)
		answer(d, w, 1000) // with a clock of 500
		r := placeLongRunning(t, d, "00000000000000aa")
		d.mu.Lock()
		d.ctx = t.Context()
		order, ok := d.prepareStart(r)
		require.True(t, ok)
		require.NotZero(t, order.Deadline)
		d.handleStartResult(r, w, clock, nil)
		now := d.clock.Now()
		w.unreachableSince = now
		require.Equal(t, !isExtended, d.hasLeaseExpired(w, now.Add(2*maxLeaseLifetime)))
		require.True(t, d.hasLeaseExpired(w, now.Add(testMaxLease+2*maxLeaseLifetime)))
		d.mu.Unlock()
		d.ledger.Flush(t.Context())
		next, _ := newLeaseOwner(t, s, 2, 1000)
		require.Equal(t, isExtended, next.extendedLeases["w"].stored, "the next owner knows of it")
	}
}

// TestRenewalExtendsLeaseOfNextIncarnation guards against a run that is given up too early on a restarted worker without earlier runs:
// a renewal with a deadline of the earlier clock had reached it. Once it has expired, later owners do not wait for it any more.
func TestRenewalExtendsLeaseOfNextIncarnation(t *testing.T) {
	s := &keyedStore{}
	d, w := newLeaseOwner(t, s, 1, 1000)
	answer(d, w, 1000)
	d.mu.Lock()
	w.lease.Grant(d.clock.Now(), leaseDuration)
	d.applyRegistration(entryRecord("w", "desk", 2000))
	d.mu.Unlock()
	answer(d, w, 2000)
	d.mu.Lock()
	defer d.mu.Unlock()
	now := d.clock.Now()
	w.lease.Grant(now, leaseDuration)
	w.unreachableSince = now
	require.False(t, d.hasLeaseExpired(w, now.Add(testMaxLease)))
	d.dropExtendedLeases(now.Add(testMaxLease + 2*maxLeaseLifetime))
	require.Empty(t, d.extendedLeases)
	d.ledger.Flush(t.Context())
	require.Empty(t, s.records)
}

// TestStartOnOtherIncarnationThanStored guards against a start that goes to another incarnation of a worker than the stored placement
// names: later owners take the worker for one that has restarted since, and wait for its longest lease.
func TestStartOnOtherIncarnationThanStored(t *testing.T) {
	d, w := newLeaseOwner(t, &keyedStore{}, 1, 1000)
	answer(d, w, 1000)
	r := placeLongRunning(t, d, "00000000000000aa")
	d.mu.Lock()
	d.applyRegistration(entryRecord("w", "desk", 2000))
	d.mu.Unlock()
	answer(d, w, 2000)
	d.mu.Lock()
	defer d.mu.Unlock()
	d.ctx = t.Context()
	_, ok := d.prepareStart(r)
	require.False(t, ok)
	require.NotContains(t, d.runs, r.id, "the task is placed anew")
}

// newUnansweredStart returns an owner whose start of a long-running task on the worker "w" was not answered before the worker
// restarted. The new incarnation has registered.
func newUnansweredStart(t *testing.T) (*Dispatcher, *workerState, *run) {
	t.Helper()
	d, w := newLeaseOwner(t, &keyedStore{}, 1, 1000)
	answer(d, w, 1000)
	r := placeLongRunning(t, d, "00000000000000aa")
	d.mu.Lock()
	defer d.mu.Unlock()
	d.ctx = t.Context()
	_, ok := d.prepareStart(r)
	require.True(t, ok)
	d.handleStartResult(r, w, 0, context.DeadlineExceeded)
	d.applyRegistration(entryRecord("w", "desk", 2000))
	return d, w, r
}

// TestLateStartOnLostWorker guards against a task that runs twice at once: its start was not answered, the worker has restarted and is
// cut off, and carries the start out late. Its lease then begins only when the start takes effect.
func TestLateStartOnLostWorker(t *testing.T) {
	d, w, r := newUnansweredStart(t)
	d.mu.Lock()
	defer d.mu.Unlock()
	w.unreachableSince = r.startSentAt
	now := r.startSentAt.Add(lateStartTime + time.Second)
	d.checkLateStarts(now)
	require.False(t, d.hasLeaseExpired(w, now), "the start may have taken effect seconds ago")
	require.True(t, d.hasLeaseExpired(w, now.Add(2*testMaxLease)))
}

// TestRejectedLateStartExtendsLease guards against tasks that run twice at once: a worker that has confirmed the stop of a run rejects
// its late start, but takes the deadline from it. That is a time of the earlier clock, and extends the lease of all runs there.
func TestRejectedLateStartExtendsLease(t *testing.T) {
	d, w, r := newUnansweredStart(t)
	answer(d, w, 2000)
	d.mu.Lock()
	defer d.mu.Unlock()
	lost := r.startSentAt.Add(5 * time.Second)
	w.lease.Grant(lost, leaseDuration) // of a task that was placed there since
	w.unreachableSince = lost
	late := lost.Add(3 * time.Second) // the lease is still in force
	require.False(t, d.hasLeaseExpired(w, late.Add(testMaxLease)))
}

// TestLateStartTakenEffect guards against a run that is given up too early: its start took effect late, on the next incarnation, which
// was cut off at once.
func TestLateStartTakenEffect(t *testing.T) {
	d, w, r := newUnansweredStart(t)
	d.mu.Lock()
	defer d.mu.Unlock()
	listed := r.startSentAt.Add(10 * time.Second)
	d.applyReport(w, reportOf(2000, r), listed, listed)
	require.Equal(t, phaseRunning, r.phase)
	w.unreachableSince = listed
	require.False(t, d.hasLeaseExpired(w, listed.Add(testMaxLease-time.Second)))
}
