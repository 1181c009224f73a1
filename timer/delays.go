package timer

import "time"

// Delays delays the execution of decisions, so that an entry of lower rank can carry them out first. The zero
// value is ready to use. Callers must serialize the calls.
type Delays struct {
	firstSeen map[string]time.Time
}

// IsDue reports whether a decision may be carried out, because it was first seen at least delay ago.
func (d *Delays) IsDue(decision string, now time.Time, delay time.Duration) bool {
	if d.firstSeen == nil {
		d.firstSeen = map[string]time.Time{}
	}
	seen, ok := d.firstSeen[decision]
	if !ok {
		d.firstSeen[decision] = now
		seen = now
	}
	return now.Sub(seen) >= delay
}

// Retain forgets the decisions that are not in the set, so that they are delayed anew when they recur.
func (d *Delays) Retain(decisions map[string]bool) {
	for decision := range d.firstSeen {
		if !decisions[decision] {
			delete(d.firstSeen, decision)
		}
	}
}
