package timer

import (
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

// minClockShift is the change between the time of day and the time since the start of the process from which suspension is
// measured again. A suspension of that length or less counts for nothing.
const minClockShift = 50 * time.Millisecond

// processStart is the moment from which the system clock counts.
var processStart = time.Now()

// suspension is the state of Suspended for the system clock. Reading the clocks of the kernel that it needs is a system
// call each, so it does so only if the time of day shows that the machine may have been suspended: that time goes on, while
// the time since the start of the process does not.
var suspension struct {
	mu sync.Mutex
	// shift is the time of day less the time since the start of the process when the clocks were last read.
	shift time.Duration
	// start is the difference of the two clocks at the first reading, and total what was added to it since.
	start, total time.Duration
	known        bool
}

// Uptime returns the time since a fixed moment in the past. Unlike the difference of two times of Now, it includes the time
// during which the machine was suspended.
func (s *Service) Uptime() time.Duration {
	if s != nil && s.clock != nil {
		return time.Duration(s.clock.Now().UnixNano() + s.suspended.Load())
	}
	return time.Since(processStart) + s.Suspended()
}

// Suspended returns for how long the machine was suspended since the first call. Now and Since leave that time out. Lengths
// of up to 50 ms may be missing.
func (s *Service) Suspended() time.Duration {
	if s != nil && s.clock != nil {
		return time.Duration(s.suspended.Load())
	}
	now := time.Now()
	shift := time.Duration(now.UnixNano()) - now.Sub(processStart)
	suspension.mu.Lock()
	defer suspension.mu.Unlock()
	if change := shift - suspension.shift; suspension.known && change.Abs() <= minClockShift {
		return suspension.total
	}
	suspension.shift = shift
	difference, ok := bootTimeDifference()
	if !ok {
		return suspension.total // the kernel has no clock that includes suspension
	}
	if !suspension.known {
		suspension.start, suspension.known = difference, true
	}
	suspension.total = max(suspension.total, difference-suspension.start)
	return suspension.total
}

// bootTimeDifference returns for how long the machine was suspended since it was started.
func bootTimeDifference() (time.Duration, bool) {
	var boot, monotonic unix.Timespec
	if unix.ClockGettime(unix.CLOCK_MONOTONIC, &monotonic) != nil || unix.ClockGettime(unix.CLOCK_BOOTTIME, &boot) != nil {
		return 0, false
	}
	return time.Duration(boot.Nano() - monotonic.Nano()), true
}
