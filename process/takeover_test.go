package process_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hibiscuslane.example/hibiscuslane/standin/fabric"
)

// TestEndedOnSilentWorker guards against a task that runs again although it has ended: the worker on which it ran was
// registered and only slow to answer a new owner, which gave up the run when its lease had expired.
func TestEndedOnSilentWorker(t *testing.T) {
	t.Parallel()
	c := newCluster(t)
	c.PublishConfig(1, []string{"desk"}, "")
	c.AddMachine("desk", cores16, false)
	first, second := c.start("entry-1"), c.start("entry-2")
	silent, job := c.Workers()[0], fabric.JobID(1)
	c.submit(first, "desk", job, fabric.JobBody(1000, 200, 1))
	require.Eventually(t, func() bool { return c.StartCount(job+".0.0.0") == 1 }, waitTimeout, time.Millisecond)
	silent.SetUnresponsive(true)
	c.AddMachine("desk", cores16, false)
	first.stop()
	// A new owner gives up the runs of an earlier one that has stopped 3.7 s after its claim.
	time.Sleep(6 * time.Second)
	silent.SetUnresponsive(false)
	c.awaitDone(second, "desk", job)
	require.Equal(t, 1, c.StartCount(job+".0.0.0"))
}

// TestLateEndAdopted guards against a task that runs a third time because the end of an earlier run, which was given up,
// is acknowledged to the worker and forgotten.
func TestLateEndAdopted(t *testing.T) {
	t.Parallel()
	c := newCluster(t)
	c.PublishConfig(1, []string{"desk"}, "")
	c.AddMachine("desk", cores16, false)
	e := c.start("entry-1")
	silent, job := c.Workers()[0], fabric.JobID(1)
	c.submit(e, "desk", job, fabric.JobBody(1000, 200, 1))
	require.Eventually(t, func() bool { return c.StartCount(job+".0.0.0") == 1 }, waitTimeout, time.Millisecond)
	silent.SetUnresponsive(true)
	silent.Unregister() // the entry expires although the worker lives, so the run is given up
	time.Sleep(7 * time.Second)
	silent.SetUnresponsive(false)
	silent.Register()
	c.awaitDone(e, "desk", job)
	require.Equal(t, 1, c.StartCount(job+".0.0.0"))
}
