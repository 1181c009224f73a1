package job

import (
	"cmp"
	"encoding/json"
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// image is the canonical form of the state: sorted, so that equal states have equal bytes.
type image struct {
	// Jobs are in the order of their submits.
	Jobs []*Job `json:"jobs"`
	// Ended lists the jobs that have ended, oldest first. One cancel record ends several at the same
	// offset, so their order does not follow from the jobs.
	Ended      []ID                `json:"ended"`
	Workers    []*workerRecord     `json:"workers"`
	Classes    []*classRecord      `json:"classes"`
	Quarantine []QuarantinedWorker `json:"quarantine"`
	History    []Change            `json:"history"`
}

// Snapshot implements stream.Folder.
func (s *State) Snapshot() ([]byte, error) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return json.Marshal(s.imageLocked())
}

func (s *State) imageLocked() image {
	img := image{
		Jobs: make([]*Job, 0, len(s.jobs)), Ended: append([]ID{}, s.ended...),
		Workers: []*workerRecord{}, Classes: []*classRecord{}, Quarantine: s.quarantinedLocked(),
		History: s.history.list(),
	}
	for _, j := range s.jobs {
		img.Jobs = append(img.Jobs, j)
	}
	for _, w := range s.evidence.workers {
		img.Workers = append(img.Workers, w)
	}
	for _, c := range s.evidence.classes {
		img.Classes = append(img.Classes, c)
	}
	slices.SortFunc(img.Jobs, bySubmit)
	slices.SortFunc(img.Workers, func(a, b *workerRecord) int { return cmp.Compare(a.Worker, b.Worker) })
	slices.SortFunc(img.Classes, func(a, b *classRecord) int { return cmp.Compare(a.Touched, b.Touched) })
	return img
}

func bySubmit(a, b *Job) int { return cmp.Compare(a.SubmitOffset, b.SubmitOffset) }

func (s *State) quarantinedLocked() []QuarantinedWorker {
	list := make([]QuarantinedWorker, 0, len(s.evidence.isolated))
	for _, q := range s.evidence.isolated {
		list = append(list, q)
	}
	slices.SortFunc(list, func(a, b QuarantinedWorker) int { return cmp.Compare(a.Worker, b.Worker) })
	return list
}

// Digest implements stream.Folder. It hashes the canonical snapshot and keeps the result until the
// next change.
func (s *State) Digest() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.hashed {
		// The image holds strings and finite numbers only, which always encode.
		data, _ := json.Marshal(s.imageLocked())
		s.digest = xxhash.Sum64(data)
		s.hashed = true
	}
	return s.digest
}

// Restore implements stream.Folder. A snapshot that contradicts itself is refused and leaves the state
// unchanged.
func (s *State) Restore(data []byte) error {
	var img image
	if err := json.Unmarshal(data, &img); err != nil {
		return &SnapshotError{Reason: "malformed: " + err.Error()}
	}
	var restored State
	restored.initLocked()
	if err := restored.load(img); err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.jobs, s.keys, s.ended, s.bytes = restored.jobs, restored.keys, restored.ended, restored.bytes
	s.index, s.evidence, s.history = restored.index, restored.evidence, restored.history
	s.hashed = false
	s.notifyLocked()
	return nil
}

func (s *State) load(img image) error {
	for i, j := range img.Jobs {
		if err := consistent(j); err != nil {
			return err
		}
		if i > 0 && j.SubmitOffset <= img.Jobs[i-1].SubmitOffset {
			return &SnapshotError{Reason: "jobs are not in the order of their submits"}
		}
		if _, ok := s.jobs[j.ID]; ok {
			return &SnapshotError{Reason: fmt.Sprintf("job %s is listed twice", j.ID)}
		}
		s.addLocked(j)
	}
	if err := s.loadEnded(img.Ended); err != nil {
		return err
	}
	if err := s.loadEvidence(img); err != nil {
		return err
	}
	for _, c := range img.History {
		s.history.add(c)
	}
	return nil
}

func (s *State) loadEnded(ended []ID) error {
	seen := make(map[ID]bool, len(ended))
	for _, id := range ended {
		j, ok := s.jobs[id]
		if !ok || !j.Status.IsFinal() || seen[id] {
			return &SnapshotError{Reason: fmt.Sprintf("job %s has not ended, or twice", id)}
		}
		seen[id] = true
	}
	for id, j := range s.jobs {
		if j.Status.IsFinal() && !seen[id] {
			return &SnapshotError{Reason: fmt.Sprintf("ended job %s is not listed", id)}
		}
	}
	s.ended = append([]ID(nil), ended...)
	return nil
}

func (s *State) loadEvidence(img image) error {
	for _, w := range img.Workers {
		if w == nil || s.evidence.workers[w.Worker] != nil {
			return &SnapshotError{Reason: "a worker is null or listed twice"}
		}
		s.evidence.workers[w.Worker] = w
	}
	for _, c := range img.Classes {
		if c == nil || s.evidence.classes[c.Class] != nil {
			return &SnapshotError{Reason: "a class is null or listed twice"}
		}
		s.evidence.classes[c.Class] = c
	}
	for _, q := range img.Quarantine {
		s.evidence.isolated[q.Worker] = q
	}
	return nil
}

func consistent(j *Job) error {
	if j == nil {
		return &SnapshotError{Reason: "a job is null"}
	}
	reason := ""
	switch {
	case j.ID == "" || !j.Status.known():
		reason = "lacks an id or a known status"
	case j.Attempts > j.MaxAttempts || int(j.Epoch) != j.Attempts:
		reason = "has attempts that contradict its limit or epoch"
	case (j.Attempts > 0) != (j.Placement != nil):
		reason = "has a placement that contradicts its attempts"
	case j.Status.holds() && j.Placement == nil:
		reason = "runs without a placement"
	case j.Status.IsFinal() != (j.Result != nil):
		reason = "has a result that contradicts its status"
	}
	if reason == "" {
		return nil
	}
	return &SnapshotError{Reason: fmt.Sprintf("job %q %s", j.ID, reason)}
}
