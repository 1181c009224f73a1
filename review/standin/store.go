package main

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// storeDelay is how long the store takes for an answer (SYSTEM.md: 4 ms).
	storeDelay = 4 * time.Millisecond
	// maxRecordBytes and maxRequestBytes are record_bytes and request_bytes of the settings.
	maxRecordBytes  = 262144
	maxRequestBytes = 2097152
	// keptResponses is the number of appends of a producer whose repeats get the first response again.
	keptResponses = 5
	lengthBytes   = 4
)

// store is the platform's metadata store in the form of a log.
type store struct {
	mu         sync.Mutex
	partitions map[string]*partition
	changed    chan struct{} // closed and replaced when records are appended
	// onClaim is called with the number of the entry that appended under a condition.
	onClaim func(entry int)
	// latest holds by topic the partition of the latest append with records.
	latest map[string]string
	// disturb decides on the fate of an append; nil while the store is sound. It is called without mu.
	disturb func(a appendCall) fate
}

// appendCall describes an append to a partition.
type appendCall struct {
	topic, part string
	records     int
	conditional bool
}

// fate is what becomes of an append.
type fate string

// Fates of an append.
const (
	fateSound   fate = ""
	fateRefused fate = "refused" // 503, nothing was done
	fateLost    fate = "lost"    // done and not answered
)

// setDisturbance replaces disturb.
func (s *store) setDisturbance(disturb func(a appendCall) fate) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.disturb = disturb
}

type partition struct {
	records   [][]byte
	newest    map[string]int // offset by key
	producers map[string]*producer
}

type producer struct {
	epoch, sequence int64
	hasSequence     bool
	responses       map[int64][]byte
}

func newStore() *store {
	return &store{partitions: map[string]*partition{}, changed: make(chan struct{}), latest: map[string]string{}}
}

// partition returns a partition and creates it if it is absent. The caller holds mu.
func (s *store) partition(topic, part string) *partition {
	p := s.partitions[topic+"/"+part]
	if p == nil {
		p = &partition{newest: map[string]int{}, producers: map[string]*producer{}}
		s.partitions[topic+"/"+part] = p
	}
	return p
}

// put appends a record as the operator or an executor does. An empty value drops the key.
func (s *store) put(topic, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	raw := append([]byte{byte(len(key))}, key...)
	s.partition(topic, "0").add(append(raw, value...))
	s.notify()
}

func (p *partition) add(raw []byte) {
	p.records = append(p.records, raw)
	if len(raw) == 0 || int(raw[0]) >= len(raw) {
		if len(raw) > 0 && int(raw[0]) == len(raw)-1 {
			delete(p.newest, string(raw[1:]))
		}
		return
	}
	p.newest[string(raw[1:1+int(raw[0])])] = len(p.records) - 1
}

func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// handler serves the store to one entry.
func (s *store) handler(entry int) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(storeDelay)
		switch r.URL.Path {
		case "/api/log-append":
			s.serveAppend(w, r, entry)
		case "/api/log-read":
			s.serveRead(w, r)
		case "/api/log-newest":
			s.serveNewest(w, r)
		case "/api/log-trim":
			reply(w, http.StatusOK, map[string]any{})
		default:
			w.WriteHeader(http.StatusNotFound)
		}
	})
}

func reply(w http.ResponseWriter, status int, body any) []byte {
	data, err := json.Marshal(body)
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return nil
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data) // the caller may be gone
	return data
}

func number(r *http.Request, name string) int64 {
	n, _ := strconv.ParseInt(r.URL.Query().Get(name), 10, 64) // absent means 0
	return n
}

// splitRecords parses the body of an append. It returns false if the body is malformed or too large.
func splitRecords(body []byte) ([][]byte, bool) {
	if len(body) > maxRequestBytes {
		return nil, false
	}
	var records [][]byte
	for len(body) > 0 {
		if len(body) < lengthBytes {
			return nil, false
		}
		size := int(binary.BigEndian.Uint32(body))
		if size > maxRecordBytes || size > len(body)-lengthBytes {
			return nil, false
		}
		records = append(records, body[lengthBytes:lengthBytes+size])
		body = body[lengthBytes+size:]
	}
	return records, true
}

func (s *store) serveAppend(w http.ResponseWriter, r *http.Request, entry int) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	topic := r.URL.Query().Get("topic")
	records, ok := splitRecords(body)
	if !ok {
		reply(w, http.StatusBadRequest, map[string]any{})
		return
	}
	if topic == "keyed.op" || topic == "keyed.servers" {
		reply(w, http.StatusForbidden, map[string]any{})
		return
	}
	end := fateSound
	s.mu.Lock()
	disturb := s.disturb
	s.mu.Unlock()
	if disturb != nil {
		end = disturb(appendCall{topic: topic, part: r.URL.Query().Get("part"), records: len(records), conditional: r.URL.Query().Has("at")})
	}
	switch end {
	case fateRefused:
		reply(w, http.StatusServiceUnavailable, map[string]any{})
	case fateLost:
		s.append(silentWriter{header: http.Header{}}, r, entry, records)
		<-r.Context().Done() // the connection returns nothing further
	default:
		s.append(w, r, entry, records)
	}
}

// silentWriter drops a response.
type silentWriter struct{ header http.Header }

// Header implements http.ResponseWriter.
func (s silentWriter) Header() http.Header { return s.header }

// Write implements http.ResponseWriter.
func (s silentWriter) Write(data []byte) (int, error) { return len(data), nil }

// WriteHeader implements http.ResponseWriter.
func (s silentWriter) WriteHeader(int) {}

// append carries out an append and answers it.
func (s *store) append(w http.ResponseWriter, r *http.Request, entry int, records [][]byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.partition(r.URL.Query().Get("topic"), r.URL.Query().Get("part"))
	end := len(p.records)
	if r.URL.Query().Has("at") && number(r, "at") != int64(end) {
		reply(w, http.StatusPreconditionFailed, map[string]any{"end_offset": end})
		return
	}
	var writer *producer
	if name := r.URL.Query().Get("producer"); name != "" {
		var ok bool
		if writer, ok = p.admit(w, r, name, len(records) > 0); !ok {
			return
		}
	}
	for _, raw := range records {
		p.add(raw)
		s.latest[r.URL.Query().Get("topic")] = r.URL.Query().Get("part")
	}
	if r.URL.Query().Has("at") && s.onClaim != nil {
		s.onClaim(entry)
	}
	s.notify()
	response := reply(w, http.StatusOK, map[string]any{"offset": end, "end_offset": len(p.records)})
	if writer != nil {
		writer.responses[writer.sequence] = response
		delete(writer.responses, writer.sequence-keptResponses)
	}
}

// admit checks the epoch and the sequence number of a producer. It returns false if the append was answered.
func (p *partition) admit(w http.ResponseWriter, r *http.Request, name string, hasRecords bool) (*producer, bool) {
	epoch, sequence := number(r, "epoch"), number(r, "sequence")
	writer := p.producers[name]
	if writer == nil || epoch > writer.epoch {
		writer = &producer{epoch: epoch, responses: map[int64][]byte{}}
		p.producers[name] = writer
	}
	if epoch < writer.epoch {
		reply(w, http.StatusConflict, map[string]any{"reason": "fenced"})
		return nil, false
	}
	if !hasRecords {
		return nil, true
	}
	if response, ok := writer.responses[sequence]; ok {
		w.Header().Set("Content-Type", "application/json")
		_, _ = w.Write(response) // the caller may be gone
		return nil, false
	}
	if writer.hasSequence && sequence != writer.sequence+1 {
		reply(w, http.StatusConflict, map[string]any{"reason": "seq", "sequence": writer.sequence + 1})
		return nil, false
	}
	writer.hasSequence, writer.sequence = true, sequence
	return writer, true
}

func (s *store) serveRead(w http.ResponseWriter, r *http.Request) {
	deadline := time.Now().Add(time.Duration(number(r, "wait_ms")) * time.Millisecond)
	from := int(number(r, "from"))
	for {
		s.mu.Lock()
		p := s.partition(r.URL.Query().Get("topic"), r.URL.Query().Get("part"))
		end, changed := len(p.records), s.changed
		if from < end || !time.Now().Before(deadline) {
			body := binary.BigEndian.AppendUint64(nil, uint64(end))
			body = binary.BigEndian.AppendUint64(body, 0)
			for _, raw := range p.records[min(from, end):] {
				body = binary.BigEndian.AppendUint32(body, uint32(len(raw)))
				body = append(body, raw...)
			}
			s.mu.Unlock()
			_, _ = w.Write(body) // the caller may be gone
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

func (s *store) serveNewest(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.partition(r.URL.Query().Get("topic"), r.URL.Query().Get("part"))
	items := []map[string]any{}
	for key, offset := range p.newest {
		value := strings.TrimPrefix(string(p.records[offset][1:]), key)
		items = append(items, map[string]any{"key": key, "value": base64.StdEncoding.EncodeToString([]byte(value)), "offset": offset})
	}
	reply(w, http.StatusOK, map[string]any{"items": items, "has_more": false, "end_offset": len(p.records)})
}

// busiest returns the partition of a topic with the latest append.
func (s *store) busiest(topic string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	part := s.latest[topic]
	if part == "" {
		part = "0"
	}
	return part
}
