package planner

import (
	"math"
	"time"

	"hibiscuslane.example/hibiscuslane/config"
)

const (
	// listLagTolerance is the duration of absence from the list or of failure that a lagging list or a
	// burst of a few seconds can explain. While the duration is shorter, the instance is neither drained
	// for a move or for maintenance nor replaced.
	listLagTolerance = 15 * time.Second
	// missingLimit is the duration of absence from the list after which an active instance is declared
	// lost. It is four times listLagTolerance, because a false positive costs a reboot.
	missingLimit = time.Minute
	// rebootTimeout is the duration of absence from the list after which a draining instance is declared
	// lost. A reboot takes minutes.
	rebootTimeout = 10 * time.Minute
	// failingLimit is the time after which a listed target that most entries report as failing is
	// declared lost and rebooted.
	failingLimit = 5 * time.Minute
	// drainPropagationTime is the time within which all entries learn that a target is leaving. An
	// earlier reboot could interrupt a request that an entry still sends, so its outcome would be unknown.
	drainPropagationTime = 3 * time.Second
	// removalDelay is the time after which a lost instance that the platform does not list is removed
	// from the fleet.
	removalDelay = 24 * time.Hour
	// failureWindow is the period over which failures are counted to pause maintenance.
	failureWindow = 10 * time.Minute

	// recoveryWaitBase is the duration of a reboot. A shortfall that ends with the reboot of the failed
	// instance does not justify a move, which itself consists of a drain and a reboot.
	// recoveryWaitSpan is added in proportion to the weight of moves.
	recoveryWaitBase = 2 * time.Minute
	recoveryWaitSpan = 8 * time.Minute
	// surplusHoldBase and surplusHoldSpan determine how long the phases in a pool must remain unchanged
	// before the pool releases an instance. The time covers several reboots, so that a recovering
	// instance and its replacement have both joined by then.
	surplusHoldBase = 5 * time.Minute
	surplusHoldSpan = 10 * time.Minute
	// busyThreshold is the mean demand of a pool, relative to its size, above which the pool keeps its
	// surplus.
	busyThreshold = 0.8
	// maintenanceDueShare is the fraction of the maintenance period after which an instance is due. The
	// remainder absorbs waits for budgets and pauses, so that each instance is rebooted within the period.
	maintenanceDueShare = 0.75
	day                 = 24 * time.Hour
)

// weightPolicy holds the limits that follow from the weights of one or more sites.
type weightPolicy struct {
	// recoveryWait is how long a pool that meets its budget waits for a failed instance to recover before
	// another instance is moved in.
	recoveryWait time.Duration
	// surplusHold is how long the phases in a pool must remain unchanged before the pool releases the
	// instances above its size.
	surplusHold time.Duration
	// rolloutShare is the fraction of a pool's headroom that maintenance may use at once.
	rolloutShare float64
}

// policyFromWeights derives the limits from the ratio of the weights. Weights without a positive, finite
// sum count as equal.
func policyFromWeights(w config.Weights) weightPolicy {
	sum := w.Buffer + w.Moves + w.Rollout
	if sum <= 0 || math.IsInf(sum, 0) || math.IsNaN(sum) {
		w = config.Weights{Buffer: 1, Moves: 1, Rollout: 1}
		sum = 3
	}
	moves := w.Moves / sum
	return weightPolicy{
		recoveryWait: recoveryWaitBase + time.Duration(moves*float64(recoveryWaitSpan)),
		surplusHold:  surplusHoldBase + time.Duration(moves*float64(surplusHoldSpan)),
		rolloutShare: w.Rollout / sum,
	}
}
