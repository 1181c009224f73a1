package exchange

import (
	"context"
	"sync/atomic"
)

// watchFirstByte starts timers that act while no byte of the response arrives. Because service times vary, a late
// first byte alone does not prove that the connection is dead, so there are two steps. After Limits.ProbeAfter, or
// the longest recent time to a first byte if that is longer, older idle connections are closed, which is harmless if
// the connection is alive, and a new connection is opened as a probe. After the first byte timeout, a request on a
// reused connection is abandoned if canAbandon allows it. The returned function stops the timers.
func (e *exchange) watchFirstByte() func() {
	t := e.transport
	limits := t.limits()
	slowest := e.host.slowestFirstByte()
	e.firstByteTimeout = max(limits.FirstByteTimeout, slowResponseFactor*slowest)
	if limits.ProbeAfter < 0 {
		return func() {}
	}
	var finished atomic.Bool
	probeDelay := max(limits.ProbeAfter, slowest)
	stopProbe := t.Timer.AfterFunc(probeDelay, e.probeAfterSilence)
	if e.conn.isNew() {
		return func() { stopProbe() }
	}
	timeout := e.firstByteTimeout
	if !e.request.Idempotent {
		timeout *= nonIdempotentFactor
	}
	stopTimeout := t.Timer.AfterFunc(timeout, func() {
		// The response headers may arrive at the same time; whichever sets finished first decides.
		if e.canAbandon() && finished.CompareAndSwap(false, true) {
			e.cancel(&ReceiveTimeoutError{Milliseconds: timeout.Milliseconds()})
		}
	})
	return func() {
		finished.Store(true)
		stopProbe()
		stopTimeout()
	}
}

// probeAfterSilence closes older idle connections and opens a new one. It runs in its own goroutine, possibly
// after the end of the request.
func (e *exchange) probeAfterSilence() {
	t := e.transport
	if e.conn.tcp.bytesRead.Load() > 0 || e.ctx.Err() != nil {
		return
	}
	h := t.acquireHost(e.host.address)
	defer t.releaseHost(h)
	t.Events.Info(eventSilentConnection, "target", e.request.Target, "address", h.address, "request", e.request.ID)
	h.retireConnsBefore(t.Timer.Now())
	t.openSpareConn(e.ctx, h, e.request.MaxConnections)
}

// canAbandon reports whether the request may be abandoned. Any request may be if no further connection may be
// opened. Otherwise only an idempotent request may be, if a newer connection shows that the target is reachable.
// Its next attempt uses that new connection, to which the first byte timeout does not apply, so a slow response
// causes at most one repetition. Abandoning any other request gains nothing and leaves its outcome unknown.
func (e *exchange) canAbandon() bool {
	h := e.host
	h.mu.Lock()
	defer h.mu.Unlock()
	full := h.openConns >= max(e.request.MaxConnections, 1)
	return full || (e.request.Idempotent && h.newestDial.After(e.started))
}

// openSpareConn opens a connection and leaves it idle for the next request. It does nothing if an idle connection
// exists or the connection limit is reached.
func (t *Transport) openSpareConn(ctx context.Context, h *host, maxConns int) {
	// The connection is also useful if the waiting request ends before it is established.
	ctx = context.WithoutCancel(ctx)
	if !h.reserveIfNoneIdle(max(maxConns, 1)) {
		return
	}
	c, err := t.dial(ctx, h.address)
	if err != nil {
		h.freeConn()
		return
	}
	h.recordEstablished(c)
	t.releaseConn(h, c)
}

// reserveIfNoneIdle counts a connection that the caller has to dial. It returns false if a connection is idle or
// the limit is reached.
func (h *host) reserveIfNoneIdle(maxConns int) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.idleConns) > 0 || h.openConns >= maxConns {
		return false
	}
	h.openConns++
	return true
}
