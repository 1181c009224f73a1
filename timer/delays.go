package timer

import "time"

// Delays holds decisions back for a time, so that an entry of lower rank can take them first. The zero value is ready to
// use. The caller serializes the calls.
type Delays struct {
	first map[string]time.Time
}

// Due reports whether a decision may be carried out: it was first seen at least delay ago.
func (d *Delays) Due(decision string, now time.Time, delay time.Duration) bool {
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

// Keep forgets the decisions that are not in the set, so that each new occurrence waits again.
func (d *Delays) Keep(decisions map[string]bool) {
	for decision := range d.first {
		if !decisions[decision] {
			delete(d.first, decision)
		}
	}
}
