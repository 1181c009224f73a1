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

// patience bounds waits for events that have to come; no test waits this long to pass.
const patience = 10 * time.Second

func start(t *testing.T, options target.Options) (*target.Target, *timer.Manual) {
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
	return &http.Client{Transport: transport, Timeout: patience}
}

// send returns the status, the refusal word and the body of a POST, or the error of the call.
func send(client *http.Client, to *target.Target, incarnation, query string) (int, string, string, error) {
	url := "http://" + string(to.Listing().Address) + "/orders?" + query
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

// TestRefusals guards against work under an old incarnation or during a drain, and against a refused
// request that appears in the journal.
func TestRefusals(t *testing.T) {
	subject, manual := start(t, target.Options{Restart: time.Second})
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
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	require.NoError(t, manual.AwaitSubscribers(ctx, 1))
	manual.Advance(time.Second)
	require.Eventually(t, func() bool { return subject.Listing().Incarnation == 2 }, patience, time.Millisecond)
	require.True(t, upstream.IsRefused(subject.Reboot(1), upstream.RefusedIncarnation))
	status, _, _, err = send(client, subject, "2", "status=201")
	require.NoError(t, err)
	require.Equal(t, http.StatusCreated, status)
	require.Equal(t, instance.Incarnation(2), subject.Journal()[0].Incarnation)
}

// TestSlots guards against more requests at once than there are slots, against a reboot under a
// running request, and against a slot that is still taken when the client has its answer.
func TestSlots(t *testing.T) {
	subject, manual := start(t, target.Options{Slots: 2})
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
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	require.NoError(t, manual.AwaitSubscribers(ctx, 2))
	_, refused, _, err := send(client, subject, "1", "")
	require.NoError(t, err)
	require.Equal(t, "full", refused)
	require.True(t, upstream.IsRefused(subject.Reboot(1), upstream.RefusedBusy))
	manual.Advance(time.Second)
	group.Wait()
	require.Zero(t, subject.Running())
	for range 50 {
		_, refused, body, err := send(client, subject, "1", "size=100000")
		require.NoError(t, err)
		require.Empty(t, refused)
		require.Equal(t, string(target.Pattern("r-1", 100000)), body)
	}
	require.Len(t, subject.Journal(), 52)
}

// TestAnswerFaults guards against a fault that hides whether the request ran.
func TestAnswerFaults(t *testing.T) {
	subject, _ := start(t, target.Options{})
	client := newClient(t)
	require.NoError(t, subject.Fault([]byte(`{"close":1}`)))
	_, _, _, err := send(client, subject, "1", "")
	require.Error(t, err)
	require.NotNil(t, subject.Journal()[0].End, "the request was executed")
	require.NoError(t, subject.Fault([]byte(`{"truncate":2}`)))
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

// TestSilentConnections guards against a dead connection that still executes requests, and against
// a target whose new connections are dead too.
func TestSilentConnections(t *testing.T) {
	subject, _ := start(t, target.Options{})
	old := newClient(t)
	_, _, _, err := send(old, subject, "1", "")
	require.NoError(t, err)
	require.NoError(t, subject.SetFaults(target.Faults{Faults: machine.Faults{Silent: socket.SilenceEstablished}}))
	require.NoError(t, subject.Fault([]byte(`{"slow":0}`)))
	_, _, _, err = send(newClient(t), subject, "1", "")
	require.NoError(t, err, "a later change of another switch silences no connection")
	require.Len(t, subject.Journal(), 2)

	old.Timeout = 50 * time.Millisecond
	_, _, _, err = send(old, subject, "1", "")
	var timeout net.Error
	require.ErrorAs(t, err, &timeout)
	require.True(t, timeout.Timeout(), "the connection stays open")
	require.Len(t, subject.Journal(), 2)

	require.NoError(t, subject.Fault([]byte(`{"silent":"all"}`)))
	fresh := newClient(t)
	fresh.Timeout = 50 * time.Millisecond
	_, _, _, err = send(fresh, subject, "1", "")
	require.ErrorAs(t, err, &timeout)
	require.NoError(t, subject.Fault([]byte(`{"silent":""}`)))
	_, _, _, err = send(newClient(t), subject, "1", "")
	require.NoError(t, err)
}

// TestConnections guards against a refusal of connections that leaves established ones unusable, and
// against more connections than the limit.
func TestConnections(t *testing.T) {
	subject, _ := start(t, target.Options{Connections: 1})
	first, second := newClient(t), newClient(t)
	_, _, _, err := send(first, subject, "1", "")
	require.NoError(t, err)
	_, refused, _, err := send(second, subject, "1", "")
	require.NoError(t, err)
	require.Equal(t, "full", refused)
	require.NoError(t, subject.Fault([]byte(`{"refuse":true}`)))
	_, _, _, err = send(newClient(t), subject, "1", "")
	require.ErrorContains(t, err, "connection refused")
	_, _, _, err = send(first, subject, "1", "")
	require.NoError(t, err)
	require.Len(t, subject.Journal(), 2)
	require.Error(t, subject.Fault([]byte(`{"refused":true}`)), "unknown switches are refused")
}

// TestCrash guards against a request that a crashed target goes on to finish.
func TestCrash(t *testing.T) {
	subject, manual := start(t, target.Options{})
	client := newClient(t)
	failed := make(chan error, 1)
	go func() {
		_, _, _, err := send(client, subject, "1", "time=1000")
		failed <- err
	}()
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	require.NoError(t, manual.AwaitSubscribers(ctx, 1))
	require.NoError(t, subject.Fault([]byte(`{"off":true}`)))
	require.Error(t, <-failed)
	require.NoError(t, subject.Fault([]byte(`{"off":false}`)))
	manual.Advance(time.Second)
	_, _, _, err := send(client, subject, "2", "")
	require.NoError(t, err)
	require.Nil(t, subject.Journal()[0].End)
	require.Equal(t, 0, subject.Running())
}
