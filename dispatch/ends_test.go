package dispatch

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"hibiscuslane.example/hibiscuslane/instance"
	"hibiscuslane.example/hibiscuslane/platform"
	"hibiscuslane.example/hibiscuslane/queue"
	"hibiscuslane.example/hibiscuslane/task"
	"hibiscuslane.example/hibiscuslane/worker"
)

// TestEndsBeyondListRunAgain guards against tasks that are done and run again: more ends wait at a worker than one report
// lists, because the owner was paused or has changed, and the runs that the report leaves out were taken for lost.
func TestEndsBeyondListRunAgain(t *testing.T) {
	const count, perReport = 1200, platform.MaxListedEnds
	d := newIdleDispatcher(t, queue.New(1, nil, []queue.Pool{{Name: "desk"}}))
	d.applyRegistration(entryRecord("w", "desk", 1000))
	s := d.workers["w"]
	for n := range count { // earlier owners started some runs, the other starts are confirmed or to be stopped
		r := addRun(d, s, task.RunNumber(n), []runPhase{phaseUnconfirmed, phaseRunning, phaseStopping}[n%3])
		r.startConfirmedAt, r.stop.confirmedAt = d.termStart, d.termStart
	}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, request *http.Request) {
		var renewal struct {
			LastSeen int `json:"last_seen"`
		}
		_ = json.NewDecoder(request.Body).Decode(&renewal)
		var ends []string
		for n := renewal.LastSeen + 1; n <= min(count, renewal.LastSeen+perReport); n++ {
			ends = append(ends, fmt.Sprintf(`[%d,"00000000000000aa.0.0.0",%d,"done",""]`, n, n-1))
		}
		_, _ = fmt.Fprintf(w, `{"clock_ms":500,"born":1000,"running":[],"ended":[%s]}`, strings.Join(ends, ","))
	}))
	defer server.Close()
	s.client = &platform.Worker{ID: "w", Address: instance.Address(strings.TrimPrefix(server.URL, "http://")), Client: platform.NewDirectClient()}
	for listed := perReport; listed < count; listed += perReport {
		renewal, _ := d.nextRenewal(s)
		d.renewLease(t.Context(), s, renewal)
		require.Equal(t, count-listed, len(s.runs), "the ends of the other runs are not known yet")
		s.storedEnd = s.reportedEnd
		require.False(t, s.isSettled(), "a move or maintenance of the machine would lose the other ends")
	}
	clear(s.runs) // runs that the owner does not know have ends, too
	renewal, isAsked := d.nextRenewal(s)
	require.True(t, isAsked)
	require.Equal(t, worker.EndNumber(count/perReport*perReport), renewal.LastSeenEnd)
	d.renewLease(t.Context(), s, renewal)
	s.storedEnd = s.reportedEnd
	require.Equal(t, worker.EndNumber(count), s.storedEnd)
	require.True(t, s.isSettled())
	require.Zero(t, d.counters.LostRuns)
}
