package config

import (
	"encoding/json"

	"github.com/cespare/xxhash/v2"

	"hibiscuslane.example/hibiscuslane/audit"
	"hibiscuslane.example/hibiscuslane/record"
	"hibiscuslane.example/hibiscuslane/site"
)

// image is the form of a State in snapshots. The settings are merged again from the files.
type image struct {
	Files []Published `json:"files"`
	// Next is the offset after the last applied publish.
	Next     record.Offset `json:"next"`
	Accepted []audit.Entry `json:"accepted"`
	Rejected []audit.Entry `json:"rejected"`
}

// Snapshot implements stream.Folder.
func (s *State) Snapshot() ([]byte, error) {
	return json.Marshal(s.load().image())
}

func (v *view) image() image {
	img := image{Files: v.export(), Next: v.next, Accepted: v.accepted, Rejected: v.rejected}
	if img.Accepted == nil {
		img.Accepted = []audit.Entry{}
	}
	if img.Rejected == nil {
		img.Rejected = []audit.Entry{}
	}
	return img
}

// Digest implements stream.Folder. The snapshot is canonical: files are ordered by name and encoded
// with sorted keys, entries are ordered by offset.
func (s *State) Digest() uint64 {
	data, err := s.Snapshot()
	if err != nil {
		return 0
	}
	return xxhash.Sum64(data)
}

// Restore implements stream.Folder. A snapshot whose files are not valid together is refused, so that
// invalid settings are never in force.
func (s *State) Restore(data []byte) error {
	var img image
	if err := json.Unmarshal(data, &img); err != nil {
		return &record.DecodeError{Kind: "snapshot", Cause: err}
	}
	next, err := img.view()
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	old := s.load()
	next.generation = old.generation + 1
	s.view.Store(next)
	close(old.changed)
	return nil
}

func (i image) view() (*view, error) {
	v := &view{
		files:    map[File]*published{},
		sites:    map[site.Name]*Settings{},
		next:     i.Next,
		accepted: i.Accepted,
		rejected: i.Rejected,
		changed:  make(chan struct{}),
	}
	if len(i.Files) == 0 {
		return v, nil
	}
	documents := map[File]*decoded{}
	var faults []Fault
	for _, file := range i.Files {
		if !file.Name.IsValid() || documents[file.Name] != nil {
			faults = append(faults, Fault{File: file.Name, Reason: "name is invalid or repeated"})
			continue
		}
		doc, wrong := decode(file.Name, file.Content)
		faults = append(faults, wrong...)
		documents[file.Name] = doc
		v.files[file.Name] = &published{decoded: doc, version: file.Version, author: file.Author, time: normal(file.Time), reason: file.Reason}
	}
	sites, wrong := mergeAll(documents, len(documents)-1, nil)
	v.sites = sites
	return v, checkError(append(faults, wrong...))
}
