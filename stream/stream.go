// Package stream reads and writes the streams of the platform's log: a Follower folds a stream into a
// state, an Appender batches records, and a Proposer does both to learn the verdict on a record.
package stream

import (
	"hibiscuslane.example/hibiscuslane/record"
)

// Result says what a fold did with a record.
type Result string

// Results of a fold.
const (
	ResultApplied   Result = "applied"
	ResultStale     Result = "stale"     // the record's precondition does not hold
	ResultDuplicate Result = "duplicate" // a record with this id was folded before
	ResultInvalid   Result = "invalid"   // the record cannot be decoded or breaks a rule
)

// Verdict is the result of a fold with its reason.
type Verdict struct {
	Result Result `json:"result"`
	// Reason is empty for applied records.
	Reason string `json:"reason,omitempty"`
}

// Applied is the verdict on a record that changed the state.
var Applied = Verdict{Result: ResultApplied}

// Stale returns the verdict on a record whose precondition does not hold.
func Stale(reason string) Verdict { return Verdict{Result: ResultStale, Reason: reason} }

// Invalid returns the verdict on a record that cannot be decoded or breaks a rule.
func Invalid(err error) Verdict { return Verdict{Result: ResultInvalid, Reason: err.Error()} }

// StateMachine is the state of one stream. Its methods are safe for concurrent use. Fold is deterministic:
// equal histories give equal digests on every entry.
type StateMachine interface {
	Apply(offset record.Offset, envelope record.Envelope) Verdict
	// Snapshot returns the whole state as JSON, Restore replaces the state by such a snapshot.
	Snapshot() ([]byte, error)
	Restore(data []byte) error
	// Digest is a hash of the state in a canonical encoding.
	Digest() uint64
}
