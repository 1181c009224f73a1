package target

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

// Transport sends requests to targets. The zero value is usable; set the exported fields before the
// first Send.
type Transport struct {
	Limits Limits
	Timer  *timer.Service
	Events event.Log

	once sync.Once
	http *http.Transport

	mu sync.Mutex
	// hosts holds an entry for each address with users or open connections.
	hosts map[instance.Address]*host
}

// Send sends the request once, on one connection, and returns the whole response or a Coded error. The
// outcome of the error is notrun only if no byte of the request was written, or the target refused the
// request before it started. Nothing is ever sent again.
func (t *Transport) Send(ctx context.Context, r Request) (*Response, error) {
	h := t.enter(r.Address)
	defer t.leave(h)
	address, err := url.ParseRequestURI(r.URI)
	if err != nil {
		return nil, &InvalidError{Reason: "malformed URI", Cause: err}
	}
	if err := ctx.Err(); err != nil {
		return nil, &DeadlineError{Attempt: Attempt{Target: r.Target}, Cause: err}
	}
	l, err := t.acquire(ctx, h, &r)
	if err != nil {
		return nil, err
	}
	l.uses++
	l.conn.begin()
	ctx, cancel := context.WithCancelCause(ctx)
	e := &exchange{transport: t, host: h, link: l, request: &r, cancel: cancel}
	return e.run(ctx, address)
}

// exchange is one request on one link.
type exchange struct {
	transport *Transport
	host      *host
	link      *link
	request   *Request
	cancel    context.CancelCauseFunc
	// ctx ends with a ReceiveTimeoutError when the connection is given up.
	ctx     context.Context
	started time.Time
	// patience is the silence after which an idempotent request is given up.
	patience time.Duration
}

func (e *exchange) run(ctx context.Context, address *url.URL) (*Response, error) {
	e.ctx, e.started = ctx, e.transport.Timer.Now()
	stop := e.watch()
	raw, err := e.link.client.RoundTrip(e.build(ctx, address))
	stop()
	if err != nil {
		return nil, e.fail(err)
	}
	now := e.transport.Timer.Now()
	e.host.answered(now, now.Sub(e.started))
	response, err := e.receive(raw)
	if response == nil || response.Stream == nil {
		_ = raw.Body.Close()
	}
	return response, err
}

// build returns the HTTP request. It has no GetBody, so that no layer can replay the body.
func (e *exchange) build(ctx context.Context, address *url.URL) *http.Request {
	r := e.request
	address.Scheme = "http"
	address.Host = string(r.Address)
	request := &http.Request{
		Method:        r.Method,
		URL:           address,
		Proto:         "HTTP/1.1",
		ProtoMajor:    1,
		ProtoMinor:    1,
		Header:        forwardHeader(r),
		Host:          r.Host,
		ContentLength: int64(len(r.Body)),
		Body:          http.NoBody,
	}
	if len(r.Body) > 0 {
		request.Body = io.NopCloser(bytes.NewReader(r.Body))
	}
	return request.WithContext(ctx)
}

// fail discards the link and returns the typed error for the cause.
func (e *exchange) fail(cause error) error {
	try := Attempt{Target: e.request.Target, NewConnection: e.link.fresh(), Written: e.link.conn.seal()}
	intact := e.link.client.Err() == nil
	e.host.discard(e.link)
	ended := context.Cause(e.ctx)
	e.cancel(nil)
	var silence *ReceiveTimeoutError
	switch {
	case errors.As(ended, &silence):
		return e.dead(try, silence)
	case errors.Is(cause, syscall.ETIMEDOUT):
		return e.dead(try, cause)
	case ended != nil:
		silent := try.Written && e.link.conn.heard.Load() == 0 && e.transport.Timer.Since(e.started) >= e.patience
		return &DeadlineError{Attempt: try, Unresponsive: silent, Cause: ended}
	}
	if intact && !try.Written {
		// net/http refused to write it, for example because of its method or a header.
		return &InvalidError{Reason: "malformed request", Cause: cause}
	}
	return &BrokenError{Attempt: try, Cause: cause}
}

// dead reports a dead connection. A middlebox that lost the state of one connection has usually lost
// that of others too, so every connection that exists now is replaced.
func (e *exchange) dead(try Attempt, cause error) error {
	e.host.sweep(e.transport.Timer.Now())
	e.transport.Events.Warn(eventDead, "target", try.Target, "address", e.host.address, "request", e.request.ID, "error", cause)
	return &DeadConnectionError{Attempt: try, Cause: cause}
}

// finish releases the link after a whole response.
func (e *exchange) finish() {
	e.cancel(nil)
	e.transport.release(e.host, e.link)
}

// receive checks whose response it is and reads it.
func (e *exchange) receive(raw *http.Response) (*Response, error) {
	if got := raw.Header.Values(upstream.HeaderRequest); len(got) != 1 || RequestID(got[0]) != e.request.ID {
		_ = e.fail(nil)
		e.transport.Events.Error(eventCrossed, "target", e.request.Target, "request", e.request.ID, "got", got)
		return nil, &ResponseMismatchError{Attempt: Attempt{Target: e.request.Target, Written: true, NewConnection: e.link.fresh()}, Want: e.request.ID, Got: got}
	}
	if refusal := raw.Header.Get(upstream.HeaderRefused); refusal != "" {
		return nil, e.refused(raw, upstream.Refusal(refusal))
	}
	if reason := violation(e.request.Method, raw); reason != "" {
		return nil, e.fail(&ProtocolError{Reason: reason})
	}
	return e.read(raw)
}

// refused returns a RefusedError only for the refusals of the target protocol. Anything else is no
// proof that the request did not run.
func (e *exchange) refused(raw *http.Response, refusal upstream.Refusal) error {
	known := refusal == upstream.RefusedIncarnation || refusal == upstream.RefusedDraining || refusal == upstream.RefusedFull
	if !known || (raw.StatusCode != http.StatusConflict && raw.StatusCode != http.StatusServiceUnavailable) {
		return e.fail(&ProtocolError{Reason: "unknown refusal " + raw.Status + " " + string(refusal)})
	}
	reason, err := io.ReadAll(io.LimitReader(e.bounded(raw.Body), refusalBytes+1))
	if err != nil || len(reason) > refusalBytes {
		_ = e.fail(err)
	} else {
		e.finish()
	}
	return &upstream.RefusedError{Call: "request to target " + string(e.request.Target), Refusal: refusal, Reason: string(bytes.TrimSpace(reason))}
}

// violation names what makes a response unusable; it is empty for a usable one.
func violation(method string, raw *http.Response) string {
	if raw.StatusCode == http.StatusSwitchingProtocols {
		return "switch of protocols"
	}
	// A body that ends with the connection cannot be told from a truncated one.
	unframed := raw.ContentLength < 0 && len(raw.TransferEncoding) == 0
	if unframed && raw.Body != http.NoBody && method != http.MethodHead {
		return "length of the body is not given"
	}
	return ""
}

func forwardHeader(r *Request) http.Header {
	header := r.Header.Clone()
	if header == nil {
		header = http.Header{}
	}
	for _, value := range header.Values("Connection") {
		for name := range strings.SplitSeq(value, ",") {
			header.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopHeaders {
		header.Del(name)
	}
	if _, ok := header["User-Agent"]; !ok {
		// An explicit empty value keeps net/http from adding its own name.
		header.Set("User-Agent", "")
	}
	header.Set(upstream.HeaderRequest, string(r.ID))
	header.Set(upstream.HeaderIncarnation, formatIncarnation(r.Incarnation))
	return header
}
