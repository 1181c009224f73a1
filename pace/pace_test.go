package pace_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"hibiscuslane.example/hibiscuslane/pace"
)

// look is the time in seconds between two measurements; harm the time for which a serving task may be over
// its target.
const look, harm = 0.9, 4.0

// TestHarmEnds replays filling tasks that disturb a serving one in proportion to their share, with an
// effect that triples within seconds. It guards against serving tasks that stay over their target, and
// against filling tasks that never work again.
func TestHarmEnds(t *testing.T) {
	percent, late, worked := pace.FullSpeed, 0.0, 0
	for i := range 60 {
		effect := 0.6
		if i%20 >= 10 {
			effect = 1.8
		}
		ratio := 0.4 + effect*float64(percent)/pace.FullSpeed
		if ratio >= 1 {
			late += look
		} else {
			late = 0
		}
		require.Less(t, late, harm)
		percent = pace.NextSpeed(percent, ratio)
		worked += percent
	}
	require.Greater(t, worked/60, 25, "the filling tasks hardly work")
}
