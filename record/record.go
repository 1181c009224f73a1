// Package record defines the envelope of every record that the system keeps in the platform's log.
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

// Streams of the system.
const (
	StreamConfig Stream = "config"
	StreamFleet  Stream = "fleet"
	StreamJob    Stream = "job"
	StreamClaim  Stream = "claim"
)

// Snapshot returns the stream that carries the snapshots of s.
func (s Stream) Snapshot() Stream { return s + ".snapshot" }

// Kind names the type of a record's body.
type Kind string

// Author names who caused a record: an operator, a team, or the id of an entry.
type Author string

// Sequence numbers the records of one writer in one stream, starting at 1.
type Sequence uint64

// Writer is one life of a process that appends records.
type Writer struct {
	Entry       instance.ID          `json:"entry"`
	Incarnation instance.Incarnation `json:"incarnation"`
}

// ID identifies a record. An append that is repeated after a lost answer carries the same ID.
type ID struct {
	Writer
	Sequence Sequence `json:"sequence"`
}

func (id ID) String() string {
	return fmt.Sprintf("%s/%d/%d", id.Entry, id.Incarnation, id.Sequence)
}

// Envelope is a record as it stands in the log.
type Envelope struct {
	ID   ID   `json:"id"`
	Kind Kind `json:"kind"`
	// Time is the clock of the writer. It never arbitrates between records.
	Time   time.Time       `json:"time"`
	Author Author          `json:"author,omitempty"`
	Body   json.RawMessage `json:"body"`
}

// DecodeError reports a record whose envelope or body cannot be decoded.
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
	if field := missing(e); field != "" {
		return Envelope{}, &DecodeError{Cause: &FieldError{Field: field}}
	}
	return e, nil
}

func missing(e Envelope) string {
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

// DecodeBody decodes the body of an envelope into a typed body and rejects unknown fields.
func DecodeBody(e Envelope, into any) error {
	decoder := json.NewDecoder(bytes.NewReader(e.Body))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		return &DecodeError{Kind: e.Kind, Cause: err}
	}
	return nil
}
