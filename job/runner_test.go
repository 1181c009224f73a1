package job

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestRun guards against a job that is not placed, started, finished or readable.
func TestRun(t *testing.T) {
	w := newWorld(t, 3)
	e := w.ready("entry-1")
	s := spec("echo")
	s.Input = "hello"
	id := e.submit(s)
	took := e.awaitStatus(5*time.Second, id, StatusDone)
	t.Logf("done after %v", took)
	got := e.call(http.MethodGet, Prefix+"/"+string(id), "", "")
	require.Equal(t, http.StatusOK, got.Code)
	require.Contains(t, got.Body.String(), `"output":"hello"`)
	require.Len(t, w.runs(id), 1)
}
