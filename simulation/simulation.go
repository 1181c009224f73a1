package simulation

import (
	"cmp"
	"slices"

	"hibiscuslane.example/hibiscuslane/event"
	"hibiscuslane.example/hibiscuslane/history"
)

// Limits are those of the platform that a run emulates.
var Limits = history.Limits{HolderChange: holderChange}

// Run carries out a plan and returns the history. The program must be limited to one processor (see Exclusive).
func Run(p Plan, log event.Log) []history.Event {
	w := &world{plan: p, log: log, now: startTime, workers: map[string]*worker{}, jobs: map[int]*callersJob{}}
	return w.run()
}

func sortReplies(list []callerReply) {
	slices.SortStableFunc(list, func(a, b callerReply) int { return cmp.Compare(a.number, b.number) })
}
