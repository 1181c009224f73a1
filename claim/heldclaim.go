package claim

import (
	"sync/atomic"

	"hibiscuslane.example/hibiscuslane/record"
)

// HeldClaim is a claim that this entry holds. Exactly one of its methods settles it; later calls have no
// effect. The outcome is appended in the background, so that the caller does not wait for the log.
type HeldClaim struct {
	claimer *Claimer
	key     Key
	id      record.ID
	settled atomic.Bool
}

// ID returns the record id of the claim.
func (h *HeldClaim) ID() record.ID { return h.id }

// RecordAnswered records that the request was executed. A nil answer means that the answer cannot be
// repeated, for example because it was streamed.
func (h *HeldClaim) RecordAnswered(answer *Answer) {
	outcome := Outcome{Result: ResultAnswered}
	switch {
	case answer == nil:
	case answer.inline():
		outcome.Answer = answer
	default:
		outcome.AnswerInMemory = true
	}
	h.settle(outcome, answer)
}

// RecordNotRun frees the key. Call it only if no byte of the request was written or the target refused it.
func (h *HeldClaim) RecordNotRun() { h.settle(Outcome{Result: ResultNotRun}, nil) }

// RecordUnknown records that the request may have been executed; the key stays used.
func (h *HeldClaim) RecordUnknown() { h.settle(Outcome{Result: ResultUnknown}, nil) }

func (h *HeldClaim) settle(outcome Outcome, answer *Answer) {
	if h.settled.Swap(true) {
		return
	}
	if outcome.AnswerInMemory {
		outcome.AnswerInMemory = h.claimer.answers.put(h.id, answer)
	}
	outcome.Key = h.key
	outcome.ClaimID = h.id
	h.claimer.outcomes.put(outcome)
}
