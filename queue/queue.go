// Package queue defines the configuration of "hibiscuslane run" (Config): the queues to which callers submit
// jobs and the pools of workers that run the jobs. Package config defines that of "hibiscuslane serve".
package queue

import (
	"sort"
	"strings"
	"time"

	"hibiscuslane.example/hibiscuslane/pool"
)

// Name identifies a queue.
type Name string

// Version is the version number of a configuration. A later configuration has a higher version.
type Version int64

// Queue is a configured job queue.
type Queue struct {
	Name Name
	// Host and PathPrefix select the queue of a request: the host must be equal, and among the queues of the host,
	// the longest matching prefix wins.
	Host, PathPrefix string
	Pool             pool.Name
	// ResponseTimeout limits the time until a caller is answered. Zero means that the queue sets no limit.
	ResponseTimeout time.Duration
	// LatencyAllowance is the time that a job may take in addition to MaxStretch times its critical path.
	LatencyAllowance time.Duration
	// MaxStretch limits the duration of a job to a multiple of its critical path; beyond it, the job is late.
	MaxStretch float64
	// Priority orders queues; 0 is the highest. The platform allows tasks of a higher priority to preempt others, but
	// the scheduler only orders waiting tasks by priority.
	Priority int
	// MaxAttempts is the number of failed runs of one task at which the job fails; at least 1.
	MaxAttempts int
	// NeedsAdvice is set if only the advice service knows which workers may run a step of a job of this queue.
	NeedsAdvice bool
}

// Pool is a configured pool of workers.
type Pool struct {
	Name pool.Name
	// EnforcesCapacity is set if the workers of the pool reject tasks that exceed their capacity.
	EnforcesCapacity bool
	// Spare is set if the machines of the pool are switched off and cost nothing.
	Spare bool
}

// Config is one version of the configuration. Its queues and pools do not change after New has returned it. A nil
// Config has no queues and no pools.
type Config struct {
	Version Version
	// MaxBodyBytes is the maximum size of the body of a caller's request.
	MaxBodyBytes int64
	// HeaderTimeout is the configured limit of the time for receiving the headers of a request, and IdleTimeout that
	// of the time for which a connection stays open without a request. Neither is applied: callers' connections have
	// fixed timeouts.
	HeaderTimeout, IdleTimeout time.Duration
	queuesByName               map[Name]Queue
	poolsByName                map[pool.Name]Pool
	queuesByHost               map[string][]Queue // the queues of each host, longest prefix first
}

// New returns a configuration with the given queues and pools.
func New(version Version, queues []Queue, pools []Pool) *Config {
	c := &Config{Version: version, queuesByName: map[Name]Queue{}, poolsByName: map[pool.Name]Pool{}, queuesByHost: map[string][]Queue{}}
	for _, p := range pools {
		c.poolsByName[p.Name] = p
	}
	for _, q := range queues {
		c.queuesByName[q.Name] = q
		c.queuesByHost[q.Host] = append(c.queuesByHost[q.Host], q)
	}
	for _, list := range c.queuesByHost {
		sort.Slice(list, func(i, j int) bool { return len(list[i].PathPrefix) > len(list[j].PathPrefix) })
	}
	return c
}

// Match returns the queue for a request and the part of the path after the queue's prefix. It returns false if no
// queue matches.
func (c *Config) Match(host, path string) (Queue, string, bool) {
	if c == nil {
		return Queue{}, "", false
	}
	for _, q := range c.queuesByHost[host] {
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
	q, ok := c.queuesByName[name]
	return q, ok
}

// Pool returns the pool with the given name.
func (c *Config) Pool(name pool.Name) (Pool, bool) {
	if c == nil {
		return Pool{}, false
	}
	p, ok := c.poolsByName[name]
	return p, ok
}

// Pools returns all pools sorted by name.
func (c *Config) Pools() []Pool {
	if c == nil {
		return nil
	}
	list := make([]Pool, 0, len(c.poolsByName))
	for _, p := range c.poolsByName {
		list = append(list, p)
	}
	sort.Slice(list, func(i, j int) bool { return list[i].Name < list[j].Name })
	return list
}

// HasQueueFor reports whether any queue sends its jobs to the pool.
func (c *Config) HasQueueFor(name pool.Name) bool {
	if c == nil {
		return false
	}
	for _, q := range c.queuesByName {
		if q.Pool == name {
			return true
		}
	}
	return false
}
