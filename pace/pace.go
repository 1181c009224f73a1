// Package pace decides to which speed best-effort tasks are throttled on a worker that also runs latency-sensitive
// tasks. Its functions depend only on their arguments. How much best-effort tasks slow down the others differs by
// image and changes within seconds, so the speed follows the measured tail latency of the latency-sensitive tasks: it
// drops at once and rises slowly. Only "hibiscuslane run" uses it; "hibiscuslane serve" throttles a job only to free
// cores for an urgent one (job.EvictByThrottle).
package pace

const (
	// FullSpeed is the speed in percent of a task that is not throttled.
	FullSpeed = 100
	// The thresholds for the ratio of tail latency to latency target: from overTarget on, best-effort tasks are
	// throttled hard, from nearTarget on slightly, and below wellBelowTarget they are sped up.
	overTarget, nearTarget, wellBelowTarget = 1.0, 0.85, 0.6
	// cutDivisor divides the speed when a latency target is reached or exceeded. If the result is below minSpeed, the
	// task is paused instead, since so little progress is not worth the memory that the task occupies.
	cutDivisor, minSpeed = 4, 10 // minSpeed in percent
	// stepDown and stepUp are the changes of the speed in percentage points near the target and well below it.
	stepDown, stepUp = 20, 15
)

// NextSpeed returns the new speed in percent of the best-effort tasks of a worker, given their current speed and the
// highest ratio of tail latency to latency target among its latency-sensitive tasks.
func NextSpeed(speed int, ratio float64) int {
	switch {
	case ratio >= overTarget:
		speed /= cutDivisor
		if speed < minSpeed {
			speed = 0
		}
	case ratio >= nearTarget:
		speed = max(speed-stepDown, 0)
	case ratio < wellBelowTarget:
		speed = min(speed+stepUp, FullSpeed)
	}
	return speed
}
