package dispatch

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hibiscuslane.example/hibiscuslane/platform"
	"hibiscuslane.example/hibiscuslane/task"
)

// Limits of the store on the users' platform.
const (
	maxStoreRecord  = 262_144
	maxStoreRequest = 2_097_152
)

// limitedStore is a keyedStore that refuses large records and requests.
type limitedStore struct{ keyedStore }

// Append implements ledger.Store.
func (s *limitedStore) Append(ctx context.Context, topic platform.Topic, part int, producer platform.Producer, records []platform.Record) error {
	total := 0
	for _, r := range records {
		size := 1 + len(r.Key) + len(r.Value)
		total += 4 + size
		if size > maxStoreRecord || total > maxStoreRequest {
			return &platform.StatusError{Call: "append", Status: http.StatusBadRequest}
		}
	}
	return s.keyedStore.Append(ctx, topic, part, producer, records)
}

// addStoredJob adds a job with one step to an owner and stores it.
func addStoredJob(t *testing.T, d *Dispatcher, id task.JobID, tasks int) *job {
	t.Helper()
	spec := task.Spec{Steps: []task.Step{{Count: tasks, WritesCheckpoints: true}}}
	j := &job{Job: task.New(id, "queue", "pool", spec, d.clock.Now()), stored: true}
	d.mu.Lock()
	d.jobs[id] = j
	d.mu.Unlock()
	storeChanges(t, d, j)
	return j
}

// storeChanges writes the changes of jobs and waits until they are stored.
func storeChanges(t *testing.T, d *Dispatcher, jobs ...*job) {
	t.Helper()
	result := make(chan error, len(jobs))
	d.mu.Lock()
	for _, j := range jobs {
		d.markDirty(j, func(err error) { result <- err })
	}
	d.writeDirtyJobs()
	d.mu.Unlock()
	for range jobs {
		select {
		case err := <-result:
			require.NoError(t, err)
		case <-time.After(3 * time.Second):
			require.Fail(t, "not stored")
		}
	}
	require.Eventually(t, func() bool { // the next changes wait for that
		d.mu.Lock()
		defer d.mu.Unlock()
		return !d.changesPending
	}, time.Second, time.Millisecond)
}

// TestLargeJobStopsWrites guards against an owner that stores nothing any more: the progress of a job with thousands of running
// tasks that save checkpoints was one record, which the store refused for its size, and all other writes waited for it.
func TestLargeJobStopsWrites(t *testing.T) {
	const tasks = 10_000
	s := &limitedStore{}
	d := newOwner(t, s)
	large, small := addStoredJob(t, d, "00000000000000aa", tasks), addStoredJob(t, d, "00000000000000bb", 1)
	place := func(n int) {
		large.Task(task.Key{Task: n}).Checkpoint = task.Checkpoint(strings.Repeat("c", 16))
		large.Task(task.Key{Task: n}).Placements = []task.Placement{{Worker: "w", Incarnation: 5, Machine: "m", Run: 1000}}
	}
	for n := range tasks {
		place(n)
	}
	small.Task(task.Key{}).FailedRuns = 1
	storeChanges(t, d, large, small)

	next := newOwnerOfEpoch(t, s, 2)
	require.Equal(t, 1, next.jobs[small.ID].Task(task.Key{}).FailedRuns)
	require.Len(t, next.runs, tasks)
	large = next.jobs[large.ID]
	for n := range tasks {
		require.Equal(t, task.Checkpoint(strings.Repeat("c", 16)), large.Task(task.Key{Task: n}).Checkpoint)
		if n%3 == 0 {
			large.FinishTask(task.Key{Task: n}, next.clock.Now())
		}
		large.Task(task.Key{Task: n}).Placements = nil
	}
	storeChanges(t, next, large)
	last := newOwnerOfEpoch(t, s, 3)
	require.Empty(t, last.runs)
	large = last.jobs[large.ID]
	for n := range tasks {
		require.Equal(t, n%3 == 0, large.Task(task.Key{Task: n}).Done)
		large.FinishTask(task.Key{Task: n}, last.clock.Now())
	}
	storeChanges(t, last, large)
	require.Len(t, s.records, 3, "the final state of one job, the submission and the progress of the other")
}

// TestOversizedProgressStopsWrites guards against an owner that stores nothing any more because a part of the progress of one job
// is larger than a record may be. Only that job ends.
func TestOversizedProgressStopsWrites(t *testing.T) {
	s := &limitedStore{}
	d := newOwner(t, s)
	large, small := addStoredJob(t, d, "00000000000000aa", 100), addStoredJob(t, d, "00000000000000bb", 1)
	large.Task(task.Key{}).FailedWorkers = []string{strings.Repeat("w", maxStoreRecord)}
	large.Task(task.Key{}).FailedRuns, small.Task(task.Key{}).FailedRuns = 1, 1
	storeChanges(t, d, large, small)
	next := newOwnerOfEpoch(t, s, 2)
	require.Equal(t, task.StateFailed, next.jobs[large.ID].Outcome)
	require.Equal(t, 1, next.jobs[small.ID].Task(task.Key{}).FailedRuns)
}

// TestOrphanedPartsKept guards against parts of ended jobs that fill the store: an owner has stored the final state of a job and
// failed before it deleted the parts.
func TestOrphanedPartsKept(t *testing.T) {
	s := &limitedStore{}
	d := newOwner(t, s)
	j := addStoredJob(t, d, "00000000000000aa", 100)
	j.FinishTask(task.Key{Task: 70}, d.clock.Now())
	storeChanges(t, d, j)
	part := s.records[partKey(j.ID, 1)]
	require.NotEmpty(t, part.Value)
	d.mu.Lock()
	d.finishJob(j, task.StateCancelled, d.clock.Now())
	d.mu.Unlock()
	storeChanges(t, d, j)
	s.apply([]platform.Record{part})
	next := newOwnerOfEpoch(t, s, 2)
	next.ledger.Flush(t.Context())
	require.NotContains(t, s.records, part.Key)
	require.Equal(t, task.StateCancelled, next.jobs[j.ID].Outcome)
}

// TestLargeJobWithdrawnWithParts guards against parts of a job that is refused to its caller: its tasks were placed before the
// submission was stored, and the parts followed in writes of their own.
func TestLargeJobWithdrawnWithParts(t *testing.T) {
	d := newServingOwner(t, &keyedStore{}, 1)
	spec := task.Spec{Steps: []task.Step{{Count: 100}}}
	j := &job{Job: task.New(testJob, string(testQueue), "pool", spec, d.clock.Now())}
	require.Empty(t, d.pendingStepsOf(j, d.clock.Now()))
	j.stored = true
	j.forgetPendingSteps()
	require.NotEmpty(t, d.pendingStepsOf(j, d.clock.Now()))
}
