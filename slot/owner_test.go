package slot

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hibiscuslane.example/hibiscuslane/failure"
	"hibiscuslane.example/hibiscuslane/instance"
	"hibiscuslane.example/hibiscuslane/team"
)

// ownerHarness sends requests to an owner and records the results.
type ownerHarness struct {
	owner        Owner
	now          time.Time
	number       uint64
	grants       []Grant
	grantedTeams []team.Name
	grantedIDs   []TicketID
	errs         []error
}

func newOwnerHarness(limit int, targets ...instance.ID) *ownerHarness {
	h := &ownerHarness{owner: Owner{Pool: "web", Incarnation: 1, MaxQueued: limit}, now: epoch}
	h.owner.SetTargets(h.now, targets, 1)
	return h
}

func (h *ownerHarness) acquire(entry instance.ID, name team.Name, weight int, timeLeft time.Duration) TicketID {
	h.number++
	id := TicketID{Entry: entry, Number: h.number}
	h.owner.Acquire(h.now, AcquireRequest{
		ID: id, Weight: weight, Ticket: Ticket{Pool: "web", Team: name, Deadline: h.now.Add(timeLeft)},
		Deliver: func(g Grant, err error) {
			if err != nil {
				h.errs = append(h.errs, err)
				return
			}
			h.grants = append(h.grants, g)
			h.grantedTeams = append(h.grantedTeams, name)
			h.grantedIDs = append(h.grantedIDs, id)
		},
	})
	return id
}

// TestQueueOrder guards against a team that starves the others, and against granting a slot to a later
// deadline before an earlier one within a team.
func TestQueueOrder(t *testing.T) {
	h := newOwnerHarness(100, "a")
	h.acquire("1", "first", 1, time.Hour)
	for range 6 {
		h.acquire("1", "heavy", 1, time.Hour)
	}
	middle := h.acquire("1", "light", 2, 2*time.Hour)
	late := h.acquire("1", "light", 2, 3*time.Hour)
	early := h.acquire("1", "light", 2, time.Hour)
	for range 9 {
		h.owner.Release(h.now, h.grants[len(h.grants)-1].LeaseID, ResultCompleted)
	}
	require.Equal(t, []team.Name{"first", "heavy", "light", "light", "heavy", "light", "heavy", "heavy", "heavy", "heavy"}, h.grantedTeams)
	require.Less(t, slices.Index(h.grantedIDs, early), slices.Index(h.grantedIDs, middle))
	require.Less(t, slices.Index(h.grantedIDs, middle), slices.Index(h.grantedIDs, late))
}

// TestIdleTargetsShareRequests guards against idle targets that get no requests while others get all of them.
func TestIdleTargetsShareRequests(t *testing.T) {
	const rounds = 12
	for _, targets := range [][]instance.ID{{"a", "b"}, {"a", "b", "c"}, {"a", "b", "c", "d"}} {
		h := newOwnerHarness(100, targets...)
		count := map[instance.ID]int{}
		for range rounds * len(targets) {
			h.acquire("1", "x", 1, time.Hour)
			grant := h.grants[len(h.grants)-1]
			count[grant.Target]++
			h.owner.Release(h.now, grant.LeaseID, ResultCompleted)
		}
		for _, id := range targets {
			require.Equal(t, rounds, count[id], "%d targets: %v", len(targets), count)
		}
	}
}

// TestRefusedAtOnce guards against queueing requests that cannot be served in time: the queue is full,
// the deadline is too close, or the pool has no targets. The refusal has outcome notrun and a retry hint.
func TestRefusedAtOnce(t *testing.T) {
	h := newOwnerHarness(2, "a")
	h.acquire("1", "x", 1, time.Hour)
	h.acquire("1", "x", 1, time.Hour)
	h.acquire("1", "x", 1, 150*time.Millisecond)
	var deadline *DeadlineError
	require.Empty(t, h.errs)
	h.acquire("1", "x", 1, time.Hour)
	var full *QueueFullError
	require.ErrorAs(t, h.errs[0], &full)
	require.Equal(t, failure.OutcomeNotRun, full.Outcome())
	require.Positive(t, full.RetryAfter())
	h.owner.MaxQueued = 10
	h.acquire("1", "x", 1, 150*time.Millisecond)
	require.ErrorAs(t, h.errs[1], &deadline)
	require.Positive(t, deadline.RetryAfter())
	h.now = h.now.Add(time.Second)
	h.owner.ExpireAndAssign(h.now)
	require.ErrorAs(t, h.errs[2], &deadline, "the waiting request must expire")
	h.owner.SetTargets(h.now, nil, 1)
	h.acquire("1", "x", 1, time.Hour)
	var unavailable *PoolUnavailableError
	require.ErrorAs(t, h.errs[3], &unavailable)
}

// TestLostMessages guards against leased slots that are never freed after a grant or a release was lost
// in transit, and against a new owner that grants slots in use.
func TestLostMessages(t *testing.T) {
	h := newOwnerHarness(10, "a", "b")
	h.acquire("1", "x", 1, time.Hour)
	h.acquire("2", "x", 1, time.Hour)
	require.Equal(t, 2, h.owner.LeasedSlots())
	h.owner.ReconcileLeases(h.now, "1", 0, nil)
	require.Equal(t, 2, h.owner.LeasedSlots(), "the grant may still be in flight")
	h.now = h.now.Add(reportGrace + time.Millisecond)
	h.owner.ReconcileLeases(h.now, "1", 0, nil)
	require.Equal(t, 1, h.owner.LeasedSlots())
	next := newOwnerHarness(10, "a", "b")
	next.owner.Incarnation = 2
	next.owner.ReconcileLeases(next.now, "2", 0, h.grants[1:])
	next.acquire("1", "x", 1, time.Hour)
	next.acquire("1", "x", 1, time.Hour)
	require.Len(t, next.grants, 1, "the inherited slot must not be granted again")
	require.NotEqual(t, h.grants[1].Target, next.grants[0].Target)
	next.owner.Release(next.now, h.grants[1].LeaseID, ResultCompleted)
	require.Len(t, next.grants, 2)
	h.owner.RemoveEntry(h.now, "2")
	require.Zero(t, h.owner.LeasedSlots(), "the leases of a dead entry must end")
}

// TestFullTarget guards against sending the next request immediately to a target that refused one
// because its slots are in use.
func TestFullTarget(t *testing.T) {
	h := newOwnerHarness(10, "a")
	h.acquire("1", "x", 1, time.Hour)
	h.acquire("1", "x", 1, time.Hour)
	h.owner.Release(h.now, h.grants[0].LeaseID, ResultTargetFull)
	require.Len(t, h.grants, 1)
	h.now = h.now.Add(initialHoldTime)
	h.owner.ExpireAndAssign(h.now)
	require.Len(t, h.grants, 2)
}
