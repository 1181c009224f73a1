package stream

import (
	"sync"
	"time"
)

const (
	// MaxReadAge is the age of the last successful read from which on a state counts as outdated. It
	// exceeds the 2 s of a long poll that finds no record.
	MaxReadAge = 3 * time.Second
	// PauseThreshold is the time between two iterations of a loop above which the process is assumed to
	// have been suspended.
	PauseThreshold = 3 * time.Second
	// minReadsAfterPause is the number of successful reads after a pause that make the state recent again.
	// The response to the first one may have been sent before the pause.
	minReadsAfterPause = 2
)

// FreshnessGate decides whether a state is recent enough to propose records from it. The zero value is
// closed until the first successful read from the log. Proposals from an outdated state are harmless,
// since their preconditions fail, but they cost appends and delay valid proposals.
type FreshnessGate struct {
	mu sync.Mutex
	// lastStep is the time of the last call of FreshSince.
	lastStep time.Time
	// pauseEnd is the end of the last pause, and readsSincePause the number of reads seen since then.
	pauseEnd        time.Time
	lastRead        time.Time
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
	if !g.lastStep.IsZero() && now.Sub(g.lastStep) > PauseThreshold {
		g.pauseEnd = now
		g.readsSincePause = 0
	}
	g.lastStep = now
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
