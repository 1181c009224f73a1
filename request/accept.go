package request

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strings"

	"github.com/google/uuid"
)

const (
	// MaxBodyBytes bounds the body of a request in bytes.
	MaxBodyBytes = 1 << 20
	// ReservedPrefix is the prefix of paths that are not requests.
	ReservedPrefix = "/-/"
)

type idKey struct{}

// number gives a request its id before it is decoded, so that every failure names it.
func number(ctx context.Context, _ *http.Request) context.Context {
	return context.WithValue(ctx, idKey{}, ID(uuid.NewString()))
}

func idOf(ctx context.Context) ID {
	id, _ := ctx.Value(idKey{}).(ID)
	return id
}

// accept decodes a request and reads its whole body.
func accept(ctx context.Context, r *http.Request) (any, error) {
	if err := checkTarget(r); err != nil {
		return nil, err
	}
	body, err := readBody(r)
	if err != nil {
		return nil, err
	}
	return &Request{
		ID:     idOf(ctx),
		Method: r.Method,
		Path:   r.URL.Path,
		URI:    r.URL.RequestURI(),
		Header: r.Header,
		Body:   body,
	}, nil
}

func checkTarget(r *http.Request) error {
	switch r.Method {
	case http.MethodConnect, http.MethodTrace:
		return &InputError{Field: "method", Reason: r.Method + " is not supported"}
	}
	if !strings.HasPrefix(r.URL.Path, "/") {
		return &InputError{Field: "path", Reason: "must start with /"}
	}
	if hasDotSegment(r.URL.Path) {
		// A target may resolve dot segments and so execute a path of another route.
		return &InputError{Field: "path", Reason: "must not contain . or .. segments"}
	}
	return nil
}

func hasDotSegment(path string) bool {
	if !strings.Contains(path, "/.") {
		return false
	}
	for segment := range strings.SplitSeq(path, "/") {
		if segment == "." || segment == ".." {
			return true
		}
	}
	return false
}

func readBody(r *http.Request) ([]byte, error) {
	if r.Body == nil || r.ContentLength == 0 {
		return nil, nil
	}
	var buffer bytes.Buffer
	if r.ContentLength > 0 && r.ContentLength <= MaxBodyBytes {
		// The extra space lets ReadFrom see the end without growing the buffer.
		buffer.Grow(int(r.ContentLength) + bytes.MinRead)
	}
	if _, err := io.Copy(&buffer, r.Body); err != nil {
		return nil, bodyError(err)
	}
	return buffer.Bytes(), nil
}

func bodyError(err error) error {
	var large *http.MaxBytesError
	if errors.As(err, &large) {
		return &InputError{Field: "body", Reason: "is larger than 1 MiB"}
	}
	return &InputError{Field: "body", Reason: "cannot be read: " + err.Error()}
}
