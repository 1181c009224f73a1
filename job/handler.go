package job

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"strings"
	"time"

	"github.com/google/uuid"

	"hibiscuslane.example/hibiscuslane/config"
	"hibiscuslane.example/hibiscuslane/failure"
	"hibiscuslane.example/hibiscuslane/intake"
	"hibiscuslane.example/hibiscuslane/record"
	"hibiscuslane.example/hibiscuslane/stream"
	"hibiscuslane.example/hibiscuslane/timer"
)

const (
	// PathPrefix is the path of the job API.
	PathPrefix = "/-/jobs"
	// HeaderIdempotencyKey is the request header with the idempotency key of a submit.
	HeaderIdempotencyKey = "Idempotency-Key"
	// maxSubmitBytes limits the body of a submit. Escaped JSON text is up to six times as long as the
	// text itself.
	maxSubmitBytes = 6*(MaxInputBytes+MaxCommandBytes) + 8<<10
	// recordTimeout limits the wait of a request until its record is applied or rejected.
	recordTimeout       = 10 * time.Second
	notReadyRetryAfter  = time.Second
	stateFullRetryAfter = 10 * time.Second
	logRetryAfter       = 2 * time.Second
)

// HandlerOptions holds the dependencies of a Handler. All fields except Timer are required.
type HandlerOptions struct {
	State    *State
	Proposer Proposer
	Follower Follower
	// Settings returns the active configuration, or nil if there is none.
	Settings func() *config.Settings
	// Ready reports whether this entry is ready to serve requests.
	Ready func() bool
	Timer *timer.Service
	// Author is the id of this entry.
	Author record.Author
}

// Handler serves the job API.
type Handler struct {
	HandlerOptions
	mux       *http.ServeMux
	canceller canceller
}

// NewHandler returns a Handler with the given options.
func NewHandler(options HandlerOptions) *Handler {
	h := &Handler{HandlerOptions: options, mux: http.NewServeMux()}
	h.canceller.propose = h.propose
	h.mux.HandleFunc("POST "+PathPrefix, h.serveSubmit)
	h.mux.HandleFunc("GET "+PathPrefix+"/{id}", h.serveJob)
	h.mux.HandleFunc("DELETE "+PathPrefix+"/{id}", h.serveCancel)
	h.mux.HandleFunc("/", h.serveUnknownRoute)
	return h
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) { h.mux.ServeHTTP(w, r) }

// StatusResponse is the response body of a submit and of a cancellation.
type StatusResponse struct {
	ID     ID     `json:"id"`
	Status Status `json:"status"`
}

// DetailsResponse is the response body of a request for one job. Its Input is always empty.
type DetailsResponse struct {
	StatusResponse
	Spec
	Attempts       int             `json:"attempts"`
	Worker         string          `json:"worker,omitempty"`
	Result         *Result         `json:"result,omitempty"`
	FailedAttempts []FailedAttempt `json:"failures,omitempty"`
	Created        *time.Time      `json:"created,omitempty"`
}

func (h *Handler) serveUnknownRoute(w http.ResponseWriter, r *http.Request) {
	failure.Write(w, uuid.NewString(), &UnknownRouteError{Method: r.Method, Path: r.URL.Path})
}

func (h *Handler) serveSubmit(w http.ResponseWriter, r *http.Request) {
	id := ID(uuid.NewString())
	response, err := h.submit(r, id)
	h.writeResponse(w, string(id), http.StatusAccepted, response, err)
}

func (h *Handler) submit(r *http.Request, id ID) (StatusResponse, error) {
	settings := h.Settings()
	if settings == nil || !h.Ready() {
		return StatusResponse{}, &NotReadyError{}
	}
	body := &Submit{ID: id, Key: r.Header.Get(HeaderIdempotencyKey)}
	if err := decodeSpec(r, &body.Spec); err != nil {
		return StatusResponse{}, err
	}
	if err := body.validate(); err != nil {
		return StatusResponse{}, err
	}
	if err := checkAllowed(settings, body.Spec); err != nil {
		return StatusResponse{}, err
	}
	if j, ok := h.State.JobByIdempotencyKey(body.Team, body.Key); ok {
		return repeatedSubmitResponse(j, body)
	}
	if sinceContact := h.Timer.Since(h.Follower.LastRead()); sinceContact > stream.MaxReadAge {
		// A failed append may still take effect later. No append has been attempted here, so the
		// response can say that the job will not run.
		return StatusResponse{}, &LogUnavailableError{Cause: &LogContactError{SinceContact: sinceContact}}
	}
	err := h.propose(r.Context(), record.Author(body.Team), body)
	if err != nil {
		return h.rejectedSubmitResponse(body, err)
	}
	return StatusResponse{ID: id, Status: h.currentStatus(id)}, nil
}

func decodeSpec(r *http.Request, spec *Spec) error {
	body, err := intake.ReadBody(r, maxSubmitBytes)
	switch {
	case errors.Is(err, intake.ErrNoRoom):
		return err
	case err != nil:
		return &FieldError{Field: "body", Rule: "must be a job as JSON: " + err.Error()}
	}
	decoder := json.NewDecoder(bytes.NewReader(body))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(spec); err != nil {
		return &FieldError{Field: "body", Rule: "must be a job as JSON: " + err.Error()}
	}
	return nil
}

func checkAllowed(settings *config.Settings, spec Spec) error {
	if _, ok := settings.Pools[spec.Pool]; !ok {
		return &FieldError{Field: "pool", Rule: "must name a pool"}
	}
	teamSpec, ok := settings.Teams[spec.Team]
	if !ok {
		return &FieldError{Field: "team", Rule: "must name a team"}
	}
	if quota := TeamQuota(teamSpec); !spec.fitsQuota(quota) {
		return &QuotaError{Team: spec.Team, Quota: quota}
	}
	return nil
}

// repeatedSubmitResponse returns the response to a submit whose idempotency key already belongs to a
// job.
func repeatedSubmitResponse(j Job, body *Submit) (StatusResponse, error) {
	if j.SpecHash != body.hash() {
		return StatusResponse{}, &KeyReusedError{Team: body.Team, Key: body.Key, ID: j.ID}
	}
	return StatusResponse{ID: j.ID, Status: j.Status}, nil
}

// rejectedSubmitResponse returns the response to a submit whose record was rejected or not confirmed. The
// reason of a rejection may be that another entry has submitted a job with the same key first.
func (h *Handler) rejectedSubmitResponse(body *Submit, err error) (StatusResponse, error) {
	if j, ok := h.State.JobByIdempotencyKey(body.Team, body.Key); ok && isVerdictError(err) {
		return repeatedSubmitResponse(j, body)
	}
	if isVerdictError(err) {
		return StatusResponse{}, &StateFullError{Reason: err.Error()}
	}
	return StatusResponse{}, err
}

func isVerdictError(err error) bool {
	var verdict *stream.VerdictError
	return errors.As(err, &verdict)
}

// currentStatus returns the current status of a job whose submit was applied. A job that has since been
// removed from the state counts as queued.
func (h *Handler) currentStatus(id ID) Status {
	if j, ok := h.State.Job(id); ok {
		return j.Status
	}
	return StatusQueued
}

func (h *Handler) serveJob(w http.ResponseWriter, r *http.Request) {
	requestID := uuid.NewString()
	if !h.Ready() {
		failure.Write(w, requestID, &NotReadyError{})
		return
	}
	id := ID(r.PathValue("id"))
	j, ok := h.State.Job(id)
	if !ok {
		failure.Write(w, requestID, &NotFoundError{ID: id})
		return
	}
	h.writeResponse(w, requestID, http.StatusOK, newDetails(j), nil)
}

func newDetails(j Job) DetailsResponse {
	details := DetailsResponse{StatusResponse: StatusResponse{ID: j.ID, Status: j.Status}, Spec: j.Spec, Attempts: j.Attempts, Result: j.Result, FailedAttempts: j.FailedAttempts}
	details.Input = ""
	if j.Placement != nil {
		details.Worker = string(j.Placement.Worker)
	}
	created := j.SubmitTime.AsTime()
	details.Created = &created
	return details
}

func (h *Handler) serveCancel(w http.ResponseWriter, r *http.Request) {
	id := ID(r.PathValue("id"))
	response, err := h.cancel(r.Context(), id)
	h.writeResponse(w, uuid.NewString(), http.StatusAccepted, response, err)
}

func (h *Handler) cancel(ctx context.Context, id ID) (StatusResponse, error) {
	if !h.Ready() {
		return StatusResponse{}, &NotReadyError{}
	}
	j, ok := h.State.Job(id)
	if !ok {
		return StatusResponse{}, &NotFoundError{ID: id}
	}
	if j.Status.IsFinal() {
		return StatusResponse{ID: id, Status: j.Status}, nil
	}
	ctx, cancel := h.Timer.WithTimeout(ctx, recordTimeout)
	defer cancel()
	if err := h.canceller.cancel(ctx, id); err != nil && !isVerdictError(err) {
		return StatusResponse{}, err
	}
	// A rejected record means that the job has ended in the meantime. The response then carries its
	// final status, unless the job was removed since.
	if j, ok = h.State.Job(id); !ok {
		return StatusResponse{}, &NotFoundError{ID: id}
	}
	return StatusResponse{ID: id, Status: j.Status}, nil
}

// propose appends a record and waits until it is applied or rejected. An empty author stands for this entry.
func (h *Handler) propose(ctx context.Context, author record.Author, body Body) error {
	if author == "" {
		author = h.Author
	}
	ctx, cancel := h.Timer.WithTimeout(ctx, recordTimeout)
	defer cancel()
	_, err := h.Proposer.Propose(ctx, body.Kind(), author, body)
	var withdrawn *stream.WithdrawnError
	if errors.As(err, &withdrawn) {
		return &LogUnavailableError{Cause: err}
	}
	return err
}

func (h *Handler) writeResponse(w http.ResponseWriter, requestID string, status int, response any, err error) {
	if err != nil {
		failure.Write(w, requestID, err)
		return
	}
	header := w.Header()
	header.Set("Content-Type", "application/json")
	header.Set(failure.HeaderOutcome, string(failure.OutcomeAnswered))
	header.Set(failure.HeaderRequest, requestID)
	if v, ok := response.(StatusResponse); ok {
		header.Set("Location", PathPrefix+"/"+strings.TrimSpace(string(v.ID)))
	}
	w.WriteHeader(status)
	// A write error means that the client has disconnected, so there is nobody to report it to.
	_ = json.NewEncoder(w).Encode(response)
}
