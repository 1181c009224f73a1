// Package ingress serves callers of "hibiscuslane run". Handler determines the queue of a request,
// forwards the request to the owner, that is, the process that accepts and places all jobs, and replies
// with the outcome. Packages request and job serve the callers of "hibiscuslane serve".
package ingress

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"hibiscuslane.example/hibiscuslane/event"
	"hibiscuslane.example/hibiscuslane/intake"
	"hibiscuslane.example/hibiscuslane/platform"
	"hibiscuslane.example/hibiscuslane/queue"
	"hibiscuslane.example/hibiscuslane/relay"
	"hibiscuslane.example/hibiscuslane/task"
	"hibiscuslane.example/hibiscuslane/timer"
)

const (
	// defaultMaxBodyBytes limits the body of a request if the configuration sets no limit.
	defaultMaxBodyBytes = 1 << 20
	// defaultTimeout limits the time until the reply if the queue sets no limit. Callers may ask for less.
	defaultTimeout = 3 * time.Second
	// replyFraction is the part of a caller's timeout after which the caller is told that the outcome is unknown, so
	// that the reply still arrives in time.
	replyFraction = 0.8
	// expiredRetryDelay is the delay after which a caller should retry whose time ran out before its request was forwarded.
	expiredRetryDelay = time.Second
	// noConfigRetryDelay is the delay after which a caller should retry while there is no configuration.
	noConfigRetryDelay = time.Second
	// noRoomRetryDelay is the delay after which a caller should retry whose body found no room. Bodies that are stuck give way to
	// others after less time.
	noRoomRetryDelay = time.Second
)

var (
	eventRefused      = event.Define(2450, "request.refused", "a request was not carried out")
	eventUnknown      = event.Define(2451, "request.unknown", "a request may or may not have been carried out")
	eventInvalid      = event.Define(2452, "request.invalid", "a request is malformed")
	eventMissing      = event.Define(2454, "request.missing", "the job of a request does not exist; this acknowledges a cancel")
	eventUnauthorized = event.Define(2455, "request.unauthorized", "the key of a request is missing, or not that of a team")
	eventLimited      = event.Define(2456, "request.limited", "a request exceeds a limit of its team and was not carried out")
	eventReplyUnsent  = event.Define(2453, "answer.unsent", "a caller disconnected before the reply was written")
)

// Forwarder forwards requests to the owner.
type Forwarder interface {
	// Forward forwards a request whose caller waits for the reply until the given Uptime of the timer service, and not after it.
	Forward(ctx context.Context, request *relay.Request, expiry time.Duration) *relay.Reply
}

// Handler serves callers. All exported fields except Closing must be set before the first request.
type Handler struct {
	// Config returns the configuration in force; nil before the first one.
	Config    func() *queue.Config
	Forwarder Forwarder
	Clock     *timer.Service
	Log       event.Log
	// Closing makes callers open a new connection for their next request.
	Closing atomic.Bool
	// verdictCounts holds the number of replies with each relay.Verdict.
	verdictCounts [8]atomic.Int64
	// unauthorizedCount is the number of requests that were not forwarded because of their keys.
	unauthorizedCount atomic.Int64
}

// UnauthorizedCount returns the number of requests that were not forwarded because their keys were missing or unknown.
func (h *Handler) UnauthorizedCount() int64 { return h.unauthorizedCount.Load() }

// VerdictCount returns the number of forwarded requests that ended with the given verdict.
func (h *Handler) VerdictCount(verdict relay.Verdict) int64 { return h.verdictCounts[verdict].Load() }

// ServeHTTP implements http.Handler.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	arrival := h.Clock.Uptime()
	if h.Closing.Load() {
		w.Header().Set("Connection", "close")
	}
	config := h.Config()
	if config == nil {
		h.refuse(w, r, "", noConfigRetryDelay, "no configuration yet")
		return
	}
	q, jobID, ok := config.Match(r.Host, r.URL.Path)
	if !ok {
		h.Log.Info(eventInvalid, "host", r.Host, "path", r.URL.Path, "version", config.Version, "reason", "no such queue")
		w.WriteHeader(http.StatusNotFound)
		return
	}
	request := &relay.Request{Queue: string(q.Name), Job: jobID, Version: int64(config.Version)}
	if !identifyCaller(request, r, config, q) {
		h.unauthorizedCount.Add(1)
		h.writeUnauthorized(w, r, request, "unknown key")
		return
	}
	switch status := h.parseRequest(r, config, request); status {
	case 0:
	case http.StatusServiceUnavailable:
		// Package intake logs the number of such refusals, which may be many.
		w.Header().Set("Connection", "close")
		writeRefusal(w, noRoomRetryDelay)
		return
	default:
		h.Log.Info(eventInvalid, "queue", q.Name, "path", r.URL.Path, "status", status)
		w.WriteHeader(status)
		return
	}
	expiry := arrival + time.Duration(float64(timeoutOf(r, q))*replyFraction)
	ctx, cancel := h.Clock.WithTimeout(r.Context(), expiry-h.Clock.Uptime())
	defer cancel()
	h.writeOutcome(w, r, request, h.forward(ctx, request, expiry))
}

// identifyCaller adds the team and the digest of the caller's key to the request. It reports whether the configuration admits the
// caller to the queue.
func identifyCaller(request *relay.Request, r *http.Request, config *queue.Config, q queue.Queue) bool {
	key := platform.CallerKey(r.Header)
	if key != "" {
		digest := queue.DigestKey(key)
		request.Digest = digest[:]
	}
	name, ok := config.Admit(q.Name, request.Digest)
	request.Team = string(name)
	return ok
}

// forward forwards a request unless its caller waits no longer, because the process was paused or the body was late.
func (h *Handler) forward(ctx context.Context, request *relay.Request, expiry time.Duration) *relay.Reply {
	if h.Clock.Uptime() >= expiry {
		return ExpiredReply()
	}
	return h.Forwarder.Forward(ctx, request, expiry)
}

// ExpiredReply returns the refusal of a request that was not forwarded because its caller waits no longer.
func ExpiredReply() *relay.Reply {
	return &relay.Reply{Verdict: relay.Verdict_REFUSED, Reason: "the time of the caller ran out before the request was forwarded", Again: expiredRetryDelay.Milliseconds()}
}

// timeoutOf returns the limit of the time until the reply: that of the queue, or less if the caller asks for less.
func timeoutOf(r *http.Request, q queue.Queue) time.Duration {
	timeout := defaultTimeout
	if q.ResponseTimeout > 0 {
		timeout = q.ResponseTimeout
	}
	if requested := platform.CallerTimeout(r.Header); requested > 0 {
		timeout = min(timeout, requested)
	}
	return timeout
}

// parseRequest adds the verb and the body to the message for the owner. It returns the HTTP status for a malformed request, or 0.
func (h *Handler) parseRequest(r *http.Request, config *queue.Config, request *relay.Request) int {
	if request.Job == "" {
		// The path of the queue itself returns its number of waiting jobs.
		request.Verb = relay.Verb_WAITING
		if r.Method != http.MethodGet {
			return http.StatusMethodNotAllowed
		}
		return 0
	}
	if !task.JobID(request.Job).IsValid() {
		return http.StatusNotFound
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
			limit = defaultMaxBodyBytes
		}
		body, err := intake.ReadBody(r, limit)
		if err != nil {
			return bodyStatus(err)
		}
		request.Body = body
	default:
		return http.StatusMethodNotAllowed
	}
	return 0
}

// bodyStatus returns the HTTP status for a request whose body was not read.
func bodyStatus(err error) int {
	switch {
	case errors.Is(err, intake.ErrNoRoom):
		return http.StatusServiceUnavailable
	case errors.Is(err, intake.ErrTooLarge):
		return http.StatusRequestEntityTooLarge
	}
	return http.StatusBadRequest // the caller has stopped sending it
}

// writeOutcome replies to the caller with the owner's verdict.
func (h *Handler) writeOutcome(w http.ResponseWriter, r *http.Request, request *relay.Request, reply *relay.Reply) {
	h.verdictCounts[reply.Verdict].Add(1)
	switch reply.Verdict {
	case relay.Verdict_DONE:
		h.writeResult(w, request, reply)
	case relay.Verdict_MISSING:
		h.Log.Info(eventMissing, "job", request.Job, "queue", request.Queue, "verb", request.Verb.String())
		w.WriteHeader(http.StatusGone)
	case relay.Verdict_INVALID:
		h.Log.Info(eventInvalid, "job", request.Job, "queue", request.Queue, "reason", reply.Reason)
		w.WriteHeader(http.StatusBadRequest)
	case relay.Verdict_UNKNOWN:
		h.Log.Info(eventUnknown, "job", request.Job, "queue", request.Queue, "verb", request.Verb.String(), "reason", reply.Reason)
		w.WriteHeader(http.StatusGatewayTimeout)
	case relay.Verdict_UNAUTHORIZED:
		h.writeUnauthorized(w, r, request, reply.Reason)
	case relay.Verdict_LIMITED:
		h.Log.Info(eventLimited, "job", request.Job, "queue", request.Queue, "team", request.Team, "again", time.Duration(reply.Again)*time.Millisecond, "reason", reply.Reason)
		setRetryAfter(w, time.Duration(reply.Again)*time.Millisecond)
		http.Error(w, reply.Reason, http.StatusTooManyRequests)
	default:
		h.refuse(w, r, request.Job, time.Duration(reply.Again)*time.Millisecond, reply.Reason)
	}
}

func (h *Handler) writeResult(w http.ResponseWriter, request *relay.Request, reply *relay.Reply) {
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
		h.Log.Debug(eventReplyUnsent, "job", request.Job, "error", err)
	}
}

// refuse replies that the request was not carried out, and when to retry.
func (h *Handler) refuse(w http.ResponseWriter, r *http.Request, job string, retryAfter time.Duration, reason string) {
	h.Log.Info(eventRefused, "job", job, "method", r.Method, "again", retryAfter, "reason", reason)
	writeRefusal(w, retryAfter)
}

func writeRefusal(w http.ResponseWriter, retryAfter time.Duration) {
	setRetryAfter(w, retryAfter)
	w.WriteHeader(http.StatusServiceUnavailable)
}

// setRetryAfter tells the caller when to retry, in whole seconds and at least one.
func setRetryAfter(w http.ResponseWriter, retryAfter time.Duration) {
	seconds := int64((retryAfter + time.Second - 1) / time.Second)
	w.Header().Set("Retry-After", strconv.FormatInt(max(seconds, 1), 10))
}

// writeUnauthorized replies that the caller's key is missing or unknown. It logs whether the caller sent a key, not the key.
func (h *Handler) writeUnauthorized(w http.ResponseWriter, r *http.Request, request *relay.Request, reason string) {
	h.Log.Info(eventUnauthorized, "job", request.Job, "queue", request.Queue, "method", r.Method, "version", request.Version, "keyed", len(request.Digest) > 0, "reason", reason)
	w.Header().Set("WWW-Authenticate", platform.KeyChallenge)
	w.WriteHeader(http.StatusUnauthorized)
}
