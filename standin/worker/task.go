package worker

import (
	"slices"
	"time"

	"hibiscuslane.example/hibiscuslane/standin/machine"
	"hibiscuslane.example/hibiscuslane/standin/reply"
	"hibiscuslane.example/hibiscuslane/upstream"
)

// startTask starts a task under a lease, or refuses it.
func (w *Worker) startTask(task upstream.Task) error {
	call := "start of task " + string(task.ID)
	if err := validateTask(call, task); err != nil {
		return err
	}
	work, err := w.BeginWork(call, task.Incarnation, 0)
	if err != nil {
		return err
	}
	w.mu.Lock()
	defer w.unlockAndEndWork()
	if err := w.admitLocked(call, task); err != nil {
		w.endedWork = append(w.endedWork, work)
		return err
	}
	w.startLocked(task, work)
	return nil
}

func validateTask(call string, task upstream.Task) error {
	switch {
	case task.ID == "":
		return reply.Invalid(call, "task is missing")
	case !validLease(task.LeaseMS):
		return reply.Invalid(call, "lease must be from 1 ms to 24 h")
	case task.Cores < 0 || task.Memory < 0 || task.Accelerators < 0:
		return reply.Invalid(call, "cores, memory and accelerators must not be negative")
	}
	return nil
}

// maxLease is the maximum duration of a lease in milliseconds.
const maxLease = 24 * 60 * 60 * 1000

func validLease(ms int64) bool { return ms > 0 && ms <= maxLease }

// admitLocked refuses a task whose epoch is not new or that does not fit in the free capacity.
func (w *Worker) admitLocked(call string, task upstream.Task) error {
	if task.Epoch <= w.epochs[task.ID] {
		return reply.Refuse(call, upstream.RefusedEpoch, "the epoch is not higher than the last one")
	}
	need := resources{cores: task.Cores, memory: task.Memory, accelerators: task.Accelerators}
	for id, r := range w.runs {
		if id != task.ID {
			need = need.add(r.reserved())
		}
	}
	if !need.fitsIn(w.capacity) {
		return reply.Refuse(call, upstream.RefusedFull, "not enough free cores, memory or accelerators")
	}
	return nil
}

// startLocked starts an admitted task. It stops the run of the task under an earlier epoch, if there is one.
func (w *Worker) startLocked(task upstream.Task, work *machine.Work) {
	if old, ok := w.runs[task.ID]; ok {
		if old.state == upstream.TaskRunning {
			w.endRunLocked(old, upstream.TaskStopped, "", reasonSuperseded)
		}
		w.taskOrder = slices.DeleteFunc(w.taskOrder, func(id upstream.TaskID) bool { return id == task.ID })
	}
	now := w.timer.Now()
	r := &run{
		task: task, command: parseCommand(task), work: work, state: upstream.TaskRunning,
		speed: 1, savedProgress: w.checkpoints.load(task.ID), resumedAt: now,
		record: RunRecord{Task: task.ID, Epoch: task.Epoch, Incarnation: work.Incarnation, Start: now, State: upstream.TaskRunning},
	}
	r.samples = []sample{{at: now, cores: r.command.cores, memory: r.command.memory}}
	w.runs[task.ID] = r
	w.taskOrder = append(w.taskOrder, task.ID)
	w.epochs[task.ID] = task.Epoch
	w.pruneLocked()
	if w.taskFailure != "" {
		w.endRunLocked(r, upstream.TaskFailed, "", w.taskFailure)
		return
	}
	r.cancelCrash = work.OnCrash(func() { w.endRun(r, upstream.TaskStopped, "", reasonCrash) })
	w.setLeaseLocked(r, task.LeaseMS)
	w.scheduleLocked(r)
	w.enforceMemoryLocked()
}

// setLeaseLocked replaces the lease of a run by one that lasts the given number of milliseconds from now.
func (w *Worker) setLeaseLocked(r *run, ms int64) {
	if r.cancelLease != nil {
		r.cancelLease()
	}
	lease := time.Duration(ms) * time.Millisecond
	deadline := w.timer.Now().Add(lease)
	r.deadline = deadline
	r.cancelLease = w.timer.AfterFunc(lease, func() { w.expireLease(r, deadline) })
}

// expireLease ends a run whose lease has expired. A renewal that came before the callback has moved the
// deadline, in which case nothing happens.
func (w *Worker) expireLease(r *run, deadline time.Time) {
	w.mu.Lock()
	defer w.unlockAndEndWork()
	if r.state == upstream.TaskRunning && r.deadline.Equal(deadline) {
		w.endRunLocked(r, upstream.TaskExpired, "", reasonLease)
	}
}

// scheduleLocked schedules the end of the run at its current speed, or completes the run if no run time is left.
func (w *Worker) scheduleLocked(r *run) {
	if r.cancelFinish != nil {
		r.cancelFinish()
	}
	remaining := r.command.runtime - r.savedProgress
	if remaining <= 0 {
		w.completeLocked(r)
		return
	}
	speed := r.speed
	r.cancelFinish = w.timer.AfterFunc(time.Duration(float64(remaining)/speed), func() { w.complete(r, speed) })
}

// complete ends a run at the end of its run time, unless its speed has changed since the callback was
// scheduled: scheduleLocked has then scheduled another one.
func (w *Worker) complete(r *run, speed float64) {
	w.mu.Lock()
	defer w.unlockAndEndWork()
	if r.state == upstream.TaskRunning && r.speed == speed {
		w.completeLocked(r)
	}
}

func (w *Worker) completeLocked(r *run) {
	w.checkpoints.remove(r.task.ID)
	if r.command.failure != "" {
		w.endRunLocked(r, upstream.TaskFailed, "", r.command.failure)
		return
	}
	w.endRunLocked(r, upstream.TaskDone, r.command.output, "")
}

// enforceMemoryLocked fails tasks until the memory in use fits in the worker, starting with the task that
// exceeds its declared memory most. Only the start of a task can raise the memory in use.
func (w *Worker) enforceMemoryLocked() {
	for {
		used := 0
		var worst *run
		for _, id := range w.taskOrder {
			r := w.runs[id]
			if r.state != upstream.TaskRunning {
				continue
			}
			used += r.command.memory
			if worst == nil || r.memoryExcess() > worst.memoryExcess() {
				worst = r
			}
		}
		if used <= w.capacity.memory || worst == nil {
			return
		}
		w.endRunLocked(worst, upstream.TaskFailed, "", reasonMemory)
	}
}

func (r *run) memoryExcess() int { return r.command.memory - r.task.Memory }

// applyToRun calls operation for the run of a task, with mu locked. It refuses unknown tasks and other epochs.
func (w *Worker) applyToRun(call string, id upstream.TaskID, body taskRequest, operation func(*run, taskRequest) error) error {
	w.mu.Lock()
	defer w.unlockAndEndWork()
	r, ok := w.runs[id]
	if !ok {
		return reply.Refuse(call, upstream.RefusedMissing, "the worker has no such task")
	}
	if r.task.Epoch != body.Epoch {
		return reply.Refuse(call, upstream.RefusedEpoch, "another epoch is current")
	}
	return operation(r, body)
}

func (w *Worker) renew(r *run, body taskRequest) error {
	if !validLease(body.Lease) {
		return reply.Invalid("renew", "lease must be from 1 ms to 24 h")
	}
	if r.state != upstream.TaskRunning {
		return reply.Refuse("renew", upstream.RefusedMissing, "the task has ended")
	}
	w.setLeaseLocked(r, body.Lease)
	return nil
}

func (w *Worker) stop(r *run, _ taskRequest) error {
	if r.state == upstream.TaskRunning {
		w.endRunLocked(r, upstream.TaskStopped, "", reasonStop)
	}
	return nil
}

// checkpoint saves the progress of a task and stops it. A later epoch resumes from the saved progress.
func (w *Worker) checkpoint(r *run, _ taskRequest) error {
	if r.state == upstream.TaskRunning {
		w.checkpoints.save(r.task.ID, r.progress(w.timer.Now()))
		w.endRunLocked(r, upstream.TaskStopped, "", reasonCheckpoint)
	}
	return nil
}

// throttle halves the speed of a task for the rest of its epoch.
func (w *Worker) throttle(r *run, _ taskRequest) error {
	if r.state != upstream.TaskRunning || r.speed < 1 {
		return nil
	}
	now := w.timer.Now()
	r.savedProgress, r.resumedAt = r.progress(now), now
	r.speed = throttledSpeed
	r.samples = append(r.samples, sample{at: now, cores: r.command.cores * throttledSpeed, memory: r.command.memory})
	w.scheduleLocked(r)
	return nil
}
