// Package record defines the envelope of the records that "hibiscuslane serve" stores in the platform's
// log. The records that "hibiscuslane run" stores have no envelope (platform.Record).
package record

import (
	"bytes"
	"encoding/json"
	"fmt"
	"time"

	"hibiscuslane.example/hibiscuslane/failure"
	"hibiscuslane.example/hibiscuslane/instance"
)

// Offset is the position of a record in its stream. The first record of a stream has offset 0.
type Offset int64

// Stream names a stream of the platform's log.
type Stream string

// Streams that the system uses.
const (
	StreamConfig Stream = "config"
	StreamFleet  Stream = "fleet"
	StreamJob    Stream = "job"
	StreamClaim  Stream = "claim"
)

// Snapshot returns the stream that holds the snapshots of s.
func (s Stream) Snapshot() Stream { return s + ".snapshot" }

// Kind names the type of a record's body.
type Kind string

// Author identifies who caused a record: an operator, a team, or an entry.
type Author string

// Sequence numbers the records of one writer in one stream, starting at 1.
type Sequence uint64

// Writer identifies one incarnation of a process that appends records.
type Writer struct {
	Entry       instance.ID          `json:"entry"`
	Incarnation instance.Incarnation `json:"incarnation"`
}

// ID identifies a record. A repeated append carries the same ID if the response to the first one was lost.
type ID struct {
	Writer
	Sequence Sequence `json:"sequence"`
}

func (id ID) String() string {
	return fmt.Sprintf("%s/%d/%d", id.Entry, id.Incarnation, id.Sequence)
}

// Envelope is a record as it is stored in the log.
type Envelope struct {
	ID   ID   `json:"id"`
	Kind Kind `json:"kind"`
	// Time is the time of the writer's clock. It is never used to order or choose between records.
	Time   time.Time       `json:"time"`
	Author Author          `json:"author,omitempty"`
	Body   json.RawMessage `json:"body"`
}

// DecodeError reports a record whose envelope or body cannot be decoded, or whose envelope cannot be encoded.
type DecodeError struct {
	Kind  Kind
	Cause error
}

func (e *DecodeError) Error() string {
	if e.Kind == "" {
		return "record envelope is malformed: " + e.Cause.Error()
	}
	return fmt.Sprintf("body of %q record is malformed: %v", e.Kind, e.Cause)
}

// Unwrap returns the cause.
func (e *DecodeError) Unwrap() error { return e.Cause }

// Code implements failure.Coded.
func (e *DecodeError) Code() failure.Code { return failure.CodeInvalid }

// Outcome implements failure.Coded.
func (e *DecodeError) Outcome() failure.Outcome { return failure.OutcomeNotRun }

// FieldError reports an envelope that lacks a required field.
type FieldError struct {
	Field string
}

func (e *FieldError) Error() string { return "field " + e.Field + " is missing" }

// Code implements failure.Coded.
func (e *FieldError) Code() failure.Code { return failure.CodeInvalid }

// Outcome implements failure.Coded.
func (e *FieldError) Outcome() failure.Outcome { return failure.OutcomeNotRun }

// Encode returns the envelope as JSON.
func Encode(e Envelope) (json.RawMessage, error) {
	data, err := json.Marshal(e)
	if err != nil {
		return nil, &DecodeError{Kind: e.Kind, Cause: err}
	}
	return data, nil
}

// Decode parses an envelope and checks its required fields.
func Decode(data []byte) (Envelope, error) {
	var e Envelope
	if err := json.Unmarshal(data, &e); err != nil {
		return Envelope{}, &DecodeError{Cause: err}
	}
	if field := missingField(e); field != "" {
		return Envelope{}, &DecodeError{Cause: &FieldError{Field: field}}
	}
	return e, nil
}

func missingField(e Envelope) string {
	switch {
	case e.ID.Entry == "":
		return "id.entry"
	case e.ID.Sequence == 0:
		return "id.sequence"
	case e.Kind == "":
		return "kind"
	case len(e.Body) == 0:
		return "body"
	}
	return ""
}

// DecodeBody decodes the body of an envelope into target and rejects unknown fields.
func DecodeBody(e Envelope, target any) error {
	decoder := json.NewDecoder(bytes.NewReader(e.Body))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(target); err != nil {
		return &DecodeError{Kind: e.Kind, Cause: err}
	}
	return nil
}
