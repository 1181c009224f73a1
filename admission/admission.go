// Package admission decides whether a job is accepted while more work waits than its pool can do in time, and when a
// refused caller should ask again. Its functions depend only on their arguments, which include the current time.
package admission

import (
	"hash/fnv"
	"time"

	"hibiscuslane.example/hibiscuslane/balance"
	"hibiscuslane.example/hibiscuslane/forecast"
	"hibiscuslane.example/hibiscuslane/task"
)

// Job is a job that waits for room in a pool, or asks for it.
type Job struct {
	ID task.JobID
	// Work is the estimated work of its tasks that have not been placed.
	Work balance.Amount
	// Priority is the priority of its queue; 0 is the highest.
	Priority int
	// LatestStart and LastStart are when what remains of its critical path has to start for the job to meet the soft and the
	// hard deadline.
	LatestStart, LastStart time.Time
	// IsOverShare is set if the team of the job asks for more than its share of the pool, so that jobs of its priority that other
	// teams can have in time go first.
	IsOverShare bool
}

// Refusal is a refused job whose caller was told when to ask again.
type Refusal struct {
	Job Job
	// AskedAt is when the caller first asked, ReturnAt when it was last told to ask again.
	AskedAt, ReturnAt time.Time
}

// Load is what is known of a pool.
type Load struct {
	// Room includes the capacity that other pools can spare.
	Room forecast.Room
	// Waiting holds the accepted jobs with tasks that wait for room.
	Waiting []Job
	// Refused holds the refused jobs whose callers are expected back, each at most once.
	Refused []Refusal
}

const (
	// MinRetryDelay is the shortest delay that callers can be told, who are told whole seconds.
	MinRetryDelay = time.Second
	retryStep     = time.Second
	// MaxRetryDelay is the longest one. Who waits for longer has usually given up, and no forecast reaches that far.
	MaxRetryDelay = 8 * time.Second
	// certainty is how many times more work must go before a job than can be done in time for the job to be refused. Some of what
	// goes before it will not be done either, or takes less than estimated, and a refusal must not cost a caller what it would
	// have got.
	certainty = 1.5
)

// CanServe answers a burst in which the work of several seconds waits: it reports whether a job that first asked at the
// given time can meet its soft or its hard deadline, that is, whether all that goes before it can be done until its latest or
// its last start. The work of the job itself is left out, so that a job larger than the room is not refused for its size. Work
// that isn't known yet is left out as well: a job is refused only if what is known suffices for it.
func (l *Load) CanServe(j Job, askedAt, now time.Time) bool {
	return l.hasRoom(l.aheadInTime(j, now), j.LatestStart, now) || l.hasRoom(l.ahead(j, askedAt, now), j.LastStart, now)
}

// hasRoom reports whether work can be done until a time.
func (l *Load) hasRoom(work balance.Amount, until, now time.Time) bool {
	return work == (balance.Amount{}) || until.After(now) && work.FitsIn(l.Room.WorkUntil(now, until).Scale(certainty))
}

// aheadInTime returns the work that goes before a job as long as it can be in time: that of jobs that can be in time as well and
// have a higher priority or, within its own, an earlier latest start. Late jobs go after it, whatever their priority, and so do
// jobs of teams over their share unless its own is one.
func (l *Load) aheadInTime(j Job, now time.Time) balance.Amount {
	var work balance.Amount
	for _, w := range l.Waiting {
		if w.Priority > j.Priority || w.LatestStart.Before(now) {
			continue
		}
		if w.Priority < j.Priority || !w.LatestStart.After(j.LatestStart) && (j.IsOverShare || !w.IsOverShare) {
			work = work.Add(w.Work)
		}
	}
	return work
}

// ahead returns the work that goes before a job once it is late: that of higher priorities and, within its own, that of jobs
// that can be in time and of those with an earlier last start. Jobs that will miss their hard deadlines go last. Callers that
// were refused earlier and return in time have their places.
func (l *Load) ahead(j Job, askedAt, now time.Time) balance.Amount {
	var work balance.Amount
	for _, w := range l.Waiting {
		if w.Priority > j.Priority || w.LastStart.Before(now) {
			continue
		}
		if w.Priority < j.Priority || !w.LastStart.After(j.LastStart) || !w.LatestStart.Before(now) {
			work = work.Add(w.Work)
		}
	}
	return work.Add(l.refusedBefore(j, askedAt))
}

// refusedBefore returns the work of the jobs that were refused before a job first asked, and can still be served when their
// callers return.
func (l *Load) refusedBefore(j Job, askedAt time.Time) balance.Amount {
	var work balance.Amount
	for _, r := range l.Refused {
		if r.Job.ID != j.ID && r.Job.Priority <= j.Priority && r.AskedAt.Before(askedAt) && r.ReturnAt.Before(r.Job.LastStart) {
			work = work.Add(r.Job.Work)
		}
	}
	return work
}

// RetryDelay returns when the caller of a refused job should ask again: once there is room for all that waits and for all that
// was refused before. Callers who are refused together thus get different places, the one who first asked the first. Those
// for whom no place is in sight are spread by their ids over the latter half of MaxRetryDelay.
func (l *Load) RetryDelay(j Job, askedAt, now time.Time) time.Duration {
	var before balance.Amount
	for _, w := range l.Waiting {
		if w.Priority <= j.Priority {
			before = before.Add(w.Work)
		}
	}
	before = before.Add(l.refusedBefore(j, askedAt))
	for delay := MinRetryDelay; delay <= MaxRetryDelay; delay += retryStep {
		if before.FitsIn(l.Room.WorkUntil(now, now.Add(delay))) {
			return delay
		}
	}
	steps := uint32(MaxRetryDelay / retryStep / 2)
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(j.ID)) // a hash takes all that is written
	return MaxRetryDelay - time.Duration(hash.Sum32()%steps)*retryStep
}

// SpacedRetryDelay answers an outage of unknown length, such as that of the store, in which callers who repeat their requests each
// second have given up before it ends. It returns when the caller of a job, who first asked at the given time, should ask again:
// after as long as it has been asking, so that a few attempts reach far, but once more before the last start of the job.
func SpacedRetryDelay(j Job, askedAt, now time.Time) time.Duration {
	delay := min(max(now.Sub(askedAt).Round(retryStep), MinRetryDelay), MaxRetryDelay)
	if left := j.LastStart.Sub(now).Truncate(retryStep); left >= MinRetryDelay {
		return min(delay, left)
	}
	return delay
}
