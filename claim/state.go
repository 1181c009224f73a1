package claim

import (
	"cmp"
	"encoding/json"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"hibiscuslane.example/hibiscuslane/record"
	"hibiscuslane.example/hibiscuslane/stream"
)

const (
	// Retention is the least time for which a claim is kept, measured on the clock of the log. It is
	// six times the longest deadline of a request, so no holder still sends when its claim expires.
	Retention = time.Hour
	// maxClaims bounds the state: at about 350 bytes each the claims take 18 MB of an entry's 64 MB. It
	// allows 13 keys a second on average over Retention, and bursts beyond.
	maxClaims = 50_000
	// maxAnswers bounds the bytes of all answers in the state.
	maxAnswers = 8 << 20
	maxKey     = 255
	maxTeam    = 255
	maxDigest  = 64
)

// Reasons of verdicts.
const (
	reasonHeld   = "the key is claimed"
	reasonReused = "the key was used with another request"
	reasonFull   = "the state holds the most claims it may"
	reasonAbsent = "the key is not claimed"
	reasonClaim  = "the outcome names another claim"
	reasonHolder = "the outcome is not from the holder of the claim"
	reasonDone   = "the claim has an outcome"
)

// Limits bound the state. All entries must use the same limits, since they decide what a fold does. A
// zero field stands for the default.
type Limits struct {
	Retention time.Duration
	MaxClaims int
	// MaxAnswerBytes bounds all answers, in bytes.
	MaxAnswerBytes int
}

func (l Limits) retention() time.Duration { return cmp.Or(l.Retention, Retention) }

func (l Limits) claims() int { return cmp.Or(l.MaxClaims, maxClaims) }

func (l Limits) answers() int { return cmp.Or(l.MaxAnswerBytes, maxAnswers) }

// Claim is a claimed key.
type Claim struct {
	Key
	Digest Digest `json:"digest"`
	// ID is the record id of the claim; its writer is the holder.
	ID record.ID `json:"id"`
	// Offset orders the claims of the state.
	Offset record.Offset `json:"offset"`
	// LogTime is the time of the claim on the clock of the log.
	LogTime time.Duration `json:"elapsed"`
	// Result is empty until the outcome is folded. It is never notrun, which removes the claim.
	Result Result `json:"result,omitempty"`
	// OutcomeOffset is the offset of the outcome.
	OutcomeOffset record.Offset `json:"settled,omitempty"`
	// Answer is nil when the holder keeps the answer or the state has dropped it.
	Answer *Answer `json:"answer,omitempty"`
	// AnswerInMemory says that the holder keeps the answer in memory.
	AnswerInMemory bool `json:"held,omitempty"`
}

// State is the folded claim stream. The zero value is empty and ready to use.
type State struct {
	// Limits must be set before the first fold.
	Limits Limits

	mu     sync.Mutex
	clock  logClock
	claims map[Key]*Claim
	// order holds claims by offset, oldest first. A claim that was freed stays until it reaches the
	// front or freed exceeds half of the list.
	order []*Claim
	freed int
	// answered holds the claims with an answer by the offset of their outcome, oldest first.
	answered []*Claim
	// bytes is the size of all answers in answered.
	bytes int
}

// Apply implements stream.StateMachine.
func (s *State) Apply(offset record.Offset, envelope record.Envelope) stream.Verdict {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.clock.observe(offset, envelope.ID.Writer, envelope.Time)
	s.expireLocked()
	switch envelope.Kind {
	case KindClaim:
		return s.foldClaimLocked(offset, envelope)
	case KindOutcome:
		return s.foldOutcomeLocked(offset, envelope)
	}
	return stream.Invalid(&InvalidFieldError{Field: "kind", Reason: "is not known"})
}

func (s *State) foldClaimLocked(offset record.Offset, envelope record.Envelope) stream.Verdict {
	var body Body
	if err := record.DecodeBody(envelope, &body); err != nil {
		return stream.Invalid(err)
	}
	if err := body.check(); err != nil {
		return stream.Invalid(err)
	}
	if present, ok := s.claims[body.Key]; ok {
		if present.Digest != body.Digest {
			return stream.Stale(reasonReused)
		}
		return stream.Stale(reasonHeld)
	}
	if len(s.claims) >= s.Limits.claims() {
		return stream.Stale(reasonFull)
	}
	s.addLocked(&Claim{
		Key: body.Key, Digest: body.Digest, ID: envelope.ID, Offset: offset, LogTime: s.clock.elapsed,
	})
	return stream.Applied
}

func (b Body) check() error {
	if err := b.Key.check(); err != nil {
		return err
	}
	if b.Digest == "" || len(b.Digest) > maxDigest {
		return &InvalidFieldError{Field: "digest", Reason: "is empty or too long"}
	}
	return nil
}

func (k Key) check() error {
	if k.Team == "" || len(k.Team) > maxTeam {
		return &InvalidFieldError{Field: "team", Reason: "is empty or too long"}
	}
	if k.Value == "" || len(k.Value) > maxKey {
		return &InvalidFieldError{Field: "key", Reason: "is empty or too long"}
	}
	return nil
}

func (s *State) addLocked(c *Claim) {
	if s.claims == nil {
		s.claims = map[Key]*Claim{}
	}
	s.claims[c.Key] = c
	s.order = append(s.order, c)
}

func (s *State) foldOutcomeLocked(offset record.Offset, envelope record.Envelope) stream.Verdict {
	var body Outcome
	if err := record.DecodeBody(envelope, &body); err != nil {
		return stream.Invalid(err)
	}
	if err := body.check(); err != nil {
		return stream.Invalid(err)
	}
	c, ok := s.claims[body.Key]
	switch {
	case !ok:
		return stream.Stale(reasonAbsent)
	case c.ID != body.ClaimID:
		return stream.Stale(reasonClaim)
	case c.ID.Writer != envelope.ID.Writer:
		return stream.Stale(reasonHolder)
	case c.Result != "":
		return stream.Stale(reasonDone)
	}
	s.settleLocked(offset, c, body)
	return stream.Applied
}

func (o Outcome) check() error {
	if err := o.Key.check(); err != nil {
		return err
	}
	switch o.Result {
	case ResultAnswered:
	case ResultNotRun, ResultUnknown:
		if o.Answer != nil || o.AnswerInMemory {
			return &InvalidFieldError{Field: "answer", Reason: "belongs to answered outcomes only"}
		}
	default:
		return &InvalidFieldError{Field: "result", Reason: "is not known"}
	}
	if o.Answer != nil && !o.Answer.inline() {
		return &InvalidFieldError{Field: "answer", Reason: "is too large"}
	}
	return nil
}

func (s *State) settleLocked(offset record.Offset, c *Claim, body Outcome) {
	if body.Result == ResultNotRun {
		s.freeLocked(c)
		return
	}
	c.Result = body.Result
	c.OutcomeOffset = offset
	c.AnswerInMemory = body.AnswerInMemory
	if body.Answer == nil {
		return
	}
	c.Answer = body.Answer
	s.keepAnswerLocked(c)
}

func (s *State) keepAnswerLocked(c *Claim) {
	s.answered = append(s.answered, c)
	s.bytes += c.Answer.size()
	// Claims that have expired since leave an entry without an answer at the front.
	for len(s.answered) > 0 && (s.bytes > s.Limits.answers() || s.answered[0].Answer == nil) {
		oldest := s.answered[0]
		s.answered = s.answered[1:]
		s.dropAnswerLocked(oldest)
	}
}

// dropAnswerLocked keeps the claim, so the request stays executed at most once.
func (s *State) dropAnswerLocked(c *Claim) {
	if c.Answer == nil {
		return
	}
	s.bytes -= c.Answer.size()
	c.Answer = nil
}

func (s *State) freeLocked(c *Claim) {
	delete(s.claims, c.Key)
	s.freed++
	if s.freed > len(s.order)/2 {
		s.compactLocked()
	}
}

func (s *State) compactLocked() {
	kept := make([]*Claim, 0, len(s.claims))
	for _, c := range s.order {
		if s.claims[c.Key] == c {
			kept = append(kept, c)
		}
	}
	s.order = kept
	s.freed = 0
}

// expireLocked removes the claims older than the retention. The clock never decreases, so the oldest
// claim is at the front.
func (s *State) expireLocked() {
	for len(s.order) > 0 {
		c := s.order[0]
		live := s.claims[c.Key] == c
		if live && s.clock.elapsed-c.LogTime <= s.Limits.retention() {
			return
		}
		s.order = s.order[1:]
		if !live {
			s.freed--
			continue
		}
		delete(s.claims, c.Key)
		s.dropAnswerLocked(c)
	}
}

// Lookup returns a copy of the claim of a key.
func (s *State) Lookup(key Key) (Claim, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c, ok := s.claims[key]
	if !ok {
		return Claim{}, false
	}
	return *c, true
}

// Len returns the number of claims.
func (s *State) Len() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.claims)
}

// Digest implements stream.StateMachine.
func (s *State) Digest() uint64 {
	data, err := s.Snapshot()
	if err != nil {
		return 0
	}
	return xxhash.Sum64(data)
}

type stateImage struct {
	Clock  clockImage `json:"clock"`
	Claims []*Claim   `json:"claims"`
}

// Snapshot implements stream.StateMachine. The claims are in the order of their offsets. They are copied
// first, because encoding a full state takes about 100 ms, in which lookups must not wait.
func (s *State) Snapshot() ([]byte, error) {
	return json.Marshal(s.image())
}

func (s *State) image() stateImage {
	s.mu.Lock()
	defer s.mu.Unlock()
	img := stateImage{Clock: s.clock.image(), Claims: make([]*Claim, 0, len(s.claims))}
	copies := make([]Claim, 0, len(s.claims))
	for _, c := range s.order {
		if s.claims[c.Key] != c {
			continue
		}
		copies = append(copies, *c)
		img.Claims = append(img.Claims, &copies[len(copies)-1])
	}
	return img
}
