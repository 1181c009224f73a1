package slot

import (
	"fmt"
	"time"

	"hibiscuslane.example/hibiscuslane/failure"
	"hibiscuslane.example/hibiscuslane/instance"
	"hibiscuslane.example/hibiscuslane/pool"
)

// QueueFullError reports a request that was refused because the queue of its pool is full.
type QueueFullError struct {
	Pool  pool.Name
	Limit int
	// ExpectedWait is the wait for a slot that would be expected if the request were queued.
	ExpectedWait time.Duration
}

func (e *QueueFullError) Error() string {
	return fmt.Sprintf("queue of pool %s is full (%d requests)", e.Pool, e.Limit)
}

// Code implements failure.Coded.
func (e *QueueFullError) Code() failure.Code { return failure.CodeOverloaded }

// Outcome implements failure.Coded.
func (e *QueueFullError) Outcome() failure.Outcome { return failure.OutcomeNotRun }

// RetryAfter implements failure.Delayed.
func (e *QueueFullError) RetryAfter() time.Duration { return e.ExpectedWait }

// DeadlineError reports a request that is not expected to get a slot before its deadline, or whose
// deadline has passed in the queue.
type DeadlineError struct {
	Pool pool.Name
	// ExpectedWait is the expected wait for a slot, TimeLeft the time until the deadline; TimeLeft is 0 if
	// the deadline has passed in the queue.
	ExpectedWait, TimeLeft time.Duration
}

func (e *DeadlineError) Error() string {
	return fmt.Sprintf("expected wait for a slot of pool %s is %v and the deadline is in %v",
		e.Pool, e.ExpectedWait.Round(time.Millisecond), e.TimeLeft.Round(time.Millisecond))
}

// Code implements failure.Coded.
func (e *DeadlineError) Code() failure.Code { return failure.CodeDeadline }

// Outcome implements failure.Coded.
func (e *DeadlineError) Outcome() failure.Outcome { return failure.OutcomeNotRun }

// RetryAfter implements failure.Delayed.
func (e *DeadlineError) RetryAfter() time.Duration { return max(e.ExpectedWait-e.TimeLeft, 0) }

// PoolUnavailableError reports a pool that does not exist or has no usable target.
type PoolUnavailableError struct {
	Pool   pool.Name
	Reason string
}

func (e *PoolUnavailableError) Error() string { return fmt.Sprintf("pool %s %s", e.Pool, e.Reason) }

// Code implements failure.Coded.
func (e *PoolUnavailableError) Code() failure.Code { return failure.CodeMissing }

// Outcome implements failure.Coded.
func (e *PoolUnavailableError) Outcome() failure.Outcome { return failure.OutcomeNotRun }

// WithdrawnError reports a ticket that was removed from the queue because its request got another slot,
// its caller cancelled it, or its entry died.
type WithdrawnError struct {
	Pool pool.Name
}

func (e *WithdrawnError) Error() string {
	return fmt.Sprintf("ticket for pool %s was withdrawn", e.Pool)
}

// Code implements failure.Coded.
func (e *WithdrawnError) Code() failure.Code { return failure.CodeConflict }

// Outcome implements failure.Coded.
func (e *WithdrawnError) Outcome() failure.Outcome { return failure.OutcomeNotRun }

// CanceledError reports a request that stopped waiting because its caller cancelled it or its deadline
// passed.
type CanceledError struct {
	Pool  pool.Name
	Cause error
}

func (e *CanceledError) Error() string {
	return fmt.Sprintf("request stopped waiting for a slot of pool %s: %v", e.Pool, e.Cause)
}

// Unwrap returns the cause.
func (e *CanceledError) Unwrap() error { return e.Cause }

// Code implements failure.Coded.
func (e *CanceledError) Code() failure.Code { return failure.CodeDeadline }

// Outcome implements failure.Coded.
func (e *CanceledError) Outcome() failure.Outcome { return failure.OutcomeNotRun }

// OwnerAddressError reports an owner that cannot be called because its address is unknown.
type OwnerAddressError struct {
	Pool  pool.Name
	Owner instance.ID
}

func (e *OwnerAddressError) Error() string {
	return fmt.Sprintf("address of entry %s, the owner of pool %s, is not known", e.Owner, e.Pool)
}

// Code implements failure.Coded.
func (e *OwnerAddressError) Code() failure.Code { return failure.CodeUnreachable }

// Outcome implements failure.Coded.
func (e *OwnerAddressError) Outcome() failure.Outcome { return failure.OutcomeNotRun }
