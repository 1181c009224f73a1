package job

import (
	"context"
	"encoding/json"
	"errors"
	"net/http"
	"strings"
	"time"

	"github.com/google/uuid"

	"hibiscuslane.example/hibiscuslane/config"
	"hibiscuslane.example/hibiscuslane/failure"
	"hibiscuslane.example/hibiscuslane/record"
	"hibiscuslane.example/hibiscuslane/stream"
	"hibiscuslane.example/hibiscuslane/timer"
)

const (
	// PathPrefix is the path of the job interface.
	PathPrefix = "/-/jobs"
	// HeaderIdempotencyKey carries the idempotency key of a submit.
	HeaderIdempotencyKey = "Idempotency-Key"
	// maxBody bounds a submit in bytes. Escaped JSON text is up to six times its length.
	maxBody = 6*(MaxInputBytes+MaxCommandBytes) + 8<<10
	// answerTimeout bounds the wait for the log.
	answerTimeout = 10 * time.Second
	unreadyRetry  = time.Second
	fullRetry     = 10 * time.Second
	logRetry      = 2 * time.Second
)

// HandlerOptions are what a Handler is built of. All fields are required but Timer.
type HandlerOptions struct {
	State    *State
	Proposer Proposer
	Follower Follower
	// Settings returns the configuration in force, or nil.
	Settings func() *config.Settings
	Ready    func() bool
	Timer    *timer.Service
	// Author is the id of the entry.
	Author record.Author
}

// Handler serves the job interface to callers.
type Handler struct {
	HandlerOptions
	mux       *http.ServeMux
	canceller canceller
}

// NewHandler returns a Handler for the parts.
func NewHandler(parts HandlerOptions) *Handler {
	h := &Handler{HandlerOptions: parts, mux: http.NewServeMux()}
	h.canceller.propose = h.propose
	h.mux.HandleFunc("POST "+PathPrefix, h.serveSubmit)
	h.mux.HandleFunc("GET "+PathPrefix+"/{id}", h.serveJob)
	h.mux.HandleFunc("DELETE "+PathPrefix+"/{id}", h.serveCancel)
	h.mux.HandleFunc("/", h.serveOther)
	return h
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) { h.mux.ServeHTTP(w, r) }

// StatusResponse is the answer to a submit or a cancellation.
type StatusResponse struct {
	ID     ID     `json:"id"`
	Status Status `json:"status"`
}

// DetailsResponse is a job as callers see it.
type DetailsResponse struct {
	StatusResponse
	Spec
	Attempts       int             `json:"attempts"`
	Worker         string          `json:"worker,omitempty"`
	Result         *Result         `json:"result,omitempty"`
	FailedAttempts []FailedAttempt `json:"failures,omitempty"`
	Created        *time.Time      `json:"created,omitempty"`
}

func (h *Handler) serveOther(w http.ResponseWriter, r *http.Request) {
	failure.Write(w, uuid.NewString(), &UnknownRouteError{Method: r.Method, Path: r.URL.Path})
}

func (h *Handler) serveSubmit(w http.ResponseWriter, r *http.Request) {
	id := ID(uuid.NewString())
	answer, err := h.submit(r, id)
	h.answer(w, string(id), http.StatusAccepted, answer, err)
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
	if err := allowed(settings, body.Spec); err != nil {
		return StatusResponse{}, err
	}
	if j, ok := h.State.JobByIdempotencyKey(body.Team, body.Key); ok {
		return same(j, body)
	}
	if silence := h.Timer.Since(h.Follower.Contact()); silence > stream.ContactLimit {
		// An append that is tried and fails may still take effect. Nothing has been tried yet, so the
		// caller can be told that the job will not run.
		return StatusResponse{}, &LogUnavailableError{Cause: &LogContactError{SinceContact: silence}}
	}
	err := h.propose(r.Context(), record.Author(body.Team), body)
	if err != nil {
		return h.refused(body, err)
	}
	return StatusResponse{ID: id, Status: h.status(id)}, nil
}

func decodeSpec(r *http.Request, spec *Spec) error {
	decoder := json.NewDecoder(http.MaxBytesReader(nil, r.Body, maxBody))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(spec); err != nil {
		return &FieldError{Field: "body", Rule: "must be a job as JSON: " + err.Error()}
	}
	return nil
}

func allowed(settings *config.Settings, spec Spec) error {
	if _, ok := settings.Pools[spec.Pool]; !ok {
		return &FieldError{Field: "pool", Rule: "must name a pool"}
	}
	t, ok := settings.Teams[spec.Team]
	if !ok {
		return &FieldError{Field: "team", Rule: "must name a team"}
	}
	if quota := TeamQuota(t); !spec.withinQuota(quota) {
		return &QuotaError{Team: spec.Team, Quota: quota}
	}
	return nil
}

// same returns the answer for the job that a key names already.
func same(j Job, body *Submit) (StatusResponse, error) {
	if j.SpecHash != body.hash() {
		return StatusResponse{}, &KeyReusedError{Team: body.Team, Key: body.Key, ID: j.ID}
	}
	return StatusResponse{ID: j.ID, Status: j.Status}, nil
}

// refused turns a submit that was not applied into an answer. Another entry may have submitted the same
// key first.
func (h *Handler) refused(body *Submit, err error) (StatusResponse, error) {
	if j, ok := h.State.JobByIdempotencyKey(body.Team, body.Key); ok && isVerdict(err) {
		return same(j, body)
	}
	if isVerdict(err) {
		return StatusResponse{}, &StateFullError{Reason: err.Error()}
	}
	return StatusResponse{}, err
}

func isVerdict(err error) bool {
	var verdict *stream.VerdictError
	return errors.As(err, &verdict)
}

// status returns the present status of a job whose submit was folded.
func (h *Handler) status(id ID) Status {
	if j, ok := h.State.Job(id); ok {
		return j.Status
	}
	return StatusQueued
}

func (h *Handler) serveJob(w http.ResponseWriter, r *http.Request) {
	request := uuid.NewString()
	if !h.Ready() {
		failure.Write(w, request, &NotReadyError{})
		return
	}
	id := ID(r.PathValue("id"))
	j, ok := h.State.Job(id)
	if !ok {
		failure.Write(w, request, &NotFoundError{ID: id})
		return
	}
	h.answer(w, request, http.StatusOK, view(j), nil)
}

func view(j Job) DetailsResponse {
	v := DetailsResponse{StatusResponse: StatusResponse{ID: j.ID, Status: j.Status}, Spec: j.Spec, Attempts: j.Attempts, Result: j.Result, FailedAttempts: j.FailedAttempts}
	v.Input = ""
	if j.Placement != nil {
		v.Worker = string(j.Placement.Worker)
	}
	created := j.SubmitTime.Std()
	v.Created = &created
	return v
}

func (h *Handler) serveCancel(w http.ResponseWriter, r *http.Request) {
	id := ID(r.PathValue("id"))
	answer, err := h.cancel(r.Context(), id)
	h.answer(w, uuid.NewString(), http.StatusAccepted, answer, err)
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
	ctx, cancel := h.Timer.WithTimeout(ctx, answerTimeout)
	defer cancel()
	if err := h.canceller.cancel(ctx, id); err != nil && !isVerdict(err) {
		return StatusResponse{}, err
	}
	// A stale record means that the job has ended in the meantime; the status tells how.
	return StatusResponse{ID: id, Status: h.status(id)}, nil
}

// propose appends a record and waits for its verdict.
func (h *Handler) propose(ctx context.Context, author record.Author, body Body) error {
	if author == "" {
		author = h.Author
	}
	ctx, cancel := h.Timer.WithTimeout(ctx, answerTimeout)
	defer cancel()
	_, err := h.Proposer.Propose(ctx, body.Kind(), author, body)
	var outage *stream.OutageError
	if errors.As(err, &outage) {
		return &LogUnavailableError{Cause: err}
	}
	return err
}

func (h *Handler) answer(w http.ResponseWriter, request string, status int, answer any, err error) {
	if err != nil {
		failure.Write(w, request, err)
		return
	}
	header := w.Header()
	header.Set("Content-Type", "application/json")
	header.Set(failure.HeaderOutcome, string(failure.OutcomeAnswered))
	header.Set(failure.HeaderRequest, request)
	if v, ok := answer.(StatusResponse); ok {
		header.Set("Location", PathPrefix+"/"+strings.TrimSpace(string(v.ID)))
	}
	w.WriteHeader(status)
	// A write error means that the caller is gone; nobody is left to tell.
	_ = json.NewEncoder(w).Encode(answer)
}
