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

// ID identifies a request in responses, logs and calls to targets.
type ID string

// Request is the decoded request of a caller.
type Request struct {
	ID     ID
	Method string
	// Path is the decoded path, which is matched against the routes.
	Path string
	// URI is the path and query as the caller sent them.
	URI    string
	Header http.Header
	Body   []byte

	// identifyMiddleware sets the fields from Team to Deadline.

	Team team.Name
	// IdempotencyKey is the idempotency key; empty if the caller sent none.
	IdempotencyKey string
	Pool           pool.Name
	// Idempotent is true if the request may be executed more than once.
	Idempotent bool
	Deadline   time.Time

	// attemptedTargets lists the targets of failed attempts, which are avoided.
	attemptedTargets []instance.ID
	// maybeExecuted is true if the last attempt to be sent is still running or did not end with the outcome notrun.
	maybeExecuted bool
}

// Target identifies the target to which an attempt is sent.
type Target struct {
	ID          instance.ID
	Address     instance.Address
	Incarnation instance.Incarnation
}

// Attempt is a single attempt to execute a request on a target.
type Attempt struct {
	Request *Request
	Grant   slot.Grant
	Target  Target
}

// Response is what a caller receives.
type Response struct {
	Status int
	Header http.Header
	// Body is the complete body, or its first part if Stream is set.
	Body []byte
	// Stream is the rest of a body that is too large to buffer; nil if Body is complete.
	Stream io.ReadCloser
}

// TargetResponse is the response of a target before its body is read.
type TargetResponse struct {
	Status int
	Header http.Header
	Body   io.ReadCloser
	// ContentLength is the length of the body in bytes, or -1 if it is not known.
	ContentLength int64
}

// Sender sends an attempt to its target. An error contains the outcome of the attempt, which is notrun only if no
// byte was written or the target refused the request before executing it. A Sender must not send a request again on
// its own, as http.Transport does for requests with an Idempotency-Key header.
type Sender interface {
	Send(ctx context.Context, attempt *Attempt) (*TargetResponse, error)
}

// Router resolves targets and tracks their health.
type Router interface {
	// Route returns the target of a grant, or an error if the target accepts no work now.
	Route(ctx context.Context, grant slot.Grant) (Target, error)
	// ReportResult reports the result of an attempt; err is nil if the target responded.
	ReportResult(target Target, err error)
}

// RetryPolicies returns the retry policy of each pool. *retry.PoolPolicies implements it.
type RetryPolicies interface {
	Policy(name pool.Name) *retry.Policy
}

// SettingsSource returns the current configuration, or nil if none has been loaded. Callers must not modify it.
type SettingsSource func() *config.Settings
