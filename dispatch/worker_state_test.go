package dispatch

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hibiscuslane.example/hibiscuslane/instance"
	"hibiscuslane.example/hibiscuslane/platform"
	"hibiscuslane.example/hibiscuslane/queue"
	"hibiscuslane.example/hibiscuslane/worker"
)

// TestRenewPause guards against idle capacity in a burst of 1 s tasks because ends are noticed late, and
// against an owner that spends too much of its processor time on renewals. The load is a burst on 240 workers with
// ten tasks each, as in a large deployment.
func TestRenewPause(t *testing.T) {
	const workers, taskDuration = 240, time.Second
	pause := renewalPause(workers, renewalCPUTime, 0.8)
	require.Less(t, pause/2, taskDuration/10, "on average, an end waits for half a pause")
	for _, cores := range []float64{0.2, 0.4, 0.8, 1} {
		renewals := workers / renewalPause(workers, renewalCPUTime, cores).Seconds()
		require.LessOrEqual(t, renewals*renewalCPUTime.Seconds(), maxRenewalCPUShare*cores, "cores %v", cores)
	}
}

// TestLateReportDropped guards against reports of an overloaded owner's workers that are dropped because they arrive after a
// fixed time: the ends that they list count as known, and the tasks run again. It also guards against workers that are
// found silent late by an owner with a usual load.
func TestLateReportDropped(t *testing.T) {
	require.Equal(t, minRenewalMargin, renewalMargin(0))
	require.Equal(t, minRenewalMargin, renewalMargin(5*time.Millisecond))
	require.Greater(t, renewalMargin(300*time.Millisecond), time.Second)
	require.Less(t, maxReportDelay+renewalMargin(time.Minute), leaseDuration, "one late report must not cost the lease")
}

// newRestart returns a dispatcher with the worker "w", of incarnation 1000, that runs the task of the first run in
// its report and has confirmed the start of the second one.
func newRestart(t *testing.T) (d *Dispatcher, s *workerState, listed, unlisted *run) {
	t.Helper()
	d = newIdleDispatcher(t, queue.New(1, nil, []queue.Pool{{Name: "desk"}}))
	d.timing.MaxLease = time.Minute
	d.applyRegistration(entryRecord("w", "desk", 1000))
	s = d.workers["w"]
	listed, unlisted = addRun(d, s, d.firstRunNumber(), phaseUnconfirmed), addRun(d, s, d.firstRunNumber()+1, phaseStarting)
	now := d.clock.Now()
	d.applyReport(s, reportOf(1000, listed), now.Add(-time.Second), now)
	d.handleStartResult(unlisted, s, 0, nil)
	return d, s, listed, unlisted
}

// reportOf returns a report that lists the given runs.
func reportOf(incarnation worker.Incarnation, runs ...*run) worker.Report {
	report := worker.Report{Incarnation: incarnation, Clock: 500, HasRunning: true}
	for _, r := range runs {
		report.Running = append(report.Running, worker.Run{Key: r.id.key, Number: r.id.number, SpeedPercent: 100})
	}
	return report
}

// TestRestartConfirmedStart guards against a task that is started a second time while it runs: its worker had restarted, the
// new incarnation confirmed the start, and the owner learned of the restart only then.
func TestRestartConfirmedStart(t *testing.T) {
	d, s, listed, unlisted := newRestart(t)
	d.applyRegistration(entryRecord("w", "desk", 2000))
	require.NotContains(t, d.runs, listed.id, "it has ended with the earlier incarnation")
	require.Contains(t, d.runs, unlisted.id, "the new incarnation may have it")
	require.False(t, d.hasLeaseExpired(s, d.clock.Now().Add(d.timing.MaxLease)), "the deadline was meant for another clock")
	sent := d.clock.Now()
	d.applyReport(s, reportOf(2000, unlisted), sent, sent)
	require.Equal(t, phaseRunning, unlisted.phase)
	require.Equal(t, 1, listed.task().Crashes)
	require.Zero(t, unlisted.task().Crashes)
}

// TestRestartLostStart guards against a task that is never started again, and not blamed for the crash, because its start
// was confirmed by an earlier incarnation of the worker and no report has listed it.
func TestRestartLostStart(t *testing.T) {
	d, s, listed, unlisted := newRestart(t)
	sentBefore := unlisted.startConfirmedAt.Add(-time.Millisecond)
	d.applyReport(s, reportOf(2000), sentBefore, d.clock.Now())
	require.Contains(t, d.runs, unlisted.id, "it may have started after the report was requested")
	require.Zero(t, listed.task().Crashes)
	d.applyReport(s, reportOf(2000), d.clock.Now(), d.clock.Now())
	require.NotContains(t, d.runs, unlisted.id)
	require.Equal(t, 1, listed.task().Crashes)
	require.Equal(t, 1, unlisted.task().Crashes)
}

// TestOutdatedReport guards against a response of an earlier incarnation that arrives after the restart is known and is
// taken for a restart in turn, which ends the runs of the new incarnation.
func TestOutdatedReport(t *testing.T) {
	d, s, _, _ := newRestart(t)
	before := d.clock.Now()
	d.applyRegistration(entryRecord("w", "desk", 2000))
	require.True(t, s.isOutdated(reportOf(1000), before))
	require.False(t, s.isOutdated(reportOf(2000), before))
	require.False(t, s.isOutdated(reportOf(1500), d.clock.Now()), "the clock of the worker was set back")
}

// TestRestartedWorkerIdle guards against a worker that gets no tasks any more: its restart is learned from a report,
// whose clock is forgotten, and without runs it is not asked again.
func TestRestartedWorkerIdle(t *testing.T) {
	d, s, _, _ := newRestart(t)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte(`{"clock_ms":500,"born":2000,"running":[],"ended":[]}`))
	}))
	defer server.Close()
	s.client = &platform.Worker{ID: "w", Address: instance.Address(strings.TrimPrefix(server.URL, "http://")), Client: platform.NewDirectClient()}
	renewal, _ := d.nextRenewal(s)
	d.renewLease(t.Context(), s, renewal)
	require.Equal(t, worker.Incarnation(2000), s.incarnation)
	require.True(t, d.canTakeTasks(s))
}

// TestRenewalLoop guards against a worker that is asked in a loop while the store does not take an end that it has reported:
// it answers at once as long as it lists ends.
func TestRenewalLoop(t *testing.T) {
	d, s, listed, _ := newRestart(t)
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		_, _ = w.Write([]byte(`{"clock_ms":500,"born":1000,"running":[],"ended":[[1,"00000000000000bb.0.0.0",1,"done",""]]}`))
	}))
	defer server.Close()
	s.client = &platform.Worker{ID: "w", Address: instance.Address(strings.TrimPrefix(server.URL, "http://")), Client: platform.NewDirectClient()}
	listed.phase = phaseRunning
	for range 2 {
		require.NotZero(t, d.renewLease(t.Context(), s, platform.Renewal{MaxWait: maxReportDelay, EndsOnly: true}))
	}
}
