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

// patience bounds waits for an effect. No verdict depends on how much of it is used.
const patience = 30 * time.Second

var centres = []site.DataCentre{"alpha", "beta", "gamma"}

// cluster is an emulated platform with targets and entries.
type cluster struct {
	t        testing.TB
	platform *standin.Server
	targets  []*target.Target
	entries  []*node
	// retention is the setting of new entries, in milliseconds.
	retention int64
}

// node is one running entry.
type node struct {
	*Entry
	stop context.CancelFunc
	done chan error
}

// wait returns the result of Run.
func (n *node) wait() error { return <-n.done }

func startCluster(t testing.TB, entries int, options standin.Options) *cluster {
	t.Helper()
	server, err := standin.Start(options)
	require.NoError(t, err)
	c := &cluster{t: t, platform: server, retention: settings.DefaultRetentionMillis}
	for i := range 5 * len(centres) {
		machine, err := target.Start(target.Options{Listing: upstream.Instance{
			ID: instance.ID(fmt.Sprint("target-", i)), Centre: centres[i%3], Rack: site.Rack(fmt.Sprint("rack-", i%3)),
		}, RestartDelay: 100 * time.Millisecond})
		require.NoError(t, err)
		c.targets = append(c.targets, machine)
		server.Directory.AddMachine(machine)
	}
	t.Cleanup(c.close)
	for i := range entries {
		c.start(instance.ID(fmt.Sprint("entry-", i)), centres[i%3])
	}
	return c
}

func (c *cluster) start(id instance.ID, centre site.DataCentre) *node {
	c.t.Helper()
	const any = "127.0.0.1:0"
	s := settings.Settings{
		ID: id, Centre: centre, Listen: settings.Listen{Callers: any, Peers: any, Admin: any},
		Platform: settings.Platform{BaseURL: c.platform.URL(), RetentionMillis: c.retention}, StopMillis: 10_000,
	}
	e, err := New(s, Options{Events: event.NewLog(c.t.Output(), "entry", "info", event.FormatText)})
	require.NoError(c.t, err)
	c.platform.Directory.AddEntry(upstream.Instance{
		ID: id, Kind: instance.KindEntry, Centre: centre, Address: e.Addresses().Peers, State: upstream.StateLive, Incarnation: 1,
	})
	ctx, cancel := context.WithCancel(context.Background())
	n := &node{Entry: e, stop: cancel, done: make(chan error, 1)}
	go func() { n.done <- e.Run(ctx) }()
	c.entries = append(c.entries, n)
	return n
}

func (c *cluster) close() {
	var wait sync.WaitGroup
	for _, n := range c.entries {
		n.stop()
		wait.Go(func() {
			// The verdict on a stop is checked where a test stops an entry itself.
			_ = n.wait()
		})
	}
	wait.Wait()
	for _, machine := range c.targets {
		_ = machine.Close()
	}
	_ = c.platform.Close()
}

// publish appends the example configuration.
func (c *cluster) publish() {
	c.t.Helper()
	contents, err := config.ReadDir("../examples/small/config")
	require.NoError(c.t, err)
	var body config.Publish
	body.Reason = "test"
	for _, content := range contents {
		body.Files = append(body.Files, config.FileChange{Name: content.Name, BaseVersion: config.NoVersion, Content: content.Data})
	}
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	_, err = c.entries[0].channels[record.StreamConfig].proposer.Propose(ctx, "publish", "test", body)
	require.NoError(c.t, err)
}

// change publishes a new timeout of a pool and returns its offset.
func (c *cluster) change(n *node, timeout int) record.Offset {
	c.t.Helper()
	file, ok := n.config.File("base")
	require.True(c.t, ok)
	content := regexp.MustCompile(`"timeout": ?\d+`).ReplaceAll(file.Content, fmt.Appendf(nil, `"timeout": %d`, timeout))
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	offset, err := n.channels[record.StreamConfig].proposer.Propose(ctx, "publish", "test", config.Publish{
		Files: []config.FileChange{{Name: "base", BaseVersion: file.Version, Content: content}}, Reason: "change",
	})
	require.NoError(c.t, err)
	return offset
}

// converged waits until all running entries have folded the same offsets, and compares their states. A
// digest costs as much as the state is large, so it is taken only once the offsets are equal.
func (c *cluster) converged() {
	c.t.Helper()
	for name, first := range c.entries[0].channels {
		require.Eventually(c.t, func() bool {
			for _, n := range c.entries[1:] {
				if n.channels[name].follower.NextOffset() != first.follower.NextOffset() {
					return false
				}
			}
			return c.equal(name)
		}, patience, 20*time.Millisecond)
	}
}

// equal compares the states of a stream; it reports false if an offset has moved on meanwhile.
func (c *cluster) equal(name record.Stream) bool {
	offset, digest := c.entries[0].channels[name].follower.Digest()
	for _, n := range c.entries[1:] {
		o, d := n.channels[name].follower.Digest()
		if o != offset {
			return false
		}
		require.Equal(c.t, digest, d, "stream %s differs at offset %d", name, o)
	}
	return true
}

// replace stops an entry gracefully and starts a new one in its place.
func (c *cluster) replace(i int) {
	c.t.Helper()
	old := c.entries[i]
	old.stop()
	require.NoError(c.t, <-old.done)
	listing := upstream.Instance{ID: old.self.Entry, Kind: instance.KindEntry}
	c.platform.Directory.SetEntry(listing, false)
	c.entries = slices.Delete(c.entries, i, i+1)
	c.start(old.self.Entry+"x", old.settings.Centre)
}

// serving waits until all entries are ready and know a target of each pool of their site.
func (c *cluster) serving() {
	c.t.Helper()
	for _, n := range c.entries {
		require.Eventually(c.t, func() bool {
			return n.unready() == nil && len(n.table.UsableTargets("web")) > 0 && len(n.table.UsableTargets("batch")) > 0
		}, patience, 10*time.Millisecond)
	}
}

// answer is what a caller receives.
type answer struct {
	status  int
	outcome failure.Outcome
	body    string
}

func (n *node) call(method, path, key string) (answer, error) {
	request, err := http.NewRequest(method, "http://"+string(n.Addresses().Callers)+path, strings.NewReader("body"))
	if err != nil {
		return answer{}, err
	}
	request.Header.Set("Hibiscuslane-Team", "default")
	if key != "" {
		request.Header.Set("Idempotency-Key", key)
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return answer{}, err
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	return answer{
		status: response.StatusCode, outcome: failure.Outcome(response.Header.Get(failure.HeaderOutcome)), body: string(data),
	}, err
}

// executions counts the executions with an idempotency key on all targets.
func (c *cluster) executions(key string) int {
	count := 0
	for _, machine := range c.targets {
		for _, e := range machine.Journal() {
			if e.Key == key {
				count++
			}
		}
	}
	return count
}
