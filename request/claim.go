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

// Claimer decides whether a request with an idempotency key is executed or answered with a stored response.
type Claimer interface {
	Begin(ctx context.Context, key claim.Key, digest claim.Digest) (claim.Decision, error)
}

// storedHeaders are the response headers that are stored and returned to a repeated request.
var storedHeaders = []string{
	"Content-Type", "Content-Encoding", "Content-Language", "Content-Disposition", "Location", "Etag", "Last-Modified",
}

// claimMiddleware obtains a claim before it executes a request that has an idempotency key and is not idempotent. It
// precedes the slot queue, because a claim has to wait for the log and a slot would be idle in the meantime. The
// drawback is that a request that the queue rejects costs an additional outcome record for its claim.
func claimMiddleware(claimer Claimer) endpoint.Middleware {
	return func(next endpoint.Endpoint) endpoint.Endpoint {
		return func(ctx context.Context, message any) (any, error) {
			r := message.(*Request)
			if r.IdempotencyKey == "" || r.Idempotent {
				return next(ctx, r)
			}
			decision, err := claimer.Begin(ctx, claim.Key{Team: r.Team, Value: r.IdempotencyKey}, requestDigest(r))
			if err != nil {
				return nil, err
			}
			switch d := decision.(type) {
			case claim.Replay:
				return replayResponse(d.Answer), nil
			case claim.Proceed:
				return executeClaimed(ctx, r, d.Claim, next)
			}
			return nil, &AlreadySentError{}
		}
	}
}

func executeClaimed(ctx context.Context, r *Request, held *claim.HeldClaim, next endpoint.Endpoint) (any, error) {
	// This records an unknown outcome if next panics. It has no effect once another outcome is recorded.
	defer held.RecordUnknown()
	message, err := next(ctx, r)
	if err != nil {
		if failure.Of(err).Outcome() == failure.OutcomeNotRun {
			held.RecordNotRun()
		}
		return nil, err
	}
	held.RecordAnswered(newAnswer(message.(*Response)))
	return message, nil
}

// digestBytes truncates the digest to keep claims small; with 128 bits accidental collisions are negligible.
const digestBytes = 16

// requestDigest returns a digest of the method, URI and body. It uses SHA-256 because callers control the content
// and a collision would return the response to another request.
func requestDigest(r *Request) claim.Digest {
	hash := sha256.New()
	for _, part := range []string{r.Method, r.URI} {
		_, _ = hash.Write([]byte(part))
		_, _ = hash.Write([]byte{0})
	}
	_, _ = hash.Write(r.Body)
	return claim.Digest(hex.EncodeToString(hash.Sum(nil)[:digestBytes]))
}

// newAnswer returns the answer to store for a response. It is nil for a streamed response, which is not stored.
func newAnswer(response *Response) *claim.Answer {
	if response.Stream != nil {
		return nil
	}
	header := make(map[string]string, len(storedHeaders))
	for _, name := range storedHeaders {
		if value := response.Header.Get(name); value != "" {
			header[name] = value
		}
	}
	return &claim.Answer{Status: response.Status, Header: header, Body: response.Body}
}

func replayResponse(answer *claim.Answer) *Response {
	header := make(http.Header, len(answer.Header))
	for name, value := range answer.Header {
		header.Set(name, value)
	}
	return &Response{Status: answer.Status, Header: header, Body: answer.Body}
}
