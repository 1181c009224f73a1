//go:build !linux

package exchange

import (
	"syscall"
	"time"
)

// setUserTimeout does nothing, because TCP_USER_TIMEOUT exists on Linux only. Keepalive and
// Limits.FirstByteTimeout still detect dead connections.
func setUserTimeout(syscall.RawConn, time.Duration) error { return nil }
