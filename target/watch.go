package target

import (
	"context"
	"sync/atomic"
)

// watch observes the wait for the first byte of a response. Silence alone does not prove that the
// connection is dead, because service times vary, so it acts in two steps. After Limits.ProbeAfter the
// older idle connections are closed, which is harmless if the guess is wrong, and a new connection is
// opened as a probe. After Limits.FirstByteTimeout a request on a reused connection is given up if replaceable
// allows it. The returned function ends the watch.
func (e *exchange) watch() func() {
	t := e.transport
	limits := t.limits()
	slowest := e.host.slowestRecent()
	e.patience = max(limits.FirstByteTimeout, slowFactor*slowest)
	if limits.ProbeAfter < 0 {
		return func() {}
	}
	var over atomic.Bool
	suspect := max(limits.ProbeAfter, slowest)
	cancelSuspect := t.Timer.AfterFunc(suspect, e.suspect)
	if e.link.fresh() {
		return func() { cancelSuspect() }
	}
	silence := e.patience
	if !e.request.Idempotent {
		silence *= patienceFactor
	}
	cancelSilence := t.Timer.AfterFunc(silence, func() {
		// The response headers may arrive at this moment; the first to claim the end decides.
		if e.replaceable() && over.CompareAndSwap(false, true) {
			e.cancel(&ReceiveTimeoutError{Milliseconds: silence.Milliseconds()})
		}
	})
	return func() {
		over.Store(true)
		cancelSuspect()
		cancelSilence()
	}
}

// suspect runs in its own goroutine, possibly after the end of the request.
func (e *exchange) suspect() {
	t := e.transport
	if e.link.conn.heard.Load() > 0 || e.ctx.Err() != nil {
		return
	}
	h := t.enter(e.host.address)
	defer t.leave(h)
	t.Events.Info(eventSuspect, "target", e.request.Target, "address", h.address, "request", e.request.ID)
	h.sweep(t.Timer.Now())
	t.probe(e.ctx, h, e.request.MaxConnections)
}

// replaceable reports whether the request may be given up. An idempotent one is, if a newer connection
// shows that the target can be reached; the next try uses that connection, where no silence limit
// applies, so that a slow response is repeated once at most. Any other request would end as unknown,
// with nothing gained, unless its connection is needed because the share is used up.
func (e *exchange) replaceable() bool {
	h := e.host
	h.mu.Lock()
	defer h.mu.Unlock()
	full := h.open >= max(e.request.MaxConnections, 1)
	return full || (e.request.Idempotent && h.newest.After(e.started))
}

// probe opens a connection within the share and leaves it idle for the next request. It does nothing
// when an idle connection exists or the share is used up.
func (t *Transport) probe(ctx context.Context, h *host, share int) {
	// The request that waits may end before the dial does; the connection is useful all the same.
	ctx = context.WithoutCancel(ctx)
	if !h.reserve(max(share, 1)) {
		return
	}
	l, err := t.dial(ctx, h.address)
	if err != nil {
		h.drop()
		return
	}
	h.established(l)
	t.release(h, l)
}

// reserve takes the place of a link to be dialled, unless one is idle or the share is used up.
func (h *host) reserve(share int) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.idle) > 0 || h.open >= share {
		return false
	}
	h.open++
	return true
}
