package dispatch

import (
	"context"
	"slices"
	"strings"
	"time"

	"hibiscuslane.example/hibiscuslane/ledger"
	"hibiscuslane.example/hibiscuslane/platform"
	"hibiscuslane.example/hibiscuslane/queue"
	"hibiscuslane.example/hibiscuslane/task"
	"hibiscuslane.example/hibiscuslane/worker"
)

// Keys of the ledger: the intake of a job and its progress.
const (
	// keyMark ends the kind of a key.
	keyMark     = "/"
	intakeKey   = "job/"
	progressKey = "run/"
	// dropSlack is added to the time that the state of a job is told before it is dropped.
	dropSlack = 30 * time.Second
	// maxDirty bounds the jobs in one write.
	maxDirty = 200
)

// mark notes that the progress of a job is to be stored. The functions are called with the outcome.
func (d *Dispatcher) mark(j *job, after ...func(error)) {
	if !j.dirty && !j.withdrawn {
		j.dirty = true
		d.dirty = append(d.dirty, j)
	}
	j.after = append(j.after, after...)
	d.wake()
}

// acks are the ends that may be acknowledged once a write is stored.
type ack struct {
	station *station
	birth   worker.Incarnation
	number  worker.EndNumber
}

// flush gives all changed jobs to the ledger, and acknowledges ends once they are stored.
func (d *Dispatcher) flush() {
	if d.ledger == nil {
		return
	}
	var acks []ack
	for _, s := range d.stations {
		if s.listedEnd > s.storing {
			s.storing = s.listedEnd
			acks = append(acks, ack{station: s, birth: s.birth, number: s.listedEnd})
		}
	}
	if len(d.dirty) == 0 && len(acks) == 0 {
		return
	}
	var records []platform.Record
	var written []*job
	for _, j := range d.dirty {
		j.dirty = false
		j.writing++
		if !j.intake {
			d.offer(j)
			continue
		}
		written = append(written, j)
		records = append(records, d.records(j)...)
	}
	d.dirty = d.dirty[:0]
	after := callbacks(written)
	d.ledger.Write(records, func(err error) {
		d.mu.Lock()
		defer d.mu.Unlock()
		d.written(written, after, err)
		if err != nil {
			return
		}
		for _, a := range acks {
			d.acknowledge(a)
		}
		d.wake()
	})
}

// callbacks returns what is to be called after the next write of the jobs.
func callbacks(jobs []*job) []func(error) {
	var after []func(error)
	for _, j := range jobs {
		after = append(after, j.after...)
		j.after = nil
	}
	return after
}

// written notes the outcome of a write.
func (d *Dispatcher) written(jobs []*job, after []func(error), err error) {
	if err == nil {
		for _, j := range jobs {
			j.writing--
		}
	}
	for _, f := range after {
		f(err)
	}
}

// offer gives a new job to the ledger. While the store does not take it, the job is withdrawn, so that its
// caller can be refused.
func (d *Dispatcher) offer(j *job) {
	records := d.records(j)
	after := callbacks([]*job{j})
	d.ledger.TryWrite(records, func(err error) {
		d.mu.Lock()
		defer d.mu.Unlock()
		if ledger.IsNotStored(err) {
			d.withdraw(j)
		}
		d.written([]*job{j}, after, err)
		d.wake()
	})
}

// withdraw forgets a job that is not stored.
func (d *Dispatcher) withdraw(j *job) {
	d.log.Info(eventWithdrawn, "job", j.ID, "queue", j.Queue)
	delete(d.jobs, j.ID)
	d.open = slices.DeleteFunc(d.open, func(o *job) bool { return o == j })
	j.withdrawn = true
	for _, r := range d.runs {
		if r.job == j {
			d.remove(r)
		}
	}
}

// records returns the stored form of what has changed in a job.
func (d *Dispatcher) records(j *job) []platform.Record {
	first := !j.intake
	j.intake = true
	records, ok := d.encode(j, first)
	if ok && j.Outcome != "" {
		records = append(records, platform.Record{Key: intakeKey + string(j.ID)})
	}
	return records
}

// encode returns the stored form of a job, with or without its intake. It reports whether that is complete.
func (d *Dispatcher) encode(j *job, withIntake bool) ([]platform.Record, bool) {
	var records []platform.Record
	if withIntake {
		data, err := j.EncodeSubmission()
		if err != nil {
			d.log.Error(eventEncode, "job", j.ID, "error", err)
			return nil, false
		}
		records = append(records, platform.Record{Key: intakeKey + string(j.ID), Value: data})
	}
	data, err := j.EncodeProgress()
	if err != nil {
		d.log.Error(eventEncode, "job", j.ID, "error", err)
		return records, false
	}
	return append(records, platform.Record{Key: progressKey + string(j.ID), Value: data}), true
}

// Snapshot implements ledger.PartitionOwner.
func (d *Dispatcher) Snapshot() []platform.Record {
	d.mu.Lock()
	defer d.mu.Unlock()
	var records []platform.Record
	for _, j := range d.jobs {
		if j.stored {
			whole, _ := d.encode(j, j.Outcome == "") // what cannot be encoded is logged
			records = append(records, whole...)
		}
	}
	for _, w := range d.upkeep.waves {
		if r, ok := d.waveRecord(w); ok {
			records = append(records, r)
		}
	}
	for id, r := range d.upkeep.recorded {
		records = append(records, r.encode(id))
	}
	return records
}

// PublishPartition implements ledger.PartitionOwner.
func (d *Dispatcher) PublishPartition(ctx context.Context, part int) error {
	return d.holder.PublishPartition(ctx, d.epoch, part)
}

// RecordAppend implements ledger.PartitionOwner.
func (d *Dispatcher) RecordAppend(sent time.Time) { d.holder.RecordConfirmation(sent) }

// acknowledge lets a session tell its worker that ends are stored.
func (d *Dispatcher) acknowledge(a ack) {
	if a.station.birth != a.birth || a.number <= a.station.stored {
		return
	}
	a.station.stored = a.number
	a.station.poke()
}

// restore takes over what the ledger holds.
func (d *Dispatcher) restore(l *ledger.Ledger, records []platform.Record) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.opened = d.clock.Now()
	intakes, progress := map[task.JobID][]byte{}, map[task.JobID][]byte{}
	for _, r := range records {
		kind, id, _ := strings.Cut(r.Key, keyMark)
		switch {
		case len(r.Value) == 0:
		case kind+keyMark == intakeKey:
			intakes[task.JobID(id)] = r.Value
		case kind+keyMark == progressKey:
			progress[task.JobID(id)] = r.Value
		case kind+keyMark == waveKey:
			d.restoreWave(r.Value)
		case kind+keyMark == orderKey:
			d.restoreOrder(worker.MachineID(id), string(r.Value), d.opened)
		}
	}
	d.restoreJobs(intakes, progress)
	d.ledger = l
	d.log.Info(eventOwner, "epoch", d.epoch, "jobs", len(d.jobs), "open", len(d.open), "runs", len(d.runs))
	d.wake()
}

// restoreJobs takes over the stored jobs. Those without an intake have ended.
func (d *Dispatcher) restoreJobs(intakes, progress map[task.JobID][]byte) {
	for id, data := range intakes {
		restored, err := task.ParseSubmission(id, data)
		if err == nil && progress[id] != nil {
			err = restored.RestoreProgress(progress[id])
		}
		delete(progress, id)
		if err != nil {
			d.log.Error(eventDecode, "job", id, "error", err)
			continue
		}
		d.adopt(restored)
	}
	for id, data := range progress {
		ended, err := task.ParseEndedJob(id, data)
		if err != nil {
			d.log.Error(eventDecode, "job", id, "error", err)
			continue
		}
		d.jobs[id] = &job{Job: ended, stored: true, intake: true}
	}
}

// adopt adds a stored job and the runs that its previous owner ordered.
func (d *Dispatcher) adopt(restored *task.Job) {
	policy := restored.Policy
	j := &job{Job: restored, stored: true, intake: true, queue: queue.Queue{
		Name: queue.Name(restored.Queue), Pool: restored.Pool, MaxAttempts: policy.MaxAttempts, Priority: policy.Priority,
		MaxStretch: policy.MaxStretch, LatencyAllowance: policy.LatencyAllowance, NeedsAdvice: policy.NeedsAdvice,
	}}
	d.jobs[j.ID] = j
	if j.Outcome != "" {
		return
	}
	d.route(j)
	d.insert(j)
	for k, pass := range j.Occurrences {
		for i := range pass.Steps {
			for n := range pass.Steps[i].Tasks {
				t := &pass.Steps[i].Tasks[n]
				for _, place := range t.Placements {
					key := task.Key{Job: j.ID, Occurrence: k, Step: i, Task: n}
					d.inherit(j, key, place)
				}
			}
		}
	}
}

// insert adds a job to the open ones, in the order of acceptance.
func (d *Dispatcher) insert(j *job) {
	i := len(d.open)
	for i > 0 && d.open[i-1].AcceptedAt.After(j.AcceptedAt) {
		i--
	}
	d.open = append(d.open, nil)
	copy(d.open[i+1:], d.open[i:])
	d.open[i] = j
}

// drop forgets jobs whose state need no longer be told.
func (d *Dispatcher) drop(now time.Time) {
	var records []platform.Record
	for id, j := range d.jobs {
		if j.Outcome == "" || now.Sub(j.EndedAt) < d.bounds.StatusRetention+dropSlack || len(records) >= maxDirty {
			continue
		}
		records = append(records, platform.Record{Key: progressKey + string(id)})
		delete(d.jobs, id)
	}
	if len(records) > 0 {
		d.ledger.Write(records, nil)
	}
}
