package request

import (
	"context"
	"net/http"
	"strings"

	"github.com/go-kit/kit/endpoint"
	kithttp "github.com/go-kit/kit/transport/http"

	"hibiscuslane.example/hibiscuslane/event"
	"hibiscuslane.example/hibiscuslane/retry"
	"hibiscuslane.example/hibiscuslane/slot"
	"hibiscuslane.example/hibiscuslane/timer"
)

// Parts are what the chain is built of.
type Parts struct {
	Settings  Source
	Ready     func() bool
	Claimer   Claimer
	Allocator slot.Allocator
	Router    Router
	Sender    Sender
	// Retrier may be nil, which stands for one try.
	Retrier Retrier
	// Reserved serves the paths under the reserved prefix. It may be nil.
	Reserved http.Handler
	Timer    *timer.Service
	Events   event.Log
}

// Handler serves the requests of callers.
type Handler struct {
	flight   Flight
	requests http.Handler
	reserved http.Handler
}

// New returns a Handler for the parts.
func New(parts Parts) *Handler {
	answer := answerer{events: parts.Events}
	server := kithttp.NewServer(
		Chain(parts), accept, answer.encode,
		kithttp.ServerBefore(number),
		kithttp.ServerErrorEncoder(answer.fail),
	)
	return &Handler{requests: http.MaxBytesHandler(server, MaxBody), reserved: parts.Reserved}
}

// Chain returns the endpoint that takes a *Request and returns a *Response.
func Chain(parts Parts) endpoint.Endpoint {
	if parts.Retrier == nil {
		parts.Retrier = &retry.PoolPolicies{MaxAttempts: 1, Timer: parts.Timer}
	}
	return endpoint.Chain(
		identify(parts.Settings, parts.Timer),
		admit(parts.Ready, &rates{}, parts.Settings, parts.Timer),
		claimed(parts.Claimer),
		retried(parts.Retrier, parts.Timer, parts.Events),
		queued(parts.Allocator),
		routed(parts.Router),
	)(send(parts.Sender, parts.Timer))
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	size := bodySize(r)
	if err := h.flight.Enter(size); err != nil {
		writeFailure(w, "", err)
		return
	}
	defer h.flight.Leave(size)
	if !strings.HasPrefix(r.URL.Path, Reserved) {
		h.requests.ServeHTTP(w, r)
		return
	}
	if h.reserved == nil {
		writeFailure(w, "", &RouteError{Path: r.URL.Path})
		return
	}
	h.reserved.ServeHTTP(w, r)
}

// bodySize returns the most bytes that the body of r may take in memory.
func bodySize(r *http.Request) int64 {
	if r.ContentLength < 0 {
		return MaxBody
	}
	return min(r.ContentLength, MaxBody)
}

// Stop refuses new requests from now on.
func (h *Handler) Stop() { h.flight.Stop() }

// InFlight returns the number of requests in flight.
func (h *Handler) InFlight() int { return h.flight.Count() }

// Wait blocks until no request is in flight. It fails with CutError when ctx ends first. Pending
// outcomes of claims are waited for with claim.Claimer.Drain afterwards.
func (h *Handler) Wait(ctx context.Context) error { return h.flight.Wait(ctx) }
