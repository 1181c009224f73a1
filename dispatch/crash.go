package dispatch

import (
	"time"

	"hibiscuslane.example/hibiscuslane/task"
	"hibiscuslane.example/hibiscuslane/worker"
)

const (
	// maxLoneCrashes is the number of workers that may crash under a task before its job fails, if the last of them ran
	// nothing else that may be the cause. maxCrashes is the number whatever else ran there. A long-running task runs beside
	// many others in its time, and its job has no limit of attempts, so that only crashes without any other task that may
	// be the cause count against it.
	maxLoneCrashes = 2
	maxCrashes     = 3
	// maxApartWait is how long a crash suspect waits for a worker without another one.
	maxApartWait = 2 * time.Second
	// crashProbation is how long a long-running task must be at full speed before it no longer counts as the possible
	// cause of a crash.
	crashProbation = 5 * time.Second
)

// lostRuns are runs that were given up when the lease of their worker expired. If the worker turns out to have
// crashed, they may be the cause.
type lostRuns struct {
	incarnation worker.Incarnation
	runs        []*run
}

// recordLostRuns remembers the runs that were lost with the lease of the worker on a machine.
func (d *Dispatcher) recordLostRuns(machine worker.MachineID, lost lostRuns) {
	if len(lost.runs) == 0 {
		return
	}
	if d.lostRuns == nil {
		d.lostRuns = map[worker.MachineID]lostRuns{}
	}
	if earlier := d.lostRuns[machine]; earlier.incarnation == lost.incarnation {
		lost.runs = append(earlier.runs, lost.runs...)
	}
	d.lostRuns[machine] = lost
}

// takeLostRuns returns and forgets the runs that were lost on a machine with an incarnation before the given one.
func (d *Dispatcher) takeLostRuns(machine worker.MachineID, before worker.Incarnation) []*run {
	lost, ok := d.lostRuns[machine]
	if !ok || before != 0 && lost.incarnation >= before {
		return nil
	}
	delete(d.lostRuns, machine)
	return lost.runs
}

// recordCrash counts the crash of a worker for all tasks that ran there and may be the cause. The job of a task under which
// several workers have crashed fails. It is called before the runs are ended.
func (d *Dispatcher) recordCrash(machine worker.MachineID, runs []*run, now time.Time) {
	if d.maintenance.hasPendingOrder(machine) || d.isReservedByEarlierOwner(machine, now) {
		return // an order may have ended the worker
	}
	var suspects []*run
	for _, r := range runs {
		// A start that is not confirmed may have arrived after the crash.
		if !r.startConfirmedAt.IsZero() && r.job.Outcome == "" && !r.task().Done && !r.isTrusted(now) {
			suspects = append(suspects, r)
		}
	}
	for _, r := range suspects {
		t := r.task()
		t.Crashes++
		d.hasCrashSuspects = true
		d.log.Info(eventCrashRecorded, "task", r.id.key.String(), "run", r.id.number, "worker", r.workerID, "machine", machine, "crashes", t.Crashes, "suspects", len(suspects))
		d.markDirty(r.job)
		isAlone := len(suspects) == 1
		if isAlone {
			t.LoneCrashes++
		}
		isCause := isAlone && t.Crashes >= maxLoneCrashes || t.Crashes >= maxCrashes
		if r.step.LongRunning {
			isCause = t.LoneCrashes >= maxLoneCrashes
		}
		if r.job.Outcome == "" && isCause {
			d.finishJob(r.job, task.StateFailed, now)
			d.saveAndCloseIfEnded(r.job)
		}
	}
}

// mustRunApart reports whether a crash suspect is placed only on a worker without another one. One that has waited for
// maxApartWait is not: while many tasks crash workers, there are not enough for all.
func (d *Dispatcher) mustRunApart(t *task.Task, now time.Time) bool {
	waitingSince := t.NotBefore
	if waitingSince.Before(d.termStart) {
		waitingSince = d.termStart
	}
	return now.Sub(waitingSince) < maxApartWait
}

// isTrusted reports whether a run has worked for long enough that it is not taken for the cause of a crash.
func (r *run) isTrusted(now time.Time) bool {
	workedUntil := now
	if s := r.worker; s != nil && !s.unreachableSince.IsZero() {
		workedUntil = s.unreachableSince
	}
	return r.step.LongRunning && !r.fullSpeedSince.IsZero() && workedUntil.Sub(r.fullSpeedSince) > crashProbation
}

// clearCrashes ends the suspicion against the task of a run that has worked for long enough.
func (d *Dispatcher) clearCrashes(r *run, now time.Time) {
	if t := r.task(); t.Crashes > 0 && r.isTrusted(now) {
		t.Crashes, t.LoneCrashes = 0, 0
		d.markDirty(r.job)
	}
}

// isLeaving reports whether the worker has announced that it will end, or an order has ended it.
func (s *workerState) isLeaving() bool {
	return s.endedByOrder || s.registration.State == worker.StateDraining
}
