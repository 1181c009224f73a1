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
	// Dial bounds the establishment of a connection; default 1 s.
	Dial time.Duration
	// Wait bounds the wait for a connection while the share is used up; default 1 s. Together with Dial it
	// keeps a request from reaching a target more than 2 s after the target was looked up, within the 3 s
	// after which a leaving target receives no new work.
	Wait time.Duration
	// Idle is the time after which an unused connection is closed; default 2 s.
	Idle time.Duration
	// Age is the time after which a connection takes no further request; default 1 min.
	Age time.Duration
	// KeepaliveIdle, KeepaliveInterval (whole seconds) and KeepaliveCount set TCP keepalive; default
	// 1 s, 1 s and 3. A negative count turns keepalive off.
	KeepaliveIdle     time.Duration
	KeepaliveInterval time.Duration
	KeepaliveCount    int
	// UserTimeout is TCP_USER_TIMEOUT; default 2 s. A negative value leaves the system's default.
	UserTimeout time.Duration
	// Suspect is the silence after a request at which older idle connections are closed and a new
	// connection is opened; default 500 ms. A negative value turns this and Silence off.
	Suspect time.Duration
	// Silence is the least silence after which an idempotent request on a reused connection is given up,
	// provided that a newer connection was established; default 3 s.
	Silence time.Duration
	// Progress is the longest wait for more of a response body; default 10 s.
	Progress time.Duration
	// Buffer is the size up to which a response is delivered whole, in bytes; default 1 MiB.
	Buffer int
}

func (t *Transport) limits() Limits {
	l := t.Limits
	l.Dial = orDefault(l.Dial, time.Second)
	l.Wait = orDefault(l.Wait, time.Second)
	l.Idle = orDefault(l.Idle, 2*time.Second)
	l.Age = orDefault(l.Age, time.Minute)
	l.KeepaliveIdle = orDefault(l.KeepaliveIdle, time.Second)
	l.KeepaliveInterval = orDefault(l.KeepaliveInterval, time.Second)
	l.UserTimeout = orDefault(l.UserTimeout, 2*time.Second)
	l.Suspect = orDefault(l.Suspect, 500*time.Millisecond)
	l.Silence = orDefault(l.Silence, 3*time.Second)
	l.Progress = orDefault(l.Progress, 10*time.Second)
	if l.KeepaliveCount == 0 {
		l.KeepaliveCount = 3
	}
	if l.Buffer == 0 {
		l.Buffer = 1 << 20
	}
	return l
}

func orDefault(d, standard time.Duration) time.Duration {
	if d == 0 {
		return standard
	}
	return d
}
