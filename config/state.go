package config

import (
	"encoding/json"
	"errors"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"hibiscuslane.example/hibiscuslane/audit"
	"hibiscuslane.example/hibiscuslane/record"
	"hibiscuslane.example/hibiscuslane/site"
	"hibiscuslane.example/hibiscuslane/stream"
)

var _ stream.Folder = (*State)(nil)

// Published is a file with its version.
type Published struct {
	Name File `json:"name"`
	// Version is the offset of the publish record that last set the file.
	Version record.Offset `json:"version"`
	Author  record.Author `json:"author,omitempty"`
	Time    time.Time     `json:"time"`
	Reason  string        `json:"reason,omitempty"`
	// Content is compact JSON with sorted keys.
	Content json.RawMessage `json:"content"`
}

// Generation counts the changes of the configuration in force that one State has seen. It is local
// to the process.
type Generation uint64

// State is the published configuration, folded from the config stream. The zero value is the state
// before the first record. Readers never wait for a fold: a fold builds a new view beside the present
// one, which takes tens of milliseconds when the base file of a large fleet changes.
type State struct {
	// mu serialises Fold and Restore.
	mu   sync.Mutex
	view atomic.Pointer[view]
}

// view is one immutable version of the state.
type view struct {
	files map[File]*published
	// sites holds one entry for each overlay in files.
	sites map[site.Name]*Settings
	// next is the offset after the last applied publish; 0 if there is none.
	next       record.Offset
	generation Generation
	accepted   []audit.Entry
	rejected   []audit.Entry
	// changed is closed when another configuration is in force.
	changed chan struct{}
}

type published struct {
	*decoded
	version record.Offset
	author  record.Author
	time    time.Time
	reason  string
}

func (s *State) load() *view {
	if v := s.view.Load(); v != nil {
		return v
	}
	s.view.CompareAndSwap(nil, &view{changed: make(chan struct{})})
	return s.view.Load()
}

// Version returns the offset of the last applied publish; NoVersion if there is none.
func (s *State) Version() record.Offset { return s.load().next - 1 }

// Generation returns the number of changes of the configuration in force.
func (s *State) Generation() Generation { return s.load().generation }

// Changed returns a channel that is closed when another configuration is in force.
func (s *State) Changed() <-chan struct{} { return s.load().changed }

// Settings returns the merged settings of a site; ok is false for a site without an overlay. The
// settings are shared between all callers, which must not change them. They are never changed later: a
// new configuration has new settings.
func (s *State) Settings(name site.Name) (settings *Settings, ok bool) {
	settings, ok = s.load().sites[name]
	return settings, ok
}

// AllSettings returns the merged settings of all sites. As with Settings, callers must not change them.
func (s *State) AllSettings() map[site.Name]*Settings { return s.load().all() }

// all returns a copy of the map, which is never nil.
func (v *view) all() map[site.Name]*Settings {
	sites := make(map[site.Name]*Settings, len(v.sites))
	maps.Copy(sites, v.sites)
	return sites
}

// Sites returns the names of all sites in order.
func (s *State) Sites() []site.Name {
	return slices.Sorted(maps.Keys(s.load().sites))
}

// File returns a file with its version.
func (s *State) File(name File) (Published, bool) {
	file, ok := s.load().files[name]
	if !ok {
		return Published{}, false
	}
	return file.export(name), true
}

// Files returns all files ordered by name.
func (s *State) Files() []Published { return s.load().export() }

// Overview returns the version in force together with the files and settings that it consists of.
func (s *State) Overview() (record.Offset, []Published, map[site.Name]*Settings) {
	v := s.load()
	return v.next - 1, v.export(), v.all()
}

func (v *view) export() []Published {
	files := make([]Published, 0, len(v.files))
	for _, name := range slices.Sorted(maps.Keys(v.files)) {
		files = append(files, v.files[name].export(name))
	}
	return files
}

func (p *published) export(name File) Published {
	return Published{
		Name:    name,
		Version: p.version,
		Author:  p.author,
		Time:    p.time,
		Reason:  p.reason,
		Content: slices.Clone(p.data),
	}
}

// Fold implements stream.Folder.
func (s *State) Fold(offset record.Offset, envelope record.Envelope) stream.Verdict {
	s.mu.Lock()
	defer s.mu.Unlock()
	old := s.load()
	entry := newEntry(offset, envelope)
	next, err := old.fold(offset, envelope, &entry)
	verdict := verdictOn(err)
	entry.Verdict = verdict.Result
	entry.RejectionReason = verdict.Reason
	if err != nil {
		next = old.reject(entry)
	} else {
		next.accepted = keep(old.accepted, entry, acceptedKept)
	}
	s.view.Store(next)
	if err == nil {
		close(old.changed)
	}
	return verdict
}

// verdictOn bounds the reason, because followers keep thousands of verdicts and a base file can have a
// fault in every pool of every site.
func verdictOn(err error) stream.Verdict {
	if err == nil {
		return stream.Applied
	}
	verdict := stream.Invalid(err)
	var conflict *ConflictError
	if errors.As(err, &conflict) {
		verdict = stream.Stale(conflict.brief())
	}
	verdict.Reason = clip(verdict.Reason)
	return verdict
}

// fold returns the view after a publish. It completes the objects of the entry as far as it gets.
func (v *view) fold(offset record.Offset, envelope record.Envelope, entry *audit.Entry) (*view, error) {
	p, err := DecodePublish(envelope)
	entry.Reason = clip(p.Reason)
	if err != nil {
		return nil, err
	}
	files := decodeFiles(p)
	entry.Objects = files.objects()
	plan, err := v.plan(files)
	if err != nil {
		return nil, err
	}
	entry.Objects = plan.changes(v, entry.Objects)
	next := &view{
		files:      maps.Clone(v.files),
		sites:      plan.sites,
		next:       offset + 1,
		generation: v.generation + 1,
		rejected:   v.rejected,
		changed:    make(chan struct{}),
	}
	if next.files == nil {
		next.files = map[File]*published{}
	}
	for _, file := range p.Files {
		doc := plan.documents[file.Name]
		if doc == nil {
			delete(next.files, file.Name)
			continue
		}
		next.files[file.Name] = &published{decoded: doc, version: offset, author: envelope.Author, time: entry.Time, reason: p.Reason}
	}
	return next, nil
}

func (v *view) reject(entry audit.Entry) *view {
	next := *v
	next.rejected = keep(v.rejected, entry, rejectedKept)
	return &next
}

// decodedPublish is a publish with the decoded content of the files that it sets.
type decodedPublish struct {
	Publish
	// documents has no entry for a removed file and a nil one for a file that is not valid.
	documents map[File]*decoded
	faults    []Fault
}

func decodeFiles(p Publish) decodedPublish {
	files := decodedPublish{Publish: p, documents: map[File]*decoded{}}
	for _, file := range p.Files {
		if file.IsRemoval() {
			continue
		}
		doc, faults := decode(file.Name, file.Content)
		files.documents[file.Name] = doc
		files.faults = append(files.faults, faults...)
	}
	return files
}

// plan is the effect of a publish whose precondition holds and whose result is valid.
type plan struct {
	decodedPublish
	sites map[site.Name]*Settings
}

// plan checks a publish against the view. It changes nothing.
func (v *view) plan(p decodedPublish) (*plan, error) {
	if conflicts := v.conflicts(p.Publish); len(conflicts) > 0 {
		return nil, &ConflictError{Conflicts: conflicts}
	}
	all := make(map[File]*decoded, len(v.files)+len(p.documents))
	for name, file := range v.files {
		all[name] = file.decoded
	}
	for _, file := range p.Files {
		delete(all, file.Name)
	}
	maps.Copy(all, p.documents)
	sites, faults := v.mergeChanged(all, p.Publish)
	if err := checkError(append(faults, p.faults...)); err != nil {
		return nil, err
	}
	return &plan{decodedPublish: p, sites: sites}, nil
}

// mergeChanged merges the sites that a publish affects: all of them if it sets the base file or leaves
// none, else those of its overlays.
func (v *view) mergeChanged(all map[File]*decoded, p Publish) (map[site.Name]*Settings, []Fault) {
	overlays := map[File]*decoded{}
	if base, ok := all[BaseFile]; ok {
		overlays[BaseFile] = base
	}
	sites := v.all()
	for _, file := range p.Files {
		name, overlay := file.Name.Site()
		if !overlay {
			return mergeAll(all, len(all)-1, v)
		}
		if file.IsRemoval() {
			delete(sites, name)
			continue
		}
		overlays[file.Name] = all[file.Name]
	}
	if len(overlays) == 1 && len(sites) > 0 {
		return sites, nil
	}
	merged, faults := mergeAll(overlays, len(all)-1, v)
	maps.Copy(sites, merged)
	return sites, faults
}

// Preview returns what a publish would change, or the error that it would meet now.
func (s *State) Preview(p Publish) (Difference, error) {
	if err := p.Validate(); err != nil {
		return Difference{}, err
	}
	v := s.load()
	plan, err := v.plan(decodeFiles(p))
	if err != nil {
		return Difference{}, err
	}
	return Diff(v.sites, plan.sites), nil
}

// CheckConflicts returns the ConflictError that a publish would fail with now, or nil.
func (s *State) CheckConflicts(p Publish) error {
	if conflicts := s.load().conflicts(p); len(conflicts) > 0 {
		return &ConflictError{Conflicts: conflicts}
	}
	return nil
}

func (v *view) conflicts(p Publish) []Conflict {
	var conflicts []Conflict
	for _, change := range p.Files {
		file, ok := v.files[change.Name]
		if !ok && change.BaseVersion != NoVersion {
			conflict := Conflict{File: change.Name, BaseVersion: change.BaseVersion, Version: NoVersion}
			conflict.Author, conflict.Reason = v.remover(change.Name)
			conflicts = append(conflicts, conflict)
		}
		if ok && file.version != change.BaseVersion {
			conflicts = append(conflicts, Conflict{
				File:        change.Name,
				BaseVersion: change.BaseVersion,
				Version:     file.version,
				Author:      file.author,
				Reason:      file.reason,
				Changes:     v.changesSince(change.Name, change.BaseVersion),
			})
		}
	}
	return conflicts
}
