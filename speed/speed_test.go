package speed

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestSlowedInstanceUnnoticed guards against an instance that is slowed down and keeps counting as fast, against one that
// counts as slowed down because of a single long or impossibly short sample, and against one that never recovers.
func TestSlowedInstanceUnnoticed(t *testing.T) {
	var m Meter
	require.EqualValues(t, 1, m.Factor())
	add := func(samples ...time.Duration) {
		for _, s := range samples {
			m.add(s * time.Microsecond)
		}
	}
	add(20, 22, 21)
	require.EqualValues(t, 1, m.Factor())
	add(0, 0, 0, 500, 21)
	require.EqualValues(t, 1, m.Factor(), "one long sample")
	add(100, 105, 110)
	require.InDelta(t, 5, m.Factor(), 0.1)
	add(20, 20)
	require.EqualValues(t, 1, m.Factor())
}

// TestSampleTakesTime guards against work that the compiler removes, so that nothing is measured.
func TestSampleTakesTime(t *testing.T) {
	var m Meter
	for range windowSamples {
		m.Sample(time.Now)
	}
	require.Greater(t, m.best, minSample)
}
