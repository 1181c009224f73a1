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

// Options holds the dependencies of a Handler.
type Options struct {
	Settings  SettingsSource
	Ready     func() bool
	Claimer   Claimer
	Allocator slot.Allocator
	Router    Router
	Sender    Sender
	// RetryPolicies may be nil, which stands for one try.
	RetryPolicies RetryPolicies
	// Reserved serves the paths under the reserved prefix. It may be nil.
	Reserved http.Handler
	Timer    *timer.Service
	Events   event.Log
}

// Handler serves the requests of callers.
type Handler struct {
	flight   InFlightLimiter
	requests http.Handler
	reserved http.Handler
}

// New returns a Handler for the parts.
func New(parts Options) *Handler {
	answer := answerer{events: parts.Events}
	server := kithttp.NewServer(
		NewEndpoint(parts), accept, answer.encode,
		kithttp.ServerBefore(number),
		kithttp.ServerErrorEncoder(answer.fail),
	)
	return &Handler{requests: http.MaxBytesHandler(server, MaxBodyBytes), reserved: parts.Reserved}
}

// NewEndpoint returns the endpoint that takes a *Request and returns a *Response.
func NewEndpoint(parts Options) endpoint.Endpoint {
	if parts.RetryPolicies == nil {
		parts.RetryPolicies = &retry.PoolPolicies{MaxAttempts: 1, Timer: parts.Timer}
	}
	return endpoint.Chain(
		identify(parts.Settings, parts.Timer),
		admit(parts.Ready, &rates{}, parts.Settings, parts.Timer),
		claimed(parts.Claimer),
		retried(parts.RetryPolicies, parts.Timer, parts.Events),
		queued(parts.Allocator),
		routed(parts.Router),
	)(send(parts.Sender, parts.Timer))
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	size := bodySize(r)
	if err := h.flight.Acquire(size); err != nil {
		writeFailure(w, "", err)
		return
	}
	defer h.flight.Release(size)
	if !strings.HasPrefix(r.URL.Path, ReservedPrefix) {
		h.requests.ServeHTTP(w, r)
		return
	}
	if h.reserved == nil {
		writeFailure(w, "", &NoRouteError{Path: r.URL.Path})
		return
	}
	h.reserved.ServeHTTP(w, r)
}

// bodySize returns the most bytes that the body of r may take in memory.
func bodySize(r *http.Request) int64 {
	if r.ContentLength < 0 {
		return MaxBodyBytes
	}
	return min(r.ContentLength, MaxBodyBytes)
}

// Stop refuses new requests from now on.
func (h *Handler) Stop() { h.flight.Stop() }

// InFlight returns the number of requests in flight.
func (h *Handler) InFlight() int { return h.flight.Count() }

// Wait blocks until no request is in flight. It fails with ShutdownTimeoutError when ctx ends first. Pending
// outcomes of claims are waited for with claim.Claimer.Drain afterwards.
func (h *Handler) Wait(ctx context.Context) error { return h.flight.Wait(ctx) }
