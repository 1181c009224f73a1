package entry

import (
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"hibiscuslane.example/hibiscuslane/failure"
	"hibiscuslane.example/hibiscuslane/record"
	"hibiscuslane.example/hibiscuslane/standin/appendlog"
	standin "hibiscuslane.example/hibiscuslane/standin/platform"
)

// maxRolloutTime is the time within which a configuration change must be in force at every entry.
const maxRolloutTime = 11 * time.Second

// waitInForce waits until a configuration is in force at every entry and returns the time that this took.
func (c *cluster) waitInForce(offset record.Offset) time.Duration {
	c.t.Helper()
	start := time.Now()
	for _, entry := range c.entries {
		require.Eventually(c.t, func() bool { return entry.config.Version() >= offset }, maxRolloutTime, time.Millisecond)
	}
	return time.Since(start)
}

// requestLoad sends requests with idempotency keys through the running entries. Each caller keeps one
// request in flight.
type requestLoad struct {
	mu      sync.Mutex
	entries []*runningEntry
	sent    atomic.Int64
	unknown atomic.Int64
	// failures holds the response body of each key whose request was not executed, and under the key "unknown" a
	// description of the first request with an unknown outcome.
	failures sync.Map
	// answeredKeys holds the status of each answered request by its key.
	answeredKeys sync.Map
	stop         chan struct{}
	wait         sync.WaitGroup
}

func (c *cluster) startLoad(callers int) *requestLoad {
	load := &requestLoad{stop: make(chan struct{})}
	load.useEntries(c.entries)
	for caller := range callers {
		load.wait.Go(func() { load.sendRequests(caller) })
	}
	return load
}

func (load *requestLoad) useEntries(entries []*runningEntry) {
	load.mu.Lock()
	defer load.mu.Unlock()
	load.entries = append([]*runningEntry(nil), entries...)
}

func (load *requestLoad) sendRequests(caller int) {
	for i := 0; ; i++ {
		select {
		case <-load.stop:
			return
		default:
		}
		key := fmt.Sprintf("%d-%d", caller, i)
		load.mu.Lock()
		entry := load.entries[(caller+i)%len(load.entries)]
		load.mu.Unlock()
		load.sent.Add(1)
		got, err := entry.call(http.MethodPost, "/pay", key)
		switch {
		case err != nil || got.outcome == failure.OutcomeUnknown:
			load.unknown.Add(1)
			load.failures.LoadOrStore("unknown", fmt.Sprintf("key %s at %s: status %d, %v, %s", key, entry.self.Entry, got.status, err, got.body))
		case got.outcome == failure.OutcomeNotRun:
			load.failures.Store(key, got.body)
		case got.outcome == failure.OutcomeAnswered:
			load.answeredKeys.Store(key, got.status)
		}
	}
}

func (load *requestLoad) stopAndWait() {
	close(load.stop)
	load.wait.Wait()
}

// checkExecutions compares the outcomes that the callers received with the executions on the targets.
func (load *requestLoad) checkExecutions(c *cluster) {
	c.t.Helper()
	counts := map[string]int{}
	for _, emulatedTarget := range c.targets {
		for _, e := range emulatedTarget.Journal() {
			counts[e.Key]++
		}
	}
	for key, count := range counts {
		assert.LessOrEqual(c.t, count, 1, "key %s", key)
	}
	answered := 0
	load.answeredKeys.Range(func(key, _ any) bool {
		answered++
		return assert.Equal(c.t, 1, counts[key.(string)], "answered request %s", key)
	})
	if first, ok := load.failures.LoadAndDelete("unknown"); ok {
		c.t.Logf("first request with an unknown outcome: %s", first)
	}
	notRun := 0
	load.failures.Range(func(key, body any) bool {
		notRun++
		return assert.Zero(c.t, counts[key.(string)], "request %s was reported as notrun: %s", key, body)
	})
	c.t.Logf("%d requests: %d answered, %d notrun, %d unknown", load.sent.Load(), answered, notRun, load.unknown.Load())
}

// TestReplaceAll replaces nine entries one after another and then three more in quick succession under
// load. It guards against diverged states, lost or repeated executions, requests aborted by a graceful
// shutdown, and configurations that revert to an older version or come into force late.
func TestReplaceAll(t *testing.T) {
	c := startCluster(t, 9, standin.Options{})
	c.publishExampleConfig()
	c.waitReady()
	load := c.startLoad(12)
	var version record.Offset
	for i := range 9 {
		load.useEntries(c.entries[1:])
		c.replaceEntry(0)
		c.waitReady()
		load.useEntries(c.entries)
		offset := c.changePoolTimeout(c.entries[0], 9000+i)
		require.Greater(t, offset, version)
		version = offset
		c.waitInForce(offset)
	}
	load.useEntries(c.entries[3:])
	for range 3 {
		c.replaceEntry(0)
	}
	c.waitReady()
	load.useEntries(c.entries)
	elapsed := c.waitInForce(c.changePoolTimeout(c.entries[0], 9100))
	load.stopAndWait()
	c.waitConverged()
	load.checkExecutions(c)
	require.Zero(t, load.unknown.Load(), "a graceful shutdown aborts no request")
	t.Logf("the last change was in force at all entries after %v", elapsed)
}

// TestLogOutage replaces an entry while the log is unavailable. It guards against an outage that blocks
// requests without an idempotency key, against requests with a key that run without a claim record, and
// against an entry that starts with an older configuration than its peers have.
func TestLogOutage(t *testing.T) {
	c := startCluster(t, 3, standin.Options{})
	c.publishExampleConfig()
	c.waitReady()
	version := c.changePoolTimeout(c.entries[0], 9001)
	c.waitInForce(version)
	c.platform.Log.SetFaults(appendlog.Faults{Down: true})
	c.replaceEntry(0)
	c.waitReady()
	for _, entry := range c.entries {
		require.Equal(t, version, entry.config.Version())
		got, err := entry.call(http.MethodPost, "/pay", "")
		require.NoError(t, err)
		require.Equal(t, failure.OutcomeAnswered, got.outcome, got.body)
		got, err = entry.call(http.MethodPost, "/pay", "key-"+string(entry.self.Entry))
		require.NoError(t, err)
		require.NotEqual(t, failure.OutcomeAnswered, got.outcome, got.body)
		require.Zero(t, c.executionCount("key-"+string(entry.self.Entry)))
	}
	c.platform.Log.SetFaults(appendlog.Faults{})
	elapsed := c.waitInForce(c.changePoolTimeout(c.entries[0], 9002))
	c.waitConverged()
	t.Logf("the first change after the outage was in force at all entries after %v", elapsed)
}

// TestLostAppendAnswers guards against records that take effect twice when the responses to appends are
// lost and the appends are retried.
func TestLostAppendAnswers(t *testing.T) {
	c := startCluster(t, 3, standin.Options{})
	c.publishExampleConfig()
	c.waitReady()
	load := c.startLoad(6)
	for i := range 5 {
		c.platform.Log.SetFaults(appendlog.Faults{LostResponses: 10})
		c.waitInForce(c.changePoolTimeout(c.entries[i%3], 9000+i))
	}
	load.stopAndWait()
	c.waitConverged()
	load.checkExecutions(c)
}

// TestRetention lets the records of a stream expire. It guards against an entry that builds its state from
// the remaining records only, and against losing a configuration when its record expires.
func TestRetention(t *testing.T) {
	c := startCluster(t, 3, standin.Options{Retention: appendlog.Retention{MaxAge: 6 * time.Second}})
	c.retentionMillis = 6000
	for range 3 {
		c.replaceEntry(0)
	}
	c.publishExampleConfig()
	c.waitReady()
	version := c.changePoolTimeout(c.entries[0], 9001)
	c.waitInForce(version)
	require.Eventually(t, func() bool {
		batch, err := c.platform.Log.Read(t.Context(), record.StreamConfig, 1<<40, 1, 0)
		return err == nil && batch.OldestOffset > version
	}, waitTimeout, 50*time.Millisecond)
	c.replaceEntry(0)
	c.waitReady()
	require.Equal(t, version, c.entries[2].config.Version())
	c.waitConverged()
}
