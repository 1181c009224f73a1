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
	defaultBaseDelay   = 20 * time.Millisecond
	defaultMaxDelay    = time.Second
	defaultMaxAttempts = 4
	// minAttemptTime is the time that must remain between the start of an attempt and the deadline. A
	// shorter attempt would only add load.
	minAttemptTime = 10 * time.Millisecond
)

// Policy holds the retry rules that the requests of one pool share. Fields must be set before the first
// use.
type Policy struct {
	// Budget limits the retries of all requests together. It is required.
	Budget *Budget
	// BaseDelay and MaxDelay bound the delay, which doubles with each attempt from BaseDelay (default
	// 20 ms) up to MaxDelay (default 1 s).
	BaseDelay time.Duration
	MaxDelay  time.Duration
	// MaxAttempts limits the attempts of one request, including the first; the default is 4.
	MaxAttempts int
	Timer       *timer.Service
	Events      event.Log
}

// Reason explains a decision.
type Reason string

// Reasons of a decision.
const (
	ReasonNotRun          Reason = "notrun"     // the attempt provably did not run
	ReasonIdempotent      Reason = "idempotent" // the request can be repeated safely
	ReasonUnsafe          Reason = "unsafe"     // the request may have run and must not run twice
	ReasonPermanent       Reason = "permanent"  // another attempt would fail in the same way
	ReasonMaxAttempts     Reason = "tries"      // the request has used up its attempts
	ReasonDeadline        Reason = "deadline"   // the deadline leaves no time for another attempt
	ReasonBudgetExhausted Reason = "budget"     // the retry budget is exhausted
)

// Decision states whether a failed attempt is retried and why. Delay is the time to wait before the next
// attempt.
type Decision struct {
	Retry  bool
	Delay  time.Duration
	Reason Reason
}

// RequestTracker tracks the attempts of one request. It must be used by one goroutine only.
type RequestTracker struct {
	policy     *Policy
	idempotent bool
	// deadline is zero for a request without a deadline.
	deadline time.Time
	attempts int
	// mayHaveRun is set once an attempt may have run. It is never reset, because a later attempt that
	// did not run proves nothing about an earlier one.
	mayHaveRun bool
}

// StartRequest counts a request and returns its tracker.
func (p *Policy) StartRequest(idempotent bool, deadline time.Time) *RequestTracker {
	p.Budget.CountRequest()
	return &RequestTracker{policy: p, idempotent: idempotent, deadline: deadline}
}

// RecordFailure records a failed attempt and decides whether to retry. If it allows a retry, it has
// taken it from the budget.
func (t *RequestTracker) RecordFailure(err error) Decision {
	coded := failure.Of(err)
	t.attempts++
	notRun := coded.Outcome() == failure.OutcomeNotRun
	if !notRun {
		t.mayHaveRun = true
	}
	switch {
	case !notRun && !t.idempotent:
		return Decision{Reason: ReasonUnsafe}
	case isPermanent(coded.Code()):
		return Decision{Reason: ReasonPermanent}
	case t.attempts >= t.policy.maxAttempts():
		return Decision{Reason: ReasonMaxAttempts}
	}
	delay := t.policy.delay(t.attempts)
	if !t.deadline.IsZero() && t.policy.Timer.Now().Add(delay+minAttemptTime).After(t.deadline) {
		return Decision{Reason: ReasonDeadline}
	}
	if !t.policy.Budget.TakeRetry() {
		t.policy.Events.Debug(eventExhausted, "tries", t.attempts, "error", err)
		return Decision{Reason: ReasonBudgetExhausted}
	}
	if notRun {
		return Decision{Retry: true, Delay: delay, Reason: ReasonNotRun}
	}
	return Decision{Retry: true, Delay: delay, Reason: ReasonIdempotent}
}

// FinalError returns the error to report after the last failed attempt. Its outcome is unknown if any
// attempt may have run.
func (t *RequestTracker) FinalError(err error) error {
	if t.mayHaveRun && failure.Of(err).Outcome() == failure.OutcomeNotRun {
		return &EarlierAttemptError{Attempts: t.attempts, Cause: err}
	}
	return err
}

// isPermanent reports whether another attempt would fail in the same way.
func isPermanent(code failure.Code) bool {
	switch code {
	case failure.CodeRefused, failure.CodeUnreachable, failure.CodeBroken, failure.CodeDeadline,
		failure.CodeOverloaded, failure.CodeOutage:
		return false
	default:
		return true
	}
}

func (p *Policy) maxAttempts() int {
	if p.MaxAttempts == 0 {
		return defaultMaxAttempts
	}
	return p.MaxAttempts
}

// delay returns the delay after the given number of failed attempts. It is a random duration between half
// and all of the exponential delay, so that requests that failed together are not retried together.
func (p *Policy) delay(failures int) time.Duration {
	base, limit := p.BaseDelay, p.MaxDelay
	if base <= 0 {
		base = defaultBaseDelay
	}
	if limit <= 0 {
		limit = defaultMaxDelay
	}
	delay := base
	for i := 1; i < failures && delay < limit; i++ {
		delay *= 2
	}
	delay = min(delay, limit)
	return delay/2 + rand.N(delay/2+1)
}

// EarlierAttemptError reports that the last attempt did not run, but an earlier one may have.
type EarlierAttemptError struct {
	Attempts int
	Cause    error
}

func (e *EarlierAttemptError) Error() string {
	return "an earlier try may have run; the last one: " + e.Cause.Error()
}

// Unwrap returns the error of the last attempt.
func (e *EarlierAttemptError) Unwrap() error { return e.Cause }

// Code implements failure.Coded.
func (e *EarlierAttemptError) Code() failure.Code { return failure.CodePending }

// Outcome implements failure.Coded.
func (e *EarlierAttemptError) Outcome() failure.Outcome { return failure.OutcomeUnknown }

// IsEarlierAttempt reports whether err is an EarlierAttemptError.
func IsEarlierAttempt(err error) bool {
	var earlier *EarlierAttemptError
	return errors.As(err, &earlier)
}
