package process

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"runtime/debug"
	"strings"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"
	"google.golang.org/protobuf/proto"

	"hibiscuslane.example/hibiscuslane/carrier"
	"hibiscuslane.example/hibiscuslane/event"
	"hibiscuslane.example/hibiscuslane/intake"
	"hibiscuslane.example/hibiscuslane/relay"
)

// Paths of the calls of relay.Relay, as its twirp client sends them.
const (
	callPath      = relay.RelayPathPrefix + "Call"
	heartbeatPath = relay.RelayPathPrefix + "Beat"
)

// contentTypeProtobuf is the content type of the calls and their responses.
const contentTypeProtobuf = "application/protobuf"

const (
	// defaultForwardedBytes limits a forwarded body if the configuration sets no limit. It is the default limit of callers' bodies.
	defaultForwardedBytes = 1 << 20
	// forwardingBytes is what a forwarded request may contain beside the body: names, a job and a digest.
	forwardingBytes = 16 << 10
	// forwardedCopies is the number of copies of a body that an owner holds: the request and its decoded message.
	forwardedCopies = 2
	// noRoomRetryDelay is how long a caller should wait whose body found no room at the owner. The owner holds a body no longer than
	// callers wait.
	noRoomRetryDelay = time.Second
)

// acceptRetryDelay is the pause after a connection could not be accepted.
const acceptRetryDelay = 100 * time.Millisecond

// newPeerServer returns the server for peers. An owner gets most of the callers' requests through it, and the server of
// net/http takes several times the processor time of this one.
func (p *Process) newPeerServer() peerServer {
	carriers := &carrier.Server{Client: p.workers, Clock: p.clock, Log: p.log}
	return peerServer{process: p, http: &fasthttp.Server{
		Handler:               func(ctx *fasthttp.RequestCtx) { p.servePeer(ctx, carriers) },
		ReadTimeout:           peerReadTimeout,
		IdleTimeout:           peerIdleTimeout,
		StreamRequestBody:     true, // serveCall reads large bodies once it has room for them
		ConnState:             trackPeer,
		Logger:                peerLogger{log: p.log},
		NoDefaultServerHeader: true,
		KeepHijackedConns:     true, // a carrier.Server closes the connections of its sessions
	}}
}

// trackPeer tells the guard of a connection whether a request is being served on it.
func trackPeer(conn net.Conn, state fasthttp.ConnState) {
	if guarded, ok := conn.(*intake.Conn); ok {
		guarded.SetServed(state != fasthttp.StateNew && state != fasthttp.StateIdle)
	}
}

// peerLogger takes what the server logs of itself: a line for each connection that is closed or malformed. By default, it writes them
// to the standard error output, where a crowd could write without limit.
type peerLogger struct{ log event.Log }

// Printf implements fasthttp.Logger.
func (l peerLogger) Printf(format string, args ...any) {
	l.log.Debug(eventPeerBroken, "error", fmt.Sprintf(format, args...))
}

// peerServer serves peers.
type peerServer struct {
	process *Process
	http    *fasthttp.Server
}

// Serve implements server.
func (s peerServer) Serve(listener net.Listener) error {
	return s.http.Serve(retryListener{Listener: listener, process: s.process})
}

// retryListener accepts again after a shortage of descriptors or memory. The server of net/http does so by itself; that of
// fasthttp gives up, and the process would end.
type retryListener struct {
	net.Listener
	process *Process
}

// Accept implements net.Listener.
func (l retryListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if !isShortage(err) {
			return conn, err
		}
		l.process.log.Warn(eventPeerNotAccepted, "error", err)
		_ = l.process.clock.Sleep(context.Background(), acceptRetryDelay) // the background context never ends
	}
}

// isShortage reports whether an error shows that the process or the machine has no descriptor or memory left.
func isShortage(err error) bool {
	for _, shortage := range []syscall.Errno{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM} {
		if errors.Is(err, shortage) {
			return true
		}
	}
	return false
}

// servePeer serves one request of a peer. It answers with an error if serving it panics, as the server of net/http does.
func (p *Process) servePeer(ctx *fasthttp.RequestCtx, carriers *carrier.Server) {
	defer func() {
		if reason := recover(); reason != nil {
			p.log.Error(eventPeerRequestFailed, "path", string(ctx.Path()), "reason", reason, "stack", string(debug.Stack()))
			ctx.Error("internal error", fasthttp.StatusInternalServerError)
		}
	}()
	relays := &relayServer{process: p}
	switch path := string(ctx.Path()); {
	case strings.HasPrefix(path, carrier.Path):
		carriers.Serve(ctx)
	case path == callPath:
		p.serveCall(ctx, relays)
	case path == heartbeatPath:
		if length := ctx.Request.Header.ContentLength(); length < 0 || length > forwardingBytes {
			rejectSize(ctx)
			return
		}
		heartbeat := &relay.Sign{}
		body, err := readPeerBody(ctx)
		serveProtobuf(ctx, body, err, heartbeat, func() (proto.Message, error) { return relays.Beat(context.Background(), heartbeat) })
	default:
		ctx.Error("no such path", fasthttp.StatusNotFound)
	}
}

// serveCall serves a forwarded request. A request that has no room is refused without being decoded.
func (p *Process) serveCall(ctx *fasthttp.RequestCtx, relays *relayServer) {
	length := ctx.Request.Header.ContentLength()
	if length < 0 || int64(length) > p.maxForwardedBytes()+forwardingBytes {
		rejectSize(ctx)
		return
	}
	body, held, err := p.intake.forwarded.ReadBody(ctx.RequestBodyStream(), int64(length), forwardedCopies)
	if !errors.Is(err, intake.ErrNoRoom) {
		defer p.intake.forwarded.Return(held)
		request := &relay.Request{}
		serveProtobuf(ctx, body, err, request, func() (proto.Message, error) { return relays.Call(context.Background(), request) })
		return
	}
	p.intake.forwarded.Return(held)
	// Unread bytes would reset the connection, and the entry would not learn that the request has not run.
	if _, err := io.Copy(io.Discard, ctx.RequestBodyStream()); err != nil {
		ctx.SetConnectionClose()
	}
	refusal := &relay.Reply{Verdict: relay.Verdict_REFUSED, Reason: "the owner holds too many bodies", Again: noRoomRetryDelay.Milliseconds()}
	writeProtobuf(ctx, refusal)
}

// maxForwardedBytes returns the size of the largest body that another entry forwards.
func (p *Process) maxForwardedBytes() int64 {
	if config := p.follower.Config(); config != nil && config.MaxBodyBytes > 0 {
		return config.MaxBodyBytes
	}
	return defaultForwardedBytes
}

// rejectSize rejects a request whose body is too large, or of unknown size.
func rejectSize(ctx *fasthttp.RequestCtx) {
	ctx.SetConnectionClose()
	ctx.Error("the body is too large or has no length", fasthttp.StatusRequestEntityTooLarge)
}

// readPeerBody reads a body of known length.
func readPeerBody(ctx *fasthttp.RequestCtx) ([]byte, error) {
	body := make([]byte, ctx.Request.Header.ContentLength())
	_, err := io.ReadFull(ctx.RequestBodyStream(), body)
	return body, err
}

// serveProtobuf decodes the body of a request, unless reading it has failed, calls handle and writes its response.
func serveProtobuf(ctx *fasthttp.RequestCtx, body []byte, readErr error, request proto.Message, handle func() (proto.Message, error)) {
	if readErr != nil || !ctx.IsPost() || proto.Unmarshal(body, request) != nil {
		ctx.Error("malformed request", fasthttp.StatusBadRequest)
		return
	}
	response, err := handle()
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	writeProtobuf(ctx, response)
}

func writeProtobuf(ctx *fasthttp.RequestCtx, response proto.Message) {
	body, err := proto.Marshal(response)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType(contentTypeProtobuf)
	ctx.Response.SetBodyRaw(body)
}
