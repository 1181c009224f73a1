package request

import (
	"context"

	"github.com/go-kit/kit/endpoint"

	"hibiscuslane.example/hibiscuslane/failure"
	"hibiscuslane.example/hibiscuslane/timer"
)

// sendEndpoint passes an attempt to the sender and reads the response.
func sendEndpoint(sender Sender, service *timer.Service) endpoint.Endpoint {
	return func(ctx context.Context, message any) (any, error) {
		attempt := message.(*Attempt)
		if err := checkSendable(ctx, attempt.Request, service); err != nil {
			return nil, err
		}
		ctx, cancel := sendContext(ctx, attempt.Request, service)
		return sendAttempt(ctx, cancel, attempt, sender)
	}
}

// checkSendable returns an error if the request may already have been executed or its deadline has passed. It reads
// the clock, because the timer of ctx may not have fired yet in a process that was paused.
func checkSendable(ctx context.Context, r *Request, service *timer.Service) error {
	if r.maybeExecuted && !r.Idempotent {
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

// sendContext returns a context that, for a request with a claim, is independent of the caller: if the caller
// disconnects, the response is still stored for a repeated request.
func sendContext(ctx context.Context, r *Request, service *timer.Service) (context.Context, context.CancelFunc) {
	if r.IdempotencyKey == "" || r.Idempotent {
		return ctx, func() {}
	}
	return service.WithTimeout(context.WithoutCancel(ctx), r.Deadline.Sub(service.Now()))
}

// sendAttempt sends the attempt and cancels ctx when the response is complete or its stream is closed.
func sendAttempt(ctx context.Context, cancel context.CancelFunc, attempt *Attempt, sender Sender) (*Response, error) {
	streaming := false
	defer func() {
		if !streaming {
			cancel()
		}
	}()
	attempt.Request.maybeExecuted = true
	reply, err := sender.Send(ctx, attempt)
	if err != nil {
		attemptErr := &AttemptError{Target: attempt.Target.ID, Cause: err}
		attempt.Request.maybeExecuted = attemptErr.Outcome() != failure.OutcomeNotRun
		return nil, attemptErr
	}
	response, err := readResponse(reply)
	if err != nil {
		return nil, &AttemptError{Target: attempt.Target.ID, Cause: err}
	}
	if response.Stream != nil {
		streaming = true
		response.Stream = &notifyingStream{ReadCloser: response.Stream, onClose: func(error) { cancel() }}
	}
	return response, nil
}
