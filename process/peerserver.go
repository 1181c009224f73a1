package process

import (
	"context"
	"errors"
	"net"
	"runtime/debug"
	"strings"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"
	"google.golang.org/protobuf/proto"

	"hibiscuslane.example/hibiscuslane/carrier"
	"hibiscuslane.example/hibiscuslane/relay"
)

// Paths of the calls of relay.Relay, as its twirp client sends them.
const (
	callPath      = relay.RelayPathPrefix + "Call"
	heartbeatPath = relay.RelayPathPrefix + "Beat"
)

// contentTypeProtobuf is the content type of the calls and their responses.
const contentTypeProtobuf = "application/protobuf"

// maxPeerRequestBytes limits a request of a peer. It is far more than a configuration lets callers send.
const maxPeerRequestBytes = 32 << 20

// acceptRetryDelay is the pause after a connection could not be accepted.
const acceptRetryDelay = 100 * time.Millisecond

// newPeerServer returns the server for peers. An owner gets most of the callers' requests through it, and the server of
// net/http takes several times the processor time of this one.
func (p *Process) newPeerServer() peerServer {
	carriers := &carrier.Server{Client: p.workers, Clock: p.clock, Log: p.log}
	return peerServer{process: p, http: &fasthttp.Server{
		Handler:               func(ctx *fasthttp.RequestCtx) { p.servePeer(ctx, carriers) },
		ReadTimeout:           headerTimeout,
		IdleTimeout:           idleTimeout,
		MaxRequestBodySize:    maxPeerRequestBytes,
		NoDefaultServerHeader: true,
		KeepHijackedConns:     true, // a carrier.Server closes the connections of its sessions
	}}
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
		request := &relay.Request{}
		serveProtobuf(ctx, request, func() (proto.Message, error) { return relays.Call(context.Background(), request) })
	case path == heartbeatPath:
		heartbeat := &relay.Sign{}
		serveProtobuf(ctx, heartbeat, func() (proto.Message, error) { return relays.Beat(context.Background(), heartbeat) })
	default:
		ctx.Error("no such path", fasthttp.StatusNotFound)
	}
}

// serveProtobuf decodes the request, calls handle and writes its response.
func serveProtobuf(ctx *fasthttp.RequestCtx, request proto.Message, handle func() (proto.Message, error)) {
	if !ctx.IsPost() || proto.Unmarshal(ctx.PostBody(), request) != nil {
		ctx.Error("malformed request", fasthttp.StatusBadRequest)
		return
	}
	response, err := handle()
	if err == nil {
		var body []byte
		if body, err = proto.Marshal(response); err == nil {
			ctx.SetContentType(contentTypeProtobuf)
			ctx.Response.SetBodyRaw(body)
			return
		}
	}
	ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
}
