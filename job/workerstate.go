package job

import (
	"maps"
	"sync"
	"time"

	"hibiscuslane.example/hibiscuslane/instance"
	"hibiscuslane.example/hibiscuslane/upstream"
)

// workerStates holds what this entry knows about each worker in addition to the log. Each worker has its
// own lock.
type workerStates struct {
	mu   sync.Mutex
	byID map[instance.ID]*workerState
}

// workerState holds what this entry knows about one worker.
type workerState struct {
	mu sync.Mutex
	// busy is set while a goroutine serves the worker.
	busy bool
	// ownedSince is the time since which this entry has had the lowest rank for the worker, or zero if
	// another entry has it.
	ownedSince time.Time
	// lastPoll is the time of the last poll, lastContact of the last answered poll, and lastRenewal of
	// the last renewal of leases.
	lastPoll, lastContact, lastRenewal time.Time
	// unreachable is set if the last poll failed.
	unreachable bool
	// reports holds the latest report of each task, with the highest usage reported so far.
	reports map[ID]upstream.TaskStatus
	// firstSeen holds when this entry first saw each attempt in its state.
	firstSeen map[AttemptID]time.Time
	// starts holds the calls to start each attempt and their results.
	starts map[AttemptID]startCalls
	// evictions holds the result of the latest eviction requested for each attempt.
	evictions map[AttemptID]timedEviction
}

// evictionTimeout is the time after which an accepted checkpoint or stop is requested again if the attempt
// has not ended.
const evictionTimeout = 5 * time.Second

// timedEviction is the result of an eviction with the time of the last request.
type timedEviction struct {
	EvictionResult
	requestedAt time.Time
}

// startCalls summarises the calls to start an attempt.
type startCalls struct {
	firstCall time.Time
	// refusal is the last refusal of the worker. It is empty if the last call was accepted or has an
	// unknown outcome.
	refusal upstream.Refusal
}

// get returns the state of a worker and creates it if needed.
func (s *workerStates) get(id instance.ID) *workerState {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.byID == nil {
		s.byID = map[instance.ID]*workerState{}
	}
	w, ok := s.byID[id]
	if !ok {
		w = &workerState{reports: map[ID]upstream.TaskStatus{}, firstSeen: map[AttemptID]time.Time{}, starts: map[AttemptID]startCalls{}, evictions: map[AttemptID]timedEviction{}}
		s.byID[id] = w
	}
	return w
}

// addPossiblyRunning adds the workers that may still run tasks. They are served even without active
// jobs, because the tasks of cancelled jobs have to be stopped.
func (s *workerStates) addPossiblyRunning(ids map[instance.ID]bool) {
	s.mu.Lock()
	all := maps.Clone(s.byID)
	s.mu.Unlock()
	for id, w := range all {
		if w.mayRunTasks() {
			ids[id] = true
		}
	}
}

// mayRunTasks reports whether the worker may still run a task or a goroutine serves it. The state must be kept
// in the second case too, because a new state would let a second goroutine serve the worker.
func (w *workerState) mayRunTasks() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, report := range w.reports {
		if report.State == upstream.TaskRunning {
			return true
		}
	}
	return w.busy || len(w.starts) > 0
}

// retain deletes the states of all workers that are not in the set.
func (s *workerStates) retain(ids map[instance.ID]bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id := range s.byID {
		if !ids[id] {
			delete(s.byID, id)
		}
	}
}

// reportsOf returns the latest reports of the given jobs. It adds their evictions to evictions, except those
// that have timed out, and forgets all others.
func (s *workerStates) reportsOf(id instance.ID, now time.Time, jobs []Job, evictions map[AttemptID]EvictionResult) map[ID]upstream.TaskStatus {
	w := s.get(id)
	w.mu.Lock()
	defer w.mu.Unlock()
	reports := make(map[ID]upstream.TaskStatus, len(jobs))
	kept := make(map[AttemptID]timedEviction, len(w.evictions))
	for _, j := range jobs {
		if report, ok := w.reports[j.ID]; ok {
			reports[j.ID] = report
		}
		if e, ok := w.evictions[j.attemptID()]; ok && (e.Method == EvictByThrottle || e.Refused || now.Sub(e.requestedAt) < evictionTimeout) {
			evictions[j.attemptID()] = e.EvictionResult
			kept[j.attemptID()] = e
		}
	}
	w.evictions = kept
	return reports
}

// tryAcquire acquires the worker for one goroutine and notes whether this entry owns it. It returns
// false if the worker is not owned, is busy, or needs no calls yet. hasUnstarted is set if an attempt has to be
// started, which does not wait for the next poll.
func (w *workerState) tryAcquire(now time.Time, isOwner bool, hasUnstarted bool) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !isOwner {
		// Another entry serves the worker now, so the reports and calls seen here become outdated.
		w.ownedSince = time.Time{}
		w.reports = map[ID]upstream.TaskStatus{}
		w.starts = map[AttemptID]startCalls{}
		return false
	}
	if w.ownedSince.IsZero() {
		w.ownedSince = now
		w.lastPoll, w.lastRenewal = time.Time{}, time.Time{}
	}
	if w.busy || (!hasUnstarted && now.Sub(w.lastPoll) < pollPeriod) {
		return false
	}
	w.busy = true
	return true
}

func (w *workerState) release() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.busy = false
}

// trackAttempts notes when the given attempts were first seen, and forgets all others with their start calls.
func (w *workerState) trackAttempts(now time.Time, jobs []Job) {
	w.mu.Lock()
	defer w.mu.Unlock()
	current := make(map[AttemptID]time.Time, len(jobs))
	for _, j := range jobs {
		seen, ok := w.firstSeen[j.attemptID()]
		if !ok {
			seen = now
		}
		current[j.attemptID()] = seen
	}
	w.firstSeen = current
	for a := range w.starts {
		if _, ok := current[a]; !ok {
			delete(w.starts, a)
		}
	}
}

// clearReports deletes the reports of a worker that has left the fleet.
func (w *workerState) clearReports() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.reports = map[ID]upstream.TaskStatus{}
}

// hasUnstartedAttempt reports whether a placed attempt has not been sent to the worker yet.
func (w *workerState) hasUnstartedAttempt(jobs []Job) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, j := range jobs {
		if _, called := w.starts[j.attemptID()]; j.Status == StatusPlaced && !called {
			return true
		}
	}
	return false
}

func (w *workerState) startCalls(a AttemptID) (startCalls, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	s, ok := w.starts[a]
	return s, ok
}

// recordStartCall records the result of a call to start an attempt.
func (w *workerState) recordStartCall(a AttemptID, now time.Time, refusal upstream.Refusal) {
	w.mu.Lock()
	defer w.mu.Unlock()
	s, ok := w.starts[a]
	if !ok {
		s.firstCall = now
	}
	s.refusal = refusal
	w.starts[a] = s
}

func (w *workerState) recordEviction(a AttemptID, now time.Time, e EvictionResult) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.evictions[a] = timedEviction{EvictionResult: e, requestedAt: now}
}
