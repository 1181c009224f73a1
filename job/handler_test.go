package job

import (
	"context"
	"encoding/json"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hibiscuslane.example/hibiscuslane/record"
	"hibiscuslane.example/hibiscuslane/standin/appendlog"
	"hibiscuslane.example/hibiscuslane/team"
)

// TestHandlerErrors guards against accepting submits that can never run, and against errors without a
// code.
func TestHandlerErrors(t *testing.T) {
	c := newCluster(t, 1)
	c.teams["red"] = team.Spec{Weight: 1, Cores: 8}
	e := c.startAndWait("entry-1")
	const fields = `"team":"red","command":"echo","memory":1,"limit":1`
	tests := []struct {
		name, method, path, body string
		status                   int
		code                     string
	}{
		{"no JSON", http.MethodPost, PathPrefix, `{`, 400, "invalid"},
		{"unknown field", http.MethodPost, PathPrefix, `{"pool":"p","cores":1,"id":"x",` + fields + `}`, 400, "invalid"},
		{"unknown pool", http.MethodPost, PathPrefix, `{"pool":"q","cores":1,` + fields + `}`, 400, "invalid"},
		{"no cores", http.MethodPost, PathPrefix, `{"pool":"p",` + fields + `}`, 400, "invalid"},
		{"larger than the quota", http.MethodPost, PathPrefix, `{"pool":"p","cores":9,` + fields + `}`, 429, "limited"},
		{"unknown job", http.MethodGet, PathPrefix + "/none", "", 404, "missing"},
		{"cancel an unknown job", http.MethodDelete, PathPrefix + "/none", "", 404, "missing"},
		{"unknown call", http.MethodPut, PathPrefix + "/none", "", 404, "missing"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			got := e.serveRequest(test.method, test.path, test.body, "")
			require.Equal(t, test.status, got.Code, got.Body)
			require.Contains(t, got.Body.String(), `"code":"`+test.code+`","outcome":"notrun"`)
		})
	}
	open, ended := e.state.CountJobs()
	require.Zero(t, open+ended)
}

// TestHandlerKey guards against two jobs when a submit is repeated with the same key through another
// entry, and against accepting a key that belongs to a different job.
func TestHandlerKey(t *testing.T) {
	c := newCluster(t, 1)
	first, second := c.startAndWait("entry-1"), c.startAndWait("entry-2")
	body, err := json.Marshal(newSpec("echo"))
	require.NoError(t, err)
	var responses [2]StatusResponse
	for n, e := range []*entry{first, second} {
		got := e.serveRequest(http.MethodPost, PathPrefix, string(body), "k")
		require.Equal(t, http.StatusAccepted, got.Code, got.Body)
		require.NoError(t, json.Unmarshal(got.Body.Bytes(), &responses[n]))
	}
	require.Equal(t, responses[0].ID, responses[1].ID)
	other, err := json.Marshal(newSpec("sleep:1"))
	require.NoError(t, err)
	got := second.serveRequest(http.MethodPost, PathPrefix, string(other), "k")
	require.Equal(t, http.StatusUnprocessableEntity, got.Code)
}

// TestHandlerUnknown guards against the outcome notrun for a submit whose append has an unknown result:
// the record may still appear, and the job then runs.
func TestHandlerUnknown(t *testing.T) {
	c := newCluster(t, 1)
	e := c.startAndWait("entry-1")
	body, err := json.Marshal(newSpec("echo"))
	require.NoError(t, err)
	c.log.SetFaults(appendlog.Faults{LostResponses: 1_000_000})
	got := e.serveRequest(http.MethodPost, PathPrefix, string(body), "k")
	require.Equal(t, http.StatusBadGateway, got.Code, got.Body)
	require.Contains(t, got.Body.String(), `"outcome":"unknown"`)
	c.log.SetFaults(appendlog.Faults{})
	c.advanceUntil(20*time.Second, "the job of the unknown submit", func() bool { j, ok := e.state.JobByIdempotencyKey("red", "k"); return ok && j.Status == StatusDone })
}

// TestHandlerOutage guards against the outcome unknown for a submit that the log refused every time, and
// against a record of that submit after the outage.
func TestHandlerOutage(t *testing.T) {
	c := newCluster(t, 1)
	e := c.startAndWait("entry-1")
	body, err := json.Marshal(newSpec("echo"))
	require.NoError(t, err)
	c.log.SetFaults(appendlog.Faults{Down: true})
	got := e.serveRequest(http.MethodPost, PathPrefix, string(body), "k")
	require.Equal(t, http.StatusServiceUnavailable, got.Code, got.Body)
	require.Contains(t, got.Body.String(), `"outcome":"notrun"`)
	c.log.SetFaults(appendlog.Faults{})
	end := c.clock.Now()
	c.advanceUntil(10*time.Second, "a read after the outage", func() bool { return e.follower.LastRead().After(end) })
	later := e.submit(newSpec("echo"))
	e.awaitStatus(20*time.Second, later, StatusDone)
	_, ok := e.state.JobByIdempotencyKey("red", "k")
	require.False(t, ok)
}

// TestHandlerCancel guards against a task that keeps running after its job is cancelled, and against a
// cancellation that changes a job that has already ended.
func TestHandlerCancel(t *testing.T) {
	c := newCluster(t, 1)
	e := c.startAndWait("entry-1")
	id := e.submit(newSpec("sleep:600000"))
	e.awaitStatus(5*time.Second, id, StatusRunning)
	got := e.serveRequest(http.MethodDelete, PathPrefix+"/"+string(id), "", "")
	require.Equal(t, http.StatusAccepted, got.Code, got.Body)
	require.Contains(t, got.Body.String(), `"status":"cancelled"`)
	c.advanceUntil(3*time.Second, "stop of the task", func() bool { return c.runningTasks() == 0 })
	done := e.submit(newSpec("echo"))
	e.awaitStatus(5*time.Second, done, StatusDone)
	got = e.serveRequest(http.MethodDelete, PathPrefix+"/"+string(done), "", "")
	require.Contains(t, got.Body.String(), `"status":"done"`)
}

// removingProposer applies each record and removes all jobs before it returns.
type removingProposer struct{ h *harness }

func (p removingProposer) Propose(_ context.Context, _ record.Kind, _ record.Author, body any) (record.Offset, error) {
	p.h.apply(body.(Body), newSubmit("other", "x", 1), &Cancel{IDs: []ID{"other"}})
	return 0, nil
}

// TestCancelledJobQueued guards against a job that is reported as queued after its cancellation because it has ended and was
// removed in the meantime.
func TestCancelledJobQueued(t *testing.T) {
	h := &harness{t: t, state: &State{Limits: Limits{MaxEndedJobs: 1}}}
	h.apply(newSubmit("a", "x", 1))
	handler := NewHandler(HandlerOptions{State: h.state, Proposer: removingProposer{h}, Ready: func() bool { return true }})
	_, err := handler.cancel(t.Context(), "a")
	require.True(t, IsNotFound(err))
}
