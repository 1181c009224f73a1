package claim

import (
	"hibiscuslane.example/hibiscuslane/record"
	"hibiscuslane.example/hibiscuslane/team"
)

// Kinds of records in the claim stream.
const (
	KindClaim   record.Kind = "claim"
	KindOutcome record.Kind = "outcome"
)

// Key is an idempotency key. Keys of different teams are independent.
type Key struct {
	Team  team.Name `json:"team"`
	Value string    `json:"key"`
}

// Digest is a hash of the method, path and body of a request.
type Digest string

// Body is the body of a claim record. The writer of the record is the holder of the claim.
type Body struct {
	Key
	Digest Digest `json:"digest"`
}

// Result tells whether a claimed request was executed.
type Result string

// Results of a claimed request.
const (
	ResultAnswered Result = "answered" // the target executed the request and answered
	ResultNotRun   Result = "notrun"   // the request was certainly not executed; frees the key
	ResultUnknown  Result = "unknown"  // the request may have been executed
)

// Outcome is the body of an outcome record.
type Outcome struct {
	Key
	// ClaimID is the record id of the claim to which the outcome belongs.
	ClaimID record.ID `json:"claim"`
	Result  Result    `json:"result"`
	// Answer is the answer of the target if it fits into a record, that is if its body has at most
	// MaxInlineBody bytes and its header at most maxInlineHeader bytes.
	Answer *Answer `json:"answer,omitempty"`
	// AnswerInMemory is true if the holder keeps the answer in memory because it does not fit into a
	// record.
	AnswerInMemory bool `json:"held,omitempty"`
}

// MaxInlineBody is the maximum size in bytes of the body of an answer that is written to the log.
const MaxInlineBody = 4 << 10

// maxInlineHeader is the maximum size in bytes of all header names and values of an answer that is
// written to the log.
const maxInlineHeader = 2 << 10

// Answer is a recorded response of a target.
type Answer struct {
	Status int `json:"status"`
	// Header contains one value for each name.
	Header map[string]string `json:"header,omitempty"`
	Body   []byte            `json:"body,omitempty"`
}

func (a *Answer) size() int {
	return headerSize(a.Header) + len(a.Body)
}

// fitsInline reports whether the answer is small enough to be written to the log.
func (a *Answer) fitsInline() bool {
	return len(a.Body) <= MaxInlineBody && headerSize(a.Header) <= maxInlineHeader
}

func headerSize(header map[string]string) int {
	size := 0
	for name, value := range header {
		size += len(name) + len(value)
	}
	return size
}
