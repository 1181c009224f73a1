package target

import (
	"context"
	"slices"
	"sync"
	"time"

	"hibiscuslane.example/hibiscuslane/instance"
)

// host holds the connections to one address.
type host struct {
	address instance.Address
	// users counts the calls in progress on the host; it is guarded by Transport.mu.
	users int

	mu sync.Mutex
	// idle lists unused links, the most recently used last.
	idle []*link
	// open counts the links that are idle, in use or being dialled. It exceeds the share of a request
	// only after the share has shrunk.
	open int
	// waiting lists the requests that wait for a link, oldest first.
	waiting []chan struct{}
	// barrier is the time before which established links take no further request.
	barrier time.Time
	// newest is the dial time of the newest established link.
	newest time.Time
	// slowest is the slowest first byte of the present window and previous that of the one before.
	slowest, previous time.Duration
	windowStart       time.Time
	// reaping is true while a reap is scheduled.
	reaping bool
}

// enter returns the host of an address. The caller calls leave when it is done.
func (t *Transport) enter(address instance.Address) *host {
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
	h.users++
	return h
}

// leave forgets a host that has neither users nor connections.
func (t *Transport) leave(h *host) {
	t.mu.Lock()
	defer t.mu.Unlock()
	h.users--
	t.forgetLocked(h)
}

// pin keeps a host that has an open connection until leave is called.
func (t *Transport) pin(h *host) {
	t.mu.Lock()
	defer t.mu.Unlock()
	h.users++
}

// forget removes the host if it has become unused.
func (t *Transport) forget(h *host) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.forgetLocked(h)
}

func (t *Transport) forgetLocked(h *host) {
	if h.users > 0 {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.open == 0 && t.hosts[h.address] == h {
		delete(t.hosts, h.address)
	}
}

// acquire returns an idle link or dials one.
func (t *Transport) acquire(ctx context.Context, h *host, r *Request) (*link, error) {
	share := max(r.MaxConnections, 1)
	waitCtx, cancel := t.Timer.WithTimeout(ctx, t.limits().AcquireTimeout)
	defer cancel()
	for {
		l, wait := t.take(h, share)
		if l != nil {
			return l, nil
		}
		if wait == nil {
			return t.open(ctx, h, r)
		}
		select {
		case <-wait:
		case <-waitCtx.Done():
			h.cancelWait(wait)
			if ctx.Err() != nil {
				return nil, &DeadlineError{Attempt: Attempt{Target: r.Target}, Cause: context.Cause(ctx)}
			}
			return nil, &ConnectionLimitError{Target: r.Target, Limit: share}
		}
	}
}

// open dials a link whose place is taken already.
func (t *Transport) open(ctx context.Context, h *host, r *Request) (*link, error) {
	l, err := t.dial(ctx, h.address)
	if err == nil {
		h.established(l)
		return l, nil
	}
	h.drop()
	if ctx.Err() != nil {
		return nil, &DeadlineError{Attempt: Attempt{Target: r.Target}, Cause: err}
	}
	return nil, &UnreachableError{Target: r.Target, Cause: err}
}

// take returns an idle link, or nil and a channel to wait on, or nil and nil when the caller has to
// dial; the new link is counted already.
func (t *Transport) take(h *host, share int) (*link, chan struct{}) {
	var stale []*link
	defer func() { closeAll(stale) }()
	now := t.Timer.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	for len(h.idle) > 0 {
		last := len(h.idle) - 1
		l := h.idle[last]
		h.idle = h.idle[:last]
		if t.reusableLocked(h, l, now) {
			return l, nil
		}
		h.open--
		h.wakeLocked()
		stale = append(stale, l)
	}
	if h.open < share {
		h.open++
		return nil, nil
	}
	wait := make(chan struct{}, 1)
	h.waiting = append(h.waiting, wait)
	return nil, wait
}

func (t *Transport) reusableLocked(h *host, l *link, now time.Time) bool {
	limits := t.limits()
	switch {
	case !l.usable():
		return false
	case l.established.Before(h.barrier):
		return false
	case now.Sub(l.established) >= limits.MaxAge:
		return false
	}
	return l.idleSince.IsZero() || now.Sub(l.idleSince) < limits.IdleTimeout
}

// release returns a link after a whole response.
func (t *Transport) release(h *host, l *link) {
	now := t.Timer.Now()
	h.mu.Lock()
	l.idleSince = time.Time{}
	if !t.reusableLocked(h, l, now) {
		h.mu.Unlock()
		h.discard(l)
		return
	}
	l.idleSince = now
	h.idle = append(h.idle, l)
	h.wakeLocked()
	schedule := !h.reaping
	h.reaping = true
	h.mu.Unlock()
	if schedule {
		t.pin(h)
		t.Timer.AfterFunc(t.limits().IdleTimeout, func() { t.reap(h) })
	}
}

// reap closes idle links that are too old, and schedules itself again while idle links remain.
func (t *Transport) reap(h *host) {
	now := t.Timer.Now()
	h.mu.Lock()
	kept, stale := h.idle[:0:0], []*link(nil)
	for _, l := range h.idle {
		if t.reusableLocked(h, l, now) {
			kept = append(kept, l)
		} else {
			stale = append(stale, l)
		}
	}
	h.idle = kept
	h.open -= len(stale)
	for range stale {
		h.wakeLocked()
	}
	h.reaping = len(kept) > 0
	again := h.reaping
	h.mu.Unlock()
	closeAll(stale)
	if again {
		t.Timer.AfterFunc(t.limits().IdleTimeout, func() { t.reap(h) })
		return
	}
	t.leave(h)
}

// sweep closes the idle links that were established before the given time, and keeps those in use
// from being used again.
func (h *host) sweep(before time.Time) {
	h.mu.Lock()
	if before.After(h.barrier) {
		h.barrier = before
	}
	kept, stale := h.idle[:0:0], []*link(nil)
	for _, l := range h.idle {
		if l.established.Before(before) {
			stale = append(stale, l)
		} else {
			kept = append(kept, l)
		}
	}
	h.idle = kept
	h.open -= len(stale)
	for range stale {
		h.wakeLocked()
	}
	h.mu.Unlock()
	closeAll(stale)
}

func (h *host) discard(l *link) {
	l.close()
	h.drop()
}

// drop gives up the place of a link.
func (h *host) drop() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.open--
	h.wakeLocked()
}

func (h *host) wakeLocked() {
	if len(h.waiting) == 0 {
		return
	}
	h.waiting[0] <- struct{}{}
	h.waiting = h.waiting[1:]
}

// cancelWait removes a waiting request. A wake-up that it has received already goes to the next.
func (h *host) cancelWait(wait chan struct{}) {
	h.mu.Lock()
	defer h.mu.Unlock()
	i := slices.Index(h.waiting, wait)
	if i < 0 {
		h.wakeLocked()
		return
	}
	h.waiting = slices.Delete(h.waiting, i, i+1)
}

func (h *host) established(l *link) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if l.established.After(h.newest) {
		h.newest = l.established
	}
}

// answered records the time to the first byte of a response.
func (h *host) answered(now time.Time, d time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if now.Sub(h.windowStart) >= slowWindow {
		h.previous, h.slowest, h.windowStart = h.slowest, 0, now
	}
	h.slowest = max(h.slowest, d)
}

func (h *host) slowestRecent() time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return max(h.slowest, h.previous)
}

func closeAll(links []*link) {
	for _, l := range links {
		l.close()
	}
}
