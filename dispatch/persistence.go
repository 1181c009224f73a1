package dispatch

import (
	"context"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"hibiscuslane.example/hibiscuslane/ledger"
	"hibiscuslane.example/hibiscuslane/platform"
	"hibiscuslane.example/hibiscuslane/queue"
	"hibiscuslane.example/hibiscuslane/task"
	"hibiscuslane.example/hibiscuslane/worker"
)

const (
	// keySeparator separates the kind of a ledger key from the id. A job is stored under two keys, its submission and the main
	// record of its progress, and one more for each part of the progress (see task.Job.PartCount).
	keySeparator        = "/"
	submissionKeyPrefix = "job/"
	progressKeyPrefix   = "run/"
	partKeyPrefix       = "part/"
	// extendedLeaseKeyPrefix is that of the ids of workers with an extended lease.
	extendedLeaseKeyPrefix = "lease/"
	// retentionMargin is added to StatusRetention before an ended job is deleted.
	retentionMargin = 30 * time.Second
	// maxWriteBytes is the size at which nothing more is added to a write of changed jobs. The ledger does not split a write.
	maxWriteBytes = 32 << 10
	// maxDropsPerWrite limits the number of ended jobs that one write deletes, with recordsPerDrop records each.
	maxDropsPerWrite = 200
	recordsPerDrop   = 2
)

// markDirty schedules a write of the job's progress, unless the job was withdrawn. The callbacks are called
// with its result.
func (d *Dispatcher) markDirty(j *job, callbacks ...func(error)) {
	j.forgetPendingSteps()
	if !j.dirty && !j.withdrawn {
		j.dirty = true
		d.dirtyJobs = append(d.dirtyJobs, j)
	}
	j.writeCallbacks = append(j.writeCallbacks, callbacks...)
	d.requestCycle()
}

// endAck identifies the ends, up to a number, that may be acknowledged to a worker once a write is stored.
type endAck struct {
	worker      *workerState
	incarnation worker.Incarnation
	number      worker.EndNumber
}

// writeDirtyJobs writes new jobs to the ledger and, unless earlier changes are still being written, all changes, and
// acknowledges run ends once they are stored. Changes that wait are written together: a job that changes several times
// during a slow append is written once.
func (d *Dispatcher) writeDirtyJobs() {
	if d.ledger == nil {
		return
	}
	var changed []*job
	for _, j := range d.dirtyJobs {
		switch {
		case j.withdrawn:
			j.dirty = false
			for _, callback := range takeWriteCallbacks([]*job{j}) {
				callback(&ledger.NotStoredError{})
			}
		case !j.submissionQueued:
			j.dirty = false
			j.pendingWrites++
			d.writeNewJob(j)
		default:
			changed = append(changed, j)
		}
	}
	d.dirtyJobs = changed
	if d.changesPending && !d.draining {
		return
	}
	acks := d.takeEndAcks()
	if len(changed) == 0 && len(acks) == 0 {
		return
	}
	d.dirtyJobs = nil
	d.writeChanges(changed, acks)
}

// takeEndAcks returns the run ends that were not passed to the ledger yet.
func (d *Dispatcher) takeEndAcks() []endAck {
	var acks []endAck
	for _, s := range d.workers {
		if s.reportedEnd > s.submittedEnd {
			s.submittedEnd = s.reportedEnd
			acks = append(acks, endAck{worker: s, incarnation: s.incarnation, number: s.reportedEnd})
		}
	}
	return acks
}

// writeChanges writes the progress of jobs, and acknowledges the run ends once all of it is stored.
func (d *Dispatcher) writeChanges(jobs []*job, acks []endAck) {
	d.changesPending = true
	var records []platform.Record
	var written []*job
	for i, j := range jobs {
		j.dirty = false
		j.pendingWrites++
		written = append(written, j)
		records = append(records, d.writeAllButLast(d.changedRecords(j))...)
		if i+1 < len(jobs) && sizeOf(records) < maxWriteBytes {
			continue
		}
		done, callbacks := written, takeWriteCallbacks(written)
		d.ledger.Write(records, func(err error) {
			d.mu.Lock()
			defer d.mu.Unlock()
			d.handleWriteResult(done, callbacks, err)
		})
		records, written = nil, nil
	}
	// A write without records is confirmed once all earlier writes are stored.
	d.ledger.Write(nil, func(err error) {
		d.mu.Lock()
		defer d.mu.Unlock()
		if err != nil {
			return
		}
		d.changesPending = false
		for _, a := range acks {
			d.markEndsStored(a)
		}
		d.requestCycle()
	})
}

// writeAllButLast writes records of a job until less than maxWriteBytes is left, and returns the rest. Each task lies in one record,
// so that a later owner can read a state of which only the first writes are stored; the ends in it are not acknowledged.
func (d *Dispatcher) writeAllButLast(records []platform.Record) []platform.Record {
	first, size := 0, 0
	for i, r := range records {
		size += r.Size()
		if size >= maxWriteBytes && i+1 < len(records) {
			d.ledger.Write(records[first:i+1], nil)
			first, size = i+1, 0
		}
	}
	return records[first:]
}

// sizeOf returns the number of bytes that the store counts for records.
func sizeOf(records []platform.Record) int {
	size := 0
	for _, r := range records {
		size += r.Size()
	}
	return size
}

// takeWriteCallbacks returns and clears the callbacks for the next write of the jobs.
func takeWriteCallbacks(jobs []*job) []func(error) {
	var callbacks []func(error)
	for _, j := range jobs {
		callbacks = append(callbacks, j.writeCallbacks...)
		j.writeCallbacks = nil
	}
	return callbacks
}

// handleWriteResult processes the result of a write and calls the callbacks.
func (d *Dispatcher) handleWriteResult(jobs []*job, callbacks []func(error), err error) {
	if err == nil {
		for _, j := range jobs {
			j.pendingWrites--
			d.deleteIfWithdrawn(j)
		}
	}
	for _, callback := range callbacks {
		callback(err)
	}
}

// writeNewJob writes a new job in such a way that the ledger may withdraw the write. If the store does not
// take it or it cannot be encoded, the job is withdrawn and its caller is refused.
func (d *Dispatcher) writeNewJob(j *job) {
	records := d.changedRecords(j)
	callbacks := takeWriteCallbacks([]*job{j})
	if len(records) == 0 || !d.canStore(records) {
		d.log.Info(eventEncodeFailed, "job", j.ID, "bytes", sizeOf(records))
		d.withdrawJob(j)
		d.handleWriteResult([]*job{j}, callbacks, &ledger.NotStoredError{Cause: &UnencodableJobError{Job: j.ID}})
		return
	}
	d.ledger.TryWrite(records, func(err error) {
		d.mu.Lock()
		defer d.mu.Unlock()
		if ledger.IsNotStored(err) {
			d.withdrawJob(j)
		}
		d.handleWriteResult([]*job{j}, callbacks, err)
		d.requestCycle()
	})
}

// withdrawJob removes a job that is not stored, and its runs.
func (d *Dispatcher) withdrawJob(j *job) {
	d.log.Info(eventJobWithdrawn, "job", j.ID, "queue", j.Queue)
	delete(d.jobs, j.ID)
	d.openJobs = slices.DeleteFunc(d.openJobs, func(o *job) bool { return o == j })
	j.withdrawn = true
	for _, r := range d.runs {
		if r.job == j {
			d.removeRun(r)
		}
	}
}

// deleteIfWithdrawn deletes what a later write has stored of a job that was withdrawn meanwhile. If the job was submitted again,
// the write of that submission follows and replaces it.
func (d *Dispatcher) deleteIfWithdrawn(j *job) {
	if j.withdrawn && d.jobs[j.ID] == nil {
		d.ledger.Write(deletionOf(j.ID), nil) // a job has no parts before it is stored
	}
}

// deletionOf returns the records that delete a job without parts.
func deletionOf(id task.JobID) []platform.Record {
	return []platform.Record{{Key: submissionKeyPrefix + string(id)}, {Key: progressKeyPrefix + string(id)}}
}

// changedRecords returns the ledger records to write for a job. The first call includes the submission; for
// a job that has ended, the submission and the parts are deleted.
func (d *Dispatcher) changedRecords(j *job) []platform.Record {
	isNew := !j.submissionQueued
	j.submissionQueued = true
	records, ok := d.encodeJob(j, isNew)
	if !ok {
		return records
	}
	if j.Outcome != "" {
		records = append(records, platform.Record{Key: submissionKeyPrefix + string(j.ID)})
		for n := range j.partHashes {
			records = append(records, platform.Record{Key: partKey(j.ID, n)})
		}
		j.partHashes = nil
		return records
	}
	records = append(d.changedParts(j), records...) // the main record of an earlier version holds all progress
	if isNew || d.canStore(records) {
		return records
	}
	d.log.Error(eventEncodeFailed, "job", j.ID, "error", &UnencodableJobError{Job: j.ID})
	d.finishJob(j, task.StateFailed, d.clock.Now())
	d.saveAndCloseIfEnded(j)
	return d.changedRecords(j)
}

// canStore reports whether the store accepts records of this size.
func (d *Dispatcher) canStore(records []platform.Record) bool {
	return !slices.ContainsFunc(records, func(r platform.Record) bool {
		return r.Size() > d.maxRecordBytes
	})
}

func partKey(id task.JobID, n int) string {
	return partKeyPrefix + string(id) + keySeparator + strconv.Itoa(n)
}

// changedParts returns the parts of the progress that differ from what was last passed to the ledger, and takes them for passed.
func (d *Dispatcher) changedParts(j *job) []platform.Record {
	var records []platform.Record
	for n := range j.PartCount() {
		data, ok := d.encodePart(j, n)
		hash, known := j.partHashes[n]
		if !ok || !known && len(data) == 0 || known && hash == xxhash.Sum64(data) {
			continue
		}
		j.recordPart(n, data)
		records = append(records, platform.Record{Key: partKey(j.ID, n), Value: data})
	}
	return records
}

// recordPart records a part that was passed to the ledger, where no data deletes it, or was read from it.
func (j *job) recordPart(n int, data []byte) {
	if len(data) == 0 {
		delete(j.partHashes, n)
		return
	}
	if j.partHashes == nil {
		j.partHashes = map[int]uint64{}
	}
	j.partHashes[n] = xxhash.Sum64(data)
}

// encodePart returns a part of the progress of a job, and false if it could not be encoded.
func (d *Dispatcher) encodePart(j *job, n int) ([]byte, bool) {
	data, err := j.EncodePart(n)
	if err != nil {
		d.log.Error(eventEncodeFailed, "job", j.ID, "part", n, "error", err)
	}
	return data, err == nil
}

// encodeJob returns the submission of a job, if wanted, which an unsubmitted job does not have, and the main record of its
// progress. It returns false if one of them could not be encoded.
func (d *Dispatcher) encodeJob(j *job, withSubmission bool) ([]platform.Record, bool) {
	var records []platform.Record
	if withSubmission && !j.Unsubmitted {
		data, err := j.EncodeSubmission()
		if err != nil {
			d.log.Error(eventEncodeFailed, "job", j.ID, "error", err)
			return nil, false
		}
		records = append(records, platform.Record{Key: submissionKeyPrefix + string(j.ID), Value: data})
	}
	d.recordKeptSince(j, d.clock.Now())
	data, err := j.EncodeProgress()
	if err != nil {
		d.log.Error(eventEncodeFailed, "job", j.ID, "error", err)
		return records, false
	}
	return append(records, platform.Record{Key: progressKeyPrefix + string(j.ID), Value: data}), true
}

// Snapshot returns the whole state for a new partition. It implements ledger.PartitionOwner. Writes that the ledger has
// not confirmed follow the snapshot and may hold an older state of a job. A job whose final state is not stored therefore
// keeps its submission, without which a later owner could not read such a state.
func (d *Dispatcher) Snapshot() []platform.Record {
	d.mu.Lock()
	defer d.mu.Unlock()
	var records []platform.Record
	for _, j := range d.jobs {
		if j.stored {
			isEnded := j.Outcome != "" && j.isDurable()
			jobRecords, _ := d.encodeJob(j, !isEnded) // encodeJob logs failures
			records = append(records, jobRecords...)
			records = append(records, d.allParts(j)...)
		}
	}
	for _, w := range d.maintenance.waves {
		if r, ok := d.encodeWave(w); ok {
			records = append(records, r)
		}
	}
	for id, r := range d.maintenance.orderRecords {
		records = append(records, r.encode(id))
	}
	for id, e := range d.extendedLeases {
		if e.stored {
			records = append(records, extendedLeaseRecord(id))
		}
	}
	return records
}

// allParts returns the parts of the progress of a job that has not ended.
func (d *Dispatcher) allParts(j *job) []platform.Record {
	if j.Outcome != "" {
		return nil
	}
	var records []platform.Record
	for n := range j.PartCount() {
		if data, ok := d.encodePart(j, n); ok && len(data) > 0 {
			records = append(records, platform.Record{Key: partKey(j.ID, n), Value: data})
		}
	}
	return records
}

// PublishPartition records the new partition of the ledger. It implements ledger.PartitionOwner.
func (d *Dispatcher) PublishPartition(ctx context.Context, partition int) error {
	return d.ownership.PublishPartition(ctx, d.epoch, partition)
}

// RecordAppend reports that the store has confirmed an append. It implements ledger.PartitionOwner.
func (d *Dispatcher) RecordAppend(sent time.Time) { d.ownership.RecordConfirmation(sent) }

// markEndsStored records that run ends are stored, and triggers the renewal that acknowledges them to the
// worker, unless the worker has restarted since.
func (d *Dispatcher) markEndsStored(a endAck) {
	if a.worker.incarnation != a.incarnation || a.number <= a.worker.storedEnd {
		return
	}
	a.worker.storedEnd = a.number
	a.worker.requestRenewal()
}

// restore restores the state from the records of the ledger.
func (d *Dispatcher) restore(l *ledger.Ledger, records []platform.Record) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.ledgerOpenedAt = d.clock.Now()
	submissions, progress, parts := map[task.JobID][]byte{}, map[task.JobID][]byte{}, map[task.JobID]map[int][]byte{}
	for _, r := range records {
		kind, id, _ := strings.Cut(r.Key, keySeparator)
		switch {
		case len(r.Value) == 0: // deleted
		case kind+keySeparator == submissionKeyPrefix:
			submissions[task.JobID(id)] = r.Value
		case kind+keySeparator == progressKeyPrefix:
			progress[task.JobID(id)] = r.Value
		case kind+keySeparator == partKeyPrefix:
			d.addPart(parts, id, r.Value)
		case kind+keySeparator == extendedLeaseKeyPrefix:
			d.restoreExtendedLease(worker.ID(id))
		case kind+keySeparator == waveKeyPrefix:
			d.restoreWave(r.Value)
		case kind+keySeparator == orderKeyPrefix:
			d.restoreOrderRecord(worker.MachineID(id), string(r.Value), d.ledgerOpenedAt)
		}
	}
	d.restoreJobs(submissions, progress, parts)
	d.startOwnerTime()
	d.ledger = l
	d.deleteOrphanedParts(parts)
	close(d.restored)
	d.log.Info(eventTermBegan, "epoch", d.epoch, "jobs", len(d.jobs), "open", len(d.openJobs), "runs", len(d.runs))
	d.requestCycle()
}

// addPart adds a stored part, whose key without the prefix is given, to those of its job.
func (d *Dispatcher) addPart(parts map[task.JobID]map[int][]byte, key string, data []byte) {
	id, number, _ := strings.Cut(key, keySeparator)
	n, err := strconv.Atoi(number)
	if err != nil {
		d.log.Error(eventDecodeFailed, "job", id, "error", err)
		return
	}
	if parts[task.JobID(id)] == nil {
		parts[task.JobID(id)] = map[int][]byte{}
	}
	parts[task.JobID(id)][n] = data
}

// deleteOrphanedParts deletes the parts of jobs that have ended: the earlier owner may have failed between the writes of the final
// state and of the deletions.
func (d *Dispatcher) deleteOrphanedParts(parts map[task.JobID]map[int][]byte) {
	var records []platform.Record
	for id, ofJob := range parts {
		if j := d.jobs[id]; j != nil && j.Outcome == "" {
			continue
		}
		for n := range ofJob {
			records = append(records, platform.Record{Key: partKey(id, n)})
		}
	}
	if rest := d.writeAllButLast(records); len(rest) > 0 {
		d.ledger.Write(rest, nil)
	}
}

// restoreJobs restores the stored jobs. Jobs without a submission have ended.
func (d *Dispatcher) restoreJobs(submissions, progress map[task.JobID][]byte, parts map[task.JobID]map[int][]byte) {
	for id, data := range submissions {
		restored, err := task.ParseSubmission(id, data)
		if err == nil && progress[id] != nil {
			err = restored.RestoreProgress(progress[id], slices.Collect(maps.Values(parts[id]))...)
		}
		delete(progress, id)
		if err != nil {
			d.log.Error(eventDecodeFailed, "job", id, "error", err)
			continue
		}
		j := d.restoreJob(restored)
		for n, data := range parts[id] {
			j.recordPart(n, data)
		}
	}
	for id, data := range progress {
		ended, err := task.ParseEndedJob(id, data)
		if err != nil {
			d.log.Error(eventDecodeFailed, "job", id, "error", err)
			continue
		}
		d.jobs[id] = &job{Job: ended, stored: true, submissionQueued: true}
	}
}

// restoreJob adds a stored job and the runs that earlier owners ordered for it.
func (d *Dispatcher) restoreJob(restored *task.Job) *job {
	policy := restored.Policy
	j := &job{Job: restored, stored: true, submissionQueued: true, queue: queue.Queue{
		Name: queue.Name(restored.Queue), Pool: restored.Pool, MaxAttempts: policy.MaxAttempts, Priority: policy.Priority,
		MaxStretch: policy.MaxStretch, LatencyAllowance: policy.LatencyAllowance, NeedsAdvice: policy.NeedsAdvice,
	}}
	d.jobs[j.ID] = j
	if j.Outcome != "" {
		return j
	}
	d.applyQueueConfig(j)
	d.namedPools[j.Pool] = true
	d.insertOpenJob(j)
	for k, occurrence := range j.Occurrences {
		for i := range occurrence.Steps {
			for n := range occurrence.Steps[i].Tasks {
				t := &occurrence.Steps[i].Tasks[n]
				for _, placement := range t.Placements {
					key := task.Key{Job: j.ID, Occurrence: k, Step: i, Task: n}
					d.restoreRun(j, key, placement)
				}
			}
		}
	}
	return j
}

// insertOpenJob adds a job to the open jobs, ordered by time of acceptance.
func (d *Dispatcher) insertOpenJob(j *job) {
	i := len(d.openJobs)
	for i > 0 && d.openJobs[i-1].AcceptedAt.After(j.AcceptedAt) {
		i--
	}
	d.openJobs = append(d.openJobs, nil)
	copy(d.openJobs[i+1:], d.openJobs[i:])
	d.openJobs[i] = j
}

// dropEndedJobs deletes ended jobs whose state no longer has to be retained. If the term of an owner ended while its
// ledger moved, the submission of an ended job may still be stored, and the job would run again without its progress.
func (d *Dispatcher) dropEndedJobs(now time.Time) {
	var records []platform.Record
	for id, j := range d.jobs {
		if !d.canDrop(j, now) || len(records) >= recordsPerDrop*maxDropsPerWrite {
			continue
		}
		records = append(records, deletionOf(id)...)
		delete(d.jobs, id)
	}
	if len(records) > 0 {
		d.ledger.Write(records, nil)
	}
}
