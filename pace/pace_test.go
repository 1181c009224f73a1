package pace_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"hibiscuslane.example/hibiscuslane/pace"
)

// measurementInterval is the time in seconds between two measurements. maxExceeded is the time in seconds for which a
// latency-sensitive task may exceed its target.
const measurementInterval, maxExceeded = 0.9, 4.0

// TestLatencyRecovers simulates best-effort tasks that raise the latency of a latency-sensitive task in proportion to
// their speed, with an effect that triples within seconds. It guards against a latency target that stays exceeded,
// and against best-effort tasks that stay paused.
func TestLatencyRecovers(t *testing.T) {
	speed, exceeded, totalSpeed := pace.FullSpeed, 0.0, 0
	for i := range 60 {
		effect := 0.6
		if i%20 >= 10 {
			effect = 1.8
		}
		ratio := 0.4 + effect*float64(speed)/pace.FullSpeed
		if ratio >= 1 {
			exceeded += measurementInterval
		} else {
			exceeded = 0
		}
		require.Less(t, exceeded, maxExceeded)
		speed = pace.NextSpeed(speed, ratio)
		totalSpeed += speed
	}
	require.Greater(t, totalSpeed/60, 25, "the mean speed of the best-effort tasks is too low")
}
