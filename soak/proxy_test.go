package soak_test

import (
	"net"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// dropMode is the direction in which a proxy drops bytes.
type dropMode string

const (
	dropNone     dropMode = "none"
	dropToTarget dropMode = "up"   // from the caller to the target
	dropToCaller dropMode = "down" // from the target to the caller
	dropBoth     dropMode = "both"
)

// proxy forwards loopback connections to a target and injects network faults into them.
type proxy struct {
	listener net.Listener
	target   string

	mu          sync.Mutex
	connections map[*connection]bool
	delay       time.Duration
	drop        dropMode
}

// connection is a connection through a proxy. All bytes of a blackholed connection are dropped until one side closes
// it. Any other connection that lost bytes is reset when the faults are cleared, because TCP does not continue a stream
// with bytes missing.
type connection struct {
	caller, target        net.Conn
	blackholed, lostBytes bool
}

func newProxy(t *testing.T, target string) *proxy {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	p := &proxy{listener: l, target: target, connections: map[*connection]bool{}, drop: dropNone}
	t.Cleanup(func() { _ = l.Close(); p.resetConnections() })
	go p.acceptConnections()
	return p
}

func (p *proxy) address() string { return p.listener.Addr().String() }

func (p *proxy) acceptConnections() {
	for {
		caller, err := p.listener.Accept()
		if err != nil {
			return // the listener is closed
		}
		target, err := net.Dial("tcp", p.target)
		if err != nil {
			_ = caller.Close()
			continue
		}
		conn := &connection{caller: caller, target: target}
		p.mu.Lock()
		p.connections[conn] = true
		p.mu.Unlock()
		go p.copyBytes(conn, caller, target, dropToTarget)
		go p.copyBytes(conn, target, caller, dropToCaller)
	}
}

// copyBytes copies one direction of a connection until either side closes it.
func (p *proxy) copyBytes(conn *connection, from, to net.Conn, direction dropMode) {
	defer p.closeConnection(conn)
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		if err != nil {
			return
		}
		p.mu.Lock()
		dropped := conn.blackholed || p.drop == dropBoth || p.drop == direction
		conn.lostBytes = conn.lostBytes || dropped
		delay := p.delay
		p.mu.Unlock()
		time.Sleep(delay)
		if dropped {
			continue
		}
		if _, err := to.Write(buffer[:n]); err != nil {
			return
		}
	}
}

func (p *proxy) closeConnection(conn *connection) {
	p.mu.Lock()
	delete(p.connections, conn)
	p.mu.Unlock()
	_ = conn.caller.Close()
	_ = conn.target.Close()
}

// resetConnection closes both sides of a connection with a TCP reset.
func resetConnection(conn *connection) {
	for _, c := range []net.Conn{conn.caller, conn.target} {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = c.Close()
	}
}

// resetConnections resets all open connections.
func (p *proxy) resetConnections() {
	p.forEachConnection(func(conn *connection) { resetConnection(conn) })
}

// blackholeConnections drops all further bytes of the open connections. New connections work.
func (p *proxy) blackholeConnections() {
	p.forEachConnection(func(conn *connection) { conn.blackholed = true })
}

func (p *proxy) forEachConnection(f func(*connection)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for conn := range p.connections {
		f(conn)
	}
}

// setFaults delays each read by delay and drops the bytes of one or both directions until clearFaults is called.
func (p *proxy) setFaults(delay time.Duration, drop dropMode) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.delay, p.drop = delay, drop
}

func (p *proxy) clearFaults() {
	p.setFaults(0, dropNone)
	p.forEachConnection(func(conn *connection) {
		if conn.lostBytes && !conn.blackholed {
			resetConnection(conn)
		}
	})
}
