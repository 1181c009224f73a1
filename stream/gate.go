package stream

import (
	"sync"
	"time"
)

const (
	// MaxReadAge is the silence of the log after which a state counts as old. It exceeds the 2 s of a
	// long poll that finds no record.
	MaxReadAge = 3 * time.Second
	// PauseThreshold is the time between two steps of a loop after which the process counts as having been
	// frozen.
	PauseThreshold = 3 * time.Second
	// contactsNeeded is the number of successive reads after a gap that make the state recent. The first
	// one may have been answered before the gap.
	contactsNeeded = 2
)

// FreshnessGate decides whether a state is recent enough to act on. The zero value is closed until the first
// contact with the log. Proposals from an old state would do no harm, since their preconditions fail,
// but they cost appends and delay the ones that count.
type FreshnessGate struct {
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

// FreshSince records a round and reports since when the state is recent, or zero if it is not. Contact is the
// time of the last successful read, and current says whether the head of the stream was reached.
func (g *FreshnessGate) FreshSince(now, contact time.Time, current bool) time.Time {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.last.IsZero() && now.Sub(g.last) > PauseThreshold {
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
	recent := current && !contact.IsZero() && now.Sub(contact) <= MaxReadAge
	switch {
	case !recent, !g.resumed.IsZero() && g.contacts < contactsNeeded:
		g.since = time.Time{}
	case g.since.IsZero():
		g.since = now
	}
	return g.since
}
