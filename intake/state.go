package intake

import "time"

// Phase is what a connection waits for.
type Phase string

// Phases of a connection.
const (
	// PhaseIdle lasts until the first byte of a request.
	PhaseIdle Phase = "idle"
	// PhaseHeader lasts until the headers of a request are complete.
	PhaseHeader Phase = "header"
	// PhaseServed lasts while the process works on a request, until its response is written. The client need not do anything.
	PhaseServed Phase = "served"
	// PhaseBody lasts while a body is read, or what is left of it after the response.
	PhaseBody Phase = "body"
	// PhaseRefused lasts from the response that refuses a request until the connection is closed.
	PhaseRefused Phase = "refused"
)

// Reason is why a connection is closed.
type Reason string

// Reasons for closing a connection.
const (
	// ReasonNone stands for a connection that stays open.
	ReasonNone Reason = ""
	// ReasonCrowded: another connection needed the descriptor.
	ReasonCrowded Reason = "crowded"
	// ReasonStalled: another body or response needed the memory.
	ReasonStalled Reason = "stalled"
	// ReasonHeaders: the headers were too large.
	ReasonHeaders Reason = "headers"
	// The other reasons: a time limit has passed in the phase of this name, or while a response was written.
	ReasonIdle   Reason = "idle"
	ReasonHeader Reason = "header"
	ReasonBody   Reason = "body"
	ReasonWrite  Reason = "write"
	// ReasonRefused ends a connection whose request was refused.
	ReasonRefused Reason = "refused"
)

// State is what decisions about a connection depend on.
type State struct {
	Phase Phase
	// IsWriting is set while bytes are being written that the client does not take.
	IsWriting bool
	// Age is the time since the last progress; in PhaseHeader, the time since the phase began. It does not include time during which
	// the process was paused.
	Age time.Duration
	// Order increases with each progress of any connection of the listener.
	Order int64
}

// Overdue returns why a connection is closed without need for its descriptor. It answers a client that sends or reads nothing
// more, and one that sends its headers byte by byte.
func (s State) Overdue(l Limits) Reason {
	switch {
	case s.IsWriting && s.Age > WriteTimeout:
		return ReasonWrite
	case s.IsWriting:
		return ReasonNone
	case s.Phase == PhaseIdle && s.Age > l.IdleTimeout:
		return ReasonIdle
	case s.Phase == PhaseHeader && s.Age > l.HeaderTimeout:
		return ReasonHeader
	case s.Phase == PhaseBody && s.Age > BodyTimeout:
		return ReasonBody
	case s.Phase == PhaseRefused && s.Age > lingerTime:
		return ReasonRefused
	}
	return ReasonNone
}

// MayYield reports whether a connection may be closed for another one: its client, and not this process, is at work.
func (s State) MayYield() bool {
	if s.IsWriting {
		return s.IsUnread()
	}
	return s.Phase != PhaseServed
}

// YieldsBefore reports whether a connection gives way before another one if both may yield. It answers a crowd that takes all
// connections: those that were refused go first, and then those whose last progress is the longest ago.
func (s State) YieldsBefore(other State) bool {
	if (s.Phase == PhaseRefused) != (other.Phase == PhaseRefused) {
		return s.Phase == PhaseRefused
	}
	return s.Order < other.Order
}

// IsStalled reports whether the body of a connection gives way to another body. It answers a crowd whose bodies fill the memory
// and never end.
func (s State) IsStalled() bool { return s.Phase == PhaseBody && s.Age >= StallTime }

// IsUnread reports whether the client of a connection takes nothing of a response, which gives way to another response.
func (s State) IsUnread() bool { return s.IsWriting && s.Age >= StallTime }
