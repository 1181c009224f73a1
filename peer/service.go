package peer

import (
	"context"
	"net/http"
	"time"

	"github.com/twitchtv/twirp"
)

// Reporter answers the heartbeats of other entries with the status of this entry.
type Reporter interface {
	Report(ctx context.Context, status *Status) (*Status, error)
}

// Snapshotter serves the states that this entry has built from the streams of the log.
type Snapshotter interface {
	Snapshot(ctx context.Context, query *SnapshotQuery) (*SnapshotImage, error)
}

// Slots grants the slots of the pools that this entry owns and takes them back.
type Slots interface {
	Acquire(ctx context.Context, ticket *Ticket) (*Grant, error)
	Release(ctx context.Context, returns *Returns) (*Empty, error)
}

// Answers serves the stored answers of claims that this entry holds.
type Answers interface {
	Answer(ctx context.Context, query *AnswerQuery) (*StoredAnswer, error)
}

// Service implements the generated interface Peer; each part serves some of its methods. A part may be nil
// if the Service is passed to NewHandler, which makes the methods of that part fail as unimplemented.
type Service struct {
	Reporter
	Snapshotter
	Slots
	Answers
}

// unimplementedParts stands in for the parts of a Service that are nil.
type unimplementedParts struct{}

func (unimplementedParts) Report(context.Context, *Status) (*Status, error) {
	return nil, unimplemented("Report")
}

func (unimplementedParts) Snapshot(context.Context, *SnapshotQuery) (*SnapshotImage, error) {
	return nil, unimplemented("Snapshot")
}

func (unimplementedParts) Acquire(context.Context, *Ticket) (*Grant, error) {
	return nil, unimplemented("Acquire")
}

func (unimplementedParts) Release(context.Context, *Returns) (*Empty, error) {
	return nil, unimplemented("Release")
}

func (unimplementedParts) Answer(context.Context, *AnswerQuery) (*StoredAnswer, error) {
	return nil, unimplemented("Answer")
}

func unimplemented(method string) error {
	return twirp.NewErrorf(twirp.Unimplemented, "%s is not served by this entry", method)
}

// NewHandler returns an HTTP handler that serves the methods of s to peers.
func NewHandler(s Service) http.Handler {
	if s.Reporter == nil {
		s.Reporter = unimplementedParts{}
	}
	if s.Snapshotter == nil {
		s.Snapshotter = unimplementedParts{}
	}
	if s.Slots == nil {
		s.Slots = unimplementedParts{}
	}
	if s.Answers == nil {
		s.Answers = unimplementedParts{}
	}
	return NewPeerServer(s)
}

// readHeaderTimeout limits the time for reading the headers of a request.
const readHeaderTimeout = 5 * time.Second

// maxHeaderBytes limits the headers of a request.
const maxHeaderBytes = 64 << 10

// receiveBufferBytes is what a connection may receive of messages that are not read yet.
const receiveBufferBytes = 256 << 10

// NewServer returns an HTTP server for peers. Besides HTTP/1, it accepts HTTP/2 without TLS, so that the many
// waiting Acquire calls of an entry share one connection.
func NewServer(handler http.Handler) *http.Server {
	var protocols http.Protocols
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	return &http.Server{
		Handler:           handler,
		Protocols:         &protocols,
		ReadHeaderTimeout: readHeaderTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
		HTTP2:             &http.HTTP2Config{MaxConcurrentStreams: 10_000, MaxReceiveBufferPerConnection: receiveBufferBytes},
	}
}
