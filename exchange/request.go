// Package exchange sends requests to targets over HTTP (Transport) and determines whether a failed request may
// have been executed. Only "hibiscuslane serve" uses it, as "hibiscuslane run" only runs jobs on workers.
//
// It manages its own connections and sends each request on one of them through http.ClientConn, which makes
// exactly one attempt. http.Transport.RoundTrip is not used, because it resends requests that it considers
// replayable if a reused connection is closed before the response.
package exchange

import (
	"io"
	"net/http"

	"hibiscuslane.example/hibiscuslane/instance"
)

// RequestID identifies a request of a caller. The target returns it in its response.
type RequestID string

// Request is one attempt at a caller's request. It must not be modified until Send has returned.
type Request struct {
	ID RequestID
	// Target identifies the target in errors and log events.
	Target  instance.ID
	Address instance.Address
	// Incarnation is the one that the request is meant for. A target with another one refuses the request.
	Incarnation instance.Incarnation
	Method      string
	// Host is the Host header; empty means Address.
	Host string
	// URI is the path and query in origin form.
	URI string
	// Header is sent without its hop-by-hop headers.
	Header http.Header
	Body   []byte
	// Idempotent requests are abandoned sooner if their connection is probably dead, because the caller may
	// send them again.
	Idempotent bool
	// MaxConnections limits the open connections from this entry to the target; values below 1 count as 1.
	MaxConnections int
}

// Response is the response to one request. Either Body holds the whole body and Stream is nil, or Stream
// delivers a body that is larger than Limits.MaxBufferedBytes.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
	// Stream returns a failure.Coded error instead of io.EOF if the body is incomplete. The caller closes it.
	Stream io.ReadCloser
	// Trailer is set only if Stream is nil.
	Trailer http.Header
}

// hopByHopHeaders apply to a single connection and are not forwarded. Upgrade and Expect would also change how
// the connection is used.
var hopByHopHeaders = []string{
	"Connection", "Expect", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}
