// Package failure defines the codes and outcomes that typed errors carry, and their single mapping
// to HTTP status and JSON body.
package failure

import (
	"encoding/json"
	"errors"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/rotisserie/eris"
)

// Code names the kind of a failure in API answers and logs.
type Code string

// Codes of failures.
const (
	CodeInvalid     Code = "invalid"     // malformed or out-of-range input
	CodeMissing     Code = "missing"     // named object does not exist
	CodeConflict    Code = "conflict"    // precondition on a version or state does not hold
	CodeReused      Code = "reused"      // idempotency key was used with a different request
	CodeUnready     Code = "unready"     // state is not loaded yet
	CodeStopping    Code = "stopping"    // graceful shutdown is in progress
	CodeOverloaded  Code = "overloaded"  // queue or backlog is full
	CodeLimited     Code = "limited"     // quota or rate of the team is used up
	CodeDeadline    Code = "deadline"    // deadline cannot be met or has passed
	CodeRefused     Code = "refused"     // target or platform refused before starting
	CodeUnreachable Code = "unreachable" // no connection to the target
	CodeBroken      Code = "broken"      // connection ended before the whole answer arrived
	CodeOutage      Code = "outage"      // platform log or list is unavailable
	CodeExpired     Code = "expired"     // records are past the retention window
	CodePending     Code = "pending"     // result is not known yet
	CodeInternal    Code = "internal"    // unexpected failure
)

// Outcome says what became of a caller's request.
type Outcome string

// Outcomes of a request.
const (
	OutcomeAnswered Outcome = "answered" // the whole answer of the target is delivered
	OutcomeNotRun   Outcome = "notrun"   // provably not executed
	OutcomeUnknown  Outcome = "unknown"  // may or may not have been executed
)

// Coded is implemented by every error type of this module.
type Coded interface {
	error
	Code() Code
	Outcome() Outcome
}

// Delayed is implemented by errors that tell the caller when to try again.
type Delayed interface {
	RetryAfter() time.Duration
}

// InternalError reports a failure that has no type of its own, such as one from a library. Its cause
// carries the stack of the place where it was noticed.
type InternalError struct {
	Cause error
}

// Trace returns the cause with its stack.
func (e *InternalError) Trace() string { return eris.ToString(e.Cause, true) }

func (e *InternalError) Error() string { return "internal error: " + e.Cause.Error() }

// Unwrap returns the cause.
func (e *InternalError) Unwrap() error { return e.Cause }

// Code implements Coded.
func (e *InternalError) Code() Code { return CodeInternal }

// Outcome implements Coded.
func (e *InternalError) Outcome() Outcome { return OutcomeUnknown }

// Of returns the first Coded error in the chain of err, or an InternalError that wraps err.
func Of(err error) Coded {
	var coded Coded
	if errors.As(err, &coded) {
		return coded
	}
	return &InternalError{Cause: eris.Wrap(err, "unexpected failure")}
}

// Status maps an error to an HTTP status.
func Status(err error) int {
	coded := Of(err)
	switch coded.Code() {
	case CodeInvalid:
		return http.StatusBadRequest
	case CodeMissing:
		return http.StatusNotFound
	case CodeConflict:
		return http.StatusConflict
	case CodeReused:
		return http.StatusUnprocessableEntity
	case CodeOverloaded, CodeLimited:
		return http.StatusTooManyRequests
	case CodeUnready, CodeStopping, CodeOutage:
		return http.StatusServiceUnavailable
	case CodeDeadline:
		return ambiguous(coded, http.StatusGatewayTimeout)
	case CodeRefused, CodeUnreachable, CodeBroken, CodePending:
		return ambiguous(coded, http.StatusBadGateway)
	case CodeExpired:
		return http.StatusGone
	case CodeInternal:
		return http.StatusInternalServerError
	}
	return http.StatusInternalServerError
}

// ambiguous returns 503 for a request that provably did not run, so that callers may repeat it, and
// the given status otherwise.
func ambiguous(coded Coded, status int) int {
	if coded.Outcome() == OutcomeNotRun {
		return http.StatusServiceUnavailable
	}
	return status
}

// Header names of answers to callers.
const (
	HeaderOutcome = "Hibiscuslane-Outcome"
	HeaderRequest = "Hibiscuslane-Request"
)

// Body is the JSON body of a failed call.
type Body struct {
	Code    Code    `json:"code"`
	Outcome Outcome `json:"outcome"`
	Request string  `json:"request,omitempty"`
	Reason  string  `json:"reason"`
}

// Write sends err as the HTTP answer to the request with the given id.
func Write(w http.ResponseWriter, request string, err error) {
	coded := Of(err)
	body := Body{Code: coded.Code(), Outcome: coded.Outcome(), Request: request, Reason: coded.Error()}
	header := w.Header()
	header.Set("Content-Type", "application/json")
	header.Set(HeaderOutcome, string(body.Outcome))
	if request != "" {
		header.Set(HeaderRequest, request)
	}
	var delayed Delayed
	if errors.As(err, &delayed) {
		header.Set("Retry-After", strconv.Itoa(wholeSeconds(delayed.RetryAfter())))
	}
	w.WriteHeader(Status(err))
	// A write error means that the caller is gone; nobody is left to tell.
	_ = json.NewEncoder(w).Encode(body)
}

// wholeSeconds rounds up, because Retry-After carries whole seconds and a hint of 0 invites an
// immediate repeat.
func wholeSeconds(d time.Duration) int {
	return max(1, int(math.Ceil(d.Seconds())))
}
