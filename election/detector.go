package election

import "time"

const (
	// HeartbeatTimeout is how long the owner may leave heartbeats unanswered before its peers vote on replacing
	// it. Each peer adds its candidacy delay.
	HeartbeatTimeout = 1200 * time.Millisecond
	// isolatedTimeout replaces HeartbeatTimeout for a member that gets no response from any other member
	// either. Such a member is more likely to be slow or disconnected itself.
	isolatedTimeout = 3 * time.Second
)

// Response classifies the outcome of a heartbeat to the owner.
type Response string

// Outcomes of a heartbeat.
const (
	ResponseOwner             Response = "owner"   // the callee is the owner
	ResponseResigned          Response = "yielded" // the callee has resigned
	ResponseOtherIncarnation  Response = "other"   // another incarnation answers at the address, so the owner's process has ended
	ResponseNotOwner          Response = "member"  // the callee is alive and is not the owner
	ResponseConnectionRefused Response = "refused" // no process listens at the address
	ResponseNone              Response = "none"    // no response arrived in time
)

// Action is what a member does after a heartbeat.
type Action string

// Actions of a member.
const (
	ActionWait         Action = "wait"    // keep sending heartbeats
	ActionLookUpOwner  Action = "forget"  // read the current owner from the store
	ActionReplaceOwner Action = "replace" // claim ownership
	ActionCollectVotes Action = "ask"     // claim ownership unless another member still reaches the owner
)

// Detector detects the failure of the owner from the responses to heartbeats. When the owner fails, all
// members notice at the same time and any of them could win the claim. Each member therefore waits for its
// candidacy delay, which is shorter on larger instances.
type Detector struct {
	// owner is the monitored member. lastHeartbeat is when the last heartbeat was sent to which it responded
	// as the owner, or when it became known.
	owner         Member
	lastHeartbeat time.Time
	// suspectedSince is when the owner first failed to respond as the owner; zero while there is no
	// suspicion.
	suspectedSince time.Time
}

// SetOwner sets the member to monitor. It ignores an empty owner: requests that the owner rejects can make a
// process forget the owner and find it again several times a second, which must not reset the detector.
func (d *Detector) SetOwner(owner Member, now time.Time) {
	if owner != "" && d.owner != owner {
		*d = Detector{owner: owner, lastHeartbeat: now}
	}
}

// OwnerSilence returns the time since the last heartbeat was sent to which the owner responded as the owner.
func (d *Detector) OwnerSilence(now time.Time) time.Duration { return now.Sub(d.lastHeartbeat) }

// IsSuspicious reports whether the owner did not respond as the owner to the last heartbeat.
func (d *Detector) IsSuspicious() bool { return !d.suspectedSince.IsZero() }

// RecordResponse records the outcome of a heartbeat that was sent at the given time. It returns the action to
// take and, for a replacement, how the owner's term ended.
func (d *Detector) RecordResponse(response Response, sent, now time.Time, candidacyDelay time.Duration) (Action, Departure) {
	if response == ResponseOwner {
		d.lastHeartbeat, d.suspectedSince = sent, time.Time{}
		return ActionWait, DepartureNone
	}
	if d.suspectedSince.IsZero() {
		d.suspectedSince = now
	}
	delayElapsed := now.Sub(d.suspectedSince) >= candidacyDelay
	switch response {
	case ResponseNotOwner:
		return ActionLookUpOwner, DepartureNone
	case ResponseOtherIncarnation:
		if delayElapsed {
			return ActionReplaceOwner, DepartureExited
		}
	case ResponseResigned:
		if delayElapsed {
			return ActionReplaceOwner, DepartureResigned
		}
	case ResponseConnectionRefused:
		if delayElapsed {
			return ActionReplaceOwner, DepartureUnknown
		}
	case ResponseNone:
		if d.OwnerSilence(now) > HeartbeatTimeout+candidacyDelay {
			return ActionCollectVotes, DepartureUnknown
		}
	case ResponseOwner:
	}
	return ActionWait, DepartureNone
}

// Vote says whether other members still reach an owner that does not respond to this member.
type Vote string

// Votes of other members.
const (
	VoteAlive       Vote = "heard"  // at least one reaches the owner
	VoteUnreachable Vote = "silent" // none reaches the owner, and at least one responded
	VoteNone        Vote = "none"   // none responded
)

// Combine merges the votes of two groups of members.
func (v Vote) Combine(other Vote) Vote {
	switch {
	case v == VoteAlive || other == VoteAlive:
		return VoteAlive
	case v == VoteUnreachable || other == VoteUnreachable:
		return VoteUnreachable
	}
	return VoteNone
}

// AllowsReplacement reports whether the owner may be replaced after the given time without a response.
func (v Vote) AllowsReplacement(silence time.Duration) bool {
	return v == VoteUnreachable || v == VoteNone && silence > isolatedTimeout
}
