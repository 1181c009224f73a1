package history

import (
	"math"
	"time"

	"github.com/anishathalye/porcupine"
)

const (
	// maxAnswerAge is how old the answer may be that a job is pending or running.
	maxAnswerAge = 2 * time.Second
	// searchTimeout bounds the search for an order of the calls about one job. What is not decided by then counts as consistent.
	searchTimeout = time.Second
)

// States of the model of a job, beside those that callers see.
const (
	modelAbsent = "absent"
	modelBarred = "barred" // its cancel was stored before a submission
	modelOpen   = "open"
)

// operation is the input of the model; its output is the answer.
type operation struct {
	verb Kind
}

// checkAnswers checks what callers were told about a job, and that it did not run if every submission was refused.
func (c *checker) checkAnswers(id string, j *jobView) {
	c.checkRefused(id, j)
	for call, answer := range j.answers {
		if j.accepted >= 0 && call > j.accepted && c.events[answer].Verdict == VerdictMissing {
			c.report(RuleAccepted, []int{j.accepted, call, answer}, "job %s was accepted and is unknown", id)
			return
		}
	}
	var operations []porcupine.Operation
	var seen []int
	for _, call := range j.calls {
		o, ok := c.operationOf(j, call)
		if !ok {
			continue
		}
		operations, seen = append(operations, o), append(seen, call)
		if answer, answered := j.answers[call]; answered {
			seen = append(seen, answer)
		}
	}
	if len(operations) > 0 && porcupine.CheckOperationsTimeout(jobModel, operations, searchTimeout) == porcupine.Illegal {
		c.report(RuleAnswers, seen, "the answers about job %s contradict each other", id)
	}
}

// operationOf returns the call with the given index in the form of the model, and false if it says nothing about the job. Times are
// indexes of events. What has no answer may take effect at any time.
func (c *checker) operationOf(j *jobView, call int) (porcupine.Operation, bool) {
	e, reply := c.events[call], Event{Verdict: VerdictUnknown}
	answer, answered := j.answers[call]
	if answered {
		reply = c.events[answer]
	}
	o := porcupine.Operation{Input: operation{verb: e.Kind}, Output: reply, Call: int64(call), Return: math.MaxInt64}
	if reply.Verdict != VerdictUnknown {
		o.Return = int64(answer)
	}
	if reply.State == StatePending || reply.State == StateRunning {
		o.Call = int64(c.firstEventSince(e.At - milliseconds(maxAnswerAge)))
		return o, j.accepted >= 0 && call > j.accepted // a submission that is refused in the end is pending before
	}
	isStateless := e.Kind == KindAsk && reply.Verdict != VerdictMissing && reply.State == ""
	return o, reply.Verdict != VerdictRefused && !isStateless
}

// firstEventSince returns the index of the first event at or after a time.
func (c *checker) firstEventSince(at int64) int {
	for i, e := range c.events {
		if e.At >= at {
			return i
		}
	}
	return len(c.events)
}

// checkRefused checks that a job has not run of which every submission was refused.
func (c *checker) checkRefused(id string, j *jobView) {
	if len(j.starts) == 0 {
		return
	}
	refused := []int{}
	for _, call := range j.calls {
		if c.events[call].Kind != KindSubmit {
			continue
		}
		answer, answered := j.answers[call]
		if !answered || c.events[answer].Verdict != VerdictRefused {
			return
		}
		refused = append(refused, answer)
	}
	if len(refused) > 0 {
		c.report(RuleRefused, append(refused, j.starts[0]), "job %s runs although every submission was refused", id)
	}
}

// jobModel is a job as callers may see it. The owner ends an open job at any time.
var jobModel = (&porcupine.NondeterministicModel{
	Init: func() []any { return []any{modelAbsent} },
	Step: func(state, input, output any) []any {
		from, answer := state.(string), output.(Event)
		if verb := input.(operation).verb; verb == KindSubmit {
			return submitStates(from, answer.Verdict)
		} else if verb == KindCancel {
			return cancelStates(from, answer.Verdict)
		}
		return askStates(from, answer)
	},
}).ToModel()

// submitStates returns the states after a submission. A submission of a known job changes nothing.
func submitStates(from string, verdict Verdict) []any {
	switch {
	case from == modelAbsent && verdict == VerdictDone:
		return []any{modelOpen}
	case from == modelAbsent && verdict == VerdictUnknown:
		return []any{modelOpen, modelAbsent}
	case from == modelBarred && verdict == VerdictDone:
		return nil
	}
	return []any{from}
}

// cancelStates returns the states after a cancel.
func cancelStates(from string, verdict Verdict) []any {
	switch {
	case verdict == VerdictMissing && from != modelAbsent && from != modelBarred:
		return nil
	case verdict == VerdictMissing:
		return []any{modelBarred}
	case verdict == VerdictDone && (from == modelAbsent || from == modelBarred):
		return nil
	case verdict == VerdictDone && from == modelOpen:
		return []any{string(StateCancelled), string(StateDone), string(StateFailed)}
	case verdict == VerdictUnknown && from == modelOpen:
		return []any{string(StateCancelled), from}
	case verdict == VerdictUnknown && from == modelAbsent:
		return []any{modelBarred, from}
	}
	return []any{from}
}

// askStates returns the states in which a caller may have the answer.
func askStates(from string, answer Event) []any {
	switch {
	case answer.Verdict == VerdictMissing && (from == modelAbsent || from == modelBarred):
		return []any{from}
	case answer.Verdict == VerdictMissing:
		return nil
	case answer.State.isFinal() && (from == string(answer.State) || from == modelOpen && answer.State != StateCancelled):
		return []any{string(answer.State)}
	case !answer.State.isFinal() && from == modelOpen:
		return []any{from}
	}
	return nil
}
