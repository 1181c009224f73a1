package request

import (
	"bytes"
	"errors"
	"io"
)

// MaxBufferedBytes is the maximum size of a response body that is buffered. Larger bodies are streamed.
const MaxBufferedBytes = 1 << 20

// notifyingStream calls onClose once, when the stream is closed. The error is nil if the stream was read to its end.
type notifyingStream struct {
	io.ReadCloser
	onClose func(error)
	// lastErr is the last error of Read; io.EOF means that the stream was read to its end.
	lastErr error
	closed  bool
}

func (s *notifyingStream) Read(p []byte) (int, error) {
	n, err := s.ReadCloser.Read(p)
	if err != nil {
		s.lastErr = err
	}
	return n, err
}

func (s *notifyingStream) Close() error {
	err := s.ReadCloser.Close()
	if s.closed {
		return err
	}
	s.closed = true
	s.onClose(s.closeError())
	return err
}

func (s *notifyingStream) closeError() error {
	switch {
	case errors.Is(s.lastErr, io.EOF):
		return nil
	case s.lastErr == nil:
		return &IncompleteResponseError{Cause: io.ErrClosedPipe}
	}
	return &IncompleteResponseError{Cause: s.lastErr}
}

// readResponse reads the response of a target. If the body exceeds MaxBufferedBytes, the rest of it is streamed.
func readResponse(reply *TargetResponse) (*Response, error) {
	response := &Response{Status: reply.Status, Header: reply.Header}
	if reply.Body == nil {
		return response, nil
	}
	body, err := readLimited(reply.Body, reply.ContentLength)
	if err != nil {
		_ = reply.Body.Close()
		return nil, &IncompleteResponseError{BytesReceived: len(body), Cause: err}
	}
	response.Body = body
	if len(body) > MaxBufferedBytes {
		response.Stream = reply.Body
		return response, nil
	}
	_ = reply.Body.Close()
	return response, nil
}

// readLimited reads at most one byte more than MaxBufferedBytes. The additional byte shows that the body is larger.
func readLimited(body io.Reader, length int64) ([]byte, error) {
	var buffer bytes.Buffer
	if length > 0 {
		// With bytes.MinRead spare bytes, ReadFrom reaches the end of the body without growing the buffer.
		buffer.Grow(int(min(length, MaxBufferedBytes+1)) + bytes.MinRead)
	}
	_, err := buffer.ReadFrom(io.LimitReader(body, MaxBufferedBytes+1))
	return buffer.Bytes(), err
}
