package fabric

import (
	"bytes"
	"encoding/json"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// sendOrder sends an order to a worker and returns the status of its response, or 0 if there was none.
func sendOrder(t *testing.T, w *Worker, path string, body map[string]any) int {
	t.Helper()
	data, err := json.Marshal(body)
	require.NoError(t, err)
	req, err := http.NewRequest(http.MethodPost, "http://"+w.address+path, bytes.NewReader(data))
	require.NoError(t, err)
	req.Header.Set("X-Target-Instance", w.ID)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0
	}
	defer func() { _ = resp.Body.Close() }()
	return resp.StatusCode
}

// TestRestartAtSameAddress guards against a stand-in on which an order for an earlier incarnation never reaches a later one, or does
// so without the longest lease.
func TestRestartAtSameAddress(t *testing.T) {
	p := NewPlatform()
	defer p.Close()
	p.InitialClock, p.MaxLease = time.Hour, 10*time.Second
	p.AddMachine("desk", 1000, false)
	w, task := p.Workers()[0], JobID(1)+".0.0.0"
	deadline := w.clockMS() + 3500
	w.RestartUnnoticed(100*time.Millisecond, 200*time.Millisecond)
	start := map[string]any{"task": task, "run": 1, "spec": "100 0", "deadline_ms": deadline}
	require.Zero(t, sendOrder(t, w, "/api/run-start", start), "it is down")
	require.Eventually(t, func() bool { return len(p.Workers()) == 1 }, 2*time.Second, time.Millisecond)
	require.Equal(t, http.StatusOK, sendOrder(t, w, "/api/run-start", start))
	require.Equal(t, w.ID, p.RunningTasks()[task])
	require.InDelta(t, 10, p.Workers()[0].RemainingLease().Seconds(), 1)
	require.Equal(t, string(w.registration()), p.Store.Value("keyed.servers", w.ID), "it registers later")
	require.Eventually(t, func() bool {
		return p.Store.Value("keyed.servers", w.ID) == string(p.Workers()[0].registration())
	}, 2*time.Second, time.Millisecond)
	require.Empty(t, p.Violations())
}

// TestEntryExpiry guards against a cut-off worker whose entry stays, or does not return with the connection.
func TestEntryExpiry(t *testing.T) {
	p := NewPlatform()
	defer p.Close()
	machine := p.AddMachine("desk", 1000, false)
	id := p.Workers()[0].ID
	p.SetStoreReachable(machine, false)
	silence := maxMissedHeartbeats * heartbeatInterval
	require.Never(t, func() bool { return p.Store.Value("keyed.servers", id) == "" }, silence-time.Second, 50*time.Millisecond)
	require.Eventually(t, func() bool { return p.Store.Value("keyed.servers", id) == "" }, 2*time.Second, 10*time.Millisecond)
	p.SetStoreReachable(machine, true)
	require.Eventually(t, func() bool { return p.Store.Value("keyed.servers", id) != "" }, 2*time.Second, 10*time.Millisecond)
}

// TestLongRunningEnds guards against violations by the further starts of a long-running task, and against two runs of one that pass.
func TestLongRunningEnds(t *testing.T) {
	p := NewPlatform()
	defer p.Close()
	job := Job{ID: JobID(1), CPU: 100, Millis: 50, Counts: []int{1}, LongRunning: true}
	p.ExpectJob(job)
	worker, task := &Worker{ID: "i-1"}, job.ID+".0.0.0"
	for run := range int64(2) {
		p.recordStart(worker, orderBody{Task: task, Run: run, Spec: job.Spec()})
		p.recordEnd(worker, task, run, "done")
		p.recordAcknowledgement(task, run, "done")
	}
	require.Zero(t, p.DoneAt(job.ID))
	require.Empty(t, p.Violations())
	for run := range int64(2) {
		p.recordStart(worker, orderBody{Task: task, Run: 2 + run, Spec: job.Spec()})
	}
	require.Len(t, p.Violations(), 1)
	require.Contains(t, p.Violations()[0], "two runs of "+task+" at once")
}
