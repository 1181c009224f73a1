package process_test

import (
	"strings"
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

// TestOddRegistrations guards against entries of another writer among the registrations that end a process or keep it
// from following the list: deeply nested, with numbers out of range, or under the key of a worker that goes on working.
func TestOddRegistrations(t *testing.T) {
	t.Parallel()
	c := newCluster(t)
	c.PublishConfig(1, []string{"desk"}, "")
	c.AddMachine("desk", cores16, false)
	odd := map[string]string{
		"deep":     strings.Repeat(`{"labels":[`, 20000),
		"huge":     `{"service":"desk","address":"127.0.0.1:1","state":"ready","capacity":{"cpu":9223372036854775807,"mem_mb":1,"gpu":0}}`,
		"negative": `{"service":"desk","address":"127.0.0.1:1","state":"ready","capacity":{"cpu":-5,"mem_mb":1,"gpu":0}}`,
		"float":    `{"service":"desk","address":"127.0.0.1:1","state":"ready","born":1e400,"capacity":{"cpu":1}}`,
		"time":     `{"service":"desk","address":"127.0.0.1:1","state":"ready","cold_remaining_ms":1e300,"capacity":{"cpu":64000,"mem_mb":64000,"gpu":0},"labels":["r1-1"]}`,
		"port":     `{"service":"desk","address":"127.0.0.1:70000","state":"ready","capacity":{"cpu":64000,"mem_mb":64000,"gpu":0}}`,
		"bytes":    "\xff\x00\xfe",
	}
	for key, value := range odd {
		c.Store.Put("keyed.servers", key, []byte(value))
	}
	e := c.start("entry-1")
	c.submit(e, "desk", fabric.JobID(1), fabric.JobBody(1000, 1500, 1))
	require.Eventually(t, func() bool { return c.StartCount(fabric.JobID(1)+".0.0.0") == 1 }, waitTimeout, pollInterval)
	known := c.Workers()[0].ID
	c.Store.Put("keyed.servers", known, []byte(`{"service":7}`))
	for key, value := range odd {
		c.Store.Put("keyed.servers", "late "+key, []byte(value))
	}
	c.AddMachine("desk", cores16, false) // its registration follows the odd ones
	for n := 2; n < 6; n++ {
		c.submit(e, "desk", fabric.JobID(n), fabric.JobBody(8000, 50, 4))
	}
	for n := 1; n < 6; n++ {
		c.awaitDone(e, "desk", fabric.JobID(n))
	}
	require.Equal(t, 1, c.StartCount(fabric.JobID(1)+".0.0.0"), "the worker lives although its entry cannot be read")
}
