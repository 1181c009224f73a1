package dispatch

import (
	"context"
	"errors"
	"time"

	"hibiscuslane.example/hibiscuslane/ledger"
	"hibiscuslane.example/hibiscuslane/queue"
	"hibiscuslane.example/hibiscuslane/relay"
	"hibiscuslane.example/hibiscuslane/task"
	"hibiscuslane.example/hibiscuslane/team"
)

const (
	// maxAppendDelay is how long the store may leave an append unanswered before new jobs are refused. A
	// slow store answers in about 0.4 s.
	maxAppendDelay = 700 * time.Millisecond
	// maxQueueDelay is how long writes may wait for their turn and for the store before new jobs are refused. It is longer
	// than two appends of a slow store take, and leaves callers the time for another attempt.
	maxQueueDelay = 1200 * time.Millisecond
	// storeRetryDelay is when a caller may try again after a refusal because of the store.
	storeRetryDelay = time.Second
)

// Submit accepts a job of a team, or of none if the name of the team is empty. It returns once the job is stored or refused, or
// ctx ends. A job with a known id is not added again.
func (d *Dispatcher) Submit(ctx context.Context, name queue.Name, owner team.Name, id task.JobID, spec task.Spec) *relay.Reply {
	result, reply := d.addJob(name, owner, id, spec)
	if reply != nil {
		return reply
	}
	return d.awaitWrite(ctx, result)
}

// addJob adds a job and returns a channel for the result of its first write, or a reply if there is nothing
// to wait for.
func (d *Dispatcher) addJob(name queue.Name, owner team.Name, id task.JobID, spec task.Spec) (<-chan error, *relay.Reply) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.ledger == nil {
		return nil, refusalReply("the stored jobs are not loaded yet", openRetryDelay)
	}
	now := d.clock.Now()
	if j := d.jobs[id]; j != nil {
		switch {
		case j.Unsubmitted:
			return nil, refusalReply("the job was cancelled before it was submitted", d.retryAfterCancel(j, now))
		case j.stored:
			return nil, &relay.Reply{Verdict: relay.Verdict_DONE}
		}
		return d.watchWrite(j), nil
	}
	q, ok := d.config.Queue(name)
	if !ok {
		return nil, refusalReply("the queue is not configured yet", openRetryDelay)
	}
	if reply := d.refuseTeam(owner, id, &spec, now); reply != nil {
		return nil, reply
	}
	j := &job{Job: task.New(id, string(name), q.Pool, spec, now), queue: q}
	if reply := d.refuseWrite(); reply != nil {
		return nil, d.spaceRetry(reply, j, now)
	}
	j.Team = owner
	if reply := d.refuseOverload(j, now); reply != nil {
		return nil, reply
	}
	j.AcceptedAt = d.takeRefusal(id, now)
	j.Policy = task.Policy{MaxAttempts: q.MaxAttempts, Priority: q.Priority, MaxStretch: q.MaxStretch, LatencyAllowance: q.LatencyAllowance, NeedsAdvice: q.NeedsAdvice}
	d.jobs[id] = j
	d.insertOpenJob(j)
	d.recordArrival(j, now)
	d.counters.AcceptedJobs++
	d.log.Info(eventJobAccepted, "job", id, "queue", name, "team", owner, "version", d.config.Version, "steps", len(spec.Steps), "lasting", spec.HasLongRunningStep(), "open", len(d.openJobs))
	return d.watchFirstWrite(j), nil
}

// retryAfterCancel returns when the submission of an unsubmitted job may be tried again: once its cancel is forgotten, or soon
// if the store may not take the cancel.
func (d *Dispatcher) retryAfterCancel(j *job, now time.Time) time.Duration {
	if !j.stored {
		return storeRetryDelay
	}
	return max(d.retentionLeft(j, now), openRetryDelay)
}

// refuseWrite returns a refusal if new jobs cannot be stored at present; nil if they can.
func (d *Dispatcher) refuseWrite() *relay.Reply {
	if d.draining {
		return refusalReply("the owner is stopping", openRetryDelay)
	}
	if d.ledger.StalledFor() > maxAppendDelay {
		return refusalReply("the store does not answer", storeRetryDelay)
	}
	if delay := d.ledger.Delay(); delay > maxQueueDelay {
		return refusalReply("the writes of earlier jobs wait for their turn", max(delay, storeRetryDelay))
	}
	return nil
}

// watchFirstWrite returns a channel that receives the result of the first write of a new job.
func (d *Dispatcher) watchFirstWrite(j *job) <-chan error {
	result := d.watchWrite(j)
	j.writeCallbacks = append(j.writeCallbacks, func(err error) {
		j.stored = err == nil
		j.forgetPendingSteps() // the tasks of a job with parts wait for that
	})
	return result
}

// watchWrite returns a channel that receives the result of the next write of a job.
func (d *Dispatcher) watchWrite(j *job) <-chan error {
	result := make(chan error, 1)
	d.markDirty(j, func(err error) {
		if err == nil && j.withdrawn {
			err = &ledger.NotStoredError{} // a later write of the job was stored, but its submission was not
		}
		result <- err
	})
	return result
}

// awaitWrite waits for the result of a write and returns the reply for the caller.
func (d *Dispatcher) awaitWrite(ctx context.Context, result <-chan error) *relay.Reply {
	select {
	case err := <-result:
		var unencodable *UnencodableJobError
		switch {
		case err == nil:
			return &relay.Reply{Verdict: relay.Verdict_DONE}
		case errors.As(err, &unencodable):
			return &relay.Reply{Verdict: relay.Verdict_INVALID, Reason: err.Error()}
		case ledger.IsNotStored(err):
			return refusalReply(err.Error(), storeRetryDelay)
		}
		return &relay.Reply{Verdict: relay.Verdict_UNKNOWN, Reason: err.Error()}
	case <-ctx.Done():
		return &relay.Reply{Verdict: relay.Verdict_UNKNOWN, Reason: "the store has not confirmed the write in time"}
	}
}

func refusalReply(reason string, retryAfter time.Duration) *relay.Reply {
	return &relay.Reply{Verdict: relay.Verdict_REFUSED, Reason: reason, Again: retryAfter.Milliseconds()}
}

// Cancel cancels a job. It returns once the final state of the job is stored or ctx ends. A job that has ended
// keeps its state. The cancel of an unknown job is stored too, because its submission may arrive later. The store rejects
// the write if there is a later owner, which may know the job.
func (d *Dispatcher) Cancel(ctx context.Context, id task.JobID) *relay.Reply {
	j, result, reply := d.cancelJob(id)
	if reply != nil {
		return reply
	}
	reply = d.awaitWrite(ctx, result)
	if reply.Verdict == relay.Verdict_DONE && j.Unsubmitted {
		return d.missingReply(id, relay.Verb_CANCEL)
	}
	return reply
}

// cancelJob cancels a job and returns it with a channel for the result of the write, or a reply if there is nothing to
// wait for.
func (d *Dispatcher) cancelJob(id task.JobID) (*job, <-chan error, *relay.Reply) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.ledger == nil {
		return nil, nil, refusalReply("the stored jobs are not loaded yet", openRetryDelay)
	}
	j := d.jobs[id]
	switch {
	case j == nil:
		if reply := d.refuseWrite(); reply != nil {
			return nil, nil, reply
		}
		d.log.Info(eventUnknownJobCancelled, "job", id)
		j = &job{Job: task.NewUnsubmitted(id, d.clock.Now())}
		d.jobs[id] = j
		return j, d.watchFirstWrite(j), nil
	case j.Outcome == "":
		d.log.Info(eventJobCancelled, "job", id, "running", j.activeRuns)
		d.finishJob(j, task.StateCancelled, d.clock.Now())
		d.saveAndCloseIfEnded(j)
	case j.isDurable() && j.Unsubmitted:
		return nil, nil, d.missingReply(id, relay.Verb_CANCEL)
	case j.isDurable():
		return nil, nil, &relay.Reply{Verdict: relay.Verdict_DONE}
	}
	return j, d.watchWrite(j), nil
}

// missingReply returns the reply to a request for a job that this owner does not know.
func (d *Dispatcher) missingReply(id task.JobID, verb relay.Verb) *relay.Reply {
	d.log.Info(eventJobMissing, "job", id, "verb", verb.String())
	return &relay.Reply{Verdict: relay.Verdict_MISSING}
}
