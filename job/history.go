package job

import (
	"slices"

	"hibiscuslane.example/hibiscuslane/fleet"
	"hibiscuslane.example/hibiscuslane/instance"
	"hibiscuslane.example/hibiscuslane/record"
	"hibiscuslane.example/hibiscuslane/upstream"
)

// maxHistory limits the number of changes in the audit history in memory. Job records are frequent, so it
// covers minutes to hours. Older changes can be read from the log within its retention.
const maxHistory = 1024

// Change describes an applied record for the audit trail.
type Change struct {
	Offset record.Offset   `json:"offset"`
	Time   fleet.Timestamp `json:"time"`
	Author record.Author   `json:"author,omitempty"`
	Kind   record.Kind     `json:"kind"`
	// JobID is the first job of the record. JobCount is the number of jobs in a cancel record, including
	// those that it skipped.
	JobID    ID                 `json:"id,omitempty"`
	JobCount int                `json:"count,omitempty"`
	Epoch    Epoch              `json:"epoch,omitempty"`
	Worker   instance.ID        `json:"worker,omitempty"`
	State    upstream.TaskState `json:"state,omitempty"`
	Reason   string             `json:"reason,omitempty"`
}

func newChange(offset record.Offset, envelope record.Envelope, body Body) Change {
	c := Change{Offset: offset, Time: fleet.TimestampOf(envelope.Time), Kind: envelope.Kind}
	if len(envelope.Author) <= maxNameBytes {
		// The author is part of the envelope, so validating the body does not limit its length.
		c.Author = envelope.Author
	}
	switch b := body.(type) {
	case *Submit:
		c.JobID = b.ID
	case *Place:
		c.JobID, c.Epoch, c.Worker = b.ID, b.Epoch, b.Worker
	case *Start:
		c.JobID, c.Epoch = b.ID, b.Epoch
	case *Finish:
		c.JobID, c.Epoch, c.State, c.Reason = b.ID, b.Epoch, b.State, b.Reason
	case *Abandon:
		c.JobID, c.Epoch, c.Reason = b.ID, b.Epoch, b.Reason
	case *Cancel:
		c.JobID, c.JobCount, c.Reason = b.IDs[0], len(b.IDs), b.Reason
	case *Quarantine:
		c.Worker, c.Reason = b.Worker, b.Reason
	case *Restore:
		c.Worker, c.Reason = b.Worker, b.Reason
	}
	c.Reason = truncate(c.Reason, maxShortReasonBytes)
	return c
}

// history is a ring buffer of the latest changes.
type history struct {
	changes []Change
	// oldest is the index of the oldest change once the ring buffer is full.
	oldest int
}

func (h *history) add(c Change) {
	if len(h.changes) < maxHistory {
		h.changes = append(h.changes, c)
		return
	}
	h.changes[h.oldest] = c
	h.oldest = (h.oldest + 1) % maxHistory
}

// list returns a copy of the changes, oldest first.
func (h *history) list() []Change {
	return append(append(make([]Change, 0, len(h.changes)), h.changes[h.oldest:]...), h.changes[:h.oldest]...)
}

// changesFrom returns the changes at or after an offset, oldest first.
func (h *history) changesFrom(from record.Offset) []Change {
	all := h.list()
	i, _ := slices.BinarySearchFunc(all, from, func(c Change, o record.Offset) int { return int(c.Offset - o) })
	return all[i:]
}
