package election

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestHandoverStopsWork guards against a term that is handed over before it has placed anything or while it has work that
// the change would delay, and against an owner on a slowed instance that keeps the term through a burst.
func TestHandoverStopsWork(t *testing.T) {
	small := Tenure{Cores: 0.2, Age: 3 * time.Second, IsLoaded: true, HasSettled: true}
	larger := Peer{Cores: 0.8}
	change := func(f func(*Tenure)) Tenure {
		c := small
		f(&c)
		return c
	}
	slowed := change(func(c *Tenure) { c.IsSlowed, c.HasWaitingTasks, c.HasSettled = true, true, false })
	for name, c := range map[string]struct {
		tenure  Tenure
		peer    Peer
		resigns bool
	}{
		"larger peer, quiet":              {small, larger, true},
		"peer of the same speed":          {small, Peer{Cores: 0.25}, false},
		"larger peer that is slowed down": {small, Peer{Cores: 0.8 / 5}, false},
		"jobs not loaded":                 {change(func(c *Tenure) { c.IsLoaded = false }), larger, false},
		"workers not reached":             {change(func(c *Tenure) { c.HasSettled = false }), larger, false},
		"tasks wait":                      {change(func(c *Tenure) { c.HasWaitingTasks = true }), larger, false},
		"tasks wait for long":             {change(func(c *Tenure) { c.HasWaitingTasks, c.Age = true, 5*time.Second }), larger, true},
		"handed over a moment ago":        {change(func(c *Tenure) { c.HandedOver = true }), larger, false},
		"slowed down in a burst":          {slowed, larger, true},
		"store silent, peer reaches it":   {change(func(c *Tenure) { c.StoreSilence = 2 * time.Second }), Peer{Cores: 0.2, ReachesStore: true}, true},
		"store silent, peer does not":     {change(func(c *Tenure) { c.StoreSilence = 2 * time.Second }), larger, false},
	} {
		require.Equal(t, c.resigns, c.tenure.ResignReason(c.peer) != "", name)
	}
}

// TestHandoverToAndFro guards against two owners that pass the term to each other for ever because each in turn is slowed
// down, or finds the other one larger.
func TestHandoverToAndFro(t *testing.T) {
	const day = time.Minute
	for _, slowed := range []bool{false, true} {
		handovers, age, handedOver := 0, time.Duration(0), false
		for range day / (100 * time.Millisecond) {
			age += 100 * time.Millisecond
			tenure := Tenure{Cores: 0.2, IsSlowed: slowed, Age: age, HandedOver: handedOver, IsLoaded: true, HasSettled: true}
			if tenure.ResignReason(Peer{Cores: 0.8}) != "" {
				handovers, age, handedOver = handovers+1, 0, true
			}
		}
		require.LessOrEqual(t, handovers, 1+int(day/rehandoverAgeSlowed), "slowed %v", slowed)
	}
}
