package target

import (
	"net/http"
	"time"

	"hibiscuslane.example/hibiscuslane/instance"
	"hibiscuslane.example/hibiscuslane/standin/reply"
)

// journalLimit bounds the memory of a journal in long runs; the oldest executions are dropped.
const journalLimit = 100_000

// Execution is a request that the target executed, or began to execute.
type Execution struct {
	Request string `json:"request"`
	Method  string `json:"method"`
	Path    string `json:"path"`
	// Key is the idempotency key, if the request had one.
	Key         string               `json:"key,omitempty"`
	Incarnation instance.Incarnation `json:"incarnation"`
	Start       time.Time            `json:"start"`
	// End is nil while the request runs, and for good if a crash ended it.
	End *time.Time `json:"end"`
}

type journal struct {
	// dropped is the number of executions that were dropped from the front.
	dropped    int
	executions []Execution
}

func (t *Target) record(e Execution) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	j := &t.journal
	j.executions = append(j.executions, e)
	if len(j.executions) > journalLimit {
		j.executions = j.executions[1:]
		j.dropped++
	}
	return j.dropped + len(j.executions) - 1
}

func (t *Target) finish(index int) {
	end := t.timer.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	if i := index - t.journal.dropped; i >= 0 {
		t.journal.executions[i].End = &end
	}
}

// Journal returns the executions in the order of their start. It outlives reboots.
func (t *Target) Journal() []Execution {
	t.mu.Lock()
	defer t.mu.Unlock()
	return append([]Execution{}, t.journal.executions...)
}

type journalAnswer struct {
	Requests []Execution `json:"requests"`
}

func (t *Target) serveJournal(w http.ResponseWriter, _ *http.Request) {
	reply.JSON(w, http.StatusOK, journalAnswer{Requests: t.Journal()})
}
