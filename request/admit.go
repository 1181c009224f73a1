package request

import (
	"context"
	"math"
	"sync"
	"time"

	"github.com/go-kit/kit/endpoint"
	"golang.org/x/time/rate"

	"hibiscuslane.example/hibiscuslane/team"
	"hibiscuslane.example/hibiscuslane/timer"
)

// admissionMiddleware rejects requests while the entry is not ready, and requests of teams that exceed their rate.
// InFlightLimiter has already rejected requests that arrive during a shutdown.
func admissionMiddleware(ready func() bool, limiters *rateLimiters, source SettingsSource, service *timer.Service) endpoint.Middleware {
	return func(next endpoint.Endpoint) endpoint.Endpoint {
		return func(ctx context.Context, message any) (any, error) {
			r := message.(*Request)
			if !ready() {
				return nil, &NotReadyError{}
			}
			if err := limiters.allow(r.Team, source().Teams[r.Team].Rate, service.Now()); err != nil {
				return nil, err
			}
			return next(ctx, r)
		}
	}
}

// rateLimiters holds the rate limiters of the teams that have a rate. Its size is bounded, because only requests of
// configured teams reach it.
type rateLimiters struct {
	mu       sync.Mutex
	limiters map[team.Name]*rate.Limiter
}

func (r *rateLimiters) allow(name team.Name, perSecond float64, now time.Time) error {
	if perSecond <= 0 {
		return nil
	}
	limiter := r.limiter(name, perSecond, now)
	if limiter.AllowN(now, 1) {
		return nil
	}
	missingTokens := 1 - limiter.TokensAt(now)
	delay := time.Duration(missingTokens / perSecond * float64(time.Second))
	return &RateLimitError{Team: name, Delay: delay}
}

func (r *rateLimiters) limiter(name team.Name, perSecond float64, now time.Time) *rate.Limiter {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.limiters == nil {
		r.limiters = map[team.Name]*rate.Limiter{}
	}
	limiter, ok := r.limiters[name]
	if !ok {
		limiter = rate.NewLimiter(rate.Limit(perSecond), burstSize(perSecond))
		r.limiters[name] = limiter
	}
	if limiter.Limit() != rate.Limit(perSecond) {
		limiter.SetLimitAt(now, rate.Limit(perSecond))
		limiter.SetBurstAt(now, burstSize(perSecond))
	}
	return limiter
}

// burstSize allows a burst of as many requests as the rate permits in one second.
func burstSize(perSecond float64) int {
	return max(1, int(math.Ceil(perSecond)))
}
