package request

import (
	"context"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/go-kit/kit/endpoint"

	"hibiscuslane.example/hibiscuslane/config"
	"hibiscuslane.example/hibiscuslane/team"
	"hibiscuslane.example/hibiscuslane/timer"
)

// Headers of requests from callers.
const (
	HeaderTeam           = "Hibiscuslane-Team"
	HeaderTimeout        = "Hibiscuslane-Timeout"
	HeaderIdempotencyKey = "Idempotency-Key"
)

const (
	// MaxTimeout is the maximum timeout of a request. It is a sixth of claim.Retention, so that a claim never
	// expires while its holder may still send the request.
	MaxTimeout  = 10 * time.Minute
	maxKeyBytes = 255
)

// identifyMiddleware sets the team, idempotency key, pool, idempotence and deadline of a request, and applies the
// deadline to ctx.
func identifyMiddleware(source SettingsSource, service *timer.Service) endpoint.Middleware {
	return func(next endpoint.Endpoint) endpoint.Endpoint {
		return func(ctx context.Context, message any) (any, error) {
			r := message.(*Request)
			settings := source()
			if settings == nil {
				return nil, &NotReadyError{}
			}
			timeout, err := r.resolveSettings(settings)
			if err != nil {
				return nil, err
			}
			r.Deadline = service.Now().Add(timeout)
			ctx, cancel := service.WithTimeout(ctx, timeout)
			return callWithCancel(ctx, cancel, r, next)
		}
	}
}

// callWithCancel calls next and then cancel. If the response is streamed, cancel is called when the stream is closed.
func callWithCancel(ctx context.Context, cancel context.CancelFunc, r *Request, next endpoint.Endpoint) (any, error) {
	streaming := false
	defer func() {
		if !streaming {
			cancel()
		}
	}()
	message, err := next(ctx, r)
	if response, ok := message.(*Response); ok && response.Stream != nil {
		response.Stream = &notifyingStream{ReadCloser: response.Stream, onClose: func(error) { cancel() }}
		streaming = true
	}
	return message, err
}

// resolveSettings sets the team, idempotency key, pool and idempotence of the request from its headers and the
// settings, and returns its timeout.
func (r *Request) resolveSettings(settings *config.Settings) (time.Duration, error) {
	r.Team = team.Name(r.Header.Get(HeaderTeam))
	if _, ok := settings.Teams[r.Team]; !ok {
		return 0, &InputError{Field: "header " + HeaderTeam, Reason: "must name a team"}
	}
	var err error
	if r.IdempotencyKey, err = idempotencyKey(r.Header); err != nil {
		return 0, err
	}
	route, ok := matchRoute(settings.Routes, r.Path)
	if !ok {
		return 0, &NoRouteError{Path: r.Path}
	}
	r.Pool = route.Pool
	r.Idempotent = isIdempotent(route, r.Method)
	return requestTimeout(r.Header, settings.Pools[route.Pool].DefaultTimeout())
}

func idempotencyKey(header http.Header) (string, error) {
	values := header.Values(HeaderIdempotencyKey)
	if len(values) == 0 {
		return "", nil
	}
	key := values[0]
	if len(values) > 1 || key == "" || len(key) > maxKeyBytes || !isPrintable(key) {
		return "", &InputError{Field: "header " + HeaderIdempotencyKey, Reason: "must be one value of 1 to 255 printable ASCII characters"}
	}
	return key, nil
}

func isPrintable(s string) bool {
	for i := range len(s) {
		if s[i] < 0x20 || s[i] > 0x7e {
			return false
		}
	}
	return true
}

// requestTimeout returns the timeout that the caller sent, or else the default of the pool. It returns MaxTimeout if
// the pool has no default or one that is longer than MaxTimeout.
func requestTimeout(header http.Header, defaultTimeout time.Duration) (time.Duration, error) {
	value := header.Get(HeaderTimeout)
	if value == "" {
		if defaultTimeout <= 0 || defaultTimeout > MaxTimeout {
			return MaxTimeout, nil
		}
		return defaultTimeout, nil
	}
	ms, err := strconv.ParseInt(value, 10, 64)
	if err != nil || ms <= 0 || ms > MaxTimeout.Milliseconds() {
		return 0, &InputError{Field: "header " + HeaderTimeout, Reason: "must be a whole number of milliseconds from 1 to 600000"}
	}
	return time.Duration(ms) * time.Millisecond, nil
}

// matchRoute returns the route with the longest prefix of the path. A prefix matches whole segments only, so that /a
// does not match /ab.
func matchRoute(routes []config.Route, path string) (config.Route, bool) {
	best := -1
	for i, route := range routes {
		if hasSegmentPrefix(path, route.Prefix) && (best < 0 || len(route.Prefix) > len(routes[best].Prefix)) {
			best = i
		}
	}
	if best < 0 {
		return config.Route{}, false
	}
	return routes[best], true
}

func hasSegmentPrefix(path, prefix string) bool {
	rest, ok := strings.CutPrefix(path, prefix)
	if !ok {
		return false
	}
	return rest == "" || strings.HasSuffix(prefix, "/") || strings.HasPrefix(rest, "/")
}

func isIdempotent(route config.Route, method string) bool {
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions:
		return true
	}
	return slices.Contains(route.Idempotent, method)
}
