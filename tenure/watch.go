package tenure

import "time"

const (
	// Silence is how long the owner may be silent before its peers replace it.
	Silence = 1200 * time.Millisecond
	// aloneSilence is how long it may be silent towards a member that no other member answers either: that
	// member is more likely to be slow or cut off itself.
	aloneSilence = 3 * time.Second
)

// Answer is what came back on a sign of life to the owner.
type Answer string

// Answers to a sign of life.
const (
	AnswerOwner   Answer = "owner"   // it is the owner
	AnswerYielded Answer = "yielded" // it has given way
	AnswerOther   Answer = "other"   // another life answers at the address: the owner's process has ended
	AnswerMember  Answer = "member"  // it lives, and is not the owner
	AnswerRefused Answer = "refused" // nothing listens at the address
	AnswerNone    Answer = "none"    // there was no answer
)

// Step is what a member does about the owner.
type Step string

// Steps of a member.
const (
	StepWait    Step = "wait"    // go on with signs of life
	StepForget  Step = "forget"  // ask the store who the owner is
	StepReplace Step = "replace" // claim the ownership
	StepAsk     Step = "ask"     // claim it unless another member hears the owner
)

// Watch judges the owner by its answers. After a loss of power all members find out at the same time that the
// owner has gone, and chance decides who claims first; so each leaves the ownership to larger instances for
// its handicap.
type Watch struct {
	// owner is the member that is watched, since when it last answered as the owner or became known.
	owner Member
	since time.Time
	// strange is when it first gave another answer; zero while it answers as the owner.
	strange time.Time
}

// Follow sets the member that is watched. While no owner is known the last one stays: callers' requests that it
// turns away let a process forget the owner and learn it again several times a second.
func (w *Watch) Follow(owner Member, now time.Time) {
	if owner != "" && w.owner != owner {
		*w = Watch{owner: owner, since: now}
	}
}

// Silent returns for how long the owner has not answered as the owner.
func (w *Watch) Silent(now time.Time) time.Duration { return now.Sub(w.since) }

// Doubtful reports whether the last answer was not that of the owner.
func (w *Watch) Doubtful() bool { return !w.strange.IsZero() }

// Judge takes over the answer to a sign of life that was sent at the given time, and returns what to do
// with it and, for a replacement, how the owner departed.
func (w *Watch) Judge(answer Answer, sent, now time.Time, handicap time.Duration) (Step, Departure) {
	if answer == AnswerOwner {
		w.since, w.strange = sent, time.Time{}
		return StepWait, DepartureNone
	}
	if w.strange.IsZero() {
		w.strange = now
	}
	late := now.Sub(w.strange) >= handicap
	switch answer {
	case AnswerMember:
		return StepForget, DepartureNone
	case AnswerOther:
		if late {
			return StepReplace, DepartureEnded
		}
	case AnswerYielded:
		if late {
			return StepReplace, DepartureYielded
		}
	case AnswerRefused:
		if late {
			return StepReplace, DepartureSilent
		}
	case AnswerNone:
		if w.Silent(now) > Silence+handicap {
			return StepAsk, DepartureSilent
		}
	case AnswerOwner:
	}
	return StepWait, DepartureNone
}

// Opinion is what other members say of an owner that is silent.
type Opinion string

// Opinions of other members.
const (
	OpinionHeard  Opinion = "heard"  // one hears the owner
	OpinionSilent Opinion = "silent" // none hears it, and one has answered
	OpinionNone   Opinion = "none"   // none has answered
)

// With returns the opinion of two groups of members.
func (o Opinion) With(other Opinion) Opinion {
	switch {
	case o == OpinionHeard || other == OpinionHeard:
		return OpinionHeard
	case o == OpinionSilent || other == OpinionSilent:
		return OpinionSilent
	}
	return OpinionNone
}

// Confirms reports whether the owner may be replaced after it has been silent for a time.
func (o Opinion) Confirms(silence time.Duration) bool {
	return o == OpinionSilent || o == OpinionNone && silence > aloneSilence
}
