package target

import (
	"net/http"
	"time"

	"hibiscuslane.example/hibiscuslane/instance"
	"hibiscuslane.example/hibiscuslane/standin/reply"
)

// maxJournalEntries bounds the memory of the journal of a long-lived target; the oldest executions are dropped.
const maxJournalEntries = 100_000

// Execution is a request that the target began to execute.
type Execution struct {
	Request string `json:"request"`
	Method  string `json:"method"`
	Path    string `json:"path"`
	// Key is the idempotency key of the request; empty if it had none.
	Key         string               `json:"key,omitempty"`
	Incarnation instance.Incarnation `json:"incarnation"`
	Start       time.Time            `json:"start"`
	// End is nil while the request is executed. It stays nil if the target crashed before the end.
	End *time.Time `json:"end"`
}

type journal struct {
	// dropped is the number of oldest executions that were removed from executions.
	dropped    int
	executions []Execution
}

// recordStart adds an execution to the journal and returns its index for recordEnd.
func (t *Target) recordStart(e Execution) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	j := &t.journal
	j.executions = append(j.executions, e)
	if len(j.executions) > maxJournalEntries {
		j.executions = j.executions[1:]
		j.dropped++
	}
	return j.dropped + len(j.executions) - 1
}

// recordEnd sets the end of the execution with the given index, unless the journal has dropped it.
func (t *Target) recordEnd(index int) {
	end := t.timer.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	if i := index - t.journal.dropped; i >= 0 {
		t.journal.executions[i].End = &end
	}
}

// Journal returns the last maxJournalEntries executions in the order of their start, including those before a reboot
// or crash.
func (t *Target) Journal() []Execution {
	t.mu.Lock()
	defer t.mu.Unlock()
	return append([]Execution{}, t.journal.executions...)
}

type journalResponse struct {
	Requests []Execution `json:"requests"`
}

func (t *Target) serveJournal(w http.ResponseWriter, _ *http.Request) {
	reply.JSON(w, http.StatusOK, journalResponse{Requests: t.Journal()})
}
