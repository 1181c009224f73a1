package request

import (
	"context"

	"github.com/go-kit/kit/endpoint"
)

// routeMiddleware looks up the target of the granted slot and reports the result of the attempt to the router.
func routeMiddleware(router Router) endpoint.Middleware {
	return func(next endpoint.Endpoint) endpoint.Endpoint {
		return func(ctx context.Context, message any) (any, error) {
			attempt := message.(*Attempt)
			target, err := router.Route(ctx, attempt.Grant)
			if err != nil {
				return nil, &AttemptError{Target: attempt.Grant.Target, Unsent: true, Cause: err}
			}
			attempt.Target = target
			response, err := next(ctx, attempt)
			if err != nil && !IsAttemptError(err) {
				// The request was not sent, so the error is unrelated to the target.
				return nil, err
			}
			router.ReportResult(target, err)
			return response, err
		}
	}
}
