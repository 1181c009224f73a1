package slot

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hibiscuslane.example/hibiscuslane/failure"
	"hibiscuslane.example/hibiscuslane/instance"
	"hibiscuslane.example/hibiscuslane/team"
)

// probe asks an owner and keeps what it delivers.
type probe struct {
	owner  Owner
	now    time.Time
	number uint64
	grants []Grant
	order  []team.Name
	errs   []error
}

func newProbe(limit int, targets ...instance.ID) *probe {
	p := &probe{owner: Owner{Pool: "web", Incarnation: 1, MaxQueued: limit}, now: epoch}
	p.owner.SetTargets(p.now, targets, 1)
	return p
}

func (p *probe) ask(entry instance.ID, name team.Name, weight int, left time.Duration) TicketID {
	p.number++
	id := TicketID{Entry: entry, Number: p.number}
	p.owner.Acquire(p.now, AcquireRequest{
		ID: id, Weight: weight, Ticket: Ticket{Pool: "web", Team: name, Deadline: p.now.Add(left)},
		Deliver: func(g Grant, err error) {
			if err != nil {
				p.errs = append(p.errs, err)
				return
			}
			p.grants = append(p.grants, g)
			p.order = append(p.order, name)
		},
	})
	return id
}

// TestQueueOrder guards against a team that crowds out others, and against serving a later deadline
// before an earlier one within a team.
func TestQueueOrder(t *testing.T) {
	p := newProbe(100, "a")
	p.ask("1", "first", 1, time.Hour)
	for range 6 {
		p.ask("1", "heavy", 1, time.Hour)
	}
	p.ask("1", "light", 2, 2*time.Hour)
	late := p.ask("1", "light", 2, 3*time.Hour)
	early := p.ask("1", "light", 2, time.Hour)
	require.Less(t, early.Number, late.Number+2)
	for range 9 {
		p.owner.Release(p.now, p.grants[len(p.grants)-1].LeaseID, ResultCompleted)
	}
	require.Equal(t, []team.Name{"first", "heavy", "light", "light", "heavy", "light", "heavy", "heavy", "heavy", "heavy"}, p.order)
}

// TestRefusedAtOnce guards against queueing what cannot be served: a full queue, a deadline that the
// queue cannot meet, a pool without targets. All are notrun with a hint when to repeat.
func TestRefusedAtOnce(t *testing.T) {
	p := newProbe(2, "a")
	p.ask("1", "x", 1, time.Hour)
	p.ask("1", "x", 1, time.Hour)
	p.ask("1", "x", 1, 150*time.Millisecond)
	var deadline *DeadlineError
	require.Empty(t, p.errs)
	p.ask("1", "x", 1, time.Hour)
	var full *QueueFullError
	require.ErrorAs(t, p.errs[0], &full)
	require.Equal(t, failure.OutcomeNotRun, full.Outcome())
	require.Positive(t, full.RetryAfter())
	p.owner.MaxQueued = 10
	p.ask("1", "x", 1, 150*time.Millisecond)
	require.ErrorAs(t, p.errs[1], &deadline)
	require.Positive(t, deadline.RetryAfter())
	p.now = p.now.Add(time.Second)
	p.owner.ExpireAndAssign(p.now)
	require.ErrorAs(t, p.errs[2], &deadline, "the waiting request expires")
	p.owner.SetTargets(p.now, nil, 1)
	p.ask("1", "x", 1, time.Hour)
	var missing *PoolUnavailableError
	require.ErrorAs(t, p.errs[3], &missing)
}

// TestLostMessages guards against slots that stay taken after the answer to a grant or a release is
// lost, and against a new owner that grants slots in use.
func TestLostMessages(t *testing.T) {
	p := newProbe(10, "a", "b")
	p.ask("1", "x", 1, time.Hour)
	p.ask("2", "x", 1, time.Hour)
	require.Equal(t, 2, p.owner.LeasedSlots())
	p.owner.ReconcileLeases(p.now, "1", nil)
	require.Equal(t, 2, p.owner.LeasedSlots(), "the grant may still be in flight")
	p.now = p.now.Add(reportGrace + time.Millisecond)
	p.owner.ReconcileLeases(p.now, "1", nil)
	require.Equal(t, 1, p.owner.LeasedSlots())
	next := newProbe(10, "a", "b")
	next.owner.Incarnation = 2
	next.owner.ReconcileLeases(next.now, "2", p.grants[1:])
	next.ask("1", "x", 1, time.Hour)
	next.ask("1", "x", 1, time.Hour)
	require.Len(t, next.grants, 1, "the adopted slot is not granted again")
	require.NotEqual(t, p.grants[1].Target, next.grants[0].Target)
	next.owner.Release(next.now, p.grants[1].LeaseID, ResultCompleted)
	require.Len(t, next.grants, 2)
	p.owner.RemoveEntry(p.now, "2")
	require.Zero(t, p.owner.LeasedSlots(), "the leases of a dead entry end")
}

// TestFullTarget guards against sending again at once to a target whose slots others use.
func TestFullTarget(t *testing.T) {
	p := newProbe(10, "a")
	p.ask("1", "x", 1, time.Hour)
	p.ask("1", "x", 1, time.Hour)
	p.owner.Release(p.now, p.grants[0].LeaseID, ResultTargetFull)
	require.Len(t, p.grants, 1)
	p.now = p.now.Add(initialService)
	p.owner.ExpireAndAssign(p.now)
	require.Len(t, p.grants, 2)
}
