// Package failure defines the codes and outcomes of errors and maps them to HTTP statuses and JSON bodies.
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

// Code identifies the kind of an error in API responses and logs.
type Code string

// Codes of errors.
const (
	CodeInvalid     Code = "invalid"     // input is malformed or out of range
	CodeMissing     Code = "missing"     // requested object does not exist
	CodeConflict    Code = "conflict"    // precondition on a version or state does not hold
	CodeReused      Code = "reused"      // idempotency key was used with a different request
	CodeUnready     Code = "unready"     // process cannot handle the request yet, for example because its state is not loaded
	CodeStopping    Code = "stopping"    // process is shutting down
	CodeOverloaded  Code = "overloaded"  // queue or backlog is full
	CodeLimited     Code = "limited"     // quota or rate limit of the team is exhausted
	CodeDeadline    Code = "deadline"    // deadline cannot be met or has passed
	CodeRefused     Code = "refused"     // target or platform refused the request without starting it
	CodeUnreachable Code = "unreachable" // no connection to the target
	CodeBroken      Code = "broken"      // connection ended before the complete response arrived
	CodeOutage      Code = "outage"      // service of the platform, such as the log, is unavailable
	CodeExpired     Code = "expired"     // records or stored responses are no longer retained
	CodePending     Code = "pending"     // result is not known yet
	CodeInternal    Code = "internal"    // unexpected error
)

// Outcome tells whether a caller's request was executed.
type Outcome string

// Outcomes of a request.
const (
	OutcomeAnswered Outcome = "answered" // the complete response of the target was delivered
	OutcomeNotRun   Outcome = "notrun"   // the request was certainly not executed
	OutcomeUnknown  Outcome = "unknown"  // the request may have been executed
)

// Coded is implemented by every exported error type of this module.
type Coded interface {
	error
	Code() Code
	Outcome() Outcome
}

// Delayed is implemented by errors that tell the caller when to retry.
type Delayed interface {
	RetryAfter() time.Duration
}

// InternalError wraps an error that has no code, such as one from a library. Its cause holds the stack trace
// of the place where it was wrapped.
type InternalError struct {
	Cause error
}

// Trace returns the cause with its stack trace.
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

// Status returns the HTTP status for an error.
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
		return statusIfRun(coded, http.StatusGatewayTimeout)
	case CodeRefused, CodeUnreachable, CodeBroken, CodePending:
		return statusIfRun(coded, http.StatusBadGateway)
	case CodeExpired:
		return http.StatusGone
	case CodeInternal:
		return http.StatusInternalServerError
	}
	return http.StatusInternalServerError
}

// statusIfRun returns the given status, or 503 if the request was certainly not executed, so that callers
// may retry it.
func statusIfRun(coded Coded, status int) int {
	if coded.Outcome() == OutcomeNotRun {
		return http.StatusServiceUnavailable
	}
	return status
}

// Names of headers in responses to callers.
const (
	HeaderOutcome = "Hibiscuslane-Outcome"
	HeaderRequest = "Hibiscuslane-Request"
)

// Body is the JSON body of an error response.
type Body struct {
	Code    Code    `json:"code"`
	Outcome Outcome `json:"outcome"`
	Request string  `json:"request,omitempty"` // id of the request
	Reason  string  `json:"reason"`
}

// Write sends err as the HTTP response to the request with the given id.
func Write(w http.ResponseWriter, requestID string, err error) {
	coded := Of(err)
	body := Body{Code: coded.Code(), Outcome: coded.Outcome(), Request: requestID, Reason: coded.Error()}
	header := w.Header()
	header.Set("Content-Type", "application/json")
	header.Set(HeaderOutcome, string(body.Outcome))
	if requestID != "" {
		header.Set(HeaderRequest, requestID)
	}
	var delayed Delayed
	if errors.As(err, &delayed) {
		header.Set("Retry-After", strconv.Itoa(roundUpSeconds(delayed.RetryAfter())))
	}
	w.WriteHeader(Status(err))
	// A write error means that the caller has disconnected, so there is nobody to report it to.
	_ = json.NewEncoder(w).Encode(body)
}

// roundUpSeconds returns the duration in whole seconds, the unit of Retry-After, and at least 1, because 0
// would invite an immediate retry.
func roundUpSeconds(d time.Duration) int {
	return max(1, int(math.Ceil(d.Seconds())))
}
