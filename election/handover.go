package election

import "time"

const (
	// resignAfter is how long the store may be silent before an owner resigns in favour of a peer that
	// reaches it.
	resignAfter = 1300 * time.Millisecond
	// smallerPeerDelay is how much longer an owner waits before it resigns in favour of a peer on a smaller
	// instance, so that the heartbeats of all peers can arrive. A peer counts as smaller if its cores are less
	// than equalCoresRatio times those of the owner.
	smallerPeerDelay = 500 * time.Millisecond
	equalCoresRatio  = 0.9
	// largerCoresRatio is how many times the cores of the owner a peer must have to take over.
	largerCoresRatio = 1.5
	// minHandoverAge is the minimum age of a term that is handed over to a faster peer.
	minHandoverAge = 2 * time.Second
	// handoverPatience is the age of a term up to which it is not handed over to a larger instance while tasks wait: a
	// change of owner stops the placing of tasks for up to a second.
	handoverPatience = 4 * time.Second
	// rehandoverAge replaces minHandoverAge for a term that began with a handover, and rehandoverAgeSlowed if the
	// instance of the owner is slowed down, so that two instances do not pass the ownership to and fro.
	rehandoverAge       = 10 * time.Second
	rehandoverAgeSlowed = 4 * time.Second
)

// Cores is the processor capacity that a process has at present, in cores: that of its instance, or less while the
// instance is slowed down.
type Cores float64

// Tenure is what an owner knows about itself and its term.
type Tenure struct {
	Cores Cores
	// IsSlowed is set while the instance is slowed down.
	IsSlowed bool
	// Age is the age of the term, and HandedOver is set if it began because the previous owner resigned.
	Age        time.Duration
	HandedOver bool
	// StoreSilence is the time since the last call was sent that the store has answered.
	StoreSilence time.Duration
	// IsLoaded is set once the stored jobs are loaded, HasSettled once all registered workers have answered or proved
	// unreachable.
	IsLoaded, HasSettled bool
	// HasWaitingTasks is set if tasks wait for capacity.
	HasWaitingTasks bool
}

// Peer is what a heartbeat says about its sender.
type Peer struct {
	Cores Cores
	// ReachesStore is set if the peer has reached the store after the owner had asked it to try.
	ReachesStore bool
}

// ResignReason returns why the owner resigns in favour of the peer; empty if it does not. Load pattern: an instance that
// is slowed down, or a small one, becomes the owner while a burst waits.
func (t Tenure) ResignReason(p Peer) string {
	ratio := float64(p.Cores) / float64(t.Cores)
	excess := t.StoreSilence - resignAfter
	switch {
	case excess > 0:
		if p.ReachesStore && (excess > smallerPeerDelay || ratio >= equalCoresRatio) {
			return "a peer reaches the store, this process does not"
		}
	case !t.IsLoaded || ratio <= largerCoresRatio || t.Age <= minHandoverAge:
	case t.IsSlowed:
		if !t.HandedOver || t.Age > rehandoverAgeSlowed {
			return "this instance is slowed down, a peer is faster"
		}
	case t.canInterrupt():
		return "a peer on a larger instance takes over"
	}
	return ""
}

// canInterrupt reports whether the term can be handed over without harm to waiting tasks.
func (t Tenure) canInterrupt() bool {
	if !t.HasSettled || t.HandedOver && t.Age <= rehandoverAge {
		return false
	}
	return !t.HasWaitingTasks || t.Age > handoverPatience
}
