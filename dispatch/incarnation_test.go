package dispatch

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hibiscuslane.example/hibiscuslane/instance"
	"hibiscuslane.example/hibiscuslane/platform"
	"hibiscuslane.example/hibiscuslane/queue"
	"hibiscuslane.example/hibiscuslane/worker"
)

// TestStartReachesUnnoticedIncarnation guards against a task that runs twice at once: a worker restarts under its id, and the owner,
// which has not noticed, starts a task there with a deadline of the earlier clock. The worker is cut off, and neither this owner nor
// the next one knows that the lease of the new incarnation lasts for the longest time.
func TestStartReachesUnnoticedIncarnation(t *testing.T) {
	s := &keyedStore{}
	d, w := newLeaseOwner(t, s, 1, 1000)
	answer(d, w, 1000)
	r := placeLongRunning(t, d, "00000000000000aa")
	started := make(chan string, 1)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	server := &httptest.Server{Listener: listener, Config: &http.Server{Handler: http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/api/run-start" {
			started <- r.URL.Path
		}
		_, _ = io.WriteString(rw, `{"born":2000,"clock_ms":40,"running":[],"ended":[]}`)
	})}}
	server.Start()
	defer server.Close()
	d.connect(w, instance.Address(listener.Addr().String()))
	d.ctx = t.Context()
	ctx, cancel := context.WithTimeout(t.Context(), orderTimeout)
	defer cancel()
	d.sendStart(ctx, r)
	require.Empty(t, started, "the start was meant for the earlier incarnation")
	require.NotContains(t, d.runs, r.id, "the task can be placed elsewhere at once")
	require.EqualValues(t, 2000, w.incarnation, "the restart is known")
	require.False(t, w.tokenAcknowledged)
	renewal, _ := d.nextRenewal(w)
	require.Zero(t, renewal.LeaseDeadline, "the clock of the new incarnation is not known")
	d.renewLease(t.Context(), w, renewal)
	require.True(t, w.tokenAcknowledged)
	require.Equal(t, worker.Incarnation(2000), w.client.Incarnation)
}

// TestRenewalReachesNextIncarnation guards against a renewal that was made for one incarnation of a worker and waits for the lock while
// the owner learns of the next one: it would extend the lease of that one by the earlier clock and make it forget ends that were not read.
func TestRenewalReachesNextIncarnation(t *testing.T) {
	var bodies []string
	server := httptest.NewServer(http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		bodies = append(bodies, string(body))
		_, _ = io.WriteString(rw, `{"born":2000,"clock_ms":40,"running":[],"ended":[[1,"00000000000000bb.0.0.0",1,"done",""]]}`)
	}))
	defer server.Close()
	d, s, _, _ := newRestart(t)
	d.workerClient = platform.NewDirectClient()
	s.reportedEnd, s.storedEnd = 5, 5
	renewal, _ := d.nextRenewal(s)
	require.NotZero(t, renewal.LeaseDeadline)
	d.handleRestart(s, 2000)
	d.connect(s, addressOf(server))
	d.renewLease(t.Context(), s, renewal)
	for _, body := range bodies {
		require.Contains(t, body, `"last_seen":0`)
		require.NotContains(t, body, "deadline_ms")
	}
	require.Zero(t, s.ackedEnd)
}

// TestConnectionsOfEarlierTerm guards against an owner that runs out of descriptors because each of its terms leaves two connections to
// each worker open, as does each worker that has left.
func TestConnectionsOfEarlierTerm(t *testing.T) {
	for name, end := range map[string]func(*Dispatcher){
		"term": (*Dispatcher).closeClients,
		"worker": func(d *Dispatcher) {
			d.applyRegistration(platform.Record{Key: "w"})
			d.checkTimeouts()
		},
	} {
		closed := make(chan struct{}, 10)
		server := httptest.NewUnstartedServer(http.HandlerFunc(func(rw http.ResponseWriter, _ *http.Request) {
			_, _ = io.WriteString(rw, `{"born":1000,"clock_ms":500,"running":[],"ended":[]}`)
		}))
		server.Config.ConnState = func(_ net.Conn, state http.ConnState) {
			if state == http.StateClosed {
				closed <- struct{}{}
			}
		}
		server.Start()
		defer server.Close()
		d := newIdleDispatcher(t, queue.New(1, nil, []queue.Pool{{Name: "desk"}}))
		d.applyRegistration(entryRecord("w", "desk", 1000))
		s := d.workers["w"]
		d.connect(s, addressOf(server))
		d.renewLease(t.Context(), s, platform.Renewal{})
		require.True(t, s.tokenAcknowledged)
		end(d)
		select {
		case <-closed:
		case <-time.After(time.Second):
			require.Fail(t, "the connection stays open", name)
		}
	}
}

// TestAcknowledgementCarriedOutLate guards against ends that nobody has read and a later incarnation forgets, because one of many
// renewals that repeated an acknowledgement to the earlier one is carried out late: the tasks run again.
func TestAcknowledgementCarriedOutLate(t *testing.T) {
	d, s, _, _ := newRestart(t)
	s.storedEnd = 5
	renewal, _ := d.nextRenewal(s)
	require.EqualValues(t, 5, renewal.LastSeenEnd)
	s.ackedEnd = 5
	renewal, _ = d.nextRenewal(s)
	require.Zero(t, renewal.LastSeenEnd)
}
