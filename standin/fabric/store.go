// Package fabric emulates the users' platform at its published protocol: the store, workers, machines and
// callers. Tests and the demo run real entries against it. It checks from outside what must always hold:
// the capacity of workers, one run of a task at a time, no run after its end.
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

// Faults of the store.
type Faults struct {
	// Unavailable refuses every call with 503.
	Unavailable bool
	// UnavailablePartitions are partitions, named by topic and number, for which every call is refused with 503.
	UnavailablePartitions []string
	// LostResponses carries the next appends out and gives no answer.
	LostResponses int
}

// Store emulates the log of the platform.
type Store struct {
	mu     sync.Mutex
	parts  map[string]*partition
	faults Faults
	change chan struct{}
}

type record struct {
	key, value string
	raw        []byte
}

type partition struct {
	first     int64
	records   []record
	newest    map[string]int64
	producers map[string]*producer
}

type producer struct {
	epoch, sequence int64
	started         bool
	recent          map[int64][]byte
}

// recentAppends is the number of appends of a producer whose answers are kept.
const recentAppends = 5

// SetFaults replaces the faults in force.
func (s *Store) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

func (s *Store) part(topic, part string) *partition {
	if s.parts == nil {
		s.parts = map[string]*partition{}
		s.change = make(chan struct{})
	}
	p := s.parts[topic+"/"+part]
	if p == nil {
		p = &partition{newest: map[string]int64{}, producers: map[string]*producer{}}
		s.parts[topic+"/"+part] = p
	}
	return p
}

// Put writes a record of the operator or of a worker. A nil value drops the key.
func (s *Store) Put(topic, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	body := append([]byte{byte(len(key))}, key...)
	s.part(topic, "0").add(append(body, value...))
	s.changed()
}

// Compact drops the history of a topic; the newest record of each key stays.
func (s *Store) Compact(topic string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.part(topic, "0")
	p.first = int64(len(p.records))
}

// Value returns the newest value of a key.
func (s *Store) Value(topic, key string) string {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.part(topic, "0")
	at, ok := p.newest[key]
	if !ok {
		return ""
	}
	return p.records[at].value
}

func (p *partition) add(raw []byte) {
	r := record{raw: raw}
	if len(raw) > 0 && int(raw[0]) < len(raw) {
		r.key = string(raw[1 : 1+raw[0]])
		r.value = string(raw[1+raw[0]:])
	}
	p.records = append(p.records, r)
	if r.value == "" {
		delete(p.newest, r.key)
		return
	}
	p.newest[r.key] = int64(len(p.records) - 1)
}

func (s *Store) changed() {
	close(s.change)
	s.change = make(chan struct{})
}

// ServeHTTP implements http.Handler.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	query := r.URL.Query()
	busy := s.faults.Unavailable || slices.Contains(s.faults.UnavailablePartitions, query.Get("topic")+"/"+query.Get("part"))
	s.mu.Unlock()
	if busy {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	switch r.URL.Path {
	case "/api/log-append":
		s.append(w, r)
	case "/api/log-read":
		s.read(w, r)
	case "/api/log-newest":
		s.list(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func number(r *http.Request, name string) int64 {
	n, err := strconv.ParseInt(r.URL.Query().Get(name), 10, 64)
	if err != nil {
		return 0
	}
	return n
}

func reply(w http.ResponseWriter, status int, body any) []byte {
	data, err := json.Marshal(body)
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return nil
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(data) // a caller that left needs no answer
	return data
}

func (s *Store) append(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	query := r.URL.Query()
	p := s.part(query.Get("topic"), query.Get("part"))
	end := int64(len(p.records))
	if query.Has("at") && number(r, "at") != end {
		reply(w, http.StatusPreconditionFailed, map[string]int64{"end_offset": end})
		return
	}
	var by *producer
	if name := query.Get("producer"); name != "" {
		var refused bool
		if by, refused = p.admit(w, r, name, len(body) > 0); refused {
			return
		}
	}
	for len(body) >= 4 {
		size := binary.BigEndian.Uint32(body)
		p.add(slices.Clone(body[4 : 4+size]))
		body = body[4+size:]
	}
	s.changed()
	if s.faults.LostResponses > 0 {
		s.faults.LostResponses--
		by.keep(number(r, "sequence"), nil)
		panic(http.ErrAbortHandler)
	}
	answer := reply(w, http.StatusOK, map[string]int64{"offset": end, "end_offset": int64(len(p.records))})
	by.keep(number(r, "sequence"), answer)
}

// admit checks epoch and sequence of a producer. It reports whether the append has been answered.
func (p *partition) admit(w http.ResponseWriter, r *http.Request, name string, records bool) (*producer, bool) {
	epoch, sequence := number(r, "epoch"), number(r, "sequence")
	by := p.producers[name]
	if by == nil {
		by = &producer{epoch: -1}
		p.producers[name] = by
	}
	if epoch < by.epoch {
		reply(w, http.StatusConflict, map[string]any{"reason": "fenced"})
		return nil, true
	}
	if epoch > by.epoch {
		*by = producer{epoch: epoch, recent: map[int64][]byte{}}
	}
	if !records {
		return nil, false
	}
	if answer, ok := by.recent[sequence]; ok {
		_, _ = w.Write(answer) // a caller that left needs no answer
		return nil, true
	}
	if by.started && sequence != by.sequence+1 {
		reply(w, http.StatusConflict, map[string]any{"reason": "seq", "sequence": by.sequence + 1})
		return nil, true
	}
	by.started, by.sequence = true, sequence
	return by, false
}

func (by *producer) keep(sequence int64, answer []byte) {
	if by == nil {
		return
	}
	by.recent[sequence] = answer
	delete(by.recent, sequence-recentAppends)
}

func (s *Store) read(w http.ResponseWriter, r *http.Request) {
	deadline := time.Now().Add(time.Duration(number(r, "wait_ms")) * time.Millisecond)
	from := number(r, "from")
	for {
		s.mu.Lock()
		p := s.part(r.URL.Query().Get("topic"), r.URL.Query().Get("part"))
		end, first, change := int64(len(p.records)), p.first, s.change
		if from < first {
			s.mu.Unlock()
			reply(w, http.StatusGone, map[string]int64{"first": first})
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
			_, _ = w.Write(body) // a caller that left needs no answer
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

func (s *Store) list(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.part(r.URL.Query().Get("topic"), r.URL.Query().Get("part"))
	items := []map[string]any{}
	for key, at := range p.newest {
		items = append(items, map[string]any{
			"key": key, "value": base64.StdEncoding.EncodeToString([]byte(p.records[at].value)), "offset": at,
		})
	}
	reply(w, http.StatusOK, map[string]any{"items": items, "has_more": false, "end_offset": len(p.records)})
}
