package worker_test

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hibiscuslane.example/hibiscuslane/standin/worker"
	"hibiscuslane.example/hibiscuslane/timer"
	"hibiscuslane.example/hibiscuslane/upstream"
)

// waitTimeout bounds waits for events that must happen; a passing test does not wait this long.
const waitTimeout = 10 * time.Second

var ctx = context.Background()

func startWorker(t *testing.T, options worker.Options) (*worker.Worker, *upstream.WorkerClient, *timer.Manual) {
	t.Helper()
	manual := timer.NewManual(time.Unix(1_000_000, 0))
	options.ID, options.Timer = "worker-1", &manual.Service
	w, err := worker.Start(options)
	require.NoError(t, err)
	t.Cleanup(func() { require.NoError(t, w.Close()) })
	transport := &http.Transport{}
	t.Cleanup(transport.CloseIdleConnections)
	client := &http.Client{Transport: transport, Timeout: waitTimeout}
	return w, &upstream.WorkerClient{Address: w.ListedInstance().Address, HTTPClient: client}, manual
}

func task(id upstream.TaskID, epoch upstream.Epoch, command string) upstream.Task {
	return upstream.Task{ID: id, Epoch: epoch, Incarnation: 1, LeaseMS: 1000, Cores: 4, Memory: 1000, Command: command}
}

func status(t *testing.T, c *upstream.WorkerClient, id upstream.TaskID) upstream.TaskStatus {
	t.Helper()
	list, err := c.Tasks(ctx)
	require.NoError(t, err)
	for _, s := range list {
		if s.ID == id {
			return s
		}
	}
	require.FailNow(t, "task is not listed", id)
	return upstream.TaskStatus{}
}

func awaitState(t *testing.T, c *upstream.WorkerClient, id upstream.TaskID, state upstream.TaskState) {
	t.Helper()
	require.Eventually(t, func() bool { return status(t, c, id).State == state }, waitTimeout, time.Millisecond)
}

// TestCommands guards against emulated commands that behave differently than the protocol documents.
func TestCommands(t *testing.T) {
	_, c, manual := startWorker(t, worker.Options{UsageLag: 2 * time.Second})
	cases := []struct {
		command        string
		state          upstream.TaskState
		output, reason string
	}{
		{"echo", upstream.TaskDone, "input", ""},
		{"fail", upstream.TaskFailed, "", "failed"},
		{"fail:disk full", upstream.TaskFailed, "", "disk full"},
		{"sleep:0", upstream.TaskDone, "", ""},
		{"sleep:-1", upstream.TaskFailed, "", "command not found: sleep:-1"},
		{"usage:1:2", upstream.TaskFailed, "", "command not found: usage:1:2"},
		{"usage:1:70000:500", upstream.TaskFailed, "", "out of memory"},
	}
	for _, tc := range cases {
		order := task(upstream.TaskID(tc.command), 1, tc.command)
		order.Input = "input"
		require.NoError(t, c.Start(ctx, order))
		got := status(t, c, order.ID)
		require.Equal(t, []any{tc.state, tc.output, tc.reason}, []any{got.State, got.Output, got.Reason}, tc.command)
	}
	order := task("u", 1, "usage:2.5:800:3000")
	order.LeaseMS = 10_000
	require.NoError(t, c.Start(ctx, order))
	require.Zero(t, status(t, c, "u").Memory, "usage lags")
	manual.Advance(2 * time.Second)
	require.Equal(t, 800, status(t, c, "u").Memory)
	require.InDelta(t, 2.5, status(t, c, "u").Cores, 0)
	manual.Advance(time.Second)
	awaitState(t, c, "u", upstream.TaskDone)
}

// TestLease guards against tasks that run on after their lease expired, and against renewals without
// effect.
func TestLease(t *testing.T) {
	w, c, manual := startWorker(t, worker.Options{})
	require.NoError(t, c.Start(ctx, task("a", 1, "sleep:60000")))
	manual.Advance(900 * time.Millisecond)
	require.NoError(t, c.Renew(ctx, "a", 1, time.Second))
	manual.Advance(900 * time.Millisecond)
	require.Equal(t, upstream.TaskRunning, status(t, c, "a").State)
	require.True(t, upstream.IsRefused(c.Renew(ctx, "a", 2, time.Minute), upstream.RefusedEpoch))
	manual.Advance(100 * time.Millisecond)
	awaitState(t, c, "a", upstream.TaskExpired)
	require.True(t, upstream.IsRefused(c.Renew(ctx, "a", 1, time.Minute), upstream.RefusedMissing))
	manual.Advance(time.Minute)
	require.Equal(t, upstream.TaskExpired, w.Journal()[0].State)
	require.Equal(t, time.Unix(1_000_001, 900_000_000), w.Journal()[0].End.Local())
}

// TestEpoch guards against a second run under the same epoch, and against runs of the same task under two
// epochs at once.
func TestEpoch(t *testing.T) {
	w, c, _ := startWorker(t, worker.Options{})
	require.NoError(t, c.Start(ctx, task("a", 2, "sleep:500")))
	for _, epoch := range []upstream.Epoch{1, 2} {
		require.True(t, upstream.IsRefused(c.Start(ctx, task("a", epoch, "echo")), upstream.RefusedEpoch))
	}
	require.NoError(t, c.Start(ctx, task("a", 3, "sleep:500")))
	require.True(t, upstream.IsRefused(c.Stop(ctx, "a", 2), upstream.RefusedEpoch))
	journal := w.Journal()
	require.Len(t, journal, 2)
	require.Equal(t, upstream.TaskStopped, journal[0].State)
	require.Nil(t, journal[1].End)
	require.NoError(t, c.Stop(ctx, "a", 3))
	require.Equal(t, upstream.TaskStopped, status(t, c, "a").State)
	require.True(t, upstream.IsRefused(c.Start(ctx, task("a", 3, "echo")), upstream.RefusedEpoch))
	require.True(t, upstream.IsRefused(c.Stop(ctx, "b", 1), upstream.RefusedMissing))
}

// TestCapacity guards against tasks that are accepted beyond the capacity of the worker, and against
// throttled or ended tasks that still occupy capacity.
func TestCapacity(t *testing.T) {
	_, c, manual := startWorker(t, worker.Options{ListedInstance: upstream.Instance{Cores: 8, Memory: 2500, Accelerators: 1}})
	big := task("big", 1, "sleep:1000")
	big.Cores, big.LeaseMS = 8, 60_000
	require.NoError(t, c.Start(ctx, big))
	small := task("small", 1, "sleep:100")
	require.True(t, upstream.IsRefused(c.Start(ctx, small), upstream.RefusedFull))
	manual.Advance(500 * time.Millisecond)
	require.NoError(t, c.Throttle(ctx, "big", 1))
	require.NoError(t, c.Start(ctx, small), "a refused epoch may be retried")
	more := task("more", 1, "sleep:100")
	more.Cores = 0
	require.True(t, upstream.IsRefused(c.Start(ctx, more), upstream.RefusedFull), "memory")
	manual.Advance(100 * time.Millisecond)
	awaitState(t, c, "small", upstream.TaskDone)
	more.Accelerators = 2
	require.True(t, upstream.IsRefused(c.Start(ctx, more), upstream.RefusedFull), "accelerators")
	manual.Advance(800 * time.Millisecond)
	require.Equal(t, upstream.TaskRunning, status(t, c, "big").State, "a throttled task is slower")
	manual.Advance(100 * time.Millisecond)
	awaitState(t, c, "big", upstream.TaskDone)
}

// TestCheckpoint guards against a resumed task that starts from the beginning although a checkpoint saved
// its progress.
func TestCheckpoint(t *testing.T) {
	_, c, manual := startWorker(t, worker.Options{})
	order := task("a", 1, "sleep:1000")
	order.LeaseMS = 60_000
	require.NoError(t, c.Start(ctx, order))
	manual.Advance(700 * time.Millisecond)
	require.NoError(t, c.Checkpoint(ctx, "a", 1))
	require.Equal(t, upstream.TaskStopped, status(t, c, "a").State)
	manual.Advance(time.Minute)
	order.Epoch = 2
	require.NoError(t, c.Start(ctx, order))
	manual.Advance(300 * time.Millisecond)
	awaitState(t, c, "a", upstream.TaskDone)
}

// TestIncarnations guards against tasks that start under an old incarnation or during a drain, against tasks
// that survive a crash, and against a reboot while a task runs.
func TestIncarnations(t *testing.T) {
	w, c, manual := startWorker(t, worker.Options{RestartDelay: time.Second})
	order := task("a", 1, "sleep:500")
	require.NoError(t, c.Start(ctx, order))
	require.NoError(t, w.Drain(1))
	require.True(t, upstream.IsRefused(c.Start(ctx, task("b", 1, "echo")), upstream.RefusedDraining))
	require.True(t, upstream.IsRefused(w.Reboot(1), upstream.RefusedBusy))
	manual.Advance(500 * time.Millisecond)
	awaitState(t, c, "a", upstream.TaskDone)
	require.Eventually(t, func() bool { return w.RunningWork() == 0 }, waitTimeout, time.Millisecond)
	require.NoError(t, w.Reboot(1))
	// The call also removes the connection that the reboot closed from the connection pool of the client.
	require.Error(t, c.Stop(ctx, "a", 1), "a rebooting worker is not reachable")
	require.NoError(t, manual.AwaitSubscribers(ctx, 1))
	manual.Advance(time.Second)
	require.Eventually(t, func() bool { return w.ListedInstance().Incarnation == 2 }, waitTimeout, time.Millisecond)
	require.True(t, upstream.IsRefused(c.Start(ctx, task("b", 1, "echo")), upstream.RefusedIncarnation))
	order.Incarnation = 2
	require.NoError(t, c.Start(ctx, order))
	require.NoError(t, w.PatchFaults([]byte(`{"off":true}`)))
	require.Error(t, c.Stop(ctx, "a", 1))
	require.NoError(t, w.PatchFaults([]byte(`{"off":false,"fail":"bad node"}`)))
	list, err := c.Tasks(ctx)
	require.NoError(t, err)
	require.Empty(t, list)
	order.Incarnation = 3
	require.NoError(t, c.Start(ctx, order))
	require.Equal(t, "bad node", status(t, c, "a").Reason)
	require.Equal(t, "worker crashed", w.Journal()[1].Reason)
}
