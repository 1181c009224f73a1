package job

import (
	"cmp"
	"encoding/json"
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// stateSnapshot is the canonical form of the state. It is sorted, so that equal states have equal bytes.
type stateSnapshot struct {
	// Jobs holds the jobs in the order of submission.
	Jobs []*Job `json:"jobs"`
	// Ended lists the jobs that have ended, oldest first. One cancel record can end several jobs at the
	// same offset, so the order cannot be derived from the jobs.
	Ended      []ID                `json:"ended"`
	Workers    []*workerHistory    `json:"workers"`
	Classes    []*classHistory     `json:"classes"`
	Quarantine []QuarantinedWorker `json:"quarantine"`
	History    []Change            `json:"history"`
}

// Snapshot implements stream.StateMachine.
func (s *State) Snapshot() ([]byte, error) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return json.Marshal(s.snapshotLocked())
}

func (s *State) snapshotLocked() stateSnapshot {
	snapshot := stateSnapshot{
		Jobs: make([]*Job, 0, len(s.jobs)), Ended: append([]ID{}, s.endedJobs...),
		Workers: []*workerHistory{}, Classes: []*classHistory{}, Quarantine: s.quarantinedWorkersLocked(),
		History: s.history.list(),
	}
	for _, j := range s.jobs {
		snapshot.Jobs = append(snapshot.Jobs, j)
	}
	for _, w := range s.failures.workers {
		snapshot.Workers = append(snapshot.Workers, w)
	}
	for _, c := range s.failures.classes {
		snapshot.Classes = append(snapshot.Classes, c)
	}
	slices.SortFunc(snapshot.Jobs, compareSubmitOffsets)
	slices.SortFunc(snapshot.Workers, func(a, b *workerHistory) int { return cmp.Compare(a.Worker, b.Worker) })
	slices.SortFunc(snapshot.Classes, func(a, b *classHistory) int { return cmp.Compare(a.LastOffset, b.LastOffset) })
	return snapshot
}

func compareSubmitOffsets(a, b *Job) int { return cmp.Compare(a.SubmitOffset, b.SubmitOffset) }

func (s *State) quarantinedWorkersLocked() []QuarantinedWorker {
	list := make([]QuarantinedWorker, 0, len(s.failures.quarantines))
	for _, q := range s.failures.quarantines {
		list = append(list, q)
	}
	slices.SortFunc(list, func(a, b QuarantinedWorker) int { return cmp.Compare(a.Worker, b.Worker) })
	return list
}

// Digest implements stream.StateMachine. It hashes the canonical snapshot and caches the result until the
// next change.
func (s *State) Digest() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.digestValid {
		// Encoding cannot fail, because all strings and all finite numbers can be encoded and the
		// snapshot contains nothing else.
		data, _ := json.Marshal(s.snapshotLocked())
		s.digest = xxhash.Sum64(data)
		s.digestValid = true
	}
	return s.digest
}

// Restore implements stream.StateMachine. It rejects an inconsistent snapshot and then leaves the state
// unchanged.
func (s *State) Restore(data []byte) error {
	var snapshot stateSnapshot
	if err := json.Unmarshal(data, &snapshot); err != nil {
		return &SnapshotError{Reason: "malformed: " + err.Error()}
	}
	var restored State
	restored.initLocked()
	if err := restored.load(snapshot); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.jobs, s.keys, s.endedJobs, s.textBytes = restored.jobs, restored.keys, restored.endedJobs, restored.textBytes
	s.index, s.failures, s.history = restored.index, restored.failures, restored.history
	s.digestValid = false
	s.notifyLocked()
	return nil
}

func (s *State) load(snapshot stateSnapshot) error {
	for i, j := range snapshot.Jobs {
		if err := checkConsistency(j); err != nil {
			return err
		}
		if i > 0 && j.SubmitOffset <= snapshot.Jobs[i-1].SubmitOffset {
			return &SnapshotError{Reason: "jobs are not in the order of their submits"}
		}
		if _, ok := s.jobs[j.ID]; ok {
			return &SnapshotError{Reason: fmt.Sprintf("job %s is listed twice", j.ID)}
		}
		s.addLocked(j)
	}
	if err := s.loadEnded(snapshot.Ended); err != nil {
		return err
	}
	if err := s.loadFailures(snapshot); err != nil {
		return err
	}
	for _, c := range snapshot.History {
		s.history.add(c)
	}
	return nil
}

func (s *State) loadEnded(ended []ID) error {
	seen := make(map[ID]bool, len(ended))
	for _, id := range ended {
		j, ok := s.jobs[id]
		if !ok || !j.Status.IsFinal() || seen[id] {
			return &SnapshotError{Reason: fmt.Sprintf("job %s in the list of ended jobs is unknown, has not ended or is listed twice", id)}
		}
		seen[id] = true
	}
	for id, j := range s.jobs {
		if j.Status.IsFinal() && !seen[id] {
			return &SnapshotError{Reason: fmt.Sprintf("ended job %s is missing from the list of ended jobs", id)}
		}
	}
	s.endedJobs = append([]ID(nil), ended...)
	return nil
}

func (s *State) loadFailures(snapshot stateSnapshot) error {
	for _, w := range snapshot.Workers {
		if w == nil || s.failures.workers[w.Worker] != nil {
			return &SnapshotError{Reason: "a worker is null or listed twice"}
		}
		s.failures.workers[w.Worker] = w
	}
	for _, c := range snapshot.Classes {
		if c == nil || s.failures.classes[c.Class] != nil {
			return &SnapshotError{Reason: "a class is null or listed twice"}
		}
		s.failures.classes[c.Class] = c
	}
	for _, q := range snapshot.Quarantine {
		s.failures.quarantines[q.Worker] = q
	}
	return nil
}

func checkConsistency(j *Job) error {
	if j == nil {
		return &SnapshotError{Reason: "a job is null"}
	}
	reason := ""
	switch {
	case j.ID == "" || !j.Status.isKnown():
		reason = "lacks an id or a known status"
	case j.Attempts > j.MaxAttempts || int(j.Epoch) != j.Attempts:
		reason = "has attempts that contradict its limit or epoch"
	case (j.Attempts > 0) != (j.Placement != nil):
		reason = "has a placement that contradicts its attempts"
	case j.Status.isActive() && j.Placement == nil:
		reason = "runs without a placement"
	case j.Status.IsFinal() != (j.Result != nil):
		reason = "has a result that contradicts its status"
	}
	if reason == "" {
		return nil
	}
	return &SnapshotError{Reason: fmt.Sprintf("job %q %s", j.ID, reason)}
}
