package request

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"net/http"

	"github.com/go-kit/kit/endpoint"

	"hibiscuslane.example/hibiscuslane/claim"
	"hibiscuslane.example/hibiscuslane/failure"
)

// Claimer decides whether a request with an idempotency key may be executed.
type Claimer interface {
	Begin(ctx context.Context, key claim.Key, digest claim.Digest) (claim.Decision, error)
}

// recordedHeaders are the response headers that a repeat receives again.
var recordedHeaders = []string{
	"Content-Type", "Content-Encoding", "Content-Language", "Content-Disposition", "Location", "Etag", "Last-Modified",
}

// claimed executes a request with an idempotency key only under a claim. It stands before the queue:
// a claim takes the latency of the log, in which a slot held already would do no work. The price is
// an outcome record for each claim whose request the queue then refuses.
func claimed(claimer Claimer) endpoint.Middleware {
	return func(next endpoint.Endpoint) endpoint.Endpoint {
		return func(ctx context.Context, message any) (any, error) {
			r := message.(*Request)
			if r.IdempotencyKey == "" || r.Idempotent {
				return next(ctx, r)
			}
			decision, err := claimer.Begin(ctx, claim.Key{Team: r.Team, Value: r.IdempotencyKey}, digestOf(r))
			if err != nil {
				return nil, err
			}
			switch d := decision.(type) {
			case claim.Replay:
				return replay(d.Answer), nil
			case claim.Proceed:
				return execute(ctx, r, d.Claim, next)
			}
			return nil, &AlreadySentError{}
		}
	}
}

func execute(ctx context.Context, r *Request, hold *claim.HeldClaim, next endpoint.Endpoint) (any, error) {
	// A panic below leaves the outcome unknown. After the calls below it has no effect.
	defer hold.RecordUnknown()
	message, err := next(ctx, r)
	if err != nil {
		if failure.Of(err).Outcome() == failure.OutcomeNotRun {
			hold.RecordNotRun()
		}
		return nil, err
	}
	hold.RecordAnswered(answerOf(message.(*Response)))
	return message, nil
}

// digestBytes keeps the claim small; 128 bits leave no chance of an accidental collision.
const digestBytes = 16

// digestOf hashes with SHA-256, because callers choose the content and a collision would return the
// answer to another request.
func digestOf(r *Request) claim.Digest {
	hash := sha256.New()
	for _, part := range []string{r.Method, r.URI} {
		_, _ = hash.Write([]byte(part))
		_, _ = hash.Write([]byte{0})
	}
	_, _ = hash.Write(r.Body)
	return claim.Digest(hex.EncodeToString(hash.Sum(nil)[:digestBytes]))
}

// answerOf returns nil for a streamed response, which is not kept.
func answerOf(response *Response) *claim.Answer {
	if response.Stream != nil {
		return nil
	}
	header := make(map[string]string, len(recordedHeaders))
	for _, name := range recordedHeaders {
		if value := response.Header.Get(name); value != "" {
			header[name] = value
		}
	}
	return &claim.Answer{Status: response.Status, Header: header, Body: response.Body}
}

func replay(answer *claim.Answer) *Response {
	header := make(http.Header, len(answer.Header))
	for name, value := range answer.Header {
		header.Set(name, value)
	}
	return &Response{Status: answer.Status, Header: header, Body: answer.Body}
}
