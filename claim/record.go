package claim

import (
	"hibiscuslane.example/hibiscuslane/record"
	"hibiscuslane.example/hibiscuslane/team"
)

// Kinds of records of the claim stream.
const (
	KindClaim   record.Kind = "claim"
	KindOutcome record.Kind = "outcome"
)

// Key is an idempotency key in the scope of its team.
type Key struct {
	Team  team.Name `json:"team"`
	Value string    `json:"key"`
}

// Digest identifies the method, path and body of a request.
type Digest string

// Body is the body of a claim record. Its holder is the writer of the record.
type Body struct {
	Key
	Digest Digest `json:"digest"`
}

// Result is what became of a claimed request.
type Result string

// Results of a claimed request.
const (
	ResultAnswered Result = "answered" // the target executed it and answered
	ResultNotRun   Result = "notrun"   // provably not executed; frees the key
	ResultUnknown  Result = "unknown"  // may or may not have been executed
)

// Outcome is the body of an outcome record.
type Outcome struct {
	Key
	// ClaimID is the record id of the claim that the outcome settles.
	ClaimID record.ID `json:"claim"`
	Result  Result    `json:"result"`
	// Answer is set for answered requests whose answer is at most MaxInlineBody bytes.
	Answer *Answer `json:"answer,omitempty"`
	// AnswerInMemory says that the holder keeps the answer in memory, because it is larger than MaxInlineBody.
	AnswerInMemory bool `json:"held,omitempty"`
}

// MaxInlineBody bounds the body in bytes of an answer that the log carries.
const MaxInlineBody = 4 << 10

// maxHeader bounds the bytes of header names and values that the log carries with an answer.
const maxHeader = 2 << 10

// Answer is a recorded response of a target.
type Answer struct {
	Status int `json:"status"`
	// Header has one value per name.
	Header map[string]string `json:"header,omitempty"`
	Body   []byte            `json:"body,omitempty"`
}

func (a *Answer) size() int {
	return headerSize(a.Header) + len(a.Body)
}

func (a *Answer) inline() bool {
	return len(a.Body) <= MaxInlineBody && headerSize(a.Header) <= maxHeader
}

func headerSize(header map[string]string) int {
	size := 0
	for name, value := range header {
		size += len(name) + len(value)
	}
	return size
}
