package stream_test

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hibiscuslane.example/hibiscuslane/event"
	"hibiscuslane.example/hibiscuslane/failure"
	"hibiscuslane.example/hibiscuslane/record"
	"hibiscuslane.example/hibiscuslane/stream"
	"hibiscuslane.example/hibiscuslane/upstream"
)

var errLost = errors.New("answer lost")

// memoryLog is a log in memory whose append answers can be lost after the effect.
type memoryLog struct {
	mu      sync.Mutex
	records []json.RawMessage
	lose    int
	down    bool
	changed chan struct{}
	// tries counts the appends, refused ones included.
	tries int
}

func (l *memoryLog) appends() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.tries
}

func (l *memoryLog) Append(_ context.Context, _ record.Stream, records []json.RawMessage) (record.Offset, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.tries++
	if l.down {
		return 0, &upstream.RefusedError{Refusal: upstream.RefusedDown}
	}
	first := record.Offset(len(l.records))
	l.records = append(l.records, records...)
	if l.changed != nil {
		close(l.changed)
		l.changed = nil
	}
	if l.lose > 0 {
		l.lose--
		return 0, &upstream.CallError{Call: "append", Cause: errLost}
	}
	return first, nil
}

func (l *memoryLog) Read(ctx context.Context, _ record.Stream, from record.Offset, _ int, _ time.Duration) (upstream.Batch, error) {
	for {
		l.mu.Lock()
		next := record.Offset(len(l.records))
		if from < next {
			batch := upstream.Batch{Next: next}
			for i := from; i < next; i++ {
				batch.Records = append(batch.Records, upstream.Stored{Offset: i, Body: l.records[i]})
			}
			l.mu.Unlock()
			return batch, nil
		}
		if l.changed == nil {
			l.changed = make(chan struct{})
		}
		changed := l.changed
		l.mu.Unlock()
		select {
		case <-ctx.Done():
			return upstream.Batch{}, ctx.Err()
		case <-changed:
		}
	}
}

// counter counts the records that it folds and refuses every second one as stale.
type counter struct {
	mu sync.Mutex
	n  uint64
}

func (c *counter) Apply(_ record.Offset, e record.Envelope) stream.Verdict {
	c.mu.Lock()
	defer c.mu.Unlock()
	if e.Kind == "stale" {
		return stream.Stale("refused by the test")
	}
	c.n++
	return stream.Applied
}

func (c *counter) Snapshot() ([]byte, error) { return json.Marshal(c.Digest()) }

func (c *counter) Restore(data []byte) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	return json.Unmarshal(data, &c.n)
}

func (c *counter) Digest() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.n
}

func start(t *testing.T, log upstream.Log, state stream.StateMachine) (*stream.Proposer, context.Context) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	f := &stream.Follower{Log: log, Stream: "test", State: state}
	a := &stream.Appender{Log: log, Stream: "test", Writer: record.Writer{Entry: "entry-1", Incarnation: 1}}
	var group sync.WaitGroup
	group.Go(func() { _ = f.Run(ctx) })
	group.Go(func() { _ = a.Run(ctx) })
	t.Cleanup(func() {
		cancel()
		group.Wait()
	})
	return &stream.Proposer{Appender: a, Follower: f}, ctx
}

// TestLostAnswer guards against applying a record twice when the answer to its append is lost.
func TestLostAnswer(t *testing.T) {
	log, state := &memoryLog{lose: 1}, &counter{}
	p, ctx := start(t, log, state)
	offset, err := p.Propose(ctx, "count", "test", struct{}{})
	require.NoError(t, err)
	require.Zero(t, offset, "the first copy counts, not the acknowledged one")
	require.Equal(t, uint64(1), state.Digest())
	require.Len(t, log.records, 2, "the append is repeated")
	_, err = p.Propose(ctx, "count", "test", struct{}{})
	require.NoError(t, err)
	require.Equal(t, uint64(2), state.Digest())
}

// TestStaleVerdict guards against reporting an ignored record as accepted.
func TestStaleVerdict(t *testing.T) {
	p, ctx := start(t, &memoryLog{}, &counter{})
	_, err := p.Propose(ctx, "stale", "test", struct{}{})
	var verdict *stream.VerdictError
	require.ErrorAs(t, err, &verdict)
	require.Equal(t, failure.CodeConflict, verdict.Code())
}

// signal is a log writer that reports that a line was written.
type signal chan struct{}

func (s signal) Write(p []byte) (int, error) {
	select {
	case s <- struct{}{}:
	default:
	}
	return len(p), nil
}

// abandoned proposes a record, gives it up once the appender has reported a failed attempt, and returns
// the error.
func abandoned(t *testing.T, log *memoryLog) error {
	t.Helper()
	p, ctx := start(t, log, &counter{})
	failed := make(signal, 1)
	p.Appender.Events = event.NewLog(failed, "test", "warn", event.FormatText)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	result := make(chan error, 1)
	go func() {
		_, err := p.Propose(ctx, "count", "test", struct{}{})
		result <- err
	}()
	<-failed
	cancel()
	return <-result
}

// TestOutageOutcomes guards against calling a record withdrawn that may be in the log, and against
// calling one unknown that the log has refused each time or that no append has carried.
func TestOutageOutcomes(t *testing.T) {
	lost := &memoryLog{lose: 1000}
	require.True(t, stream.IsPending(abandoned(t, lost)), "the answer was lost")
	require.NotZero(t, lost.appends())
	require.Equal(t, failure.OutcomeNotRun, failure.Of(abandoned(t, &memoryLog{down: true})).Outcome(), "the log refused")
	p, ctx := start(t, &memoryLog{down: true}, &counter{})
	ended, end := context.WithCancel(ctx)
	end()
	_, err := p.Propose(ended, "count", "test", struct{}{})
	require.Equal(t, failure.OutcomeNotRun, failure.Of(err).Outcome(), "no append carried the record")
}

// TestRestoreRefusals guards against a state that goes back or differs from its digest.
func TestRestoreRefusals(t *testing.T) {
	f := &stream.Follower{Stream: "test", State: &counter{n: 7}}
	offset, digest, data, err := f.Snapshot()
	require.NoError(t, err)
	require.NoError(t, f.Restore(offset+5, digest, data))
	require.Error(t, f.Restore(offset+4, digest, data))
	require.Error(t, f.Restore(offset+6, digest+1, data))
	require.Error(t, f.Restore(offset+6, digest, []byte("{")))
	require.Equal(t, record.Offset(5), f.NextOffset())
}

// FuzzRestore guards against a malformed snapshot that panics or changes the state.
func FuzzRestore(f *testing.F) {
	f.Add([]byte(`{"writers":[{"entry":"a","incarnation":1,"sequence":1,"offset":1}],"state":7}`))
	f.Add([]byte(`{"writers":null,"state":null}`))
	f.Add([]byte(`[]`))
	f.Fuzz(func(t *testing.T, data []byte) {
		follower := &stream.Follower{Stream: "test", State: &counter{n: 3}}
		if err := follower.Restore(1, 99, data); err != nil {
			require.Equal(t, record.Offset(0), follower.NextOffset())
		}
	})
}
