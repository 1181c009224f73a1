package admin

import (
	"bytes"
	"encoding/json"
	"errors"
	"net/http"
	"slices"
	"sync"
	"time"

	"hibiscuslane.example/hibiscuslane/audit"
	"hibiscuslane.example/hibiscuslane/config"
	"hibiscuslane.example/hibiscuslane/failure"
	"hibiscuslane.example/hibiscuslane/intake"
	"hibiscuslane.example/hibiscuslane/record"
	"hibiscuslane.example/hibiscuslane/timer"
)

const (
	// maxBodyBytes limits the body of POST /config to 15 files of the largest size and 1 MB for the rest.
	maxBodyBytes = 16 << 20
	// publishTimeout limits the wait for the verdict on a publish. It is longer than two appends that time
	// out, and shorter than ClientTimeout so that callers receive the error of the entry.
	publishTimeout = 8 * time.Second
	// lagRetryAfter is the value of Retry-After in responses of an entry that lags behind the log.
	lagRetryAfter = time.Second
)

// Handler serves the administration API. All fields but Status and Timer are required. Without Status there
// is no /status; without Timer the handler uses the system clock.
type Handler struct {
	Config    Configuration
	Publisher Publisher
	// AuditSources provide the trails that GET /audit merges.
	AuditSources []audit.Source
	Status       StatusProvider
	Timer        *timer.Service
	// MaxPublishBytes limits the body of POST /config further than 16 MiB, on an entry with little memory; zero means no further
	// limit.
	MaxPublishBytes int64

	// publishing is held from the decoding of a publish to its verdict, because a publish is copied several times.
	publishing sync.Mutex
}

// Register registers the handlers of the API.
func (h *Handler) Register(mux *http.ServeMux) {
	mux.HandleFunc("GET "+PathConfig, h.getConfig)
	mux.HandleFunc("POST "+PathConfig, h.postConfig)
	mux.HandleFunc("GET "+PathAudit, h.getAudit)
	if h.Status != nil {
		mux.HandleFunc("GET "+PathStatus, h.getStatus)
	}
}

func (h *Handler) getConfig(w http.ResponseWriter, _ *http.Request) {
	version, files, sites := h.Config.Overview()
	writeJSON(w, ConfigResponse{Version: version, Files: files, Sites: sites})
}

func (h *Handler) getStatus(w http.ResponseWriter, _ *http.Request) {
	writeJSON(w, h.Status.Status())
}

func (h *Handler) postConfig(w http.ResponseWriter, r *http.Request) {
	body, err := intake.ReadBody(r, h.maxPublishBytes())
	if err != nil {
		writeReadError(w, err)
		return
	}
	h.publishing.Lock()
	defer h.publishing.Unlock()
	request, err := decodePublish(body)
	if err != nil {
		failure.Write(w, "", err)
		return
	}
	publish := config.Publish{Files: request.Files, Reason: request.Reason}
	dry := r.URL.Query().Get("dry") == "true"
	response := PublishResponse{Version: config.NoVersion, DryRun: dry}
	if response.Difference, err = h.preview(publish, dry); err == nil && !dry {
		response.Version, err = h.publish(r, request.Author, publish)
	}
	if err != nil {
		failure.Write(w, "", err)
		return
	}
	writeJSON(w, response)
}

// preview returns what a publish would change, or the error if it cannot be applied, which saves the append.
// An entry that has not yet read all versions that the publish is based on cannot tell: a dry run then fails,
// and a publish goes on without a difference.
func (h *Handler) preview(publish config.Publish, dry bool) (*config.Difference, error) {
	version := h.Config.Version()
	ahead := func(change config.FileChange) bool { return change.BaseVersion > version }
	if i := slices.IndexFunc(publish.Files, ahead); i >= 0 {
		if dry {
			return nil, &LagError{Version: version, BaseVersion: publish.Files[i].BaseVersion}
		}
		return nil, publish.Validate()
	}
	difference, err := h.Config.Preview(publish)
	if err != nil {
		return nil, err
	}
	return &difference, nil
}

func (h *Handler) publish(r *http.Request, author record.Author, publish config.Publish) (record.Offset, error) {
	ctx, cancel := h.Timer.WithTimeout(r.Context(), publishTimeout)
	defer cancel()
	offset, err := h.Publisher.Propose(ctx, config.KindPublish, author, publish)
	if err == nil {
		return offset, nil
	}
	if failure.Of(err).Code() == failure.CodeConflict {
		// The error of the state describes the other publish in more detail than the verdict.
		if conflict := h.Config.CheckConflicts(publish); conflict != nil {
			return offset, conflict
		}
	}
	return offset, err
}

func (h *Handler) getAudit(w http.ResponseWriter, r *http.Request) {
	var from time.Time
	if text := r.URL.Query().Get("from"); text != "" {
		var err error
		if from, err = time.Parse(time.RFC3339, text); err != nil {
			failure.Write(w, "", &RequestError{Reason: "from must be a time such as 2026-01-02T03:04:05Z", Cause: err})
			return
		}
	}
	w.Header().Set("Content-Type", "application/x-ndjson")
	// A write error means that the caller has disconnected, so there is nobody to report it to.
	_ = audit.WriteJSON(w, audit.Collect(from, h.AuditSources...))
}

// maxPublishBytes returns the size of the largest body of POST /config.
func (h *Handler) maxPublishBytes() int64 {
	if h.MaxPublishBytes > 0 {
		return min(h.MaxPublishBytes, maxBodyBytes)
	}
	return maxBodyBytes
}

// writeReadError answers a request whose body was not read.
func writeReadError(w http.ResponseWriter, err error) {
	if !errors.Is(err, intake.ErrNoRoom) {
		err = &RequestError{Reason: "body is malformed", Cause: err}
	}
	failure.Write(w, "", err)
}

func decodePublish(body []byte) (PublishRequest, error) {
	decoder := json.NewDecoder(bytes.NewReader(body))
	decoder.DisallowUnknownFields()
	var request PublishRequest
	if err := decoder.Decode(&request); err != nil {
		return request, &RequestError{Reason: "body is malformed", Cause: err}
	}
	if request.Author == "" {
		return request, &RequestError{Reason: "author is missing"}
	}
	return request, nil
}

func writeJSON(w http.ResponseWriter, response any) {
	w.Header().Set("Content-Type", "application/json")
	// A write error means that the caller has disconnected, so there is nobody to report it to.
	_ = json.NewEncoder(w).Encode(response)
}
