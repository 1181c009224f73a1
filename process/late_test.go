package process_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hibiscuslane.example/hibiscuslane/standin/fabric"
)

const (
	// lateRunTime is how long a run of a cancelled job may last that a worker has started late.
	lateRunTime = 3 * time.Second
	// maxCancelTime is how long after the acknowledgement of a cancel a run of the job may last.
	maxCancelTime = 3 * time.Second
)

// TestCancelledJobStartsLate guards against a task of a cancelled job that works on for as long as a lease lasts: its start
// had no answer, its stop was confirmed, and the worker restarted under its id before it carried out the start.
func TestCancelledJobStartsLate(t *testing.T) {
	t.Parallel()
	c, worker, task := newLateStart(t)
	worker.RestartUnresponsive(100 * time.Millisecond) // the owner cannot stop the run before it starts
	require.Eventually(t, func() bool { return c.StartCount(task) == 1 }, waitTimeout, time.Millisecond)
	c.Workers()[0].SetUnresponsive(false)
	time.Sleep(lateRunTime)
	require.Empty(t, c.RunningTasks())
}

// TestLateStartRejected guards against a run of a cancelled job that starts on a restarted worker at all, although the owner knows of
// the restart.
func TestLateStartRejected(t *testing.T) {
	t.Parallel()
	c, worker, task := newLateStart(t)
	worker.Restart(100 * time.Millisecond)
	time.Sleep(lateStartDelay)
	require.Zero(t, c.StartCount(task))
	require.Empty(t, c.RunningTasks())
}

// lateStartDelay is how late the start takes effect in these tests.
const lateStartDelay = 2500 * time.Millisecond

// newLateStart returns a cluster whose worker has not answered the start of a task, which will take effect after lateStartDelay. The
// job has been cancelled and the worker has confirmed the stop.
func newLateStart(t *testing.T) (c *cluster, worker *fabric.Worker, task string) {
	t.Helper()
	c = newCluster(t)
	c.PublishConfig(1, []string{"desk"}, "")
	c.AddMachine("desk", cores16, false)
	e := c.start("entry-1")
	time.Sleep(2 * time.Second) // the new incarnation's clock is behind by that
	worker, job := c.Workers()[0], fabric.JobID(1)
	worker.DelayStarts(1, lateStartDelay)
	c.submit(e, "desk", job, fabric.JobBody(1000, 20000, 1))
	time.Sleep(200 * time.Millisecond) // the start is sent within this time
	status, _ := c.call(e, http.MethodDelete, "/desk/"+job, "")
	require.Equal(t, http.StatusOK, status)
	time.Sleep(time.Second) // the stop is confirmed within this time
	require.Zero(t, c.StartCount(job+".0.0.0"))
	return c, worker, job + ".0.0.0"
}

// TestStopBehindStarts guards against a run that works on for seconds after its job was cancelled: its stop waited behind
// the starts of other tasks, each of which waited for an answer of the worker until its timeout.
func TestStopBehindStarts(t *testing.T) {
	t.Parallel()
	c := newCluster(t)
	c.PublishConfig(1, []string{"desk"}, "")
	c.AddMachine("desk", cores16, false)
	e := c.start("entry-1")
	first, second := fabric.JobID(1), fabric.JobID(2)
	c.submit(e, "desk", first, fabric.JobBody(1000, 20000, 1))
	require.Eventually(t, func() bool { return c.StartCount(first+".0.0.0") == 1 }, waitTimeout, time.Millisecond)
	c.Workers()[0].DelayStarts(100, time.Minute)
	c.submit(e, "desk", second, fabric.JobBody(1000, 20000, 15))
	status, _ := c.call(e, http.MethodDelete, "/desk/"+first, "")
	require.Equal(t, http.StatusOK, status)
	time.Sleep(maxCancelTime)
	require.Empty(t, c.RunningTasks())
}
