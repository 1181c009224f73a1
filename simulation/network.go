package simulation

import (
	"bytes"
	"cmp"
	"context"
	"io"
	"net/http"
	"slices"
	"strings"
	"time"

	"hibiscuslane.example/hibiscuslane/instance"
	"hibiscuslane.example/hibiscuslane/platform"
)

// Names of what entries call beside workers, as hosts of addresses.
const (
	hostStore = "store"
	hostFleet = "fleet"
	hostPeer  = "peer"
	// pathConnect opens a connection to a worker.
	pathConnect = "connect"
)

// slowDelay is the delay of a slow store and of a slow caller.
const slowDelay = 400 * time.Millisecond

// call is a message of an entry that waits for its response.
type call struct {
	from   *entry
	to     string // host
	method string
	uri    string // path and query
	header http.Header
	body   []byte
	conn   *connection // to a worker
	reply  chan response
	sentAt time.Time
	// isAnswered is set once the response is on its way; only the world uses it.
	isAnswered bool
}

type response struct {
	status int
	body   []byte
	conn   *connection
	err    error
}

// key orders the calls that arrive at the same time, whatever the order in which their goroutines ran.
func (c *call) key() string {
	return c.from.name + " " + c.to + " " + c.uri + " " + string(c.body)
}

// send hands a call to the world and waits for its response.
func (e *entry) send(ctx context.Context, c *call) response {
	c.from, c.reply = e, make(chan response, 1)
	if !e.world.enqueue(c) {
		return response{err: errEnded}
	}
	select {
	case r := <-c.reply:
		return r
	case <-ctx.Done():
		return response{err: ctx.Err()}
	case <-e.ended:
		return response{err: errEnded}
	}
}

// RoundTrip implements http.RoundTripper for the store and the fleet service.
func (e *entry) RoundTrip(request *http.Request) (*http.Response, error) {
	var body []byte
	if request.Body != nil {
		var err error
		if body, err = io.ReadAll(request.Body); err != nil {
			return nil, err
		}
	}
	r := e.send(request.Context(), &call{to: request.URL.Host, method: request.Method, uri: request.URL.RequestURI(), header: request.Header, body: body})
	if r.err != nil {
		return nil, r.err
	}
	return &http.Response{StatusCode: r.status, Body: io.NopCloser(bytes.NewReader(r.body)), Header: http.Header{}, Request: request}, nil
}

// connection is a connection of an entry to one incarnation of a worker.
type connection struct {
	entry  *entry
	worker *worker
}

// Connect implements platform.Connector.
func (e *entry) Connect(ctx context.Context, address instance.Address) (platform.Connection, error) {
	host, _, _ := strings.Cut(string(address), ":")
	r := e.send(ctx, &call{to: host, uri: pathConnect})
	if r.err != nil {
		return nil, r.err
	}
	return r.conn, nil
}

// Call implements platform.Connection.
func (c *connection) Call(ctx context.Context, method, uri string, header http.Header, body []byte) (int, []byte, error) {
	if c.entry.world.isKnownClosed(c) {
		return 0, nil, &platform.NotSentError{Cause: errClosed}
	}
	r := c.entry.send(ctx, &call{to: c.worker.host(), method: method, uri: uri, header: header, body: body, conn: c})
	return r.status, r.body, r.err
}

// Close implements platform.Connection.
func (c *connection) Close() {}

// enqueue adds a call that the world has not seen yet. It returns false if the entry has ended.
func (w *world) enqueue(c *call) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if c.from.hasEnded {
		return false
	}
	w.outbox = append(w.outbox, c)
	return true
}

// isKnownClosed reports whether the entry has learned that the incarnation at the other end has ended.
func (w *world) isKnownClosed(c *connection) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return c.worker.closeSeen
}

// takeOutbox returns the new calls in a fixed order.
func (w *world) takeOutbox() []*call {
	w.mu.Lock()
	defer w.mu.Unlock()
	list := w.outbox
	w.outbox = nil
	slices.SortStableFunc(list, func(a, b *call) int { return cmp.Compare(a.key(), b.key()) })
	return list
}

// fault is a disturbance of the calls to a part of the store or to a worker.
type fault struct {
	to    string // host
	topic string // topic and partition, empty for all
	mode  Mode
	until time.Time
}

// faultOn returns the fault that a call meets now, or nil.
func (w *world) faultOn(c *call) *fault {
	w.faults = slices.DeleteFunc(w.faults, func(f *fault) bool { return !f.until.After(w.now) })
	for _, f := range w.faults {
		if f.to == c.to && (f.topic == "" || f.topic == partitionOf(c)) {
			return f
		}
	}
	return nil
}

// partitionOf returns the topic and the partition that a call to the store is for.
func partitionOf(c *call) string {
	q := queryOf(c.uri)
	return q.Get("topic") + "/" + q.Get("part")
}

// dispatch takes a call and lets it arrive at its time, if at all.
func (w *world) dispatch(c *call) {
	c.sentAt = w.now
	f := w.faultOn(c)
	mode := Mode("")
	if f != nil {
		mode = f.mode
	}
	switch mode {
	case ModeLose:
	case ModeRefuse:
		w.answer(c, response{status: http.StatusServiceUnavailable})
	case ModeHold:
		w.at(f.until, func() { w.deliver(c) })
	case ModeSlow:
		w.after(slowDelay, func() { w.deliver(c) })
	case ModeMute, ModeRepeat, "":
		w.after(tick, func() { w.deliver(c) })
	}
}

// deliver lets a call arrive.
func (w *world) deliver(c *call) {
	switch c.to {
	case hostStore:
		w.serveStore(c)
	case hostFleet:
		w.serveFleet(c)
	case hostPeer:
		w.servePeer(c)
	default:
		w.serveWorker(c)
	}
}

// answer sends a response back, unless a fault swallows it. A paused entry takes it when it goes on.
func (w *world) answer(c *call, r response) {
	if c.isAnswered {
		return
	}
	if f := w.faultOn(c); f != nil && (f.mode == ModeMute || f.mode == ModeLose) {
		return
	}
	c.isAnswered = true
	c.from.whenRunning(func() { c.reply <- r })
}
