package audit

import (
	"slices"
	"time"
)

// Source provides the audit trail of one stream.
type Source interface {
	// Trail returns the retained entries, sorted by offset.
	Trail() []Entry
}

// Collect merges the trails of several sources by time and drops the entries before a given time. Entries of
// one source stay sorted by offset, even if their times are not, because the clocks of writers may differ.
func Collect(from time.Time, sources ...Source) []Entry {
	trails := make([][]Entry, 0, len(sources))
	total := 0
	for _, source := range sources {
		trail := source.Trail()
		trails = append(trails, trail)
		total += len(trail)
	}
	merged := make([]Entry, 0, total)
	for {
		trails = slices.DeleteFunc(trails, func(trail []Entry) bool { return len(trail) == 0 })
		if len(trails) == 0 {
			return merged
		}
		i := earliestTrail(trails)
		entry := trails[i][0]
		trails[i] = trails[i][1:]
		if !entry.Time.Before(from) {
			merged = append(merged, entry)
		}
	}
}

func earliestTrail(trails [][]Entry) int {
	first := 0
	for i, trail := range trails {
		if trail[0].Time.Before(trails[first][0].Time) {
			first = i
		}
	}
	return first
}
