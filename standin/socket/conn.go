package socket

import (
	"io"
	"net"
	"sync/atomic"
	"time"
)

// Conn is an accepted connection. While silent it discards what it reads and what is written to it.
type Conn struct {
	net.Conn
	listener *Listener
	excess   bool
	silent   atomic.Bool
	active   atomic.Bool
	closed   atomic.Bool
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

// Close implements net.Conn. The other side of a silent connection learns nothing of the close, so
// the socket stays open until that side or the listener closes.
func (c *Conn) Close() error {
	if c.closed.Swap(true) {
		return net.ErrClosed
	}
	if c.silent.Load() {
		go c.discard()
		return nil
	}
	c.listener.forget(c)
	return c.Conn.Close()
}

func (c *Conn) discard() {
	_ = c.SetReadDeadline(time.Time{})
	_, _ = io.Copy(io.Discard, c.Conn)
	c.listener.forget(c)
	_ = c.Conn.Close()
}

// reset closes the connection so that the other side gets a reset instead of an orderly end.
func (c *Conn) reset() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Conn.Close()
}
