// Package route maintains the targets of each pool and decides which of them receive new work, according
// to the fleet state and their health (Table). Only "hibiscuslane serve" uses it, as "hibiscuslane run"
// sends no requests to targets.
package route

import (
	"hibiscuslane.example/hibiscuslane/instance"
	"hibiscuslane.example/hibiscuslane/pool"
	"hibiscuslane.example/hibiscuslane/upstream"
)

// Target describes an instance to which requests can be sent.
type Target struct {
	ID          instance.ID
	Pool        pool.Name
	Address     instance.Address
	Incarnation instance.Incarnation
	// Phase is draining for an instance that any source reports as leaving, even if the fleet state does
	// not yet.
	Phase instance.Phase
	// Ejected is set while the target is ejected because new connections to it fail. It then receives no
	// new work, unless more targets of its pool are ejected than EjectionLimits.MaxShare allows.
	Ejected bool
}

// Result states what a request attempt reveals about the health of its target.
type Result string

// Results of a request attempt.
const (
	// ResultAnswered means that the target sent a response, whatever its status.
	ResultAnswered Result = "answered"
	// ResultFailed means that a new connection failed or could not be established.
	ResultFailed Result = "failed"
	// ResultNeutral means that the attempt reveals nothing about the health of the target, for example
	// because a reused connection failed or the deadline passed.
	ResultNeutral Result = "neutral"
)

// isLeavingRefusal reports whether a refusal means that the target accepts no more work under its
// incarnation.
func isLeavingRefusal(refusal upstream.Refusal) bool {
	return refusal == upstream.RefusedDraining || refusal == upstream.RefusedIncarnation
}
