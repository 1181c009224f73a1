package election

import "time"

const (
	// HeartbeatTimeout is how long the owner may be silent before its peers replace it.
	HeartbeatTimeout = 1200 * time.Millisecond
	// aloneSilence is how long it may be silent towards a member that no other member answers either: that
	// member is more likely to be slow or cut off itself.
	aloneSilence = 3 * time.Second
)

// Response is what came back on a sign of life to the owner.
type Response string

// Answers to a sign of life.
const (
	ResponseOwner             Response = "owner"   // it is the owner
	ResponseResigned          Response = "yielded" // it has given way
	ResponseOtherIncarnation  Response = "other"   // another life answers at the address: the owner's process has ended
	ResponseNotOwner          Response = "member"  // it lives, and is not the owner
	ResponseConnectionRefused Response = "refused" // nothing listens at the address
	ResponseNone              Response = "none"    // there was no answer
)

// Action is what a member does about the owner.
type Action string

// Steps of a member.
const (
	ActionWait         Action = "wait"    // go on with signs of life
	ActionLookUpOwner  Action = "forget"  // ask the store who the owner is
	ActionReplaceOwner Action = "replace" // claim the ownership
	ActionCollectVotes Action = "ask"     // claim it unless another member hears the owner
)

// Detector judges the owner by its answers. After a loss of power all members find out at the same time that the
// owner has gone, and chance decides who claims first; so each leaves the ownership to larger instances for
// its handicap.
type Detector struct {
	// owner is the member that is watched, since when it last answered as the owner or became known.
	owner Member
	since time.Time
	// strange is when it first gave another answer; zero while it answers as the owner.
	strange time.Time
}

// SetOwner sets the member that is watched. While no owner is known the last one stays: callers' requests that it
// turns away let a process forget the owner and learn it again several times a second.
func (w *Detector) SetOwner(owner Member, now time.Time) {
	if owner != "" && w.owner != owner {
		*w = Detector{owner: owner, since: now}
	}
}

// OwnerSilence returns for how long the owner has not answered as the owner.
func (w *Detector) OwnerSilence(now time.Time) time.Duration { return now.Sub(w.since) }

// IsSuspicious reports whether the last answer was not that of the owner.
func (w *Detector) IsSuspicious() bool { return !w.strange.IsZero() }

// RecordResponse takes over the answer to a sign of life that was sent at the given time, and returns what to do
// with it and, for a replacement, how the owner departed.
func (w *Detector) RecordResponse(answer Response, sent, now time.Time, handicap time.Duration) (Action, Departure) {
	if answer == ResponseOwner {
		w.since, w.strange = sent, time.Time{}
		return ActionWait, DepartureNone
	}
	if w.strange.IsZero() {
		w.strange = now
	}
	late := now.Sub(w.strange) >= handicap
	switch answer {
	case ResponseNotOwner:
		return ActionLookUpOwner, DepartureNone
	case ResponseOtherIncarnation:
		if late {
			return ActionReplaceOwner, DepartureExited
		}
	case ResponseResigned:
		if late {
			return ActionReplaceOwner, DepartureResigned
		}
	case ResponseConnectionRefused:
		if late {
			return ActionReplaceOwner, DepartureUnknown
		}
	case ResponseNone:
		if w.OwnerSilence(now) > HeartbeatTimeout+handicap {
			return ActionCollectVotes, DepartureUnknown
		}
	case ResponseOwner:
	}
	return ActionWait, DepartureNone
}

// Vote is what other members say of an owner that is silent.
type Vote string

// Opinions of other members.
const (
	VoteAlive       Vote = "heard"  // one hears the owner
	VoteUnreachable Vote = "silent" // none hears it, and one has answered
	VoteNone        Vote = "none"   // none has answered
)

// Combine returns the opinion of two groups of members.
func (o Vote) Combine(other Vote) Vote {
	switch {
	case o == VoteAlive || other == VoteAlive:
		return VoteAlive
	case o == VoteUnreachable || other == VoteUnreachable:
		return VoteUnreachable
	}
	return VoteNone
}

// AllowsReplacement reports whether the owner may be replaced after it has been silent for a time.
func (o Vote) AllowsReplacement(silence time.Duration) bool {
	return o == VoteUnreachable || o == VoteNone && silence > aloneSilence
}
