package request

import (
	"context"

	"github.com/go-kit/kit/endpoint"

	"hibiscuslane.example/hibiscuslane/event"
	"hibiscuslane.example/hibiscuslane/timer"
)

// retried repeats a try that provably did not run, and any try of an idempotent request, within the
// retry budget. Each try takes a slot of its own. An error that is not from a try, such as a refusal by
// the queue, is final.
func retried(retrier RetryPolicies, service *timer.Service, events event.Log) endpoint.Middleware {
	return func(next endpoint.Endpoint) endpoint.Endpoint {
		return func(ctx context.Context, message any) (any, error) {
			r := message.(*Request)
			call := retrier.Policy(r.Pool).StartRequest(r.Idempotent, r.Deadline)
			for {
				response, err := next(ctx, r)
				if err == nil {
					return response, nil
				}
				if !IsAttemptError(err) {
					return nil, call.FinalError(err)
				}
				decision := call.RecordFailure(err)
				if !decision.Retry {
					return nil, call.FinalError(err)
				}
				events.Debug(eventRetry, "request", r.ID, "reason", decision.Reason, "error", err)
				if service.Sleep(ctx, decision.Delay) != nil {
					return nil, call.FinalError(err)
				}
			}
		}
	}
}
