package claim

import (
	"encoding/json"
	"sort"
)

// Restore implements stream.StateMachine. If the snapshot is malformed, the state is not changed.
func (s *State) Restore(data []byte) error {
	var snap stateSnapshot
	if err := json.Unmarshal(data, &snap); err != nil {
		return &InvalidFieldError{Field: "state", Reason: "is malformed: " + err.Error()}
	}
	if err := snap.validate(); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.clock = snap.Clock.restore()
	s.claims = make(map[Key]*Claim, len(snap.Claims))
	s.byOffset, s.withAnswer = nil, nil
	s.freedCount, s.answerBytes = 0, 0
	for _, c := range snap.Claims {
		s.addClaimLocked(c)
		if c.Answer != nil {
			s.withAnswer = append(s.withAnswer, c)
			s.answerBytes += c.Answer.size()
		}
	}
	sort.Slice(s.withAnswer, func(i, j int) bool { return s.withAnswer[i].OutcomeOffset < s.withAnswer[j].OutcomeOffset })
	return nil
}

// validate checks the keys and the order of the claims.
func (snap stateSnapshot) validate() error {
	seen := make(map[Key]bool, len(snap.Claims))
	for i, c := range snap.Claims {
		if c == nil {
			return &InvalidFieldError{Field: "claims", Reason: "contains null"}
		}
		if err := c.validate(); err != nil {
			return err
		}
		if seen[c.Key] {
			return &InvalidFieldError{Field: "claims", Reason: "contains a key twice"}
		}
		seen[c.Key] = true
		if i > 0 && c.Offset <= snap.Claims[i-1].Offset {
			return &InvalidFieldError{Field: "claims", Reason: "is not in the order of offsets"}
		}
	}
	return nil
}
