package emulator_test

import (
	"context"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hibiscuslane.example/hibiscuslane/instance"
	"hibiscuslane.example/hibiscuslane/standin/emulator"
	"hibiscuslane.example/hibiscuslane/timer"
	"hibiscuslane.example/hibiscuslane/upstream"
)

var ctx = context.Background()

func startFleet(t *testing.T) (*emulator.Emulator, *upstream.Client, *timer.Manual) {
	t.Helper()
	fleet, err := emulator.LoadFleet("../../examples/small/fleet.json")
	require.NoError(t, err)
	fleet.Platform.Address, fleet.FirstPort = "", 0
	manual := timer.NewManual(time.Unix(1_000_000, 0))
	e, err := emulator.Start(fleet, &manual.Service)
	require.NoError(t, err)
	t.Cleanup(func() { require.NoError(t, e.Close()) })
	transport := &http.Transport{}
	t.Cleanup(transport.CloseIdleConnections)
	return e, &upstream.Client{BaseURL: e.Platform.URL(), HTTPClient: &http.Client{Transport: transport}}, manual
}

func postFault(t *testing.T, c *upstream.Client, body string) int {
	t.Helper()
	// A separate client leaves the connection of c open.
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Post(c.BaseURL+"/fault", "application/json", strings.NewReader(body))
	require.NoError(t, err)
	require.NoError(t, response.Body.Close())
	return response.StatusCode
}

func findInstance(t *testing.T, c *upstream.Client, id instance.ID) (upstream.Instance, bool) {
	t.Helper()
	list, err := c.List(ctx)
	require.NoError(t, err)
	for _, l := range list {
		if l.ID == id {
			return l, true
		}
	}
	return upstream.Instance{}, false
}

// TestListLag guards against a list that shows changes before the lag has passed, or never.
func TestListLag(t *testing.T) {
	_, c, manual := startFleet(t)
	list, err := c.List(ctx)
	require.NoError(t, err)
	require.Len(t, list, 33)
	const id = "beta-worker-5"
	before, _ := findInstance(t, c, id)
	require.Equal(t, upstream.Instance{
		ID: id, Kind: instance.KindWorker, Address: before.Address, Incarnation: 1, Centre: "beta",
		Rack: "beta-worker-rack-2", State: upstream.StateLive, Cores: 16, Memory: 65536,
	}, before)
	require.NoError(t, c.Drain(ctx, id, 1))
	require.NoError(t, c.Reboot(ctx, id, 1))
	lagging, _ := findInstance(t, c, id)
	require.Equal(t, before, lagging)
	manual.Advance(500 * time.Millisecond)
	drained, _ := findInstance(t, c, id)
	require.Equal(t, upstream.StateLeaving, drained.State)
	require.NoError(t, manual.AwaitSubscribers(ctx, 1))
	manual.Advance(1500 * time.Millisecond)
	require.Eventually(t, func() bool {
		return upstream.IsRefused(c.Reboot(ctx, id, 1), upstream.RefusedIncarnation)
	}, 10*time.Second, time.Millisecond)
	manual.Advance(500 * time.Millisecond)
	returned, _ := findInstance(t, c, id)
	require.Equal(t, upstream.StateLive, returned.State)
	require.Equal(t, instance.Incarnation(2), returned.Incarnation)
	require.True(t, upstream.IsRefused(c.Drain(ctx, "nobody", 1), upstream.RefusedMissing))
}

// TestFault guards against faults that are injected into the wrong part of the fleet, and against misspelt
// faults that are silently ignored.
func TestFault(t *testing.T) {
	e, c, manual := startFleet(t)
	require.Equal(t, http.StatusOK, postFault(t, c, `{"log":{"down":true},"list":{"lag":0}}`))
	_, err := c.Append(ctx, "a", nil)
	require.Error(t, err)
	require.True(t, e.Platform.Log.Faults().Down)
	require.Equal(t, http.StatusOK, postFault(t, c, `{"log":{"slow":5}}`))
	require.True(t, e.Platform.Log.Faults().Down, "an absent fault stays unchanged")
	require.Equal(t, http.StatusOK, postFault(t, c,
		`{"instances":[{"match":{"centre":"gamma","kind":"target"},"set":{"off":true}},{"match":{"id":"entry-2"},"set":{"leaving":true}}]}`))
	list, err := c.List(ctx)
	require.NoError(t, err)
	require.Len(t, list, 28)
	entry, _ := findInstance(t, c, "entry-2")
	require.Equal(t, upstream.StateLeaving, entry.State)
	require.Equal(t, http.StatusOK, postFault(t, c, `{"list":{"lag":1000},"instances":[{"match":{"id":"gamma-target-1"},"set":{"off":false}}]}`))
	_, listed := findInstance(t, c, "gamma-target-1")
	require.False(t, listed, "a restarted machine appears after the lag")
	manual.Advance(time.Second)
	restarted, _ := findInstance(t, c, "gamma-target-1")
	require.Equal(t, instance.Incarnation(2), restarted.Incarnation)
	require.Equal(t, http.StatusBadRequest, postFault(t, c, `{"log":{"downn":true}}`))
	require.Equal(t, http.StatusNotFound, postFault(t, c, `{"instances":[{"match":{"id":"nobody"},"set":{}}]}`))
	require.Equal(t, http.StatusOK, postFault(t, c, `{"list":{"down":true},"platform":{"silent":"established"}}`))
	c.HTTPClient.Timeout = 50 * time.Millisecond
	_, err = c.List(ctx)
	require.Error(t, err, "the established connection is silent")
	c.HTTPClient.Timeout = 0
	_, err = c.List(ctx)
	require.True(t, upstream.IsRefused(err, upstream.RefusedDown))
}

// TestLoad guards against mistakes in a fleet file that are accepted and start a fleet other than intended.
func TestLoad(t *testing.T) {
	cases := map[string]string{
		`{"site":[]}`:      "unknown field",
		`{"sites":[{}]}`:   "sites[0].centre is empty",
		`{"rack":-1}`:      "must not be negative",
		`{"port":65000}`:   "out of range",
		`{"entries":[{}]}`: "entries[0] lacks an id",
		`{"sites":[{"centre":"a"},{"centre":"a"}]}`:       "sites[1].centre is empty or used twice",
		`{"sites":[{"centre":"a","targets":-1}]}`:         "negative number of machines",
		`{"sites":[{"centre":"a","targets":3000}]}`:       "more than 2000",
		`{"sites":[{"centre":"a","targets":1}],"rack":4}`: "",
	}
	for content, reason := range cases {
		path := filepath.Join(t.TempDir(), "fleet.json")
		require.NoError(t, os.WriteFile(path, []byte(content), 0o600))
		_, err := emulator.LoadFleet(path)
		if reason == "" {
			require.NoError(t, err)
			continue
		}
		require.ErrorContains(t, err, reason)
	}
}
