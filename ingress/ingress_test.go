package ingress_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hibiscuslane.example/hibiscuslane/ingress"
	"hibiscuslane.example/hibiscuslane/queue"
	"hibiscuslane.example/hibiscuslane/relay"
	"hibiscuslane.example/hibiscuslane/timer"
)

// countingForwarder counts the requests that it gets.
type countingForwarder struct{ requests int }

func (f *countingForwarder) Forward(context.Context, *relay.Request, time.Duration) *relay.Reply {
	f.requests++
	return &relay.Reply{Verdict: relay.Verdict_DONE}
}

// pausingBody calls pause when the body is read.
type pausingBody struct {
	io.Reader
	pause func()
}

func (b pausingBody) Read(p []byte) (int, error) {
	b.pause()
	return b.Reader.Read(p)
}

// TestExpiredRequestForwarded guards against a job that is accepted although its caller has given up: the entry was paused or
// suspended after the request had arrived and forwarded it after that.
func TestExpiredRequestForwarded(t *testing.T) {
	clock := timer.NewManual(time.UnixMilli(0))
	forwarder := &countingForwarder{}
	config := queue.New(1, []queue.Queue{{Name: "desk", Host: "callers", PathPrefix: "/desk/", Pool: "desk"}}, []queue.Pool{{Name: "desk"}})
	handler := &ingress.Handler{Config: func() *queue.Config { return config }, Forwarder: forwarder, Clock: &clock.Service}
	for _, c := range []struct {
		pause     func()
		status    int
		forwarded int
	}{
		{func() {}, http.StatusOK, 1},
		{func() { clock.Advance(10 * time.Second) }, http.StatusServiceUnavailable, 1},
		{func() { clock.Suspend(10 * time.Second) }, http.StatusServiceUnavailable, 1},
	} {
		request := httptest.NewRequest(http.MethodPost, "/desk/00000000000000aa", pausingBody{strings.NewReader("{}"), c.pause})
		request.Host = "callers"
		recorder := httptest.NewRecorder()
		handler.ServeHTTP(recorder, request)
		require.Equal(t, c.status, recorder.Code)
		require.Equal(t, c.forwarded, forwarder.requests)
		require.Equal(t, c.status != http.StatusOK, recorder.Header().Get("Retry-After") != "")
	}
}
