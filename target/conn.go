package target

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

// conn counts the bytes of the request that it carries. It carries one request at a time.
type conn struct {
	net.Conn
	// heard counts the bytes read since begin.
	heard atomic.Int64

	mu sync.Mutex
	// written counts the bytes written since begin and those of a Write that has not returned, so that
	// it is never below the number of bytes that the kernel has accepted.
	written int64
	// sealed conns write nothing more. It is never reset.
	sealed bool
}

// begin binds the counters to the next request.
func (c *conn) begin() {
	c.heard.Store(0)
	c.mu.Lock()
	c.written = 0
	c.mu.Unlock()
}

// seal prevents further writes and reports whether any byte may have been written since begin. A
// false result therefore stays true of the request for good.
func (c *conn) seal() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sealed = true
	return c.written > 0
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	c.mu.Lock()
	if c.sealed {
		c.mu.Unlock()
		return 0, net.ErrClosed
	}
	c.written += int64(len(p))
	c.mu.Unlock()
	n, err := c.Conn.Write(p)
	c.mu.Lock()
	c.written -= int64(len(p) - n)
	c.mu.Unlock()
	return n, err
}

// Read implements net.Conn.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.heard.Add(int64(n))
	}
	return n, err
}

// link is an open connection to a target with its HTTP state.
type link struct {
	conn   *conn
	client *http.ClientConn
	// established is the time just before the connection was dialled.
	established time.Time
	// idleSince is set while the link is idle.
	idleSince time.Time
	// uses counts the requests sent on the link, including the present one.
	uses int
}

func (l *link) fresh() bool { return l.uses <= 1 }

func (l *link) close() {
	l.conn.seal()
	_ = l.client.Close()
}

// usable reports whether the HTTP state allows another request.
func (l *link) usable() bool {
	return l.client.Err() == nil && l.client.Available() > 0
}

type holderKey struct{}

// undated hides the deadline of a context, but not its end. net.Dialer would time out on its own at the
// deadline, just before the context ends, and the deadline of a caller would look like a target that
// cannot be reached. It would also take the deadline of a manual timer for one of the system clock.
type undated struct{ context.Context }

// Deadline implements context.Context.
func (undated) Deadline() (time.Time, bool) { return time.Time{}, false }

// dial opens a connection. It is bounded by Limits.DialTimeout and by ctx.
func (t *Transport) dial(ctx context.Context, address instance.Address) (*link, error) {
	established := t.Timer.Now()
	ctx, cancel := t.Timer.WithTimeout(ctx, t.limits().DialTimeout)
	defer cancel()
	var dialled *conn
	ctx = context.WithValue(undated{ctx}, holderKey{}, &dialled)
	client, err := t.base().NewClientConn(ctx, "http", string(address))
	if err != nil {
		return nil, err
	}
	return &link{conn: dialled, client: client, established: established}, nil
}

func (t *Transport) base() *http.Transport {
	t.once.Do(t.newBase)
	return t.http
}

func (t *Transport) newBase() {
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
	t.http = &http.Transport{
		DisableCompression:     true,
		MaxResponseHeaderBytes: maxHeaderBytes,
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			inner, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			c := &conn{Conn: inner}
			*ctx.Value(holderKey{}).(**conn) = c
			return c, nil
		},
	}
}
