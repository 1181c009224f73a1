package config_test

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hibiscuslane.example/hibiscuslane/config"
	"hibiscuslane.example/hibiscuslane/pool"
	"hibiscuslane.example/hibiscuslane/record"
	"hibiscuslane.example/hibiscuslane/stream"
)

var start = time.Date(2026, 1, 2, 3, 4, 5, 0, time.UTC)

func readExample(t testing.TB, name string) []config.FileContent {
	t.Helper()
	files, err := config.ReadDir(filepath.Join("..", "examples", name, "config"))
	require.NoError(t, err)
	return files
}

// testLog applies publishes at consecutive offsets to a State.
type testLog struct {
	config.State
	next record.Offset
}

func (l *testLog) publish(author record.Author, changes ...config.FileChange) (record.Offset, stream.Verdict) {
	body, err := json.Marshal(config.Publish{Files: changes, Reason: fmt.Sprintf("publish %d", l.next)})
	if err != nil {
		panic(err)
	}
	return l.applyRecord(author, config.KindPublish, body)
}

func (l *testLog) applyRecord(author record.Author, kind record.Kind, body []byte) (record.Offset, stream.Verdict) {
	offset := l.next
	l.next++
	return offset, l.Apply(offset, record.Envelope{
		ID:     record.ID{Writer: record.Writer{Entry: "entry-1", Incarnation: 1}, Sequence: record.Sequence(offset + 1)},
		Kind:   kind,
		Author: author,
		Time:   start.Add(time.Duration(offset) * time.Minute),
		Body:   body,
	})
}

// newSmallExample returns a log that has published the small example at offset 0.
func newSmallExample(t testing.TB) *testLog {
	t.Helper()
	l := &testLog{}
	var changes []config.FileChange
	for _, file := range readExample(t, "small") {
		changes = append(changes, config.FileChange{Name: file.Name, BaseVersion: config.NoVersion, Content: file.Data})
	}
	_, verdict := l.publish("ada", changes...)
	require.Equal(t, stream.Applied, verdict)
	return l
}

func newChange(name config.File, baseVersion record.Offset, content string) config.FileChange {
	return config.FileChange{Name: name, BaseVersion: baseVersion, Content: json.RawMessage(content)}
}

// overlayContent returns an overlay for the small example with the given number of targets in pool web.
func overlayContent(targets int) string {
	return fmt.Sprintf(`{"region":"north","pools":{`+
		`"web":{"size":{"targets":%d,"workers":2},"budget":{"targets":0,"workers":1}},`+
		`"batch":{"size":{"targets":2,"workers":2},"budget":{"targets":1,"workers":1}},`+
		`"spare":{"size":{"targets":1,"workers":1},"budget":{"targets":0,"workers":0}}}}`, targets)
}

// generateLargeFleet returns files for the largest fleet that the software is designed for.
func generateLargeFleet() []config.FileContent { return generateFleet(290, 14) }

// generateFleet returns files with the given numbers of pools and sites, one route for each pool, and 170
// teams.
func generateFleet(poolCount, siteCount int) []config.FileContent {
	pools, overlayPools, teams := map[string]any{}, map[string]any{}, map[string]any{}
	var routes []config.Route
	for i := range poolCount {
		name := fmt.Sprintf("pool-%03d", i)
		pools[name] = map[string]any{"slots": 8, "connections": 64, "queue": 256, "timeout": 10000, "spare": i == 0}
		overlayPools[name] = map[string]any{"size": map[string]int{"targets": 3, "workers": 2}, "budget": map[string]int{"targets": 2, "workers": 1}}
		routes = append(routes, config.Route{Prefix: "/" + name, Pool: pool.Name(name)})
	}
	for i := range 170 {
		teams[fmt.Sprintf("team-%03d", i)] = map[string]any{"weight": 1, "rate": 50, "cores": 400, "memory": 100000}
	}
	base := map[string]any{"pools": pools, "teams": teams, "routes": routes, "weights": config.Weights{Buffer: 1}, "maintenance": config.Maintenance{}}
	files := []config.FileContent{{Name: config.BaseFile, Data: mustEncode(base)}}
	for i := range siteCount {
		name := config.File(fmt.Sprintf("site/site-%02d", i))
		files = append(files, config.FileContent{Name: name, Data: mustEncode(map[string]any{"region": "north", "pools": overlayPools})})
	}
	return files
}

func mustEncode(value any) json.RawMessage {
	data, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	return data
}

func mustReadFile(t testing.TB, path string) []byte {
	t.Helper()
	data, err := os.ReadFile(path)
	require.NoError(t, err)
	return data
}
