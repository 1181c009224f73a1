package target

import "time"

const (
	// maxHeaderBytes bounds response headers, so that a faulty target cannot exhaust memory.
	maxHeaderBytes = 64 << 10
	// refusalBytes bounds the body of a refusal that is read to keep the connection usable.
	refusalBytes = 4 << 10
	// patienceFactor multiplies the silence limit of requests that must not be tried again. Giving
	// them up turns a slow response into an unknown outcome, so they hold a connection longer.
	patienceFactor = 4
	// slowFactor multiplies the slowest recent first byte of a target in the silence limit, so that a
	// target with long service times does not have its connections taken for dead.
	slowFactor = 3
	// slowWindow is the time after which a slow response no longer counts as recent.
	slowWindow = time.Minute
)

// Limits bound how long a transport waits and how much it buffers. Zero fields mean the default.
type Limits struct {
	// DialTimeout bounds the establishment of a connection; default 1 s.
	DialTimeout time.Duration
	// AcquireTimeout bounds the wait for a connection while the share is used up; default 1 s. Together with DialTimeout it
	// keeps a request from reaching a target more than 2 s after the target was looked up, within the 3 s
	// after which a leaving target receives no new work.
	AcquireTimeout time.Duration
	// IdleTimeout is the time after which an unused connection is closed; default 2 s.
	IdleTimeout time.Duration
	// MaxAge is the time after which a connection takes no further request; default 1 min.
	MaxAge time.Duration
	// KeepaliveIdle, KeepaliveInterval (whole seconds) and KeepaliveCount set TCP keepalive; default
	// 1 s, 1 s and 3. A negative count turns keepalive off.
	KeepaliveIdle     time.Duration
	KeepaliveInterval time.Duration
	KeepaliveCount    int
	// UserTimeout is TCP_USER_TIMEOUT; default 2 s. A negative value leaves the system's default.
	UserTimeout time.Duration
	// ProbeAfter is the silence after a request at which older idle connections are closed and a new
	// connection is opened; default 500 ms. A negative value turns this and FirstByteTimeout off.
	ProbeAfter time.Duration
	// FirstByteTimeout is the least silence after which an idempotent request on a reused connection is given up,
	// provided that a newer connection was established; default 3 s.
	FirstByteTimeout time.Duration
	// BodyReadTimeout is the longest wait for more of a response body; default 10 s.
	BodyReadTimeout time.Duration
	// MaxBufferedBytes is the size up to which a response is delivered whole, in bytes; default 1 MiB.
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

func orDefault(d, standard time.Duration) time.Duration {
	if d == 0 {
		return standard
	}
	return d
}
