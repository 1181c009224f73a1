package request

import (
	"context"
	"net/http"
	"strings"

	"github.com/go-kit/kit/endpoint"
	kithttp "github.com/go-kit/kit/transport/http"

	"hibiscuslane.example/hibiscuslane/event"
	"hibiscuslane.example/hibiscuslane/intake"
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
	// RetryPolicies may be nil; each request then gets a single attempt.
	RetryPolicies RetryPolicies
	// Reserved serves the paths under ReservedPrefix. It may be nil.
	Reserved http.Handler
	Timer    *timer.Service
	Events   event.Log
}

// Handler serves the requests of callers.
type Handler struct {
	inFlight InFlightLimiter
	requests http.Handler
	reserved http.Handler
}

// New returns a Handler with the given dependencies.
func New(options Options) *Handler {
	encoder := responseEncoder{events: options.Events}
	server := kithttp.NewServer(
		NewEndpoint(options), decodeRequest, encoder.encode,
		kithttp.ServerBefore(assignID),
		kithttp.ServerErrorEncoder(encoder.encodeError),
	)
	return &Handler{requests: server, reserved: options.Reserved}
}

// NewEndpoint returns the endpoint that takes a *Request and returns a *Response.
func NewEndpoint(options Options) endpoint.Endpoint {
	if options.RetryPolicies == nil {
		options.RetryPolicies = &retry.PoolPolicies{MaxAttempts: 1, Timer: options.Timer}
	}
	return endpoint.Chain(
		identifyMiddleware(options.Settings, options.Timer),
		admissionMiddleware(options.Ready, &rateLimiters{}, options.Settings, options.Timer),
		claimMiddleware(options.Claimer),
		retryMiddleware(options.RetryPolicies, options.Timer, options.Events),
		slotMiddleware(options.Allocator),
		routeMiddleware(options.Router),
	)(sendEndpoint(options.Sender, options.Timer))
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	size := bodySize(r)
	if err := h.inFlight.Acquire(size); err != nil {
		// Otherwise, clients that announce bodies and send little of them would keep the room from others.
		intake.EndStalledBody(r)
		writeError(w, "", err)
		return
	}
	defer h.inFlight.Release(size)
	if !strings.HasPrefix(r.URL.Path, ReservedPrefix) {
		h.requests.ServeHTTP(w, r)
		return
	}
	if h.reserved == nil {
		writeError(w, "", &NoRouteError{Path: r.URL.Path})
		return
	}
	h.reserved.ServeHTTP(w, r)
}

// bodySize returns the maximum number of bytes that the body of r may occupy in memory.
func bodySize(r *http.Request) int64 {
	if r.ContentLength < 0 {
		return MaxBodyBytes
	}
	return min(r.ContentLength, MaxBodyBytes)
}

// Stop makes the handler reject new requests.
func (h *Handler) Stop() { h.inFlight.Stop() }

// InFlight returns the number of requests in flight.
func (h *Handler) InFlight() int { return h.inFlight.Count() }

// Wait blocks until no request is in flight. It fails with ShutdownTimeoutError if ctx ends first. Call
// claim.Claimer.Drain afterwards to wait until the outcomes of claims are stored.
func (h *Handler) Wait(ctx context.Context) error { return h.inFlight.Wait(ctx) }
