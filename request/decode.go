package request

import (
	"context"
	"errors"
	"net/http"
	"strings"

	"github.com/google/uuid"

	"hibiscuslane.example/hibiscuslane/intake"
)

const (
	// MaxBodyBytes is the maximum size of a request body.
	MaxBodyBytes = 1 << 20
	// ReservedPrefix is the prefix of paths that the entry serves itself instead of forwarding them to a target.
	ReservedPrefix = "/-/"
)

type requestIDKey struct{}

// assignID gives a request its ID before it is decoded, so that every error response contains the ID.
func assignID(ctx context.Context, _ *http.Request) context.Context {
	return context.WithValue(ctx, requestIDKey{}, ID(uuid.NewString()))
}

func requestID(ctx context.Context) ID {
	id, _ := ctx.Value(requestIDKey{}).(ID)
	return id
}

// decodeRequest validates an HTTP request, reads its whole body and returns a *Request.
func decodeRequest(ctx context.Context, r *http.Request) (any, error) {
	if err := validateMethodAndPath(r); err != nil {
		return nil, err
	}
	body, err := readBody(r)
	if err != nil {
		return nil, err
	}
	return &Request{
		ID:     requestID(ctx),
		Method: r.Method,
		Path:   r.URL.Path,
		URI:    r.URL.RequestURI(),
		Header: r.Header,
		Body:   body,
	}, nil
}

func validateMethodAndPath(r *http.Request) error {
	switch r.Method {
	case http.MethodConnect, http.MethodTrace:
		return &InputError{Field: "method", Reason: r.Method + " is not supported"}
	}
	if !strings.HasPrefix(r.URL.Path, "/") {
		return &InputError{Field: "path", Reason: "must start with /"}
	}
	if hasDotSegment(r.URL.Path) {
		// A target may resolve dot segments and thus serve a path that belongs to another route.
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
	body, err := intake.ReadBody(r, MaxBodyBytes)
	switch {
	case err == nil, errors.Is(err, intake.ErrNoRoom):
		return body, err
	case errors.Is(err, intake.ErrTooLarge):
		return nil, &InputError{Field: "body", Reason: "is larger than 1 MiB"}
	}
	return nil, &InputError{Field: "body", Reason: "cannot be read: " + err.Error()}
}
