package request_test

import (
	"context"
	"errors"
	"io"
	"log"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"hibiscuslane.example/hibiscuslane/failure"
	"hibiscuslane.example/hibiscuslane/request"
	"hibiscuslane.example/hibiscuslane/slot"
	"hibiscuslane.example/hibiscuslane/upstream"
)

func newRequest(method, path, body string, header ...string) *http.Request {
	r := httptest.NewRequest(method, path, strings.NewReader(body))
	r.Header.Set(request.HeaderTeam, "red")
	for i := 0; i < len(header); i += 2 {
		r.Header.Set(header[i], header[i+1])
	}
	return r
}

// TestRefusals guards against executing a request that is malformed, too large or uses a reserved path.
func TestRefusals(t *testing.T) {
	tests := map[string]struct {
		request *http.Request
		status  int
		reason  string
	}{
		"unknown team":       {newRequest("POST", "/b", "", request.HeaderTeam, "blue"), 400, request.HeaderTeam},
		"long timeout":       {newRequest("POST", "/b", "", request.HeaderTimeout, "600001"), 400, request.HeaderTimeout},
		"negative timeout":   {newRequest("POST", "/b", "", request.HeaderTimeout, "-1"), 400, request.HeaderTimeout},
		"empty key":          {newRequest("POST", "/b", "", request.HeaderIdempotencyKey, ""), 400, request.HeaderIdempotencyKey},
		"long key":           {newRequest("POST", "/b", "", request.HeaderIdempotencyKey, strings.Repeat("k", 256)), 400, request.HeaderIdempotencyKey},
		"large body":         {newRequest("POST", "/b", strings.Repeat("x", request.MaxBodyBytes+1)), 400, "1 MiB"},
		"reserved path":      {newRequest("POST", "/-/jobs", ""), 404, "/-/jobs"},
		"dot segments":       {newRequest("POST", "/b/../a", ""), 400, "segments"},
		"trace method":       {newRequest("TRACE", "/b", ""), 400, "TRACE"},
		"large chunked body": {withoutLength(newRequest("POST", "/b", strings.Repeat("x", request.MaxBodyBytes+1))), 400, "1 MiB"},
	}
	runFixture(t, func(f *fixture) {
		for name, test := range tests {
			got := f.first.serve(test.request)
			assert.Equal(f, test.status, got.status, name)
			assert.Equal(f, failure.OutcomeNotRun, got.outcome, name)
			assert.Contains(f, got.body, test.reason, name)
		}
		assert.Empty(f, f.target.results())
	})
}

func withoutLength(r *http.Request) *http.Request {
	r.ContentLength = -1
	return r
}

// TestRate guards against a team that exceeds its rate, and against a team that is rejected permanently afterwards.
func TestRate(t *testing.T) {
	runFixture(t, func(f *fixture) {
		serveSlowTeam := func() outcome { return f.first.serve(newRequest("POST", "/b", "", request.HeaderTeam, "slow")) }
		assert.Equal(f, http.StatusCreated, serveSlowTeam().status)
		assert.Equal(f, http.StatusTooManyRequests, serveSlowTeam().status)
		sleep(f, time.Second)
		assert.Equal(f, http.StatusCreated, serveSlowTeam().status)
	})
}

// TestRetries guards against retrying a request that may have been executed and is not idempotent, and against
// reporting notrun after such an attempt.
func TestRetries(t *testing.T) {
	refused := &upstream.RefusedError{Refusal: upstream.RefusedDraining}
	broken := &request.IncompleteResponseError{Cause: io.ErrUnexpectedEOF}
	tests := map[string]struct {
		method, path string
		errs         []error
		sends        int
		status       int
		outcome      failure.Outcome
	}{
		"post refused":                       {"POST", "/b", []error{refused, nil}, 2, 201, failure.OutcomeAnswered},
		"post broken":                        {"POST", "/b", []error{broken, nil}, 1, 502, failure.OutcomeUnknown},
		"post with uncoded error":            {"POST", "/b", []error{io.EOF, nil}, 1, 502, failure.OutcomeUnknown},
		"post with error of another package": {"POST", "/b", []error{&upstream.CallError{Call: "send", Cause: io.EOF}, nil}, 1, 502, failure.OutcomeUnknown},
		"post past its deadline":             {"POST", "/b", []error{&request.IncompleteResponseError{Cause: context.DeadlineExceeded}}, 1, 504, failure.OutcomeUnknown},
		"get broken":                         {"GET", "/b", []error{broken, nil}, 2, 201, failure.OutcomeAnswered},
		"put of idempotent route":            {"PUT", "/a/x", []error{broken, nil}, 2, 201, failure.OutcomeAnswered},
		"put of other route":                 {"PUT", "/ab", []error{broken, nil}, 1, 502, failure.OutcomeUnknown},
		"get broken then refused":            {"GET", "/b", []error{broken, refused}, 2, 502, failure.OutcomeUnknown},
		"get refused twice":                  {"GET", "/b", []error{refused, refused}, 2, 503, failure.OutcomeNotRun},
	}
	runFixture(t, func(f *fixture) {
		for name, test := range tests {
			sends := 0
			f.target.send = func(context.Context, *request.Attempt) (*request.TargetResponse, error) {
				sends++
				return reply("ok"), test.errs[sends-1]
			}
			got := f.first.serve(newRequest(test.method, test.path, ""))
			assert.Equal(f, test.outcome, got.outcome, name)
			assert.Equal(f, test.sends, sends, name)
			assert.Equal(f, test.status, got.status, name)
		}
	})
}

// failingBody is a response body that returns err after its content.
type failingBody struct {
	io.Reader
	err error
}

func (b *failingBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	if errors.Is(err, io.EOF) {
		err = b.err
	}
	return n, err
}

func (b *failingBody) Close() error { return nil }

// TestBrokenResponse guards against presenting a truncated response as complete, for buffered and streamed responses.
// It also guards against a slot that is released twice, never, or with the wrong result.
func TestBrokenResponse(t *testing.T) {
	tests := map[string]struct {
		size    int
		err     error
		aborted bool
		result  slot.Result
		outcome failure.Outcome
	}{
		"buffered":        {request.MaxBufferedBytes, io.EOF, false, slot.ResultCompleted, failure.OutcomeAnswered},
		"buffered broken": {100, io.ErrUnexpectedEOF, false, slot.ResultUnknown, failure.OutcomeUnknown},
		"streamed":        {2 * request.MaxBufferedBytes, io.EOF, false, slot.ResultCompleted, failure.OutcomeAnswered},
		"streamed broken": {2 * request.MaxBufferedBytes, io.ErrUnexpectedEOF, true, slot.ResultUnknown, failure.OutcomeAnswered},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			runFixture(t, func(f *fixture) {
				f.target.send = func(context.Context, *request.Attempt) (*request.TargetResponse, error) {
					body := &failingBody{strings.NewReader(strings.Repeat("x", test.size)), test.err}
					return &request.TargetResponse{Status: 200, Header: http.Header{}, Body: body, ContentLength: -1}, nil
				}
				w := httptest.NewRecorder()
				serve := func() { f.first.handler.ServeHTTP(w, newRequest("POST", "/b", "", request.HeaderIdempotencyKey, "k")) }
				if test.aborted {
					assert.PanicsWithValue(f, http.ErrAbortHandler, serve)
				} else {
					serve()
				}
				assert.Equal(f, string(test.outcome), w.Header().Get(failure.HeaderOutcome))
				if test.outcome == failure.OutcomeAnswered {
					assert.Equal(f, test.size, w.Body.Len())
				}
				assert.Equal(f, map[slot.Result]int{test.result: 1}, f.target.results())
				assert.Zero(f, f.first.handler.InFlight())
			})
		})
	}
}

// TestAbortedConnection guards against an HTTP client that receives a truncated streamed response without an error.
func TestAbortedConnection(t *testing.T) {
	stub := &target{send: func(context.Context, *request.Attempt) (*request.TargetResponse, error) {
		body := &failingBody{strings.NewReader(strings.Repeat("x", 2*request.MaxBufferedBytes)), io.ErrUnexpectedEOF}
		return &request.TargetResponse{Status: 200, Header: http.Header{}, Body: body, ContentLength: -1}, nil
	}}
	e := newEntry(&memoryLog{}, stub, 1, nil)
	defer e.kill()
	server := httptest.NewUnstartedServer(e.handler)
	server.Config.ErrorLog = log.New(io.Discard, "", 0)
	server.Start()
	defer server.Close()
	r := newRequest("GET", server.URL+"/b", "")
	r.RequestURI = ""
	response, err := server.Client().Do(r)
	require.NoError(t, err)
	defer func() { _ = response.Body.Close() }()
	_, err = io.ReadAll(response.Body)
	require.Error(t, err)
}

// TestInFlightLimit guards against running out of memory because of the bodies of many concurrent requests.
func TestInFlightLimit(t *testing.T) {
	runFixture(t, func(f *fixture) {
		finish := make(chan struct{})
		f.target.acquire = func(ctx context.Context) error {
			select {
			case <-finish:
			case <-ctx.Done():
			}
			return ctx.Err()
		}
		var group sync.WaitGroup
		// A body of unknown length counts as MaxBodyBytes, so 32 of them reach the limit.
		for range 32 {
			group.Go(func() { f.first.serve(withoutLength(newRequest("GET", "/b", "x"))) })
		}
		synctest.Wait()
		got := f.first.serve(newRequest("GET", "/b", "x"))
		assert.Equal(f, http.StatusTooManyRequests, got.status)
		close(finish)
		group.Wait()
		assert.Equal(f, http.StatusCreated, f.first.serve(newRequest("GET", "/b", "x")).status)
	})
}

// TestPanic guards against a slot that is not released, or a claim without an outcome, after a panic.
func TestPanic(t *testing.T) {
	runFixture(t, func(f *fixture) {
		f.target.send = func(context.Context, *request.Attempt) (*request.TargetResponse, error) { panic("bug") }
		assert.Panics(f, func() { f.first.post(f.Context(), "k", "k", normalTimeout) })
		assert.Equal(f, map[slot.Result]int{slot.ResultUnknown: 1}, f.target.results())
		assert.Equal(f, failure.OutcomeUnknown, f.second.post(f.Context(), "k", "k", normalTimeout).outcome)
		assert.Zero(f, f.first.handler.InFlight())
	})
}

// TestHeaders guards against forwarding hop-by-hop headers, and against callers that forge headers of the target
// protocol.
func TestHeaders(t *testing.T) {
	runFixture(t, func(f *fixture) {
		var sent http.Header
		f.target.send = func(_ context.Context, attempt *request.Attempt) (*request.TargetResponse, error) {
			sent = request.ForwardedHeader(attempt.Request)
			return reply("ok"), nil
		}
		w := httptest.NewRecorder()
		r := newRequest("POST", "/b", "", upstream.HeaderIncarnation, "9", "Te", "trailers", "X-Kept", "1", "X-Hop", "1", "Connection", "close, x-hop")
		f.first.handler.ServeHTTP(w, r)
		assert.Equal(f, http.Header{request.HeaderTeam: {"red"}, "X-Kept": {"1"}}, sent)
		assert.Empty(f, w.Header().Get("X-Hop"))
		assert.NotEmpty(f, w.Header().Get(failure.HeaderRequest))
	})
}

// TestShutdown guards against a graceful shutdown that cuts off a request, loses its outcome or accepts new requests.
func TestShutdown(t *testing.T) {
	runFixture(t, func(f *fixture) {
		finish := make(chan struct{})
		f.target.send = func(context.Context, *request.Attempt) (*request.TargetResponse, error) {
			<-finish
			f.log.setFault(true, 0)
			return reply("ok"), nil
		}
		done := f.postAsync(f.Context(), f.first, normalTimeout)
		sleep(f, 100*time.Millisecond)
		f.first.handler.Stop()
		got := f.first.post(f.Context(), "", "late", normalTimeout)
		assert.Equal(f, http.StatusServiceUnavailable, got.status)
		assert.Contains(f, got.body, failure.CodeStopping)
		boundedCtx, cancel := context.WithTimeout(f.Context(), time.Second)
		defer cancel()
		var timeoutErr *request.ShutdownTimeoutError
		require.ErrorAs(f, f.first.handler.Wait(boundedCtx), &timeoutErr)
		assert.Equal(f, 1, timeoutErr.InFlight)
		close(finish)
		require.NoError(f, f.first.handler.Wait(f.Context()))
		assert.Equal(f, "ok", (<-done).body)
		require.Error(f, f.first.claimer.Drain(boundedCtx), "the outcome is not in the log")
		f.log.setFault(false, 0)
		require.NoError(f, f.first.claimer.Drain(f.Context()))
		synctest.Wait()
		assert.Equal(f, "ok", f.second.post(f.Context(), "k", "k", normalTimeout).body)
	})
}
