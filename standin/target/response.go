package target

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"strconv"

	"github.com/cespare/xxhash/v2"

	"hibiscuslane.example/hibiscuslane/instance"
	"hibiscuslane.example/hibiscuslane/upstream"
)

// Request headers that control the response of the target. The query parameters time, size, status and
// chunked have the same effect.
const (
	HeaderServiceTime = "Standin-Time"    // service time in milliseconds
	HeaderSize        = "Standin-Size"    // size of the response body in bytes
	HeaderStatus      = "Standin-Status"  // HTTP status of the response
	HeaderChunked     = "Standin-Chunked" // true: the response has no Content-Length
	// HeaderDigest is a response header with the xxhash of the body, in decimal.
	HeaderDigest = "Standin-Digest"
)

// Bounds of the parameters, to which larger values are reduced, and of the request body.
const (
	maxServiceTimeMS = 10 * 60 * 1000 // milliseconds
	maxResponseSize  = 64 << 20       // bytes
	maxRequestBody   = 16 << 20       // bytes; the rest is not read
)

type parameters struct {
	serviceTimeMS int64
	responseSize  int64
	status        int
	chunked       bool
}

// parseParameters reads the parameters of a request. A status that is absent or not between 200 and 599 becomes 200.
func parseParameters(r *http.Request) parameters {
	p := parameters{
		serviceTimeMS: min(intParameter(r, HeaderServiceTime, "time"), maxServiceTimeMS),
		responseSize:  min(intParameter(r, HeaderSize, "size"), maxResponseSize),
		status:        int(intParameter(r, HeaderStatus, "status")),
		chunked:       parameter(r, HeaderChunked, "chunked") == "true",
	}
	if p.status < http.StatusOK || p.status > 599 {
		p.status = http.StatusOK
	}
	return p
}

// parameter returns the value of the header, or of the query parameter if the header is absent or empty.
func parameter(r *http.Request, header, query string) string {
	if v := r.Header.Get(header); v != "" {
		return v
	}
	return r.URL.Query().Get(query)
}

// intParameter returns the value of a parameter, or 0 if it is absent, malformed or negative.
func intParameter(r *http.Request, header, query string) int64 {
	n, err := strconv.ParseInt(parameter(r, header, query), 10, 64)
	if err != nil {
		return 0
	}
	return max(0, n)
}

// discardBody reads the request body, up to maxRequestBody, and returns the number of bytes.
func discardBody(r *http.Request) (int64, error) {
	return io.Copy(io.Discard, io.LimitReader(r.Body, maxRequestBody))
}

// echoBody is the response body if the client requests no size.
type echoBody struct {
	Instance    instance.ID          `json:"instance"`
	Incarnation instance.Incarnation `json:"incarnation"`
	Request     string               `json:"request"`
	Method      string               `json:"method"`
	Path        string               `json:"path"`
	Received    int64                `json:"received"` // bytes of the request body
}

func (p parameters) responseBody(r *http.Request, received int64, id instance.ID, incarnation instance.Incarnation) []byte {
	request := r.Header.Get(upstream.HeaderRequest)
	if p.responseSize > 0 {
		return PatternBody(request, int(p.responseSize))
	}
	// The struct holds only strings and numbers, which always encode.
	data, _ := json.Marshal(echoBody{
		Instance: id, Incarnation: incarnation, Request: request,
		Method: r.Method, Path: r.URL.Path, Received: received,
	})
	return append(data, '\n')
}

// PatternBody returns a response body of the given size, which repeats the request id on separate lines. A
// response that reaches the wrong caller therefore differs from the expected one.
func PatternBody(request string, size int) []byte {
	line := []byte(request + "\n")
	return bytes.Repeat(line, size/len(line)+1)[:size]
}

type response struct {
	parameters
	body []byte
}

// send writes the response. It calls release, which frees the slot, before the last byte, so that the slot is
// free when a client has received the whole response. If truncate is set, it aborts the connection after half
// of the body.
func (resp response) send(w http.ResponseWriter, truncate bool, release func()) {
	header := w.Header()
	header.Set(HeaderDigest, strconv.FormatUint(xxhash.Sum64(resp.body), 10))
	header.Set("Content-Type", "text/plain")
	if !resp.chunked && resp.status != http.StatusNoContent && resp.status != http.StatusNotModified {
		header.Set("Content-Length", strconv.Itoa(len(resp.body)))
	}
	w.WriteHeader(resp.status)
	if truncate {
		_, _ = w.Write(resp.body[:len(resp.body)/2])
		// Without a flush the abort would discard the buffered half.
		_ = http.NewResponseController(w).Flush()
		release()
		panic(http.ErrAbortHandler)
	}
	last := max(0, len(resp.body)-1)
	// A write error means that the client has disconnected; the journal contains the execution anyway.
	_, _ = w.Write(resp.body[:last])
	release()
	_, _ = w.Write(resp.body[last:])
}
