package dispatch

import (
	"context"
	"maps"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hibiscuslane.example/hibiscuslane/election"
	"hibiscuslane.example/hibiscuslane/event"
	"hibiscuslane.example/hibiscuslane/ledger"
	"hibiscuslane.example/hibiscuslane/platform"
	"hibiscuslane.example/hibiscuslane/task"
	"hibiscuslane.example/hibiscuslane/timer"
)

// keyedStore is an in-memory store that keeps the newest record of each key and rejects appends of earlier epochs.
type keyedStore struct {
	mu      sync.Mutex
	records map[string]platform.Record
	epoch   platform.Epoch
}

// Append implements ledger.Store.
func (s *keyedStore) Append(_ context.Context, _ platform.Topic, _ int, producer platform.Producer, records []platform.Record) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if producer.Epoch < s.epoch {
		return &platform.StatusError{Call: "append", Status: http.StatusConflict, Reason: "fenced"}
	}
	s.epoch = producer.Epoch
	s.apply(records)
	return nil
}

func (s *keyedStore) apply(records []platform.Record) {
	if s.records == nil {
		s.records = map[string]platform.Record{}
	}
	for _, r := range records {
		s.records[r.Key] = r
		if len(r.Value) == 0 {
			delete(s.records, r.Key)
		}
	}
}

// Newest implements ledger.Store.
func (s *keyedStore) Newest(context.Context, platform.Topic, int) ([]platform.Record, platform.Offset, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Collect(maps.Values(s.records)), 0, nil
}

// newOwner returns a dispatcher that has restored the records of a store and writes to it.
func newOwner(t *testing.T, s ledger.Store) *Dispatcher { return newOwnerOfEpoch(t, s, 1) }

func newOwnerOfEpoch(t *testing.T, s ledger.Store, epoch platform.Epoch) *Dispatcher {
	t.Helper()
	clock := &timer.Service{}
	l, records, err := ledger.Open(t.Context(), s, ledger.TopicJobs, 0, epoch, clock, event.Log{})
	require.NoError(t, err)
	go func() { _ = l.Run(t.Context()) }() // ends with the test
	d := New(t.Context(), election.Gained{Epoch: epoch}, Options{Clock: clock, Timing: Timing{MaxLease: testMaxLease}})
	d.restore(l, records)
	return d
}

// TestEndedJobLostByMove guards against a job that ends while an append with its earlier progress is in flight and the
// ledger moves: the append is repeated after the snapshot, and if the owner fails then, the next one finds progress of a
// job without its submission and drops the job.
func TestEndedJobLostByMove(t *testing.T) {
	s := &keyedStore{}
	d := newOwner(t, s)
	now := d.clock.Now()
	j := &job{Job: task.New("00000000000000aa", "queue", "pool", task.Spec{Steps: []task.Step{{Count: 1}}}, now), stored: true, submissionQueued: true}
	d.jobs[j.ID] = j
	inFlight := d.changedRecords(j)
	j.pendingWrites++
	j.End(task.StateDone, now)
	d.markDirty(j)
	s.apply(d.Snapshot())
	s.apply(inFlight)
	require.Contains(t, newOwner(t, s).jobs, j.ID)
	s.apply(d.changedRecords(j))
	j.dirty, j.pendingWrites = false, 0
	require.NotContains(t, s.records, submissionKeyPrefix+string(j.ID))
	s.apply(d.Snapshot())
	require.NotContains(t, s.records, submissionKeyPrefix+string(j.ID), "a stored final state needs no submission")
}

// TestDroppedJobRunsAgain guards against an ended job that starts anew because its progress is deleted but its submission
// is not: the owner failed after a move, before it stored the final state once more.
func TestDroppedJobRunsAgain(t *testing.T) {
	s := &keyedStore{}
	d := newOwner(t, s)
	j := &job{Job: task.New("00000000000000aa", "queue", "pool", task.Spec{Steps: []task.Step{{Count: 1}}}, d.clock.Now()), stored: true}
	d.jobs[j.ID] = j
	j.End(task.StateDone, d.clock.Now())
	j.dirty = true
	s.apply(d.Snapshot())
	next := newOwner(t, s)
	require.Equal(t, task.StateDone, next.jobs[j.ID].Outcome)
	next.mu.Lock()
	next.dropEndedJobs(next.clock.Now().Add(next.timing.StatusRetention + retentionMargin + time.Second))
	next.mu.Unlock()
	next.ledger.Flush(t.Context())
	require.Empty(t, newOwner(t, s).jobs)
}
