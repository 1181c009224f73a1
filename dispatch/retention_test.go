package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hibiscuslane.example/hibiscuslane/platform"
	"hibiscuslane.example/hibiscuslane/task"
)

// endJob stores a job that has ended at the given time of day.
func endJob(d *Dispatcher, s *keyedStore, id task.JobID, endedAt time.Time) {
	j := &job{Job: task.New(id, "queue", "pool", task.Spec{Steps: []task.Step{{Count: 1}}}, endedAt), stored: true}
	d.jobs[id] = j
	j.End(task.StateDone, endedAt)
	s.apply(d.changedRecords(j))
}

// TestClockJumpDropsEndedJob guards against an ended job that a new owner forgets at once, so that a repeated submission
// runs it again, because the owner's time of day is ahead of that of the earlier one; or keeps for too long.
func TestClockJumpDropsEndedJob(t *testing.T) {
	for _, jump := range []time.Duration{10 * time.Minute, -10 * time.Minute} {
		s := &keyedStore{}
		d := newOwnerOfEpoch(t, s, 1)
		endJob(d, s, "00000000000000aa", d.clock.Now().Add(-jump))
		next := newOwnerOfEpoch(t, s, 2)
		next.dropEndedJobs(next.clock.Now())
		require.NotEmpty(t, next.jobs, "jump of %v", jump)
		next.dropEndedJobs(next.clock.Now().Add(retentionMargin + time.Second))
		require.Empty(t, next.jobs, "jump of %v", jump)
	}
}

// TestEndedJobsPileUp guards against ended jobs that are never forgotten because the owner changes more often than their
// retention lasts.
func TestEndedJobsPileUp(t *testing.T) {
	s := &keyedStore{}
	const terms, termLength = 20, 10 * time.Second
	for epoch := range platform.Epoch(terms) {
		d := newOwnerOfEpoch(t, s, epoch+1)
		d.ledgerOpenedAt = d.ledgerOpenedAt.Add(-termLength) // the term has lasted
		endJob(d, s, task.JobID(fmt.Sprintf("%016x", epoch)), d.clock.Now())
		d.dropEndedJobs(d.clock.Now())
		d.ledger.Flush(t.Context())
	}
	require.LessOrEqual(t, len(s.records), int(retentionMargin/termLength)+1)
}

// TestDroppedJobHasRuns guards against an ended job that is forgotten while a run of it may go on. If the job is submitted
// again, the owner numbers the new runs like the old ones.
func TestDroppedJobHasRuns(t *testing.T) {
	s := &keyedStore{}
	d := newOwner(t, s)
	endJob(d, s, testJob, d.clock.Now())
	d.jobs[testJob].activeRuns = 1
	d.dropEndedJobs(d.clock.Now().Add(time.Hour))
	require.Contains(t, d.jobs, testJob)
	d.jobs[testJob].activeRuns = 0
	d.dropEndedJobs(d.clock.Now().Add(time.Hour))
	require.Empty(t, d.jobs)
}
