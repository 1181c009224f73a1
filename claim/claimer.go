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
	// claimTimeout bounds the wait for the log, so that an outage of the log is reported to the caller
	// while it still has time to react. It is shorter than the append timeout of 3 s.
	claimTimeout = 2 * time.Second
	// fetchTimeout bounds the call that fetches an answer from another entry.
	fetchTimeout = 2 * time.Second
	// logRetryAfter and limitRetryAfter are how long a caller should wait before a retry, after the log did
	// not confirm a claim and after the limit of claims was reached.
	logRetryAfter   = 2 * time.Second
	limitRetryAfter = 30 * time.Second
)

// Appender appends records of one writer to the log in the order of the calls. A record whose append
// failed either precedes the records of later calls or is never in the log. It is implemented by
// stream.Appender.
type Appender interface {
	Append(ctx context.Context, kind record.Kind, author record.Author, body any) (record.ID, record.Offset, error)
}

// Follower reports which records are applied to the state. It is implemented by stream.Follower.
type Follower interface {
	Changed() <-chan struct{}
	Wait(ctx context.Context, offset record.Offset) error
	Verdict(id record.ID) (stream.Verdict, bool)
}

// AnswerFetcher fetches the answers that other entries keep in memory.
type AnswerFetcher interface {
	// FetchAnswer fetches the answer of a claim from its holder. It returns nil if the holder does not
	// have the answer.
	FetchAnswer(ctx context.Context, holder record.Writer, key Key, claim record.ID) (*Answer, error)
}

// Claimer decides whether this entry may execute a request. Set the exported fields before Run.
type Claimer struct {
	State    *State
	Appender Appender
	Follower Follower
	// Fetcher may be nil; then the answers that other entries keep in memory are not available.
	Fetcher AnswerFetcher
	// Self is the writer of the records that Appender appends.
	Self record.Writer
	// IsHolderGone reports whether a holder no longer runs. A retry of its request then fails
	// immediately instead of waiting for the outcome. It may be nil. A wrong result does not lead to a second
	// execution.
	IsHolderGone func(holder record.Writer) bool
	Timer        *timer.Service
	Events       event.Log

	outcomes outcomeQueue
	answers  answerStore
}

// Decision tells the caller of Begin what to do with a request. It is either Proceed or Replay.
type Decision interface {
	decision()
}

// Proceed means that this entry holds the claim and may send the request at most once.
type Proceed struct {
	Claim *HeldClaim
}

// Replay means that the request was already executed and that Answer is its answer.
type Replay struct {
	Answer *Answer
}

func (Proceed) decision() {}

func (Replay) decision() {}

// Begin decides whether a request may be executed. It waits for the log or, if the key is claimed, for the
// outcome of the first request with the key, but not after ctx has ended. After an error, the request must not
// be sent.
func (c *Claimer) Begin(ctx context.Context, key Key, digest Digest) (Decision, error) {
	for {
		changed := c.Follower.Changed()
		existing, ok := c.State.Lookup(key)
		if !ok {
			held, err := c.appendClaim(ctx, key, digest)
			if err != nil {
				return nil, err
			}
			if held != nil {
				return Proceed{Claim: held}, nil
			}
			continue
		}
		if existing.Digest != digest {
			return nil, &KeyReusedError{Key: key}
		}
		if existing.Result != "" {
			return c.replayOutcome(ctx, existing)
		}
		if c.IsHolderGone != nil && c.IsHolderGone(existing.ID.Writer) {
			return nil, &NoOutcomeError{Key: key, Holder: existing.ID.Writer, Final: true}
		}
		select {
		case <-ctx.Done():
			return nil, &NoOutcomeError{Key: key, Holder: existing.ID.Writer}
		case <-changed:
		}
	}
}

// appendClaim appends a claim record and waits until it is applied. It returns nil if another claim of the
// key came first.
func (c *Claimer) appendClaim(ctx context.Context, key Key, digest Digest) (*HeldClaim, error) {
	ctx, cancel := c.Timer.WithTimeout(ctx, claimTimeout)
	defer cancel()
	id, offset, err := c.Appender.Append(ctx, KindClaim, record.Author(key.Team), Body{Key: key, Digest: digest})
	if err != nil {
		if stream.IsPending(err) {
			c.freeUnconfirmed(key, id)
		}
		return nil, &NotConfirmedError{Key: key, Cause: err}
	}
	if err := c.Follower.Wait(ctx, offset); err != nil {
		c.freeUnconfirmed(key, id)
		return nil, &NotConfirmedError{Key: key, Cause: err}
	}
	if existing, ok := c.State.Lookup(key); ok && existing.ID == id {
		return &HeldClaim{claimer: c, key: key, id: id}, nil
	}
	if verdict, ok := c.Follower.Verdict(id); ok && verdict.Reason == reasonLimit {
		return nil, &LimitError{Limit: c.State.Limits.maxClaims()}
	}
	return nil, nil
}

// freeUnconfirmed frees the key of a claim that the log did not confirm in time, but may still contain. The
// outcome follows the claim in the log, because the appender keeps the order. If another claim came first,
// the outcome is stale and has no effect.
func (c *Claimer) freeUnconfirmed(key Key, id record.ID) {
	c.Events.Warn(eventClaimUnconfirmed, "team", key.Team, "record", id)
	c.outcomes.enqueue(Outcome{Key: key, ClaimID: id, Result: ResultNotRun})
}

// replayOutcome decides about a request whose key already has an outcome.
func (c *Claimer) replayOutcome(ctx context.Context, existing Claim) (Decision, error) {
	if existing.Result == ResultUnknown {
		return nil, &NoOutcomeError{Key: existing.Key, Holder: existing.ID.Writer, Final: true}
	}
	if existing.Answer != nil {
		return Replay{Answer: existing.Answer}, nil
	}
	if !existing.AnswerInMemory {
		return nil, &AnswerNotKeptError{Key: existing.Key}
	}
	answer, err := c.fetchAnswer(ctx, existing)
	if err != nil || answer == nil {
		return nil, &AnswerNotKeptError{Key: existing.Key, Cause: err}
	}
	return Replay{Answer: answer}, nil
}

func (c *Claimer) fetchAnswer(ctx context.Context, existing Claim) (*Answer, error) {
	if existing.ID.Writer == c.Self {
		return c.answers.get(existing.ID), nil
	}
	if c.Fetcher == nil {
		return nil, nil
	}
	ctx, cancel := c.Timer.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	return c.Fetcher.FetchAnswer(ctx, existing.ID.Writer, existing.Key, existing.ID)
}

// LocalAnswer returns the answer that this entry keeps in memory for a claim, or nil. It is called for
// requests of other entries, which identify the claim by the string form of its record id.
func (c *Claimer) LocalAnswer(key Key, claim string) *Answer {
	existing, ok := c.State.Lookup(key)
	if !ok || existing.ID.String() != claim {
		return nil
	}
	return c.answers.get(existing.ID)
}

// Run appends outcomes to the log until ctx ends.
func (c *Claimer) Run(ctx context.Context) error {
	return c.outcomes.run(ctx, c.appendOutcome)
}

// appendOutcome appends an outcome and retries until it succeeds or ctx ends.
func (c *Claimer) appendOutcome(ctx context.Context, outcome Outcome) {
	for {
		_, _, err := c.Appender.Append(ctx, KindOutcome, record.Author(c.Self.Entry), outcome)
		if err == nil {
			return
		}
		if ctx.Err() != nil {
			c.Events.Error(eventOutcomeLost, "team", outcome.Team, "record", outcome.ClaimID, "error", err)
			return
		}
		c.Events.Warn(eventOutcomeDelayed, "team", outcome.Team, "record", outcome.ClaimID, "error", err)
		if c.Timer.Sleep(ctx, outcomeRetryDelay) != nil {
			return
		}
	}
}

// PendingOutcomes returns the number of outcomes that the log has not yet confirmed.
func (c *Claimer) PendingOutcomes() int { return c.outcomes.pendingCount() }

// Drain waits until the log has confirmed every outcome. It returns a DrainError if ctx ends first.
func (c *Claimer) Drain(ctx context.Context) error { return c.outcomes.drain(ctx) }
