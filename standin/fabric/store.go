// Package fabric emulates the users' platform with its published protocol: the store, the fleet service, workers
// and machines. Tests run real entries of "hibiscuslane run" against it. The emulated platform also checks
// invariants that an outside observer can see, for example that workers are not overcommitted, that a task has
// at most one run at a time, and that no run of a task starts after the completion of the task was acknowledged.
// ExpectJob and MinHandoverInterval turn on further checks. Start with Platform.
// Package emulator emulates the platform of "hibiscuslane serve".
package fabric

import (
	"encoding/base64"
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// Faults are the faults of the store that tests can switch on.
type Faults struct {
	// Unavailable answers every call with 503.
	Unavailable bool
	// UnavailablePartitions names partitions, as TOPIC/NUMBER, for which every call is answered with 503.
	UnavailablePartitions []string
	// LostResponses is the number of upcoming appends that take effect but get no response.
	LostResponses int
}

// Store emulates the partitioned log of the platform.
type Store struct {
	mu         sync.Mutex
	partitions map[string]*partition
	faults     Faults
	changed    chan struct{} // closed and replaced when records are appended
	appended   int64         // bytes of appended records
}

type record struct {
	key, value string
	raw        []byte // as appended: the length of the key in one byte, the key and the value
}

type partition struct {
	firstOffset   int64 // reads below this offset are refused
	records       []record
	newestOffsets map[string]int64 // offset of the newest record by key; deleted keys are absent
	producers     map[string]*producer
}

type producer struct {
	epoch, lastSequence int64
	hasSequence         bool
	recentResponses     map[int64][]byte // by sequence number
}

// maxRecentResponses is the number of responses kept for each producer, to answer repeated appends.
const maxRecentResponses = 5

// AppendedBytes returns the size of all records that were appended.
func (s *Store) AppendedBytes() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.appended
}

// SetFaults replaces the active faults.
func (s *Store) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// partition returns a partition, which it creates if it is absent. The caller must hold mu.
func (s *Store) partition(topic, number string) *partition {
	if s.partitions == nil {
		s.partitions = map[string]*partition{}
		s.changed = make(chan struct{})
	}
	p := s.partitions[topic+"/"+number]
	if p == nil {
		p = &partition{newestOffsets: map[string]int64{}, producers: map[string]*producer{}}
		s.partitions[topic+"/"+number] = p
	}
	return p
}

// Put appends a record to partition 0 of a topic, as the operator and the workers do. An empty value deletes the key.
func (s *Store) Put(topic, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	body := append([]byte{byte(len(key))}, key...)
	s.partition(topic, "0").appendRecord(append(body, value...))
	s.notifyReaders()
}

// Compact removes the records of a topic from reads by offset. Value and the list of newest records are unaffected.
func (s *Store) Compact(topic string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.partition(topic, "0")
	p.firstOffset = int64(len(p.records))
}

// Value returns the newest value of a key, or an empty string if there is none.
func (s *Store) Value(topic, key string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.partition(topic, "0")
	offset, ok := p.newestOffsets[key]
	if !ok {
		return ""
	}
	return p.records[offset].value
}

// appendRecord appends a record, which is the length of the key in one byte, the key and the value. An empty value
// deletes the key.
func (p *partition) appendRecord(raw []byte) {
	r := record{raw: raw}
	if len(raw) > 0 && int(raw[0]) < len(raw) {
		valueStart := 1 + int(raw[0])
		r.key, r.value = string(raw[1:valueStart]), string(raw[valueStart:])
	}
	p.records = append(p.records, r)
	if r.value == "" {
		delete(p.newestOffsets, r.key)
		return
	}
	p.newestOffsets[r.key] = int64(len(p.records) - 1)
}

// notifyReaders wakes the reads that wait for records. The caller must hold mu.
func (s *Store) notifyReaders() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	query := r.URL.Query()
	unavailable := s.faults.Unavailable || slices.Contains(s.faults.UnavailablePartitions, query.Get("topic")+"/"+query.Get("part"))
	s.mu.Unlock()
	if unavailable {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	switch r.URL.Path {
	case "/api/log-append":
		s.serveAppend(w, r)
	case "/api/log-read":
		s.serveRead(w, r)
	case "/api/log-newest":
		s.serveNewest(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// queryInt returns the value of a query parameter, or 0 if it is absent or malformed.
func queryInt(r *http.Request, name string) int64 {
	n, err := strconv.ParseInt(r.URL.Query().Get(name), 10, 64)
	if err != nil {
		return 0
	}
	return n
}

// writeJSON sends a JSON response and returns its encoded body.
func writeJSON(w http.ResponseWriter, status int, body any) []byte {
	data, err := json.Marshal(body)
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return nil
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data) // the client may have disconnected
	return data
}

func (s *Store) serveAppend(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	query := r.URL.Query()
	p := s.partition(query.Get("topic"), query.Get("part"))
	end := int64(len(p.records))
	if query.Has("at") && queryInt(r, "at") != end {
		writeJSON(w, http.StatusPreconditionFailed, map[string]int64{"end_offset": end})
		return
	}
	var writer *producer
	if name := query.Get("producer"); name != "" {
		var answered bool
		if writer, answered = p.checkProducer(w, r, name, len(body) > 0); answered {
			return
		}
	}
	s.appended += int64(len(body))
	for len(body) >= 4 {
		size := binary.BigEndian.Uint32(body)
		p.appendRecord(slices.Clone(body[4 : 4+size]))
		body = body[4+size:]
	}
	s.notifyReaders()
	if s.faults.LostResponses > 0 {
		s.faults.LostResponses--
		// If the append is repeated, it is answered with status 200 and an empty body.
		writer.keepResponse(queryInt(r, "sequence"), nil)
		panic(http.ErrAbortHandler)
	}
	response := writeJSON(w, http.StatusOK, map[string]int64{"offset": end, "end_offset": int64(len(p.records))})
	writer.keepResponse(queryInt(r, "sequence"), response)
}

// checkProducer checks the epoch and the sequence number of a producer. It returns true if the append has been
// answered: refused, or repeated with a sequence number whose response is kept. For an append without records it
// sets only the epoch and returns no producer.
func (p *partition) checkProducer(w http.ResponseWriter, r *http.Request, name string, hasRecords bool) (*producer, bool) {
	epoch, sequence := queryInt(r, "epoch"), queryInt(r, "sequence")
	writer := p.producers[name]
	if writer == nil {
		writer = &producer{epoch: -1}
		p.producers[name] = writer
	}
	if epoch < writer.epoch {
		writeJSON(w, http.StatusConflict, map[string]any{"reason": "fenced"})
		return nil, true
	}
	if epoch > writer.epoch {
		*writer = producer{epoch: epoch, recentResponses: map[int64][]byte{}}
	}
	if !hasRecords {
		return nil, false
	}
	if response, ok := writer.recentResponses[sequence]; ok {
		_, _ = w.Write(response) // the client may have disconnected
		return nil, true
	}
	if writer.hasSequence && sequence != writer.lastSequence+1 {
		writeJSON(w, http.StatusConflict, map[string]any{"reason": "seq", "sequence": writer.lastSequence + 1})
		return nil, true
	}
	writer.hasSequence, writer.lastSequence = true, sequence
	return writer, false
}

// keepResponse keeps the response to an append. It has no effect on a nil producer.
func (p *producer) keepResponse(sequence int64, response []byte) {
	if p == nil {
		return
	}
	p.recentResponses[sequence] = response
	delete(p.recentResponses, sequence-maxRecentResponses)
}

func (s *Store) serveRead(w http.ResponseWriter, r *http.Request) {
	deadline := time.Now().Add(time.Duration(queryInt(r, "wait_ms")) * time.Millisecond)
	from := queryInt(r, "from")
	for {
		s.mu.Lock()
		p := s.partition(r.URL.Query().Get("topic"), r.URL.Query().Get("part"))
		end, first, change := int64(len(p.records)), p.firstOffset, s.changed
		if from < first {
			s.mu.Unlock()
			writeJSON(w, http.StatusGone, map[string]int64{"first": first})
			return
		}
		if from < end || time.Now().After(deadline) {
			body := binary.BigEndian.AppendUint64(nil, uint64(end))
			body = binary.BigEndian.AppendUint64(body, uint64(first))
			for _, rec := range p.records[min(from, end):] {
				body = binary.BigEndian.AppendUint32(body, uint32(len(rec.raw)))
				body = append(body, rec.raw...)
			}
			s.mu.Unlock()
			_, _ = w.Write(body) // the client may have disconnected
			return
		}
		s.mu.Unlock()
		select {
		case <-change:
		case <-time.After(time.Until(deadline)):
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Store) serveNewest(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.partition(r.URL.Query().Get("topic"), r.URL.Query().Get("part"))
	items := []map[string]any{}
	for key, offset := range p.newestOffsets {
		items = append(items, map[string]any{
			"key": key, "value": base64.StdEncoding.EncodeToString([]byte(p.records[offset].value)), "offset": offset,
		})
	}
	writeJSON(w, http.StatusOK, map[string]any{"items": items, "has_more": false, "end_offset": len(p.records)})
}
