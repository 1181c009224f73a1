package request

import (
	"bytes"
	"errors"
	"io"
)

// MaxBufferedBytes bounds the body in bytes of a response that is forwarded only once it is complete.
const MaxBufferedBytes = 1 << 20

// streamEnd calls end once, when the stream is closed. The error is nil if the stream was read to its
// end.
type streamEnd struct {
	io.ReadCloser
	end func(error)
	// result is io.EOF once the stream was read to its end, or the error of the last read.
	result error
	closed bool
}

func (s *streamEnd) Read(p []byte) (int, error) {
	n, err := s.ReadCloser.Read(p)
	if err != nil {
		s.result = err
	}
	return n, err
}

func (s *streamEnd) Close() error {
	err := s.ReadCloser.Close()
	if s.closed {
		return err
	}
	s.closed = true
	s.end(s.outcome())
	return err
}

func (s *streamEnd) outcome() error {
	switch {
	case errors.Is(s.result, io.EOF):
		return nil
	case s.result == nil:
		return &IncompleteResponseError{Cause: io.ErrClosedPipe}
	}
	return &IncompleteResponseError{Cause: s.result}
}

// buffered reads a reply into a response. A body over MaxBufferedBytes stays a stream.
func buffered(reply *TargetResponse) (*Response, error) {
	response := &Response{Status: reply.Status, Header: reply.Header}
	if reply.Body == nil {
		return response, nil
	}
	body, err := readUpTo(reply.Body, reply.ContentLength)
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

// readUpTo reads at most one byte more than MaxBufferedBytes, which tells a larger body from a complete one.
func readUpTo(body io.Reader, length int64) ([]byte, error) {
	var buffer bytes.Buffer
	if length > 0 {
		// The extra space lets ReadFrom see the end without growing the buffer.
		buffer.Grow(int(min(length, MaxBufferedBytes+1)) + bytes.MinRead)
	}
	_, err := buffer.ReadFrom(io.LimitReader(body, MaxBufferedBytes+1))
	return buffer.Bytes(), err
}
