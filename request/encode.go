package request

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/textproto"
	"strconv"
	"strings"

	"hibiscuslane.example/hibiscuslane/event"
	"hibiscuslane.example/hibiscuslane/failure"
)

// hopByHopHeaders apply to a single connection and are not forwarded.
var hopByHopHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
	"Proxy-Connection": true, "Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
}

// defaultRetryAfter is the Retry-After header, in seconds, of errors that do not specify a delay.
const defaultRetryAfter = "1"

// responseEncoder writes the responses and errors of the endpoint to HTTP callers.
type responseEncoder struct {
	events event.Log
}

// encode writes a response. If a streamed body ends early, encode aborts the connection to the caller, so that the
// caller cannot mistake the truncated body for a complete one.
func (e responseEncoder) encode(ctx context.Context, w http.ResponseWriter, message any) error {
	response := message.(*Response)
	setHeaders(w.Header(), response, requestID(ctx))
	w.WriteHeader(response.Status)
	if response.Stream == nil {
		// If this fails, the caller has disconnected and cannot receive an error.
		_, _ = w.Write(response.Body)
		return nil
	}
	defer func() { _ = response.Stream.Close() }()
	if err := writeStream(w, response); err != nil {
		e.events.Warn(eventResponseAborted, "request", requestID(ctx), "error", err)
		panic(http.ErrAbortHandler)
	}
	return nil
}

func writeStream(w io.Writer, response *Response) error {
	if _, err := w.Write(response.Body); err != nil {
		return &IncompleteResponseError{Cause: err}
	}
	if n, err := io.Copy(w, response.Stream); err != nil {
		return &IncompleteResponseError{BytesReceived: int(n) + len(response.Body), Cause: err}
	}
	return nil
}

func setHeaders(header http.Header, response *Response, id ID) {
	for name, values := range response.Header {
		if isForwardedHeader(response.Header, name) {
			header[name] = values
		}
	}
	header.Set(failure.HeaderRequest, string(id))
	header.Set(failure.HeaderOutcome, string(failure.OutcomeAnswered))
	if response.Stream == nil && len(response.Body) > 0 {
		header.Set("Content-Length", strconv.Itoa(len(response.Body)))
	}
}

// isForwardedHeader reports whether the header with the given name is forwarded to the next hop. Not forwarded are
// hop-by-hop headers, those that the Connection header lists, and those of the target protocol.
func isForwardedHeader(header http.Header, name string) bool {
	if hopByHopHeaders[name] || strings.HasPrefix(name, "Platform-") {
		return false
	}
	for _, list := range header["Connection"] {
		for named := range strings.SplitSeq(list, ",") {
			if textproto.CanonicalMIMEHeaderKey(strings.TrimSpace(named)) == name {
				return false
			}
		}
	}
	return true
}

// encodeError logs an error and writes it as the response.
func (e responseEncoder) encodeError(ctx context.Context, err error, w http.ResponseWriter) {
	e.events.Info(eventRequestFailed, "request", requestID(ctx), "error", err)
	writeError(w, requestID(ctx), err)
}

// writeError writes an error as the response. If the status is 429 or 503 and the error specifies no delay, it adds
// defaultRetryAfter.
func writeError(w http.ResponseWriter, id ID, err error) {
	var delayed failure.Delayed
	status := failure.Status(err)
	if !errors.As(err, &delayed) && (status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable) {
		w.Header().Set("Retry-After", defaultRetryAfter)
	}
	failure.Write(w, string(id), err)
}

// ForwardedHeader returns the headers of a request that are forwarded to a target. It omits the headers of the
// target protocol, so that a caller cannot forge them.
func ForwardedHeader(r *Request) http.Header {
	header := make(http.Header, len(r.Header))
	for name, values := range r.Header {
		if isForwardedHeader(r.Header, name) {
			header[name] = values
		}
	}
	return header
}
