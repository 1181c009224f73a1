package job

import (
	"slices"

	"hibiscuslane.example/hibiscuslane/fleet"
	"hibiscuslane.example/hibiscuslane/instance"
	"hibiscuslane.example/hibiscuslane/record"
	"hibiscuslane.example/hibiscuslane/upstream"
)

// historyLimit bounds the audit history. Jobs are frequent, so it covers minutes to hours; the log
// itself covers its retention.
const historyLimit = 1024

// Change is an applied record as the audit trail shows it.
type Change struct {
	Offset record.Offset   `json:"offset"`
	Time   fleet.Timestamp `json:"time"`
	Author record.Author   `json:"author,omitempty"`
	Kind   record.Kind     `json:"kind"`
	// ID is the first job of the record; Count is the number of jobs if there are several.
	ID     ID                 `json:"id,omitempty"`
	Count  int                `json:"count,omitempty"`
	Epoch  Epoch              `json:"epoch,omitempty"`
	Worker instance.ID        `json:"worker,omitempty"`
	State  upstream.TaskState `json:"state,omitempty"`
	Reason string             `json:"reason,omitempty"`
}

func change(offset record.Offset, envelope record.Envelope, body Body) Change {
	c := Change{Offset: offset, Time: fleet.TimestampOf(envelope.Time), Kind: envelope.Kind}
	if len(envelope.Author) <= maxName {
		// The author is not part of the body, so its length is not validated there.
		c.Author = envelope.Author
	}
	switch b := body.(type) {
	case *Submit:
		c.ID = b.ID
	case *Place:
		c.ID, c.Epoch, c.Worker = b.ID, b.Epoch, b.Worker
	case *Start:
		c.ID, c.Epoch = b.ID, b.Epoch
	case *Finish:
		c.ID, c.Epoch, c.State, c.Reason = b.ID, b.Epoch, b.State, b.Reason
	case *Lapse:
		c.ID, c.Epoch, c.Reason = b.ID, b.Epoch, b.Reason
	case *Cancel:
		c.ID, c.Count, c.Reason = b.IDs[0], len(b.IDs), b.Reason
	case *Quarantine:
		c.Worker, c.Reason = b.Worker, b.Reason
	case *Restore:
		c.Worker, c.Reason = b.Worker, b.Reason
	}
	c.Reason = cut(c.Reason, maxShort)
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
