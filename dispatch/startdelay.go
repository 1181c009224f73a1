package dispatch

import (
	"time"

	"hibiscuslane.example/hibiscuslane/queue"
)

// startDelayWindow is the time over which startDelays takes means.
const startDelayWindow = 5 * time.Second

// startDelays keeps the time from the acceptance of jobs to the start of their first task, by queue. While workers have room
// it is the time that the owner takes. The zero value has no delays.
type startDelays struct {
	windowStart       time.Time
	current, previous map[queue.Name]delaySum
}

// delaySum is the sum of a number of delays.
type delaySum struct {
	total time.Duration
	count int64
}

// add records the delay of a job.
func (s *startDelays) add(name queue.Name, delay time.Duration, now time.Time) {
	if now.Sub(s.windowStart) > startDelayWindow {
		s.windowStart, s.previous, s.current = now, s.current, map[queue.Name]delaySum{}
	}
	sum := s.current[name]
	s.current[name] = delaySum{total: sum.total + delay, count: sum.count + 1}
}

// means returns the mean delays in the last one or two windows.
func (s *startDelays) means() map[queue.Name]time.Duration {
	sums := map[queue.Name]delaySum{}
	for _, window := range []map[queue.Name]delaySum{s.previous, s.current} {
		for name, sum := range window {
			sums[name] = delaySum{total: sums[name].total + sum.total, count: sums[name].count + sum.count}
		}
	}
	means := map[queue.Name]time.Duration{}
	for name, sum := range sums {
		means[name] = sum.total / time.Duration(sum.count)
	}
	return means
}
