package socket

import (
	"io"
	"net"
	"sync/atomic"
	"time"
)

// Conn is an accepted connection. A silent connection discards all bytes in both directions, so that neither
// side sees an error.
type Conn struct {
	net.Conn
	listener  *Listener
	overLimit bool
	silent    atomic.Bool
	active    atomic.Bool // carries a request
	closed    atomic.Bool
}

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if !c.silent.Load() {
			return n, err
		}
		if err != nil {
			return 0, err
		}
	}
}

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	if c.silent.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// Close implements net.Conn. The peer of a silent connection must not notice the close, so the socket
// stays open until the peer or the listener closes it.
func (c *Conn) Close() error {
	if c.closed.Swap(true) {
		return net.ErrClosed
	}
	if c.silent.Load() {
		go c.discardUntilClosed()
		return nil
	}
	c.listener.removeConn(c)
	return c.Conn.Close()
}

// discardUntilClosed reads until the peer closes the connection.
func (c *Conn) discardUntilClosed() {
	_ = c.SetReadDeadline(time.Time{})
	_, _ = io.Copy(io.Discard, c.Conn)
	c.listener.removeConn(c)
	_ = c.Conn.Close()
}

// reset closes the connection with a TCP reset instead of an orderly shutdown.
func (c *Conn) reset() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Conn.Close()
}
