package job

import (
	"encoding/json"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hibiscuslane.example/hibiscuslane/standin/appendlog"
	"hibiscuslane.example/hibiscuslane/team"
)

// TestHandlerErrors guards against submits that cannot run and are accepted, and errors without a code.
func TestHandlerErrors(t *testing.T) {
	w := newWorld(t, 1)
	w.teams["red"] = team.Spec{Weight: 1, Cores: 8}
	e := w.ready("entry-1")
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
			got := e.call(test.method, test.path, test.body, "")
			require.Equal(t, test.status, got.Code, got.Body)
			require.Contains(t, got.Body.String(), `"code":"`+test.code+`","outcome":"notrun"`)
		})
	}
	open, ended := e.state.CountJobs()
	require.Zero(t, open+ended)
}

// TestHandlerKey guards against two jobs for one key through two entries, and a key that is used for
// another job.
func TestHandlerKey(t *testing.T) {
	w := newWorld(t, 1)
	first, second := w.ready("entry-1"), w.ready("entry-2")
	body, err := json.Marshal(spec("echo"))
	require.NoError(t, err)
	var answers [2]StatusResponse
	for n, e := range []*entry{first, second} {
		got := e.call(http.MethodPost, PathPrefix, string(body), "k")
		require.Equal(t, http.StatusAccepted, got.Code, got.Body)
		require.NoError(t, json.Unmarshal(got.Body.Bytes(), &answers[n]))
	}
	require.Equal(t, answers[0].ID, answers[1].ID)
	other, err := json.Marshal(spec("sleep:1"))
	require.NoError(t, err)
	got := second.call(http.MethodPost, PathPrefix, string(other), "k")
	require.Equal(t, http.StatusUnprocessableEntity, got.Code)
}

// TestHandlerUnknown guards against a submit whose append result is unknown and that is answered as
// notrun: the record may appear, and the job then runs.
func TestHandlerUnknown(t *testing.T) {
	w := newWorld(t, 1)
	e := w.ready("entry-1")
	body, err := json.Marshal(spec("echo"))
	require.NoError(t, err)
	w.log.SetFaults(appendlog.Faults{Lose: 1_000_000})
	got := e.call(http.MethodPost, PathPrefix, string(body), "k")
	require.Equal(t, http.StatusBadGateway, got.Code, got.Body)
	require.Contains(t, got.Body.String(), `"outcome":"unknown"`)
	w.log.SetFaults(appendlog.Faults{})
	w.until(20*time.Second, "the job of the unknown submit", func() bool { j, ok := e.state.JobByIdempotencyKey("red", "k"); return ok && j.Status == StatusDone })
}

// TestHandlerOutage guards against a submit that is answered as unknown although the log refused it each
// time, and against a record of it that appears after the outage.
func TestHandlerOutage(t *testing.T) {
	w := newWorld(t, 1)
	e := w.ready("entry-1")
	body, err := json.Marshal(spec("echo"))
	require.NoError(t, err)
	w.log.SetFaults(appendlog.Faults{Down: true})
	got := e.call(http.MethodPost, PathPrefix, string(body), "k")
	require.Equal(t, http.StatusServiceUnavailable, got.Code, got.Body)
	require.Contains(t, got.Body.String(), `"outcome":"notrun"`)
	w.log.SetFaults(appendlog.Faults{})
	end := w.manual.Now()
	w.until(10*time.Second, "a read after the outage", func() bool { return e.follower.Contact().After(end) })
	later := e.submit(spec("echo"))
	e.awaitStatus(20*time.Second, later, StatusDone)
	_, ok := e.state.JobByIdempotencyKey("red", "k")
	require.False(t, ok)
}

// TestHandlerCancel guards against a cancelled job that runs on, and a cancellation that changes a job
// that has ended.
func TestHandlerCancel(t *testing.T) {
	w := newWorld(t, 1)
	e := w.ready("entry-1")
	id := e.submit(spec("sleep:600000"))
	e.awaitStatus(5*time.Second, id, StatusRunning)
	got := e.call(http.MethodDelete, PathPrefix+"/"+string(id), "", "")
	require.Equal(t, http.StatusAccepted, got.Code, got.Body)
	require.Contains(t, got.Body.String(), `"status":"cancelled"`)
	w.until(3*time.Second, "stop", func() bool { return w.running() == 0 })
	done := e.submit(spec("echo"))
	e.awaitStatus(5*time.Second, done, StatusDone)
	got = e.call(http.MethodDelete, PathPrefix+"/"+string(done), "", "")
	require.Contains(t, got.Body.String(), `"status":"done"`)
}
