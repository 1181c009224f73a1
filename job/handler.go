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
	// Prefix is the path of the job interface.
	Prefix = "/-/jobs"
	// HeaderKey carries the idempotency key of a submit.
	HeaderKey = "Idempotency-Key"
	// maxBody bounds a submit in bytes. Escaped JSON text is up to six times its length.
	maxBody = 6*(MaxInput+MaxCommand) + 8<<10
	// answerTimeout bounds the wait for the log.
	answerTimeout = 10 * time.Second
	unreadyRetry  = time.Second
	fullRetry     = 10 * time.Second
	logRetry      = 2 * time.Second
)

// Parts are what a Handler is built of. All fields are required but Timer.
type Parts struct {
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
	Parts
	mux       *http.ServeMux
	canceller canceller
}

// NewHandler returns a Handler for the parts.
func NewHandler(parts Parts) *Handler {
	h := &Handler{Parts: parts, mux: http.NewServeMux()}
	h.canceller.propose = h.propose
	h.mux.HandleFunc("POST "+Prefix, h.serveSubmit)
	h.mux.HandleFunc("GET "+Prefix+"/{id}", h.serveJob)
	h.mux.HandleFunc("DELETE "+Prefix+"/{id}", h.serveCancel)
	h.mux.HandleFunc("/", h.serveOther)
	return h
}

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) { h.mux.ServeHTTP(w, r) }

// Answer is the answer to a submit or a cancellation.
type Answer struct {
	ID     ID     `json:"id"`
	Status Status `json:"status"`
}

// View is a job as callers see it.
type View struct {
	Answer
	Spec
	Attempts int        `json:"attempts"`
	Worker   string     `json:"worker,omitempty"`
	Result   *Result    `json:"result,omitempty"`
	Failures []Failure  `json:"failures,omitempty"`
	Created  *time.Time `json:"created,omitempty"`
}

func (h *Handler) serveOther(w http.ResponseWriter, r *http.Request) {
	failure.Write(w, uuid.NewString(), &PathError{Method: r.Method, Path: r.URL.Path})
}

func (h *Handler) serveSubmit(w http.ResponseWriter, r *http.Request) {
	id := ID(uuid.NewString())
	answer, err := h.submit(r, id)
	h.answer(w, string(id), http.StatusAccepted, answer, err)
}

func (h *Handler) submit(r *http.Request, id ID) (Answer, error) {
	settings := h.Settings()
	if settings == nil || !h.Ready() {
		return Answer{}, &UnreadyError{}
	}
	body := &Submit{ID: id, Key: r.Header.Get(HeaderKey)}
	if err := decodeSpec(r, &body.Spec); err != nil {
		return Answer{}, err
	}
	if err := body.validate(); err != nil {
		return Answer{}, err
	}
	if err := allowed(settings, body.Spec); err != nil {
		return Answer{}, err
	}
	if j, ok := h.State.Keyed(body.Team, body.Key); ok {
		return same(j, body)
	}
	if silence := h.Timer.Since(h.Follower.Contact()); silence > stream.ContactLimit {
		// An append that is tried and fails may still take effect. Nothing has been tried yet, so the
		// caller can be told that the job will not run.
		return Answer{}, &LogError{Cause: &SilenceError{Silence: silence}}
	}
	err := h.propose(r.Context(), record.Author(body.Team), body)
	if err != nil {
		return h.refused(body, err)
	}
	return Answer{ID: id, Status: h.status(id)}, nil
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
	if quota := Quota(t); !spec.withinQuota(quota) {
		return &QuotaError{Team: spec.Team, Quota: quota}
	}
	return nil
}

// same returns the answer for the job that a key names already.
func same(j Job, body *Submit) (Answer, error) {
	if j.Request != body.hash() {
		return Answer{}, &ReusedError{Team: body.Team, Key: body.Key, ID: j.ID}
	}
	return Answer{ID: j.ID, Status: j.Status}, nil
}

// refused turns a submit that was not applied into an answer. Another entry may have submitted the same
// key first.
func (h *Handler) refused(body *Submit, err error) (Answer, error) {
	if j, ok := h.State.Keyed(body.Team, body.Key); ok && isVerdict(err) {
		return same(j, body)
	}
	if isVerdict(err) {
		return Answer{}, &FullError{Reason: err.Error()}
	}
	return Answer{}, err
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
		failure.Write(w, request, &UnreadyError{})
		return
	}
	id := ID(r.PathValue("id"))
	j, ok := h.State.Job(id)
	if !ok {
		failure.Write(w, request, &MissingError{ID: id})
		return
	}
	h.answer(w, request, http.StatusOK, view(j), nil)
}

func view(j Job) View {
	v := View{Answer: Answer{ID: j.ID, Status: j.Status}, Spec: j.Spec, Attempts: j.Attempts, Result: j.Result, Failures: j.Failures}
	v.Input = ""
	if j.Placement != nil {
		v.Worker = string(j.Placement.Worker)
	}
	created := j.Time.AsTime()
	v.Created = &created
	return v
}

func (h *Handler) serveCancel(w http.ResponseWriter, r *http.Request) {
	id := ID(r.PathValue("id"))
	answer, err := h.cancel(r.Context(), id)
	h.answer(w, uuid.NewString(), http.StatusAccepted, answer, err)
}

func (h *Handler) cancel(ctx context.Context, id ID) (Answer, error) {
	if !h.Ready() {
		return Answer{}, &UnreadyError{}
	}
	j, ok := h.State.Job(id)
	if !ok {
		return Answer{}, &MissingError{ID: id}
	}
	if j.Status.Final() {
		return Answer{ID: id, Status: j.Status}, nil
	}
	ctx, cancel := h.Timer.WithTimeout(ctx, answerTimeout)
	defer cancel()
	if err := h.canceller.cancel(ctx, id); err != nil && !isVerdict(err) {
		return Answer{}, err
	}
	// A stale record means that the job has ended in the meantime; the status tells how.
	return Answer{ID: id, Status: h.status(id)}, nil
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
		return &LogError{Cause: err}
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
	if v, ok := answer.(Answer); ok {
		header.Set("Location", Prefix+"/"+strings.TrimSpace(string(v.ID)))
	}
	w.WriteHeader(status)
	// A write error means that the caller is gone; nobody is left to tell.
	_ = json.NewEncoder(w).Encode(answer)
}
