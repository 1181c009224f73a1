package timer

import "time"

// Delays holds decisions back for a time, so that an entry of lower rank can take them first. The zero value is ready to
// use. The caller serializes the calls.
type Delays struct {
	first map[string]time.Time
}

// IsDue reports whether a decision may be carried out, because it was first seen at least delay ago.
func (d *Delays) IsDue(decision string, now time.Time, delay time.Duration) bool {
	if d.first == nil {
		d.first = map[string]time.Time{}
	}
	seen, ok := d.first[decision]
	if !ok {
		d.first[decision] = now
		seen = now
	}
	return now.Sub(seen) >= delay
}

// Retain forgets the decisions that are not in the set, so that they are delayed anew when they recur.
func (d *Delays) Retain(decisions map[string]bool) {
	for decision := range d.first {
		if !decisions[decision] {
			delete(d.first, decision)
		}
	}
}
