package intake

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync"

	"hibiscuslane.example/hibiscuslane/event"
	"hibiscuslane.example/hibiscuslane/failure"
)

// readAhead is what a server may read beyond the headers of a request: the size of its buffer.
const readAhead = 4 << 10

// pieceBytes is the part of a response that a client must take in WriteTimeout.
const pieceBytes = 16 << 10

// Conn is a guarded connection. A nil Conn stands for a connection without guard.
type Conn struct {
	net.Conn
	guard *Guard

	mu        sync.Mutex
	phase     Phase
	isWriting bool
	tick      int64 // when the connection last made progress; in PhaseHeader, when the phase began
	order     int64
	// headerBytes is the number of bytes read in PhaseHeader.
	headerBytes int64
	// held is the number of bytes of the guard's budget that the request holds.
	held int64
	// responseHeld is the number of bytes of the guard's room for responses that the request holds.
	responseHeld int64
	isEnded      bool
	// isShared is set on a connection of HTTP/2, whose requests have no phases of their own: it is served while it has a request.
	isShared bool
	// writing is held while bytes are written to a shared connection.
	writing sync.Mutex
	// frames follows the frames of a shared connection, pending is the number of its requests that are neither admitted nor answered,
	// and settledTick when it last became smaller. settled is signalled then.
	frames      frameCounter
	pending     int
	settledTick int64
	settled     *sync.Cond
}

const (
	// maxPending is the number of requests of a shared connection that may wait for being admitted. Each takes a goroutine.
	maxPending = 4
	// pendingTicks is the time after which such requests count no longer: the server has refused them by itself.
	pendingTicks = 10
)

// preface begins a connection of HTTP/2. The server of net/http reads that many bytes first.
var preface = []byte("PRI * HTTP/2.0")

// state returns the state of the connection.
func (c *Conn) state() State {
	c.mu.Lock()
	defer c.mu.Unlock()
	// The tick of the last progress has begun at any time before it, so that only full ticks count.
	return State{Phase: c.phase, IsWriting: c.isWriting, Age: ageOf(max(c.guard.ticks.Load()-c.tick-1, 0)), Order: c.order}
}

// recordProgress records progress. The caller must hold mu, unless the connection is not in use yet.
func (c *Conn) recordProgress() {
	c.tick, c.order = c.guard.ticks.Load(), c.guard.order.Add(1)
}

// SetServed tells the guard whether a request is being served, for servers other than those of Protect.
func (c *Conn) SetServed(isServed bool) {
	if isServed {
		c.enter(PhaseServed)
		return
	}
	c.enter(PhaseIdle)
}

// enter begins a phase, unless the request was refused.
func (c *Conn) enter(phase Phase) {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.phase == PhaseRefused {
		return
	}
	c.phase, c.headerBytes = phase, 0
	c.recordProgress()
}

// Read implements net.Conn. It ends the stream once the request was refused or its headers exceed their limit.
func (c *Conn) Read(b []byte) (int, error) {
	if c.isRefused() {
		return 0, io.EOF
	}
	if c.hasRequests() {
		// A client that doesn't read its responses could otherwise open requests without end.
		c.writing.Lock()
		c.writing.Unlock() //nolint:staticcheck // it only waits
		c.awaitSettled()
	}
	n, err := c.Conn.Read(b)
	if n == 0 {
		return n, err
	}
	switch limitErr := c.recordRead(b[:n]); {
	case errors.Is(limitErr, errHeaders):
		c.refuseHeaders()
		return 0, io.EOF
	case limitErr != nil:
		return 0, limitErr
	}
	return n, err
}

func (c *Conn) isRefused() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.phase == PhaseRefused
}

// hasRequests reports whether the connection is one of HTTP/2. A nil Conn isn't.
func (c *Conn) hasRequests() bool {
	if c == nil {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.isShared
}

// awaitSettled waits until few requests of a shared connection are pending, or the connection has ended.
func (c *Conn) awaitSettled() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for c.pending >= maxPending && !c.isEnded {
		c.settled.Wait()
	}
}

// settle records that a request of a shared connection was admitted or answered.
func (c *Conn) settle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.pending = max(c.pending-1, 0)
	c.settledTick = c.guard.ticks.Load()
	c.settled.Broadcast()
}

// forgetPending forgets pending requests that the server must have refused by itself.
func (c *Conn) forgetPending(now int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.pending > 0 && now-c.settledTick > pendingTicks {
		c.pending, c.settledTick = 0, now
		c.settled.Broadcast()
	}
}

// errHeaders reports headers that exceed their limit.
var errHeaders = &LimitError{reason: "the headers are too large", code: failure.CodeInvalid}

// headerEnd ends the headers of a request. The handler's start tells the same of headers whose end arrives in parts.
var headerEnd = []byte("\r\n\r\n")

// recordRead records that bytes were read. It returns errHeaders if the headers exceed their limit, and net.ErrClosed if the guard has
// ended the connection: a request that could no longer be answered must not begin.
func (c *Conn) recordRead(b []byte) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.isEnded {
		return net.ErrClosed
	}
	if c.guard.Requests != nil && c.phase == PhaseIdle && bytes.HasPrefix(b, preface) {
		c.isShared = true
	}
	if c.isShared {
		if c.pending == 0 {
			c.settledTick = c.guard.ticks.Load()
		}
		c.pending += c.frames.count(b)
		c.recordProgress()
		return nil
	}
	switch c.phase {
	case PhaseIdle:
		c.phase = PhaseHeader
		c.recordProgress()
		c.headerBytes = int64(len(b))
	case PhaseHeader:
		c.headerBytes += int64(len(b))
		c.order = c.guard.order.Add(1)
	default:
		c.recordProgress()
	}
	if c.headerBytes > readAhead && c.headerBytes > c.guard.limits().HeaderBytes+readAhead {
		return errHeaders
	}
	if c.phase == PhaseHeader && bytes.Contains(b, headerEnd) {
		// On a busy process, the handler may start a good while later.
		c.phase = PhaseServed
		c.recordProgress()
	}
	return nil
}

// refuseHeaders tells the client that its headers are too large.
func (c *Conn) refuseHeaders() {
	_, _ = io.WriteString(c, "HTTP/1.1 431 Request Header Fields Too Large\r\nContent-Length: 0\r\nConnection: close\r\n\r\n") // the connection is closed in any case
	c.refuse()
	c.guard.mu.Lock()
	defer c.guard.mu.Unlock()
	c.guard.count(ReasonHeaders)
}

// refuse ends the reading of the request. The connection is closed soon after the response.
func (c *Conn) refuse() {
	if c == nil {
		return
	}
	c.enter(PhaseRefused)
}

// Write implements net.Conn.
func (c *Conn) Write(b []byte) (int, error) {
	if c.hasRequests() {
		c.writing.Lock()
		defer c.writing.Unlock()
	}
	defer c.setWriting(false)
	written := 0
	for {
		c.setWriting(true) // each piece is progress
		n, err := c.Conn.Write(b[written:min(written+pieceBytes, len(b))])
		written += n
		if err != nil || written == len(b) {
			return written, err
		}
	}
}

func (c *Conn) setWriting(isWriting bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isWriting = isWriting
	c.recordProgress()
}

// Close implements net.Conn. After a refusal, it closes only the direction to the client: closing a connection with unread bytes
// resets it, and the client might lose the response.
func (c *Conn) Close() error {
	if c.isRefused() {
		if tcp, ok := c.Conn.(*net.TCPConn); ok && tcp.CloseWrite() == nil {
			return nil // the guard closes it later
		}
	}
	return c.close()
}

// end closes the connection for a reason, unless it has made progress since it was in the given state. It reports whether the
// connection has ended. The system keeps nothing for a client that is stuck within a request or a response.
func (c *Conn) end(reason Reason, state State) bool {
	c.mu.Lock()
	wasEnded := c.isEnded
	if !wasEnded && c.order != state.Order {
		c.mu.Unlock()
		return false
	}
	c.isEnded = true
	c.settled.Broadcast()
	c.mu.Unlock()
	if wasEnded {
		c.guard.remove(c, ReasonNone)
		return true
	}
	isStuck := state.IsWriting || state.Phase == PhaseHeader || state.Phase == PhaseBody
	if tcp, ok := c.Conn.(*net.TCPConn); ok && isStuck {
		_ = tcp.SetLinger(0) // fails only if the connection is closed already
	}
	c.guard.remove(c, reason)
	if err := c.Conn.Close(); err != nil && !errors.Is(err, net.ErrClosed) {
		c.guard.Log.Debug(eventCloseFailed, "listener", c.guard.Name, "error", err)
	}
	return true
}

var eventCloseFailed = event.Define(2461, "intake.unclosed", "a connection of a client could not be closed in order")

// close closes the connection once.
func (c *Conn) close() error {
	c.mu.Lock()
	isEnded := c.isEnded
	c.isEnded = true
	c.settled.Broadcast()
	c.mu.Unlock()
	if isEnded {
		return net.ErrClosed
	}
	c.guard.remove(c, ReasonNone)
	return c.Conn.Close()
}

// take takes bytes of the budget for the request. If there is no room, stalled bodies give way.
func (c *Conn) take(n int64) bool {
	if c == nil || c.guard.Bodies == nil {
		return true
	}
	for !c.guard.Bodies.Take(n) {
		if !c.guard.endStalledBody() {
			c.guard.Bodies.CountRefusal()
			return false
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.held += n
	return true
}

// returnBytes returns all bytes that the request holds.
func (c *Conn) returnBytes() {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.held > 0 {
		c.guard.Bodies.Return(c.held)
		c.held = 0
	}
}

// HoldResponse waits until there is room for n bytes of a response to the request of a context, unless an earlier call has taken it. The
// room is held until the handler of the request ends.
func HoldResponse(ctx context.Context, n int64) error {
	c, _ := ctx.Value(connKey{}).(*Conn)
	if c == nil || c.guard.Responses == nil {
		return nil
	}
	c.mu.Lock()
	isHeld := c.responseHeld > 0
	c.mu.Unlock()
	if isHeld {
		return nil
	}
	c.guard.awaiting.Add(1)
	err := c.guard.Responses.Acquire(ctx, n)
	c.guard.awaiting.Add(-1)
	if err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.responseHeld = n
	return nil
}

// holdsResponse reports whether the connection holds room for a response.
func (c *Conn) holdsResponse() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.responseHeld > 0
}

// returnResponse returns what HoldResponse has taken.
func (c *Conn) returnResponse() {
	if c == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.responseHeld > 0 {
		c.guard.Responses.Release(c.responseHeld)
		c.responseHeld = 0
	}
}

// firstBufferBytes is the size of the first buffer of a body. Most bodies fit.
const firstBufferBytes = 4 << 10

// ReadBody reads the body of a request. Its bytes count as the buffer grows, not as they are announced, and until the handler of the
// request returns. It returns ErrTooLarge for a body of more than limit bytes and ErrNoRoom if the process holds too many bodies; the
// rest of the body isn't read then, and the connection ends with the response.
func ReadBody(r *http.Request, limit int64) ([]byte, error) {
	conn := connOf(r)
	if r.ContentLength > limit {
		conn.refuse()
		return nil, ErrTooLarge
	}
	body, err := conn.readBody(r.Body, r.ContentLength, limit)
	if err != nil {
		conn.refuse()
		return nil, err
	}
	return body, nil
}

// readBody reads a body of the given length; -1 means that it is not known.
func (c *Conn) readBody(r io.Reader, length, limit int64) ([]byte, error) {
	largest := limit + 1 // one byte more, in order to see the end or the excess
	if length >= 0 {
		largest = length + 1
	}
	var body []byte
	for {
		if len(body) == cap(body) {
			size := min(max(2*int64(cap(body)), firstBufferBytes), largest)
			if !c.take(size - int64(cap(body))) {
				return nil, ErrNoRoom
			}
			body = append(make([]byte, 0, size), body...)
		}
		n, err := r.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		switch {
		case int64(len(body)) > limit:
			return nil, ErrTooLarge
		case errors.Is(err, io.EOF):
			return body, nil
		case err != nil:
			return nil, &ReadError{Cause: err}
		}
	}
}
