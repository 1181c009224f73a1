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
	Base time.Duration
	Max  time.Duration
	// Tries bounds the tries of one request, including the first; default 4.
	Tries  int
	Timer  *timer.Service
	Events event.Log
}

// Reason says why a decision was taken.
type Reason string

// Reasons of a decision.
const (
	ReasonNotRun     Reason = "notrun"     // the try provably did not run
	ReasonIdempotent Reason = "idempotent" // a repeat does no harm
	ReasonUnsafe     Reason = "unsafe"     // the request may have run and must not run twice
	ReasonPermanent  Reason = "permanent"  // another try would fail in the same way
	ReasonTries      Reason = "tries"      // the request has used up its tries
	ReasonDeadline   Reason = "deadline"   // the deadline leaves no time
	ReasonBudget     Reason = "budget"     // the retry budget is used up
)

// Decision is the answer to a failed try. Delay is the time to wait before the next try.
type Decision struct {
	Retry  bool
	Delay  time.Duration
	Reason Reason
}

// Call follows the tries of one request. It is used by one goroutine.
type Call struct {
	policy     *Policy
	idempotent bool
	// deadline is zero for a request without one.
	deadline time.Time
	tries    int
	// unknown is true once a try may have run. It is never reset, because a later try that did not run
	// proves nothing about an earlier one.
	unknown bool
}

// Start counts a request and returns its Call.
func (p *Policy) Start(idempotent bool, deadline time.Time) *Call {
	p.Budget.Request()
	return &Call{policy: p, idempotent: idempotent, deadline: deadline}
}

// Failed records a failed try and decides whether another may follow. A retry that it allows has been
// taken from the budget.
func (c *Call) Failed(err error) Decision {
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
		return Decision{Reason: ReasonTries}
	}
	delay := c.policy.delay(c.tries)
	if !c.deadline.IsZero() && c.policy.Timer.Now().Add(delay+leastTry).After(c.deadline) {
		return Decision{Reason: ReasonDeadline}
	}
	if !c.policy.Budget.Take() {
		c.policy.Events.Debug(eventExhausted, "tries", c.tries, "error", err)
		return Decision{Reason: ReasonBudget}
	}
	if notRun {
		return Decision{Retry: true, Delay: delay, Reason: ReasonNotRun}
	}
	return Decision{Retry: true, Delay: delay, Reason: ReasonIdempotent}
}

// Error returns the error for the caller after the last failed try. Its outcome is unknown if any try
// may have run.
func (c *Call) Error(err error) error {
	if c.unknown && failure.Of(err).Outcome() == failure.OutcomeNotRun {
		return &EarlierError{Tries: c.tries, Cause: err}
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
	if p.Tries == 0 {
		return defaultTries
	}
	return p.Tries
}

// delay returns between half and all of the exponential delay, so that requests that failed together
// do not return together.
func (p *Policy) delay(failed int) time.Duration {
	base, limit := p.Base, p.Max
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

// EarlierError reports that the last try did not run although an earlier one may have.
type EarlierError struct {
	Tries int
	Cause error
}

func (e *EarlierError) Error() string {
	return "an earlier try may have run; the last one: " + e.Cause.Error()
}

// Unwrap returns the failure of the last try.
func (e *EarlierError) Unwrap() error { return e.Cause }

// Code implements failure.Coded.
func (e *EarlierError) Code() failure.Code { return failure.CodePending }

// Outcome implements failure.Coded.
func (e *EarlierError) Outcome() failure.Outcome { return failure.OutcomeUnknown }

// IsEarlier reports whether err is an EarlierError.
func IsEarlier(err error) bool {
	var earlier *EarlierError
	return errors.As(err, &earlier)
}
