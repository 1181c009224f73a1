package intake

import (
	"context"
	"errors"
	"io"
	"net/http"

	"golang.org/x/sync/semaphore"
)

const (
	// smallAnswerBytes is the size up to which answers are read at once. Nearly all of them are smaller.
	smallAnswerBytes = 64 << 10
	// maxLargeAnswers is the number of larger answers that are read at a time.
	maxLargeAnswers = 2
)

// errAnswerTooLarge reports an answer that exceeds Answers.Limit.
var errAnswerTooLarge = errors.New("the answer is too large")

// Answers is an http.RoundTripper that bounds the answers to calls, each and in sum: at most two large ones are read at a time, and
// others wait until their calls end.
type Answers struct {
	transport http.RoundTripper
	limit     int64 // bytes of one answer
	large     *semaphore.Weighted
}

// NewAnswers returns Answers that sends calls with the given transport and limits one answer to the given number of bytes.
func NewAnswers(transport http.RoundTripper, limit int64) *Answers {
	return &Answers{transport: transport, limit: limit, large: semaphore.NewWeighted(maxLargeAnswers)}
}

// RoundTrip implements http.RoundTripper.
func (a *Answers) RoundTrip(r *http.Request) (*http.Response, error) {
	resp, err := a.transport.RoundTrip(r)
	if err != nil {
		return nil, err
	}
	resp.Body = &answerBody{ReadCloser: resp.Body, ctx: r.Context(), answers: a}
	return resp, nil
}

// CloseIdleConnections closes the idle connections of the transport.
func (a *Answers) CloseIdleConnections() {
	if transport, ok := a.transport.(interface{ CloseIdleConnections() }); ok {
		transport.CloseIdleConnections()
	}
}

// answerBody is the body of an answer. It is used by one goroutine.
type answerBody struct {
	io.ReadCloser
	ctx     context.Context // of the call
	answers *Answers
	bytes   int64
	isLarge bool // it is one of the large answers that are being read
}

// Read implements io.Reader.
func (b *answerBody) Read(p []byte) (int, error) {
	if b.bytes > smallAnswerBytes && !b.isLarge {
		if err := b.answers.large.Acquire(b.ctx, 1); err != nil {
			return 0, err
		}
		b.isLarge = true
	}
	n, err := b.ReadCloser.Read(p)
	b.bytes += int64(n)
	if b.bytes > b.answers.limit {
		return 0, errAnswerTooLarge
	}
	return n, err
}

// Close implements io.Closer.
func (b *answerBody) Close() error {
	if b.isLarge {
		b.isLarge = false
		b.answers.large.Release(1)
	}
	return b.ReadCloser.Close()
}
