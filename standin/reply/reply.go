// Package reply decodes requests and writes responses of the platform protocol for the emulators.
package reply

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"net/http"

	"hibiscuslane.example/hibiscuslane/upstream"
)

// maxBodyBytes bounds a request body, so that a faulty client cannot exhaust memory.
const maxBodyBytes = 16 << 20

type refusalBody struct {
	Refused upstream.Refusal `json:"refused"`
	Reason  string           `json:"reason"`
}

// JSON writes v as JSON with the given status.
func JSON(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A write error means that the client has disconnected.
	_ = json.NewEncoder(w).Encode(v)
}

// Accepted writes status 202 with an empty object.
func Accepted(w http.ResponseWriter) {
	JSON(w, http.StatusAccepted, struct{}{})
}

// Error writes a refusal in the form of the protocol. For any other error it aborts the connection,
// because a refusal tells the client that the call had no effect.
func Error(w http.ResponseWriter, err error) {
	var refused *upstream.RefusedError
	if !errors.As(err, &refused) {
		panic(http.ErrAbortHandler)
	}
	w.Header().Set(upstream.HeaderRefused, string(refused.Refusal))
	JSON(w, StatusOf(refused.Refusal), refusalBody{Refused: refused.Refusal, Reason: refused.Reason})
}

// StatusOf returns the HTTP status for a refusal.
func StatusOf(refusal upstream.Refusal) int {
	switch refusal {
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

// DecodeBody decodes the JSON body of a request. It refuses unknown fields and bodies above maxBodyBytes as invalid.
func DecodeBody(r *http.Request, dest any) error {
	data, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes+1))
	if err != nil {
		return Invalid(r.URL.Path, "body cannot be read: "+err.Error())
	}
	if len(data) > maxBodyBytes {
		return Invalid(r.URL.Path, "body is larger than 16 MiB")
	}
	return DecodeStrict(r.URL.Path, data, dest)
}

// DecodeStrict decodes JSON and refuses unknown fields as invalid. Fields that are absent from data keep
// their value.
func DecodeStrict(call string, data []byte, dest any) error {
	decoder := json.NewDecoder(bytes.NewReader(data))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(dest); err != nil {
		return Invalid(call, err.Error())
	}
	return nil
}

// Invalid returns the refusal for malformed input.
func Invalid(call, reason string) error {
	return Refuse(call, upstream.RefusedInvalid, reason)
}

// Refuse returns the error with which a call is refused.
func Refuse(call string, refusal upstream.Refusal, reason string) error {
	return &upstream.RefusedError{Call: call, Refusal: refusal, Reason: reason}
}
