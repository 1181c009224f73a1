package exchange

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/url"
	"strings"
	"sync"
	"syscall"
	"time"

	"hibiscuslane.example/hibiscuslane/event"
	"hibiscuslane.example/hibiscuslane/instance"
	"hibiscuslane.example/hibiscuslane/timer"
	"hibiscuslane.example/hibiscuslane/upstream"
)

// Transport sends requests to targets. The zero value is ready to use. The exported fields must be set before
// the first call of Send.
type Transport struct {
	Limits Limits
	Timer  *timer.Service
	Events event.Log

	baseOnce sync.Once
	base     *http.Transport

	mu sync.Mutex
	// hosts holds the host of each address that has references or open connections.
	hosts map[instance.Address]*host
}

// Send sends the request once, on one connection, and returns the response or a failure.Coded error. The
// outcome of the error is notrun only if no byte of the request was written or the target refused the request
// before executing it. Send never sends a request again.
func (t *Transport) Send(ctx context.Context, r Request) (*Response, error) {
	h := t.acquireHost(r.Address)
	defer t.releaseHost(h)
	requestURL, err := url.ParseRequestURI(r.URI)
	if err != nil {
		return nil, &InvalidError{Reason: "malformed URI", Cause: err}
	}
	if err := ctx.Err(); err != nil {
		return nil, &DeadlineError{Attempt: Attempt{Target: r.Target}, Cause: err}
	}
	c, err := t.acquireConn(ctx, h, &r)
	if err != nil {
		return nil, err
	}
	c.requests++
	c.tcp.resetCounters()
	ctx, cancel := context.WithCancelCause(ctx)
	e := &exchange{transport: t, host: h, conn: c, request: &r, cancel: cancel}
	return e.run(ctx, requestURL)
}

// exchange is one request on one connection.
type exchange struct {
	transport *Transport
	host      *host
	conn      *httpConn
	request   *Request
	cancel    context.CancelCauseFunc
	// ctx is cancelled with a ReceiveTimeoutError if the connection delivers no data in time.
	ctx     context.Context
	started time.Time
	// firstByteTimeout is the time without a first byte after which an idempotent request may be abandoned, and after
	// which a request that ends shows that the target is unresponsive.
	firstByteTimeout time.Duration
}

func (e *exchange) run(ctx context.Context, requestURL *url.URL) (*Response, error) {
	e.ctx, e.started = ctx, e.transport.Timer.Now()
	stop := e.watchFirstByte()
	raw, err := e.conn.client.RoundTrip(e.buildRequest(ctx, requestURL))
	stop()
	if err != nil {
		return nil, e.abort(err)
	}
	now := e.transport.Timer.Now()
	e.host.recordFirstByte(now, now.Sub(e.started))
	response, err := e.handleResponse(raw)
	if response == nil || response.Stream == nil {
		_ = raw.Body.Close()
	}
	return response, err
}

// buildRequest returns the HTTP request. GetBody is not set, so that net/http cannot send the body again.
func (e *exchange) buildRequest(ctx context.Context, requestURL *url.URL) *http.Request {
	r := e.request
	requestURL.Scheme = "http"
	requestURL.Host = string(r.Address)
	request := &http.Request{
		Method:        r.Method,
		URL:           requestURL,
		Proto:         "HTTP/1.1",
		ProtoMajor:    1,
		ProtoMinor:    1,
		Header:        forwardedHeader(r),
		Host:          r.Host,
		ContentLength: int64(len(r.Body)),
		Body:          http.NoBody,
	}
	if len(r.Body) > 0 {
		request.Body = io.NopCloser(bytes.NewReader(r.Body))
	}
	return request.WithContext(ctx)
}

// abort closes the connection and returns the typed error for the cause.
func (e *exchange) abort(cause error) error {
	attempt := Attempt{Target: e.request.Target, NewConnection: e.conn.isNew(), Written: e.conn.tcp.blockWrites()}
	usable := e.conn.client.Err() == nil
	e.host.discardConn(e.conn)
	cancelCause := context.Cause(e.ctx)
	e.cancel(nil)
	var receiveTimeout *ReceiveTimeoutError
	switch {
	case errors.As(cancelCause, &receiveTimeout):
		return e.reportDeadConn(attempt, receiveTimeout)
	case errors.Is(cause, syscall.ETIMEDOUT):
		return e.reportDeadConn(attempt, cause)
	case cancelCause != nil:
		unresponsive := attempt.Written && e.conn.tcp.bytesRead.Load() == 0 && e.transport.Timer.Since(e.started) >= e.firstByteTimeout
		return &DeadlineError{Attempt: attempt, Unresponsive: unresponsive, Cause: cancelCause}
	}
	if usable && !attempt.Written {
		// net/http rejected the request before writing it, for example because of its method or a header.
		return &InvalidError{Reason: "malformed request", Cause: cause}
	}
	return &BrokenError{Attempt: attempt, Cause: cause}
}

// reportDeadConn retires all connections to the address, logs the dead connection and returns its error. A
// middlebox that lost the state of one connection has usually lost that of the others too.
func (e *exchange) reportDeadConn(attempt Attempt, cause error) error {
	e.host.retireConnsBefore(e.transport.Timer.Now())
	e.transport.Events.Warn(eventDeadConnection, "target", attempt.Target, "address", e.host.address, "request", e.request.ID, "error", cause)
	return &DeadConnectionError{Attempt: attempt, Cause: cause}
}

// finish releases the connection after a complete response.
func (e *exchange) finish() {
	e.cancel(nil)
	e.transport.releaseConn(e.host, e.conn)
}

// handleResponse checks that the response belongs to the request and reads it.
func (e *exchange) handleResponse(raw *http.Response) (*Response, error) {
	if got := raw.Header.Values(upstream.HeaderRequest); len(got) != 1 || RequestID(got[0]) != e.request.ID {
		_ = e.abort(nil)
		e.transport.Events.Error(eventResponseMismatch, "target", e.request.Target, "request", e.request.ID, "got", got)
		return nil, &ResponseMismatchError{Attempt: Attempt{Target: e.request.Target, Written: true, NewConnection: e.conn.isNew()}, Want: e.request.ID, Got: got}
	}
	if refusal := raw.Header.Get(upstream.HeaderRefused); refusal != "" {
		return nil, e.readRefusal(raw, upstream.Refusal(refusal))
	}
	if reason := protocolViolation(e.request.Method, raw); reason != "" {
		return nil, e.abort(&ProtocolError{Reason: reason})
	}
	return e.readBody(raw)
}

// readRefusal returns a RefusedError for a refusal that the target protocol defines. Any other refusal does not
// prove that the request was not executed.
func (e *exchange) readRefusal(raw *http.Response, refusal upstream.Refusal) error {
	known := refusal == upstream.RefusedIncarnation || refusal == upstream.RefusedDraining || refusal == upstream.RefusedFull
	if !known || (raw.StatusCode != http.StatusConflict && raw.StatusCode != http.StatusServiceUnavailable) {
		return e.abort(&ProtocolError{Reason: "unknown refusal " + raw.Status + " " + string(refusal)})
	}
	reason, err := io.ReadAll(io.LimitReader(e.withReadTimeout(raw.Body), maxRefusalBytes+1))
	if err != nil || len(reason) > maxRefusalBytes {
		_ = e.abort(err)
	} else {
		e.finish()
	}
	return &upstream.RefusedError{Call: "request to target " + string(e.request.Target), Refusal: refusal, Reason: string(bytes.TrimSpace(reason))}
}

// protocolViolation returns the reason why a response must be rejected, or an empty string.
func protocolViolation(method string, raw *http.Response) string {
	if raw.StatusCode == http.StatusSwitchingProtocols {
		return "switch of protocols"
	}
	// If only the end of the connection marks the end of the body, a truncated body cannot be detected.
	unframed := raw.ContentLength < 0 && len(raw.TransferEncoding) == 0
	if unframed && raw.Body != http.NoBody && method != http.MethodHead {
		return "length of the body is not given"
	}
	return ""
}

// forwardedHeader returns the header that is sent to the target: that of the request without the hop-by-hop headers,
// including those that Connection names, and with the request ID and the incarnation.
func forwardedHeader(r *Request) http.Header {
	header := r.Header.Clone()
	if header == nil {
		header = http.Header{}
	}
	for _, value := range header.Values("Connection") {
		for name := range strings.SplitSeq(value, ",") {
			header.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopByHopHeaders {
		header.Del(name)
	}
	if _, ok := header["User-Agent"]; !ok {
		// An explicit empty value keeps net/http from adding its default User-Agent.
		header.Set("User-Agent", "")
	}
	header.Set(upstream.HeaderRequest, string(r.ID))
	header.Set(upstream.HeaderIncarnation, formatIncarnation(r.Incarnation))
	return header
}
