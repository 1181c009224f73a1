// Package reply reads and writes the JSON bodies of the platform protocol for the emulators.
package reply

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"net/http"

	"hibiscuslane.example/hibiscuslane/upstream"
)

// bodyLimit bounds a request body, so that a faulty client cannot exhaust memory.
const bodyLimit = 16 << 20

type refusal struct {
	Refused upstream.Refusal `json:"refused"`
	Reason  string           `json:"reason"`
}

// JSON writes v with the given status.
func JSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A write error means that the client is gone; nobody is left to tell.
	_ = json.NewEncoder(w).Encode(v)
}

// Accepted writes status 202 with an empty object.
func Accepted(w http.ResponseWriter) {
	JSON(w, http.StatusAccepted, struct{}{})
}

// Error writes a refusal as the protocol has it. It aborts the connection for any other error,
// because only a refusal proves that the call had no effect.
func Error(w http.ResponseWriter, err error) {
	var refused *upstream.RefusedError
	if !errors.As(err, &refused) {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set(upstream.HeaderRefused, string(refused.Refusal))
	JSON(w, StatusOf(refused.Refusal), refusal{Refused: refused.Refusal, Reason: refused.Reason})
}

// StatusOf returns the HTTP status of a refusal.
func StatusOf(word upstream.Refusal) int {
	switch word {
	case upstream.RefusedIncarnation, upstream.RefusedBusy, upstream.RefusedEpoch:
		return http.StatusConflict
	case upstream.RefusedDraining, upstream.RefusedFull, upstream.RefusedDown:
		return http.StatusServiceUnavailable
	case upstream.RefusedExpired:
		return http.StatusGone
	case upstream.RefusedMissing:
		return http.StatusNotFound
	case upstream.RefusedInvalid:
		return http.StatusBadRequest
	}
	return http.StatusBadRequest
}

// DecodeBody reads the JSON body of a request. Unknown fields are refused as invalid.
func DecodeBody(r *http.Request, into any) error {
	data, err := io.ReadAll(io.LimitReader(r.Body, bodyLimit+1))
	if err != nil {
		return Invalid(r.URL.Path, "body cannot be read: "+err.Error())
	}
	if len(data) > bodyLimit {
		return Invalid(r.URL.Path, "body is larger than 16 MiB")
	}
	return DecodeStrict(r.URL.Path, data, into)
}

// DecodeStrict decodes JSON and refuses unknown fields as invalid. Fields that data lacks keep their value.
func DecodeStrict(call string, data []byte, into any) error {
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		return Invalid(call, err.Error())
	}
	return nil
}

// Invalid returns the refusal of malformed input.
func Invalid(call, reason string) error {
	return Refuse(call, upstream.RefusedInvalid, reason)
}

// Refuse returns a refusal.
func Refuse(call string, word upstream.Refusal, reason string) error {
	return &upstream.RefusedError{Call: call, Refusal: word, Reason: reason}
}
