// Package pace decides how fast tasks that fill a worker may work beside tasks that serve their own
// users. It is pure. The disturbance differs by image and changes within seconds, so the share follows
// the measured tail of the serving tasks: down at once, up slowly.
package pace

const (
	// FullSpeed is the share of a task that is not held back, in percent.
	FullSpeed = 100
	// Over is the ratio of tail to target above which filling tasks are held back hard, Near the one above
	// which they are held back a little, Calm the one below which they get more.
	over, near, calm = 1.0, 0.85, 0.6
	// cut divides the share when a serving task is over its target; floor is the share below which a task
	// stops working, since less is not worth its memory.
	cut, floor = 4, 10
	// down and up are the steps in percent between near and calm.
	down, up = 20, 15
)

// NextSpeed returns the share of the filling tasks of a worker, given their share now and the worst ratio of
// tail to target among its serving tasks.
func NextSpeed(percent int, ratio float64) int {
	switch {
	case ratio >= over:
		percent /= cut
		if percent < floor {
			percent = 0
		}
	case ratio >= near:
		percent = max(percent-down, 0)
	case ratio < calm:
		percent = min(percent+up, FullSpeed)
	}
	return percent
}
