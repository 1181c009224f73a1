package exchange

import (
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// setUserTimeout limits the time for which written data or a keepalive probe may stay unacknowledged. By
// default Linux retransmits for about 15 minutes before it reports a dead connection.
func setUserTimeout(raw syscall.RawConn, d time.Duration) error {
	if d <= 0 {
		return nil
	}
	var optErr error
	err := raw.Control(func(fd uintptr) {
		optErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(d.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return optErr
}
