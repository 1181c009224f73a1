package job

import (
	"sync"
	"time"
)

const (
	// contactLimit is the silence of the log after which nothing is proposed. It exceeds the 2 s of a
	// long poll that finds no record.
	contactLimit = 3 * time.Second
	// gapLimit is the time between two rounds after which the process counts as having been frozen.
	gapLimit = 3 * time.Second
	// contactsNeeded is the number of successive reads after a gap that make the state recent. The first
	// one may have been answered before the gap.
	contactsNeeded = 2
)

// gate decides whether the state is recent enough to act on. The zero value is closed until the first
// contact with the log. It works as the gate of the planner does, and also tells since when it is open.
type gate struct {
	mu sync.Mutex
	// last is the time of the last round.
	last time.Time
	// resumed is the end of the last gap, and contacts the number of reads seen since.
	resumed  time.Time
	contact  time.Time
	contacts int
	// since is the time from which on the gate has been open; zero while it is closed.
	since time.Time
}

// open records a round and reports since when the state is recent, or zero if it is not.
func (g *gate) open(now, contact time.Time, current bool) time.Time {
	g.mu.Lock()
	defer g.mu.Unlock()
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
	recent := current && !contact.IsZero() && now.Sub(contact) <= contactLimit
	switch {
	case !recent, !g.resumed.IsZero() && g.contacts < contactsNeeded:
		g.since = time.Time{}
	case g.since.IsZero():
		g.since = now
	}
	return g.since
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
