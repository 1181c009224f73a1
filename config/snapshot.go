package config

import (
	"encoding/json"

	"github.com/cespare/xxhash/v2"

	"hibiscuslane.example/hibiscuslane/audit"
	"hibiscuslane.example/hibiscuslane/record"
	"hibiscuslane.example/hibiscuslane/site"
)

// snapshot is the stored form of a State. It does not hold the merged settings; Restore merges the files
// again.
type snapshot struct {
	Files []Published `json:"files"`
	// Next is the offset after the last applied publish.
	Next     record.Offset `json:"next"`
	Accepted []audit.Entry `json:"accepted"`
	Rejected []audit.Entry `json:"rejected"`
}

// Snapshot implements stream.StateMachine.
func (s *State) Snapshot() ([]byte, error) {
	return json.Marshal(s.loadView().snapshot())
}

func (v *view) snapshot() snapshot {
	snap := snapshot{Files: v.publishedFiles(), Next: v.next, Accepted: v.accepted, Rejected: v.rejected}
	if snap.Accepted == nil {
		snap.Accepted = []audit.Entry{}
	}
	if snap.Rejected == nil {
		snap.Rejected = []audit.Entry{}
	}
	return snap
}

// Digest implements stream.StateMachine. It hashes the snapshot, which is the same for equal states: files are
// sorted by name and encoded with sorted keys, and audit entries are sorted by offset.
func (s *State) Digest() uint64 {
	data, err := s.Snapshot()
	if err != nil {
		return 0
	}
	return xxhash.Sum64(data)
}

// Restore implements stream.StateMachine. It rejects a snapshot whose files are not valid together, so that
// invalid settings are never in force.
func (s *State) Restore(data []byte) error {
	var snap snapshot
	if err := json.Unmarshal(data, &snap); err != nil {
		return &record.DecodeError{Kind: "snapshot", Cause: err}
	}
	next, err := snap.toView()
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	old := s.loadView()
	next.generation = old.generation + 1
	s.view.Store(next)
	close(old.changed)
	return nil
}

func (s snapshot) toView() (*view, error) {
	v := &view{
		files:    map[File]*publishedFile{},
		sites:    map[site.Name]*Settings{},
		next:     s.Next,
		accepted: s.Accepted,
		rejected: s.Rejected,
		changed:  make(chan struct{}),
	}
	if len(s.Files) == 0 {
		return v, nil
	}
	documents := map[File]*decodedFile{}
	var faults []Fault
	for _, file := range s.Files {
		if !file.Name.IsValid() || documents[file.Name] != nil {
			faults = append(faults, Fault{File: file.Name, Reason: "name is invalid or repeated"})
			continue
		}
		doc, fileFaults := decode(file.Name, file.Content)
		faults = append(faults, fileFaults...)
		documents[file.Name] = doc
		v.files[file.Name] = &publishedFile{decodedFile: doc, version: file.Version, author: file.Author, time: normalizeTime(file.Time), reason: file.Reason}
	}
	sites, mergeFaults := mergeAll(documents, len(documents)-1, nil)
	v.sites = sites
	return v, newCheckError(append(faults, mergeFaults...))
}
