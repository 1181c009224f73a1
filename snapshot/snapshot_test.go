package snapshot

import (
	"context"
	"encoding/json"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hibiscuslane.example/hibiscuslane/instance"
	"hibiscuslane.example/hibiscuslane/peer"
	"hibiscuslane.example/hibiscuslane/record"
	"hibiscuslane.example/hibiscuslane/standin/appendlog"
	"hibiscuslane.example/hibiscuslane/stream"
	"hibiscuslane.example/hibiscuslane/timer"
)

// countingState is a state machine that counts the records applied to it.
type countingState struct {
	mu    sync.Mutex
	count uint64
}

func (s *countingState) Apply(record.Offset, record.Envelope) stream.Verdict {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.count++
	return stream.Applied
}

func (s *countingState) Snapshot() ([]byte, error) { return json.Marshal(s.Digest()) }

func (s *countingState) Restore(data []byte) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return json.Unmarshal(data, &s.count)
}

func (s *countingState) Digest() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.count
}

// fixture is a log with a stream of ten records.
type fixture struct {
	t            *testing.T
	log          *appendlog.Log
	lastSequence record.Sequence
}

func newFixture(t *testing.T, retention appendlog.Retention) *fixture {
	t.Helper()
	f := &fixture{t: t, log: appendlog.New(retention, nil)}
	t.Cleanup(f.log.Close)
	for range 10 {
		f.appendRecord(record.StreamFleet, "count", struct{}{})
	}
	return f
}

func (f *fixture) appendRecord(name record.Stream, kind record.Kind, body any) {
	f.t.Helper()
	data, err := json.Marshal(body)
	require.NoError(f.t, err)
	f.lastSequence++
	encoded, err := record.Encode(record.Envelope{
		ID: record.ID{Writer: record.Writer{Entry: "writer", Incarnation: 1}, Sequence: f.lastSequence}, Kind: kind, Time: time.Now().UTC(), Body: data,
	})
	require.NoError(f.t, err)
	_, err = f.log.Append(context.Background(), name, []json.RawMessage{encoded})
	require.NoError(f.t, err)
}

// appendSnapshot appends a snapshot of the state after n records, with the given digest.
func (f *fixture) appendSnapshot(n uint64, digest uint64) {
	f.t.Helper()
	state, err := json.Marshal(map[string]any{"writers": []any{}, "state": n})
	require.NoError(f.t, err)
	body, err := Compress(record.StreamFleet, record.Offset(n), digest, state)
	require.NoError(f.t, err)
	f.appendRecord(record.StreamFleet.Snapshot(), Kind, body)
}

func (f *fixture) newFollower() *stream.Follower {
	return &stream.Follower{Log: f.log, Stream: record.StreamFleet, State: &countingState{}}
}

func (f *fixture) newLoader(follower *stream.Follower) *Loader {
	return &Loader{Log: f.log, Follower: follower, Clients: &peer.Clients{}, Peers: func() map[instance.ID]instance.Address { return nil }}
}

// TestLoadSkipsDamaged guards against an entry that fails to start, or starts with a wrong state, when the
// newest snapshots in the log are damaged.
func TestLoadSkipsDamaged(t *testing.T) {
	f := newFixture(t, appendlog.Retention{})
	f.appendSnapshot(4, 4)
	f.appendSnapshot(7, 99)
	f.appendRecord(record.StreamFleet.Snapshot(), Kind, "no snapshot")
	follower := f.newFollower()
	source, err := f.newLoader(follower).Load(context.Background())
	require.NoError(t, err)
	require.Equal(t, SourceLog, source)
	require.Equal(t, record.Offset(4), follower.NextOffset())
}

// TestLoadWithoutSnapshot guards against applying the remaining records of a stream whose first records
// have expired while no snapshot covers them.
func TestLoadWithoutSnapshot(t *testing.T) {
	f := newFixture(t, appendlog.Retention{MaxRecords: 3})
	_, err := f.newLoader(f.newFollower()).Load(context.Background())
	var missing *MissingError
	require.ErrorAs(t, err, &missing)
	f.appendSnapshot(9, 9)
	_, err = f.newLoader(f.newFollower()).Load(context.Background())
	require.NoError(t, err)
}

// TestWriteIfDue guards against writing a snapshot at every check, and against writing none when the newest
// one has reached MaxAge.
func TestWriteIfDue(t *testing.T) {
	f := newFixture(t, appendlog.Retention{})
	clock := timer.NewManual(time.Now())
	ctx, cancel := context.WithCancel(context.Background())
	follower := f.newFollower()
	appender := &stream.Appender{Log: f.log, Stream: record.StreamFleet.Snapshot(), Writer: record.Writer{Entry: "entry-1", Incarnation: 1}}
	writer := &Writer{Log: f.log, Follower: follower, Appender: appender, Timer: &clock.Service, MaxAge: time.Minute, Rank: func() int { return 0 }}
	var group sync.WaitGroup
	group.Go(func() { _ = follower.Run(ctx) })
	group.Go(func() { _ = appender.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		group.Wait()
	})
	require.NoError(t, follower.Wait(ctx, 9))
	require.Eventually(t, follower.HasReachedHead, 5*time.Second, time.Millisecond)
	snapshotCount := func() record.Offset {
		batch, err := f.log.Read(ctx, record.StreamFleet.Snapshot(), offsetBeyondHead, 1, 0)
		require.NoError(t, err)
		return batch.NextOffset
	}
	require.NoError(t, writer.writeIfDue(ctx))
	require.NoError(t, writer.writeIfDue(ctx))
	require.Equal(t, record.Offset(1), snapshotCount(), "the second check finds a recent snapshot")
	clock.Advance(2 * time.Minute)
	require.NoError(t, writer.writeIfDue(ctx))
	require.Equal(t, record.Offset(2), snapshotCount())
}

// FuzzDecode guards against a panic on a malformed snapshot record, and against accepting a record of
// another stream.
func FuzzDecode(f *testing.F) {
	body, err := Compress(record.StreamFleet, 3, 7, []byte(`{"writers":[],"state":7}`))
	require.NoError(f, err)
	encoded, err := json.Marshal(body)
	require.NoError(f, err)
	data, err := record.Encode(record.Envelope{
		ID: record.ID{Writer: record.Writer{Entry: "a", Incarnation: 1}, Sequence: 1}, Kind: Kind, Body: encoded,
	})
	require.NoError(f, err)
	f.Add([]byte(data))
	f.Add([]byte(`{"id":{"entry":"a","sequence":1},"kind":"snapshot","body":{"stream":"fleet","offset":-1}}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		body, err := Decode(record.StreamFleet, data)
		if err != nil {
			return
		}
		require.Equal(t, record.StreamFleet, body.Stream)
		_, _, _ = body.Decompress()
	})
}
