package job

import (
	"maps"
	"sync"
	"time"

	"hibiscuslane.example/hibiscuslane/instance"
	"hibiscuslane.example/hibiscuslane/upstream"
)

// shards keeps what this entry knows of each worker besides the log. Each worker has its own lock.
type shards struct {
	mu      sync.Mutex
	workers map[instance.ID]*shard
}

// shard is what this entry knows of one worker.
type shard struct {
	mu sync.Mutex
	// busy is set while a goroutine works on the worker.
	busy bool
	// owned is the time since when this entry has the lowest rank, and zero while it has not.
	owned time.Time
	// polled and reached are the times of the last poll and of the last that was answered, renewed that
	// of the last renewal.
	polled, reached, renewed time.Time
	failing                  bool
	// reports holds the last report of each task.
	reports map[ID]upstream.TaskStatus
	// starts holds what became of the calls to start a task.
	starts map[AttemptID]startState
	// evicted holds the evictions that were tried.
	evicted map[AttemptID]triedEviction
}

// evictTimeout is the time after which an accepted eviction whose attempt has not ended is tried again.
const evictTimeout = 5 * time.Second

// triedEviction is an eviction with the time of its last try.
type triedEviction struct {
	EvictionResult
	at time.Time
}

// startState is what became of the calls to start an attempt.
type startState struct {
	first time.Time
	// refused is the word of the last refusal; empty if the last call was accepted or its effect is not
	// known.
	refused upstream.Refusal
}

func (s *shards) get(id instance.ID) *shard {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.workers == nil {
		s.workers = map[instance.ID]*shard{}
	}
	w, ok := s.workers[id]
	if !ok {
		w = &shard{reports: map[ID]upstream.TaskStatus{}, starts: map[AttemptID]startState{}, evicted: map[AttemptID]triedEviction{}}
		s.workers[id] = w
	}
	return w
}

// busy adds the workers that were last seen to run tasks: those of cancelled jobs have to be stopped.
func (s *shards) busy(ids map[instance.ID]bool) {
	s.mu.Lock()
	all := maps.Clone(s.workers)
	s.mu.Unlock()
	for id, w := range all {
		if w.running() {
			ids[id] = true
		}
	}
}

func (w *shard) running() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, report := range w.reports {
		if report.State == upstream.TaskRunning {
			return true
		}
	}
	return w.busy || len(w.starts) > 0
}

// keep forgets the workers that are not in the set.
func (s *shards) keep(ids map[instance.ID]bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id := range s.workers {
		if !ids[id] {
			delete(s.workers, id)
		}
	}
}

// view returns the last reports of the held jobs, and adds their evictions to evicted.
func (s *shards) view(id instance.ID, now time.Time, held []Job, evicted map[AttemptID]EvictionResult) map[ID]upstream.TaskStatus {
	w := s.get(id)
	w.mu.Lock()
	defer w.mu.Unlock()
	reports := make(map[ID]upstream.TaskStatus, len(held))
	kept := make(map[AttemptID]triedEviction, len(w.evicted))
	for _, j := range held {
		if report, ok := w.reports[j.ID]; ok {
			reports[j.ID] = report
		}
		if e, ok := w.evicted[j.attempt()]; ok && (e.Method == EvictByThrottle || e.Refused || now.Sub(e.at) < evictTimeout) {
			evicted[j.attempt()] = e.EvictionResult
			kept[j.attempt()] = e
		}
	}
	w.evicted = kept
	return reports
}

// begin reserves the worker for one goroutine, and records whether this entry owns it. It reports
// whether there is something to do.
func (w *shard) begin(now time.Time, owner bool, fresh bool) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !owner {
		// Another entry acts on the worker, so what was seen of it here goes out of date.
		w.owned = time.Time{}
		w.reports = map[ID]upstream.TaskStatus{}
		w.starts = map[AttemptID]startState{}
		return false
	}
	if w.owned.IsZero() {
		w.owned = now
		w.polled, w.renewed = time.Time{}, time.Time{}
	}
	if w.busy || (!fresh && now.Sub(w.polled) < pollPeriod) {
		return false
	}
	w.busy = true
	return true
}

func (w *shard) end() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.busy = false
}

// forget drops what is kept for attempts that have ended.
func (w *shard) forget(held []Job) {
	current := make(map[AttemptID]bool, len(held))
	for _, j := range held {
		current[j.attempt()] = true
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	for a := range w.starts {
		if !current[a] {
			delete(w.starts, a)
		}
	}
}

// lost drops what was seen of a worker that is no longer in the fleet.
func (w *shard) lost() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.reports = map[ID]upstream.TaskStatus{}
}

// fresh reports whether an attempt waits for its first call.
func (w *shard) fresh(held []Job) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, j := range held {
		if _, tried := w.starts[j.attempt()]; j.Status == StatusPlaced && !tried {
			return true
		}
	}
	return false
}

func (w *shard) started(a AttemptID) (startState, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	s, ok := w.starts[a]
	return s, ok
}

// note records the result of a call to start an attempt.
func (w *shard) note(a AttemptID, now time.Time, refused upstream.Refusal) {
	w.mu.Lock()
	defer w.mu.Unlock()
	s, ok := w.starts[a]
	if !ok {
		s.first = now
	}
	s.refused = refused
	w.starts[a] = s
}

func (w *shard) noteEviction(a AttemptID, now time.Time, e EvictionResult) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.evicted[a] = triedEviction{EvictionResult: e, at: now}
}
