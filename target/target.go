// Package target sends one request to one target over HTTP and proves what became of it.
//
// It owns its connections and runs each request on one of them through http.ClientConn, which tries
// a request exactly once. http.Transport.RoundTrip is not used, because it resends requests that it
// takes for replayable when a reused connection closes before the response.
package target

import (
	"io"
	"net/http"

	"hibiscuslane.example/hibiscuslane/instance"
)

// RequestID identifies one request of a caller. The target repeats it in its response.
type RequestID string

// Request is one try of a caller's request. It must not be changed until Send has returned.
type Request struct {
	ID RequestID
	// Target names the target in errors and log events.
	Target      instance.ID
	Address     instance.Address
	Incarnation instance.Incarnation
	Method      string
	// Host is the Host header; empty means Address.
	Host string
	// URI is the path and query in origin form.
	URI string
	// Header is copied without hop-by-hop headers.
	Header http.Header
	Body   []byte
	// Idempotent requests are given up on a connection that is probably dead, because another try is
	// allowed.
	Idempotent bool
	// MaxConnections bounds the open connections from this entry to the target; at least 1.
	MaxConnections int
}

// Response is the response to one request. Either Body holds the whole response body and Stream is
// nil, or Stream delivers a body that is larger than Limits.MaxBufferedBytes.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
	// Stream fails with a Coded error, never with io.EOF, when the target breaks off. The reader closes it.
	Stream io.ReadCloser
	// Trailer is set when Stream is nil.
	Trailer http.Header
}

// hopHeaders concern one connection only and are not forwarded. Upgrade and Expect would also change
// how the connection is used.
var hopHeaders = []string{
	"Connection", "Expect", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization",
	"Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade",
}
