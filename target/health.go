package target

import (
	"context"
	"errors"

	"hibiscuslane.example/hibiscuslane/instance"
	"hibiscuslane.example/hibiscuslane/route"
	"hibiscuslane.example/hibiscuslane/upstream"
)

// HealthResult returns what the result of Send says about the health of the target. Only failures on new
// connections count against it: an old connection may have been closed for its age or be dead.
func HealthResult(err error) route.Result {
	var dead *DeadConnectionError
	var broken *BrokenError
	var crossed *ResponseMismatchError
	var deadline *DeadlineError
	var refused *upstream.RefusedError
	switch {
	case err == nil:
		return route.ResultAnswered
	case errors.As(err, &refused):
		// A refusal is a response of the target, and leaving is not a failure.
		return route.ResultAnswered
	case IsUnreachable(err):
		return route.ResultFailed
	case errors.As(err, &dead):
		return fresh(dead.Attempt)
	case errors.As(err, &broken):
		return fresh(broken.Attempt)
	case errors.As(err, &crossed):
		return fresh(crossed.Attempt)
	case errors.As(err, &deadline) && deadline.Unresponsive:
		// A target that has stopped still accepts connections, because its kernel does so.
		return fresh(deadline.Attempt)
	}
	return route.ResultNeutral
}

func fresh(try Attempt) route.Result {
	if try.NewConnection {
		return route.ResultFailed
	}
	return route.ResultNeutral
}

// Probe opens a new connection to a target and closes it. It implements route.Prober.
func (t *Transport) Probe(ctx context.Context, address instance.Address) error {
	l, err := t.dial(ctx, address)
	if err != nil {
		return &UnreachableError{Target: instance.ID(address), Cause: err}
	}
	l.close()
	return nil
}
