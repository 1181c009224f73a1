package intake

import (
	"context"
	"errors"
	"io"
	"maps"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sync/semaphore"

	"hibiscuslane.example/hibiscuslane/event"
	"hibiscuslane.example/hibiscuslane/timer"
)

// logTicks is the number of ticks between two log lines of a listener.
const logTicks = 20

var eventClosed = event.Define(2460, "intake.closed", "connections of clients that were stuck or too many were closed, and requests refused for want of memory, since the last such line")

// Guard tracks the connections of a listener. The exported fields must be set before the first connection.
type Guard struct {
	// Name is the name of the listener in logs and metrics.
	Name string
	// MaxConns limits the open connections. Beyond it, a connection that may yield is closed for a new one.
	MaxConns int
	// Limits returns the limits in force; nil means the defaults.
	Limits func() Limits
	// Bodies limits the bodies that ReadBody reads; nil means no limit.
	Bodies *Budget
	// Requests limits the requests of connections of HTTP/2, each of which has many; nil means that the server doesn't speak it. The
	// handler must bound their bodies.
	Requests *Budget
	// Responses is the room for large responses (HoldResponse); nil means no limit.
	Responses *semaphore.Weighted
	Log       event.Log

	// ticks counts the checks of Watch, which are the clock of all ages: time during which the process was paused doesn't count
	// against clients whose bytes it couldn't read.
	ticks atomic.Int64
	order atomic.Int64
	// awaiting is the number of requests that wait for room for their responses.
	awaiting atomic.Int64

	mu     sync.Mutex
	conns  map[*Conn]struct{}
	closed map[Reason]int64 // connections closed since the start
	logged map[Reason]int64 // the value of closed at the last log line
	// loggedRefusals is the number of refusals of Bodies at the last log line, and loggedTick the time of the line.
	loggedRefusals, loggedTick int64
}

// Listen returns a listener whose connections are guarded.
func (g *Guard) Listen(l net.Listener) net.Listener { return listener{Listener: l, guard: g} }

// listener hands out guarded connections.
type listener struct {
	net.Listener
	guard *Guard
}

// Accept implements net.Listener.
func (l listener) Accept() (net.Conn, error) {
	for {
		accepted, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if conn := l.guard.admit(accepted); conn != nil {
			return conn, nil
		}
	}
}

// admit guards a new connection. It returns nil and closes the connection if there are too many and none may yield.
func (g *Guard) admit(accepted net.Conn) *Conn {
	conn := &Conn{Conn: accepted, guard: g, phase: PhaseIdle}
	conn.settled = sync.NewCond(&conn.mu)
	conn.recordProgress()
	for {
		yielding, state, isAdmitted := g.tryAdmit(conn)
		switch {
		case isAdmitted:
			return conn
		case yielding == nil:
			_ = accepted.Close() // nothing was read from it
			return nil
		}
		yielding.end(ReasonCrowded, state) // one that has made progress meanwhile stays, and another one is chosen
	}
}

// tryAdmit admits a connection if there is room for it. Otherwise it returns the connection that gives way, with its state, or nil.
func (g *Guard) tryAdmit(conn *Conn) (*Conn, State, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if len(g.conns) >= g.MaxConns {
		yielding, state := g.first(State.MayYield)
		if yielding == nil {
			g.count(ReasonCrowded)
		}
		return yielding, state, false
	}
	if g.conns == nil {
		g.conns = map[*Conn]struct{}{}
	}
	g.conns[conn] = struct{}{}
	return nil, State{}, true
}

// first returns the connection that gives way first among those in a state that may, with its state, or nil. The caller must hold mu.
func (g *Guard) first(may func(State) bool) (*Conn, State) {
	var first *Conn
	var firstState State
	for c := range g.conns {
		if state := c.state(); may(state) && (first == nil || state.YieldsBefore(firstState)) {
			first, firstState = c, state
		}
	}
	return first, firstState
}

// endStalledBody closes the connection of the stalled body that gives way first, and reports whether there was one.
func (g *Guard) endStalledBody() bool {
	g.mu.Lock()
	first, state := g.first(State.IsStalled)
	g.mu.Unlock()
	if first == nil {
		return false
	}
	if first.end(ReasonStalled, state) {
		first.returnBytes()
	}
	return true
}

// EndStalledBody closes the connection of a body on the same listener that is stuck, if there is one.
func EndStalledBody(r *http.Request) {
	if conn := connOf(r); conn != nil {
		conn.guard.endStalledBody()
	}
}

// remove forgets a connection. The reason is ReasonNone if the server has closed it.
func (g *Guard) remove(c *Conn, reason Reason) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.conns, c)
	if reason != ReasonNone {
		g.count(reason)
	}
}

// count counts a closed connection. The caller must hold mu.
func (g *Guard) count(reason Reason) {
	if g.closed == nil {
		g.closed = map[Reason]int64{}
	}
	g.closed[reason]++
}

// Closed returns the number of connections that were closed since the start, by reason.
func (g *Guard) Closed() map[Reason]int64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return maps.Clone(g.closed)
}

// Conns returns the number of open connections.
func (g *Guard) Conns() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.conns)
}

// limits returns the limits in force.
func (g *Guard) limits() Limits {
	if g.Limits == nil {
		return Limits{}.withDefaults()
	}
	return g.Limits().withDefaults()
}

// Watch checks the connections of the guards until ctx ends.
func Watch(ctx context.Context, clock *timer.Service, guards ...*Guard) {
	tick := clock.Every(tickPeriod)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C():
			for _, g := range guards {
				g.check()
			}
		}
	}
}

// check closes the connections that have exceeded a time limit.
func (g *Guard) check() {
	g.ticks.Add(1)
	limits := g.limits()
	overdue := map[*Conn]State{}
	g.mu.Lock()
	for c := range g.conns {
		if state := c.state(); state.Overdue(limits) != ReasonNone {
			overdue[c] = state
		}
		c.forgetPending(g.ticks.Load())
	}
	g.mu.Unlock()
	for c, state := range overdue {
		c.end(state.Overdue(limits), state)
	}
	g.endStalledResponses()
	g.logClosed()
}

// endStalledResponses closes connections whose clients don't take the responses for which they hold room, as many as there are others
// that wait for it.
func (g *Guard) endStalledResponses() {
	for range g.awaiting.Load() {
		var first *Conn
		var firstState State
		g.mu.Lock()
		for c := range g.conns {
			if state := c.state(); state.IsUnread() && c.holdsResponse() && (first == nil || state.YieldsBefore(firstState)) {
				first, firstState = c, state
			}
		}
		g.mu.Unlock()
		if first == nil {
			return
		}
		first.end(ReasonStalled, firstState)
	}
}

// logClosed logs what was closed and refused since the last line, at most once in logTicks. Idle connections are closed every day
// and aren't logged alone.
func (g *Guard) logClosed() {
	var refusals int64
	if g.Bodies != nil {
		refusals = g.Bodies.Refusals()
	}
	g.mu.Lock()
	now := g.ticks.Load()
	changes := map[Reason]int64{}
	for reason, count := range g.closed {
		if count > g.logged[reason] && reason != ReasonIdle {
			changes[reason] = count - g.logged[reason]
		}
	}
	refused := refusals - g.loggedRefusals
	if len(changes) == 0 && refused == 0 || g.loggedTick > 0 && now-g.loggedTick < logTicks {
		g.mu.Unlock()
		return
	}
	g.logged, g.loggedRefusals, g.loggedTick = maps.Clone(g.closed), refusals, now
	open := len(g.conns)
	g.mu.Unlock()
	g.Log.Warn(eventClosed, "listener", g.Name, "open", open, "limit", g.MaxConns, "closed", changes, "refused", refused)
}

// connKey is the key of the connection in the context of a request.
type connKey struct{}

// Protect sets up a server whose listener is guarded. The server's handler must be set.
func (g *Guard) Protect(server *http.Server) {
	// Backstops: the guard applies the limits in force, which may be lower.
	server.ReadHeaderTimeout, server.MaxHeaderBytes = MaxHeaderTimeout+tickPeriod, MaxHeaderBytes
	server.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
		return context.WithValue(ctx, connKey{}, conn)
	}
	server.ConnState = func(conn net.Conn, state http.ConnState) {
		c, ok := conn.(*Conn)
		switch {
		case !ok:
		case state == http.StateIdle:
			c.enter(PhaseIdle)
		case state == http.StateActive && c.hasRequests():
			c.enter(PhaseServed)
		}
	}
	handler := server.Handler
	server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		conn := connOf(r)
		if conn.hasRequests() {
			g.serveShared(handler, conn, w, r)
			return
		}
		conn.enter(PhaseServed)
		var body *trackedBody
		if r.Body != nil && r.Body != http.NoBody {
			body = &trackedBody{ReadCloser: r.Body, conn: conn}
			tracked := *r // the server goes by the body of its own request
			tracked.Body = body
			r = &tracked
		}
		defer func() {
			conn.returnBytes()
			conn.returnResponse()
			if body != nil && !body.isRead {
				conn.enter(PhaseBody) // the server reads what is left of the body
			}
		}()
		handler.ServeHTTP(w, r)
	})
}

// trackedBody is the body of a request on a guarded connection.
type trackedBody struct {
	io.ReadCloser
	conn   *Conn
	isRead bool // to its end
}

// Read implements io.Reader. The guard may end the connection while it waits for the client.
func (b *trackedBody) Read(p []byte) (int, error) {
	b.conn.enter(PhaseBody)
	n, err := b.ReadCloser.Read(p)
	b.conn.enter(PhaseServed)
	if errors.Is(err, io.EOF) {
		b.isRead = true
	}
	return n, err
}

// connOf returns the connection of a request; nil if it isn't guarded.
func connOf(r *http.Request) *Conn {
	conn, _ := r.Context().Value(connKey{}).(*Conn)
	return conn
}

// ageOf returns a number of ticks as a time.
func ageOf(ticks int64) time.Duration { return time.Duration(ticks) * tickPeriod }
