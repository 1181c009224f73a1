package job

import (
	"context"
	"errors"
	"time"

	"golang.org/x/sync/errgroup"

	"hibiscuslane.example/hibiscuslane/instance"
	"hibiscuslane.example/hibiscuslane/upstream"
)

const (
	// LeaseDuration is the time for which a worker runs a task without a renewal.
	LeaseDuration = 10 * time.Second
	// renewPeriod is the time between two renewals. Two may fail before a lease expires, and another
	// entry has the time to take over from one that died.
	renewPeriod = 3 * time.Second
	pollPeriod  = time.Second
	// lapseAfter is the time without contact to a worker after which its attempts lapse. A previous owner
	// may renew until it learns of its successor (3 s) and its last call ends; the lease runs from there.
	lapseAfter = 2 * LeaseDuration
	// fullPatience is the time for which a start is repeated that the worker refuses as full. Tasks that
	// were cancelled or evicted may take that long to end.
	fullPatience = 5 * time.Second
)

// work starts a goroutine for each worker of this entry that has something to do.
func (r *Runner) work(ctx context.Context) {
	now := r.Timer.Now()
	ids := map[instance.ID]bool{}
	for _, id := range r.State.WorkersWithActiveJobs() {
		ids[id] = true
	}
	r.shards.busy(ids)
	r.shards.keep(ids)
	for id := range ids {
		w := r.shards.get(id)
		if !w.begin(now, r.Ranker.Rank("worker/"+string(id)) == 0, w.fresh(r.State.ActiveJobs(id))) {
			continue
		}
		r.tasks.Go(func() {
			defer w.end()
			if r.slots.Acquire(ctx, 1) != nil {
				return
			}
			defer r.slots.Release(1)
			r.serve(ctx, id, w)
		})
	}
}

// visit is one round of work on one worker.
type visit struct {
	*shard
	id     instance.ID
	worker upstream.Worker
	held   []Job
	// reports holds what the worker has reported in this round.
	reports map[ID]upstream.TaskStatus
}

// serve polls a worker, renews its leases, and acts on what its tasks have become.
func (r *Runner) serve(ctx context.Context, id instance.ID, w *shard) {
	// The state is read before the worker: what the state says to be running was accepted by the worker
	// before the poll.
	v := &visit{shard: w, id: id, held: r.State.ActiveJobs(id)}
	w.forget(v.held)
	i, known := r.Fleet.Instance(id)
	if known {
		v.worker = r.Dial(i.Address)
	} else {
		w.lost()
	}
	v.held = r.outlived(ctx, i.Incarnation, v.held)
	if v.worker == nil || !r.poll(ctx, v) {
		r.lapseOverdue(ctx, v)
		return
	}
	var group errgroup.Group
	group.SetLimit(taskLimit)
	r.renew(ctx, v, &group)
	// Records wait for the log, possibly for long, so the renewals come first.
	_ = group.Wait()
	if r.openSince().IsZero() {
		return
	}
	for _, j := range v.held {
		group.Go(func() error {
			r.advance(ctx, v, j)
			return nil
		})
	}
	r.stopOrphans(ctx, v, &group)
	_ = group.Wait()
}

// outlived lapses the attempts of earlier incarnations, which have ended with them, and returns the
// others.
func (r *Runner) outlived(ctx context.Context, current instance.Incarnation, held []Job) []Job {
	var rest []Job
	for _, j := range held {
		if j.Placement.Incarnation >= current {
			rest = append(rest, j)
			continue
		}
		if !r.openSince().IsZero() {
			r.lapse(ctx, j, "the worker was rebooted")
		}
	}
	return rest
}

func (r *Runner) lapse(ctx context.Context, j Job, reason string) {
	r.propose(ctx, &Abandon{AttemptID: j.attempt(), Reason: reason})
}

// poll reads the tasks of a worker and reports whether it answered.
func (r *Runner) poll(ctx context.Context, v *visit) bool {
	ctx, cancel := r.Timer.WithTimeout(ctx, callTimeout)
	defer cancel()
	tasks, err := v.worker.Tasks(ctx)
	now := r.Timer.Now()
	v.mu.Lock()
	defer v.mu.Unlock()
	v.polled = now
	if err != nil {
		if !v.failing {
			r.Events.Warn(eventCallFailed, "worker", v.id, "error", err)
		}
		v.failing = true
		return false
	}
	if v.failing {
		r.Events.Info(eventWorkerReturned, "worker", v.id)
	}
	v.failing = false
	v.reached = now
	v.reports = merge(v.shard.reports, tasks)
	v.shard.reports = v.reports
	return true
}

// merge returns the reports with the highest usage seen of each attempt.
func merge(old map[ID]upstream.TaskStatus, tasks []upstream.TaskStatus) map[ID]upstream.TaskStatus {
	reports := make(map[ID]upstream.TaskStatus, len(tasks))
	for _, t := range tasks {
		if before, ok := old[ID(t.Task)]; ok && before.Epoch == t.Epoch {
			t.Cores = max(t.Cores, before.Cores)
			t.Memory = max(t.Memory, before.Memory)
		}
		reports[ID(t.Task)] = t
	}
	return reports
}

// renew extends the leases of the current attempts that run on the worker. It does so from an old state
// too: while the log is down no attempt can lapse, and running jobs continue.
func (r *Runner) renew(ctx context.Context, v *visit, group *errgroup.Group) {
	now := r.Timer.Now()
	v.mu.Lock()
	due := now.Sub(v.renewed) >= renewPeriod
	if due {
		v.renewed = now
	}
	v.mu.Unlock()
	if !due {
		return
	}
	for _, j := range v.held {
		if report, ok := v.reports[j.ID]; !ok || report.Epoch != j.Epoch || report.State != upstream.TaskRunning {
			continue
		}
		group.Go(func() error {
			_ = r.call(ctx, v.id, func(ctx context.Context) error {
				return v.worker.Renew(ctx, upstream.TaskID(j.ID), j.Epoch, LeaseDuration)
			})
			return nil
		})
	}
}

// call calls a worker and returns the error.
func (r *Runner) call(ctx context.Context, id instance.ID, do func(context.Context) error) error {
	ctx, cancel := r.Timer.WithTimeout(ctx, callTimeout)
	defer cancel()
	err := do(ctx)
	if err != nil {
		r.Events.Debug(eventCallFailed, "worker", id, "error", err)
	}
	return err
}

// lapseOverdue lapses the attempts on a worker that was not reached for so long that their leases have
// expired. The time counts only while the state was recent and this entry had the lowest rank: before,
// others may have renewed the leases.
func (r *Runner) lapseOverdue(ctx context.Context, v *visit) {
	since := r.openSince()
	if since.IsZero() {
		return
	}
	v.mu.Lock()
	for _, t := range []time.Time{v.owned, v.reached} {
		if t.After(since) {
			since = t
		}
	}
	v.mu.Unlock()
	if r.Timer.Now().Sub(since) < lapseAfter {
		return
	}
	for _, j := range v.held {
		r.lapse(ctx, j, "the worker was not reached until its lease had expired")
	}
}

// advance acts on what an attempt has become.
func (r *Runner) advance(ctx context.Context, v *visit, j Job) {
	report, ok := v.reports[j.ID]
	switch {
	case ok && report.Epoch > j.Epoch:
		// The state of this entry is behind.
	case ok && report.Epoch == j.Epoch && report.State != upstream.TaskRunning:
		r.finish(ctx, j, report)
	case ok && report.Epoch == j.Epoch:
		if j.Status == StatusPlaced {
			r.propose(ctx, &Start{AttemptID: j.attempt()})
		}
	case j.Status == StatusRunning:
		r.lapse(ctx, j, "the worker no longer reports the task")
	default:
		r.start(ctx, v, j)
	}
}

func (r *Runner) finish(ctx context.Context, j Job, report upstream.TaskStatus) {
	r.propose(ctx, &Finish{
		AttemptID: j.attempt(), State: report.State, Output: cut(report.Output, MaxOutputBytes), Reason: cut(report.Reason, maxReason),
		Cores: report.Cores, Memory: report.Memory,
	})
}

// start calls the worker to start a placed attempt that it does not report. A repeated call is harmless,
// because the worker starts an epoch once.
func (r *Runner) start(ctx context.Context, v *visit, j Job) {
	before, tried := v.started(j.attempt())
	if tried && r.giveUp(ctx, j, before) {
		return
	}
	if r.openSince().IsZero() {
		return
	}
	now := r.Timer.Now()
	err := r.call(ctx, v.id, func(ctx context.Context) error { return v.worker.Start(ctx, task(j)) })
	var refused *upstream.RefusedError
	if errors.As(err, &refused) {
		v.note(j.attempt(), now, refused.Refusal)
		return
	}
	v.note(j.attempt(), now, "")
	if err == nil {
		r.propose(ctx, &Start{AttemptID: j.attempt()})
	}
}

func task(j Job) upstream.Task {
	return upstream.Task{
		Task: upstream.TaskID(j.ID), Epoch: j.Epoch, Incarnation: j.Placement.Incarnation, Lease: LeaseDuration.Milliseconds(),
		Cores: j.Placement.Cores, Memory: j.Placement.Memory, Accelerators: j.Placement.Accelerators,
		Command: j.Command, Input: j.Input,
	}
}

// giveUp ends an attempt that the worker has refused to start and, in a later poll, does not report. It
// reports whether it did.
func (r *Runner) giveUp(ctx context.Context, j Job, before startState) bool {
	switch before.refused {
	case "":
		return false
	case upstream.RefusedFull:
		if r.Timer.Now().Sub(before.first) < fullPatience {
			return false
		}
	case upstream.RefusedInvalid:
		return r.propose(ctx, &Finish{AttemptID: j.attempt(), State: upstream.TaskFailed, Reason: "the worker refused the task as invalid"})
	default:
		// Any other refusal is final for this epoch and incarnation.
	}
	r.lapse(ctx, j, "the worker refused the task: "+string(before.refused))
	return true
}

// stopOrphans stops the running tasks that are not the current attempt of their job, such as those of
// cancelled jobs. A task whose job is not known here may belong to a submit that was not read yet; if
// not, its lease expires.
func (r *Runner) stopOrphans(ctx context.Context, v *visit, group *errgroup.Group) {
	for id, report := range v.reports {
		if report.State != upstream.TaskRunning {
			continue
		}
		j, ok := r.State.Job(id)
		if !ok || report.Epoch > j.Epoch || (report.Epoch == j.Epoch && !j.Status.IsFinal() && j.Status != StatusQueued) {
			continue
		}
		group.Go(func() error {
			r.Events.Info(eventOrphan, "worker", v.id, "job", id, "epoch", report.Epoch, "status", j.Status)
			_ = r.call(ctx, v.id, func(ctx context.Context) error {
				return v.worker.Stop(ctx, upstream.TaskID(id), report.Epoch)
			})
			return nil
		})
	}
}

// evict makes an attempt give way, and records its end at once, since an urgent job waits for it.
func (r *Runner) evict(ctx context.Context, e EvictionProposal) {
	i, known := r.Fleet.Instance(e.Worker)
	j, current := r.State.Job(e.ID)
	if !known || !current || j.attempt() != e.AttemptID || r.openSince().IsZero() {
		return
	}
	worker := r.Dial(i.Address)
	err := r.call(ctx, e.Worker, func(ctx context.Context) error { return giveWay(ctx, worker, e) })
	var refused *upstream.RefusedError
	if err != nil && !errors.As(err, &refused) {
		return
	}
	r.shards.get(e.Worker).noteEviction(e.AttemptID, r.Timer.Now(), EvictionResult{Method: e.Method, Refused: err != nil})
	if err != nil || e.Method == EvictByThrottle {
		return
	}
	r.Events.Info(eventEvicted, "job", e.ID, "epoch", e.Epoch, "verb", e.Method, "urgent", e.UrgentJob)
	ctx, cancel := r.Timer.WithTimeout(ctx, callTimeout)
	defer cancel()
	tasks, err := worker.Tasks(ctx)
	if err != nil {
		return
	}
	for _, t := range tasks {
		if ID(t.Task) == e.ID && t.Epoch == e.Epoch && t.State != upstream.TaskRunning {
			r.finish(ctx, j, t)
		}
	}
}

func giveWay(ctx context.Context, worker upstream.Worker, e EvictionProposal) error {
	switch id := upstream.TaskID(e.ID); e.Method {
	case EvictByCheckpoint:
		return worker.Checkpoint(ctx, id, e.Epoch)
	case EvictByThrottle:
		return worker.Throttle(ctx, id, e.Epoch)
	case EvictByStop:
		return worker.Stop(ctx, id, e.Epoch)
	}
	return nil
}
