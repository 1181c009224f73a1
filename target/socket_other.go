//go:build !linux

package target

import (
	"syscall"
	"time"
)

// setUserTimeout does nothing: the option exists on Linux only. Keepalive and the silence limit
// remain.
func setUserTimeout(syscall.RawConn, time.Duration) error { return nil }
