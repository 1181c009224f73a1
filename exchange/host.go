package exchange

import (
	"context"
	"slices"
	"sync"
	"time"

	"hibiscuslane.example/hibiscuslane/instance"
)

// host manages the connections to one address.
type host struct {
	address instance.Address
	// refs counts the users of the host, which keep it in Transport.hosts; Transport.mu guards it.
	refs int

	mu sync.Mutex
	// idleConns lists the idle connections, the most recently used last.
	idleConns []*httpConn
	// openConns counts the connections that are idle, in use or being dialled. It exceeds the connection
	// limit of a request only after that limit was lowered.
	openConns int
	// waiters lists the requests that wait for a connection, oldest first.
	waiters []chan struct{}
	// reuseSince excludes all connections dialled before it from reuse.
	reuseSince time.Time
	// newestDial is the dial time of the most recently dialled connection that was established.
	newestDial time.Time
	// slowestCurrent is the longest time to a first byte in the current window, slowestPrevious that in the
	// previous window.
	slowestCurrent, slowestPrevious time.Duration
	windowStart                     time.Time
	// reapScheduled is true while a call of reapIdleConns is scheduled.
	reapScheduled bool
}

// acquireHost returns the host of an address and creates it if necessary. The caller must call releaseHost.
func (t *Transport) acquireHost(address instance.Address) *host {
	t.mu.Lock()
	defer t.mu.Unlock()
	h := t.hosts[address]
	if h == nil {
		if t.hosts == nil {
			t.hosts = map[instance.Address]*host{}
		}
		h = &host{address: address}
		t.hosts[address] = h
	}
	h.refs++
	return h
}

// releaseHost drops a reference and removes the host if it has neither references nor connections.
func (t *Transport) releaseHost(h *host) {
	t.mu.Lock()
	defer t.mu.Unlock()
	h.refs--
	t.removeIfUnusedLocked(h)
}

// retainHost adds a reference to a host that is in use already. The caller must call releaseHost.
func (t *Transport) retainHost(h *host) {
	t.mu.Lock()
	defer t.mu.Unlock()
	h.refs++
}

// removeIfUnused removes the host if it has neither references nor connections.
func (t *Transport) removeIfUnused(h *host) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.removeIfUnusedLocked(h)
}

func (t *Transport) removeIfUnusedLocked(h *host) {
	if h.refs > 0 {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.openConns == 0 && t.hosts[h.address] == h {
		delete(t.hosts, h.address)
	}
}

// acquireConn returns an idle connection or dials one, and waits if the connection limit is reached.
func (t *Transport) acquireConn(ctx context.Context, h *host, r *Request) (*httpConn, error) {
	maxConns := max(r.MaxConnections, 1)
	waitCtx, cancel := t.Timer.WithTimeout(ctx, t.limits().AcquireTimeout)
	defer cancel()
	for {
		c, wait := t.takeIdleOrReserve(h, maxConns)
		if c != nil {
			return c, nil
		}
		if wait == nil {
			return t.dialReserved(ctx, h, r)
		}
		select {
		case <-wait:
		case <-waitCtx.Done():
			h.removeWaiter(wait)
			if ctx.Err() != nil {
				return nil, &DeadlineError{Attempt: Attempt{Target: r.Target}, Cause: context.Cause(ctx)}
			}
			return nil, &ConnectionLimitError{Target: r.Target, Limit: maxConns}
		}
	}
}

// dialReserved dials a connection that takeIdleOrReserve has already counted.
func (t *Transport) dialReserved(ctx context.Context, h *host, r *Request) (*httpConn, error) {
	c, err := t.dial(ctx, h.address)
	if err == nil {
		h.recordEstablished(c)
		return c, nil
	}
	h.freeConn()
	if ctx.Err() != nil {
		return nil, &DeadlineError{Attempt: Attempt{Target: r.Target}, Cause: err}
	}
	return nil, &UnreachableError{Target: r.Target, Cause: err}
}

// takeIdleOrReserve returns an idle connection, or nil and a channel to wait on if the limit is reached. If it
// returns nil and nil, it has counted a new connection, which the caller has to dial.
func (t *Transport) takeIdleOrReserve(h *host, maxConns int) (*httpConn, chan struct{}) {
	var stale []*httpConn
	defer func() { closeConns(stale) }()
	now := t.Timer.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	for len(h.idleConns) > 0 {
		last := len(h.idleConns) - 1
		c := h.idleConns[last]
		h.idleConns = h.idleConns[:last]
		if t.isReusableLocked(h, c, now) {
			return c, nil
		}
		h.openConns--
		h.wakeWaiterLocked()
		stale = append(stale, c)
	}
	if h.openConns < maxConns {
		h.openConns++
		return nil, nil
	}
	wait := make(chan struct{}, 1)
	h.waiters = append(h.waiters, wait)
	return nil, wait
}

func (t *Transport) isReusableLocked(h *host, c *httpConn, now time.Time) bool {
	limits := t.limits()
	switch {
	case !c.isUsable():
		return false
	case c.dialTime.Before(h.reuseSince):
		return false
	case now.Sub(c.dialTime) >= limits.MaxAge:
		return false
	}
	return c.idleSince.IsZero() || now.Sub(c.idleSince) < limits.IdleTimeout
}

// releaseConn makes a connection idle after a complete response, or closes it if it cannot be reused.
func (t *Transport) releaseConn(h *host, c *httpConn) {
	now := t.Timer.Now()
	h.mu.Lock()
	c.idleSince = time.Time{}
	if !t.isReusableLocked(h, c, now) {
		h.mu.Unlock()
		h.discardConn(c)
		return
	}
	c.idleSince = now
	h.idleConns = append(h.idleConns, c)
	h.wakeWaiterLocked()
	schedule := !h.reapScheduled
	h.reapScheduled = true
	h.mu.Unlock()
	if schedule {
		t.retainHost(h)
		t.Timer.AfterFunc(t.limits().IdleTimeout, func() { t.reapIdleConns(h) })
	}
}

// reapIdleConns closes idle connections that can no longer be reused, and schedules itself again while idle
// connections remain.
func (t *Transport) reapIdleConns(h *host) {
	now := t.Timer.Now()
	h.mu.Lock()
	kept, stale := h.idleConns[:0:0], []*httpConn(nil)
	for _, c := range h.idleConns {
		if t.isReusableLocked(h, c, now) {
			kept = append(kept, c)
		} else {
			stale = append(stale, c)
		}
	}
	h.idleConns = kept
	h.openConns -= len(stale)
	for range stale {
		h.wakeWaiterLocked()
	}
	h.reapScheduled = len(kept) > 0
	again := h.reapScheduled
	h.mu.Unlock()
	closeConns(stale)
	if again {
		t.Timer.AfterFunc(t.limits().IdleTimeout, func() { t.reapIdleConns(h) })
		return
	}
	t.releaseHost(h)
}

// retireConnsBefore closes the idle connections that were dialled before the given time. Those in use are
// closed when their request ends.
func (h *host) retireConnsBefore(before time.Time) {
	h.mu.Lock()
	if before.After(h.reuseSince) {
		h.reuseSince = before
	}
	kept, stale := h.idleConns[:0:0], []*httpConn(nil)
	for _, c := range h.idleConns {
		if c.dialTime.Before(before) {
			stale = append(stale, c)
		} else {
			kept = append(kept, c)
		}
	}
	h.idleConns = kept
	h.openConns -= len(stale)
	for range stale {
		h.wakeWaiterLocked()
	}
	h.mu.Unlock()
	closeConns(stale)
}

func (h *host) discardConn(c *httpConn) {
	c.close()
	h.freeConn()
}

// freeConn removes a connection from the count and wakes a waiting request, which may open another one.
func (h *host) freeConn() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.openConns--
	h.wakeWaiterLocked()
}

func (h *host) wakeWaiterLocked() {
	if len(h.waiters) == 0 {
		return
	}
	h.waiters[0] <- struct{}{}
	h.waiters = h.waiters[1:]
}

// removeWaiter removes a waiting request. If the request has already been woken, the next one is woken instead.
func (h *host) removeWaiter(wait chan struct{}) {
	h.mu.Lock()
	defer h.mu.Unlock()
	i := slices.Index(h.waiters, wait)
	if i < 0 {
		h.wakeWaiterLocked()
		return
	}
	h.waiters = slices.Delete(h.waiters, i, i+1)
}

func (h *host) recordEstablished(c *httpConn) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if c.dialTime.After(h.newestDial) {
		h.newestDial = c.dialTime
	}
}

// recordFirstByte records the time to the first byte of a response.
func (h *host) recordFirstByte(now time.Time, d time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if now.Sub(h.windowStart) >= firstByteWindow {
		h.slowestPrevious, h.slowestCurrent, h.windowStart = h.slowestCurrent, 0, now
	}
	h.slowestCurrent = max(h.slowestCurrent, d)
}

func (h *host) slowestFirstByte() time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return max(h.slowestCurrent, h.slowestPrevious)
}

func closeConns(conns []*httpConn) {
	for _, c := range conns {
		c.close()
	}
}
