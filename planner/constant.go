package planner

import (
	"math"
	"time"

	"hibiscuslane.example/hibiscuslane/config"
)

const (
	// listLag is the silence or failure that a lagging list or a burst of a few seconds explains. A
	// shorter one stops voluntary drains but starts no move.
	listLag = 15 * time.Second
	// silenceLimit is the absence from the list after which an active instance is lost. It is four
	// times listLag, because a wrong verdict costs a reboot.
	silenceLimit = time.Minute
	// rebootLimit is the absence after which a draining instance is lost. A reboot takes minutes.
	rebootLimit = 10 * time.Minute
	// failureLimit is the time after which a listed target that fails everywhere is lost and rebooted.
	failureLimit = 5 * time.Minute
	// leavingBound is the time in which all entries learn that a target is leaving. A reboot before
	// that could break a request on its way, whose outcome would be unknown.
	leavingBound = 3 * time.Second
	// removeAfter is the time after which a lost instance that the platform does not list is deleted.
	removeAfter = 24 * time.Hour
	// waveWindow is the time over which failures count as one wave.
	waveWindow = 10 * time.Minute

	// patienceBase is the time of a reboot: a shortage that one reboot ends is not worth a move, which
	// is a drain and a reboot itself. patienceSpan is added in proportion to the weight of moves.
	patienceBase = 2 * time.Minute
	patienceSpan = 8 * time.Minute
	// surplusBase and surplusSpan bound the time without any change in a pool before it gives an
	// instance back: several reboots, so that a returning instance and its replacement settle first.
	surplusBase = 5 * time.Minute
	surplusSpan = 10 * time.Minute
	// busyShare is the smoothed use of a pool above which it keeps its surplus.
	busyShare = 0.8
	// dueShare is the part of the maintenance period after which an instance is due. The rest leaves
	// time for budgets and pauses, so that each instance is visited within the period.
	dueShare = 0.75
	day      = 24 * time.Hour
)

// tuning is the effect of the weights of one or more sites.
type tuning struct {
	// patience is how long a pool above its budget waits for a failed instance before a move.
	patience time.Duration
	// surplus is how long a pool keeps instances above its size.
	surplus time.Duration
	// rollout is the share of a pool's headroom that maintenance may use at once.
	rollout float64
}

func tune(w config.Weights) tuning {
	sum := w.Buffer + w.Moves + w.Rollout
	if sum <= 0 || math.IsInf(sum, 0) || math.IsNaN(sum) {
		w = config.Weights{Buffer: 1, Moves: 1, Rollout: 1}
		sum = 3
	}
	moves := w.Moves / sum
	return tuning{
		patience: patienceBase + time.Duration(moves*float64(patienceSpan)),
		surplus:  surplusBase + time.Duration(moves*float64(surplusSpan)),
		rollout:  w.Rollout / sum,
	}
}
