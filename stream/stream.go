// Package stream reads and writes the streams of the platform's log. A Follower applies the records of
// a stream to a state machine, an Appender appends records in batches, and a Proposer appends a record
// and waits for the verdict on it. Only "hibiscuslane serve" uses it; package ledger stores the state
// of "hibiscuslane run".
package stream

import (
	"hibiscuslane.example/hibiscuslane/record"
)

// Result is the effect of a record on the state.
type Result string

// Results of applying a record.
const (
	ResultApplied   Result = "applied"
	ResultStale     Result = "stale"     // the record's precondition does not hold
	ResultDuplicate Result = "duplicate" // a record with this id was read before
	ResultInvalid   Result = "invalid"   // the record cannot be decoded or breaks a rule
)

// Verdict is the result of applying a record, with the reason if the record was not applied.
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

// StateMachine is the state that results from the records of one stream. Its methods are safe for
// concurrent use.
type StateMachine interface {
	// Apply applies a record. It is deterministic: the same sequence of records gives the same digest on
	// every entry.
	Apply(offset record.Offset, envelope record.Envelope) Verdict
	// Snapshot returns the whole state as JSON. Restore replaces the state by such a snapshot.
	Snapshot() ([]byte, error)
	Restore(data []byte) error
	// Digest is a hash of the state in a canonical encoding.
	Digest() uint64
}
