package retry

import (
	"sync"

	"hibiscuslane.example/hibiscuslane/event"
	"hibiscuslane.example/hibiscuslane/pool"
	"hibiscuslane.example/hibiscuslane/timer"
)

// PoolPolicies holds one Policy per pool, so that an outage of one pool does not use up the retries of
// another. Fields must be set before the first use.
type PoolPolicies struct {
	// MaxAttempts limits the attempts of one request; 0 selects the default of Policy.
	MaxAttempts int
	Timer       *timer.Service
	Events      event.Log

	mu    sync.Mutex
	pools map[pool.Name]*Policy
}

// Policy returns the policy of a pool and creates it if needed. Callers pass only configured pools, so
// the number of policies is limited.
func (p *PoolPolicies) Policy(name pool.Name) *Policy {
	p.mu.Lock()
	defer p.mu.Unlock()
	if policy := p.pools[name]; policy != nil {
		return policy
	}
	if p.pools == nil {
		p.pools = map[pool.Name]*Policy{}
	}
	policy := &Policy{Budget: &Budget{Timer: p.Timer}, MaxAttempts: p.MaxAttempts, Timer: p.Timer, Events: p.Events}
	p.pools[name] = policy
	return policy
}
