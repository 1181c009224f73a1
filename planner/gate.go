package planner

import "time"

const (
	// contactLimit is the silence of the log after which nothing is proposed. It exceeds the 2 s of a
	// long poll that finds no record.
	contactLimit = 3 * time.Second
	// gapLimit is the time between two rounds after which the process counts as having been frozen.
	gapLimit = 3 * time.Second
)

// gate decides whether the state is recent enough to plan from. The zero value is closed until the
// first contact with the log. Proposals from an old state would do no harm, since their preconditions
// fail, but they cost appends and delay the ones that count.
type gate struct {
	// last is the time of the last round.
	last time.Time
	// resumed is the end of the last gap, and contacts the number of reads seen since. The first read
	// may have been answered before the gap, so it takes two to know that the state is recent.
	resumed  time.Time
	contact  time.Time
	contacts int
}

// contactsNeeded is the number of successive reads after a gap that make the state recent.
const contactsNeeded = 2

// open records a round and reports whether it may propose.
func (g *gate) open(now, contact time.Time, current bool) bool {
	if !g.last.IsZero() && now.Sub(g.last) > gapLimit {
		g.resumed = now
		g.contacts = 0
	}
	g.last = now
	if contact.After(g.contact) {
		g.contact = contact
		if contact.After(g.resumed) {
			g.contacts++
		}
	}
	if !current || contact.IsZero() || now.Sub(contact) > contactLimit {
		return false
	}
	return g.resumed.IsZero() || g.contacts >= contactsNeeded
}

// turns delays what another entry should do first.
type turns struct {
	first map[string]time.Time
}

// due reports whether a decision that is first seen, or was seen before, may be carried out after the
// delay.
func (t *turns) due(key string, now time.Time, delay time.Duration) bool {
	if t.first == nil {
		t.first = map[string]time.Time{}
	}
	seen, ok := t.first[key]
	if !ok {
		t.first[key] = now
		seen = now
	}
	return now.Sub(seen) >= delay
}

// keep forgets the decisions that are not in the set, so that each new occurrence waits again.
func (t *turns) keep(keys map[string]bool) {
	for key := range t.first {
		if !keys[key] {
			delete(t.first, key)
		}
	}
}
