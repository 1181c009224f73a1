// Package pool defines pools, which are groups of instances that serve the same kind of work.
// "hibiscuslane run" uses only Name; the configuration of its pools is queue.Pool.
package pool

import "time"

// Name identifies a pool.
type Name string

// Count is the number of instances of a pool, for each kind that belongs to pools.
type Count struct {
	Targets int `json:"targets"`
	Workers int `json:"workers"`
}

// Spec is the configuration of a pool at one site.
type Spec struct {
	// Size is the desired number of instances at the site.
	Size Count `json:"size"`
	// Budget is the availability budget: the minimum number of active instances at the site. It is at most Size.
	Budget Count `json:"budget"`
	// Spare marks a pool whose instances may be moved to other pools.
	Spare bool `json:"spare,omitempty"`
	// Slots is the number of requests that one target executes concurrently.
	Slots int `json:"slots"`
	// MaxConnections is the maximum number of connections that one target accepts.
	MaxConnections int `json:"connections"`
	// MaxQueued is the maximum number of requests that wait for a slot of the pool.
	MaxQueued int `json:"queue"`
	// DefaultTimeoutMS is the timeout in milliseconds of a request without a timeout of its own.
	DefaultTimeoutMS int64 `json:"timeout"`
}

// DefaultTimeout returns the timeout of a request without a timeout of its own.
func (s Spec) DefaultTimeout() time.Duration {
	return time.Duration(s.DefaultTimeoutMS) * time.Millisecond
}
