package request

import (
	"context"

	"github.com/go-kit/kit/endpoint"

	"hibiscuslane.example/hibiscuslane/failure"
	"hibiscuslane.example/hibiscuslane/timer"
)

// send hands a try to the sender and reads the response.
func send(sender Sender, service *timer.Service) endpoint.Endpoint {
	return func(ctx context.Context, message any) (any, error) {
		try := message.(*Attempt)
		if err := sendable(ctx, try.Request, service); err != nil {
			return nil, err
		}
		ctx, cancel := sendContext(ctx, try.Request, service)
		return finishTry(ctx, cancel, try, sender)
	}
}

// sendable refuses a request whose deadline has passed. The check reads the clock, because the timer
// behind ctx may not have fired yet in a process that was frozen.
func sendable(ctx context.Context, r *Request, service *timer.Service) error {
	if r.sent && !r.Idempotent {
		return &AlreadySentError{}
	}
	if ctx.Err() != nil {
		return &DeadlineError{Step: "it was sent", Cause: ctx.Err()}
	}
	if !service.Now().Before(r.Deadline) {
		return &DeadlineError{Step: "it was sent"}
	}
	return nil
}

// sendContext detaches a request with a claim from its caller: if the caller leaves, the answer is
// still recorded for a repeat.
func sendContext(ctx context.Context, r *Request, service *timer.Service) (context.Context, context.CancelFunc) {
	if r.IdempotencyKey == "" || r.Idempotent {
		return ctx, func() {}
	}
	return service.WithTimeout(context.WithoutCancel(ctx), r.Deadline.Sub(service.Now()))
}

// finishTry sends the try and ends ctx when the response is complete or closed.
func finishTry(ctx context.Context, cancel context.CancelFunc, try *Attempt, sender Sender) (*Response, error) {
	streaming := false
	defer func() {
		if !streaming {
			cancel()
		}
	}()
	try.Request.sent = true
	reply, err := sender.Send(ctx, try)
	if err != nil {
		tryErr := &AttemptError{Target: try.Target.ID, Cause: err}
		try.Request.sent = tryErr.Outcome() != failure.OutcomeNotRun
		return nil, tryErr
	}
	response, err := buffered(reply)
	if err != nil {
		return nil, &AttemptError{Target: try.Target.ID, Cause: err}
	}
	if response.Stream != nil {
		streaming = true
		response.Stream = &streamEnd{ReadCloser: response.Stream, end: func(error) { cancel() }}
	}
	return response, nil
}
