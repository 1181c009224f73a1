package dispatch

import (
	"slices"
	"time"

	"hibiscuslane.example/hibiscuslane/task"
	"hibiscuslane.example/hibiscuslane/worker"
)

const (
	// maxLoneCrashes is the number of workers that may crash under a task before its job fails, if the last of them ran
	// nothing else that may be the cause. maxCrashes is the number whatever else ran there. A long-running task is restarted
	// however it ends: after maxLoneCrashes, it waits before each further run.
	maxLoneCrashes = 2
	maxCrashes     = 3
	// crashRetryDelay is the first of these delays. It doubles with each crash, up to maxCrashRetryDelay.
	crashRetryDelay    = 250 * time.Millisecond
	maxCrashRetryDelay = 2 * time.Second
	// maxApartWait is how long a crash suspect waits for a worker without another one.
	maxApartWait = 2 * time.Second
	// crashProbation is how long a run must have lasted before it no longer counts as the possible cause of a crash. A task
	// that crashes its workers does so when it starts; workers also crash for causes of their own, and then a job must not be
	// given up.
	crashProbation = time.Second
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

// crash is the crash of a worker that may have ended uncertain runs: their starts were confirmed around the restart.
type crash struct {
	ended, uncertain []*run
}

// recordRestartCrash counts the crash of a restarted worker for the runs that it has ended. If it is not known for some
// runs whether the new incarnation has them, the crash is counted after the next report (see attributeCrash).
func (d *Dispatcher) recordRestartCrash(s *workerState, ended, uncertain []*run, now time.Time) {
	if c := s.unattributedCrash; c != nil { // the runs of the earlier crash are not known any more
		d.recordCrash(s.registration.Machine, c.ended, now)
		s.unattributedCrash = nil
	}
	uncertain = slices.DeleteFunc(slices.Clone(uncertain), func(r *run) bool { return r.startConfirmedAt.IsZero() })
	if len(uncertain) == 0 {
		d.recordCrash(s.registration.Machine, ended, now)
		return
	}
	s.unattributedCrash = &crash{ended: ended, uncertain: uncertain}
}

// attributeCrash counts a crash of a worker for the runs that it has ended, given the runs that the new incarnation lists
// in a report that was requested at the given time. It waits for a later report if a run may have started after that.
func (d *Dispatcher) attributeCrash(s *workerState, listed map[runID]bool, requestedAt, now time.Time) {
	c := s.unattributedCrash
	if c == nil || s.hasMoreEnds {
		return
	}
	ended := slices.Clone(c.ended)
	for _, r := range c.uncertain {
		if d.runs[r.id] != r || listed[r.id] {
			continue // the new incarnation has it, or has reported its end
		}
		if !r.hasEndedUnlisted(requestedAt) {
			return
		}
		ended = append(ended, r)
	}
	s.unattributedCrash = nil
	d.recordCrash(s.registration.Machine, ended, now)
}

// recordCrash counts the crash of a worker for all tasks that ran there and may be the cause. The job of a task under which
// several workers have crashed fails. It is called before the runs are ended.
func (d *Dispatcher) recordCrash(machine worker.MachineID, runs []*run, now time.Time) {
	if d.maintenance.hasPendingOrder(machine) || d.isReservedByEarlierOwner(machine, now) {
		return // an order may have ended the worker
	}
	suspects := d.crashSuspects(runs, now)
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
		if r.job.Outcome == "" && isCause && !r.step.LongRunning {
			d.finishJob(r.job, task.StateFailed, now)
			d.saveAndCloseIfEnded(r.job)
		}
	}
}

// retryDelayAfterCrash returns how long a long-running task waits after a crash of its worker.
func retryDelayAfterCrash(t *task.Task) time.Duration {
	if t.LoneCrashes < maxLoneCrashes {
		return 0
	}
	delay := crashRetryDelay
	for n := maxLoneCrashes; n < t.LoneCrashes && delay < maxCrashRetryDelay; n++ {
		delay *= 2
	}
	return min(delay, maxCrashRetryDelay)
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

// crashSuspects returns those of the runs on a crashed worker that may be the cause: the ones that had started shortly before, and
// the first one whose start was broken off. Later orders were sent to a worker that had crashed.
func (d *Dispatcher) crashSuspects(runs []*run, now time.Time) []*run {
	var suspects []*run
	var unanswered *run
	for _, r := range runs {
		if r.job.Outcome != "" || r.task().Done {
			continue
		}
		switch {
		case !r.startConfirmedAt.IsZero():
			if r.lastSign(now).Sub(r.startConfirmedAt) <= crashProbation {
				suspects = append(suspects, r)
			}
		case r.startBrokenOff && (unanswered == nil || r.startSentAt.Before(unanswered.startSentAt)):
			unanswered = r
		}
	}
	if unanswered != nil && unanswered.lastSign(now).Sub(unanswered.startSentAt) <= crashProbation {
		suspects = append(suspects, unanswered)
	}
	return suspects
}

// lastSign returns until when the worker of a run was not known to be silent.
func (r *run) lastSign(now time.Time) time.Time {
	if s := r.worker; s != nil && !s.unreachableSince.IsZero() {
		return s.unreachableSince
	}
	return now
}

// clearCrashes ends the suspicion against the task of a run that has worked for long enough.
func (d *Dispatcher) clearCrashes(r *run, now time.Time) {
	if t := r.task(); t.Crashes > 0 && r.lastSign(now).Sub(r.startConfirmedAt) > crashProbation {
		t.Crashes, t.LoneCrashes = 0, 0
		d.markDirty(r.job)
	}
}

// isLeaving reports whether the worker has announced that it will end, or an order has ended it.
func (s *workerState) isLeaving() bool {
	return s.endedByOrder || s.registration.State == worker.StateDraining
}
