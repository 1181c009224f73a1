package worker

import (
	"slices"
	"time"

	"hibiscuslane.example/hibiscuslane/standin/machine"
	"hibiscuslane.example/hibiscuslane/standin/reply"
	"hibiscuslane.example/hibiscuslane/upstream"
)

// start starts a task under its lease.
func (w *Worker) start(task upstream.Task) error {
	call := "start of task " + string(task.ID)
	if err := check(call, task); err != nil {
		return err
	}
	hold, err := w.Begin(call, task.Incarnation, 0)
	if err != nil {
		return err
	}
	w.mu.Lock()
	defer w.unlock()
	if err := w.admitLocked(call, task); err != nil {
		w.ended = append(w.ended, hold)
		return err
	}
	w.startLocked(task, hold)
	return nil
}

func check(call string, task upstream.Task) error {
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

// maxLease bounds a lease, in milliseconds.
const maxLease = 24 * 60 * 60 * 1000

func validLease(ms int64) bool { return ms > 0 && ms <= maxLease }

func (w *Worker) admitLocked(call string, task upstream.Task) error {
	if task.Epoch <= w.epochs[task.ID] {
		return reply.Refuse(call, upstream.RefusedEpoch, "the epoch is not higher than the last one")
	}
	need := resources{cores: task.Cores, memory: task.Memory, accelerators: task.Accelerators}
	for id, r := range w.runs {
		if id != task.ID {
			need = need.plus(r.reserved())
		}
	}
	if !need.within(w.capacity) {
		return reply.Refuse(call, upstream.RefusedFull, "not enough free cores, memory or accelerators")
	}
	return nil
}

func (w *Worker) startLocked(task upstream.Task, hold *machine.Hold) {
	if old, ok := w.runs[task.ID]; ok {
		if old.state == upstream.TaskRunning {
			w.endLocked(old, upstream.TaskStopped, "", reasonSuperseded)
		}
		w.order = slices.DeleteFunc(w.order, func(id upstream.TaskID) bool { return id == task.ID })
	}
	now := w.timer.Now()
	r := &run{
		task: task, command: parseCommand(task), hold: hold, state: upstream.TaskRunning,
		speed: 1, done: w.checkpoints.load(task.ID), resumed: now,
		record: Record{Task: task.ID, Epoch: task.Epoch, Incarnation: hold.Incarnation, Start: now, State: upstream.TaskRunning},
	}
	r.samples = []sample{{at: now, cores: r.command.cores, memory: r.command.memory}}
	w.runs[task.ID] = r
	w.order = append(w.order, task.ID)
	w.epochs[task.ID] = task.Epoch
	w.pruneLocked()
	if w.fail != "" {
		w.endLocked(r, upstream.TaskFailed, "", w.fail)
		return
	}
	r.crash = hold.OnCrash(func() { w.end(r, upstream.TaskStopped, "", reasonCrash) })
	w.leaseLocked(r, task.LeaseMS)
	w.scheduleLocked(r)
	w.limitMemoryLocked()
}

func (w *Worker) leaseLocked(r *run, ms int64) {
	if r.lease != nil {
		r.lease()
	}
	lease := time.Duration(ms) * time.Millisecond
	deadline := w.timer.Now().Add(lease)
	r.deadline = deadline
	r.lease = w.timer.AfterFunc(lease, func() { w.lapse(r, deadline) })
}

// lapse ends a run whose lease has expired. A renewal that came first has moved the deadline.
func (w *Worker) lapse(r *run, deadline time.Time) {
	w.mu.Lock()
	defer w.unlock()
	if r.state == upstream.TaskRunning && r.deadline.Equal(deadline) {
		w.endLocked(r, upstream.TaskExpired, "", reasonLease)
	}
}

// scheduleLocked arranges the end of the run at its present speed.
func (w *Worker) scheduleLocked(r *run) {
	if r.finish != nil {
		r.finish()
	}
	remaining := r.command.runtime - r.done
	if remaining <= 0 {
		w.completeLocked(r)
		return
	}
	speed := r.speed
	r.finish = w.timer.AfterFunc(time.Duration(float64(remaining)/speed), func() { w.complete(r, speed) })
}

// complete ends a run at the end of its run time, unless its speed has changed since the callback was
// arranged.
func (w *Worker) complete(r *run, speed float64) {
	w.mu.Lock()
	defer w.unlock()
	if r.state == upstream.TaskRunning && r.speed == speed {
		w.completeLocked(r)
	}
}

func (w *Worker) completeLocked(r *run) {
	w.checkpoints.remove(r.task.ID)
	if r.command.failure != "" {
		w.endLocked(r, upstream.TaskFailed, "", r.command.failure)
		return
	}
	w.endLocked(r, upstream.TaskDone, r.command.output, "")
}

// limitMemoryLocked fails the tasks that exceed their declared memory most until the memory in use
// fits the worker.
func (w *Worker) limitMemoryLocked() {
	for {
		used := 0
		var worst *run
		for _, id := range w.order {
			r := w.runs[id]
			if r.state != upstream.TaskRunning {
				continue
			}
			used += r.command.memory
			if worst == nil || r.excess() > worst.excess() {
				worst = r
			}
		}
		if used <= w.capacity.memory || worst == nil {
			return
		}
		w.endLocked(worst, upstream.TaskFailed, "", reasonMemory)
	}
}

func (r *run) excess() int { return r.command.memory - r.task.Memory }

// apply calls do for the run of a task, after a check of its epoch.
func (w *Worker) apply(call string, id upstream.TaskID, body verbBody, do func(*run, verbBody) error) error {
	w.mu.Lock()
	defer w.unlock()
	r, ok := w.runs[id]
	if !ok {
		return reply.Refuse(call, upstream.RefusedMissing, "the worker has no such task")
	}
	if r.task.Epoch != body.Epoch {
		return reply.Refuse(call, upstream.RefusedEpoch, "another epoch is current")
	}
	return do(r, body)
}

func (w *Worker) renew(r *run, body verbBody) error {
	if !validLease(body.Lease) {
		return reply.Invalid("renew", "lease must be from 1 ms to 24 h")
	}
	if r.state != upstream.TaskRunning {
		return reply.Refuse("renew", upstream.RefusedMissing, "the task has ended")
	}
	w.leaseLocked(r, body.Lease)
	return nil
}

func (w *Worker) stop(r *run, _ verbBody) error {
	if r.state == upstream.TaskRunning {
		w.endLocked(r, upstream.TaskStopped, "", reasonStop)
	}
	return nil
}

// checkpoint saves the progress of a task and stops it. A later epoch resumes from there.
func (w *Worker) checkpoint(r *run, _ verbBody) error {
	if r.state == upstream.TaskRunning {
		w.checkpoints.save(r.task.ID, r.progress(w.timer.Now()))
		w.endLocked(r, upstream.TaskStopped, "", reasonCheckpoint)
	}
	return nil
}

// throttle halves the speed of a task for the rest of its epoch.
func (w *Worker) throttle(r *run, _ verbBody) error {
	if r.state != upstream.TaskRunning || r.speed < 1 {
		return nil
	}
	now := w.timer.Now()
	r.done, r.resumed = r.progress(now), now
	r.speed = throttledSpeed
	r.samples = append(r.samples, sample{at: now, cores: r.command.cores * throttledSpeed, memory: r.command.memory})
	w.scheduleLocked(r)
	return nil
}
