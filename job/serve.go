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
	// renewPeriod is the time between two renewals. Two renewals may fail before a lease expires, and
	// another entry has time to take over from one that has crashed.
	renewPeriod = 3 * time.Second
	// pollPeriod is the time between two polls of a worker that has no attempt to start.
	pollPeriod = time.Second
	// abandonAfter is the time without contact to a worker after which its attempts are abandoned. The
	// previous owner may renew leases until it learns of its successor (3 s) and its last call ends, and
	// the lease runs from that last renewal.
	abandonAfter = 2 * LeaseDuration
	// refusedFullTimeout is how long a start is retried while the worker refuses it because it is full.
	// Cancelled or evicted tasks may take that long to end.
	refusedFullTimeout = 5 * time.Second
)

// serveWorkers starts a goroutine for each worker that this entry owns and that needs calls.
func (r *Runner) serveWorkers(ctx context.Context) {
	now := r.Timer.Now()
	ids := map[instance.ID]bool{}
	for _, id := range r.State.WorkersWithActiveJobs() {
		ids[id] = true
	}
	r.workerStates.addPossiblyRunning(ids)
	r.workerStates.retain(ids)
	for id := range ids {
		w := r.workerStates.get(id)
		if !w.tryAcquire(now, r.Ranker.Rank("worker/"+string(id)) == 0, w.hasUnstartedAttempt(r.State.ActiveJobs(id))) {
			continue
		}
		r.goroutines.Go(func() {
			defer w.release()
			if r.workerSlots.Acquire(ctx, 1) != nil {
				return
			}
			defer r.workerSlots.Release(1)
			r.serveWorker(ctx, id, w)
		})
	}
}

// workerRound is the state of one round of calls to a worker.
type workerRound struct {
	*workerState
	id     instance.ID
	client upstream.Worker
	jobs   []Job
	// reports holds the reports that the worker returned in this round.
	reports map[ID]upstream.TaskStatus
}

// serveWorker polls a worker, renews the leases of its tasks, and reconciles its attempts with what it
// reports.
func (r *Runner) serveWorker(ctx context.Context, id instance.ID, w *workerState) {
	// The state is read before the worker is polled, so the poll reflects every task that the state
	// knows as running.
	round := &workerRound{workerState: w, id: id, jobs: r.State.ActiveJobs(id)}
	w.trackAttempts(r.Timer.Now(), round.jobs)
	inst, known := r.Fleet.Instance(id)
	if known {
		round.client = r.Dial(inst.Address)
	} else {
		w.clearReports()
	}
	round.jobs = r.abandonEarlierIncarnations(ctx, inst.Incarnation, round.jobs)
	if round.client == nil || !r.poll(ctx, round) {
		r.abandonOverdue(ctx, round)
		return
	}
	var group errgroup.Group
	group.SetLimit(maxCallsPerWorker)
	r.renewLeases(ctx, round, &group)
	// Appending records may wait long for the log, so the renewals come first.
	_ = group.Wait()
	if r.recentSince().IsZero() {
		return
	}
	for _, j := range round.jobs {
		group.Go(func() error {
			r.reconcileAttempt(ctx, round, j)
			return nil
		})
	}
	r.stopOrphans(ctx, round, &group)
	_ = group.Wait()
}

// abandonEarlierIncarnations abandons the attempts of earlier incarnations of the worker, whose tasks
// ended with the reboot, and returns the other jobs.
func (r *Runner) abandonEarlierIncarnations(ctx context.Context, incarnation instance.Incarnation, jobs []Job) []Job {
	var remaining []Job
	for _, j := range jobs {
		if j.Placement.Incarnation >= incarnation {
			remaining = append(remaining, j)
			continue
		}
		if !r.recentSince().IsZero() {
			r.abandon(ctx, j, "the worker was rebooted")
		}
	}
	return remaining
}

func (r *Runner) abandon(ctx context.Context, j Job, reason string) {
	r.propose(ctx, &Abandon{AttemptID: j.attemptID(), Reason: reason})
}

// poll reads the task reports of a worker and returns whether the worker answered.
func (r *Runner) poll(ctx context.Context, round *workerRound) bool {
	ctx, cancel := r.Timer.WithTimeout(ctx, callTimeout)
	defer cancel()
	tasks, err := round.client.Tasks(ctx)
	now := r.Timer.Now()
	round.mu.Lock()
	defer round.mu.Unlock()
	round.lastPoll = now
	if err != nil {
		if !round.unreachable {
			r.Events.Warn(eventCallFailed, "worker", round.id, "error", err)
		}
		round.unreachable = true
		return false
	}
	if round.unreachable {
		r.Events.Info(eventWorkerReturned, "worker", round.id)
	}
	round.unreachable = false
	round.lastContact = now
	round.reports = mergeReports(round.workerState.reports, tasks)
	round.workerState.reports = round.reports
	return true
}

// mergeReports returns the new reports with the highest usage reported so far for each attempt.
func mergeReports(old map[ID]upstream.TaskStatus, tasks []upstream.TaskStatus) map[ID]upstream.TaskStatus {
	reports := make(map[ID]upstream.TaskStatus, len(tasks))
	for _, t := range tasks {
		if before, ok := old[ID(t.ID)]; ok && before.Epoch == t.Epoch {
			t.Cores = max(t.Cores, before.Cores)
			t.Memory = max(t.Memory, before.Memory)
		}
		reports[ID(t.ID)] = t
	}
	return reports
}

// renewLeases extends the leases of the current attempts that run on the worker. It does so from an
// outdated state too: while the log is down no attempt can be abandoned, and running jobs continue.
func (r *Runner) renewLeases(ctx context.Context, round *workerRound, group *errgroup.Group) {
	now := r.Timer.Now()
	round.mu.Lock()
	due := now.Sub(round.lastRenewal) >= renewPeriod
	if due {
		round.lastRenewal = now
	}
	round.mu.Unlock()
	if !due {
		return
	}
	for _, j := range round.jobs {
		if report, ok := round.reports[j.ID]; !ok || report.Epoch != j.Epoch || report.State != upstream.TaskRunning {
			continue
		}
		group.Go(func() error {
			_ = r.callWorker(ctx, round.id, func(ctx context.Context) error {
				return round.client.Renew(ctx, upstream.TaskID(j.ID), j.Epoch, LeaseDuration)
			})
			return nil
		})
	}
}

// callWorker calls a worker with a timeout and logs an error.
func (r *Runner) callWorker(ctx context.Context, id instance.ID, call func(context.Context) error) error {
	ctx, cancel := r.Timer.WithTimeout(ctx, callTimeout)
	defer cancel()
	err := call(ctx)
	if err != nil {
		r.Events.Debug(eventCallFailed, "worker", id, "error", err)
	}
	return err
}

// abandonOverdue abandons the attempts on a worker that has been unreachable, or not in the fleet, for so long
// that their leases have expired. The time counts only while the state is recent and this entry has the lowest
// rank, because other entries may have renewed the leases before, and only from the placement of the attempt on.
func (r *Runner) abandonOverdue(ctx context.Context, round *workerRound) {
	since := r.recentSince()
	if since.IsZero() {
		return
	}
	round.mu.Lock()
	for _, t := range []time.Time{round.ownedSince, round.lastContact} {
		if t.After(since) {
			since = t
		}
	}
	firstSeen := round.firstSeen
	round.mu.Unlock()
	now := r.Timer.Now()
	for _, j := range round.jobs {
		if now.Sub(since) < abandonAfter || now.Sub(firstSeen[j.attemptID()]) < abandonAfter {
			continue
		}
		r.abandon(ctx, j, "the worker was not reached until its lease had expired")
	}
}

// reconcileAttempt compares an attempt with the report of the worker and records the start or the end of
// its task, abandons it, or starts it.
func (r *Runner) reconcileAttempt(ctx context.Context, round *workerRound, j Job) {
	report, ok := round.reports[j.ID]
	switch {
	case ok && report.Epoch > j.Epoch:
		// The state of this entry is behind: a later attempt already runs.
	case ok && report.Epoch == j.Epoch && report.State != upstream.TaskRunning:
		r.recordFinish(ctx, j, report)
	case ok && report.Epoch == j.Epoch:
		if j.Status == StatusPlaced {
			r.propose(ctx, &Start{AttemptID: j.attemptID()})
		}
	case j.Status == StatusRunning:
		r.abandon(ctx, j, "the worker no longer reports the task")
	default:
		r.startTask(ctx, round, j)
	}
}

func (r *Runner) recordFinish(ctx context.Context, j Job, report upstream.TaskStatus) {
	r.propose(ctx, &Finish{
		AttemptID: j.attemptID(), State: report.State, Output: truncate(report.Output, MaxOutputBytes), Reason: truncate(report.Reason, maxReasonBytes),
		Cores: report.Cores, Memory: report.Memory,
	})
}

// startTask asks the worker to start a placed attempt that it does not report. The call can be repeated
// safely, because a worker starts each epoch only once.
func (r *Runner) startTask(ctx context.Context, round *workerRound, j Job) {
	calls, called := round.startCalls(j.attemptID())
	if called && r.abandonIfRefused(ctx, j, calls) {
		return
	}
	if r.recentSince().IsZero() {
		return
	}
	now := r.Timer.Now()
	err := r.callWorker(ctx, round.id, func(ctx context.Context) error { return round.client.Start(ctx, newTask(j)) })
	var refused *upstream.RefusedError
	if errors.As(err, &refused) {
		round.recordStartCall(j.attemptID(), now, refused.Refusal)
		return
	}
	round.recordStartCall(j.attemptID(), now, "")
	if err == nil {
		r.propose(ctx, &Start{AttemptID: j.attemptID()})
	}
}

func newTask(j Job) upstream.Task {
	return upstream.Task{
		ID: upstream.TaskID(j.ID), Epoch: j.Epoch, Incarnation: j.Placement.Incarnation, LeaseMS: LeaseDuration.Milliseconds(),
		Cores: j.Placement.Cores, Memory: j.Placement.Memory, Accelerators: j.Placement.Accelerators,
		Command: j.Command, Input: j.Input,
	}
}

// abandonIfRefused ends an attempt that the worker has refused to start and does not report in a later
// poll. It returns false if the worker is to be asked again.
func (r *Runner) abandonIfRefused(ctx context.Context, j Job, calls startCalls) bool {
	switch calls.refusal {
	case "":
		return false
	case upstream.RefusedFull:
		if r.Timer.Now().Sub(calls.firstCall) < refusedFullTimeout {
			return false
		}
	case upstream.RefusedInvalid:
		return r.propose(ctx, &Finish{AttemptID: j.attemptID(), State: upstream.TaskFailed, Reason: "the worker refused the task as invalid"})
	default:
		// Any other refusal is final for this epoch and incarnation.
	}
	r.abandon(ctx, j, "the worker refused the task: "+string(calls.refusal))
	return true
}

// stopOrphans stops the running tasks that are not the current attempt of their job, such as those of
// cancelled jobs. A task of an unknown job is left alone, because its submit may not have been read yet.
// If there is no submit, the lease of the task expires.
func (r *Runner) stopOrphans(ctx context.Context, round *workerRound, group *errgroup.Group) {
	for id, report := range round.reports {
		if report.State != upstream.TaskRunning {
			continue
		}
		j, ok := r.State.Job(id)
		if !ok || report.Epoch > j.Epoch || (report.Epoch == j.Epoch && !j.Status.IsFinal() && j.Status != StatusQueued) {
			continue
		}
		group.Go(func() error {
			r.Events.Info(eventOrphanStopped, "worker", round.id, "job", id, "epoch", report.Epoch, "status", j.Status)
			_ = r.callWorker(ctx, round.id, func(ctx context.Context) error {
				return round.client.Stop(ctx, upstream.TaskID(id), report.Epoch)
			})
			return nil
		})
	}
}

// evict asks a worker to evict an attempt. If the attempt has to end, evict polls the worker and records
// the end at once, since an urgent job is waiting for the resources.
func (r *Runner) evict(ctx context.Context, e EvictionProposal) {
	inst, known := r.Fleet.Instance(e.Worker)
	j, exists := r.State.Job(e.ID)
	if !known || !exists || j.attemptID() != e.AttemptID || r.recentSince().IsZero() {
		return
	}
	worker := r.Dial(inst.Address)
	err := r.callWorker(ctx, e.Worker, func(ctx context.Context) error { return requestEviction(ctx, worker, e) })
	var refused *upstream.RefusedError
	if err != nil && !errors.As(err, &refused) {
		return
	}
	r.workerStates.get(e.Worker).recordEviction(e.AttemptID, r.Timer.Now(), EvictionResult{Method: e.Method, Refused: err != nil})
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
		if ID(t.ID) == e.ID && t.Epoch == e.Epoch && t.State != upstream.TaskRunning {
			r.recordFinish(ctx, j, t)
		}
	}
}

func requestEviction(ctx context.Context, worker upstream.Worker, e EvictionProposal) error {
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
