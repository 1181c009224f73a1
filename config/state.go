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

var _ stream.StateMachine = (*State)(nil)

// Published is a published file with its content, version and origin.
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

// Generation counts how often the configuration in force of a State has changed. It is local to the
// process.
type Generation uint64

// State is the published configuration, built by applying the records of the config stream. The zero value
// is the state before the first record. Readers never wait for Apply, which takes tens of milliseconds
// when the base file of a large fleet changes: Apply builds a new view and then replaces the present one.
type State struct {
	// mu serializes Apply and Restore.
	mu   sync.Mutex
	view atomic.Pointer[view]
}

// view is one immutable version of the state.
type view struct {
	files map[File]*publishedFile
	// sites holds one entry for each overlay in files.
	sites map[site.Name]*Settings
	// next is the offset after the last applied publish; 0 if there is none.
	next       record.Offset
	generation Generation
	// accepted and rejected are the retained audit entries, each sorted by offset.
	accepted []audit.Entry
	rejected []audit.Entry
	// changed is closed when another configuration comes into force.
	changed chan struct{}
}

type publishedFile struct {
	*decodedFile
	version record.Offset
	author  record.Author
	time    time.Time
	reason  string
}

func (s *State) loadView() *view {
	if v := s.view.Load(); v != nil {
		return v
	}
	s.view.CompareAndSwap(nil, &view{changed: make(chan struct{})})
	return s.view.Load()
}

// Version returns the offset of the last applied publish, or NoVersion if there is none.
func (s *State) Version() record.Offset { return s.loadView().next - 1 }

// Generation returns how often the configuration in force has changed.
func (s *State) Generation() Generation { return s.loadView().generation }

// Changed returns a channel that is closed when another configuration comes into force.
func (s *State) Changed() <-chan struct{} { return s.loadView().changed }

// Settings returns the merged settings of a site; ok is false for a site without an overlay. All callers
// share the settings and must not modify them. A new configuration does not modify them either but gets
// new settings.
func (s *State) Settings(name site.Name) (settings *Settings, ok bool) {
	settings, ok = s.loadView().sites[name]
	return settings, ok
}

// AllSettings returns the merged settings of all sites. As with Settings, callers must not change them.
func (s *State) AllSettings() map[site.Name]*Settings { return s.loadView().allSettings() }

// allSettings returns a copy of the map of settings; it is never nil.
func (v *view) allSettings() map[site.Name]*Settings {
	sites := make(map[site.Name]*Settings, len(v.sites))
	maps.Copy(sites, v.sites)
	return sites
}

// Sites returns the names of all sites, sorted.
func (s *State) Sites() []site.Name {
	return slices.Sorted(maps.Keys(s.loadView().sites))
}

// File returns a published file and whether it exists.
func (s *State) File(name File) (Published, bool) {
	file, ok := s.loadView().files[name]
	if !ok {
		return Published{}, false
	}
	return file.toPublished(name), true
}

// Files returns all published files, sorted by name.
func (s *State) Files() []Published { return s.loadView().publishedFiles() }

// Overview returns the version in force with its files and merged settings, all of the same view.
func (s *State) Overview() (record.Offset, []Published, map[site.Name]*Settings) {
	v := s.loadView()
	return v.next - 1, v.publishedFiles(), v.allSettings()
}

func (v *view) publishedFiles() []Published {
	files := make([]Published, 0, len(v.files))
	for _, name := range slices.Sorted(maps.Keys(v.files)) {
		files = append(files, v.files[name].toPublished(name))
	}
	return files
}

func (p *publishedFile) toPublished(name File) Published {
	return Published{
		Name:    name,
		Version: p.version,
		Author:  p.author,
		Time:    p.time,
		Reason:  p.reason,
		Content: slices.Clone(p.data),
	}
}

// Apply implements stream.StateMachine.
func (s *State) Apply(offset record.Offset, envelope record.Envelope) stream.Verdict {
	s.mu.Lock()
	defer s.mu.Unlock()
	old := s.loadView()
	entry := newAuditEntry(offset, envelope)
	next, err := old.applyPublish(offset, envelope, &entry)
	verdict := verdictFor(err)
	entry.Verdict = verdict.Result
	entry.RejectionReason = verdict.Reason
	if err != nil {
		next = old.withRejected(entry)
	} else {
		next.accepted = appendBounded(old.accepted, entry, maxAcceptedEntries)
	}
	s.view.Store(next)
	if err == nil {
		close(old.changed)
	}
	return verdict
}

// verdictFor returns the verdict for the result of applying a publish. It truncates the reason, because
// followers retain thousands of verdicts and a base file can have a fault in every pool of every site.
func verdictFor(err error) stream.Verdict {
	if err == nil {
		return stream.Applied
	}
	verdict := stream.Invalid(err)
	var conflict *ConflictError
	if errors.As(err, &conflict) {
		verdict = stream.Stale(conflict.summary())
	}
	verdict.Reason = truncate(verdict.Reason)
	return verdict
}

// applyPublish returns the view after a publish. It adds the reason and the objects to the audit entry; if
// the publish is rejected, the entry holds what was determined before the failure.
func (v *view) applyPublish(offset record.Offset, envelope record.Envelope, entry *audit.Entry) (*view, error) {
	p, err := DecodePublish(envelope)
	entry.Reason = truncate(p.Reason)
	if err != nil {
		return nil, err
	}
	decoded := decodePublishFiles(p)
	entry.Objects = decoded.auditObjects()
	plan, err := v.planPublish(decoded)
	if err != nil {
		return nil, err
	}
	entry.Objects = plan.addChanges(v, entry.Objects)
	next := &view{
		files:      maps.Clone(v.files),
		sites:      plan.sites,
		next:       offset + 1,
		generation: v.generation + 1,
		rejected:   v.rejected,
		changed:    make(chan struct{}),
	}
	if next.files == nil {
		next.files = map[File]*publishedFile{}
	}
	for _, file := range p.Files {
		doc := plan.documents[file.Name]
		if doc == nil {
			delete(next.files, file.Name)
			continue
		}
		next.files[file.Name] = &publishedFile{decodedFile: doc, version: offset, author: envelope.Author, time: entry.Time, reason: p.Reason}
	}
	return next, nil
}

func (v *view) withRejected(entry audit.Entry) *view {
	next := *v
	next.rejected = appendBounded(v.rejected, entry, maxRejectedEntries)
	return &next
}

// decodedPublish is a publish with the decoded content of the files that it sets.
type decodedPublish struct {
	Publish
	// documents contains no key for a removed file, and nil for a file that cannot be decoded.
	documents map[File]*decodedFile
	faults    []Fault
}

func decodePublishFiles(p Publish) decodedPublish {
	decoded := decodedPublish{Publish: p, documents: map[File]*decodedFile{}}
	for _, file := range p.Files {
		if file.IsRemoval() {
			continue
		}
		doc, faults := decode(file.Name, file.Content)
		decoded.documents[file.Name] = doc
		decoded.faults = append(decoded.faults, faults...)
	}
	return decoded
}

// publishPlan is the effect of a publish that has no conflicts and leads to valid settings.
type publishPlan struct {
	decodedPublish
	sites map[site.Name]*Settings
}

// planPublish checks a publish against the view and returns its effect. It does not modify the view.
func (v *view) planPublish(p decodedPublish) (*publishPlan, error) {
	if conflicts := v.conflicts(p.Publish); len(conflicts) > 0 {
		return nil, &ConflictError{Conflicts: conflicts}
	}
	documents := make(map[File]*decodedFile, len(v.files)+len(p.documents))
	for name, file := range v.files {
		documents[name] = file.decodedFile
	}
	for _, file := range p.Files {
		delete(documents, file.Name)
	}
	maps.Copy(documents, p.documents)
	sites, faults := v.mergeChanged(documents, p.Publish)
	if err := newCheckError(append(faults, p.faults...)); err != nil {
		return nil, err
	}
	return &publishPlan{decodedPublish: p, sites: sites}, nil
}

// mergeChanged returns the settings of all sites after a publish; documents holds the files after it. Only the
// sites that the publish affects are merged: all sites if it contains the base file, else those of its
// overlays. If no site is left, the base file is checked.
func (v *view) mergeChanged(documents map[File]*decodedFile, p Publish) (map[site.Name]*Settings, []Fault) {
	affected := map[File]*decodedFile{}
	if base, ok := documents[BaseFile]; ok {
		affected[BaseFile] = base
	}
	sites := v.allSettings()
	for _, file := range p.Files {
		name, isOverlay := file.Name.Site()
		if !isOverlay {
			return mergeAll(documents, len(documents)-1, v)
		}
		if file.IsRemoval() {
			delete(sites, name)
			continue
		}
		affected[file.Name] = documents[file.Name]
	}
	if len(affected) == 1 && len(sites) > 0 {
		return sites, nil
	}
	merged, faults := mergeAll(affected, len(documents)-1, v)
	maps.Copy(sites, merged)
	return sites, faults
}

// Preview returns what a publish would change, or the error that it would fail with now.
func (s *State) Preview(p Publish) (Difference, error) {
	if err := p.Validate(); err != nil {
		return Difference{}, err
	}
	v := s.loadView()
	plan, err := v.planPublish(decodePublishFiles(p))
	if err != nil {
		return Difference{}, err
	}
	return Diff(v.sites, plan.sites), nil
}

// CheckConflicts returns the ConflictError that a publish would fail with now, or nil.
func (s *State) CheckConflicts(p Publish) error {
	if conflicts := s.loadView().conflicts(p); len(conflicts) > 0 {
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
			conflict.Author, conflict.Reason = v.lastChange(change.Name)
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
