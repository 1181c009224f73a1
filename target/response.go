package target

import (
	"bytes"
	"errors"
	"io"
	"net/http"
	"strconv"
	"sync"

	"hibiscuslane.example/hibiscuslane/instance"
)

func formatIncarnation(incarnation instance.Incarnation) string {
	return strconv.FormatUint(uint64(incarnation), 10)
}

// read returns the response whole, or as a stream if it is larger than the buffer.
func (e *exchange) read(raw *http.Response) (*Response, error) {
	response := &Response{Status: raw.StatusCode, Header: raw.Header}
	limit := e.transport.limits().MaxBufferedBytes
	body := e.bounded(raw.Body)
	if raw.ContentLength > int64(limit) && e.request.Method != http.MethodHead {
		response.Stream = &stream{exchange: e, raw: raw.Body, body: body}
		return response, nil
	}
	data, err := io.ReadAll(io.LimitReader(body, int64(limit)+1))
	if err != nil {
		return nil, e.fail(err)
	}
	if len(data) > limit {
		response.Stream = &stream{exchange: e, raw: raw.Body, body: io.MultiReader(bytes.NewReader(data), body)}
		return response, nil
	}
	response.Body, response.Trailer = data, raw.Trailer
	e.finish()
	return response, nil
}

// bounded returns a reader whose every Read is given up after Limits.BodyReadTimeout. Only the time inside
// Read counts, so a slow caller does not make the connection look dead.
func (e *exchange) bounded(body io.Reader) io.Reader {
	return &boundedReader{exchange: e, body: body}
}

type boundedReader struct {
	exchange *exchange
	body     io.Reader
}

// Read implements io.Reader.
func (b *boundedReader) Read(p []byte) (int, error) {
	t := b.exchange.transport
	limit := t.limits().BodyReadTimeout
	stop := t.Timer.AfterFunc(limit, func() {
		b.exchange.cancel(&ReceiveTimeoutError{Milliseconds: limit.Milliseconds()})
	})
	defer stop()
	return b.body.Read(p)
}

// stream is the body of a large response. One goroutine reads it; Close may be called from another.
type stream struct {
	exchange *exchange
	// raw is the body as net/http delivers it; body reads it under the progress limit.
	raw  io.Closer
	body io.Reader

	mu sync.Mutex
	// err is set once the stream has ended; the link has been given back by then.
	err error
}

// Read implements io.Reader. It returns io.EOF only after the whole body.
func (s *stream) Read(p []byte) (int, error) {
	if err := s.ended(); err != nil {
		return 0, err
	}
	n, err := s.body.Read(p)
	if err != nil {
		err = s.end(err)
	}
	return n, err
}

// Close implements io.Closer. The connection is closed unless the whole body was read.
func (s *stream) Close() error {
	if s.ended() == nil {
		_ = s.end(errClosed)
	}
	return nil
}

func (s *stream) ended() error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.err
}

// end gives the link back and returns the error that the reader gets.
func (s *stream) end(cause error) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.err != nil {
		return s.err
	}
	// Send has left the host long ago.
	defer s.exchange.transport.forget(s.exchange.host)
	if errors.Is(cause, io.EOF) {
		s.err = io.EOF
		s.exchange.finish()
		return s.err
	}
	s.err = s.exchange.fail(cause)
	_ = s.raw.Close()
	return s.err
}

var errClosed = &ProtocolError{Reason: "the reader closed the stream"}
