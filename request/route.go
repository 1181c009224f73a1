package request

import (
	"context"

	"github.com/go-kit/kit/endpoint"
)

// routed finds the target of the granted slot and reports to the router how the try ended.
func routed(router Router) endpoint.Middleware {
	return func(next endpoint.Endpoint) endpoint.Endpoint {
		return func(ctx context.Context, message any) (any, error) {
			try := message.(*Attempt)
			target, err := router.Route(ctx, try.Grant)
			if err != nil {
				return nil, &AttemptError{Target: try.Grant.Target, Unsent: true, Cause: err}
			}
			try.Target = target
			response, err := next(ctx, try)
			if err != nil && !IsAttemptError(err) {
				// The request ended before it was sent, which says nothing about the target.
				return nil, err
			}
			router.ReportResult(target, err)
			return response, err
		}
	}
}
