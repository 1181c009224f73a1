// Package route knows the targets of each pool, which of them take work, and how healthy they are.
package route

import (
	"hibiscuslane.example/hibiscuslane/instance"
	"hibiscuslane.example/hibiscuslane/pool"
	"hibiscuslane.example/hibiscuslane/upstream"
)

// Target is what is needed to send a request to an instance.
type Target struct {
	ID          instance.ID
	Pool        pool.Name
	Address     instance.Address
	Incarnation instance.Incarnation
	// Phase is draining for an instance that leaves by any source, even if the fleet state does not say
	// so yet.
	Phase instance.Phase
	// Ejected is true while health keeps new work away.
	Ejected bool
}

// Result is what a try says about the health of its target.
type Result string

// Results of a try.
const (
	// ResultAnswered is a response, whatever its status.
	ResultAnswered Result = "answered"
	// ResultFailed is a new connection that failed, or was not established.
	ResultFailed Result = "failed"
	// ResultNeutral says nothing about health: a dead or an old connection, a deadline, a refusal.
	ResultNeutral Result = "neutral"
)

// leaving reports whether a refusal means that the target takes no more work under its incarnation.
func leaving(refusal upstream.Refusal) bool {
	return refusal == upstream.RefusedDraining || refusal == upstream.RefusedIncarnation
}
