// Package slot allocates the request slots of targets to the entries and queues the requests that wait
// for a slot. For each pool, one entry is the owner and grants the slots (Server, Owner); every entry
// acquires and releases slots through its Client. This owner is unrelated to the one that package
// election elects: only "hibiscuslane serve" sends requests to targets and has slots.
package slot

import (
	"context"
	"time"

	"hibiscuslane.example/hibiscuslane/instance"
	"hibiscuslane.example/hibiscuslane/pool"
	"hibiscuslane.example/hibiscuslane/team"
)

// Ticket describes a request that needs a slot of a pool.
type Ticket struct {
	Pool     pool.Name
	Team     team.Name
	Deadline time.Time
	// AvoidTargets lists targets that earlier attempts of the request used. They are granted only if
	// no other target has a free slot.
	AvoidTargets []instance.ID
}

// LeaseID identifies the lease of a granted slot.
type LeaseID string

// Grant permits its holder to send one request to a target. It must be released exactly once.
type Grant struct {
	LeaseID LeaseID
	Pool    pool.Name
	Target  instance.ID
}

// Result reports to the allocator how a granted slot was used.
type Result string

// Results of a granted slot.
const (
	ResultCompleted   Result = "done"        // the target executed the request
	ResultUnused      Result = "unused"      // nothing was sent
	ResultTargetFull  Result = "full"        // the target refused because all its slots are in use
	ResultUnreachable Result = "unreachable" // no connection to the target was established
	ResultUnknown     Result = "unknown"     // the request may still occupy the slot

	// resultTransferred and resultWithdrawn are sent between entries only: the holder of a lease has
	// transferred it to another ticket, or a ticket is no longer waiting.
	resultTransferred Result = "reused"
	resultWithdrawn   Result = "withdrawn"
)

// Allocator grants slots. If the deadline cannot be met or the queue is full, Acquire fails immediately
// with a typed error whose outcome is notrun.
type Allocator interface {
	Acquire(ctx context.Context, ticket Ticket) (Grant, error)
	Release(grant Grant, result Result)
}

// Capacity provides the targets and limits within which the allocator grants slots.
type Capacity interface {
	// UsableTargets returns the targets of a pool that currently accept work, in a stable order.
	UsableTargets(name pool.Name) []instance.ID
	// PoolSpec returns the limits of a pool; ok is false for an unknown pool.
	PoolSpec(name pool.Name) (spec pool.Spec, ok bool)
	// TeamWeight returns the weight of a team in fair queueing, which is at least 1.
	TeamWeight(name team.Name) int
}
