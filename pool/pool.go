// Package pool defines the groups of instances that serve one kind of work.
package pool

import "time"

// Name identifies a pool.
type Name string

// Count is a number of instances.
type Count struct {
	Targets int `json:"targets"`
	Workers int `json:"workers"`
}

// Spec is what operators declare for a pool at one site.
type Spec struct {
	// Size is the wanted number of instances at the site.
	Size Count `json:"size"`
	// Budget is the availability budget: the least number of active instances at the site. It is at
	// most Size.
	Budget Count `json:"budget"`
	// Spare marks a pool whose instances may be moved to other pools.
	Spare bool `json:"spare,omitempty"`
	// Slots is the number of requests that one target executes at once.
	Slots int `json:"slots"`
	// MaxConnections is the number of connections that one target accepts.
	MaxConnections int `json:"connections"`
	// MaxQueued is the number of requests that may wait for a slot of the pool.
	MaxQueued int `json:"queue"`
	// DefaultTimeoutMS is the deadline in milliseconds of a request that names none.
	DefaultTimeoutMS int64 `json:"timeout"`
}

// DefaultTimeout returns the deadline of a request that names none.
func (s Spec) DefaultTimeout() time.Duration {
	return time.Duration(s.DefaultTimeoutMS) * time.Millisecond
}
