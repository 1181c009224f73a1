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
	// maxAcceptedEntries and maxRejectedEntries limit the audit trail, which is part of the snapshot. The
	// limits are separate so that a client that retries a rejected publish cannot displace accepted ones.
	maxAcceptedEntries = 512
	maxRejectedEntries = 128
	// maxListedChanges limits the changes that one entry or conflict lists.
	maxListedChanges = 16
	// maxListedValueBytes limits the size of a value that a change lists.
	maxListedValueBytes = 128
)

var _ audit.Source = (*State)(nil)

// Trail implements audit.Source. It returns the retained entries of accepted and rejected publishes,
// sorted by offset.
func (s *State) Trail() []audit.Entry {
	v := s.loadView()
	entries := slices.Concat(v.accepted, v.rejected)
	slices.SortFunc(entries, func(a, b audit.Entry) int { return int(a.Offset - b.Offset) })
	return entries
}

// appendBounded appends an entry to a list and drops the oldest entries beyond the limit. It does not
// modify the elements of the given list, which earlier views share.
func appendBounded(entries []audit.Entry, entry audit.Entry, limit int) []audit.Entry {
	if len(entries) >= limit {
		entries = entries[len(entries)-limit+1:]
	}
	return append(entries, entry)
}

func newAuditEntry(offset record.Offset, envelope record.Envelope) audit.Entry {
	id := envelope.ID
	id.Entry = instance.ID(truncate(string(id.Entry)))
	return audit.Entry{
		Offset: offset,
		Stream: record.StreamConfig,
		ID:     id,
		Kind:   record.Kind(truncate(string(envelope.Kind))),
		Time:   normalizeTime(envelope.Time),
		Author: record.Author(truncate(string(envelope.Author))),
	}
}

// normalizeTime converts a time to UTC. A time outside the years 0 to 9999 in UTC becomes the zero time,
// because it cannot be encoded as JSON and would make every later snapshot fail.
func normalizeTime(t time.Time) time.Time {
	t = t.UTC()
	if t.Year() < 0 || t.Year() > 9999 {
		return time.Time{}
	}
	return t
}

// auditObjects returns the files of a publish as objects of an audit entry.
func (p decodedPublish) auditObjects() []audit.Object {
	objects := make([]audit.Object, len(p.Files))
	for i, file := range p.Files {
		objects[i] = audit.Object{Name: string(file.Name), BaseVersion: int64(file.BaseVersion)}
		if doc := p.documents[file.Name]; doc != nil {
			objects[i].Digest = doc.digest()
		}
	}
	return objects
}

// Digest returns the hash of the canonical content in hexadecimal, the same as in audit entries. It is
// empty for a removal and for content that cannot be decoded.
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

func (d *decodedFile) digest() string { return strconv.FormatUint(xxhash.Sum64(d.data), 16) }

// addChanges adds the changed values to the objects, at most maxListedChanges in total.
func (p *publishPlan) addChanges(v *view, objects []audit.Object) []audit.Object {
	remaining := maxListedChanges
	for i := range objects {
		name := File(objects[i].Name)
		var old, new any = absent{}, absent{}
		if file := v.files[name]; file != nil {
			old = file.tree
		}
		if doc := p.documents[name]; doc != nil {
			new = doc.tree
		}
		changes := appendDifferences("", old, new, nil)
		objects[i].Changes = changes[:min(remaining, len(changes))]
		objects[i].OmittedChanges = len(changes) - len(objects[i].Changes)
		remaining -= len(objects[i].Changes)
	}
	return objects
}

// absent represents a missing value in a comparison, as opposed to null.
type absent struct{}

// appendDifferences appends the changes at and below a pointer. It compares objects key by key in sorted
// order, and arrays and scalars as a whole.
func appendDifferences(pointer string, old, new any, changes []audit.Change) []audit.Change {
	before, okBefore := old.(map[string]any)
	after, okAfter := new.(map[string]any)
	if !okBefore || !okAfter {
		if a, b := encode(old), encode(new); string(a) != string(b) {
			changes = append(changes, audit.Change{Pointer: pointer, Old: shortenValue(a), New: shortenValue(b)})
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
		changes = appendDifferences(document.ChildPointer(pointer, key), valueOrAbsent(before, key), valueOrAbsent(after, key), changes)
	}
	return changes
}

func valueOrAbsent(object map[string]any, key string) any {
	if value, ok := object[key]; ok {
		return value
	}
	return absent{}
}

// encode returns the canonical encoding of a decoded value; nil for an absent value.
func encode(value any) json.RawMessage {
	if _, missing := value.(absent); missing {
		return nil
	}
	// Encoding a value that was decoded from JSON cannot fail.
	data, _ := json.Marshal(value)
	return data
}

// shortenValue replaces a long value by a text that states its size.
func shortenValue(value json.RawMessage) json.RawMessage {
	if len(value) <= maxListedValueBytes {
		return value
	}
	return json.RawMessage(fmt.Sprintf(`"(%d bytes)"`, len(value)))
}

// changesSince returns the first changes that accepted publishes made in a file after a version, as far as
// the audit trail goes back.
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
	return changes[:min(len(changes), maxListedChanges)]
}

// lastChange returns the author and the reason of the last accepted publish that changed a file, as far as
// the audit trail goes back. For a file that does not exist this is its removal.
func (v *view) lastChange(name File) (author record.Author, reason string) {
	for _, entry := range slices.Backward(v.accepted) {
		for _, object := range entry.Objects {
			if object.Name == string(name) {
				return entry.Author, entry.Reason
			}
		}
	}
	return "", ""
}
