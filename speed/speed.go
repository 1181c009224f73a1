// Package speed measures how fast this process runs at present compared with its best so far. An instance may be slowed
// down, and is then a bad owner whatever its size (Meter). Only "hibiscuslane run" uses it.
package speed

import (
	"hash/fnv"
	"slices"
	"sync"
	"time"
)

const (
	// sampleRounds is the number of times that a sample repeats its work. The shortest one counts, because other
	// goroutines may interrupt the others.
	sampleRounds = 3
	// sampleBytes is the amount of data that a round hashes, some 20 microseconds of work.
	sampleBytes = 16 << 10
	// windowSamples is the number of latest samples whose median counts.
	windowSamples = 3
	// minSample is the shortest sample that counts. A shorter one shows that the clock stood still.
	minSample = time.Microsecond
	// minFactor is the factor below which a process does not count as slowed down, because samples vary.
	minFactor = 2
)

// Meter measures the speed of this process. The zero value has no samples. Its methods are safe for concurrent use.
type Meter struct {
	mu sync.Mutex
	// best is the smallest median of windowSamples samples in sequence; zero if there were fewer samples.
	best time.Duration
	// recent holds the latest samples, at most windowSamples.
	recent []time.Duration
}

// Sample measures the duration of a fixed amount of work with the given clock.
func (m *Meter) Sample(now func() time.Time) {
	var data [sampleBytes]byte
	var shortest time.Duration
	for i := range sampleRounds {
		begin := now()
		h := fnv.New64a()
		_, _ = h.Write(data[:]) // writing to a hash never fails
		if took := now().Sub(begin); i == 0 || took < shortest {
			shortest = took
		}
	}
	m.add(shortest)
}

// add adds the duration of a sample.
func (m *Meter) add(took time.Duration) {
	if took < minSample {
		return
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.recent = append(m.recent, took); len(m.recent) > windowSamples {
		m.recent = m.recent[1:]
	}
	if median := m.median(); median > 0 && (m.best == 0 || median < m.best) {
		m.best = median
	}
}

// median returns the median of the recent samples; zero if there are too few.
func (m *Meter) median() time.Duration {
	if len(m.recent) < windowSamples {
		return 0
	}
	sorted := slices.Sorted(slices.Values(m.recent))
	return sorted[len(sorted)/2]
}

// Factor returns how many times as long as at its best the process takes for the same work at present: 1, or at least
// minFactor.
func (m *Meter) Factor() float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.best == 0 {
		return 1
	}
	if factor := float64(m.median()) / float64(m.best); factor >= minFactor {
		return factor
	}
	return 1
}
