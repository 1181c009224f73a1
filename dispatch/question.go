package dispatch

import (
	"context"
	"time"

	"hibiscuslane.example/hibiscuslane/queue"
	"hibiscuslane.example/hibiscuslane/relay"
	"hibiscuslane.example/hibiscuslane/task"
)

// maxAnswerAge is how old an answer about a job that has not ended may be when a later owner has taken over.
const maxAnswerAge = 2 * time.Second

// validity tells what the answer to a caller's question relies on.
type validity string

// Validities of answers.
const (
	validForGood  validity = "good"   // a later owner would answer the same
	validRecently validity = "recent" // a later owner may answer otherwise; the answer may be up to maxAnswerAge old
	validNow      validity = "now"    // only true if there is no later owner
)

// JobState returns the state of a job. A final state is shown only once it is stored.
func (d *Dispatcher) JobState(ctx context.Context, id task.JobID) *relay.Reply {
	reply := d.answer(ctx, func() (*relay.Reply, validity) {
		j := d.jobs[id]
		switch {
		case j == nil || j.Unsubmitted:
			return &relay.Reply{Verdict: relay.Verdict_MISSING}, validNow
		case j.Outcome == "":
			return &relay.Reply{Verdict: relay.Verdict_DONE, State: string(j.State())}, validRecently
		case !j.isDurable():
			return &relay.Reply{Verdict: relay.Verdict_DONE, State: string(task.StateRunning)}, validRecently
		}
		return &relay.Reply{Verdict: relay.Verdict_DONE, State: string(j.Outcome)}, validForGood
	})
	if reply.Verdict == relay.Verdict_MISSING {
		return d.missingReply(id, relay.Verb_STATE)
	}
	return reply
}

// CountWaitingJobs returns the number of open jobs in a queue of which no task has started.
func (d *Dispatcher) CountWaitingJobs(ctx context.Context, name queue.Name) *relay.Reply {
	return d.answer(ctx, func() (*relay.Reply, validity) {
		var waiting int64
		for _, j := range d.openJobs {
			if j.Queue == string(name) && !j.Started {
				waiting++
			}
		}
		return &relay.Reply{Verdict: relay.Verdict_DONE, Waiting: waiting}, validRecently
	})
}

// answer returns the reply to a question, which is called with the lock held. If the store has to confirm first that there is
// no later owner and does not, the request is refused.
func (d *Dispatcher) answer(ctx context.Context, question func() (*relay.Reply, validity)) *relay.Reply {
	reply, valid := d.ask(question)
	if !d.mustConfirm(valid) {
		return reply
	}
	if err := d.ownership.Confirm(ctx, d.epoch); err != nil {
		d.log.Info(eventTermUnconfirmed, "validity", valid, "error", err)
		return refusalReply("the store has not confirmed that this process is the owner", storeRetryDelay)
	}
	reply, _ = d.ask(question)
	return reply
}

func (d *Dispatcher) ask(question func() (*relay.Reply, validity)) (*relay.Reply, validity) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.ledger == nil {
		return refusalReply("the stored jobs are not loaded yet", openRetryDelay), validForGood
	}
	return question()
}

// mustConfirm reports whether the store has to confirm the term before an answer of the given validity is returned.
func (d *Dispatcher) mustConfirm(valid validity) bool {
	switch {
	case d.ownership == nil || valid == validForGood:
		return false
	case valid == validRecently:
		return d.ownership.StoreSilence() > maxAnswerAge
	}
	return true
}
