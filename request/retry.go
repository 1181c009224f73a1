package request

import (
	"context"

	"github.com/go-kit/kit/endpoint"

	"hibiscuslane.example/hibiscuslane/event"
	"hibiscuslane.example/hibiscuslane/timer"
)

// retryMiddleware retries failed attempts within the retry budget if the request provably was not executed or is
// idempotent. Each attempt acquires its own slot. Errors other than AttemptError, such as a rejection by the queue,
// are not retried.
func retryMiddleware(policies RetryPolicies, service *timer.Service, events event.Log) endpoint.Middleware {
	return func(next endpoint.Endpoint) endpoint.Endpoint {
		return func(ctx context.Context, message any) (any, error) {
			r := message.(*Request)
			tracker := policies.Policy(r.Pool).StartRequest(r.Idempotent, r.Deadline)
			for {
				response, err := next(ctx, r)
				if err == nil {
					return response, nil
				}
				if !IsAttemptError(err) {
					return nil, tracker.FinalError(err)
				}
				decision := tracker.RecordFailure(err)
				if !decision.Retry {
					return nil, tracker.FinalError(err)
				}
				events.Debug(eventRetry, "request", r.ID, "reason", decision.Reason, "error", err)
				if service.Sleep(ctx, decision.Delay) != nil {
					return nil, tracker.FinalError(err)
				}
			}
		}
	}
}
