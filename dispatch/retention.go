package dispatch

import (
	"time"

	"hibiscuslane.example/hibiscuslane/task"
)

// minOwnerTime is the owner time of the first owner when it opens the ledger. Zero stands for an unknown time.
const minOwnerTime = task.OwnerTime(time.Millisecond)

// startOwnerTime continues the owner time of the earlier owners. It is at most what theirs was when this owner opened the
// ledger, so that no job is kept for less time than its retention. Jobs that an earlier version stored count as ended now.
func (d *Dispatcher) startOwnerTime() {
	d.ownerTimeAtOpen = minOwnerTime
	for _, j := range d.jobs {
		d.ownerTimeAtOpen = max(d.ownerTimeAtOpen, j.KeptSince)
	}
	for _, j := range d.jobs {
		d.recordKeptSince(j, d.ledgerOpenedAt)
	}
}

// ownerTime returns the owner time at a moment of this term. Only the steady clock counts, since the time of day may jump and
// differs between owners.
func (d *Dispatcher) ownerTime(now time.Time) task.OwnerTime {
	return d.ownerTimeAtOpen + task.OwnerTime(now.Sub(d.ledgerOpenedAt))
}

// recordKeptSince begins the retention of a job that has ended, unless it has begun.
func (d *Dispatcher) recordKeptSince(j *job, now time.Time) {
	if j.Outcome != "" && j.KeptSince == 0 {
		j.KeptSince = d.ownerTime(now)
	}
}

// retentionLeft returns for how long an ended job is still kept.
func (d *Dispatcher) retentionLeft(j *job, now time.Time) time.Duration {
	retention := d.timing.StatusRetention + retentionMargin
	if j.KeptSince == 0 {
		return retention // its final state was not passed to the ledger yet
	}
	return retention - time.Duration(d.ownerTime(now)-j.KeptSince)
}

// canDrop reports whether a job may be forgotten. If it were submitted again while a run of it may go on, or a write of it
// waits, these would count for the new job.
func (d *Dispatcher) canDrop(j *job, now time.Time) bool {
	return j.Outcome != "" && j.activeRuns == 0 && j.isDurable() && d.retentionLeft(j, now) <= 0
}
