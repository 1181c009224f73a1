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

// Headers with which a client chooses what the target does. Query parameters time, size, status and
// chunked have the same effect.
const (
	HeaderServiceTime = "Standin-Time"    // service time in milliseconds
	HeaderSize        = "Standin-Size"    // size of the answer in bytes
	HeaderStatus      = "Standin-Status"  // HTTP status of the answer
	HeaderChunked     = "Standin-Chunked" // true: the answer has no Content-Length
	// HeaderDigest of an answer is the xxhash of its body, in decimal.
	HeaderDigest = "Standin-Digest"
)

// Bounds of the parameters and of a request body.
const (
	maxTime = 10 * 60 * 1000 // milliseconds
	maxSize = 64 << 20       // bytes
	maxBody = 16 << 20       // bytes
)

type parameters struct {
	time    int64
	size    int64
	status  int
	chunked bool
}

func parseParameters(r *http.Request) parameters {
	p := parameters{
		time:    min(number(r, HeaderServiceTime, "time"), maxTime),
		size:    min(number(r, HeaderSize, "size"), maxSize),
		status:  int(number(r, HeaderStatus, "status")),
		chunked: value(r, HeaderChunked, "chunked") == "true",
	}
	if p.status < http.StatusOK || p.status > 599 {
		p.status = http.StatusOK
	}
	return p
}

func value(r *http.Request, header, query string) string {
	if v := r.Header.Get(header); v != "" {
		return v
	}
	return r.URL.Query().Get(query)
}

// number returns a parameter, or 0 if it is absent, malformed or negative.
func number(r *http.Request, header, query string) int64 {
	n, err := strconv.ParseInt(value(r, header, query), 10, 64)
	if err != nil {
		return 0
	}
	return max(0, n)
}

func readBody(r *http.Request) (int64, error) {
	return io.Copy(io.Discard, io.LimitReader(r.Body, maxBody))
}

// echo is the body of an answer whose size was not chosen.
type echo struct {
	Instance    instance.ID          `json:"instance"`
	Incarnation instance.Incarnation `json:"incarnation"`
	Request     string               `json:"request"`
	Method      string               `json:"method"`
	Path        string               `json:"path"`
	Received    int64                `json:"received"` // bytes of the request body
}

func (p parameters) answerBody(r *http.Request, received int64, id instance.ID, incarnation instance.Incarnation) []byte {
	request := r.Header.Get(upstream.HeaderRequest)
	if p.size > 0 {
		return PatternBody(request, int(p.size))
	}
	// The struct holds only strings and numbers, which always encode.
	data, _ := json.Marshal(echo{
		Instance: id, Incarnation: incarnation, Request: request,
		Method: r.Method, Path: r.URL.Path, Received: received,
	})
	return append(data, '\n')
}

// PatternBody returns the body of an answer of the given size: the request id and a line end, repeated.
// An answer that reaches the wrong caller therefore differs from the expected one.
func PatternBody(request string, size int) []byte {
	line := []byte(request + "\n")
	return bytes.Repeat(line, size/len(line)+1)[:size]
}

type answer struct {
	parameters
	body []byte
}

// write sends the answer. It frees the slot before the last byte, so that a client that has the whole
// answer finds the slot free.
func (a answer) write(w http.ResponseWriter, truncate bool, release func()) {
	header := w.Header()
	header.Set(HeaderDigest, strconv.FormatUint(xxhash.Sum64(a.body), 10))
	header.Set("Content-Type", "text/plain")
	if !a.chunked && a.status != http.StatusNoContent && a.status != http.StatusNotModified {
		header.Set("Content-Length", strconv.Itoa(len(a.body)))
	}
	w.WriteHeader(a.status)
	if truncate {
		_, _ = w.Write(a.body[:len(a.body)/2])
		// The bytes have to leave before the connection is aborted.
		_ = http.NewResponseController(w).Flush()
		release()
		panic(http.ErrAbortHandler)
	}
	last := max(0, len(a.body)-1)
	// A write error means that the client is gone; the execution is in the journal all the same.
	_, _ = w.Write(a.body[:last])
	release()
	_, _ = w.Write(a.body[last:])
}
