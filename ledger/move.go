package ledger

import (
	"context"
	"time"

	"hibiscuslane.example/hibiscuslane/platform"
)

// PartitionOwner is the owner of a ledger that moves to another partition while its own is away. Outages may take
// some of the partitions only.
type PartitionOwner interface {
	// Snapshot returns all records that must last, without those of an Offer that has no outcome.
	Snapshot() []platform.Record
	// PublishPartition names the partition to later owners. It returns nil only once that is in force, and an error only
	// if it never will be or the tenure ends.
	PublishPartition(ctx context.Context, part int) error
	// RecordAppend is called after an append with the time at which it was sent: no later owner had opened the
	// ledger by then.
	RecordAppend(sent time.Time)
}

// AllowMoves lets the ledger move. It is called before Run.
func (l *Ledger) AllowMoves(m PartitionOwner) { l.mover = m }

// move writes a snapshot to another partition and makes it the ledger's. It reports whether it has.
func (l *Ledger) move(ctx context.Context) bool {
	if l.mover == nil {
		return false
	}
	tries := 0
	for i := 1; i < Partitions && tries < moveTries; i++ {
		part := (l.part + i) % Partitions
		if l.visited[part] {
			continue
		}
		tries++
		target := &Ledger{store: l.store, topic: l.topic, part: part, clock: l.clock, log: l.log, epoch: l.epoch, mover: l.mover}
		stale, err := target.open(ctx, probeTimeout)
		if err == nil {
			return l.moveTo(ctx, target, stale)
		}
		l.log.Info(eventMoveFailed, "part", part, "error", err)
	}
	return false
}

// moveTo moves to a partition that answers and holds stale records of an earlier stay.
func (l *Ledger) moveTo(ctx context.Context, target *Ledger, stale []platform.Record) bool {
	began := l.clock.Now()
	l.visited[target.part] = true
	records := l.mover.Snapshot()
	err := target.fill(ctx, records, stale)
	if err == nil {
		err = l.mover.PublishPartition(ctx, target.part)
	}
	if err != nil {
		l.log.Warn(eventMoveFailed, "part", target.part, "error", err)
		return false
	}
	l.log.Info(eventMoved, "from", l.part, "to", target.part, "records", len(records), "stale", len(stale), "took", l.clock.Since(began))
	l.part, l.next = target.part, target.next
	return true
}

// fill replaces the stale records of a partition by a snapshot.
func (l *Ledger) fill(ctx context.Context, snapshot, stale []platform.Record) error {
	kept := map[string]bool{}
	for _, r := range snapshot {
		kept[r.Key] = true
	}
	var records []platform.Record
	for _, r := range stale {
		if !kept[r.Key] {
			records = append(records, platform.Record{Key: r.Key})
		}
	}
	records = append(records, snapshot...)
	for len(records) > 0 {
		size, n := 0, 0
		for n < len(records) && size < maxBytes {
			size += len(records[n].Key) + len(records[n].Value)
			n++
		}
		l.next++
		if err := l.send(ctx, records[:n]); err != nil {
			return err
		}
		records = records[n:]
	}
	return nil
}
