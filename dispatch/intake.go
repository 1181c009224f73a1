package dispatch

import (
	"context"
	"time"

	"hibiscuslane.example/hibiscuslane/ledger"
	"hibiscuslane.example/hibiscuslane/queue"
	"hibiscuslane.example/hibiscuslane/relay"
	"hibiscuslane.example/hibiscuslane/task"
)

const (
	// stallLimit is how long the store may leave an append without an answer before new jobs are refused.
	// A slow store answers in about 0.4 s.
	stallLimit = 700 * time.Millisecond
	// storeRetry is the time after which a caller may try again that was refused for the store.
	storeRetry = time.Second
)

// Submit accepts a job. The reply is sent once the job is stored.
func (d *Dispatcher) Submit(ctx context.Context, name queue.Name, id task.JobID, spec task.Spec) *relay.Reply {
	outcome, reply := d.submit(name, id, spec)
	if reply != nil {
		return reply
	}
	return d.await(ctx, outcome)
}

// submit adds a job and returns the channel of its outcome, or a reply if there is nothing to wait for.
func (d *Dispatcher) submit(name queue.Name, id task.JobID, spec task.Spec) (<-chan error, *relay.Reply) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.ledger == nil {
		return nil, refuse("the stored jobs are not loaded yet", openDelay)
	}
	if j := d.jobs[id]; j != nil {
		if j.stored {
			return nil, &relay.Reply{Verdict: relay.Verdict_DONE}
		}
		return d.watchWrite(j), nil
	}
	if d.closing {
		return nil, refuse("the owner is stopping", openDelay)
	}
	if d.ledger.StalledFor() > stallLimit {
		return nil, refuse("the store does not answer", storeRetry)
	}
	q, ok := d.config.Queue(name)
	if !ok {
		return nil, refuse("the queue is not configured yet", openDelay)
	}
	now := d.clock.Now()
	j := &job{Job: task.New(id, string(name), q.Pool, spec, now), queue: q}
	j.Policy = task.Policy{MaxAttempts: q.MaxAttempts, Priority: q.Priority, MaxStretch: q.MaxStretch, LatencyAllowance: q.LatencyAllowance, NeedsAdvice: q.NeedsAdvice}
	d.jobs[id] = j
	d.insert(j)
	d.arrived(j, now)
	d.counters.AcceptedJobs++
	d.log.Info(eventAccept, "job", id, "queue", name, "version", d.config.Version, "steps", len(spec.Steps), "lasting", spec.HasLongRunningStep(), "open", len(d.open))
	outcome := d.watchWrite(j)
	j.after = append(j.after, func(err error) { j.stored = err == nil })
	return outcome, nil
}

// watchWrite returns a channel that receives the outcome of the next write of a job.
func (d *Dispatcher) watchWrite(j *job) <-chan error {
	outcome := make(chan error, 1)
	d.mark(j, func(err error) {
		if err == nil && j.withdrawn {
			err = &ledger.NotStoredError{} // a later write of the job was stored, its intake was not
		}
		outcome <- err
	})
	return outcome
}

// await waits for a write that the caller is told of.
func (d *Dispatcher) await(ctx context.Context, outcome <-chan error) *relay.Reply {
	select {
	case err := <-outcome:
		switch {
		case err == nil:
			return &relay.Reply{Verdict: relay.Verdict_DONE}
		case ledger.IsNotStored(err):
			return refuse(err.Error(), storeRetry)
		}
		return &relay.Reply{Verdict: relay.Verdict_UNKNOWN, Reason: err.Error()}
	case <-ctx.Done():
		return &relay.Reply{Verdict: relay.Verdict_UNKNOWN, Reason: "the store has not confirmed the write in time"}
	}
}

func refuse(reason string, again time.Duration) *relay.Reply {
	return &relay.Reply{Verdict: relay.Verdict_REFUSED, Reason: reason, Again: again.Milliseconds()}
}

// Cancel cancels a job. The reply is sent once that is stored.
func (d *Dispatcher) Cancel(ctx context.Context, id task.JobID) *relay.Reply {
	outcome, reply := d.cancel(id)
	if reply != nil {
		return reply
	}
	return d.await(ctx, outcome)
}

func (d *Dispatcher) cancel(id task.JobID) (<-chan error, *relay.Reply) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.ledger == nil {
		return nil, refuse("the stored jobs are not loaded yet", openDelay)
	}
	j := d.jobs[id]
	if j == nil {
		return nil, &relay.Reply{Verdict: relay.Verdict_MISSING}
	}
	if j.Outcome == "" {
		d.log.Info(eventCancel, "job", id, "running", j.running)
		d.finish(j, task.StateCancelled, d.clock.Now())
		d.settle(j)
	} else if j.durable() {
		return nil, &relay.Reply{Verdict: relay.Verdict_DONE}
	}
	return d.watchWrite(j), nil
}

// State returns the state of a job.
func (d *Dispatcher) JobState(id task.JobID) *relay.Reply {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.ledger == nil {
		return refuse("the stored jobs are not loaded yet", openDelay)
	}
	j := d.jobs[id]
	if j == nil {
		return &relay.Reply{Verdict: relay.Verdict_MISSING}
	}
	state := j.State()
	if state.IsFinal() && !j.durable() {
		state = task.StateRunning
	}
	return &relay.Reply{Verdict: relay.Verdict_DONE, State: string(state)}
}

// Waiting returns the number of jobs of a queue of which no task has started.
func (d *Dispatcher) CountWaitingJobs(name queue.Name) *relay.Reply {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.ledger == nil {
		return refuse("the stored jobs are not loaded yet", openDelay)
	}
	var waiting int64
	for _, j := range d.open {
		if j.Queue == string(name) && !j.Started {
			waiting++
		}
	}
	return &relay.Reply{Verdict: relay.Verdict_DONE, Waiting: waiting}
}
