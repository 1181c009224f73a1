// Package snapshot preserves the state of streams beyond the retention of the log. It appends compressed
// snapshots to the log periodically (Writer) and loads them when an entry starts or has fallen behind
// the retention (Loader). Only "hibiscuslane serve" uses it; in "hibiscuslane run", a new owner reads
// the newest record of each key of the ledger (ledger.Open).
package snapshot

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"fmt"
	"io"
	"strconv"

	"hibiscuslane.example/hibiscuslane/failure"
	"hibiscuslane.example/hibiscuslane/record"
)

// Kind is the record kind of snapshots.
const Kind record.Kind = "snapshot"

// maxStateBytes limits a decompressed state, so that a malformed snapshot cannot exhaust memory.
const maxStateBytes = 256 << 20

// Body is the body of a snapshot record.
type Body struct {
	Stream record.Stream `json:"stream"`
	// Offset is the offset of the next record to apply to State.
	Offset record.Offset `json:"offset"`
	// Digest is the hexadecimal digest of the state.
	Digest string `json:"digest"`
	// State is the encoded state, compressed with gzip.
	State []byte `json:"state"`
}

// UnusableError reports a snapshot that cannot be used.
type UnusableError struct {
	Stream record.Stream
	Reason string
	Cause  error
}

func (e *UnusableError) Error() string {
	if e.Cause == nil {
		return fmt.Sprintf("snapshot of stream %s: %s", e.Stream, e.Reason)
	}
	return fmt.Sprintf("snapshot of stream %s: %s: %v", e.Stream, e.Reason, e.Cause)
}

// Unwrap returns the cause.
func (e *UnusableError) Unwrap() error { return e.Cause }

// Code implements failure.Coded.
func (e *UnusableError) Code() failure.Code { return failure.CodeInvalid }

// Outcome implements failure.Coded.
func (e *UnusableError) Outcome() failure.Outcome { return failure.OutcomeNotRun }

// Compress returns the body of a snapshot record for an encoded state.
func Compress(stream record.Stream, offset record.Offset, digest uint64, state []byte) (Body, error) {
	var compressed bytes.Buffer
	writer := gzip.NewWriter(&compressed)
	if _, err := writer.Write(state); err != nil {
		return Body{}, &UnusableError{Stream: stream, Reason: "state cannot be compressed", Cause: err}
	}
	if err := writer.Close(); err != nil {
		return Body{}, &UnusableError{Stream: stream, Reason: "state cannot be compressed", Cause: err}
	}
	return Body{Stream: stream, Offset: offset, Digest: formatDigest(digest), State: compressed.Bytes()}, nil
}

func formatDigest(digest uint64) string { return strconv.FormatUint(digest, 16) }

// Decompress returns the digest and the encoded state of a snapshot.
func (b Body) Decompress() (digest uint64, state []byte, err error) {
	digest, err = strconv.ParseUint(b.Digest, 16, 64)
	if err != nil {
		return 0, nil, &UnusableError{Stream: b.Stream, Reason: "digest is malformed", Cause: err}
	}
	reader, err := gzip.NewReader(bytes.NewReader(b.State))
	if err != nil {
		return 0, nil, &UnusableError{Stream: b.Stream, Reason: "state is malformed", Cause: err}
	}
	state, err = io.ReadAll(io.LimitReader(reader, maxStateBytes+1))
	if err != nil {
		return 0, nil, &UnusableError{Stream: b.Stream, Reason: "state is malformed", Cause: err}
	}
	if len(state) > maxStateBytes {
		return 0, nil, &UnusableError{Stream: b.Stream, Reason: "state is too large"}
	}
	return digest, state, nil
}

// Decode parses a snapshot record of the given stream.
func Decode(stream record.Stream, data json.RawMessage) (Body, error) {
	envelope, err := record.Decode(data)
	if err != nil {
		return Body{}, err
	}
	if envelope.Kind != Kind {
		return Body{}, &UnusableError{Stream: stream, Reason: "record kind is " + string(envelope.Kind)}
	}
	var body Body
	if err := record.DecodeBody(envelope, &body); err != nil {
		return Body{}, err
	}
	if body.Stream != stream || body.Offset < 0 {
		return Body{}, &UnusableError{Stream: stream, Reason: "offset is negative, or record belongs to stream " + string(body.Stream)}
	}
	return body, nil
}
