package exchange

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"strconv"
	"sync"

	"hibiscuslane.example/hibiscuslane/instance"
	"hibiscuslane.example/hibiscuslane/intake"
)

func formatIncarnation(incarnation instance.Incarnation) string {
	return strconv.FormatUint(uint64(incarnation), 10)
}

// readBody returns the response with its whole body, or with a stream if the body exceeds MaxBufferedBytes.
func (e *exchange) readBody(raw *http.Response) (*Response, error) {
	response := &Response{Status: raw.StatusCode, Header: raw.Header}
	limit := e.transport.limits().MaxBufferedBytes
	body := e.withReadTimeout(raw.Body)
	if raw.ContentLength > smallResponseBytes && e.request.Method != http.MethodHead {
		if err := e.holdResponse(limit); err != nil {
			return nil, e.abort(err)
		}
	}
	if raw.ContentLength > int64(limit) && e.request.Method != http.MethodHead {
		response.Stream = &responseStream{exchange: e, raw: raw.Body, body: body}
		return response, nil
	}
	data, err := io.ReadAll(io.LimitReader(body, smallResponseBytes+1))
	if err == nil && len(data) > smallResponseBytes {
		if err = e.holdResponse(limit); err == nil {
			size := limit + 1
			if raw.ContentLength >= 0 {
				size = min(size, int(raw.ContentLength))
			}
			data, err = readRest(data, body, size)
		}
	}
	if err != nil {
		return nil, e.abort(err)
	}
	if len(data) > limit {
		response.Stream = &responseStream{exchange: e, raw: raw.Body, body: io.MultiReader(bytes.NewReader(data), body)}
		return response, nil
	}
	response.Body, response.Trailer = data, raw.Trailer
	e.finish()
	return response, nil
}

// holdResponse waits for room for a response of which up to limit bytes are buffered here, and once more on the way to the caller.
func (e *exchange) holdResponse(limit int) error {
	return intake.HoldResponse(e.ctx, responseCopies*int64(limit))
}

// readRest reads a body of which data was read, up to the given size in sum.
func readRest(data []byte, body io.Reader, size int) ([]byte, error) {
	// With bytes.MinRead spare bytes, ReadFrom reaches the end of the body without growing the buffer.
	whole := bytes.NewBuffer(append(make([]byte, 0, size+bytes.MinRead), data...))
	_, err := whole.ReadFrom(io.LimitReader(body, int64(size-len(data))))
	return whole.Bytes(), err
}

// withReadTimeout returns a reader that applies Limits.BodyReadTimeout to each Read. Only the time inside Read
// counts, so a slow caller does not make the connection look dead.
func (e *exchange) withReadTimeout(body io.Reader) io.Reader {
	return &timeoutReader{exchange: e, body: body}
}

type timeoutReader struct {
	exchange *exchange
	body     io.Reader
}

// Read implements io.Reader.
func (r *timeoutReader) Read(p []byte) (int, error) {
	t := r.exchange.transport
	timeout := t.limits().BodyReadTimeout
	stop := t.Timer.AfterFunc(timeout, func() {
		r.exchange.cancel(&ReceiveTimeoutError{Milliseconds: timeout.Milliseconds()})
	})
	defer stop()
	return r.body.Read(p)
}

// responseStream is the body of a large response. One goroutine reads it; another one may call Close.
type responseStream struct {
	exchange *exchange
	// raw is the body as net/http delivers it; body reads it with a timeout.
	raw  io.Closer
	body io.Reader

	mu sync.Mutex
	// err is set once the stream has ended and the connection has been released or closed.
	err error
}

// Read implements io.Reader. It returns io.EOF only after the whole body.
func (s *responseStream) Read(p []byte) (int, error) {
	if err := s.terminalError(); err != nil {
		return 0, err
	}
	n, err := s.body.Read(p)
	if err != nil {
		err = s.end(err)
	}
	return n, err
}

// Close implements io.Closer. The connection is closed unless the whole body was read.
func (s *responseStream) Close() error {
	if s.terminalError() == nil {
		_ = s.end(errStreamClosed)
	}
	return nil
}

func (s *responseStream) terminalError() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.err
}

// end releases or closes the connection, depending on the cause, and returns the error for the reader.
func (s *responseStream) end(cause error) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.err != nil {
		return s.err
	}
	// Send has returned and dropped its reference to the host.
	defer s.exchange.transport.removeIfUnused(s.exchange.host)
	if errors.Is(cause, io.EOF) {
		s.err = io.EOF
		s.exchange.finish()
		return s.err
	}
	s.err = s.exchange.abort(cause)
	_ = s.raw.Close()
	return s.err
}

var errStreamClosed = &ProtocolError{Reason: "the reader closed the stream"}
