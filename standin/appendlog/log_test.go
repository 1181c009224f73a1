package appendlog_test

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hibiscuslane.example/hibiscuslane/failure"
	"hibiscuslane.example/hibiscuslane/record"
	"hibiscuslane.example/hibiscuslane/standin/appendlog"
	"hibiscuslane.example/hibiscuslane/timer"
	"hibiscuslane.example/hibiscuslane/upstream"
)

var ctx = context.Background()

func startLog(t *testing.T, retention appendlog.Retention) (*appendlog.Log, *upstream.Client, *timer.Manual) {
	t.Helper()
	manual := timer.NewManual(time.Unix(1_000_000, 0))
	log := appendlog.New(retention, &manual.Service)
	mux := http.NewServeMux()
	log.RegisterHandlers(mux)
	server := httptest.NewServer(mux)
	t.Cleanup(server.Close)
	t.Cleanup(log.Close)
	return log, &upstream.Client{BaseURL: server.URL, HTTPClient: server.Client()}, manual
}

func records(bodies ...string) []json.RawMessage {
	list := make([]json.RawMessage, len(bodies))
	for i, body := range bodies {
		list[i] = json.RawMessage(body)
	}
	return list
}

// TestLostAnswer guards against an append that is undone when its response is lost, and against a lost
// response that is reported as a refusal, which would prove that nothing was appended.
func TestLostAnswer(t *testing.T) {
	log, client, _ := startLog(t, appendlog.Retention{})
	require.NoError(t, log.PatchFaults([]byte(`{"lose":1}`)))
	_, err := client.Append(ctx, "a", records(`1`))
	require.Equal(t, failure.OutcomeUnknown, failure.Of(err).Outcome())
	first, err := client.Append(ctx, "a", records(`1`))
	require.NoError(t, err)
	require.Equal(t, record.Offset(1), first)
	batch, err := client.Read(ctx, "a", 0, 10, 0)
	require.NoError(t, err)
	require.Len(t, batch.Records, 2)
	require.Equal(t, appendlog.StreamCounters{Appends: 2, Reads: 1, Records: 2}, log.Counters()["a"])
}

// TestRetention guards against records that outlive the retention window, and against a read that
// silently skips dropped records.
func TestRetention(t *testing.T) {
	_, client, manual := startLog(t, appendlog.Retention{MaxRecords: 3, MaxAge: time.Minute})
	_, err := client.Append(ctx, "a", records(`0`, `1`, `2`, `3`))
	require.NoError(t, err)
	_, err = client.Read(ctx, "a", 0, 10, 0)
	require.True(t, upstream.IsExpired(err))
	batch, err := client.Read(ctx, "a", 1, 2, 0)
	require.NoError(t, err)
	require.Equal(t, record.Offset(1), batch.OldestOffset)
	require.Equal(t, record.Offset(4), batch.NextOffset)
	require.Equal(t, []upstream.StoredRecord{{Offset: 1, Body: records(`1`)[0]}, {Offset: 2, Body: records(`2`)[0]}}, batch.Records)
	manual.Advance(30 * time.Second)
	_, err = client.Append(ctx, "a", records(`4`))
	require.NoError(t, err)
	manual.Advance(31 * time.Second)
	_, err = client.Read(ctx, "a", 3, 10, 0)
	require.True(t, upstream.IsExpired(err))
	batch, err = client.Read(ctx, "a", 4, 10, 0)
	require.NoError(t, err)
	require.Len(t, batch.Records, 1)
}

// TestLongPoll guards against a waiting read that misses an append, exceeds its wait time, or goes on
// waiting when the log goes down.
func TestLongPoll(t *testing.T) {
	log, client, manual := startLog(t, appendlog.Retention{})
	type result struct {
		batch upstream.Batch
		err   error
	}
	read := func() <-chan result {
		done := make(chan result, 1)
		go func() {
			batch, err := client.Read(ctx, "a", 0, 10, time.Second)
			done <- result{batch, err}
		}()
		require.NoError(t, manual.AwaitSubscribers(ctx, 1))
		return done
	}
	waiting := read()
	manual.Advance(time.Second)
	got := <-waiting
	require.NoError(t, got.err)
	require.Empty(t, got.batch.Records)
	waiting = read()
	log.SetFaults(appendlog.Faults{Down: true})
	require.True(t, upstream.IsRefused((<-waiting).err, upstream.RefusedDown))
	_, err := client.Append(ctx, "a", records(`0`))
	require.True(t, upstream.IsRefused(err, upstream.RefusedDown))
	log.SetFaults(appendlog.Faults{})
	manual.Advance(time.Second)
	waiting = read()
	_, err = log.Append(ctx, "a", records(`0`))
	require.NoError(t, err)
	require.Len(t, (<-waiting).batch.Records, 1)
}

// TestSlowAppend guards against a delayed append that is cancelled when its caller gives up. A remote
// store would carry it out.
func TestSlowAppend(t *testing.T) {
	log, client, manual := startLog(t, appendlog.Retention{})
	log.SetFaults(appendlog.Faults{DelayMS: 500})
	callCtx, cancel := context.WithCancel(ctx)
	failed := make(chan error, 1)
	go func() {
		_, err := client.Append(callCtx, "a", records(`0`))
		failed <- err
	}()
	require.NoError(t, manual.AwaitSubscribers(ctx, 1))
	cancel()
	require.Equal(t, failure.OutcomeUnknown, failure.Of(<-failed).Outcome())
	require.Zero(t, log.Counters()["a"].Records)
	manual.Advance(500 * time.Millisecond)
	require.Eventually(t, func() bool { return log.Counters()["a"].Records == 1 }, 10*time.Second, time.Millisecond)
}

// TestRate guards against appends that are accepted above the configured rate.
func TestRate(t *testing.T) {
	log, client, manual := startLog(t, appendlog.Retention{})
	log.SetFaults(appendlog.Faults{MaxAppendRate: 2})
	for range 2 {
		_, err := client.Append(ctx, "a", records(`0`))
		require.NoError(t, err)
	}
	_, err := client.Append(ctx, "a", records(`0`))
	require.True(t, upstream.IsRefused(err, upstream.RefusedFull))
	manual.Advance(500 * time.Millisecond)
	_, err = client.Append(ctx, "a", records(`0`))
	require.NoError(t, err)
}

// TestAnswerSize guards against a response that clients refuse for its size. A client that follows the
// log would request the same response forever.
func TestAnswerSize(t *testing.T) {
	log, client, _ := startLog(t, appendlog.Retention{})
	large := `"` + strings.Repeat("x", 5<<20) + `"`
	for range 2 {
		_, err := log.Append(ctx, "a", records(large))
		require.NoError(t, err)
	}
	batch, err := client.Read(ctx, "a", 0, 10, 0)
	require.NoError(t, err)
	require.Len(t, batch.Records, 1)
}
