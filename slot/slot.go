// Package slot divides the slots of targets among the entries and queues the requests that wait for
// one.
package slot

import (
	"context"
	"time"

	"hibiscuslane.example/hibiscuslane/instance"
	"hibiscuslane.example/hibiscuslane/pool"
	"hibiscuslane.example/hibiscuslane/team"
)

// Ticket asks for a slot of a pool.
type Ticket struct {
	Pool     pool.Name
	Team     team.Name
	Deadline time.Time
	// Avoid lists targets that an earlier try of the request used.
	AvoidTargets []instance.ID
}

// LeaseID identifies a granted slot.
type LeaseID string

// Grant is the right to send one request to a target. It is released exactly once.
type Grant struct {
	LeaseID LeaseID
	Pool    pool.Name
	Target  instance.ID
}

// Result tells the allocator how a granted slot was used.
type Result string

// Results of a granted slot.
const (
	ResultCompleted   Result = "done"        // the target executed the request
	ResultUnused      Result = "unused"      // nothing was sent
	ResultTargetFull  Result = "full"        // the target refused because its slots are taken
	ResultUnreachable Result = "unreachable" // no connection to the target
	ResultUnknown     Result = "unknown"     // the request may still occupy the slot

	// resultReused and resultWithdrawn travel between entries only: a holder passed its slot on to
	// another ticket, or a ticket no longer waits.
	resultReused    Result = "reused"
	resultWithdrawn Result = "withdrawn"
)

// Allocator grants slots. Acquire fails at once with a typed error whose outcome is notrun when the
// deadline cannot be met or the queue is full.
type Allocator interface {
	Acquire(ctx context.Context, ticket Ticket) (Grant, error)
	Release(grant Grant, result Result)
}

// Capacity tells the allocator what it may grant.
type Capacity interface {
	// UsableTargets returns the targets of a pool that take work now, in a stable order.
	UsableTargets(name pool.Name) []instance.ID
	// PoolSpec returns the limits of a pool; ok is false for an unknown pool.
	PoolSpec(name pool.Name) (spec pool.Spec, ok bool)
	// TeamWeight returns the share of a team; at least 1.
	TeamWeight(name team.Name) int
}
