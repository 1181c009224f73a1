package dispatch

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hibiscuslane.example/hibiscuslane/instance"
	"hibiscuslane.example/hibiscuslane/platform"
	"hibiscuslane.example/hibiscuslane/queue"
	"hibiscuslane.example/hibiscuslane/task"
	"hibiscuslane.example/hibiscuslane/worker"
)

// TestRestartUnlisted guards against a late start on a restarted worker that stays unknown: the report that shows the
// restart was asked for without the runs, and the worker is not asked again.
func TestRestartUnlisted(t *testing.T) {
	d, s, _, unlisted := newRestart(t)
	d.removeRun(unlisted)
	renewal, _ := d.nextRenewal(s)
	require.True(t, renewal.EndsOnly)
	now := d.clock.Now()
	d.applyReport(s, worker.Report{Incarnation: 2000, Clock: 500}, now, now)
	require.Empty(t, s.runs)
	renewal, isAsked := d.nextRenewal(s)
	require.True(t, isAsked)
	require.False(t, renewal.EndsOnly)
}

// TestStopOfEarlierIncarnation guards against a run that counts as stopped although its start may still take effect: an
// earlier incarnation of the worker has confirmed the stop, and the restart was known before its response.
func TestStopOfEarlierIncarnation(t *testing.T) {
	d := newIdleDispatcher(t, queue.New(1, nil, []queue.Pool{{Name: "desk"}}))
	s := &workerState{id: "w", incarnation: 1000, runs: map[runID]*run{}, renewalRequests: make(chan struct{}, 1), tokenAcknowledged: true}
	d.workers["w"] = s
	r := addRun(d, s, d.firstRunNumber(), phaseUnconfirmed)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		d.mu.Lock()
		d.handleRestart(s, 2000)
		d.mu.Unlock()
		_, _ = w.Write([]byte(`{"clock_ms":500}`))
	}))
	defer server.Close()
	s.client = &platform.Worker{ID: "w", Address: instance.Address(strings.TrimPrefix(server.URL, "http://")), Client: platform.NewDirectClient()}
	d.stopRun(r, d.clock.Now())
	s.orders.take(t.Context())(t.Context())
	sent := d.clock.Now()
	d.applyReport(s, reportOf(2000), sent, sent)
	require.Contains(t, d.runs, r.id)
}

// TestUnknownRunsFillQueue guards against stops that wait for seconds behind hundreds of stops of the same unknown runs: one
// was sent for each report, and a worker may take its time to end a run.
func TestUnknownRunsFillQueue(t *testing.T) {
	d := newIdleDispatcher(t, queue.New(1, nil, []queue.Pool{{Name: "desk"}}))
	s := &workerState{id: "w", incarnation: 1000, runs: map[runID]*run{}, tokenAcknowledged: true, client: &platform.Worker{Client: platform.NewDirectClient()}}
	report := worker.Report{Incarnation: 1000, HasRunning: true}
	const unknownRuns, reports = 16, 20 // reports are requested every 50 ms while there are unknown runs
	for n := range unknownRuns {
		report.Running = append(report.Running, worker.Run{Key: task.Key{Job: "00000000000000bb", Task: n}, Number: 1})
	}
	now := d.clock.Now()
	for range 2 { // a stop that may be lost is repeated after stopRetryInterval, once it has left the queue
		for range reports {
			now = now.Add(2 * minRenewalPause)
			d.applyReport(s, report, now, now)
		}
		require.Len(t, s.orders.stops, unknownRuns)
		for range unknownRuns {
			s.orders.take(t.Context())(t.Context()) // is not answered
		}
	}
}

// TestStartsBehindStops guards against starts that are never sent to a worker that leaves stops unanswered: each takes its
// timeout, and they were queued again before they had been sent.
func TestStartsBehindStops(t *testing.T) {
	d := newIdleDispatcher(t, queue.New(1, nil, []queue.Pool{{Name: "desk"}}))
	s := &workerState{id: "w"}
	var sent []string
	ctx, cancel := context.WithCancel(t.Context())
	stop := func(context.Context) { sent = append(sent, "stop") }
	for range 3 {
		s.orders.addStop(stop)
		s.orders.addOther(func(context.Context) { sent = append(sent, "start"); s.orders.addStop(stop) })
	}
	s.orders.addOther(func(context.Context) { cancel() })
	d.sendOrders(ctx, s)
	require.Equal(t, []string{"stop", "start", "stop", "start", "stop", "start", "stop"}, sent)
}

// TestLeaseOfUnwantedRuns guards against a run of a cancelled job, known or not, whose stops are lost and that the owner
// keeps alive by its renewals.
func TestLeaseOfUnwantedRuns(t *testing.T) {
	d, s, listed, unlisted := newRestart(t)
	listed.job.Outcome = task.StateCancelled
	renewal, _ := d.nextRenewal(s)
	require.NotZero(t, renewal.LeaseDeadline)
	unlisted.job.Outcome = task.StateCancelled
	renewal, isAsked := d.nextRenewal(s)
	require.True(t, isAsked)
	require.Zero(t, renewal.LeaseDeadline)
	d.removeRun(listed)
	d.removeRun(unlisted)
	now := d.clock.Now()
	d.applyReport(s, reportOf(1000, listed), now, now)
	renewal, isAsked = d.nextRenewal(s)
	require.True(t, isAsked)
	require.Zero(t, renewal.LeaseDeadline)
}

// TestLateConfirmation guards against a run that works on for seconds although its job was cancelled: its stop was lost
// while its start was not confirmed yet, and it then counted as wanted until the next list of runs.
func TestLateConfirmation(t *testing.T) {
	d, s, _, _ := newRestart(t)
	r := addRun(d, s, d.firstRunNumber()+2, phaseStarting)
	r.job.Outcome = task.StateCancelled
	d.handleStartResult(r, s, 0, nil)
	require.Equal(t, phaseStopping, r.phase)
	require.True(t, r.stop.pending)
}

// TestRestartWithEarlierClock guards against a restart that stays unknown because the clock of the worker was set back.
func TestRestartWithEarlierClock(t *testing.T) {
	d, s, listed, unlisted := newRestart(t)
	d.removeRun(listed)
	d.removeRun(unlisted)
	_, isAsked := d.nextRenewal(s)
	require.False(t, isAsked)
	d.applyRegistration(entryRecord("w", "desk", 900))
	renewal, isAsked := d.nextRenewal(s)
	require.True(t, isAsked)
	require.False(t, renewal.EndsOnly)
}

// TestLateStartOnNextIncarnation guards against a task that runs twice at once: its start was not answered, the stop was confirmed and
// the task placed elsewhere; then the worker crashed and came back, without knowing of the stop, and the start took effect.
func TestLateStartOnNextIncarnation(t *testing.T) {
	d, s, listed, unlisted := newRestart(t)
	late := addRun(d, s, d.firstRunNumber()+2, phaseStarting)
	late.incarnation = s.incarnation
	d.handleStartResult(late, s, 0, context.DeadlineExceeded)
	d.endLostRun(late, worker.CauseStopped, d.clock.Now())
	var stopped atomic.Int32
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		if strings.Contains(string(body), `"run":1002`) {
			stopped.Add(1)
		}
		_, _ = w.Write([]byte(`{"clock_ms":500}`))
	}))
	defer server.Close()
	s.client = &platform.Worker{ID: "w", Address: instance.Address(strings.TrimPrefix(server.URL, "http://")), Client: platform.NewDirectClient()}
	go d.sendOrders(t.Context(), s)
	for n, incarnation := range []int{2000, 3000} {
		d.mu.Lock()
		d.applyRegistration(entryRecord("w", "desk", incarnation))
		d.mu.Unlock()
		require.Eventually(t, func() bool {
			d.mu.Lock()
			defer d.mu.Unlock()
			d.checkLateStarts(d.clock.Now())
			return stopped.Load() >= int32(n+1) && d.lateStarts["w"][late.id].incarnation == worker.Incarnation(incarnation)
		}, time.Second, time.Millisecond)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.checkLateStarts(d.clock.Now().Add(time.Second))
	require.Empty(t, s.orders.stops, "the incarnation has confirmed the stop")
	require.NotContains(t, d.runs, listed.id)
	require.False(t, unlisted.stop.pending, "it may run on the new incarnation")
	d.checkLateStarts(d.clock.Now().Add(2 * lateStartTime))
	require.Empty(t, d.lateStarts)
}

// TestLateStartForgottenByNextOwner guards against a task that runs twice at once: its start was not answered, the owner failed, and the
// next one does not find the run on the worker and starts the task elsewhere. If the worker then restarts while the store is silent,
// the start may take effect on the new incarnation, which has not seen the higher token, and nobody asks an idle worker.
func TestLateStartForgottenByNextOwner(t *testing.T) {
	s := &keyedStore{}
	d, _ := newLeaseOwner(t, s, 1, 1000)
	r := placeLongRunning(t, d, "00000000000000aa")
	next, w := newLeaseOwner(t, s, 2, 1000)
	answer(next, w, 1000)
	require.NotContains(t, next.runs, r.id)
	renewal, isAsked := next.nextRenewal(w)
	require.True(t, isAsked, "the worker may restart")
	require.Equal(t, maxReportDelay, renewal.MaxWait)
	next.mu.Lock()
	next.checkLateStarts(next.termStart.Add(lateStartTime + time.Millisecond))
	next.mu.Unlock()
	_, isAsked = next.nextRenewal(w)
	require.False(t, isAsked, "the start can no longer take effect")
}
