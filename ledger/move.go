package ledger

import (
	"context"
	"time"

	"hibiscuslane.example/hibiscuslane/platform"
)

// PartitionOwner is the owner of a ledger that moves to another partition while its current one is
// unavailable. An outage of the store may affect only some partitions.
type PartitionOwner interface {
	// Snapshot returns all records that must be kept, without those of a TryWrite that has no outcome yet.
	Snapshot() []platform.Record
	// PublishPartition makes the partition known to later owners. It returns nil only once that has taken
	// effect. After an error it may still take effect, so that the ledger must not write to any partition.
	PublishPartition(ctx context.Context, partition int) error
	// RecordAppend is called after a successful append with the time at which it was sent. At that time no later
	// owner had opened the ledger.
	RecordAppend(sent time.Time)
}

// AllowMoves lets the ledger move between partitions. It must be called before Run.
func (l *Ledger) AllowMoves(owner PartitionOwner) { l.partitionOwner = owner }

// tryMove moves the ledger to another partition and reports whether it succeeded. An error ends the ledger.
func (l *Ledger) tryMove(ctx context.Context) (bool, error) {
	if l.partitionOwner == nil {
		return false, nil
	}
	attempts := 0
	for i := 1; i < Partitions && attempts < maxMoveAttempts; i++ {
		partition := (l.partition + i) % Partitions
		if l.usedPartitions[partition] {
			continue
		}
		attempts++
		destination := &Ledger{store: l.store, topic: l.topic, partition: partition, clock: l.clock, log: l.log, epoch: l.epoch, partitionOwner: l.partitionOwner}
		stale, err := destination.fence(ctx, probeTimeout)
		if err == nil {
			return l.moveTo(ctx, destination, stale)
		}
		l.log.Info(eventMoveFailed, "part", partition, "error", err)
	}
	return false, nil
}

// moveTo moves the ledger to an available partition. The stale records are those of earlier use that the
// partition still holds. It reports whether the move succeeded; the ledger stays where it is if the snapshot cannot be
// written. An error reports that later owners may open either partition.
func (l *Ledger) moveTo(ctx context.Context, destination *Ledger, stale []platform.Record) (bool, error) {
	began := l.clock.Now()
	l.usedPartitions[destination.partition] = true
	records := l.partitionOwner.Snapshot()
	if err := destination.writeSnapshot(ctx, records, stale); err != nil {
		l.log.Warn(eventMoveFailed, "part", destination.partition, "error", err)
		return false, nil
	}
	if err := l.partitionOwner.PublishPartition(ctx, destination.partition); err != nil {
		l.log.Warn(eventMoveUncertain, "from", l.partition, "to", destination.partition, "error", err)
		return false, err
	}
	l.log.Info(eventMoved, "from", l.partition, "to", destination.partition, "records", len(records), "stale", len(stale), "took", l.clock.Since(began))
	l.partition, l.sequence = destination.partition, destination.sequence
	return true, nil
}

// writeSnapshot replaces the stale records of a partition by a snapshot.
func (l *Ledger) writeSnapshot(ctx context.Context, snapshot, stale []platform.Record) error {
	kept := map[string]bool{}
	for _, r := range snapshot {
		kept[r.Key] = true
	}
	var records []platform.Record
	for _, r := range stale {
		if !kept[r.Key] {
			records = append(records, platform.Record{Key: r.Key}) // deletes the key
		}
	}
	records = append(records, snapshot...)
	for len(records) > 0 {
		size, n := 0, 0
		for n < len(records) && size < maxAppendBytes {
			size += len(records[n].Key) + len(records[n].Value)
			n++
		}
		l.sequence++
		if err := l.appendOnce(ctx, records[:n]); err != nil {
			return err
		}
		records = records[n:]
	}
	return nil
}
