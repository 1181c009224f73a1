// Package ingress serves callers: it finds the queue of a request, passes the request on to the owner,
// and answers with what became of it.
package ingress

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"hibiscuslane.example/hibiscuslane/event"
	"hibiscuslane.example/hibiscuslane/platform"
	"hibiscuslane.example/hibiscuslane/queue"
	"hibiscuslane.example/hibiscuslane/relay"
	"hibiscuslane.example/hibiscuslane/task"
	"hibiscuslane.example/hibiscuslane/timer"
)

const (
	// defaultBody bounds a body while the configuration names no bound.
	defaultBody = 1 << 20
	// defaultPatience bounds an answer while neither caller nor queue names a bound.
	defaultPatience = 3 * time.Second
	// answerShare is the part of a caller's patience after which it is told that the outcome is unknown, so
	// that the answer still arrives in time.
	answerShare = 0.8
	// configRetry is the time after which a caller may try again while there is no configuration.
	configRetry = time.Second
)

var (
	eventRefuse  = event.Define(2450, "request.refused", "a request was not carried out")
	eventUnknown = event.Define(2451, "request.unknown", "a request may or may not have been carried out")
	eventInvalid = event.Define(2452, "request.invalid", "a request is malformed")
	eventUnsent  = event.Define(2453, "answer.unsent", "a caller left before its answer")
)

// Forwarder passes requests on to the owner.
type Forwarder interface {
	Forward(ctx context.Context, request *relay.Request) *relay.Reply
}

// Handler serves callers. Fields are set before the first request.
type Handler struct {
	Config    func() *queue.Config
	Forwarder Forwarder
	Clock     *timer.Service
	Log       event.Log
	// Closing asks callers to open a new connection for their next request.
	Closing atomic.Bool
	counts  [6]atomic.Int64
}

// VerdictCount returns how many requests had a verdict.
func (h *Handler) VerdictCount(v relay.Verdict) int64 { return h.counts[v].Load() }

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if h.Closing.Load() {
		w.Header().Set("Connection", "close")
	}
	config := h.Config()
	if config == nil {
		h.refuse(w, r, "", configRetry, "no configuration yet")
		return
	}
	q, rest, ok := config.Match(r.Host, r.URL.Path)
	if !ok {
		h.Log.Info(eventInvalid, "host", r.Host, "path", r.URL.Path, "version", config.Version, "reason", "no such queue")
		w.WriteHeader(http.StatusNotFound)
		return
	}
	request, status := h.request(w, r, config, q, rest)
	if request == nil {
		h.Log.Info(eventInvalid, "queue", q.Name, "path", r.URL.Path, "status", status)
		w.WriteHeader(status)
		return
	}
	patience := patience(r, q)
	request.Patience = int64(float64(patience.Milliseconds()) * answerShare)
	ctx, cancel := h.Clock.WithTimeout(r.Context(), time.Duration(request.Patience)*time.Millisecond)
	defer cancel()
	h.answer(w, r, request, h.Forwarder.Forward(ctx, request))
}

// patience returns how long the caller waits.
func patience(r *http.Request, q queue.Queue) time.Duration {
	patience := defaultPatience
	if q.ResponseTimeout > 0 {
		patience = q.ResponseTimeout
	}
	if asked := platform.CallerTimeout(r.Header); asked > 0 {
		patience = min(patience, asked)
	}
	return patience
}

// request returns the message for the owner, or the status of a malformed request.
func (h *Handler) request(w http.ResponseWriter, r *http.Request, config *queue.Config, q queue.Queue, rest string) (*relay.Request, int) {
	request := &relay.Request{Queue: string(q.Name), Job: rest}
	if rest == "" {
		request.Verb = relay.Verb_WAITING
		if r.Method != http.MethodGet {
			return nil, http.StatusMethodNotAllowed
		}
		return request, 0
	}
	if !task.JobID(rest).IsValid() {
		return nil, http.StatusNotFound
	}
	switch r.Method {
	case http.MethodGet:
		request.Verb = relay.Verb_STATE
	case http.MethodDelete:
		request.Verb = relay.Verb_CANCEL
	case http.MethodPost:
		request.Verb = relay.Verb_SUBMIT
		limit := config.MaxBodyBytes
		if limit <= 0 {
			limit = defaultBody
		}
		body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
		if err != nil {
			return nil, http.StatusRequestEntityTooLarge
		}
		request.Body = body
	default:
		return nil, http.StatusMethodNotAllowed
	}
	return request, 0
}

// answer tells the caller what became of the request.
func (h *Handler) answer(w http.ResponseWriter, r *http.Request, request *relay.Request, reply *relay.Reply) {
	h.counts[reply.Verdict].Add(1)
	switch reply.Verdict {
	case relay.Verdict_DONE:
		h.write(w, request, reply)
	case relay.Verdict_MISSING:
		w.WriteHeader(http.StatusGone)
	case relay.Verdict_INVALID:
		h.Log.Info(eventInvalid, "job", request.Job, "queue", request.Queue, "reason", reply.Reason)
		w.WriteHeader(http.StatusBadRequest)
	case relay.Verdict_UNKNOWN:
		h.Log.Info(eventUnknown, "job", request.Job, "queue", request.Queue, "verb", request.Verb.String(), "reason", reply.Reason)
		w.WriteHeader(http.StatusGatewayTimeout)
	default:
		h.refuse(w, r, request.Job, time.Duration(reply.Again)*time.Millisecond, reply.Reason)
	}
}

func (h *Handler) write(w http.ResponseWriter, request *relay.Request, reply *relay.Reply) {
	w.Header().Set("Content-Type", "application/json")
	var body []byte
	switch request.Verb {
	case relay.Verb_STATE:
		body = platform.JobStateBody(task.State(reply.State))
	case relay.Verb_WAITING:
		body = platform.WaitingCountBody(int(reply.Waiting))
	default:
		body = []byte("{}")
	}
	if _, err := w.Write(body); err != nil {
		h.Log.Debug(eventUnsent, "job", request.Job, "error", err)
	}
}

// refuse tells the caller that the request was not carried out, and when to try again.
func (h *Handler) refuse(w http.ResponseWriter, r *http.Request, job string, again time.Duration, reason string) {
	h.Log.Info(eventRefuse, "job", job, "method", r.Method, "again", again, "reason", reason)
	seconds := int64((again + time.Second - 1) / time.Second)
	w.Header().Set("Retry-After", strconv.FormatInt(max(seconds, 1), 10))
	w.WriteHeader(http.StatusServiceUnavailable)
}
