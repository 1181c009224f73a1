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

// rollout is the bound on the time until a configuration change is in force at every entry.
const rollout = 11 * time.Second

// inForce waits until a configuration is in force everywhere and returns the time it took.
func (c *cluster) inForce(offset record.Offset) time.Duration {
	c.t.Helper()
	start := time.Now()
	for _, n := range c.entries {
		require.Eventually(c.t, func() bool { return n.config.Version() >= offset }, rollout, time.Millisecond)
	}
	return time.Since(start)
}

// load is a bounded stream of keyed requests through the entries that run.
type load struct {
	mu      sync.Mutex
	entries []*node
	sent    atomic.Int64
	unknown atomic.Int64
	failed  sync.Map
	answers sync.Map
	stop    chan struct{}
	wait    sync.WaitGroup
}

func (c *cluster) startLoad(callers int) *load {
	l := &load{stop: make(chan struct{})}
	l.use(c.entries)
	for caller := range callers {
		l.wait.Go(func() { l.run(caller) })
	}
	return l
}

func (l *load) use(entries []*node) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.entries = append([]*node(nil), entries...)
}

func (l *load) run(caller int) {
	for i := 0; ; i++ {
		select {
		case <-l.stop:
			return
		default:
		}
		key := fmt.Sprintf("%d-%d", caller, i)
		l.mu.Lock()
		n := l.entries[(caller+i)%len(l.entries)]
		l.mu.Unlock()
		l.sent.Add(1)
		got, err := n.call(http.MethodPost, "/pay", key)
		switch {
		case err != nil || got.outcome == failure.OutcomeUnknown:
			l.unknown.Add(1)
			l.failed.LoadOrStore("unknown", fmt.Sprintf("key %s at %s: status %d, %v, %s", key, n.self.Entry, got.status, err, got.body))
		case got.outcome == failure.OutcomeNotRun:
			l.failed.Store(key, got.body)
		case got.outcome == failure.OutcomeAnswered:
			l.answers.Store(key, got.status)
		}
	}
}

func (l *load) end() {
	close(l.stop)
	l.wait.Wait()
}

// check holds what callers were told against what the targets executed.
func (l *load) check(c *cluster) {
	c.t.Helper()
	counts := map[string]int{}
	for _, machine := range c.targets {
		for _, e := range machine.Journal() {
			counts[e.Key]++
		}
	}
	for key, count := range counts {
		assert.LessOrEqual(c.t, count, 1, "key %s", key)
	}
	answered := 0
	l.answers.Range(func(key, _ any) bool {
		answered++
		return assert.Equal(c.t, 1, counts[key.(string)], "answered request %s", key)
	})
	if first, ok := l.failed.LoadAndDelete("unknown"); ok {
		c.t.Logf("first unknown: %s", first)
	}
	notrun := 0
	l.failed.Range(func(key, body any) bool {
		notrun++
		return assert.Zero(c.t, counts[key.(string)], "request %s was reported as notrun: %s", key, body)
	})
	c.t.Logf("%d requests: %d answered, %d notrun, %d unknown", l.sent.Load(), answered, notrun, l.unknown.Load())
}

// TestReplaceAll replaces nine entries one after another and then three at once under load. It guards
// against states that differ, lost or doubled requests, requests cut by a planned stop, and
// configurations that go back or arrive late.
func TestReplaceAll(t *testing.T) {
	c := startCluster(t, 9, standin.Options{})
	c.publish()
	c.serving()
	l := c.startLoad(12)
	var version record.Offset
	for i := range 9 {
		l.use(c.entries[1:])
		c.replace(0)
		c.serving()
		l.use(c.entries)
		offset := c.change(c.entries[0], 9000+i)
		require.Greater(t, offset, version)
		version = offset
		c.inForce(offset)
	}
	l.use(c.entries[3:])
	for range 3 {
		c.replace(0)
	}
	c.serving()
	l.use(c.entries)
	took := c.inForce(c.change(c.entries[0], 9100))
	l.end()
	c.converged()
	l.check(c)
	require.Zero(t, l.unknown.Load(), "a planned stop cuts no request off")
	t.Logf("the last change was in force at all entries after %v", took)
}

// TestLogOutage takes the log down with entries replaced meanwhile. It guards against an outage that
// stops requests without a key, against keyed requests that run without a record, and against an
// entry that starts with an older configuration than its peers have.
func TestLogOutage(t *testing.T) {
	c := startCluster(t, 3, standin.Options{})
	c.publish()
	c.serving()
	version := c.change(c.entries[0], 9001)
	c.inForce(version)
	c.platform.Log.SetFaults(appendlog.Faults{Down: true})
	c.replace(0)
	c.serving()
	for _, n := range c.entries {
		require.Equal(t, version, n.config.Version())
		got, err := n.call(http.MethodPost, "/pay", "")
		require.NoError(t, err)
		require.Equal(t, failure.OutcomeAnswered, got.outcome, got.body)
		got, err = n.call(http.MethodPost, "/pay", "key-"+string(n.self.Entry))
		require.NoError(t, err)
		require.NotEqual(t, failure.OutcomeAnswered, got.outcome, got.body)
		require.Zero(t, c.executions("key-"+string(n.self.Entry)))
	}
	c.platform.Log.SetFaults(appendlog.Faults{})
	took := c.inForce(c.change(c.entries[0], 9002))
	c.converged()
	t.Logf("the first change after the outage was in force at all entries after %v", took)
}

// TestLostAppendAnswers guards against records that take effect twice when the answers to appends are
// lost.
func TestLostAppendAnswers(t *testing.T) {
	c := startCluster(t, 3, standin.Options{})
	c.publish()
	c.serving()
	l := c.startLoad(6)
	for i := range 5 {
		c.platform.Log.SetFaults(appendlog.Faults{LostResponses: 10})
		c.inForce(c.change(c.entries[i%3], 9000+i))
	}
	l.end()
	c.converged()
	l.check(c)
}

// TestRetention lets the records of a stream expire. It guards against an entry that starts from a
// part of the stream, and against a configuration that is gone with its record.
func TestRetention(t *testing.T) {
	c := startCluster(t, 3, standin.Options{Retention: appendlog.Retention{MaxAge: 6 * time.Second}})
	c.retention = 6000
	for range 3 {
		c.replace(0)
	}
	c.publish()
	c.serving()
	version := c.change(c.entries[0], 9001)
	c.inForce(version)
	require.Eventually(t, func() bool {
		batch, err := c.platform.Log.Read(t.Context(), record.StreamConfig, 1<<40, 1, 0)
		return err == nil && batch.OldestOffset > version
	}, patience, 50*time.Millisecond)
	c.replace(0)
	c.serving()
	require.Equal(t, version, c.entries[2].config.Version())
	c.converged()
}
