// Package socket provides TCP listeners with injected faults: connections that are refused, reset, or
// silent, which means established without delivering any bytes.
package socket

import (
	"context"
	"net"
	"net/http"
	"sync"
)

// Silence selects the connections that are silent.
type Silence string

// Values of Silence.
const (
	SilenceNone Silence = ""
	// SilenceEstablished applies once to the connections that exist when it is set.
	SilenceEstablished Silence = "established"
	// SilenceAll also applies to connections accepted while it is set.
	SilenceAll Silence = "all"
)

// Listener is a TCP listener with injected faults. A connection that became silent never recovers, as
// if a firewall or load balancer on its path had lost the state of the connection.
type Listener struct {
	address net.Addr
	// maxConns is the number of connections, silent ones excepted, above which a new connection is marked
	// as over the limit; 0 means no limit.
	maxConns int
	accepted chan *Conn
	done     chan struct{}

	mu sync.Mutex
	// inner is nil while new connections are refused.
	inner     net.Listener
	refuse    bool // set by SetRefuse
	suspended bool // set by Suspend and Abort, cleared by Resume
	silent    bool // new connections are silent
	closed    bool
	conns     map[*Conn]struct{} // open connections, silent ones included
}

// Listen listens on a TCP address. maxConns is the number of connections above which IsOverLimit is true for
// requests; 0 means no limit.
func Listen(address string, maxConns int) (*Listener, error) {
	inner, err := listenTCP(address)
	if err != nil {
		return nil, err
	}
	l := &Listener{
		address:  inner.Addr(),
		maxConns: maxConns,
		accepted: make(chan *Conn),
		done:     make(chan struct{}),
		inner:    inner,
		conns:    map[*Conn]struct{}{},
	}
	go l.accept(inner)
	return l, nil
}

func listenTCP(address string) (net.Listener, error) {
	var config net.ListenConfig
	inner, err := config.Listen(context.Background(), "tcp", address)
	if err != nil {
		return nil, &ListenError{Address: address, Cause: err}
	}
	return inner, nil
}

// Serve starts to serve HTTP on the listener until Close.
func (l *Listener) Serve(handler http.Handler) {
	server := &http.Server{
		Handler:   handler,
		ConnState: l.trackState,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, c)
		},
	}
	// Serve returns only when the listener is closed.
	go func() { _ = server.Serve(l) }()
}

type connKey struct{}

// requestConn returns the connection that carries the request of ctx, or nil.
func requestConn(ctx context.Context) *Conn {
	conn, _ := ctx.Value(connKey{}).(*Conn)
	return conn
}

// IsOverLimit reports whether the request of ctx came over a connection above the limit of its listener.
func IsOverLimit(ctx context.Context) bool {
	conn := requestConn(ctx)
	return conn != nil && conn.overLimit
}

func (l *Listener) accept(inner net.Listener) {
	for {
		raw, err := inner.Accept()
		if err != nil {
			return
		}
		conn := l.addConn(raw)
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

// addConn adds an accepted connection. It returns nil if the listener is closed or suspended.
func (l *Listener) addConn(raw net.Conn) *Conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	// The connection may have been accepted just before the listener was closed or suspended.
	if l.closed || l.suspended {
		return nil
	}
	conn := &Conn{Conn: raw, listener: l, overLimit: l.maxConns > 0 && l.openConnsLocked() >= l.maxConns}
	conn.silent.Store(l.silent)
	l.conns[conn] = struct{}{}
	return conn
}

// openConnsLocked returns the number of connections that are not silent.
func (l *Listener) openConnsLocked() int {
	count := 0
	for conn := range l.conns {
		if !conn.silent.Load() {
			count++
		}
	}
	return count
}

// Accept implements net.Listener. It keeps waiting while new connections are refused.
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
	if l.closed {
		return nil
	}
	l.closed = true
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

// SetRefuse makes the operating system refuse new connections, or accept them again. Existing ones are unaffected.
func (l *Listener) SetRefuse(on bool) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refuse = on
	return l.updateLocked()
}

// Suspend refuses new connections and closes the existing ones gracefully: each one as soon as it
// carries no request. Silent connections stay open.
func (l *Listener) Suspend() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.suspended = true
	for conn := range l.conns {
		if !conn.active.Load() && !conn.silent.Load() {
			_ = conn.Conn.Close()
		}
	}
	return l.updateLocked()
}

// Abort refuses new connections and resets the existing ones immediately, except silent ones, which stay open.
func (l *Listener) Abort() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.suspended = true
	for conn := range l.conns {
		if !conn.silent.Load() {
			conn.reset()
		}
	}
	return l.updateLocked()
}

// Resume accepts new connections again after Suspend or Abort.
func (l *Listener) Resume() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.suspended = false
	return l.updateLocked()
}

// updateLocked opens or closes the inner listener. While it is closed, another process can take its port, unless the port is
// reserved (package port).
func (l *Listener) updateLocked() error {
	if l.closed {
		return nil
	}
	refuse := l.refuse || l.suspended
	switch {
	case refuse && l.inner != nil:
		_ = l.inner.Close()
		l.inner = nil
	case !refuse && l.inner == nil:
		inner, err := listenTCP(l.address.String())
		if err != nil {
			return err
		}
		l.inner = inner
		go l.accept(inner)
	}
	return nil
}

// Silence makes the selected connections drop all bytes in both directions without an error. The
// connection that carries the request of ctx, if any, is exempt, so that the request can be answered.
// SilenceNone affects new connections only: silent ones stay silent.
func (l *Listener) Silence(ctx context.Context, kind Silence) {
	exempt := requestConn(ctx)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.silent = kind == SilenceAll
	if kind == SilenceNone {
		return
	}
	for conn := range l.conns {
		if conn != exempt {
			conn.silent.Store(true)
		}
	}
}

// trackState records whether a connection carries a request. It closes idle connections of a suspended
// listener.
func (l *Listener) trackState(c net.Conn, state http.ConnState) {
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
	if l.suspended && !conn.silent.Load() {
		_ = conn.Conn.Close()
	}
}

func (l *Listener) removeConn(c *Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, c)
}
