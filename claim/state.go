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
	// Retention is the minimum time for which a claim is kept, measured in log time (logClock). It is
	// six times the longest deadline of a request, so that no holder still sends the request when its
	// claim expires.
	Retention = time.Hour
	// defaultMaxClaims bounds the memory of the state: at about 350 bytes each, the claims take 18 MB of
	// the 64 MB of an entry. It allows an average of 13 keys a second over Retention, with higher
	// bursts.
	defaultMaxClaims = 50_000
	// defaultMaxAnswerBytes bounds the total size of all answers in the state.
	defaultMaxAnswerBytes = 8 << 20
	// maxKeyLength, maxTeamLength and maxDigestLength are in bytes.
	maxKeyLength    = 255
	maxTeamLength   = 255
	maxDigestLength = 64
)

// Reasons of stale verdicts.
const (
	reasonClaimed    = "the key is claimed"
	reasonKeyReused  = "the key was used with another request"
	reasonLimit      = "the state holds the most claims it may"
	reasonNotClaimed = "the key is not claimed"
	reasonOtherClaim = "the outcome names another claim"
	reasonNotHolder  = "the outcome is not from the holder of the claim"
	reasonHasOutcome = "the claim has an outcome"
)

// Limits bounds the state. All entries must use the same limits, because the effect of a record depends
// on them. A zero field stands for the default.
type Limits struct {
	Retention time.Duration
	MaxClaims int
	// MaxAnswerBytes bounds the total size of all answers.
	MaxAnswerBytes int
}

func (l Limits) retention() time.Duration { return cmp.Or(l.Retention, Retention) }

func (l Limits) maxClaims() int { return cmp.Or(l.MaxClaims, defaultMaxClaims) }

func (l Limits) maxAnswerBytes() int { return cmp.Or(l.MaxAnswerBytes, defaultMaxAnswerBytes) }

// Claim is a claimed key with the outcome of its request, if it is known.
type Claim struct {
	Key
	Digest Digest `json:"digest"`
	// ID is the id of the claim record. The writer of the record is the holder.
	ID record.ID `json:"id"`
	// Offset is the offset of the claim record, by which the claims are ordered.
	Offset record.Offset `json:"offset"`
	// LogTime is the log time of the claim record.
	LogTime time.Duration `json:"elapsed"`
	// Result is empty until the outcome record is applied. It is never notrun, because that removes
	// the claim.
	Result Result `json:"result,omitempty"`
	// OutcomeOffset is the offset of the outcome record.
	OutcomeOffset record.Offset `json:"settled,omitempty"`
	// Answer is the answer of the target. It is nil if there is no outcome, if the outcome record contains no
	// answer or if the state has dropped it.
	Answer *Answer `json:"answer,omitempty"`
	// AnswerInMemory is true if the holder keeps the answer in memory.
	AnswerInMemory bool `json:"held,omitempty"`
}

// State is the replicated state of all claims, built from the records of the claim stream. The zero value
// is empty and ready to use.
type State struct {
	// Limits must be set before the first call of Apply.
	Limits Limits

	mu     sync.Mutex
	clock  logClock
	claims map[Key]*Claim
	// byOffset contains the claims in the order of their offsets, oldest first. It still contains freed
	// claims until they reach the front or freedCount exceeds half of the list.
	byOffset   []*Claim
	freedCount int
	// withAnswer contains the claims with an answer in the order of their outcome records, oldest
	// first. It still contains expired claims, without their answers, until they reach the front.
	withAnswer []*Claim
	// answerBytes is the total size of the answers of withAnswer.
	answerBytes int
}

// Apply implements stream.StateMachine.
func (s *State) Apply(offset record.Offset, envelope record.Envelope) stream.Verdict {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.clock.advance(offset, envelope.ID.Writer, envelope.Time)
	s.expireLocked()
	switch envelope.Kind {
	case KindClaim:
		return s.applyClaimLocked(offset, envelope)
	case KindOutcome:
		return s.applyOutcomeLocked(offset, envelope)
	}
	return stream.Invalid(&InvalidFieldError{Field: "kind", Reason: "is not known"})
}

func (s *State) applyClaimLocked(offset record.Offset, envelope record.Envelope) stream.Verdict {
	var body Body
	if err := record.DecodeBody(envelope, &body); err != nil {
		return stream.Invalid(err)
	}
	if err := body.validate(); err != nil {
		return stream.Invalid(err)
	}
	if existing, ok := s.claims[body.Key]; ok {
		if existing.Digest != body.Digest {
			return stream.Stale(reasonKeyReused)
		}
		return stream.Stale(reasonClaimed)
	}
	if len(s.claims) >= s.Limits.maxClaims() {
		return stream.Stale(reasonLimit)
	}
	s.addClaimLocked(&Claim{
		Key: body.Key, Digest: body.Digest, ID: envelope.ID, Offset: offset, LogTime: s.clock.logTime,
	})
	return stream.Applied
}

func (b Body) validate() error {
	if err := b.Key.validate(); err != nil {
		return err
	}
	if b.Digest == "" || len(b.Digest) > maxDigestLength {
		return &InvalidFieldError{Field: "digest", Reason: "is empty or too long"}
	}
	return nil
}

func (k Key) validate() error {
	if k.Team == "" || len(k.Team) > maxTeamLength {
		return &InvalidFieldError{Field: "team", Reason: "is empty or too long"}
	}
	if k.Value == "" || len(k.Value) > maxKeyLength {
		return &InvalidFieldError{Field: "key", Reason: "is empty or too long"}
	}
	return nil
}

func (s *State) addClaimLocked(c *Claim) {
	if s.claims == nil {
		s.claims = map[Key]*Claim{}
	}
	s.claims[c.Key] = c
	s.byOffset = append(s.byOffset, c)
}

func (s *State) applyOutcomeLocked(offset record.Offset, envelope record.Envelope) stream.Verdict {
	var body Outcome
	if err := record.DecodeBody(envelope, &body); err != nil {
		return stream.Invalid(err)
	}
	if err := body.validate(); err != nil {
		return stream.Invalid(err)
	}
	c, ok := s.claims[body.Key]
	switch {
	case !ok:
		return stream.Stale(reasonNotClaimed)
	case c.ID != body.ClaimID:
		return stream.Stale(reasonOtherClaim)
	case c.ID.Writer != envelope.ID.Writer:
		return stream.Stale(reasonNotHolder)
	case c.Result != "":
		return stream.Stale(reasonHasOutcome)
	}
	s.recordOutcomeLocked(offset, c, body)
	return stream.Applied
}

func (o Outcome) validate() error {
	if err := o.Key.validate(); err != nil {
		return err
	}
	switch o.Result {
	case ResultAnswered:
	case ResultNotRun, ResultUnknown:
		if o.Answer != nil || o.AnswerInMemory {
			return &InvalidFieldError{Field: "answer", Reason: "is allowed for answered outcomes only"}
		}
	default:
		return &InvalidFieldError{Field: "result", Reason: "is not known"}
	}
	if o.Answer != nil && !o.Answer.fitsInline() {
		return &InvalidFieldError{Field: "answer", Reason: "is too large"}
	}
	return nil
}

func (s *State) recordOutcomeLocked(offset record.Offset, c *Claim, body Outcome) {
	if body.Result == ResultNotRun {
		s.freeKeyLocked(c)
		return
	}
	c.Result = body.Result
	c.OutcomeOffset = offset
	c.AnswerInMemory = body.AnswerInMemory
	if body.Answer == nil {
		return
	}
	c.Answer = body.Answer
	s.storeAnswerLocked(c)
}

func (s *State) storeAnswerLocked(c *Claim) {
	s.withAnswer = append(s.withAnswer, c)
	s.answerBytes += c.Answer.size()
	// Also remove claims at the front that have lost their answer because they expired.
	for len(s.withAnswer) > 0 && (s.answerBytes > s.Limits.maxAnswerBytes() || s.withAnswer[0].Answer == nil) {
		oldest := s.withAnswer[0]
		s.withAnswer = s.withAnswer[1:]
		s.dropAnswerLocked(oldest)
	}
}

// dropAnswerLocked removes the answer of a claim. The claim itself is kept, so that the request is still
// executed at most once.
func (s *State) dropAnswerLocked(c *Claim) {
	if c.Answer == nil {
		return
	}
	s.answerBytes -= c.Answer.size()
	c.Answer = nil
}

// freeKeyLocked removes a claim, so that its key can be claimed again.
func (s *State) freeKeyLocked(c *Claim) {
	delete(s.claims, c.Key)
	s.freedCount++
	if s.freedCount > len(s.byOffset)/2 {
		s.compactLocked()
	}
}

func (s *State) compactLocked() {
	kept := make([]*Claim, 0, len(s.claims))
	for _, c := range s.byOffset {
		if s.claims[c.Key] == c {
			kept = append(kept, c)
		}
	}
	s.byOffset = kept
	s.freedCount = 0
}

// expireLocked removes the claims that are older than the retention. Log time never decreases, so the
// oldest claim is at the front of byOffset.
func (s *State) expireLocked() {
	for len(s.byOffset) > 0 {
		c := s.byOffset[0]
		live := s.claims[c.Key] == c
		if live && s.clock.logTime-c.LogTime <= s.Limits.retention() {
			return
		}
		s.byOffset = s.byOffset[1:]
		if !live {
			s.freedCount--
			continue
		}
		delete(s.claims, c.Key)
		s.dropAnswerLocked(c)
	}
}

// Lookup returns a copy of the claim of a key. It returns false if the key is not claimed.
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

type stateSnapshot struct {
	Clock  clockSnapshot `json:"clock"`
	Claims []*Claim      `json:"claims"`
}

// Snapshot implements stream.StateMachine. The claims are in the order of their offsets. They are copied before
// they are encoded, because encoding a full state takes about 100 ms, during which lookups must not be
// blocked.
func (s *State) Snapshot() ([]byte, error) {
	return json.Marshal(s.copyState())
}

func (s *State) copyState() stateSnapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	snap := stateSnapshot{Clock: s.clock.snapshot(), Claims: make([]*Claim, 0, len(s.claims))}
	copies := make([]Claim, 0, len(s.claims))
	for _, c := range s.byOffset {
		if s.claims[c.Key] != c {
			continue
		}
		copies = append(copies, *c)
		snap.Claims = append(snap.Claims, &copies[len(copies)-1])
	}
	return snap
}
