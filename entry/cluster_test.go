package entry

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hibiscuslane.example/hibiscuslane/config"
	"hibiscuslane.example/hibiscuslane/event"
	"hibiscuslane.example/hibiscuslane/failure"
	"hibiscuslane.example/hibiscuslane/instance"
	"hibiscuslane.example/hibiscuslane/platform"
	"hibiscuslane.example/hibiscuslane/record"
	"hibiscuslane.example/hibiscuslane/settings"
	"hibiscuslane.example/hibiscuslane/site"
	standin "hibiscuslane.example/hibiscuslane/standin/platform"
	"hibiscuslane.example/hibiscuslane/standin/target"
)

// patience bounds waits for an effect. No verdict depends on how much of it is used.
const patience = 30 * time.Second

var centres = []site.DataCentre{"alpha", "beta", "gamma"}

// cluster is an emulated platform with targets and entries.
type cluster struct {
	t        *testing.T
	platform *standin.Server
	targets  []*target.Target
	entries  []*node
}

// node is one running entry.
type node struct {
	*Entry
	stop context.CancelFunc
	done chan error
}

func startCluster(t *testing.T, entries int) *cluster {
	t.Helper()
	server, err := standin.Start(standin.Options{})
	require.NoError(t, err)
	c := &cluster{t: t, platform: server}
	for i := range 5 * len(centres) {
		machine, err := target.Start(target.Options{Listing: platform.Listing{
			ID: instance.ID(fmt.Sprint("target-", i)), Centre: centres[i%3], Rack: site.Rack(fmt.Sprint("rack-", i%3)),
		}, Restart: 100 * time.Millisecond})
		require.NoError(t, err)
		c.targets = append(c.targets, machine)
		server.Directory.Add(machine)
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
		Platform: settings.Platform{Base: c.platform.URL(), Retention: settings.DefaultRetention}, Stop: 10_000,
	}
	e, err := New(s, Options{Events: event.NewLog(c.t.Output(), "entry", "info", event.FormatText)})
	require.NoError(c.t, err)
	c.platform.Directory.AddEntry(platform.Listing{
		ID: id, Kind: instance.KindEntry, Centre: centre, Address: e.Addresses().Peers, State: platform.StateLive, Incarnation: 1,
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
		wait.Go(func() { <-n.done })
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
		body.Files = append(body.Files, config.FileChange{Name: content.Name, Based: config.NoVersion, Content: json.RawMessage(content.Data)})
	}
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	_, err = c.entries[0].channels[record.StreamConfig].proposer.Propose(ctx, "publish", "test", body)
	require.NoError(c.t, err)
}

// serving waits until all entries are ready and know a target of each pool of their site.
func (c *cluster) serving() {
	c.t.Helper()
	for _, n := range c.entries {
		require.Eventually(c.t, func() bool {
			return n.unready() == nil && len(n.table.Usable("web")) > 0 && len(n.table.Usable("batch")) > 0
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
