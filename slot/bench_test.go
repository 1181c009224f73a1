package slot

import (
	"fmt"
	"testing"
	"time"

	"hibiscuslane.example/hibiscuslane/instance"
	"hibiscuslane.example/hibiscuslane/team"
)

// slotsPerTarget is the number of slots of a target at the design scale.
const slotsPerTarget = 8

// BenchmarkGrant measures the work of an owner for one request of a saturated pool: a ticket is queued
// behind others, a slot is released, and the next ticket gets it. That is one Acquire and one Release,
// without the calls between entries.
func BenchmarkGrant(b *testing.B) {
	for _, waiting := range []int{0, 64, 256} {
		for _, targets := range []int{9, 23, 100, 300} {
			b.Run(fmt.Sprintf("waiting=%d/targets=%d", waiting, targets), func(b *testing.B) {
				benchmarkGrants(b, targets, waiting)
			})
		}
	}
}

func benchmarkGrants(b *testing.B, targets, waiting int) {
	var ids []instance.ID
	for n := range targets {
		ids = append(ids, instance.ID(fmt.Sprintf("target-%04d", n)))
	}
	owner := &Owner{Pool: "web", Incarnation: 1, MaxQueued: waiting + 1}
	owner.SetTargets(epoch, ids, slotsPerTarget)
	var held []Grant
	number := uint64(0)
	acquire := func() {
		number++
		owner.Acquire(epoch, AcquireRequest{
			ID: TicketID{Entry: "entry-1", Number: number}, Weight: 1,
			Ticket: Ticket{Pool: "web", Team: team.Name(fmt.Sprint("team-", number%8)), Deadline: epoch.Add(time.Hour)},
			Deliver: func(g Grant, err error) {
				if err != nil {
					b.Fatal(err)
				}
				held = append(held, g)
			},
		})
	}
	// If no request waits, one slot stays free, so that each ticket is granted immediately.
	initial := targets*slotsPerTarget + waiting
	if waiting == 0 {
		initial--
	}
	for range initial {
		acquire()
	}
	b.ReportAllocs()
	for b.Loop() {
		acquire()
		owner.Release(epoch, held[0].LeaseID, ResultCompleted)
		held = held[1:]
	}
}

// BenchmarkTick measures the periodic work of an owner, which runs ten times a second for each pool.
func BenchmarkTick(b *testing.B) {
	for _, targets := range []int{9, 23, 100, 300} {
		b.Run(fmt.Sprintf("targets=%d", targets), func(b *testing.B) {
			var ids []instance.ID
			for n := range targets {
				ids = append(ids, instance.ID(fmt.Sprintf("target-%04d", n)))
			}
			owner := &Owner{Pool: "web", Incarnation: 1, MaxQueued: 1}
			b.ReportAllocs()
			for b.Loop() {
				owner.SetTargets(epoch, ids, slotsPerTarget)
				owner.ExpireAndAssign(epoch)
			}
		})
	}
}
