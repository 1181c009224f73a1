// Package queue holds the configuration in force: the queues that callers hand jobs in to and the
// pools of workers that run them.
package queue

import (
	"sort"
	"strings"
	"time"

	"hibiscuslane.example/hibiscuslane/pool"
)

// Name identifies a queue.
type Name string

// Version numbers configurations. A later configuration has a higher version.
type Version int64

// Queue is a configured job queue.
type Queue struct {
	Name Name
	// Host and Prefix select the queue of a request: the host matches exactly, the longest prefix wins.
	Host, PathPrefix string
	Pool             pool.Name
	// ResponseTimeout bounds the answer to a caller. Zero means no bound.
	ResponseTimeout time.Duration
	// LatencyAllowance is granted on top of the stretched chain of work before a job counts as late.
	LatencyAllowance time.Duration
	// MaxStretch is how many times its longest chain of work a job may take.
	MaxStretch float64
	// Priority orders queues; 0 comes first and may preempt the others.
	Priority int
	// MaxAttempts is the number of failed runs of a task after which its job has failed; at least 1.
	MaxAttempts int
	// NeedsAdvice says that only the advice service knows which workers may run a step of this queue.
	NeedsAdvice bool
}

// Pool is a configured pool of workers.
type Pool struct {
	Name pool.Name
	// EnforcesCapacity says that its workers reject tasks that exceed their capacity.
	EnforcesCapacity bool
	// Spare says that the machines of this pool are switched off and cost nothing.
	Spare bool
}

// Config is one version of the configuration. It is never changed after New returned it.
type Config struct {
	Version Version
	// MaxBodyBytes bounds the body of a request of a caller.
	MaxBodyBytes int64
	// HeaderTimeout bounds the time in which a caller sends its headers; IdleTimeout the time that an
	// open connection stays unused.
	HeaderTimeout, IdleTimeout time.Duration
	queues                     map[Name]Queue
	pools                      map[pool.Name]Pool
	hosts                      map[string][]Queue // by host, longest prefix first
}

// New returns a configuration.
func New(version Version, queues []Queue, pools []Pool) *Config {
	c := &Config{Version: version, queues: map[Name]Queue{}, pools: map[pool.Name]Pool{}, hosts: map[string][]Queue{}}
	for _, p := range pools {
		c.pools[p.Name] = p
	}
	for _, q := range queues {
		c.queues[q.Name] = q
		c.hosts[q.Host] = append(c.hosts[q.Host], q)
	}
	for _, list := range c.hosts {
		sort.Slice(list, func(i, j int) bool { return len(list[i].PathPrefix) > len(list[j].PathPrefix) })
	}
	return c
}

// Match returns the queue of a request and the rest of its path after the prefix.
func (c *Config) Match(host, path string) (Queue, string, bool) {
	if c == nil {
		return Queue{}, "", false
	}
	for _, q := range c.hosts[host] {
		if rest, ok := strings.CutPrefix(path, q.PathPrefix); ok {
			return q, rest, true
		}
	}
	return Queue{}, "", false
}

// Queue returns the queue with the given name.
func (c *Config) Queue(name Name) (Queue, bool) {
	if c == nil {
		return Queue{}, false
	}
	q, ok := c.queues[name]
	return q, ok
}

// Pool returns the pool with the given name.
func (c *Config) Pool(name pool.Name) (Pool, bool) {
	if c == nil {
		return Pool{}, false
	}
	p, ok := c.pools[name]
	return p, ok
}

// Pools returns all pools ordered by name.
func (c *Config) Pools() []Pool {
	if c == nil {
		return nil
	}
	list := make([]Pool, 0, len(c.pools))
	for _, p := range c.pools {
		list = append(list, p)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Name < list[j].Name })
	return list
}

// HasQueueFor reports whether a queue sends its jobs to the pool.
func (c *Config) HasQueueFor(name pool.Name) bool {
	if c == nil {
		return false
	}
	for _, q := range c.queues {
		if q.Pool == name {
			return true
		}
	}
	return false
}
