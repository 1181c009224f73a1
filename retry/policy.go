package retry

import (
	"errors"
	"math/rand/v2"
	"time"

	"hibiscuslane.example/hibiscuslane/event"
	"hibiscuslane.example/hibiscuslane/failure"
	"hibiscuslane.example/hibiscuslane/timer"
)

const (
	defaultBase  = 20 * time.Millisecond
	defaultMax   = time.Second
	defaultTries = 4
	// leastTry is the time that must remain before the deadline after the delay; a shorter try would
	// only add load.
	leastTry = 10 * time.Millisecond
)

// Policy holds the rules of retries. Requests of one pool share a Policy. Set the fields before the
// first use.
type Policy struct {
	// Budget bounds the retries of all requests together; it is required.
	Budget *Budget
	// Base and Max bound the delay: it doubles from Base (default 20 ms) up to Max (default 1 s).
	BaseDelay time.Duration
	MaxDelay  time.Duration
	// Tries bounds the tries of one request, including the first; default 4.
	MaxAttempts int
	Timer       *timer.Service
	Events      event.Log
}

// Reason says why a decision was taken.
type Reason string

// Reasons of a decision.
const (
	ReasonNotRun          Reason = "notrun"     // the try provably did not run
	ReasonIdempotent      Reason = "idempotent" // a repeat does no harm
	ReasonUnsafe          Reason = "unsafe"     // the request may have run and must not run twice
	ReasonPermanent       Reason = "permanent"  // another try would fail in the same way
	ReasonMaxAttempts     Reason = "tries"      // the request has used up its tries
	ReasonDeadline        Reason = "deadline"   // the deadline leaves no time
	ReasonBudgetExhausted Reason = "budget"     // the retry budget is used up
)

// Decision is the answer to a failed try. Delay is the time to wait before the next try.
type Decision struct {
	Retry  bool
	Delay  time.Duration
	Reason Reason
}

// RequestTracker follows the tries of one request. It is used by one goroutine.
type RequestTracker struct {
	policy     *Policy
	idempotent bool
	// deadline is zero for a request without one.
	deadline time.Time
	tries    int
	// unknown is true once a try may have run. It is never reset, because a later try that did not run
	// proves nothing about an earlier one.
	unknown bool
}

// StartRequest counts a request and returns its Call.
func (p *Policy) StartRequest(idempotent bool, deadline time.Time) *RequestTracker {
	p.Budget.CountRequest()
	return &RequestTracker{policy: p, idempotent: idempotent, deadline: deadline}
}

// RecordFailure records a failed try and decides whether another may follow. A retry that it allows has been
// taken from the budget.
func (c *RequestTracker) RecordFailure(err error) Decision {
	coded := failure.Of(err)
	c.tries++
	notRun := coded.Outcome() == failure.OutcomeNotRun
	if !notRun {
		c.unknown = true
	}
	switch {
	case !notRun && !c.idempotent:
		return Decision{Reason: ReasonUnsafe}
	case permanent(coded.Code()):
		return Decision{Reason: ReasonPermanent}
	case c.tries >= c.policy.tries():
		return Decision{Reason: ReasonMaxAttempts}
	}
	delay := c.policy.delay(c.tries)
	if !c.deadline.IsZero() && c.policy.Timer.Now().Add(delay+leastTry).After(c.deadline) {
		return Decision{Reason: ReasonDeadline}
	}
	if !c.policy.Budget.TakeRetry() {
		c.policy.Events.Debug(eventExhausted, "tries", c.tries, "error", err)
		return Decision{Reason: ReasonBudgetExhausted}
	}
	if notRun {
		return Decision{Retry: true, Delay: delay, Reason: ReasonNotRun}
	}
	return Decision{Retry: true, Delay: delay, Reason: ReasonIdempotent}
}

// FinalError returns the error for the caller after the last failed try. Its outcome is unknown if any try
// may have run.
func (c *RequestTracker) FinalError(err error) error {
	if c.unknown && failure.Of(err).Outcome() == failure.OutcomeNotRun {
		return &EarlierAttemptError{Attempts: c.tries, Cause: err}
	}
	return err
}

// permanent reports failures that another try repeats.
func permanent(code failure.Code) bool {
	switch code {
	case failure.CodeRefused, failure.CodeUnreachable, failure.CodeBroken, failure.CodeDeadline,
		failure.CodeOverloaded, failure.CodeOutage:
		return false
	default:
		return true
	}
}

func (p *Policy) tries() int {
	if p.MaxAttempts == 0 {
		return defaultTries
	}
	return p.MaxAttempts
}

// delay returns between half and all of the exponential delay, so that requests that failed together
// do not return together.
func (p *Policy) delay(failed int) time.Duration {
	base, limit := p.BaseDelay, p.MaxDelay
	if base <= 0 {
		base = defaultBase
	}
	if limit <= 0 {
		limit = defaultMax
	}
	delay := base
	for i := 1; i < failed && delay < limit; i++ {
		delay *= 2
	}
	delay = min(delay, limit)
	return delay/2 + rand.N(delay/2+1)
}

// EarlierAttemptError reports that the last try did not run although an earlier one may have.
type EarlierAttemptError struct {
	Attempts int
	Cause    error
}

func (e *EarlierAttemptError) Error() string {
	return "an earlier try may have run; the last one: " + e.Cause.Error()
}

// Unwrap returns the failure of the last try.
func (e *EarlierAttemptError) Unwrap() error { return e.Cause }

// Code implements failure.Coded.
func (e *EarlierAttemptError) Code() failure.Code { return failure.CodePending }

// Outcome implements failure.Coded.
func (e *EarlierAttemptError) Outcome() failure.Outcome { return failure.OutcomeUnknown }

// IsEarlierAttempt reports whether err is an EarlierError.
func IsEarlierAttempt(err error) bool {
	var earlier *EarlierAttemptError
	return errors.As(err, &earlier)
}
