// Package audit defines the audit trail, which records who changed what, from which version, and whether the
// change was applied. Each state keeps its own trail; this package merges and writes them. Only entries of
// "hibiscuslane serve" keep one.
package audit

import (
	"encoding/json"
	"fmt"
	"time"

	"hibiscuslane.example/hibiscuslane/record"
	"hibiscuslane.example/hibiscuslane/stream"
)

// Entry describes one record of a stream in the audit trail.
type Entry struct {
	Offset record.Offset `json:"offset"`
	Stream record.Stream `json:"stream"`
	ID     record.ID     `json:"id"`
	Kind   record.Kind   `json:"kind"`
	// Time is the time of the writer's clock in UTC. It only serves to sort the entries of different streams
	// and to select entries by age.
	Time    time.Time     `json:"time"`
	Author  record.Author `json:"author,omitempty"`
	Objects []Object      `json:"objects,omitempty"`
	// Reason is the reason that the author gave for the change.
	Reason  string        `json:"decision,omitempty"`
	Verdict stream.Result `json:"verdict"`
	// RejectionReason says why the record was not applied; it is empty for applied records.
	RejectionReason string `json:"cause,omitempty"`
}

// Object is one object that a record changes, such as a file, an instance or a job.
type Object struct {
	Name string `json:"name"`
	// BaseVersion is the version that the change is based on; -1 means that the object was new. In entries of
	// the job stream it is the number of the attempt instead, or 0.
	BaseVersion int64 `json:"from"`
	// Digest is a hash of the new content of a file in hexadecimal; it is empty if the file is removed or its
	// content cannot be decoded.
	Digest  string   `json:"digest,omitempty"`
	Changes []Change `json:"changes,omitempty"`
	// OmittedChanges is the number of changes that Changes does not list.
	OmittedChanges int `json:"more,omitempty"`
}

// Change holds the old and the new value at a JSON pointer.
type Change struct {
	// Pointer is the JSON pointer of the value.
	Pointer string `json:"pointer"`
	// Old is nil if the value did not exist before, and New is nil if it no longer exists.
	Old json.RawMessage `json:"old,omitempty"`
	New json.RawMessage `json:"new,omitempty"`
}

func (c Change) String() string {
	switch {
	case c.Old == nil:
		return fmt.Sprintf("%s added %s", c.Pointer, c.New)
	case c.New == nil:
		return fmt.Sprintf("%s removed %s", c.Pointer, c.Old)
	}
	return fmt.Sprintf("%s %s -> %s", c.Pointer, c.Old, c.New)
}
