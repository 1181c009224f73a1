// Package simulation runs entries of "hibiscuslane run" in one process, without a network and on clocks that it moves itself, and
// records what callers, workers and the operator see as a history for package history. The election, the ledger, the dispatcher and the
// follower of the operator are the real ones; the store is that of standin/fabric; workers, machines and callers are emulated here.
// Draw draws what happens from a seed, Run carries it out, and Shrink leaves out what a violation does not need.
package simulation

import (
	"container/heap"
	"fmt"
	"net/url"
	"slices"
	"strings"
	"sync"
	"time"

	"hibiscuslane.example/hibiscuslane/event"
	"hibiscuslane.example/hibiscuslane/history"
	"hibiscuslane.example/hibiscuslane/standin/fabric"
)

const (
	// tick is the step of the clocks, and the time that a message takes.
	tick = 10 * time.Millisecond
	// lateAfter is how long after it was sent an order counts as late.
	lateAfter = time.Second
)

// startTime is when each run begins on the clocks of the entries.
var startTime = time.Date(2030, 1, 1, 0, 0, 0, 0, time.UTC)

// world is one run. Only its goroutine uses it, while no other one is running, except for what mu guards.
type world struct {
	plan    Plan
	log     event.Log
	now     time.Time
	queue   timeline
	queued  int
	store   fabric.Store
	entries []*entry
	former  []*entry           // those that were replaced
	workers map[string]*worker // by machine
	// machines holds all machines, in order.
	machines []*machine
	faults   []*fault
	// storeChanged is set when records may have been appended since waiting reads were last served.
	storeChanged bool
	waitingReads []*waitingRead
	calls        int // calls of callers so far
	jobs         map[int]*callersJob
	events       []history.Event

	mu      sync.Mutex
	outbox  []*call
	replies []callerReply
}

// entryAt is something that happens at a time.
type entryAt struct {
	at    time.Time
	order int
	do    func()
}

// timeline holds what happens later, by time and order of addition. It implements heap.Interface.
type timeline []entryAt

func (t timeline) Len() int { return len(t) }
func (t timeline) Less(i, j int) bool {
	if !t[i].at.Equal(t[j].at) {
		return t[i].at.Before(t[j].at)
	}
	return t[i].order < t[j].order
}
func (t timeline) Swap(i, j int) { t[i], t[j] = t[j], t[i] }

// Push implements heap.Interface.
func (t *timeline) Push(x any) { *t = append(*t, x.(entryAt)) }

// Pop implements heap.Interface.
func (t *timeline) Pop() any {
	last := len(*t) - 1
	e := (*t)[last]
	(*t)[last] = entryAt{}
	*t = (*t)[:last]
	return e
}

// at lets something happen at a time, or in the present tick if that has passed.
func (w *world) at(at time.Time, do func()) {
	w.queued++
	heap.Push(&w.queue, entryAt{at: at, order: w.queued, do: do})
}

func (w *world) after(d time.Duration, do func()) { w.at(w.now.Add(d), do) }

func (w *world) record(e history.Event) {
	e.At = w.now.Sub(startTime).Milliseconds()
	w.events = append(w.events, e)
}

func (w *world) recordFault(format string, args ...any) {
	w.record(history.Event{Process: history.ProcessFaults, Kind: history.KindFault, Text: fmt.Sprintf(format, args...)})
}

// run carries out the plan and returns the history.
func (w *world) run() []history.Event {
	w.publishConfig(1)
	for n := range workers + spareMachines {
		w.addMachine(n)
	}
	for n := range entries {
		w.startEntry(n)
	}
	for _, s := range w.plan.Steps {
		w.at(startTime.Add(time.Duration(s.At)*time.Millisecond), func() { w.perform(s) })
	}
	for _, at := range []time.Duration{finalAsk, finalAsk + 700*time.Millisecond} {
		w.at(startTime.Add(at), w.askAll)
	}
	for end := startTime.Add(endOfRun * time.Millisecond); w.now.Before(end); {
		w.step()
	}
	w.endAll()
	return w.events
}

// step moves the time by a tick and lets everything happen that is due.
func (w *world) step() {
	w.now = w.now.Add(tick)
	for _, e := range w.entries {
		e.advance(tick)
	}
	for {
		awaitIdle()
		did := w.handleReplies()
		for _, c := range w.takeOutbox() {
			w.dispatch(c)
			did = true
		}
		for len(w.queue) > 0 && !w.queue[0].at.After(w.now) {
			heap.Pop(&w.queue).(entryAt).do()
			did = true
		}
		for _, m := range w.machines {
			if k := w.workers[m.id]; k != nil {
				k.expire()
			}
		}
		w.serveWaitingReads()
		if !did {
			return
		}
	}
}

// endAll ends all processes and waits until nothing of them runs.
func (w *world) endAll() {
	for _, e := range w.entries {
		e.end()
	}
	for range endTicks {
		for _, e := range slices.Concat(w.entries, w.former) {
			e.clock.Advance(time.Second)
		}
		awaitIdle()
	}
}

// endTicks is the number of seconds that the clocks go on at the end, so that whatever sleeps notices the end of its process.
const endTicks = 3

// queryOf returns the query of a URI.
func queryOf(uri string) url.Values {
	_, query, _ := strings.Cut(uri, "?")
	values, err := url.ParseQuery(query)
	if err != nil {
		return nil // a call without parameters gets the answer that such a call deserves
	}
	return values
}
