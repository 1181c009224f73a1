package entry

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"regexp"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hibiscuslane.example/hibiscuslane/config"
	"hibiscuslane.example/hibiscuslane/event"
	"hibiscuslane.example/hibiscuslane/failure"
	"hibiscuslane.example/hibiscuslane/instance"
	"hibiscuslane.example/hibiscuslane/record"
	"hibiscuslane.example/hibiscuslane/settings"
	"hibiscuslane.example/hibiscuslane/site"
	standin "hibiscuslane.example/hibiscuslane/standin/platform"
	"hibiscuslane.example/hibiscuslane/standin/target"
	"hibiscuslane.example/hibiscuslane/upstream"
)

// waitTimeout limits the wait for an expected effect. No test result depends on how much of it is used.
const waitTimeout = 30 * time.Second

var centres = []site.DataCentre{"alpha", "beta", "gamma"}

// cluster consists of an emulated platform with targets, and of entries.
type cluster struct {
	t        testing.TB
	platform *standin.Server
	targets  []*target.Target
	entries  []*runningEntry
	// retentionMillis is the log retention in the settings of new entries, in milliseconds.
	retentionMillis int64
}

// runningEntry is an entry whose Run has been started.
type runningEntry struct {
	*Entry
	stop context.CancelFunc
	done chan error
}

// waitStopped waits until Run has returned and returns its result.
func (r *runningEntry) waitStopped() error { return <-r.done }

func startCluster(t testing.TB, entries int, options standin.Options) *cluster {
	t.Helper()
	server, err := standin.Start(options)
	require.NoError(t, err)
	c := &cluster{t: t, platform: server, retentionMillis: settings.DefaultRetentionMillis}
	for i := range 5 * len(centres) {
		emulatedTarget, err := target.Start(target.Options{ListedInstance: upstream.Instance{
			ID: instance.ID(fmt.Sprint("target-", i)), Centre: centres[i%3], Rack: site.Rack(fmt.Sprint("rack-", i%3)),
		}, RestartDelay: 100 * time.Millisecond})
		require.NoError(t, err)
		c.targets = append(c.targets, emulatedTarget)
		server.Directory.AddMachine(emulatedTarget)
	}
	t.Cleanup(c.close)
	for i := range entries {
		c.startEntry(instance.ID(fmt.Sprint("entry-", i)), centres[i%3])
	}
	return c
}

func (c *cluster) startEntry(id instance.ID, centre site.DataCentre) *runningEntry {
	c.t.Helper()
	const anyPort = "127.0.0.1:0"
	s := settings.Settings{
		ID: id, Centre: centre, Listen: settings.Listen{Callers: anyPort, Peers: anyPort, Admin: anyPort},
		Platform: settings.Platform{BaseURL: c.platform.URL(), RetentionMillis: c.retentionMillis}, StopMillis: 10_000,
	}
	e, err := New(s, Options{Events: event.NewLog(c.t.Output(), "entry", "info", event.FormatText)})
	require.NoError(c.t, err)
	c.platform.Directory.AddEntry(upstream.Instance{
		ID: id, Kind: instance.KindEntry, Centre: centre, Address: e.Addresses().Peers, State: upstream.StateLive, Incarnation: 1,
	})
	ctx, cancel := context.WithCancel(context.Background())
	entry := &runningEntry{Entry: e, stop: cancel, done: make(chan error, 1)}
	go func() { entry.done <- e.Run(ctx) }()
	c.entries = append(c.entries, entry)
	return entry
}

func (c *cluster) close() {
	var wait sync.WaitGroup
	for _, entry := range c.entries {
		entry.stop()
		wait.Go(func() {
			// The error is ignored here; tests that stop an entry themselves check it.
			_ = entry.waitStopped()
		})
	}
	wait.Wait()
	for _, emulatedTarget := range c.targets {
		_ = emulatedTarget.Close()
	}
	_ = c.platform.Close()
}

// publishExampleConfig publishes the small example configuration.
func (c *cluster) publishExampleConfig() {
	c.t.Helper()
	contents, err := config.ReadDir("../examples/small/config")
	require.NoError(c.t, err)
	var body config.Publish
	body.Reason = "test"
	for _, content := range contents {
		body.Files = append(body.Files, config.FileChange{Name: content.Name, BaseVersion: config.NoVersion, Content: content.Data})
	}
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	_, err = c.entries[0].replicas[record.StreamConfig].proposer.Propose(ctx, "publish", "test", body)
	require.NoError(c.t, err)
}

// changePoolTimeout publishes a configuration with another timeout of the pools and returns the offset of
// its record.
func (c *cluster) changePoolTimeout(entry *runningEntry, timeoutMillis int) record.Offset {
	c.t.Helper()
	file, ok := entry.config.File("base")
	require.True(c.t, ok)
	content := regexp.MustCompile(`"timeout": ?\d+`).ReplaceAll(file.Content, fmt.Appendf(nil, `"timeout": %d`, timeoutMillis))
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	offset, err := entry.replicas[record.StreamConfig].proposer.Propose(ctx, "publish", "test", config.Publish{
		Files: []config.FileChange{{Name: "base", BaseVersion: file.Version, Content: content}}, Reason: "change",
	})
	require.NoError(c.t, err)
	return offset
}

// waitConverged waits until all running entries have applied the same records and compares the digests of
// their states. The cost of a digest grows with the state, so digests are taken only when the offsets are
// equal.
func (c *cluster) waitConverged() {
	c.t.Helper()
	for name, first := range c.entries[0].replicas {
		require.Eventually(c.t, func() bool {
			for _, entry := range c.entries[1:] {
				if entry.replicas[name].follower.NextOffset() != first.follower.NextOffset() {
					return false
				}
			}
			return c.haveEqualStates(name)
		}, waitTimeout, 20*time.Millisecond)
	}
}

// haveEqualStates requires that all entries have the same state of a stream. It returns false if an entry
// has applied another record since the offsets were compared.
func (c *cluster) haveEqualStates(name record.Stream) bool {
	offset, digest := c.entries[0].replicas[name].follower.Digest()
	for _, entry := range c.entries[1:] {
		o, d := entry.replicas[name].follower.Digest()
		if o != offset {
			return false
		}
		require.Equal(c.t, digest, d, "stream %s differs at offset %d", name, o)
	}
	return true
}

// replaceEntry shuts down an entry gracefully and starts a new one with another id in its place.
func (c *cluster) replaceEntry(i int) {
	c.t.Helper()
	old := c.entries[i]
	old.stop()
	require.NoError(c.t, <-old.done)
	listedInstance := upstream.Instance{ID: old.self.Entry, Kind: instance.KindEntry}
	c.platform.Directory.SetEntry(listedInstance, false)
	c.entries = slices.Delete(c.entries, i, i+1)
	c.startEntry(old.self.Entry+"x", old.settings.Centre)
}

// waitReady waits until all entries are ready and have a usable target in each pool of their site.
func (c *cluster) waitReady() {
	c.t.Helper()
	for _, entry := range c.entries {
		require.Eventually(c.t, func() bool {
			return entry.readinessError() == nil && len(entry.table.UsableTargets("web")) > 0 && len(entry.table.UsableTargets("batch")) > 0
		}, waitTimeout, 10*time.Millisecond)
	}
}

// callResult is the response that a caller receives.
type callResult struct {
	status  int
	outcome failure.Outcome
	body    string
}

// call sends a request of the team default to the entry, with an idempotency key unless key is empty.
func (r *runningEntry) call(method, path, key string) (callResult, error) {
	request, err := http.NewRequest(method, "http://"+string(r.Addresses().Callers)+path, strings.NewReader("body"))
	if err != nil {
		return callResult{}, err
	}
	request.Header.Set("Hibiscuslane-Team", "default")
	if key != "" {
		request.Header.Set("Idempotency-Key", key)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return callResult{}, err
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	return callResult{
		status: response.StatusCode, outcome: failure.Outcome(response.Header.Get(failure.HeaderOutcome)), body: string(data),
	}, err
}

// executionCount returns how often the targets executed requests with an idempotency key.
func (c *cluster) executionCount(key string) int {
	count := 0
	for _, emulatedTarget := range c.targets {
		for _, e := range emulatedTarget.Journal() {
			if e.Key == key {
				count++
			}
		}
	}
	return count
}
