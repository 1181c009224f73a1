package claim

import (
	"encoding/json"
	"sort"
)

// Restore implements stream.StateMachine. A malformed snapshot leaves the state as it is.
func (s *State) Restore(data []byte) error {
	var img stateImage
	if err := json.Unmarshal(data, &img); err != nil {
		return &InvalidFieldError{Field: "state", Reason: "is malformed: " + err.Error()}
	}
	if err := img.check(); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.clock = img.Clock.clock()
	s.claims = make(map[Key]*Claim, len(img.Claims))
	s.order, s.answered = nil, nil
	s.freed, s.bytes = 0, 0
	for _, c := range img.Claims {
		s.addLocked(c)
		if c.Answer != nil {
			s.answered = append(s.answered, c)
			s.bytes += c.Answer.size()
		}
	}
	sort.Slice(s.answered, func(i, j int) bool { return s.answered[i].OutcomeOffset < s.answered[j].OutcomeOffset })
	return nil
}

func (img stateImage) check() error {
	seen := make(map[Key]bool, len(img.Claims))
	for i, c := range img.Claims {
		if c == nil {
			return &InvalidFieldError{Field: "claims", Reason: "holds null"}
		}
		if err := c.check(); err != nil {
			return err
		}
		if seen[c.Key] {
			return &InvalidFieldError{Field: "claims", Reason: "holds a key twice"}
		}
		seen[c.Key] = true
		if i > 0 && c.Offset <= img.Claims[i-1].Offset {
			return &InvalidFieldError{Field: "claims", Reason: "is not in the order of offsets"}
		}
	}
	return nil
}
