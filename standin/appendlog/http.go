package appendlog

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"hibiscuslane.example/hibiscuslane/record"
	"hibiscuslane.example/hibiscuslane/standin/reply"
	"hibiscuslane.example/hibiscuslane/upstream"
)

type appendRequest struct {
	Records []json.RawMessage `json:"records"`
}

type appendResponse struct {
	First record.Offset `json:"first"`
	Count int           `json:"count"`
}

// RegisterHandlers adds the HTTP handlers of the log to mux.
func (l *Log) RegisterHandlers(mux *http.ServeMux) {
	mux.HandleFunc("POST /log/{stream}", l.serveAppend)
	mux.HandleFunc("GET /log/{stream}", l.serveRead)
	mux.HandleFunc("GET /-/counts", l.serveCounters)
}

func (l *Log) serveAppend(w http.ResponseWriter, r *http.Request) {
	var body appendRequest
	if err := reply.DecodeBody(r, &body); err != nil {
		reply.Error(w, err)
		return
	}
	first, err := l.Append(r.Context(), record.Stream(r.PathValue("stream")), body.Records)
	if err != nil {
		reply.Error(w, err)
		return
	}
	reply.JSON(w, http.StatusOK, appendResponse{First: first, Count: len(body.Records)})
}

func (l *Log) serveRead(w http.ResponseWriter, r *http.Request) {
	stream := record.Stream(r.PathValue("stream"))
	query, err := parseQuery(r)
	if err != nil {
		reply.Error(w, err)
		return
	}
	wait := time.Duration(query.waitMS) * time.Millisecond
	batch, err := l.Read(r.Context(), stream, record.Offset(query.from), int(query.limit), wait)
	if upstream.IsExpired(err) {
		err = reply.Refuse(r.URL.Path, upstream.RefusedExpired, "the offset is past the retention window")
	}
	if err != nil {
		reply.Error(w, err)
		return
	}
	reply.JSON(w, http.StatusOK, batch)
}

func (l *Log) serveCounters(w http.ResponseWriter, _ *http.Request) {
	reply.JSON(w, http.StatusOK, l.Counters())
}

type readQuery struct {
	from, limit, waitMS int64
}

func parseQuery(r *http.Request) (readQuery, error) {
	query := readQuery{limit: DefaultReadLimit}
	for name, field := range map[string]*int64{"from": &query.from, "max": &query.limit, "wait": &query.waitMS} {
		text := r.URL.Query().Get(name)
		if text == "" {
			continue
		}
		value, err := strconv.ParseInt(text, 10, 64)
		if err != nil {
			return readQuery{}, reply.Invalid(r.URL.Path, name+" is not a number")
		}
		*field = value
	}
	return query, nil
}
