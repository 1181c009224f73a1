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

// hopHeaders belong to one connection and are not forwarded.
var hopHeaders = map[string]bool{
	"Connection": true, "Keep-Alive": true, "Proxy-Authenticate": true, "Proxy-Authorization": true,
	"Proxy-Connection": true, "Te": true, "Trailer": true, "Transfer-Encoding": true, "Upgrade": true,
}

// retryHint is the Retry-After in seconds of a refusal that names no time.
const retryHint = "1"

type answerer struct {
	events event.Log
}

// encode writes a response. If a streamed response breaks off it aborts the caller's connection, so
// that the caller cannot take the part for the whole.
func (a answerer) encode(ctx context.Context, w http.ResponseWriter, message any) error {
	response := message.(*Response)
	writeHeader(w.Header(), response, idOf(ctx))
	w.WriteHeader(response.Status)
	if response.Stream == nil {
		// A write error means that the caller is gone; nobody is left to tell.
		_, _ = w.Write(response.Body)
		return nil
	}
	defer func() { _ = response.Stream.Close() }()
	if err := copyStream(w, response); err != nil {
		a.events.Warn(eventAbort, "request", idOf(ctx), "error", err)
		panic(http.ErrAbortHandler)
	}
	return nil
}

func copyStream(w io.Writer, response *Response) error {
	if _, err := w.Write(response.Body); err != nil {
		return &IncompleteResponseError{Cause: err}
	}
	if n, err := io.Copy(w, response.Stream); err != nil {
		return &IncompleteResponseError{BytesReceived: int(n) + len(response.Body), Cause: err}
	}
	return nil
}

func writeHeader(header http.Header, response *Response, id ID) {
	for name, values := range response.Header {
		if isForwarded(response.Header, name) {
			header[name] = values
		}
	}
	header.Set(failure.HeaderRequest, string(id))
	header.Set(failure.HeaderOutcome, string(failure.OutcomeAnswered))
	if response.Stream == nil && len(response.Body) > 0 {
		header.Set("Content-Length", strconv.Itoa(len(response.Body)))
	}
}

// isForwarded reports whether a header of a message goes to the next hop.
func isForwarded(header http.Header, name string) bool {
	if hopHeaders[name] || strings.HasPrefix(name, "Platform-") {
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

// fail writes an error.
func (a answerer) fail(ctx context.Context, err error, w http.ResponseWriter) {
	a.events.Info(eventFailed, "request", idOf(ctx), "error", err)
	writeFailure(w, idOf(ctx), err)
}

func writeFailure(w http.ResponseWriter, id ID, err error) {
	var delayed failure.Delayed
	status := failure.Status(err)
	if !errors.As(err, &delayed) && (status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable) {
		w.Header().Set("Retry-After", retryHint)
	}
	failure.Write(w, string(id), err)
}

// ForwardedHeader returns the headers of a request that go to a target. Headers of the target protocol
// are left out, so that a caller cannot forge them.
func ForwardedHeader(r *Request) http.Header {
	header := make(http.Header, len(r.Header))
	for name, values := range r.Header {
		if isForwarded(r.Header, name) {
			header[name] = values
		}
	}
	return header
}
