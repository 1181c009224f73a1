package peer

import (
	"context"
	"net/http"
	"time"

	"github.com/twitchtv/twirp"
)

// Reporter answers heartbeats.
type Reporter interface {
	Report(ctx context.Context, status *Status) (*Status, error)
}

// Snapshotter serves the state of streams.
type Snapshotter interface {
	Snapshot(ctx context.Context, query *SnapshotQuery) (*SnapshotImage, error)
}

// Slots grants the slots of the pools that this entry owns.
type Slots interface {
	Acquire(ctx context.Context, ticket *Ticket) (*Grant, error)
	Release(ctx context.Context, returns *Returns) (*Empty, error)
}

// Answers serves the stored answers of claims that this entry holds.
type Answers interface {
	Answer(ctx context.Context, query *AnswerQuery) (*StoredAnswer, error)
}

// Service is the Peer service of an entry, composed of the parts that serve its calls. A call whose
// part is nil fails as unimplemented.
type Service struct {
	Reporter
	Snapshotter
	Slots
	Answers
}

type absent struct{}

func (absent) Report(context.Context, *Status) (*Status, error) {
	return nil, unimplemented("Report")
}

func (absent) Snapshot(context.Context, *SnapshotQuery) (*SnapshotImage, error) {
	return nil, unimplemented("Snapshot")
}

func (absent) Acquire(context.Context, *Ticket) (*Grant, error) {
	return nil, unimplemented("Acquire")
}

func (absent) Release(context.Context, *Returns) (*Empty, error) {
	return nil, unimplemented("Release")
}

func (absent) Answer(context.Context, *AnswerQuery) (*StoredAnswer, error) {
	return nil, unimplemented("Answer")
}

func unimplemented(call string) error {
	return twirp.NewErrorf(twirp.Unimplemented, "%s is not served by this entry", call)
}

// NewHandler returns the HTTP handler of a service.
func NewHandler(s Service) http.Handler {
	if s.Reporter == nil {
		s.Reporter = absent{}
	}
	if s.Snapshotter == nil {
		s.Snapshotter = absent{}
	}
	if s.Slots == nil {
		s.Slots = absent{}
	}
	if s.Answers == nil {
		s.Answers = absent{}
	}
	return NewPeerServer(s)
}

// readHeaderTimeout bounds how long a connection may take to send its headers.
const readHeaderTimeout = 5 * time.Second

// NewServer returns an HTTP server for peers. It speaks HTTP/2 without TLS, so that the many waiting
// Acquire calls of an entry share one connection.
func NewServer(handler http.Handler) *http.Server {
	var protocols http.Protocols
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)
	return &http.Server{
		Handler:           handler,
		Protocols:         &protocols,
		ReadHeaderTimeout: readHeaderTimeout,
		HTTP2:             &http.HTTP2Config{MaxConcurrentStreams: 10_000},
	}
}
