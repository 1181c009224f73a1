package exchange

import (
	"context"
	"errors"

	"hibiscuslane.example/hibiscuslane/instance"
	"hibiscuslane.example/hibiscuslane/route"
	"hibiscuslane.example/hibiscuslane/upstream"
)

// HealthResult converts the result of Send into a health result of the target. Only failures on new connections
// count against the target: a reused connection may have been closed for its age or may be dead.
func HealthResult(err error) route.Result {
	var dead *DeadConnectionError
	var broken *BrokenError
	var mismatch *ResponseMismatchError
	var deadline *DeadlineError
	var refused *upstream.RefusedError
	switch {
	case err == nil:
		return route.ResultAnswered
	case errors.As(err, &refused):
		// A target that refuses a request responds, and draining is not a failure.
		return route.ResultAnswered
	case IsUnreachable(err):
		return route.ResultFailed
	case errors.As(err, &dead):
		return failedIfNew(dead.Attempt)
	case errors.As(err, &broken):
		return failedIfNew(broken.Attempt)
	case errors.As(err, &mismatch):
		return failedIfNew(mismatch.Attempt)
	case errors.As(err, &deadline) && deadline.Unresponsive:
		// The kernel of a stopped target still accepts connections, so dialling does not detect it.
		return failedIfNew(deadline.Attempt)
	}
	return route.ResultNeutral
}

func failedIfNew(attempt Attempt) route.Result {
	if attempt.NewConnection {
		return route.ResultFailed
	}
	return route.ResultNeutral
}

// Probe opens a new connection to a target and closes it. It implements route.Prober.
func (t *Transport) Probe(ctx context.Context, address instance.Address) error {
	c, err := t.dial(ctx, address)
	if err != nil {
		return &UnreachableError{Target: instance.ID(address), Cause: err}
	}
	c.close()
	return nil
}
