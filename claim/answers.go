package claim

import (
	"sync"

	"hibiscuslane.example/hibiscuslane/record"
)

// maxInMemoryBytes bounds the total size of the answers that an entry keeps in memory.
const maxInMemoryBytes = 16 << 20

// answerStore keeps the answers that are too large for the log in memory. If it exceeds
// maxInMemoryBytes, it drops the oldest answers. The zero value is empty and ready to use.
type answerStore struct {
	mu      sync.Mutex
	answers map[record.ID]*Answer
	// ids lists the keys of answers, oldest first.
	ids   []record.ID
	bytes int
}

// put stores an answer. It returns false if the answer is too large to be kept.
func (s *answerStore) put(id record.ID, answer *Answer) bool {
	size := answer.size()
	if size > maxInMemoryBytes {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.answers == nil {
		s.answers = map[record.ID]*Answer{}
	}
	s.answers[id] = answer
	s.ids = append(s.ids, id)
	s.bytes += size
	for s.bytes > maxInMemoryBytes {
		oldest := s.ids[0]
		s.ids = s.ids[1:]
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
