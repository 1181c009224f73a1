package claim

import (
	"sync/atomic"

	"hibiscuslane.example/hibiscuslane/record"
)

// HeldClaim is a claim that this entry holds. The first call of RecordAnswered, RecordNotRun or
// RecordUnknown determines the outcome; later calls have no effect. The outcome is appended in the
// background, so that the caller does not wait for the log.
type HeldClaim struct {
	claimer  *Claimer
	key      Key
	id       record.ID
	recorded atomic.Bool
}

// ID returns the record id of the claim.
func (h *HeldClaim) ID() record.ID { return h.id }

// RecordAnswered records that the request was executed. A nil answer means that the answer cannot be
// replayed, for example because it was streamed.
func (h *HeldClaim) RecordAnswered(answer *Answer) {
	outcome := Outcome{Result: ResultAnswered}
	switch {
	case answer == nil:
	case answer.fitsInline():
		outcome.Answer = answer
	default:
		outcome.AnswerInMemory = true
	}
	h.recordOutcome(outcome, answer)
}

// RecordNotRun records that the request was not executed, which frees the key. It may be called only if
// no byte of the request was sent or the target refused it.
func (h *HeldClaim) RecordNotRun() { h.recordOutcome(Outcome{Result: ResultNotRun}, nil) }

// RecordUnknown records that the request may have been executed. The key stays claimed.
func (h *HeldClaim) RecordUnknown() { h.recordOutcome(Outcome{Result: ResultUnknown}, nil) }

func (h *HeldClaim) recordOutcome(outcome Outcome, answer *Answer) {
	if h.recorded.Swap(true) {
		return
	}
	if outcome.AnswerInMemory {
		outcome.AnswerInMemory = h.claimer.answers.put(h.id, answer)
	}
	outcome.Key = h.key
	outcome.ClaimID = h.id
	h.claimer.outcomes.enqueue(outcome)
}
