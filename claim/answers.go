package claim

import (
	"sync"

	"hibiscuslane.example/hibiscuslane/record"
)

// maxHeld bounds the bytes of the answers that a holder keeps in memory.
const maxHeld = 16 << 20

// answerStore keeps the answers that are too large for the log. The oldest answers are dropped first.
// The zero value is empty and ready to use.
type answerStore struct {
	mu      sync.Mutex
	answers map[record.ID]*Answer
	// order lists the keys of answers, oldest first.
	order []record.ID
	bytes int
}

// put reports whether the answer is kept.
func (s *answerStore) put(id record.ID, answer *Answer) bool {
	size := answer.size()
	if size > maxHeld {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.answers == nil {
		s.answers = map[record.ID]*Answer{}
	}
	s.answers[id] = answer
	s.order = append(s.order, id)
	s.bytes += size
	for s.bytes > maxHeld {
		oldest := s.order[0]
		s.order = s.order[1:]
		s.bytes -= s.answers[oldest].size()
		delete(s.answers, oldest)
	}
	return true
}

func (s *answerStore) get(id record.ID) *Answer {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.answers[id]
}
