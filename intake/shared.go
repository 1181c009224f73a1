package intake

import (
	"encoding/binary"
	"net/http"
)

const (
	// prefaceBytes is the length of what a client of HTTP/2 sends first, and frameHeadBytes that of the head of a frame.
	prefaceBytes   = 24
	frameHeadBytes = 9
	// frameHeaders is the type of a frame that begins a request.
	frameHeaders = 1
	// requestBytes is what a request on a shared connection holds beside its headers and its body: stacks, buffers and the state of its
	// stream.
	requestBytes = 24 << 10
	// headerFieldBytes is what a header field holds beside its name and value.
	headerFieldBytes = 64
)

// frameCounter counts the requests in the bytes of a connection of HTTP/2. The zero value is at their beginning.
type frameCounter struct {
	// preface is the number of bytes read of the preface, and payload the number of bytes left of the payload of a frame.
	preface int
	payload uint32
	head    [frameHeadBytes]byte
	// headBytes is the number of bytes read of head.
	headBytes int
}

// count returns the number of frames that begin a request and whose heads end in b.
func (f *frameCounter) count(b []byte) int {
	n := min(prefaceBytes-f.preface, len(b))
	f.preface += n
	b = b[n:]
	count := 0
	for len(b) > 0 {
		if f.payload > 0 {
			n := min(f.payload, uint32(len(b))) //nolint:gosec // a read is far shorter
			f.payload -= n
			b = b[n:]
			continue
		}
		n := copy(f.head[f.headBytes:], b)
		f.headBytes += n
		b = b[n:]
		if f.headBytes < frameHeadBytes {
			return count
		}
		f.headBytes = 0
		f.payload = binary.BigEndian.Uint32(f.head[:4]) >> 8
		if f.head[3] == frameHeaders {
			count++
		}
	}
	return count
}

// serveShared serves a request on a shared connection if there is room for it. Otherwise it answers with 503; the request has not run.
func (g *Guard) serveShared(handler http.Handler, conn *Conn, w http.ResponseWriter, r *http.Request) {
	held := requestBytes + headerBytes(r.Header)
	if !g.Requests.Take(held) {
		g.Requests.CountRefusal()
		// Without a body, the response can't be left unread by the client's flow control.
		w.Header().Set("Retry-After", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		_ = http.NewResponseController(w).Flush() // fails only if the client has left
		conn.settle()
		return
	}
	defer g.Requests.Return(held)
	conn.settle()
	handler.ServeHTTP(w, r)
}

// headerBytes returns about what the headers of a request hold.
func headerBytes(header http.Header) int64 {
	var size int64
	for name, values := range header {
		for _, value := range values {
			size += int64(len(name)+len(value)) + headerFieldBytes
		}
	}
	return size
}
