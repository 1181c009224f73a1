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

// tally is a state that counts records.
type tally struct {
	mu sync.Mutex
	n  uint64
}

func (c *tally) Fold(record.Offset, record.Envelope) stream.Verdict {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.n++
	return stream.Applied
}

func (c *tally) Snapshot() ([]byte, error) { return json.Marshal(c.Digest()) }

func (c *tally) Restore(data []byte) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return json.Unmarshal(data, &c.n)
}

func (c *tally) Digest() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.n
}

// fixture is a log with a stream of ten records.
type fixture struct {
	t   *testing.T
	log *appendlog.Log
	seq record.Sequence
}

func newFixture(t *testing.T, retention appendlog.Retention) *fixture {
	t.Helper()
	f := &fixture{t: t, log: appendlog.New(retention, nil)}
	t.Cleanup(f.log.Close)
	for range 10 {
		f.append(record.StreamFleet, "count", struct{}{})
	}
	return f
}

func (f *fixture) append(name record.Stream, kind record.Kind, body any) {
	f.t.Helper()
	data, err := json.Marshal(body)
	require.NoError(f.t, err)
	f.seq++
	encoded, err := record.Encode(record.Envelope{
		ID: record.ID{Writer: record.Writer{Entry: "writer", Incarnation: 1}, Sequence: f.seq}, Kind: kind, Time: time.Now().UTC(), Body: data,
	})
	require.NoError(f.t, err)
	_, err = f.log.Append(context.Background(), name, []json.RawMessage{encoded})
	require.NoError(f.t, err)
}

// image appends a snapshot of the state after n records.
func (f *fixture) image(n uint64, digest uint64) {
	f.t.Helper()
	state, err := json.Marshal(map[string]any{"writers": []any{}, "state": n})
	require.NoError(f.t, err)
	image, err := Pack(record.StreamFleet, record.Offset(n), digest, state)
	require.NoError(f.t, err)
	f.append(record.StreamFleet.Snapshot(), Kind, image)
}

func (f *fixture) follower() *stream.Follower {
	return &stream.Follower{Log: f.log, Stream: record.StreamFleet, Folder: &tally{}}
}

func (f *fixture) loader(follower *stream.Follower) *Loader {
	return &Loader{Log: f.log, Follower: follower, Clients: &peer.Clients{}, Peers: func() map[instance.ID]instance.Address { return nil }}
}

// TestLoadSkipsDamaged guards against a start that fails, or takes a wrong state, because the newest
// snapshot is damaged.
func TestLoadSkipsDamaged(t *testing.T) {
	f := newFixture(t, appendlog.Retention{})
	f.image(4, 4)
	f.image(7, 99)
	f.append(record.StreamFleet.Snapshot(), Kind, "no image")
	follower := f.follower()
	source, err := f.loader(follower).Load(context.Background())
	require.NoError(t, err)
	require.Equal(t, SourceLog, source)
	require.Equal(t, record.Offset(4), follower.Offset())
}

// TestLoadWithoutSnapshot guards against folding the rest of a stream whose first records are gone.
func TestLoadWithoutSnapshot(t *testing.T) {
	f := newFixture(t, appendlog.Retention{MaxRecords: 3})
	_, err := f.loader(f.follower()).Load(context.Background())
	var missing *MissingError
	require.ErrorAs(t, err, &missing)
	f.image(9, 9)
	_, err = f.loader(f.follower()).Load(context.Background())
	require.NoError(t, err)
}

// TestKeeper guards against a snapshot at every check, and against none when the newest one is about
// to leave the retention window.
func TestKeeper(t *testing.T) {
	f := newFixture(t, appendlog.Retention{})
	clock := timer.NewManual(time.Now())
	ctx, cancel := context.WithCancel(context.Background())
	follower := f.follower()
	appender := &stream.Appender{Log: f.log, Stream: record.StreamFleet.Snapshot(), Writer: record.Writer{Entry: "entry-1", Incarnation: 1}}
	k := &Keeper{Log: f.log, Follower: follower, Appender: appender, Timer: &clock.Service, Period: time.Minute, Rank: func() int { return 0 }}
	var group sync.WaitGroup
	group.Go(func() { _ = follower.Run(ctx) })
	group.Go(func() { _ = appender.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		group.Wait()
	})
	require.NoError(t, follower.Wait(ctx, 9))
	require.Eventually(t, follower.Current, 5*time.Second, time.Millisecond)
	count := func() record.Offset {
		batch, err := f.log.Read(ctx, record.StreamFleet.Snapshot(), endOfStream, 1, 0)
		require.NoError(t, err)
		return batch.Next
	}
	require.NoError(t, k.pass(ctx))
	require.NoError(t, k.pass(ctx))
	require.Equal(t, record.Offset(1), count(), "the second pass finds a fresh snapshot")
	clock.Advance(2 * time.Minute)
	require.NoError(t, k.pass(ctx))
	require.Equal(t, record.Offset(2), count())
}

// FuzzDecode guards against snapshot records that panic or unpack into something else than a state.
func FuzzDecode(f *testing.F) {
	image, err := Pack(record.StreamFleet, 3, 7, []byte(`{"writers":[],"state":7}`))
	require.NoError(f, err)
	body, err := json.Marshal(image)
	require.NoError(f, err)
	data, err := record.Encode(record.Envelope{
		ID: record.ID{Writer: record.Writer{Entry: "a", Incarnation: 1}, Sequence: 1}, Kind: Kind, Body: body,
	})
	require.NoError(f, err)
	f.Add([]byte(data))
	f.Add([]byte(`{"id":{"entry":"a","sequence":1},"kind":"snapshot","body":{"stream":"fleet","offset":-1}}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		image, err := Decode(record.StreamFleet, data)
		if err != nil {
			return
		}
		require.Equal(t, record.StreamFleet, image.Stream)
		_, _, _ = image.Unpack()
	})
}
