package config_test

import (
	"bytes"
	"fmt"
	"runtime"
	"testing"

	"github.com/stretchr/testify/require"

	"hibiscuslane.example/hibiscuslane/config"
	"hibiscuslane.example/hibiscuslane/record"
)

// fleetSizes lists numbers of pools and sites: the present size, intermediate sizes and the size that the
// software is designed for.
var fleetSizes = []struct{ pools, sites int }{{5, 3}, {100, 3}, {290, 3}, {5, 14}, {100, 14}, {290, 14}}

func newFileChanges(files []config.FileContent) []config.FileChange {
	var changes []config.FileChange
	for _, file := range files {
		changes = append(changes, config.FileChange{Name: file.Name, BaseVersion: config.NoVersion, Content: file.Data})
	}
	return changes
}

// BenchmarkApply measures the time to publish a change of one pool, in the base file or in an overlay. It also
// reports, in bytes, the size of the state after the first publish and the size of the changed file.
func BenchmarkApply(b *testing.B) {
	for _, size := range fleetSizes {
		files := generateFleet(size.pools, size.sites)
		for _, bench := range []struct {
			name        string
			file        config.FileContent
			old, format string
		}{
			{"base", files[0], `"queue":256`, `"queue":%d`},
			{"overlay", files[1], `"budget":{"targets":2`, `"budget":{"targets":%d`},
		} {
			b.Run(fmt.Sprintf("%s/sites=%d/pools=%d", bench.name, size.sites, size.pools), func(b *testing.B) {
				before := liveHeapBytes()
				l := &testLog{}
				l.publish("ada", newFileChanges(files)...)
				stateBytes := liveHeapBytes() - before
				baseVersion := l.Version()
				fileBytes := 0
				b.ReportAllocs()
				for i := 0; b.Loop(); i++ {
					content := bytes.Replace(bench.file.Data, []byte(bench.old), fmt.Appendf(nil, bench.format, i%2), 1)
					fileBytes = len(content)
					offset, verdict := l.publish("ada", config.FileChange{Name: bench.file.Name, BaseVersion: baseVersion, Content: content})
					if verdict.Reason != "" {
						b.Fatal(verdict.Reason)
					}
					baseVersion = offset
				}
				b.ReportMetric(float64(stateBytes), "heap-B")
				b.ReportMetric(float64(fileBytes), "record-B")
				runtime.KeepAlive(l)
			})
		}
	}
}

// publishCount is greater than the number of audit entries that the state keeps.
const publishCount = 600

// BenchmarkHistory reports the size of a snapshot in bytes with one audit entry and with the greatest
// number of audit entries that the state keeps.
func BenchmarkHistory(b *testing.B) {
	for _, size := range fleetSizes {
		b.Run(fmt.Sprintf("sites=%d/pools=%d", size.sites, size.pools), func(b *testing.B) {
			// The loop is empty, because no time is reported; b.Loop makes the function run only once.
			for b.Loop() {
			}
			files := generateFleet(size.pools, size.sites)
			l := &testLog{}
			l.publish("ada", newFileChanges(files)...)
			fresh, err := l.Snapshot()
			require.NoError(b, err)
			for i, baseVersion := 0, record.Offset(0); i < publishCount; i++ {
				content := bytes.Replace(files[1].Data, []byte(`"budget":{"targets":2`), fmt.Appendf(nil, `"budget":{"targets":%d`, i%2), 1)
				baseVersion, _ = l.publish("ada", config.FileChange{Name: files[1].Name, BaseVersion: baseVersion, Content: content})
			}
			full, err := l.Snapshot()
			require.NoError(b, err)
			b.ReportMetric(float64(len(fresh)), "fresh-B")
			b.ReportMetric(float64(len(full)), "full-B")
			b.ReportMetric(0, "ns/op")
		})
	}
}

// liveHeapBytes returns the size of the live heap objects after a garbage collection.
func liveHeapBytes() int64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}
