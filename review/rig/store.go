package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Limits and times of the store, as the settings name them.
const (
	maxRecordBytes  = 262144
	maxRequestBytes = 2097152
	maxReadBytes    = 1 << 20
	maxPageItems    = 500
	maxPageBytes    = 1 << 20
	maxReadWait     = 30 * time.Second
	appendTime      = 2 * time.Millisecond
	answerTime      = 2 * time.Millisecond
	lengthBytes     = 4
	keptResponses   = 5
)

// store is the platform's store: a log whose partitions number their records from 0. It keeps all records.
type store struct {
	rec *record

	mu         sync.Mutex
	partitions map[string]*partition
	// changed is closed and replaced when records are appended.
	changed chan struct{}
}

// partition is a partition of a topic. Its appends take turns.
type partition struct {
	turn      sync.Mutex
	records   []storedRecord
	newest    map[string]int
	producers map[string]*producer
}

type storedRecord struct{ key, raw, value string }

// producer is what a partition knows about a writer that numbers its appends.
type producer struct {
	epoch, last int64
	begun       bool
	responses   map[int64]map[string]any
}

func newStore(rec *record) *store {
	return &store{rec: rec, partitions: map[string]*partition{}, changed: make(chan struct{})}
}

// partitionOf returns a partition and creates it on its first use. The lock must be held.
func (s *store) partitionOf(topic, part string) *partition {
	name := topic + "/" + part
	p := s.partitions[name]
	if p == nil {
		p = &partition{newest: map[string]int{}, producers: map[string]*producer{}}
		s.partitions[name] = p
	}
	return p
}

// put appends a record of the operator or of a worker. An empty value deletes the key.
func (s *store) put(topic, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.partitionOf(topic, "0").add(string([]byte{byte(len(key))}) + key + string(value))
	s.notify()
}

// add appends a record: the length of the key in one byte, the key and the value.
func (p *partition) add(raw string) {
	r := storedRecord{raw: raw}
	if len(raw) > 0 && int(raw[0]) < len(raw) {
		r.key, r.value = raw[1:1+int(raw[0])], raw[1+int(raw[0]):]
	}
	p.records = append(p.records, r)
	if r.value == "" {
		delete(p.newest, r.key)
		return
	}
	p.newest[r.key] = len(p.records) - 1
}

// notify wakes the reads that wait. The lock must be held.
func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	switch r.URL.Path {
	case "/api/log-append":
		s.serveAppend(w, r, query)
	case "/api/log-read":
		s.serveRead(w, r, query)
	case "/api/log-newest":
		s.serveNewest(w, query)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// numberOf returns a query parameter, or the fallback if it is absent.
func numberOf(query url.Values, name string, fallback int64) int64 {
	n, err := strconv.ParseInt(query.Get(name), 10, 64)
	if err != nil {
		return fallback
	}
	return n
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data)
}

// splitRecords splits the body of an append, or returns false if it exceeds a limit.
func splitRecords(body []byte) ([]string, bool) {
	if len(body) > maxRequestBytes {
		return nil, false
	}
	var records []string
	for len(body) > 0 {
		if len(body) < lengthBytes {
			return nil, false
		}
		size := int(binary.BigEndian.Uint32(body))
		if size > maxRecordBytes || size > len(body)-lengthBytes {
			return nil, false
		}
		records = append(records, string(body[lengthBytes:lengthBytes+size]))
		body = body[lengthBytes+size:]
	}
	return records, true
}

func (s *store) serveAppend(w http.ResponseWriter, r *http.Request, query url.Values) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	topic, part := query.Get("topic"), query.Get("part")
	if topic == "keyed.op" || topic == "keyed.servers" {
		w.WriteHeader(http.StatusForbidden)
		return
	}
	records, ok := splitRecords(body)
	if !ok {
		s.rec.add("store: append of %d bytes to %s/%s refused: a record exceeds %d bytes", len(body), topic, part, maxRecordBytes)
		writeJSON(w, http.StatusBadRequest, map[string]string{"reason": "size"})
		return
	}
	s.mu.Lock()
	p := s.partitionOf(topic, part)
	s.mu.Unlock()
	p.turn.Lock()
	time.Sleep(appendTime)
	s.mu.Lock()
	status, response := p.append(query, records)
	if status == http.StatusOK {
		s.notify()
	}
	s.mu.Unlock()
	p.turn.Unlock()
	time.Sleep(answerTime)
	writeJSON(w, status, response)
}

// append carries out an append and returns the status and the body of the response.
func (p *partition) append(query url.Values, records []string) (int, map[string]any) {
	end := int64(len(p.records))
	if query.Has("at") && numberOf(query, "at", -1) != end {
		return http.StatusPreconditionFailed, map[string]any{"end_offset": end}
	}
	var writer *producer
	sequence := numberOf(query, "sequence", 0)
	if name := query.Get("producer"); name != "" {
		epoch := numberOf(query, "epoch", 0)
		writer = p.producers[name]
		if writer == nil || epoch > writer.epoch {
			writer = &producer{epoch: epoch, responses: map[int64]map[string]any{}}
			p.producers[name] = writer
		}
		if epoch < writer.epoch {
			return http.StatusConflict, map[string]any{"reason": "fenced"}
		}
		if len(records) > 0 {
			if response, ok := writer.responses[sequence]; ok {
				return http.StatusOK, response
			}
			if writer.begun && sequence != writer.last+1 {
				return http.StatusConflict, map[string]any{"reason": "seq", "sequence": writer.last + 1}
			}
		}
	}
	for _, r := range records {
		p.add(r)
	}
	response := map[string]any{"offset": end, "end_offset": int64(len(p.records))}
	if writer != nil && len(records) > 0 {
		writer.begun, writer.last = true, sequence
		writer.responses[sequence] = response
		delete(writer.responses, sequence-keptResponses)
	}
	return http.StatusOK, response
}

func (s *store) serveRead(w http.ResponseWriter, r *http.Request, query url.Values) {
	from := int(numberOf(query, "from", 0))
	limit := int(numberOf(query, "max_kb", maxReadBytes>>10)) << 10
	deadline := time.Now().Add(min(time.Duration(numberOf(query, "wait_ms", 0))*time.Millisecond, maxReadWait))
	for {
		s.mu.Lock()
		p := s.partitionOf(query.Get("topic"), query.Get("part"))
		end, changed := len(p.records), s.changed
		if from < end || !time.Now().Before(deadline) {
			body := binary.BigEndian.AppendUint64(nil, uint64(end))
			body = binary.BigEndian.AppendUint64(body, 0)
			for i := from; i < end && len(body) < limit; i++ {
				body = binary.BigEndian.AppendUint32(body, uint32(len(p.records[i].raw)))
				body = append(body, p.records[i].raw...)
			}
			s.mu.Unlock()
			time.Sleep(answerTime)
			_, _ = w.Write(body)
			return
		}
		s.mu.Unlock()
		select {
		case <-changed:
		case <-time.After(time.Until(deadline)):
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) serveNewest(w http.ResponseWriter, query url.Values) {
	time.Sleep(2 * answerTime)
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.partitionOf(query.Get("topic"), query.Get("part"))
	var keys []string
	for key := range p.newest {
		if key > query.Get("after") {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	items, size := []map[string]any{}, 0
	for _, key := range keys {
		if len(items) >= maxPageItems || size >= maxPageBytes {
			break
		}
		value := p.records[p.newest[key]].value
		size += len(value)
		items = append(items, map[string]any{"key": key, "value": base64.StdEncoding.EncodeToString([]byte(value)), "offset": p.newest[key]})
	}
	writeJSON(w, http.StatusOK, map[string]any{"items": items, "has_more": len(items) < len(keys), "end_offset": len(p.records)})
}

// ownerAddress returns the address of the process whose claim on the ownership is the newest, as the program stores it.
// A case uses it to choose the process that it disturbs, and judges nothing by it.
func (s *store) ownerAddress() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.partitionOf("keyed.owner", "0")
	i, ok := p.newest["owner"]
	if !ok {
		return ""
	}
	address, _, _ := strings.Cut(p.records[i].value, "/")
	return address
}
