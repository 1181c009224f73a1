package request

import (
	"context"
	"time"

	"github.com/go-kit/kit/endpoint"

	"hibiscuslane.example/hibiscuslane/event"
	"hibiscuslane.example/hibiscuslane/failure"
	"hibiscuslane.example/hibiscuslane/timer"
)

// Once is a Retrier that allows one try.
type Once struct{}

// Retry implements Retrier.
func (Once) Retry(*Request, int, error) (time.Duration, bool) { return 0, false }

// retried repeats a try that provably did not run, and any try of an idempotent request. Each try
// takes a slot of its own.
func retried(retrier Retrier, service *timer.Service, events event.Log) endpoint.Middleware {
	return func(next endpoint.Endpoint) endpoint.Endpoint {
		return func(ctx context.Context, message any) (any, error) {
			r := message.(*Request)
			unknown := false
			for tries := 1; ; tries++ {
				response, err := next(ctx, r)
				if err == nil {
					return response, nil
				}
				if !repeatable(r, err) {
					return nil, earlier(unknown, err)
				}
				unknown = unknown || failure.Of(err).Outcome() != failure.OutcomeNotRun
				delay, ok := retrier.Retry(r, tries, err)
				if !ok || !service.Now().Add(delay).Before(r.Deadline) {
					return nil, earlier(unknown, err)
				}
				events.Debug(eventRetry, "request", r.ID, "tries", tries, "error", err)
				if service.Sleep(ctx, delay) != nil {
					return nil, earlier(unknown, err)
				}
			}
		}
	}
}

// repeatable reports whether another try is safe. An error that is not from a try, such as a refusal
// by the queue, is final.
func repeatable(r *Request, err error) bool {
	if !IsTry(err) {
		return false
	}
	return r.Idempotent || failure.Of(err).Outcome() == failure.OutcomeNotRun
}

// earlier keeps a request from being reported as notrun when one of its tries may have run.
func earlier(unknown bool, err error) error {
	if unknown && failure.Of(err).Outcome() == failure.OutcomeNotRun {
		return &EarlierError{Cause: err}
	}
	return err
}
