package target_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hibiscuslane.example/hibiscuslane/instance"
	"hibiscuslane.example/hibiscuslane/standin/machine"
	"hibiscuslane.example/hibiscuslane/standin/socket"
	"hibiscuslane.example/hibiscuslane/standin/target"
	"hibiscuslane.example/hibiscuslane/timer"
	"hibiscuslane.example/hibiscuslane/upstream"
)

// waitTimeout bounds waits for events that must happen; a passing test does not wait this long.
const waitTimeout = 10 * time.Second

func startTarget(t *testing.T, options target.Options) (*target.Target, *timer.Manual) {
	t.Helper()
	manual := timer.NewManual(time.Unix(1_000_000, 0))
	options.ID, options.Timer = "target-1", &manual.Service
	subject, err := target.Start(options)
	require.NoError(t, err)
	t.Cleanup(func() { require.NoError(t, subject.Close()) })
	return subject, manual
}

func newClient(t *testing.T) *http.Client {
	t.Helper()
	transport := &http.Transport{}
	t.Cleanup(transport.CloseIdleConnections)
	return &http.Client{Transport: transport, Timeout: waitTimeout}
}

// send sends a POST and returns the status, the refusal, the body and the error.
func send(client *http.Client, to *target.Target, incarnation, query string) (int, string, string, error) {
	url := "http://" + string(to.ListedInstance().Address) + "/orders?" + query
	request, err := http.NewRequestWithContext(context.Background(), http.MethodPost, url, strings.NewReader("hello"))
	if err != nil {
		return 0, "", "", err
	}
	request.Header.Set(upstream.HeaderIncarnation, incarnation)
	request.Header.Set(upstream.HeaderRequest, "r-1")
	response, err := client.Do(request)
	if err != nil {
		return 0, "", "", err
	}
	defer func() { _ = response.Body.Close() }()
	body, err := io.ReadAll(response.Body)
	return response.StatusCode, response.Header.Get(upstream.HeaderRefused), string(body), err
}

// TestRefusals guards against requests that are executed although they expect another incarnation or the
// target drains, and against refused requests in the journal.
func TestRefusals(t *testing.T) {
	subject, manual := startTarget(t, target.Options{RestartDelay: time.Second})
	client := newClient(t)
	status, refused, _, err := send(client, subject, "2", "")
	require.NoError(t, err)
	require.Equal(t, http.StatusConflict, status)
	require.Equal(t, "incarnation", refused)
	require.NoError(t, subject.Drain(1))
	status, refused, _, err = send(client, subject, "1", "")
	require.NoError(t, err)
	require.Equal(t, http.StatusServiceUnavailable, status)
	require.Equal(t, "draining", refused)
	require.Empty(t, subject.Journal())

	require.True(t, upstream.IsRefused(subject.Reboot(2), upstream.RefusedIncarnation))
	require.NoError(t, subject.Reboot(1))
	_, _, _, err = send(client, subject, "1", "")
	require.Error(t, err, "a rebooting target is not reachable")
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	require.NoError(t, manual.AwaitSubscribers(ctx, 1))
	manual.Advance(time.Second)
	require.Eventually(t, func() bool { return subject.ListedInstance().Incarnation == 2 }, waitTimeout, time.Millisecond)
	require.True(t, upstream.IsRefused(subject.Reboot(1), upstream.RefusedIncarnation))
	status, _, _, err = send(client, subject, "2", "status=201")
	require.NoError(t, err)
	require.Equal(t, http.StatusCreated, status)
	require.Equal(t, instance.Incarnation(2), subject.Journal()[0].Incarnation)
}

// TestSlots guards against more concurrent requests than slots, against a reboot during a request, and
// against a slot that is still taken when the client has received the whole response.
func TestSlots(t *testing.T) {
	subject, manual := startTarget(t, target.Options{Slots: 2})
	client := newClient(t)
	var group sync.WaitGroup
	for range 2 {
		group.Go(func() {
			status, _, _, err := send(client, subject, "1", "time=1000&size=100000")
			if err != nil || status != http.StatusOK {
				t.Errorf("status %d, error %v", status, err)
			}
		})
	}
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	require.NoError(t, manual.AwaitSubscribers(ctx, 2))
	_, refused, _, err := send(client, subject, "1", "")
	require.NoError(t, err)
	require.Equal(t, "full", refused)
	require.True(t, upstream.IsRefused(subject.Reboot(1), upstream.RefusedBusy))
	manual.Advance(time.Second)
	group.Wait()
	require.Zero(t, subject.RunningWork())
	for range 50 {
		_, refused, body, err := send(client, subject, "1", "size=100000")
		require.NoError(t, err)
		require.Empty(t, refused)
		require.Equal(t, string(target.PatternBody("r-1", 100000)), body)
	}
	require.Len(t, subject.Journal(), 52)
}

// TestAnswerFaults guards against dropped or truncated responses to requests that were not executed, and
// against faults that affect more requests than configured.
func TestAnswerFaults(t *testing.T) {
	subject, _ := startTarget(t, target.Options{})
	client := newClient(t)
	require.NoError(t, subject.PatchFaults([]byte(`{"close":1}`)))
	_, _, _, err := send(client, subject, "1", "")
	require.Error(t, err)
	require.NotNil(t, subject.Journal()[0].End, "the request was executed")
	require.NoError(t, subject.PatchFaults([]byte(`{"truncate":2}`)))
	for _, query := range []string{"size=1000", "size=1000&chunked=true"} {
		status, _, body, err := send(client, subject, "1", query)
		require.ErrorIs(t, err, io.ErrUnexpectedEOF)
		require.Equal(t, http.StatusOK, status)
		require.Len(t, body, 500)
	}
	_, _, body, err := send(client, subject, "1", "size=1000")
	require.NoError(t, err)
	require.Len(t, body, 1000)
}

// TestSilentConnections guards against requests that are executed although they arrive over a silent
// connection, and against new connections that are silent although only established ones should be.
func TestSilentConnections(t *testing.T) {
	subject, _ := startTarget(t, target.Options{})
	old := newClient(t)
	_, _, _, err := send(old, subject, "1", "")
	require.NoError(t, err)
	require.NoError(t, subject.SetFaults(target.Faults{Faults: machine.Faults{Silent: socket.SilenceEstablished}}))
	require.NoError(t, subject.PatchFaults([]byte(`{"slow":0}`)))
	_, _, _, err = send(newClient(t), subject, "1", "")
	require.NoError(t, err, "a later change of another fault silences no connection")
	require.Len(t, subject.Journal(), 2)

	old.Timeout = 50 * time.Millisecond
	_, _, _, err = send(old, subject, "1", "")
	var timeout net.Error
	require.ErrorAs(t, err, &timeout)
	require.True(t, timeout.Timeout(), "the connection stays open")
	require.Len(t, subject.Journal(), 2)

	require.NoError(t, subject.PatchFaults([]byte(`{"silent":"all"}`)))
	fresh := newClient(t)
	fresh.Timeout = 50 * time.Millisecond
	_, _, _, err = send(fresh, subject, "1", "")
	require.ErrorAs(t, err, &timeout)
	require.NoError(t, subject.PatchFaults([]byte(`{"silent":""}`)))
	_, _, _, err = send(newClient(t), subject, "1", "")
	require.NoError(t, err)
}

// TestConnections guards against established connections that fail while new ones are refused, and
// against requests that are executed over more connections than the limit.
func TestConnections(t *testing.T) {
	subject, _ := startTarget(t, target.Options{MaxConnections: 1})
	first, second := newClient(t), newClient(t)
	_, _, _, err := send(first, subject, "1", "")
	require.NoError(t, err)
	_, refused, _, err := send(second, subject, "1", "")
	require.NoError(t, err)
	require.Equal(t, "full", refused)
	require.NoError(t, subject.PatchFaults([]byte(`{"refuse":true}`)))
	_, _, _, err = send(newClient(t), subject, "1", "")
	require.ErrorContains(t, err, "connection refused")
	_, _, _, err = send(first, subject, "1", "")
	require.NoError(t, err)
	require.Len(t, subject.Journal(), 2)
	require.Error(t, subject.PatchFaults([]byte(`{"refused":true}`)), "unknown faults are refused")
}

// TestCrash guards against a target that completes a request after it has crashed.
func TestCrash(t *testing.T) {
	subject, manual := startTarget(t, target.Options{})
	client := newClient(t)
	failed := make(chan error, 1)
	go func() {
		_, _, _, err := send(client, subject, "1", "time=1000")
		failed <- err
	}()
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	require.NoError(t, manual.AwaitSubscribers(ctx, 1))
	require.NoError(t, subject.PatchFaults([]byte(`{"off":true}`)))
	require.Error(t, <-failed)
	require.NoError(t, subject.PatchFaults([]byte(`{"off":false}`)))
	manual.Advance(time.Second)
	_, _, _, err := send(client, subject, "2", "")
	require.NoError(t, err)
	require.Nil(t, subject.Journal()[0].End)
	require.Equal(t, 0, subject.RunningWork())
}
