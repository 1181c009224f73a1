package process_test

import (
	"context"
	"errors"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hibiscuslane.example/hibiscuslane/settings"
	"hibiscuslane.example/hibiscuslane/standin/fabric"
)

// TestJobs guards against a path that loses, repeats or reorders tasks on a calm day.
func TestJobs(t *testing.T) {
	t.Parallel()
	w := newWorld(t)
	w.Publish(1, []string{"desk", "gate"}, "")
	for range 3 {
		w.AddMachine("desk", cores16, false)
		w.AddMachine("gate", cores16, false)
	}
	first, second := w.start("entry-1"), w.start("entry-2")
	for n := range 20 {
		w.submit([]*entry{first, second}[n%2], "desk", fabric.JobID(n), fabric.Job(3000, 60, 4, 3))
	}
	for n := range 20 {
		w.awaitDone([]*entry{second, first}[n%2], "desk", fabric.JobID(n))
	}
	require.Equal(t, 1, w.Starts(fabric.JobID(3)+".0.1.2"))
	status, body := w.call(first, http.MethodGet, "/desk/", "")
	require.Equal(t, http.StatusOK, status)
	require.JSONEq(t, `{"waiting":0}`, body)
	require.Equal(t, fabric.Missing, w.state(second, "desk", fabric.JobID(999)))
	status, _ = w.call(first, http.MethodPost, "/other/"+fabric.JobID(1), fabric.Job(1, 1, 1))
	require.Equal(t, http.StatusNotFound, status)
	status, _ = w.call(first, http.MethodPost, "/desk/"+fabric.JobID(1000), `{"steps":"none"}`)
	require.Equal(t, http.StatusBadRequest, status)
}

// TestOwnerReplaced guards against jobs that are lost or run twice when the owner stops while tasks run.
func TestOwnerReplaced(t *testing.T) {
	t.Parallel()
	w := newWorld(t)
	w.Publish(1, []string{"desk"}, "")
	for range 4 {
		w.AddMachine("desk", cores16, false)
	}
	first, second := w.start("entry-1"), w.start("entry-2")
	for n := range 30 {
		w.submit(second, "desk", fabric.JobID(n), fabric.Job(4000, 150, 3, 2))
	}
	first.stop()
	for n := range 30 {
		w.awaitDone(second, "desk", fabric.JobID(n))
	}
}

// TestOutcomeStored guards against callers that are told of an outcome which a later owner does not know:
// the state of a job, and the answer to a repeated cancel, while the store is away.
func TestOutcomeStored(t *testing.T) {
	t.Parallel()
	w := newWorld(t)
	w.Publish(1, []string{"desk"}, "")
	w.AddMachine("desk", cores16, false)
	e := w.start("entry-1")
	w.submit(e, "desk", fabric.JobID(1), fabric.Job(1000, 300, 1))
	w.submit(e, "desk", fabric.JobID(2), fabric.Job(1000, 20000, 1))
	require.Eventually(t, func() bool { return w.Starts(fabric.JobID(1)+".0.0.0") == 1 && w.Starts(fabric.JobID(2)+".0.0.0") == 1 }, patience, poll)
	w.Store.SetFaults(fabric.Faults{Busy: true})
	time.Sleep(600 * time.Millisecond) // the task ends meanwhile; a longer pause changes nothing
	require.Equal(t, fabric.Running, w.state(e, "desk", fabric.JobID(1)))
	for range 2 {
		status, _ := w.call(e, http.MethodDelete, "/desk/"+fabric.JobID(2), "")
		require.NotEqual(t, http.StatusOK, status, "a cancel that is not stored must not be acknowledged")
	}
	w.Store.SetFaults(fabric.Faults{})
	w.awaitDone(e, "desk", fabric.JobID(1))
	require.Eventually(t, func() bool {
		status, _ := w.call(e, http.MethodDelete, "/desk/"+fabric.JobID(2), "")
		return status == http.StatusOK
	}, patience, poll)
	require.Equal(t, fabric.Cancelled, w.state(e, "desk", fabric.JobID(2)))
}

// TestStoreRefuses guards against jobs that wait for their deadline although the store is known to be away,
// and against refused jobs that run all the same.
func TestStoreRefuses(t *testing.T) {
	t.Parallel()
	w := newWorld(t)
	w.Publish(1, []string{"desk"}, "")
	w.AddMachine("desk", cores16, false)
	e := w.start("entry-1")
	w.submit(e, "desk", fabric.JobID(1), fabric.Job(1000, 50, 1))
	w.awaitDone(e, "desk", fabric.JobID(1))
	w.Store.SetFaults(fabric.Faults{Busy: true})
	for n := 2; n < 4; n++ {
		begin := time.Now()
		status, _ := w.call(e, http.MethodPost, "/desk/"+fabric.JobID(n), fabric.Job(1000, 50, 1))
		require.Equal(t, http.StatusServiceUnavailable, status)
		require.Less(t, time.Since(begin), 1500*time.Millisecond, "refused only near the deadline of 3 s")
	}
	w.Store.SetFaults(fabric.Faults{})
	w.submit(e, "desk", fabric.JobID(4), fabric.Job(1000, 50, 1))
	w.awaitDone(e, "desk", fabric.JobID(4))
	require.Zero(t, w.Starts(fabric.JobID(2)+".0.0.0"))
	require.Zero(t, w.Starts(fabric.JobID(3)+".0.0.0"))
}

// TestLostAnswers guards against records that are stored twice or not at all when the store gives no
// answer to an append.
func TestLostAnswers(t *testing.T) {
	t.Parallel()
	w := newWorld(t)
	w.Publish(1, []string{"desk"}, "")
	w.AddMachine("desk", cores16, false)
	e := w.start("entry-1")
	for n := range 10 {
		w.Store.SetFaults(fabric.Faults{Lose: 1})
		w.submit(e, "desk", fabric.JobID(n), fabric.Job(1000, 50, 2, 1))
	}
	for n := range 10 {
		w.awaitDone(e, "desk", fabric.JobID(n))
	}
}

// TestWorkerReplaced guards against tasks that stay with a worker whose machine has begun another life,
// and against two runs of a task when a worker only fell silent.
func TestWorkerReplaced(t *testing.T) {
	t.Parallel()
	w := newWorld(t)
	w.Publish(1, []string{"desk"}, "")
	machines := []string{w.AddMachine("desk", cores16, false), w.AddMachine("desk", cores16, false)}
	e := w.start("entry-1")
	for n := range 8 {
		w.submit(e, "desk", fabric.JobID(n), fabric.Job(4000, 800, 1))
	}
	require.Eventually(t, func() bool { return w.Starts(fabric.JobID(7)+".0.0.0") == 1 }, patience, poll)
	begin := time.Now()
	w.Crash(machines[0], 100*time.Millisecond)
	for n := range 8 {
		w.awaitDone(e, "desk", fabric.JobID(n))
	}
	// Leases last 3.5 s: the tasks were not kept until their end.
	require.Less(t, time.Since(begin), 3*time.Second)
	for _, worker := range w.Workers() {
		worker.SetDark(true)
	}
	w.submit(e, "desk", fabric.JobID(100), fabric.Job(4000, 100, 1))
	time.Sleep(time.Second) // the order has no answer meanwhile; a longer pause changes nothing
	for _, worker := range w.Workers() {
		worker.SetDark(false)
	}
	w.awaitDone(e, "desk", fabric.JobID(100))
}

// TestLateOrders guards against a second run of a task whose order had no answer and was carried out late.
func TestLateOrders(t *testing.T) {
	t.Parallel()
	w := newWorld(t)
	w.Publish(1, []string{"desk"}, "")
	for range 2 {
		w.AddMachine("desk", cores16, false)
	}
	e := w.start("entry-1")
	for _, worker := range w.Workers() {
		worker.DelayStarts(3, 1500*time.Millisecond)
	}
	for n := range 10 {
		w.submit(e, "desk", fabric.JobID(n), fabric.Job(6000, 200, 1))
	}
	for n := range 10 {
		w.awaitDone(e, "desk", fabric.JobID(n))
	}
}

// TestWave guards against waves that are late, that take too many machines at once or tasks along, and
// against their state not being published.
func TestWave(t *testing.T) {
	t.Parallel()
	w := newWorld(t)
	w.Publish(1, []string{"desk"}, "")
	var machines []string
	for range 6 {
		machines = append(machines, w.AddMachine("desk", cores16, false))
	}
	e := w.start("entry-1")
	for n := range 10 {
		w.submit(e, "desk", fabric.JobID(n), fabric.Job(4000, 300, 2))
	}
	w.RequestWave(1, machines[:4], 10, 2)
	require.Eventually(t, func() bool {
		return w.WaveCompleted(1)
	}, patience, poll)
	maintained := map[string]bool{}
	for _, order := range w.Orders() {
		if len(order) > 6 && order[:6] == "upkeep" {
			maintained[order] = true
		}
	}
	require.Len(t, maintained, 4)
	for n := range 10 {
		w.awaitDone(e, "desk", fabric.JobID(n))
		require.Equal(t, 1, w.Starts(fabric.JobID(n)+".0.0.0"), "a task was taken along")
	}
}

// TestMachinesFollow guards against a burst that waits for its own pool while others are idle.
func TestMachinesFollow(t *testing.T) {
	t.Parallel()
	w := newWorld(t)
	w.Publish(1, []string{"desk", "gate"}, "spare")
	for range 6 {
		w.AddMachine("desk", cores16, false)
		w.AddMachine("gate", cores16, false)
	}
	for range 4 {
		w.AddMachine("spare", cores16, true)
	}
	e := w.start("entry-1")
	for n := range 60 {
		w.submit(e, "desk", fabric.JobID(n), fabric.Job(8000, 700, 4))
	}
	require.Eventually(t, func() bool { return len(w.Orders()) >= 4 }, patience, poll, "no machine was moved")
	for n := range 60 {
		w.awaitDone(e, "desk", fabric.JobID(n))
	}
}

// TestAllRestart guards against jobs that are lost when all entries end at once and the history of the
// operator's records is gone.
func TestAllRestart(t *testing.T) {
	t.Parallel()
	w := newWorld(t)
	w.Publish(1, []string{"desk"}, "")
	for range 2 {
		w.AddMachine("desk", cores16, false)
	}
	first, second := w.start("entry-1"), w.start("entry-2")
	for n := range 10 {
		w.submit(first, "desk", fabric.JobID(n), fabric.Job(4000, 400, 2, 2))
	}
	first.stop()
	second.stop()
	<-first.done
	<-second.done
	w.ForgetHistory()
	third := w.start("entry-3")
	for n := range 10 {
		w.awaitDone(third, "desk", fabric.JobID(n))
	}
}

// TestMaintainedBefore guards against tasks that run twice because the platform confirms an order for
// maintenance that an earlier owner's order has carried out: the worker of the machine lives on.
func TestMaintainedBefore(t *testing.T) {
	t.Parallel()
	w := newWorld(t)
	w.Publish(1, []string{"desk"}, "")
	machine := w.AddMachine("desk", cores16, false)
	w.AddMachine("desk", cores16, false)
	require.NoError(t, w.Maintain(t.Context(), machine, 1))
	e := w.start("entry-1")
	require.Eventually(t, func() bool { return len(w.Workers()) == 2 }, patience, poll)
	for n := range 6 {
		w.submit(e, "desk", fabric.JobID(n), fabric.Job(5000, 7000, 1))
	}
	require.Eventually(t, func() bool { return w.Starts(fabric.JobID(5)+".0.0.0") == 1 }, patience, poll)
	w.RequestWave(1, []string{machine}, 3, 1)
	require.Eventually(t, func() bool {
		return w.WaveCompleted(1)
	}, patience, poll)
	for n := range 6 {
		w.awaitDone(e, "desk", fabric.JobID(n))
		require.Equal(t, 1, w.Starts(fabric.JobID(n)+".0.0.0"))
	}
}

// TestStrays guards against a worker that is filled beyond its capacity, because it still runs tasks of a
// job that ended under the earlier owner.
func TestStrays(t *testing.T) {
	t.Parallel()
	w := newWorld(t)
	w.Publish(1, []string{"desk"}, "")
	w.AddMachine("desk", cores16, false)
	first, second := w.start("entry-1"), w.start("entry-2")
	w.submit(second, "desk", fabric.JobID(1), fabric.Job(12000, 20000, 1))
	require.Eventually(t, func() bool { return w.Starts(fabric.JobID(1)+".0.0.0") == 1 }, patience, poll)
	for _, worker := range w.Workers() {
		worker.DelayStops(700 * time.Millisecond)
	}
	w.submit(second, "desk", fabric.JobID(2), fabric.Job(12000, 50, 1))
	status, _ := w.call(second, http.MethodDelete, "/desk/"+fabric.JobID(1), "")
	require.Equal(t, http.StatusOK, status)
	first.stop()
	w.awaitDone(second, "desk", fabric.JobID(2))
}

// TestOwnerRefused guards against an owner that keeps the jobs although the store turns it away and serves
// the others.
func TestOwnerRefused(t *testing.T) {
	t.Parallel()
	w := newWorld(t)
	w.Publish(1, []string{"desk"}, "")
	for range 2 {
		w.AddMachine("desk", cores16, false)
	}
	front, refuse := w.Front()
	w.startAt("entry-1", front)
	second := w.start("entry-2")
	w.submit(second, "desk", fabric.JobID(1), fabric.Job(4000, 3000, 2))
	refuse.Store(true)
	begin := time.Now()
	w.submit(second, "desk", fabric.JobID(2), fabric.Job(4000, 50, 1))
	// The owner gives way after 1.3 s without the store; on its own it would go on for 4 s.
	require.Less(t, time.Since(begin), 3500*time.Millisecond)
	for n := 1; n < 3; n++ {
		w.awaitDone(second, "desk", fabric.JobID(n))
		require.Equal(t, 1, w.Starts(fabric.JobID(n)+".0.0.0"))
	}
}

// TestWithdrawnNeverRuns guards against tasks of a refused job that start because they were placed after
// its intake was given to the store and before that was withdrawn.
func TestWithdrawnNeverRuns(t *testing.T) {
	t.Parallel()
	w := newWorld(t)
	w.Publish(1, []string{"desk"}, "")
	w.AddMachine("desk", cores16, false)
	e := w.start("entry-1")
	w.submit(e, "desk", fabric.JobID(1), fabric.Job(8000, 300, 2))
	require.Eventually(t, func() bool { return w.Starts(fabric.JobID(1)+".0.0.1") == 1 }, patience, poll)
	w.Store.SetFaults(fabric.Faults{Busy: true})
	status, _ := w.call(e, http.MethodPost, "/desk/"+fabric.JobID(2), fabric.Job(8000, 100, 2))
	require.Equal(t, http.StatusServiceUnavailable, status)
	w.Store.SetFaults(fabric.Faults{})
	w.submit(e, "desk", fabric.JobID(3), fabric.Job(8000, 100, 2))
	w.awaitDone(e, "desk", fabric.JobID(3))
	require.Zero(t, w.Starts(fabric.JobID(2)+".0.0.0"))
	require.Zero(t, w.Starts(fabric.JobID(2)+".0.0.1"))
}

// TestWaveOfNewOwner guards against maintenance that takes tasks along because the new owner has not yet
// heard of the workers on the machines of a wave.
func TestWaveOfNewOwner(t *testing.T) {
	t.Parallel()
	w := newWorld(t)
	w.Publish(1, []string{"desk"}, "")
	var machines []string
	for range 4 {
		machines = append(machines, w.AddMachine("desk", cores16, false))
	}
	first, second := w.start("entry-1"), w.start("entry-2")
	for n := range 4 {
		w.submit(second, "desk", fabric.JobID(n), fabric.Job(10000, 2500, 1))
	}
	require.Eventually(t, func() bool { return w.Starts(fabric.JobID(3)+".0.0.0") == 1 }, patience, poll)
	w.RequestWave(1, machines, 20, 4)
	first.stop()
	for n := range 4 {
		w.awaitDone(second, "desk", fabric.JobID(n))
		require.Equal(t, 1, w.Starts(fabric.JobID(n)+".0.0.0"), "a task was taken along")
	}
	require.Eventually(t, func() bool { return w.WaveCompleted(1) }, patience, poll)
}

// TestOrdersOfNewOwner guards against a new owner that leaves all machines alone for a turn, although the
// earlier one gave orders for one of them only, and against one that does not leave that one alone.
func TestOrdersOfNewOwner(t *testing.T) {
	t.Parallel()
	w := newWorld(t)
	w.Turn = turnBound
	w.Publish(1, []string{"desk"}, "")
	var machines []string
	for range 4 {
		machines = append(machines, w.AddMachine("desk", cores16, false))
	}
	front, refuse := w.Front()
	w.startAt("entry-1", front)
	second := w.start("entry-2")
	w.RequestWave(1, machines[:1], 30, 1)
	require.Eventually(t, func() bool { return w.WaveCompleted(1) }, patience, poll)
	refuse.Store(true)
	w.submit(second, "desk", fabric.JobID(1), fabric.Job(4000, 50, 1)) // the second entry is the owner now
	w.RequestWave(2, machines, 30, 4)
	begin := time.Now()
	require.Eventually(t, func() bool { return len(w.Orders()) == len(machines) }, patience, poll)
	require.Less(t, time.Since(begin), turnBound/2, "machines without an order had to wait")
	require.Eventually(t, func() bool { return w.WaveCompleted(2) }, patience, poll)
	require.Len(t, w.Orders(), len(machines)+1)
}

// TestPartitionAway guards against an owner that accepts and places nothing while one partition of the store
// is away, and against a later owner that looks for the jobs where they were before.
func TestPartitionAway(t *testing.T) {
	t.Parallel()
	w := newWorld(t)
	w.Publish(1, []string{"desk"}, "")
	w.AddMachine("desk", cores16, false)
	first, second := w.start("entry-1"), w.start("entry-2")
	w.submit(first, "desk", fabric.JobID(1), fabric.Job(4000, 3000, 2))
	w.Store.SetFaults(fabric.Faults{Away: []string{"keyed.job/0"}})
	status, _ := w.call(second, http.MethodPost, "/desk/"+fabric.JobID(2), fabric.Job(4000, 50, 2))
	require.Equal(t, http.StatusOK, status)
	w.awaitDone(second, "desk", fabric.JobID(2))
	first.stop()
	w.submit(second, "desk", fabric.JobID(3), fabric.Job(4000, 50, 2))
	for n := 1; n <= 3; n++ {
		w.awaitDone(second, "desk", fabric.JobID(n))
		require.Equal(t, 1, w.Starts(fabric.JobID(n)+".0.0.0"))
	}
}

// TestReload guards against a process that ends on the signal that its settings have changed, against changed
// settings without a signal that are not taken over, and against unreadable ones that replace those in force.
func TestReload(t *testing.T) {
	t.Parallel()
	w := newWorld(t)
	w.Publish(1, []string{"desk"}, "")
	w.AddMachine("desk", cores16, false)
	e := w.start("entry-1")
	var mu sync.Mutex
	next, failure := e.settings, error(nil)
	load := func() (settings.Deployment, error) {
		mu.Lock()
		defer mu.Unlock()
		return next, failure
	}
	hangup := make(chan os.Signal, 1)
	ctx, cancel := context.WithCancel(t.Context())
	followed := make(chan struct{})
	go func() {
		defer close(followed)
		e.process.WatchSettings(ctx, load, hangup)
	}()
	set := func(lease time.Duration, err error) {
		mu.Lock()
		defer mu.Unlock()
		next.Contract.MaxLease, failure = lease, err
	}
	// A lease of 3.5 s, renewed each 0.9 s, never falls to this one.
	const lease = 2 * time.Second
	held := func() bool {
		left := w.Workers()[0].Lease()
		return left > 0 && left <= lease
	}
	set(lease, nil)
	hangup <- syscall.SIGHUP
	w.submit(e, "desk", fabric.JobID(1), fabric.Job(4000, 6000, 1))
	require.Eventually(t, held, patience, poll)
	set(0, errors.ErrUnsupported)
	hangup <- syscall.SIGHUP
	w.submit(e, "desk", fabric.JobID(2), fabric.Job(4000, 50, 1))
	w.awaitDone(e, "desk", fabric.JobID(2))
	require.True(t, held())
	set(2*lease, nil)
	require.Eventually(t, func() bool { return w.Workers()[0].Lease() > lease }, patience, poll, "settings that change without a signal")
	cancel()
	<-followed
}

// TestOrdersAfterStop guards against a new owner that gives orders for a machine for which the earlier one gave
// an order just before it stopped.
func TestOrdersAfterStop(t *testing.T) {
	t.Parallel()
	w := newWorld(t)
	w.Turn = turnBound
	w.Publish(1, []string{"desk"}, "")
	machine := w.AddMachine("desk", cores16, false)
	first, second := w.start("entry-1"), w.start("entry-2")
	w.RequestWave(1, []string{machine}, 30, 1)
	require.Eventually(t, func() bool { return w.WaveCompleted(1) }, patience, poll)
	first.stop()
	w.RequestWave(2, []string{machine}, 30, 1)
	w.submit(second, "desk", fabric.JobID(1), fabric.Job(4000, 50, 1))
	require.Eventually(t, func() bool { return w.WaveCompleted(2) }, patience, poll)
}

// TestConfigurationAway guards against a job that fails at its first failed run, because the new owner has the
// jobs and cannot read the configuration.
func TestConfigurationAway(t *testing.T) {
	t.Parallel()
	w := newWorld(t)
	w.Publish(1, []string{"desk"}, "")
	w.AddMachine("desk", cores16, false)
	first := w.start("entry-1")
	body := strings.Replace(fabric.Job(4000, 1500, 1), `"spec":"4000 1500"`, `"spec":"4000 1500 fails"`, 1)
	w.submit(first, "desk", fabric.JobID(1), body)
	require.Eventually(t, func() bool { return w.Starts(fabric.JobID(1)+".0.0.0") == 1 }, patience, poll)
	w.Store.SetFaults(fabric.Faults{Away: []string{"keyed.op/0"}})
	first.stop()
	second := &entry{settings: first.settings}
	second.settings.ID, second.settings.Callers, second.settings.Ready, second.settings.Peers = "entry-2", freeAddress(t), freeAddress(t), freeAddress(t)
	w.run(second)
	require.Eventually(t, func() bool { return w.Noted(fabric.JobID(1)+".0.0.0") == 1 }, patience, poll)
	w.Store.SetFaults(fabric.Faults{})
	require.Eventually(t, func() bool { return w.state(second, "desk", fabric.JobID(1)) == fabric.Failed }, patience, poll)
	require.Equal(t, 2, w.Starts(fabric.JobID(1)+".0.0.0"))
}
