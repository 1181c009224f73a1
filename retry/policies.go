package retry

import (
	"sync"

	"hibiscuslane.example/hibiscuslane/event"
	"hibiscuslane.example/hibiscuslane/pool"
	"hibiscuslane.example/hibiscuslane/timer"
)

// PoolPolicies holds a Policy per pool, so that an outage of one pool does not use up the retries of
// another. Set the fields before the first use.
type PoolPolicies struct {
	// Tries bounds the tries of one request; 0 means the default of Policy.
	MaxAttempts int
	Timer       *timer.Service
	Events      event.Log

	mu    sync.Mutex
	pools map[pool.Name]*Policy
}

// Policy returns the policy of a pool. Callers name only pools that are configured.
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
