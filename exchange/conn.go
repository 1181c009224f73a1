package exchange

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"hibiscuslane.example/hibiscuslane/instance"
)

// countingConn counts the bytes sent and received for the current request. It carries one request at a time.
type countingConn struct {
	net.Conn
	// bytesRead counts the bytes read since resetCounters.
	bytesRead atomic.Int64

	mu sync.Mutex
	// bytesWritten counts the bytes written since resetCounters, including all bytes of a Write in progress.
	// It is therefore never lower than the number of bytes that the kernel has accepted.
	bytesWritten int64
	// writesBlocked makes every further Write fail. It is never reset.
	writesBlocked bool
}

// resetCounters sets the counters to zero before the next request is sent.
func (c *countingConn) resetCounters() {
	c.bytesRead.Store(0)
	c.mu.Lock()
	c.bytesWritten = 0
	c.mu.Unlock()
}

// blockWrites prevents further writes and reports whether any byte may have been written since
// resetCounters. Because nothing can be written afterwards, false proves that the request was never sent.
func (c *countingConn) blockWrites() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writesBlocked = true
	return c.bytesWritten > 0
}

// Write implements net.Conn.
func (c *countingConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	if c.writesBlocked {
		c.mu.Unlock()
		return 0, net.ErrClosed
	}
	c.bytesWritten += int64(len(p))
	c.mu.Unlock()
	n, err := c.Conn.Write(p)
	c.mu.Lock()
	c.bytesWritten -= int64(len(p) - n)
	c.mu.Unlock()
	return n, err
}

// Read implements net.Conn.
func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.bytesRead.Add(int64(n))
	}
	return n, err
}

// httpConn is an open connection to a target with its HTTP client state.
type httpConn struct {
	tcp    *countingConn
	client *http.ClientConn
	// dialTime is the time just before the connection was dialled.
	dialTime time.Time
	// idleSince is the time at which the connection became idle; zero while it is in use.
	idleSince time.Time
	// requests counts the requests sent on the connection, including the current one.
	requests int
}

// isNew reports whether the connection has carried no request before the current one.
func (c *httpConn) isNew() bool { return c.requests <= 1 }

func (c *httpConn) close() {
	c.tcp.blockWrites()
	_ = c.client.Close()
}

// isUsable reports whether the HTTP client can send another request on the connection.
func (c *httpConn) isUsable() bool {
	return c.client.Err() == nil && c.client.Available() > 0
}

// connHolderKey is the context key of the **countingConn through which DialContext passes the new TCP connection to
// dial, because http.ClientConn does not expose it.
type connHolderKey struct{}

// noDeadlineContext hides the deadline of a context but still ends with it. net.Dialer sets its own timer for
// the deadline, which fires just before the context ends, so that an expired caller deadline would be reported
// as an unreachable target. net.Dialer would also compare the deadline of a manual timer with the system clock.
type noDeadlineContext struct{ context.Context }

// Deadline implements context.Context.
func (noDeadlineContext) Deadline() (time.Time, bool) { return time.Time{}, false }

// dial opens a connection within Limits.DialTimeout and the lifetime of ctx.
func (t *Transport) dial(ctx context.Context, address instance.Address) (*httpConn, error) {
	dialTime := t.Timer.Now()
	ctx, cancel := t.Timer.WithTimeout(ctx, t.limits().DialTimeout)
	defer cancel()
	var tcp *countingConn
	ctx = context.WithValue(noDeadlineContext{ctx}, connHolderKey{}, &tcp)
	client, err := t.baseTransport().NewClientConn(ctx, "http", string(address))
	if err != nil {
		return nil, err
	}
	return &httpConn{tcp: tcp, client: client, dialTime: dialTime}, nil
}

func (t *Transport) baseTransport() *http.Transport {
	t.baseOnce.Do(t.initBaseTransport)
	return t.base
}

func (t *Transport) initBaseTransport() {
	limits := t.limits()
	dialer := &net.Dialer{
		KeepAliveConfig: net.KeepAliveConfig{
			Enable:   true,
			Idle:     limits.KeepaliveIdle,
			Interval: limits.KeepaliveInterval,
			Count:    limits.KeepaliveCount,
		},
		Control: func(_, _ string, raw syscall.RawConn) error { return setUserTimeout(raw, limits.UserTimeout) },
	}
	if limits.KeepaliveCount < 0 {
		dialer.KeepAliveConfig.Enable = false
		dialer.KeepAlive = -1
	}
	t.base = &http.Transport{
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxHeaderBytes,
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			inner, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			c := &countingConn{Conn: inner}
			*ctx.Value(connHolderKey{}).(**countingConn) = c
			return c, nil
		},
	}
}
