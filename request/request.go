package request

import (
	"context"
	"io"
	"net/http"
	"time"

	"hibiscuslane.example/hibiscuslane/config"
	"hibiscuslane.example/hibiscuslane/instance"
	"hibiscuslane.example/hibiscuslane/pool"
	"hibiscuslane.example/hibiscuslane/retry"
	"hibiscuslane.example/hibiscuslane/slot"
	"hibiscuslane.example/hibiscuslane/team"
)

// ID identifies a request in answers, logs and calls to targets.
type ID string

// Request is a request of a caller.
type Request struct {
	ID     ID
	Method string
	// Path is the decoded path; routes match it.
	Path string
	// URI is the path and query as the caller sent them.
	URI    string
	Header http.Header
	Body   []byte

	// The identify filter sets the fields below.

	Team team.Name
	// IdempotencyKey is the idempotency key; empty if the caller sent none.
	IdempotencyKey string
	Pool           pool.Name
	// Idempotent requests may be executed more than once.
	Idempotent bool
	Deadline   time.Time

	// avoid lists the targets of earlier tries.
	avoid []instance.ID
	// sent is set before a try that has not provably ended as notrun.
	sent bool
}

// Target is an instance at the address and incarnation to which a try is sent.
type Target struct {
	ID          instance.ID
	Address     instance.Address
	Incarnation instance.Incarnation
}

// Attempt is one attempt to have a target execute a request.
type Attempt struct {
	Request *Request
	Grant   slot.Grant
	Target  Target
}

// Response is what a caller receives.
type Response struct {
	Status int
	Header http.Header
	// Body is the whole body, or its first part if Stream is set.
	Body []byte
	// Stream is the rest of a body that is too large to buffer; nil if Body is complete.
	Stream io.ReadCloser
}

// TargetResponse is the response of a target whose body has not been read.
type TargetResponse struct {
	Status int
	Header http.Header
	Body   io.ReadCloser
	// ContentLength is the length of the body in bytes, or -1 if it is not known.
	ContentLength int64
}

// Sender sends a try to its target. An error carries the outcome of the try: notrun only if no byte
// was written or the target refused the request before it started. It must not write a request a
// second time by itself, as net/http.Transport does for one with an Idempotency-Key header.
type Sender interface {
	Send(ctx context.Context, try *Attempt) (*TargetResponse, error)
}

// Router knows the targets.
type Router interface {
	// Route returns the target of a grant, or an error if it takes no work now.
	Route(ctx context.Context, grant slot.Grant) (Target, error)
	// ReportResult tells how a try ended; err is nil if the target answered.
	ReportResult(target Target, err error)
}

// RetryPolicies holds the retry policy of each pool; *retry.Policies implements it.
type RetryPolicies interface {
	Policy(name pool.Name) *retry.Policy
}

// SettingsSource returns the configuration in force, or nil before one is known. The result is not modified.
type SettingsSource func() *config.Settings
