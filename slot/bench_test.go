package slot

import (
	"fmt"
	"testing"
	"time"

	"hibiscuslane.example/hibiscuslane/instance"
	"hibiscuslane.example/hibiscuslane/team"
)

// benchSlots is the number of slots of a target at the target size.
const benchSlots = 8

// BenchmarkGrant measures what an owner spends on one request of a saturated pool: the ticket is queued
// behind others, a slot is released, and the next ticket gets it. Its processor time in the owner is that
// of one acquire and one release, without the call between entries.
func BenchmarkGrant(b *testing.B) {
	for _, waiting := range []int{0, 64, 256} {
		for _, targets := range []int{9, 23, 100, 300} {
			b.Run(fmt.Sprintf("waiting=%d/targets=%d", waiting, targets), func(b *testing.B) {
				measureGrants(b, targets, waiting)
			})
		}
	}
}

func measureGrants(b *testing.B, targets, waiting int) {
	var ids []instance.ID
	for n := range targets {
		ids = append(ids, instance.ID(fmt.Sprintf("target-%04d", n)))
	}
	owner := &Owner{Pool: "web", Incarnation: 1, MaxQueued: waiting + 1}
	owner.SetTargets(epoch, ids, benchSlots)
	var held []Grant
	number := uint64(0)
	ask := func() {
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
	// With nothing waiting, one slot stays free, so that each ticket is granted at once.
	full := targets*benchSlots + waiting
	if waiting == 0 {
		full--
	}
	for range full {
		ask()
	}
	b.ReportAllocs()
	for b.Loop() {
		ask()
		owner.Release(epoch, held[0].LeaseID, ResultCompleted)
		held = held[1:]
	}
}

// BenchmarkTick measures the periodic pass of an owner, of which there are ten a second for each pool.
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
				owner.SetTargets(epoch, ids, benchSlots)
				owner.ExpireAndAssign(epoch)
			}
		})
	}
}
