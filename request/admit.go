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

// admit refuses requests while the entry is not ready and those of teams over their rate. Requests
// that arrive during a shutdown are refused before by InFlightLimiter.
func admit(ready func() bool, rates *rates, source SettingsSource, service *timer.Service) endpoint.Middleware {
	return func(next endpoint.Endpoint) endpoint.Endpoint {
		return func(ctx context.Context, message any) (any, error) {
			r := message.(*Request)
			if !ready() {
				return nil, &NotReadyError{}
			}
			if err := rates.allow(r.Team, source().Teams[r.Team].Rate, service.Now()); err != nil {
				return nil, err
			}
			return next(ctx, r)
		}
	}
}

// rates holds a limiter per team. Its size is bounded by the number of teams in the configuration.
type rates struct {
	mu       sync.Mutex
	limiters map[team.Name]*rate.Limiter
}

func (r *rates) allow(name team.Name, perSecond float64, now time.Time) error {
	if perSecond <= 0 {
		return nil
	}
	limiter := r.limiter(name, perSecond, now)
	if limiter.AllowN(now, 1) {
		return nil
	}
	missing := 1 - limiter.TokensAt(now)
	after := time.Duration(missing / perSecond * float64(time.Second))
	return &RateLimitError{Team: name, Delay: after}
}

func (r *rates) limiter(name team.Name, perSecond float64, now time.Time) *rate.Limiter {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.limiters == nil {
		r.limiters = map[team.Name]*rate.Limiter{}
	}
	limiter, ok := r.limiters[name]
	if !ok {
		limiter = rate.NewLimiter(rate.Limit(perSecond), burst(perSecond))
		r.limiters[name] = limiter
	}
	if limiter.Limit() != rate.Limit(perSecond) {
		limiter.SetLimitAt(now, rate.Limit(perSecond))
		limiter.SetBurstAt(now, burst(perSecond))
	}
	return limiter
}

// burst lets a team use the rate of one second at once.
func burst(perSecond float64) int {
	return max(1, int(math.Ceil(perSecond)))
}
