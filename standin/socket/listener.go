// Package socket provides listeners whose connections can be made to fail: refused, reset, or
// established but delivering nothing.
package socket

import (
	"context"
	"net"
	"net/http"
	"sync"
)

// Silence says which connections deliver nothing.
type Silence string

// Kinds of silence.
const (
	SilenceNone Silence = ""
	// SilenceEstablished applies once to the connections that exist when it is set.
	SilenceEstablished Silence = "established"
	// SilenceAll also applies to connections accepted while it is set.
	SilenceAll Silence = "all"
)

// Listener is a TCP listener with faults. A silenced connection stays silent for good, because the
// emulated middlebox has lost its state.
type Listener struct {
	address net.Addr
	// limit is the number of delivering connections above which a new one is marked as excess; 0
	// means no limit.
	limit    int
	accepted chan *Conn
	done     chan struct{}

	mu sync.Mutex
	// inner is nil while new connections are refused.
	inner   net.Listener
	refuse  bool
	off     bool
	silent  bool
	stopped bool
	conns   map[*Conn]struct{}
}

// Listen opens a listener at a TCP address.
func Listen(address string, limit int) (*Listener, error) {
	inner, err := open(address)
	if err != nil {
		return nil, err
	}
	l := &Listener{
		address:  inner.Addr(),
		limit:    limit,
		accepted: make(chan *Conn),
		done:     make(chan struct{}),
		inner:    inner,
		conns:    map[*Conn]struct{}{},
	}
	go l.accept(inner)
	return l, nil
}

func open(address string) (net.Listener, error) {
	var config net.ListenConfig
	inner, err := config.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, &ListenError{Address: address, Cause: err}
	}
	return inner, nil
}

// Serve serves HTTP on the listener until Close.
func (l *Listener) Serve(handler http.Handler) {
	server := &http.Server{
		Handler:   handler,
		ConnState: l.track,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, c)
		},
	}
	// Serve returns only when the listener is closed.
	go func() { _ = server.Serve(l) }()
}

type connKey struct{}

// carrier returns the connection that carries the request of ctx, or nil.
func carrier(ctx context.Context) *Conn {
	conn, _ := ctx.Value(connKey{}).(*Conn)
	return conn
}

// IsOverLimit reports whether a request came over a connection above the limit of its listener.
func IsOverLimit(ctx context.Context) bool {
	conn := carrier(ctx)
	return conn != nil && conn.excess
}

func (l *Listener) accept(inner net.Listener) {
	for {
		raw, err := inner.Accept()
		if err != nil {
			return
		}
		conn := l.register(raw)
		if conn == nil {
			_ = raw.Close()
			return
		}
		select {
		case l.accepted <- conn:
		case <-l.done:
			_ = raw.Close()
			return
		}
	}
}

func (l *Listener) register(raw net.Conn) *Conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	// The connection may have been accepted just before the listener was closed.
	if l.stopped || l.off {
		return nil
	}
	conn := &Conn{Conn: raw, listener: l, excess: l.limit > 0 && l.deliveringLocked() >= l.limit}
	conn.silent.Store(l.silent)
	l.conns[conn] = struct{}{}
	return conn
}

func (l *Listener) deliveringLocked() int {
	count := 0
	for conn := range l.conns {
		if !conn.silent.Load() {
			count++
		}
	}
	return count
}

// Accept implements net.Listener. It goes on while new connections are refused.
func (l *Listener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.accepted:
		return conn, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

// Addr implements net.Listener.
func (l *Listener) Addr() net.Addr { return l.address }

// Close implements net.Listener. It also closes all connections.
func (l *Listener) Close() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.stopped {
		return nil
	}
	l.stopped = true
	close(l.done)
	if l.inner != nil {
		_ = l.inner.Close()
		l.inner = nil
	}
	for conn := range l.conns {
		_ = conn.Conn.Close()
	}
	return nil
}

// SetRefuse makes the system refuse new connections, or accept them again.
func (l *Listener) SetRefuse(on bool) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refuse = on
	return l.applyLocked()
}

// Suspend refuses new connections and closes the existing ones: each at the end of the request that it
// carries, if any.
func (l *Listener) Suspend() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.off = true
	for conn := range l.conns {
		if !conn.active.Load() && !conn.silent.Load() {
			_ = conn.Conn.Close()
		}
	}
	return l.applyLocked()
}

// Abort refuses new connections and resets the existing ones at once.
func (l *Listener) Abort() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.off = true
	for conn := range l.conns {
		if !conn.silent.Load() {
			conn.reset()
		}
	}
	return l.applyLocked()
}

// Resume ends the effect of Off or Kill.
func (l *Listener) Resume() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.off = false
	return l.applyLocked()
}

// applyLocked opens or closes the inner listener. The port of a closed listener is free, so fixed
// ports of emulators are best chosen below the range that the system uses for outgoing connections.
func (l *Listener) applyLocked() error {
	if l.stopped {
		return nil
	}
	refuse := l.refuse || l.off
	switch {
	case refuse && l.inner != nil:
		_ = l.inner.Close()
		l.inner = nil
	case !refuse && l.inner == nil:
		inner, err := open(l.address.String())
		if err != nil {
			return err
		}
		l.inner = inner
		go l.accept(inner)
	}
	return nil
}

// Silence makes connections drop all bytes in both directions without an error. The connection that
// carries the request of ctx, if any, is left alone, so that the request can be answered.
func (l *Listener) Silence(ctx context.Context, kind Silence) {
	keep := carrier(ctx)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.silent = kind == SilenceAll
	if kind == SilenceNone {
		return
	}
	for conn := range l.conns {
		if conn != keep {
			conn.silent.Store(true)
		}
	}
}

func (l *Listener) track(c net.Conn, state http.ConnState) {
	conn, ok := c.(*Conn)
	if !ok {
		return
	}
	conn.active.Store(state == http.StateActive)
	if state != http.StateIdle {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.off && !conn.silent.Load() {
		_ = conn.Conn.Close()
	}
}

func (l *Listener) forget(c *Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, c)
}
