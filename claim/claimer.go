package claim

import (
	"context"
	"time"

	"hibiscuslane.example/hibiscuslane/event"
	"hibiscuslane.example/hibiscuslane/record"
	"hibiscuslane.example/hibiscuslane/stream"
	"hibiscuslane.example/hibiscuslane/timer"
)

const (
	// claimTimeout bounds the wait for the log, so that an outage is reported to the caller while it
	// still has time to act. It is under the append timeout of 3 s.
	claimTimeout = 2 * time.Second
	fetchTimeout = 2 * time.Second
	logRetry     = 2 * time.Second
	fullRetry    = 30 * time.Second
)

// Appender appends records of one writer in the order of the calls; a record that was tried appears
// before the records of later calls or never. It is implemented by stream.Appender.
type Appender interface {
	Append(ctx context.Context, kind record.Kind, author record.Author, body any) (record.ID, record.Offset, error)
}

// Follower tells how far the state is folded. It is implemented by stream.Follower.
type Follower interface {
	Changed() <-chan struct{}
	Wait(ctx context.Context, offset record.Offset) error
	Verdict(id record.ID) (stream.Verdict, bool)
}

// AnswerFetcher fetches the answers that other entries keep in memory.
type AnswerFetcher interface {
	// FetchAnswer returns nil if the holder does not keep the answer.
	FetchAnswer(ctx context.Context, holder record.Writer, key Key, claim record.ID) (*Answer, error)
}

// Claimer decides whether this entry may execute a request. Set the exported fields before Run.
type Claimer struct {
	State    *State
	Appender Appender
	Follower Follower
	// Fetcher may be nil, in which case answers held by other entries are not available.
	Fetcher AnswerFetcher
	// Self is the writer of the appender.
	Self record.Writer
	// IsHolderGone reports whether a holder no longer runs; a repeat then fails at once instead of waiting for
	// an outcome. It may be nil, and it may be wrong without harm.
	IsHolderGone func(holder record.Writer) bool
	Timer        *timer.Service
	Events       event.Log

	outcomes outcomeQueue
	answers  answerStore
}

// Decision is what to do with a request: Proceed or Replay.
type Decision interface {
	decision()
}

// Proceed means that this entry holds the claim and may send the request once.
type Proceed struct {
	Claim *HeldClaim
}

// Replay means that the request was executed before.
type Replay struct {
	Answer *Answer
}

func (Proceed) decision() {}

func (Replay) decision() {}

// Begin decides for a request. It waits for the log, or for the outcome of the first request with the
// key, until ctx ends. After an error this request must not be sent.
func (c *Claimer) Begin(ctx context.Context, key Key, digest Digest) (Decision, error) {
	for {
		changed := c.Follower.Changed()
		present, ok := c.State.Lookup(key)
		if !ok {
			hold, err := c.claim(ctx, key, digest)
			if err != nil {
				return nil, err
			}
			if hold != nil {
				return Proceed{Claim: hold}, nil
			}
			continue
		}
		if present.Digest != digest {
			return nil, &KeyReusedError{Key: key}
		}
		if present.Result != "" {
			return c.repeat(ctx, present)
		}
		if c.IsHolderGone != nil && c.IsHolderGone(present.ID.Writer) {
			return nil, &NoOutcomeError{Key: key, Holder: present.ID.Writer, Final: true}
		}
		select {
		case <-ctx.Done():
			return nil, &NoOutcomeError{Key: key, Holder: present.ID.Writer}
		case <-changed:
		}
	}
}

// claim appends a claim record. It returns nil if another claim was first.
func (c *Claimer) claim(ctx context.Context, key Key, digest Digest) (*HeldClaim, error) {
	ctx, cancel := c.Timer.WithTimeout(ctx, claimTimeout)
	defer cancel()
	id, offset, err := c.Appender.Append(ctx, KindClaim, record.Author(key.Team), Body{Key: key, Digest: digest})
	if err != nil {
		if stream.IsPending(err) {
			c.abandon(key, id)
		}
		return nil, &NotConfirmedError{Key: key, Cause: err}
	}
	if err := c.Follower.Wait(ctx, offset); err != nil {
		c.abandon(key, id)
		return nil, &NotConfirmedError{Key: key, Cause: err}
	}
	if present, ok := c.State.Lookup(key); ok && present.ID == id {
		return &HeldClaim{claimer: c, key: key, id: id}, nil
	}
	if verdict, ok := c.Follower.Verdict(id); ok && verdict.Reason == reasonFull {
		return nil, &LimitError{Limit: c.State.Limits.claims()}
	}
	return nil, nil
}

// abandon frees the key in case the claim turns out to be first. The outcome follows the claim in the
// log, because the appender keeps the order; if the claim was not first, the outcome is stale.
func (c *Claimer) abandon(key Key, id record.ID) {
	c.Events.Warn(eventAbandoned, "team", key.Team, "record", id)
	c.outcomes.put(Outcome{Key: key, ClaimID: id, Result: ResultNotRun})
}

func (c *Claimer) repeat(ctx context.Context, present Claim) (Decision, error) {
	if present.Result == ResultUnknown {
		return nil, &NoOutcomeError{Key: present.Key, Holder: present.ID.Writer, Final: true}
	}
	if present.Answer != nil {
		return Replay{Answer: present.Answer}, nil
	}
	if !present.AnswerInMemory {
		return nil, &AnswerNotKeptError{Key: present.Key}
	}
	answer, err := c.fetch(ctx, present)
	if err != nil || answer == nil {
		return nil, &AnswerNotKeptError{Key: present.Key, Cause: err}
	}
	return Replay{Answer: answer}, nil
}

func (c *Claimer) fetch(ctx context.Context, present Claim) (*Answer, error) {
	if present.ID.Writer == c.Self {
		return c.answers.get(present.ID), nil
	}
	if c.Fetcher == nil {
		return nil, nil
	}
	ctx, cancel := c.Timer.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	return c.Fetcher.FetchAnswer(ctx, present.ID.Writer, present.Key, present.ID)
}

// LocalAnswer returns the answer that this entry keeps in memory for a claim, or nil. It serves the Answer
// call of other entries, which names the claim by the text of its record id.
func (c *Claimer) LocalAnswer(key Key, claim string) *Answer {
	present, ok := c.State.Lookup(key)
	if !ok || present.ID.String() != claim {
		return nil
	}
	return c.answers.get(present.ID)
}

// Run appends outcomes until ctx ends.
func (c *Claimer) Run(ctx context.Context) error {
	return c.outcomes.run(ctx, c.append)
}

func (c *Claimer) append(ctx context.Context, outcome Outcome) {
	for {
		_, _, err := c.Appender.Append(ctx, KindOutcome, record.Author(c.Self.Entry), outcome)
		if err == nil {
			return
		}
		if ctx.Err() != nil {
			c.Events.Error(eventLost, "team", outcome.Team, "record", outcome.ClaimID, "error", err)
			return
		}
		c.Events.Warn(eventWaits, "team", outcome.Team, "record", outcome.ClaimID, "error", err)
		if c.Timer.Sleep(ctx, outcomeRetry) != nil {
			return
		}
	}
}

// PendingOutcomes returns the number of outcomes that the log has not confirmed.
func (c *Claimer) PendingOutcomes() int { return c.outcomes.len() }

// Drain waits until the log has confirmed every outcome. It fails with DrainError when ctx ends first.
func (c *Claimer) Drain(ctx context.Context) error { return c.outcomes.drain(ctx) }
