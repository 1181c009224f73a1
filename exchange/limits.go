package exchange

import "time"

const (
	// maxHeaderBytes limits the size of response headers, so that a faulty target cannot exhaust memory.
	maxHeaderBytes = 64 << 10
	// maxRefusalBytes limits the body of a refusal, which is read whole so that the connection can be reused.
	maxRefusalBytes = 4 << 10
	// smallResponseBytes is the size up to which the body of a response is read at once. Larger ones wait for room.
	smallResponseBytes = 64 << 10
	// responseCopies is the number of copies of a buffered response that an entry holds.
	responseCopies = 2
	// nonIdempotentFactor multiplies the first byte timeout of requests that are not idempotent. Abandoning
	// such a request turns a slow response into an unknown outcome, so it gets more time.
	nonIdempotentFactor = 4
	// slowResponseFactor multiplies the longest recent time to a first byte of a target. The product is a lower
	// bound of the first byte timeout, so that connections to a slow target are not taken for dead.
	slowResponseFactor = 3
	// firstByteWindow is the length of the windows over which the times to a first byte are recorded.
	firstByteWindow = time.Minute
)

// Limits holds the timeouts and size limits of a Transport. Zero fields mean the default.
type Limits struct {
	// DialTimeout limits the time to establish a connection; default 1 s.
	DialTimeout time.Duration
	// AcquireTimeout limits the wait for a connection while MaxConnections are in use; default 1 s. Together
	// with DialTimeout it ensures that a request reaches its target at most 2 s after the target was looked up.
	// This is less than the 3 s after which a leaving target must receive no new work.
	AcquireTimeout time.Duration
	// IdleTimeout is the time after which an unused connection is closed; default 2 s.
	IdleTimeout time.Duration
	// MaxAge is the age from which a connection is not reused; default 1 min.
	MaxAge time.Duration
	// KeepaliveIdle, KeepaliveInterval (both rounded up to whole seconds) and KeepaliveCount configure TCP
	// keepalive; default 1 s, 1 s and 3. A negative count turns keepalive off.
	KeepaliveIdle     time.Duration
	KeepaliveInterval time.Duration
	KeepaliveCount    int
	// UserTimeout is the TCP_USER_TIMEOUT of connections; default 2 s. A negative value keeps the default of
	// the system.
	UserTimeout time.Duration
	// ProbeAfter is the shortest time without a first byte after which older idle connections are closed and a new
	// connection is opened; default 500 ms. A negative value turns this and FirstByteTimeout off.
	ProbeAfter time.Duration
	// FirstByteTimeout is the shortest time without a first byte after which an idempotent request on a reused
	// connection is abandoned, provided that a newer connection was established or no further one may be opened;
	// default 3 s.
	FirstByteTimeout time.Duration
	// BodyReadTimeout limits each read of a response body; default 10 s.
	BodyReadTimeout time.Duration
	// MaxBufferedBytes is the size up to which a response body is buffered and returned whole; default 1 MiB.
	MaxBufferedBytes int
}

func (t *Transport) limits() Limits {
	l := t.Limits
	l.DialTimeout = orDefault(l.DialTimeout, time.Second)
	l.AcquireTimeout = orDefault(l.AcquireTimeout, time.Second)
	l.IdleTimeout = orDefault(l.IdleTimeout, 2*time.Second)
	l.MaxAge = orDefault(l.MaxAge, time.Minute)
	l.KeepaliveIdle = orDefault(l.KeepaliveIdle, time.Second)
	l.KeepaliveInterval = orDefault(l.KeepaliveInterval, time.Second)
	l.UserTimeout = orDefault(l.UserTimeout, 2*time.Second)
	l.ProbeAfter = orDefault(l.ProbeAfter, 500*time.Millisecond)
	l.FirstByteTimeout = orDefault(l.FirstByteTimeout, 3*time.Second)
	l.BodyReadTimeout = orDefault(l.BodyReadTimeout, 10*time.Second)
	if l.KeepaliveCount == 0 {
		l.KeepaliveCount = 3
	}
	if l.MaxBufferedBytes == 0 {
		l.MaxBufferedBytes = 1 << 20
	}
	return l
}

func orDefault(d, defaultValue time.Duration) time.Duration {
	if d == 0 {
		return defaultValue
	}
	return d
}
