package dispatch

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hibiscuslane.example/hibiscuslane/election"
	"hibiscuslane.example/hibiscuslane/instance"
	"hibiscuslane.example/hibiscuslane/platform"
	"hibiscuslane.example/hibiscuslane/pool"
	"hibiscuslane.example/hibiscuslane/queue"
	"hibiscuslane.example/hibiscuslane/task"
	"hibiscuslane.example/hibiscuslane/timer"
	"hibiscuslane.example/hibiscuslane/worker"
)

// newAdvisedOwner returns an owner with a waiting job of testQueue, which needs advice, in the pool "desk". Its advice service
// handles requests with the given handler.
func newAdvisedOwner(t *testing.T, clock *timer.Service, handler http.HandlerFunc) (*Dispatcher, *job) {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	advisor := &platform.Advisor{Address: instance.Address(strings.TrimPrefix(server.URL, "http://")), HTTP: server.Client()}
	d := New(t.Context(), election.Gained{Epoch: 1}, Options{Clock: clock, Advisor: advisor})
	d.SetConfig(advisedConfig(1, "desk"))
	j := &job{Job: task.New(testJob, string(testQueue), "desk", testSpec, clock.Now())}
	d.applyQueueConfig(j)
	d.jobs[j.ID] = j
	d.insertOpenJob(j)
	return d, j
}

func advisedConfig(version queue.Version, name pool.Name) *queue.Config {
	return queue.New(version, []queue.Queue{{Name: testQueue, Pool: name, NeedsAdvice: true}}, []queue.Pool{{Name: "desk"}, {Name: "till"}})
}

// addReadyWorker adds a worker that can take tasks and has no connection.
func addReadyWorker(d *Dispatcher, id worker.ID, name pool.Name) {
	registration := worker.Registration{ID: id, Pool: name, State: worker.StateReady, Capacity: task.Resources{CPU: 10}}
	s := &workerState{id: id, registration: registration, runs: map[runID]*run{}, tokenAcknowledged: true}
	s.lease.RecordClock(1000, d.clock.Now())
	d.workers[id], d.registrations[id] = s, registration
}

// TestAdviceForFormerPool guards against a job that never runs because its queue has changed to another pool while the job
// waited, and only workers of the former one are asked about.
func TestAdviceForFormerPool(t *testing.T) {
	clock := &timer.Service{}
	d, _ := newAdvisedOwner(t, clock, func(w http.ResponseWriter, _ *http.Request) {
		_, _ = fmt.Fprint(w, `{"good":[["w1","t1"],["w2","t2"]],"valid_ms":60000}`)
	})
	addReadyWorker(d, "w1", "desk")
	addReadyWorker(d, "w2", "till")
	advised := func(name pool.Name) map[worker.ID]string {
		d.pendingSteps(clock.Now())
		require.Len(t, d.adviceRequests, 1)
		require.True(t, d.requestAdvice(<-d.adviceRequests))
		return d.pendingSteps(clock.Now())[name][0].Tickets
	}
	require.Equal(t, map[worker.ID]string{"w1": "t1"}, advised("desk"))
	d.SetConfig(advisedConfig(2, "till"))
	require.Equal(t, map[worker.ID]string{"w2": "t2"}, advised("till"))
	d.SetConfig(advisedConfig(3, "desk"))
	require.Equal(t, map[worker.ID]string{"w1": "t1"}, d.pendingSteps(clock.Now())["desk"][0].Tickets)
	require.Empty(t, d.adviceRequests, "a ticket stays valid")
}

// TestAdviceOfFinishedSteps guards against an owner whose memory grows with each step that it has asked about in its term.
func TestAdviceOfFinishedSteps(t *testing.T) {
	d, j := newAdvisedOwner(t, &timer.Service{}, http.NotFound)
	d.pendingSteps(d.clock.Now())
	d.checkTimeouts()
	require.Len(t, d.adviceByStep, 1)
	j.FinishTask(task.Key{Job: j.ID}, d.clock.Now())
	d.slowCheckAt, d.timeoutsCheckedAt = time.Time{}, time.Time{}
	d.checkTimeouts()
	require.Empty(t, d.adviceByStep)
}

// TestAdviceTimeout guards against a request whose time runs on another clock than that of the owner.
func TestAdviceTimeout(t *testing.T) {
	asked, done := make(chan struct{}), make(chan struct{})
	clock := timer.NewManual(time.Unix(1000, 0))
	d, _ := newAdvisedOwner(t, &clock.Service, func(http.ResponseWriter, *http.Request) {
		close(asked)
		<-done
	})
	defer close(done)
	addReadyWorker(d, "w1", "desk")
	d.pendingSteps(clock.Now())
	succeeded := make(chan bool, 1)
	go func() { succeeded <- d.requestAdvice(<-d.adviceRequests) }()
	<-asked
	clock.Advance(adviceTimeout)
	select {
	case ok := <-succeeded:
		require.False(t, ok)
	case <-time.After(adviceTimeout / 2):
		require.Fail(t, "the request goes on")
	}
}

// TestTicketOfEarlierIncarnation guards against starts that a worker rejects until their ticket expires: it restarted while the advice
// service handled the request, and the ticket, which holds for the earlier incarnation only, was kept as one of the later.
func TestTicketOfEarlierIncarnation(t *testing.T) {
	clock := &timer.Service{}
	var d *Dispatcher
	var j *job
	asked := 0
	d, j = newAdvisedOwner(t, clock, func(w http.ResponseWriter, _ *http.Request) {
		asked++
		_, _ = fmt.Fprintf(w, `{"good":[["w1","t%d"]],"valid_ms":60000}`, asked)
		d.mu.Lock()
		defer d.mu.Unlock()
		d.workers["w1"].incarnation = 2000
	})
	addReadyWorker(d, "w1", "desk")
	d.workers["w1"].incarnation = 1000
	d.pendingSteps(clock.Now())
	require.True(t, d.requestAdvice(<-d.adviceRequests))
	pending := d.pendingSteps(clock.Now())[j.Pool]
	require.Empty(t, pending[0].Tickets, "the ticket was issued before the restart or after it")
	require.Len(t, d.adviceRequests, 1, "the service is asked again")
	require.True(t, d.requestAdvice(<-d.adviceRequests))
	pending = d.pendingSteps(clock.Now())[j.Pool]
	require.Equal(t, map[worker.ID]string{"w1": "t2"}, pending[0].Tickets)
}

// TestRejectedTicket guards against a task that waits until a ticket expires which the worker rejects: it was issued for an earlier
// incarnation, and the service was not asked again.
func TestRejectedTicket(t *testing.T) {
	clock := &timer.Service{}
	d, j := newAdvisedOwner(t, clock, func(w http.ResponseWriter, _ *http.Request) {
		_, _ = fmt.Fprint(w, `{"good":[["w1","t1"]],"valid_ms":60000}`)
	})
	addReadyWorker(d, "w1", "desk")
	d.pendingSteps(clock.Now())
	require.True(t, d.requestAdvice(<-d.adviceRequests))
	s := d.workers["w1"]
	r := &run{id: runID{key: task.Key{Job: j.ID}, number: d.firstRunNumber()}, job: j, step: &j.Spec.Steps[0], worker: s, workerID: s.id, phase: phaseStarting}
	d.runs[r.id] = r
	s.reserve(r)
	d.handleStartResult(r, s, 0, &platform.StatusError{Status: http.StatusConflict, Reason: "ticket"})
	require.Empty(t, d.pendingSteps(clock.Now().Add(time.Second))["desk"][0].Tickets)
	require.Len(t, d.adviceRequests, 1)
}
