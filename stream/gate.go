package stream

import (
	"sync"
	"time"
)

const (
	// MaxReadAge is the age of the last successful read above which a state counts as outdated. It
	// exceeds the 2 s of a long poll that finds no record.
	MaxReadAge = 3 * time.Second
	// PauseThreshold is the time between two iterations of a loop above which the process is assumed to
	// have been paused.
	PauseThreshold = 3 * time.Second
	// minReadsAfterPause is the number of successful reads after a pause that make the state recent again.
	// The response to the first one may have been sent before the pause.
	minReadsAfterPause = 2
)

// FreshnessGate decides whether a state is recent enough to propose records from it. The zero value is
// closed until reads have reached the head of the stream. Proposals from an outdated state are harmless,
// since their preconditions fail, but they cost appends and delay valid proposals.
type FreshnessGate struct {
	mu sync.Mutex
	// lastCall is the time of the last call of FreshSince.
	lastCall time.Time
	// pauseEnd is the time at which the last pause was detected; zero if there was none.
	pauseEnd time.Time
	// lastRead is the latest read that FreshSince was told of.
	lastRead time.Time
	// readsSincePause counts the reads that succeeded after pauseEnd.
	readsSincePause int
	// freshSince is the time at which the gate last opened; zero while it is closed.
	freshSince time.Time
}

// FreshSince is called once in each iteration of a loop. It returns the time since which the state has
// been recent, or zero if it is not recent. lastRead is the time of the last successful read, and
// reachedHead tells whether the head of the stream was reached.
func (g *FreshnessGate) FreshSince(now, lastRead time.Time, reachedHead bool) time.Time {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.lastCall.IsZero() && now.Sub(g.lastCall) > PauseThreshold {
		g.pauseEnd = now
		g.readsSincePause = 0
	}
	g.lastCall = now
	if lastRead.After(g.lastRead) {
		g.lastRead = lastRead
		if lastRead.After(g.pauseEnd) {
			g.readsSincePause++
		}
	}
	recent := reachedHead && !lastRead.IsZero() && now.Sub(lastRead) <= MaxReadAge
	switch {
	case !recent, !g.pauseEnd.IsZero() && g.readsSincePause < minReadsAfterPause:
		g.freshSince = time.Time{}
	case g.freshSince.IsZero():
		g.freshSince = now
	}
	return g.freshSince
}
