package dispatch

import (
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
)

const (
	// manyOrders is the number of orders that wait for one worker in these tests.
	manyOrders = 1000
	// maxStopDelay is how long tasks of a cancelled job may run on, and maxGangWait how long a member of a gang waits for the
	// others, on the users' platform.
	maxStopDelay = 3 * time.Second
	maxGangWait  = 3 * time.Second
)

// newOrderedWorker returns a dispatcher with a worker that confirms all orders and counts them, and a function that sends the
// queued ones.
func newOrderedWorker(t *testing.T) (d *Dispatcher, s *workerState, confirmed *atomic.Int64, send func()) {
	t.Helper()
	confirmed = &atomic.Int64{}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		confirmed.Add(1)
		_, _ = w.Write([]byte(`{"clock_ms":500}`))
	}))
	t.Cleanup(server.Close)
	d = newIdleDispatcher(t, queue.New(1, nil, []queue.Pool{{Name: "desk"}}))
	d.applyRegistration(entryRecord("w", "desk", 1000))
	s = d.workers["w"]
	now := d.clock.Now()
	d.applyReport(s, reportOf(1000), now, now)
	s.client = &platform.Worker{ID: "w", Address: instance.Address(strings.TrimPrefix(server.URL, "http://")), Client: platform.NewDirectClient()}
	d.ctx = t.Context()
	return d, s, confirmed, func() { go d.sendOrders(t.Context(), s) }
}

// TestStopsDroppedInLargeCancel guards against tasks of cancelled jobs that run on for seconds: there were more of them on a
// worker than its queue of stops had places, and the stops left out counted as sent.
func TestStopsDroppedInLargeCancel(t *testing.T) {
	d, s, confirmed, send := newOrderedWorker(t)
	d.mu.Lock()
	for n := range manyOrders {
		r := addRun(d, s, task.RunNumber(n+1), phaseRunning)
		r.job.Outcome = task.StateCancelled
		d.stopRun(r, d.clock.Now())
	}
	d.mu.Unlock()
	send()
	require.Eventually(t, func() bool { return confirmed.Load() >= manyOrders }, maxStopDelay, 10*time.Millisecond)
	require.EqualValues(t, manyOrders, confirmed.Load(), "a stop was sent twice")
}

// TestStartsDroppedInLargeGang guards against a gang that is never started whole: it has more members on a worker than the queue
// of starts had places, and the runs left out were removed while the others waited for them.
func TestStartsDroppedInLargeGang(t *testing.T) {
	d, s, confirmed, send := newOrderedWorker(t)
	d.mu.Lock()
	for n := range manyOrders {
		d.enqueueStart(addRun(d, s, task.RunNumber(n+1), phasePlanned))
	}
	require.Equal(t, manyOrders, len(s.runs))
	d.mu.Unlock()
	send()
	require.Eventually(t, func() bool { return confirmed.Load() >= manyOrders }, maxGangWait, 10*time.Millisecond)
}

// TestStopsHeldBack guards against a stop that is repeated late because others wait, and against one that is queued again while it
// waits itself.
func TestStopsHeldBack(t *testing.T) {
	d, s, _, _ := newOrderedWorker(t)
	r := addRun(d, s, 1, phaseRunning)
	now := d.clock.Now()
	d.stopRun(r, now)
	now = now.Add(time.Minute)
	d.stopRun(r, now)
	require.Len(t, s.orders.stops, 1, "the stop is still queued")
	r.stop.pending, r.stop.sentAt = false, now
	d.stopRun(r, now.Add(stopRetryInterval-1))
	require.Len(t, s.orders.stops, 1, "the stop was sent a moment ago")
	d.stopRun(r, now.Add(stopRetryInterval))
	require.Len(t, s.orders.stops, 2, "it may be lost, whatever else waits")
}
