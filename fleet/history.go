package fleet

import (
	"slices"

	"hibiscuslane.example/hibiscuslane/instance"
	"hibiscuslane.example/hibiscuslane/pool"
	"hibiscuslane.example/hibiscuslane/record"
)

// historyLimit bounds the audit history. At the target size of 550 restarts a day, of three records
// each, it covers more than half a day, and it adds at most a few hundred kilobytes to a snapshot.
const historyLimit = 1024

// Change is an applied record as the audit trail shows it.
type Change struct {
	Offset record.Offset `json:"offset"`
	Time   Timestamp     `json:"time"`
	Author record.Author `json:"author,omitempty"`
	Kind   record.Kind   `json:"kind"`
	ID     instance.ID   `json:"id"`
	// From and To are the pools before and after the record; empty if the instance did not exist.
	FromPool pool.Name `json:"from,omitempty"`
	ToPool   pool.Name `json:"to,omitempty"`
	// Next is the pool that a drain record names.
	NextPool    pool.Name            `json:"next,omitempty"`
	Incarnation instance.Incarnation `json:"incarnation"`
	Version     Version              `json:"version"`
	Reason      string               `json:"reason,omitempty"`
}

func change(offset record.Offset, envelope record.Envelope, body Body, before, after Instance) Change {
	c := Change{
		Offset: offset, Time: TimestampOf(envelope.Time), Author: envelope.Author, Kind: envelope.Kind,
		ID: body.Header().ID, FromPool: before.Pool, ToPool: after.Pool, NextPool: after.NextPool,
		Incarnation: after.Incarnation, Version: body.Header().Version + 1, Reason: body.Header().Reason,
	}
	if after.ID == "" {
		c.Incarnation = before.Incarnation
	}
	if len(c.Author) > textLimit {
		// The author is not part of the body, so its length is not validated there.
		c.Author = ""
	}
	return c
}

// history is a ring of the last changes.
type history struct {
	ring []Change
	// start is the position of the oldest change once the ring is full.
	start int
}

func (h *history) add(c Change) {
	if len(h.ring) < historyLimit {
		h.ring = append(h.ring, c)
		return
	}
	h.ring[h.start] = c
	h.start = (h.start + 1) % historyLimit
}

// list returns a copy, oldest first.
func (h *history) list() []Change {
	return append(append(make([]Change, 0, len(h.ring)), h.ring[h.start:]...), h.ring[:h.start]...)
}

func (h *history) since(from record.Offset) []Change {
	all := h.list()
	at, _ := slices.BinarySearchFunc(all, from, func(c Change, o record.Offset) int { return int(c.Offset - o) })
	return all[at:]
}
