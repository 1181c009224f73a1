package fleet

import (
	"slices"

	"hibiscuslane.example/hibiscuslane/instance"
	"hibiscuslane.example/hibiscuslane/pool"
	"hibiscuslane.example/hibiscuslane/record"
)

// maxHistoryChanges is the number of changes that the audit history keeps. At the design scale, 550
// restarts a day of three records each, this covers more than half a day and adds at most a few hundred
// kilobytes to a snapshot.
const maxHistoryChanges = 1024

// Change describes an applied record for the audit trail.
type Change struct {
	Offset record.Offset `json:"offset"`
	Time   Timestamp     `json:"time"`
	Author record.Author `json:"author,omitempty"`
	Kind   record.Kind   `json:"kind"`
	ID     instance.ID   `json:"id"`
	// FromPool and ToPool are the pools of the instance before and after the record. They are empty if the
	// instance did not exist at that point.
	FromPool pool.Name `json:"from,omitempty"`
	ToPool   pool.Name `json:"to,omitempty"`
	// NextPool is the pool that the instance joins after its reboot. It is set for drain records.
	NextPool pool.Name `json:"next,omitempty"`
	// Incarnation and Version are those of the instance after the record.
	Incarnation instance.Incarnation `json:"incarnation"`
	Version     Version              `json:"version"`
	Reason      string               `json:"reason,omitempty"`
}

func newChange(offset record.Offset, envelope record.Envelope, body Body, before, after Instance) Change {
	c := Change{
		Offset: offset, Time: TimestampOf(envelope.Time), Author: envelope.Author, Kind: envelope.Kind,
		ID: body.Header().ID, FromPool: before.Pool, ToPool: after.Pool, NextPool: after.NextPool,
		Incarnation: after.Incarnation, Version: body.Header().Version + 1, Reason: body.Header().Reason,
	}
	if after.ID == "" {
		c.Incarnation = before.Incarnation
	}
	if len(c.Author) > maxTextBytes {
		// The author belongs to the envelope, so the validation of the body does not limit its length.
		c.Author = ""
	}
	return c
}

// history is a ring buffer of the most recent changes.
type history struct {
	changes []Change
	// oldest is the index of the oldest change once the buffer is full.
	oldest int
}

func (h *history) add(c Change) {
	if len(h.changes) < maxHistoryChanges {
		h.changes = append(h.changes, c)
		return
	}
	h.changes[h.oldest] = c
	h.oldest = (h.oldest + 1) % maxHistoryChanges
}

// oldestFirst returns a copy of the changes, from the oldest to the newest.
func (h *history) oldestFirst() []Change {
	return append(append(make([]Change, 0, len(h.changes)), h.changes[h.oldest:]...), h.changes[:h.oldest]...)
}

// changesFrom returns the changes at or after the offset, oldest first.
func (h *history) changesFrom(from record.Offset) []Change {
	changes := h.oldestFirst()
	first, _ := slices.BinarySearchFunc(changes, from, func(c Change, o record.Offset) int { return int(c.Offset - o) })
	return changes[first:]
}
