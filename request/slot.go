package request

import (
	"context"

	"github.com/go-kit/kit/endpoint"

	"hibiscuslane.example/hibiscuslane/failure"
	"hibiscuslane.example/hibiscuslane/slot"
	"hibiscuslane.example/hibiscuslane/upstream"
)

// slotMiddleware waits for a slot and releases it when the attempt has ended or its streamed response is closed.
func slotMiddleware(allocator slot.Allocator) endpoint.Middleware {
	return func(next endpoint.Endpoint) endpoint.Endpoint {
		return func(ctx context.Context, message any) (any, error) {
			r := message.(*Request)
			grant, err := allocator.Acquire(ctx, slot.Ticket{
				Pool: r.Pool, Team: r.Team, Deadline: r.Deadline, AvoidTargets: r.attemptedTargets,
			})
			if err != nil {
				return nil, notRunError(err)
			}
			return useSlot(ctx, &Attempt{Request: r, Grant: grant}, allocator, next)
		}
	}
}

// notRunError returns an error of Acquire with the outcome notrun, because nothing has been sent yet.
func notRunError(err error) error {
	if failure.Of(err).Outcome() == failure.OutcomeNotRun {
		return err
	}
	return &DeadlineError{Step: "a slot was free", Cause: err}
}

// useSlot makes the attempt and releases its slot with the result.
func useSlot(ctx context.Context, attempt *Attempt, allocator slot.Allocator, next endpoint.Endpoint) (any, error) {
	// If next panics, it is not known whether the target still executes the request.
	result := slot.ResultUnknown
	streaming := false
	defer func() {
		if !streaming {
			allocator.Release(attempt.Grant, result)
		}
	}()
	message, err := next(ctx, attempt)
	result = slotResult(err)
	if err != nil {
		attempt.Request.attemptedTargets = append(attempt.Request.attemptedTargets, attempt.Grant.Target)
		return nil, err
	}
	response := message.(*Response)
	if response.Stream != nil {
		streaming = true
		response.Stream = &notifyingStream{ReadCloser: response.Stream, onClose: func(err error) {
			allocator.Release(attempt.Grant, slotResult(err))
		}}
	}
	return response, nil
}

// slotResult converts the error of an attempt into the result that is reported to the allocator.
func slotResult(err error) slot.Result {
	if err == nil {
		return slot.ResultCompleted
	}
	coded := failure.Of(err)
	switch {
	case coded.Outcome() != failure.OutcomeNotRun:
		return slot.ResultUnknown
	case upstream.IsRefused(err, upstream.RefusedFull):
		return slot.ResultTargetFull
	case coded.Code() == failure.CodeUnreachable:
		return slot.ResultUnreachable
	}
	return slot.ResultUnused
}
