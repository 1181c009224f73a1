package request

import (
	"context"

	"github.com/go-kit/kit/endpoint"

	"hibiscuslane.example/hibiscuslane/failure"
	"hibiscuslane.example/hibiscuslane/slot"
	"hibiscuslane.example/hibiscuslane/upstream"
)

// queued waits for a slot and releases it once the try has ended, or once a streamed response has.
func queued(allocator slot.Allocator) endpoint.Middleware {
	return func(next endpoint.Endpoint) endpoint.Endpoint {
		return func(ctx context.Context, message any) (any, error) {
			r := message.(*Request)
			grant, err := allocator.Acquire(ctx, slot.Ticket{
				Pool: r.Pool, Team: r.Team, Deadline: r.Deadline, AvoidTargets: r.avoid,
			})
			if err != nil {
				return nil, unqueued(err)
			}
			return occupy(ctx, &Attempt{Request: r, Grant: grant}, allocator, next)
		}
	}
}

// unqueued makes the error of an Acquire notrun, whatever its type: nothing was sent.
func unqueued(err error) error {
	if failure.Of(err).Outcome() == failure.OutcomeNotRun {
		return err
	}
	return &DeadlineError{Step: "a slot was free", Cause: err}
}

func occupy(ctx context.Context, try *Attempt, allocator slot.Allocator, next endpoint.Endpoint) (any, error) {
	// A panic below leaves it open whether the target is busy.
	result := slot.ResultUnknown
	streaming := false
	defer func() {
		if !streaming {
			allocator.Release(try.Grant, result)
		}
	}()
	message, err := next(ctx, try)
	result = resultOf(err)
	if err != nil {
		try.Request.avoid = append(try.Request.avoid, try.Grant.Target)
		return nil, err
	}
	response := message.(*Response)
	if response.Stream != nil {
		streaming = true
		response.Stream = &streamEnd{ReadCloser: response.Stream, end: func(err error) {
			allocator.Release(try.Grant, resultOf(err))
		}}
	}
	return response, nil
}

// resultOf tells the allocator how the slot was used.
func resultOf(err error) slot.Result {
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
