package snapshot

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hibiscuslane.example/hibiscuslane/claim"
	"hibiscuslane.example/hibiscuslane/config"
	"hibiscuslane.example/hibiscuslane/fleet"
	"hibiscuslane.example/hibiscuslane/instance"
	"hibiscuslane.example/hibiscuslane/job"
	"hibiscuslane.example/hibiscuslane/pool"
	"hibiscuslane.example/hibiscuslane/record"
	"hibiscuslane.example/hibiscuslane/site"
	"hibiscuslane.example/hibiscuslane/standin/appendlog"
	"hibiscuslane.example/hibiscuslane/stream"
	"hibiscuslane.example/hibiscuslane/team"
	"hibiscuslane.example/hibiscuslane/timer"
	"hibiscuslane.example/hibiscuslane/upstream"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// folds applies bodies to a state at increasing offsets.
type folds struct {
	b     *testing.B
	state stream.Folder
	next  record.Offset
}

func (w *folds) fold(kind record.Kind, body any) record.ID {
	data, err := json.Marshal(body)
	require.NoError(w.b, err)
	id := record.ID{Writer: record.Writer{Entry: "alpha-entry-1", Incarnation: 1}, Sequence: record.Sequence(w.next + 1)}
	verdict := w.state.Fold(w.next, record.Envelope{ID: id, Kind: kind, Time: start, Author: "alpha-entry-1", Body: data})
	require.Equal(w.b, stream.Applied, verdict)
	w.next++
	return id
}

// Figures of the target size.
const (
	poolSize = 23
	sites    = 14
	teams    = 170
)

func digits(n int) string { return fmt.Sprintf("%032x", uint64(n)*0x9e3779b97f4a7c15) }

func fillFleet(w *folds, size int) {
	for n := range size {
		w.fold(fleet.KindAdmit, &fleet.Admit{
			RecordHeader: fleet.RecordHeader{ID: instance.ID(fmt.Sprintf("centre-%02d-worker-%05d", n%sites, n)), Reason: "the platform lists it"},
			InstanceKind: instance.KindWorker, Pool: pool.Name(fmt.Sprint("pool-", n/poolSize)), Incarnation: 1,
			Address: instance.Address(fmt.Sprintf("10.%d.%d.%d:8000", n%sites, n/250%250, n%250)),
			Centre:  site.DataCentre(fmt.Sprintf("centre-%02d", n%sites)), Rack: site.Rack(fmt.Sprint("rack-", n/4)), Cores: 32, Memory: 128 << 10,
		})
	}
}

func fillConfig(w *folds, pools int) {
	specs, sizes, quotas := map[string]any{}, map[string]any{}, map[string]any{}
	var routes []config.Route
	for n := range pools {
		name := fmt.Sprintf("pool-%03d", n)
		specs[name] = map[string]any{"slots": 8, "connections": 64, "queue": 256, "timeout": 10_000, "spare": n == 0}
		sizes[name] = map[string]any{"size": map[string]int{"targets": 3, "workers": 2}, "budget": map[string]int{"targets": 2, "workers": 1}}
		routes = append(routes, config.Route{Prefix: "/" + name, Pool: pool.Name(name)})
	}
	for n := range teams {
		quotas[fmt.Sprintf("team-%03d", n)] = map[string]any{"weight": 1, "rate": 50, "cores": 400, "memory": 100_000}
	}
	base := map[string]any{"pools": specs, "teams": quotas, "routes": routes, "weights": config.Weights{Buffer: 1}, "maintenance": config.Maintenance{}}
	files := map[config.File]any{config.BaseFile: base}
	for n := range sites {
		files[config.File(fmt.Sprintf("site/centre-%02d", n))] = map[string]any{"region": "north", "pools": sizes}
	}
	publish := config.Publish{Reason: "benchmark"}
	for name, content := range files {
		data, err := json.Marshal(content)
		require.NoError(w.b, err)
		publish.Files = append(publish.Files, config.FileChange{Name: name, BaseVersion: config.NoVersion, Content: data})
	}
	w.fold(config.KindPublish, publish)
}

func fillJobs(w *folds, jobs int) {
	w.state.(*job.State).Limits = job.Limits{MaxOpenJobs: jobs + 1, MaxTextBytes: 1 << 30}
	for n := range jobs {
		w.fold(job.KindSubmit, &job.Submit{ID: job.ID(digits(n)), Spec: job.Spec{
			Pool: pool.Name(fmt.Sprint("pool-", n%290)), Team: team.Name(fmt.Sprint("team-", n%teams)), Command: "command of some length",
			Size: job.Size{Cores: 4, Memory: 1024}, MaxAttempts: 3,
		}})
	}
}

func fillClaims(w *folds, claims int) {
	w.state.(*claim.State).Limits = claim.Limits{Claims: claims + 1}
	for n := range claims {
		key := claim.Key{Team: team.Name(fmt.Sprint("team-", n%teams)), Key: digits(n)}
		id := w.fold(claim.KindClaim, claim.Body{Key: key, Digest: claim.Digest(digits(n + claims))})
		answer := &claim.Answer{Status: 200, Header: map[string]string{"Content-Type": "application/json"}, Body: []byte(digits(n) + digits(n+1))}
		w.fold(claim.KindOutcome, claim.Outcome{Key: key, Claim: id, Result: claim.ResultAnswered, Answer: answer})
	}
}

// fills are the streams with the unit and the sizes of their states.
var fills = []struct {
	unit  string
	sizes []int
	state func() stream.Folder
	fill  func(*folds, int)
}{
	{"instances", []int{100, 1000, 6600, 20_000}, func() stream.Folder { return &fleet.State{} }, fillFleet},
	{"pools", []int{5, 100, 290}, func() stream.Folder { return &config.State{} }, fillConfig},
	{"jobs", []int{1000, 10_000, 100_000}, func() stream.Folder { return &job.State{} }, fillJobs},
	{"claims", []int{1000, 10_000, 50_000}, func() stream.Folder { return &claim.State{} }, fillClaims},
}

// BenchmarkSnapshot measures a snapshot of each stream as the keeper writes it and as a loader restores
// it, with the bytes before and after compression.
func BenchmarkSnapshot(b *testing.B) {
	for _, bench := range fills {
		for _, size := range bench.sizes {
			w := &folds{b: b, state: bench.state()}
			bench.fill(w, size)
			follower := &stream.Follower{Folder: w.state}
			b.Run(fmt.Sprintf("write/%s=%d", bench.unit, size), func(b *testing.B) { measureWrite(b, follower) })
			b.Run(fmt.Sprintf("restore/%s=%d", bench.unit, size), func(b *testing.B) { measureRestore(b, follower, bench.state()) })
		}
	}
}

// countingLog counts the bytes of the records that are read.
type countingLog struct {
	upstream.Log
	bytes int
}

// Read implements upstream.Log.
func (l *countingLog) Read(ctx context.Context, name record.Stream, from record.Offset, limit int, wait time.Duration) (upstream.Batch, error) {
	batch, err := l.Log.Read(ctx, name, from, limit, wait)
	for _, stored := range batch.Records {
		l.bytes += len(stored.Body)
	}
	return batch, err
}

// BenchmarkKeeper measures one check of whether a snapshot is due, while the log holds as many snapshots
// as a check reads. Each entry makes such a check for each stream every 10 s.
func BenchmarkKeeper(b *testing.B) {
	for _, bench := range fills {
		for _, size := range bench.sizes {
			b.Run(fmt.Sprintf("%s=%d", bench.unit, size), func(b *testing.B) {
				w := &folds{b: b, state: bench.state()}
				bench.fill(w, size)
				log := &countingLog{Log: appendlog.New(appendlog.Retention{}, nil)}
				follower := &stream.Follower{Log: log, Stream: "s", Folder: w.state}
				ctx, cancel := context.WithCancel(b.Context())
				defer cancel()
				go func() { _ = follower.Run(ctx) }()
				require.Eventually(b, follower.Current, time.Minute, time.Millisecond)
				offset, digest, state, err := follower.Snapshot()
				require.NoError(b, err)
				image, err := Pack("s", offset+1, digest, state)
				require.NoError(b, err)
				appendImages(b, log, image)
				require.NoError(b, follower.Restore(image.Offset, digest, state))
				k := &Keeper{Log: log, Follower: follower, Period: time.Hour, Rank: func() int { return 0 }}
				log.bytes = 0
				for b.Loop() {
					due, err := k.due(ctx)
					require.NoError(b, err)
					require.False(b, due)
				}
				b.ReportMetric(float64(log.bytes)/float64(b.N), "read-B")
			})
		}
	}
}

func appendImages(b *testing.B, log upstream.Log, image Image) {
	body, err := json.Marshal(image)
	require.NoError(b, err)
	for n := range readLimit {
		id := record.ID{Writer: record.Writer{Entry: "alpha-entry-1", Incarnation: 1}, Sequence: record.Sequence(n + 1)}
		var clock timer.Service
		data, err := record.Encode(record.Envelope{ID: id, Kind: Kind, Time: clock.Now(), Body: body})
		require.NoError(b, err)
		_, err = log.Append(b.Context(), record.Stream("s").Snapshot(), []json.RawMessage{data})
		require.NoError(b, err)
	}
}

func measureWrite(b *testing.B, follower *stream.Follower) {
	var image Image
	raw := 0
	for b.Loop() {
		offset, digest, state, err := follower.Snapshot()
		require.NoError(b, err)
		image, err = Pack("s", offset, digest, state)
		require.NoError(b, err)
		raw = len(state)
	}
	b.ReportMetric(float64(raw), "raw-B")
	b.ReportMetric(float64(len(image.State)), "gzip-B")
}

func measureRestore(b *testing.B, from *stream.Follower, state stream.Folder) {
	offset, digest, data, err := from.Snapshot()
	require.NoError(b, err)
	image, err := Pack("s", offset, digest, data)
	require.NoError(b, err)
	into := &stream.Follower{Folder: state}
	for b.Loop() {
		sum, unpacked, err := image.Unpack()
		require.NoError(b, err)
		require.NoError(b, into.Restore(image.Offset, sum, unpacked))
	}
}
