package balance

import (
	"math"
	"time"
)

const (
	// arrivalWindow is the period over which arriving jobs are counted. It is shorter than a burst, which
	// lasts some seconds.
	arrivalWindow = 700 * time.Millisecond
	// meanWorkSmoothing is the weight of a new job in the moving average of the work per job. It is small
	// because the work per job varies by an order of magnitude.
	meanWorkSmoothing = 0.01
	// takeoverTime is how long no owner accepts jobs when the owner changes. What was sent meanwhile arrives together.
	takeoverTime = 1200 * time.Millisecond
	// settlingTime is how long after a change of the owner jobs arrive that were sent before.
	settlingTime = 2 * time.Second
	// occupancySmoothing is the weight of a finished task in the moving average of what a task occupies. A burst finishes some
	// hundred tasks a second.
	occupancySmoothing = 0.005
	// maxOccupancy limits the multiple of its estimate that a task is taken to occupy its room for.
	maxOccupancy = 3
	// readyTime is how long it takes after a move until the machine has its first tasks: the worker registers, the owner
	// reaches it and places tasks on it.
	readyTime = 400 * time.Millisecond
	// maxGrowth limits a forecast to a multiple of the present rate: a burst grows for about two seconds, not for ever.
	maxGrowth = 3
)

// Arrivals estimates the work that arrives in one queue, and what will arrive when a machine that is ordered now can work.
// The load of queues comes in bursts that grow within about two seconds, in which a move of a machine takes most of the time:
// without a forecast, the machines come when the jobs that needed them are late.
type Arrivals struct {
	// Start is when counting began.
	Start time.Time
	// times holds the arrivals of the last two windows, or of the settling time, the oldest first.
	times []time.Time
	// meanWork is the mean work of the jobs so far, and a moving average later on.
	meanWork Amount
	// meanSlack is the same mean of how long a job may wait in all and still be in time.
	meanSlack time.Duration
	jobs      int
	// occupied and estimated are moving averages of how long tasks occupied their room and how long they were estimated to.
	occupied, estimated time.Duration
}

// Add records the arrival of a job with the given work and slack.
func (a *Arrivals) Add(now time.Time, work Amount, slack time.Duration) {
	a.drop(now) // Rate is not called while the list of machines cannot be read
	a.times = append(a.times, now)
	a.jobs++
	weight := max(meanWorkSmoothing, 1/float64(a.jobs))
	a.meanWork = a.meanWork.Add(work.Sub(a.meanWork).Scale(weight))
	a.meanSlack += time.Duration(weight * float64(slack-a.meanSlack))
}

// AddRun records how long a finished task has occupied its room, from its placement to the report of its end, and its
// estimate. With a slow store, tasks occupy their room for nearly twice their work.
func (a *Arrivals) AddRun(occupied, estimate time.Duration) {
	a.occupied += time.Duration(occupancySmoothing * float64(occupied-a.occupied))
	a.estimated += time.Duration(occupancySmoothing * float64(estimate-a.estimated))
}

// Occupancy returns by which multiple of their estimates tasks occupy their room.
func (a *Arrivals) Occupancy() float64 {
	if a.estimated <= 0 {
		return 1
	}
	return min(max(float64(a.occupied)/float64(a.estimated), 1), maxOccupancy)
}

// Rate returns the work that arrives per second, and what will arrive per second after lead. It multiplies the number of
// recent jobs by the mean work per job instead of adding up their work, because the window contains too few jobs for that.
func (a *Arrivals) Rate(now time.Time, lead time.Duration) (current, forecast Amount) {
	a.drop(now)
	if settled := now.Sub(a.Start); settled < settlingTime {
		rate := float64(len(a.times)) / (settled + takeoverTime).Seconds()
		return a.meanWork.Scale(rate * a.Occupancy()), a.meanWork.Scale(rate * a.Occupancy())
	}
	var recent, before float64
	for _, t := range a.times {
		if now.Sub(t) <= arrivalWindow {
			recent++
		} else {
			before++
		}
	}
	rate := recent / arrivalWindow.Seconds()
	// What chance alone makes of two equal counts is not growth.
	growth := recent - before - math.Sqrt(recent+before)
	expected := rate
	if growth > 0 && a.meanSlack < lead+readyTime {
		windows := 0.5 + float64(lead+readyTime)/float64(arrivalWindow) // from the middle of the last window
		expected = min(rate+windows*growth/arrivalWindow.Seconds(), maxGrowth*rate)
	}
	return a.meanWork.Scale(rate * a.Occupancy()), a.meanWork.Scale(expected * a.Occupancy())
}

// drop forgets the arrivals that no estimate needs any more.
func (a *Arrivals) drop(now time.Time) {
	kept := 2 * arrivalWindow
	if now.Sub(a.Start) < settlingTime {
		kept = settlingTime
	}
	first := 0
	for first < len(a.times) && now.Sub(a.times[first]) > kept {
		first++
	}
	a.times = a.times[first:]
}
