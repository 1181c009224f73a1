package peer

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/twitchtv/twirp"
	"golang.org/x/sync/semaphore"
	"google.golang.org/protobuf/encoding/protowire"

	"hibiscuslane.example/hibiscuslane/intake"
)

const (
	// maxMessageBytes limits a message. The largest one lists all slots of a pool that an entry holds.
	maxMessageBytes = 8 << 20
	// messageCopies is the number of copies of a message that a request holds: the bytes and what is decoded.
	messageCopies = 2
	// fieldBytes is what a decoded field, which may have only two bytes, holds beside its bytes.
	fieldBytes = 128
	// maxSnapshots is the number of snapshots that are sent at a time, because a snapshot is the whole state of a stream.
	maxSnapshots = 2
	// smallResponseBytes is the size of a response that what is counted for its request covers. Grants are smaller: they must not be lost.
	smallResponseBytes = 4 << 10
	// snapshotPath is the path of calls of Snapshot, as the client sends them.
	snapshotPath = PeerPathPrefix + "Snapshot"
	// acquirePath is the path of calls of Acquire, most of which wait for a slot.
	acquirePath = PeerPathPrefix + "Acquire"
	// contentTypeProtobuf is the content type of messages.
	contentTypeProtobuf = "application/protobuf"
	// metaStatus is the key under which the client gives the HTTP status of a response that no method has written.
	metaStatus = "status_code"
)

// errNoRoom ends a response for which there is no memory at present.
var errNoRoom = errors.New("too many responses are being sent to peers")

// limitedHandler bounds what the messages of peers and the responses hold. The guard of their connections counts the requests.
type limitedHandler struct {
	next      http.Handler
	budget    *intake.Budget
	snapshots *semaphore.Weighted
}

// Limit returns a handler that serves only requests for which the budget has room. It answers others with 503; they have not run.
func Limit(next http.Handler, budget *intake.Budget) http.Handler {
	return &limitedHandler{next: next, budget: budget, snapshots: semaphore.NewWeighted(maxSnapshots)}
}

// ServeHTTP implements http.Handler.
func (h *limitedHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var held int64
	defer func() { h.budget.Return(held) }()
	limited := &limitedWriter{ResponseWriter: w, budget: h.budget}
	if r.ProtoMajor == 2 {
		// The guard of the connection knows only requests that have a connection of their own.
		limited.controller = http.NewResponseController(w)
		_ = limited.controller.SetReadDeadline(time.Now().Add(intake.BodyTimeout)) // not supported only by recorders in tests
	}
	if r.URL.Path == acquirePath && h.budget.IsScarce() {
		// Without heartbeats, the peer would take this entry for dead, and without releases the waiting calls get no slot.
		h.budget.CountRefusal()
		refuse(w)
		return
	}
	body, status := h.readMessage(r, &held)
	switch {
	case status == http.StatusServiceUnavailable:
		h.budget.CountRefusal()
		refuse(w)
		return
	case status != 0:
		w.WriteHeader(status)
		return
	}
	if r.URL.Path == snapshotPath {
		if h.snapshots.Acquire(r.Context(), 1) != nil {
			return // the peer has left
		}
		defer h.snapshots.Release(1)
		limited.budget = nil
	}
	whole := *r
	whole.Body = io.NopCloser(bytes.NewReader(body))
	h.next.ServeHTTP(limited, &whole)
}

// readMessage reads the message of a request and adds to held what it takes of the budget. It returns the HTTP status of a request that
// isn't served, or 0.
func (h *limitedHandler) readMessage(r *http.Request, held *int64) ([]byte, int) {
	switch {
	case r.Header.Get("Content-Type") != contentTypeProtobuf:
		return nil, http.StatusUnsupportedMediaType
	case r.ContentLength < 0:
		return nil, http.StatusLengthRequired
	case r.ContentLength > maxMessageBytes:
		return nil, http.StatusRequestEntityTooLarge
	}
	body, taken, err := h.budget.ReadBody(r.Body, r.ContentLength, messageCopies)
	*held += taken
	switch {
	case errors.Is(err, intake.ErrNoRoom):
		return nil, http.StatusServiceUnavailable
	case err != nil:
		return nil, http.StatusBadRequest
	}
	fields, ok := countFields(body)
	switch {
	case !ok:
		return nil, http.StatusBadRequest
	case !h.budget.Take(fields * fieldBytes):
		return nil, http.StatusServiceUnavailable
	}
	*held += fields * fieldBytes
	return body, 0
}

// countFields returns the number of fields of an encoded message. Fields of fields aren't counted: none of them is repeated.
func countFields(message []byte) (int64, bool) {
	var count int64
	for len(message) > 0 {
		_, _, size := protowire.ConsumeField(message)
		if size < 0 {
			return 0, false
		}
		count++
		message = message[size:]
	}
	return count, true
}

// refuse answers a request that has not run. The response has no body, because a client may leave it unread.
func refuse(w http.ResponseWriter) {
	w.Header().Set("Retry-After", "1")
	w.WriteHeader(http.StatusServiceUnavailable)
}

// IsRefused reports whether the error of a call says that the peer lives and had no room for the request, which has not run.
func IsRefused(err error) bool {
	var refusal twirp.Error
	return errors.As(err, &refusal) && refusal.Meta(metaStatus) == strconv.Itoa(http.StatusServiceUnavailable)
}

// limitedWriter counts a response while it is written, and ends it if the peer doesn't read it.
type limitedWriter struct {
	http.ResponseWriter
	// budget is nil for a snapshot, which may be larger than the budget; their number is limited.
	budget *intake.Budget
	// controller is nil if the guard of the connection limits the time.
	controller *http.ResponseController
}

// Write implements http.ResponseWriter.
func (w *limitedWriter) Write(p []byte) (int, error) {
	if size := int64(len(p)); w.budget != nil && size > smallResponseBytes {
		if !w.budget.Take(size) {
			w.budget.CountRefusal()
			return 0, errNoRoom
		}
		defer w.budget.Return(size)
	}
	if w.controller != nil {
		_ = w.controller.SetWriteDeadline(time.Now().Add(intake.WriteTimeout)) // as in ServeHTTP
	}
	return w.ResponseWriter.Write(p)
}
