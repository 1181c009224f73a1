package config

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"hibiscuslane.example/hibiscuslane/audit"
	"hibiscuslane.example/hibiscuslane/document"
	"hibiscuslane.example/hibiscuslane/instance"
	"hibiscuslane.example/hibiscuslane/record"
)

const (
	// acceptedKept and rejectedKept bound the trail, which is part of the snapshot. They are separate
	// so that a client that repeats a rejected publish cannot displace the accepted ones.
	acceptedKept = 512
	rejectedKept = 128
	// changesKept bounds the changes listed in one entry.
	changesKept = 16
	// valueBytes bounds a value listed in a change.
	valueBytes = 128
)

var _ audit.Source = (*State)(nil)

// Trail implements audit.Source. It returns the accepted and rejected publishes that are kept, ordered
// by offset.
func (s *State) Trail() []audit.Entry {
	v := s.load()
	entries := slices.Concat(v.accepted, v.rejected)
	slices.SortFunc(entries, func(a, b audit.Entry) int { return int(a.Offset - b.Offset) })
	return entries
}

// keep appends an entry to a bounded list. Older lists stay as they are.
func keep(entries []audit.Entry, entry audit.Entry, limit int) []audit.Entry {
	if len(entries) >= limit {
		entries = entries[len(entries)-limit+1:]
	}
	return append(entries, entry)
}

func newEntry(offset record.Offset, envelope record.Envelope) audit.Entry {
	id := envelope.ID
	id.Entry = instance.ID(clip(string(id.Entry)))
	return audit.Entry{
		Offset: offset,
		Stream: record.StreamConfig,
		ID:     id,
		Kind:   record.Kind(clip(string(envelope.Kind))),
		Time:   normal(envelope.Time),
		Author: record.Author(clip(string(envelope.Author))),
	}
}

// normal returns the time in UTC. A time that is outside the years 0 to 9999 in UTC cannot be encoded
// and would make every later snapshot fail; it becomes the zero time.
func normal(t time.Time) time.Time {
	t = t.UTC()
	if t.Year() < 0 || t.Year() > 9999 {
		return time.Time{}
	}
	return t
}

// objects lists the files of a publish.
func (p decodedPublish) objects() []audit.Object {
	objects := make([]audit.Object, len(p.Files))
	for i, file := range p.Files {
		objects[i] = audit.Object{Name: string(file.Name), BaseVersion: int64(file.BaseVersion)}
		if doc := p.documents[file.Name]; doc != nil {
			objects[i].Digest = doc.digest()
		}
	}
	return objects
}

// Digest returns the hash of the canonical content as hexadecimal, which is how audit entries name it.
// It is empty for a removal and for content that is not valid.
func (c FileChange) Digest() string {
	if c.IsRemoval() {
		return ""
	}
	doc, faults := decode(c.Name, c.Content)
	if len(faults) > 0 {
		return ""
	}
	return doc.digest()
}

func (d *decoded) digest() string { return strconv.FormatUint(xxhash.Sum64(d.data), 16) }

// changes adds to the objects the values that change in them.
func (p *plan) changes(v *view, objects []audit.Object) []audit.Object {
	room := changesKept
	for i := range objects {
		name := File(objects[i].Name)
		var old, new any = absent{}, absent{}
		if file := v.files[name]; file != nil {
			old = file.tree
		}
		if doc := p.documents[name]; doc != nil {
			new = doc.tree
		}
		changes := differences("", old, new, nil)
		objects[i].Changes = changes[:min(room, len(changes))]
		objects[i].OmittedChanges = len(changes) - len(objects[i].Changes)
		room -= len(objects[i].Changes)
	}
	return objects
}

// absent marks a missing value in differences, which is not the same as null.
type absent struct{}

// differences appends the changed values below a pointer. Objects are compared key by key in order;
// arrays and scalars as a whole.
func differences(pointer string, old, new any, changes []audit.Change) []audit.Change {
	before, okBefore := old.(map[string]any)
	after, okAfter := new.(map[string]any)
	if !okBefore || !okAfter {
		if a, b := encode(old), encode(new); string(a) != string(b) {
			changes = append(changes, audit.Change{Pointer: pointer, Old: abridge(a), New: abridge(b)})
		}
		return changes
	}
	keys := map[string]bool{}
	for key := range before {
		keys[key] = true
	}
	for key := range after {
		keys[key] = true
	}
	for _, key := range slices.Sorted(maps.Keys(keys)) {
		changes = differences(document.ChildPointer(pointer, key), lookup(before, key), lookup(after, key), changes)
	}
	return changes
}

func lookup(object map[string]any, key string) any {
	if value, ok := object[key]; ok {
		return value
	}
	return absent{}
}

// encode returns the canonical encoding of a decoded value; nil for an absent one.
func encode(value any) json.RawMessage {
	if _, missing := value.(absent); missing {
		return nil
	}
	// Values that were decoded from JSON always encode.
	data, _ := json.Marshal(value)
	return data
}

// abridge replaces a long value by a text that gives its size.
func abridge(value json.RawMessage) json.RawMessage {
	if len(value) <= valueBytes {
		return value
	}
	return json.RawMessage(fmt.Sprintf(`"(%d bytes)"`, len(value)))
}

// changesSince lists what accepted publishes after a version changed in a file.
func (v *view) changesSince(name File, version record.Offset) []audit.Change {
	var changes []audit.Change
	for _, entry := range v.accepted {
		if entry.Offset <= version {
			continue
		}
		for _, object := range entry.Objects {
			if object.Name == string(name) {
				changes = append(changes, object.Changes...)
			}
		}
	}
	return changes[:min(len(changes), changesKept)]
}

// remover returns who removed a file and why, as far as the trail reaches.
func (v *view) remover(name File) (author record.Author, reason string) {
	for _, entry := range slices.Backward(v.accepted) {
		for _, object := range entry.Objects {
			if object.Name == string(name) {
				return entry.Author, entry.Reason
			}
		}
	}
	return "", ""
}
