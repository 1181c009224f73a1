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

// recordTime is the time of all records of stateFiller.
var recordTime = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// stateFiller applies record bodies to a state at increasing offsets.
type stateFiller struct {
	b          *testing.B
	state      stream.StateMachine
	nextOffset record.Offset
}

func (filler *stateFiller) apply(kind record.Kind, body any) record.ID {
	data, err := json.Marshal(body)
	require.NoError(filler.b, err)
	id := record.ID{Writer: record.Writer{Entry: "alpha-entry-1", Incarnation: 1}, Sequence: record.Sequence(filler.nextOffset + 1)}
	verdict := filler.state.Apply(filler.nextOffset, record.Envelope{ID: id, Kind: kind, Time: recordTime, Author: "alpha-entry-1", Body: data})
	require.Equal(filler.b, stream.Applied, verdict)
	filler.nextOffset++
	return id
}

// Sizes of the deployment that the service is designed for.
const (
	poolSize  = 23
	siteCount = 14
	teamCount = 170
)

// hexID returns a distinct identifier of 32 hexadecimal digits for each n.
func hexID(n int) string { return fmt.Sprintf("%032x", uint64(n)*0x9e3779b97f4a7c15) }

func fillFleet(filler *stateFiller, size int) {
	for n := range size {
		filler.apply(fleet.KindAdmit, &fleet.Admit{
			RecordHeader: fleet.RecordHeader{ID: instance.ID(fmt.Sprintf("centre-%02d-worker-%05d", n%siteCount, n)), Reason: "the platform lists it"},
			InstanceKind: instance.KindWorker, Pool: pool.Name(fmt.Sprint("pool-", n/poolSize)), Incarnation: 1,
			Address: instance.Address(fmt.Sprintf("10.%d.%d.%d:8000", n%siteCount, n/250%250, n%250)),
			Centre:  site.DataCentre(fmt.Sprintf("centre-%02d", n%siteCount)), Rack: site.Rack(fmt.Sprint("rack-", n/4)), Cores: 32, Memory: 128 << 10,
		})
	}
}

func fillConfig(filler *stateFiller, pools int) {
	specs, sizes, quotas := map[string]any{}, map[string]any{}, map[string]any{}
	var routes []config.Route
	for n := range pools {
		name := fmt.Sprintf("pool-%03d", n)
		specs[name] = map[string]any{"slots": 8, "connections": 64, "queue": 256, "timeout": 10_000, "spare": n == 0}
		sizes[name] = map[string]any{"size": map[string]int{"targets": 3, "workers": 2}, "budget": map[string]int{"targets": 2, "workers": 1}}
		routes = append(routes, config.Route{Prefix: "/" + name, Pool: pool.Name(name)})
	}
	for n := range teamCount {
		quotas[fmt.Sprintf("team-%03d", n)] = map[string]any{"weight": 1, "rate": 50, "cores": 400, "memory": 100_000}
	}
	base := map[string]any{"pools": specs, "teams": quotas, "routes": routes, "weights": config.Weights{Buffer: 1}, "maintenance": config.Maintenance{}}
	files := map[config.File]any{config.BaseFile: base}
	for n := range siteCount {
		files[config.File(fmt.Sprintf("site/centre-%02d", n))] = map[string]any{"region": "north", "pools": sizes}
	}
	publish := config.Publish{Reason: "benchmark"}
	for name, content := range files {
		data, err := json.Marshal(content)
		require.NoError(filler.b, err)
		publish.Files = append(publish.Files, config.FileChange{Name: name, BaseVersion: config.NoVersion, Content: data})
	}
	filler.apply(config.KindPublish, publish)
}

func fillJobs(filler *stateFiller, jobs int) {
	filler.state.(*job.State).Limits = job.Limits{MaxOpenJobs: jobs + 1, MaxTextBytes: 1 << 30}
	for n := range jobs {
		filler.apply(job.KindSubmit, &job.Submit{ID: job.ID(hexID(n)), Spec: job.Spec{
			Pool: pool.Name(fmt.Sprint("pool-", n%290)), Team: team.Name(fmt.Sprint("team-", n%teamCount)), Command: "command of some length",
			Size: job.Size{Cores: 4, Memory: 1024}, MaxAttempts: 3,
		}})
	}
}

func fillClaims(filler *stateFiller, claims int) {
	filler.state.(*claim.State).Limits = claim.Limits{MaxClaims: claims + 1}
	for n := range claims {
		key := claim.Key{Team: team.Name(fmt.Sprint("team-", n%teamCount)), Value: hexID(n)}
		id := filler.apply(claim.KindClaim, claim.Body{Key: key, Digest: claim.Digest(hexID(n + claims))})
		answer := &claim.Answer{Status: 200, Header: map[string]string{"Content-Type": "application/json"}, Body: []byte(hexID(n) + hexID(n+1))}
		filler.apply(claim.KindOutcome, claim.Outcome{Key: key, ClaimID: id, Result: claim.ResultAnswered, Answer: answer})
	}
}

// benchmarkStates lists the state of each stream with the unit of its size and the sizes to measure.
var benchmarkStates = []struct {
	unit  string
	sizes []int
	state func() stream.StateMachine
	fill  func(*stateFiller, int)
}{
	{"instances", []int{100, 1000, 6600, 20_000}, func() stream.StateMachine { return &fleet.State{} }, fillFleet},
	{"pools", []int{5, 100, 290}, func() stream.StateMachine { return &config.State{} }, fillConfig},
	{"jobs", []int{1000, 10_000, 100_000}, func() stream.StateMachine { return &job.State{} }, fillJobs},
	{"claims", []int{1000, 10_000, 50_000}, func() stream.StateMachine { return &claim.State{} }, fillClaims},
}

// BenchmarkSnapshot measures encoding a snapshot of each stream (write) and restoring it, with the bytes before
// and after compression.
func BenchmarkSnapshot(b *testing.B) {
	for _, bench := range benchmarkStates {
		for _, size := range bench.sizes {
			filler := &stateFiller{b: b, state: bench.state()}
			bench.fill(filler, size)
			follower := &stream.Follower{State: filler.state}
			b.Run(fmt.Sprintf("write/%s=%d", bench.unit, size), func(b *testing.B) { measureWrite(b, follower) })
			b.Run(fmt.Sprintf("restore/%s=%d", bench.unit, size), func(b *testing.B) { measureRestore(b, follower, bench.state()) })
		}
	}
}

// countingLog counts the bytes of the records that are read from a log.
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

// BenchmarkIsDue measures one check of whether a snapshot is due, when the log holds as many snapshots as
// the Writer reads. Each entry makes such a check for each stream every 10 s.
func BenchmarkIsDue(b *testing.B) {
	for _, bench := range benchmarkStates {
		for _, size := range bench.sizes {
			b.Run(fmt.Sprintf("%s=%d", bench.unit, size), func(b *testing.B) {
				filler := &stateFiller{b: b, state: bench.state()}
				bench.fill(filler, size)
				log := &countingLog{Log: appendlog.New(appendlog.Retention{}, nil)}
				follower := &stream.Follower{Log: log, Stream: "s", State: filler.state}
				ctx, cancel := context.WithCancel(b.Context())
				defer cancel()
				go func() { _ = follower.Run(ctx) }()
				require.Eventually(b, follower.HasReachedHead, time.Minute, time.Millisecond)
				offset, digest, state, err := follower.Snapshot()
				require.NoError(b, err)
				body, err := Compress("s", offset+1, digest, state)
				require.NoError(b, err)
				appendSnapshots(b, log, body)
				require.NoError(b, follower.Restore(body.Offset, digest, state))
				writer := &Writer{Log: log, Follower: follower, MaxAge: time.Hour, Rank: func() int { return 0 }}
				log.bytes = 0
				for b.Loop() {
					due, err := writer.isDue(ctx)
					require.NoError(b, err)
					require.False(b, due)
				}
				b.ReportMetric(float64(log.bytes)/float64(b.N), "read-B")
			})
		}
	}
}

// appendSnapshots appends as many copies of a snapshot as the Writer reads.
func appendSnapshots(b *testing.B, log upstream.Log, body Body) {
	encoded, err := json.Marshal(body)
	require.NoError(b, err)
	for n := range maxSnapshotsRead {
		id := record.ID{Writer: record.Writer{Entry: "alpha-entry-1", Incarnation: 1}, Sequence: record.Sequence(n + 1)}
		var clock timer.Service
		data, err := record.Encode(record.Envelope{ID: id, Kind: Kind, Time: clock.Now(), Body: encoded})
		require.NoError(b, err)
		_, err = log.Append(b.Context(), record.Stream("s").Snapshot(), []json.RawMessage{data})
		require.NoError(b, err)
	}
}

func measureWrite(b *testing.B, follower *stream.Follower) {
	var body Body
	rawBytes := 0
	for b.Loop() {
		offset, digest, state, err := follower.Snapshot()
		require.NoError(b, err)
		body, err = Compress("s", offset, digest, state)
		require.NoError(b, err)
		rawBytes = len(state)
	}
	b.ReportMetric(float64(rawBytes), "raw-B")
	b.ReportMetric(float64(len(body.State)), "gzip-B")
}

func measureRestore(b *testing.B, from *stream.Follower, state stream.StateMachine) {
	offset, digest, encoded, err := from.Snapshot()
	require.NoError(b, err)
	body, err := Compress("s", offset, digest, encoded)
	require.NoError(b, err)
	into := &stream.Follower{State: state}
	for b.Loop() {
		storedDigest, decompressed, err := body.Decompress()
		require.NoError(b, err)
		require.NoError(b, into.Restore(body.Offset, storedDigest, decompressed))
	}
}
