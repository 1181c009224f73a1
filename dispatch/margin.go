package dispatch

import "time"

const (
	// shortLeaseMargin is the rest of a lease below which its renewal is logged as late, at most once in
	// shortLeaseLogInterval.
	shortLeaseMargin      = time.Second
	shortLeaseLogInterval = 500 * time.Millisecond
	// marginWindow is the time over which leaseMargins takes the smallest margin.
	marginWindow = 5 * time.Second
)

// leaseMargins keeps how much was left of the leases of workers with runs when they were renewed. An owner that renews
// them late is overloaded or slow, and loses all runs of a worker once nothing is left. The zero value has no margins.
type leaseMargins struct {
	windowStart time.Time
	// current and previous are the smallest margins in the current window and the one before.
	current, previous time.Duration
	loggedAt          time.Time
}

// add records a margin and reports whether it should be logged.
func (m *leaseMargins) add(margin time.Duration, now time.Time) bool {
	if now.Sub(m.windowStart) > marginWindow {
		m.windowStart, m.previous, m.current = now, m.current, leaseDuration
	}
	m.current = min(m.current, margin)
	if margin >= shortLeaseMargin || now.Sub(m.loggedAt) < shortLeaseLogInterval {
		return false
	}
	m.loggedAt = now
	return true
}

// smallest returns the smallest margin of the last one or two windows; leaseDuration if there is none.
func (m *leaseMargins) smallest() time.Duration {
	if m.windowStart.IsZero() {
		return leaseDuration
	}
	if m.previous == 0 {
		return m.current
	}
	return min(m.current, m.previous)
}
