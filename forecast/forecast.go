// Package forecast estimates how much work a pool of workers can do until a given time. Its functions depend only on
// their arguments.
package forecast

import (
	"math/bits"
	"sort"
	"time"

	"hibiscuslane.example/hibiscuslane/balance"
)

// Room is the capacity of a pool for tasks that end. The zero value has none.
type Room struct {
	// Capacity is what the workers that take tasks have beside long-running tasks.
	Capacity balance.Amount
	Runs     Runs
	// Incoming is the capacity on its way to the pool, in any order.
	Incoming []Incoming
	// Donors are the pools that can spare machines.
	Donors []Donor
}

// Incoming is the capacity of a machine that becomes available at a time.
type Incoming struct {
	At       time.Time
	Capacity balance.Amount
}

// Donor is the room of another pool on machines that may move.
type Donor struct {
	Room Room
	// Waiting is the work that the pool needs its machines for first.
	Waiting      balance.Amount
	MoveDuration time.Duration
}

// Runs holds the current runs of a pool. The zero value has none.
type Runs struct {
	// ends holds the estimated times until the runs end, in ascending order. Runs that end at about the same time are one.
	ends []time.Duration
	// work[i] is the work that is left of the first i runs, and reserved[i] is what all others reserve.
	work, reserved []balance.Amount
}

// RunCounter collects the runs of a pool. It puts runs that end at about the same time together: a large pool has thousands,
// and to sort them in each cycle would take longer than a plan. The zero value is empty.
type RunCounter struct {
	// groups holds the runs by groupOf.
	groups []runGroup
}

// runGroup holds runs that end at about the same time.
type runGroup struct {
	end            time.Duration // of the last
	work, reserved balance.Amount
}

// Add adds a run with the estimated time until it ends and what it reserves.
func (c *RunCounter) Add(left time.Duration, reserved balance.Amount) {
	number := groupOf(left)
	for len(c.groups) <= number {
		c.groups = append(c.groups, runGroup{})
	}
	g := &c.groups[number]
	g.end = max(g.end, left)
	g.work = g.work.Add(reserved.Scale(left.Seconds()))
	g.reserved = g.reserved.Add(reserved)
}

// groupOf returns the group of runs that end after the given time. A group spans a millisecond, or an eighth of the time at most.
func groupOf(left time.Duration) int {
	const bitsKept, groupsPerDoubling = 4, 8
	number := uint64(max(left.Milliseconds(), 0))
	doublings := max(bits.Len64(number)-bitsKept, 0)
	return doublings*groupsPerDoubling + int(number>>doublings)
}

// Runs returns the runs.
func (c *RunCounter) Runs() Runs {
	var r Runs
	for _, g := range c.groups {
		if g.reserved != (balance.Amount{}) {
			r.ends = append(r.ends, g.end)
			r.work, r.reserved = append(r.work, g.work), append(r.reserved, g.reserved)
		}
	}
	r.work, r.reserved = append([]balance.Amount{{}}, r.work...), append(r.reserved, balance.Amount{})
	for i := range r.ends {
		r.work[i+1] = r.work[i+1].Add(r.work[i])
	}
	for i := len(r.ends) - 1; i >= 0; i-- {
		r.reserved[i] = r.reserved[i].Add(r.reserved[i+1])
	}
	return r
}

// workWithin returns the work of the runs in the given time. A run that takes longer counts only for that time: otherwise, a few
// long tasks seem to leave a pool no room for the short ones beside them.
func (r *Runs) workWithin(period time.Duration) balance.Amount {
	if len(r.ends) == 0 {
		return balance.Amount{}
	}
	ended := sort.Search(len(r.ends), func(i int) bool { return r.ends[i] > period })
	return r.work[ended].Add(r.reserved[ended].Scale(period.Seconds()))
}

// WorkUntil returns the work that can be done between now and the given time beside that of the current runs.
func (r *Room) WorkUntil(now, until time.Time) balance.Amount { return r.WorkBefore(now, until, 0) }

// WorkBefore returns the work of jobs that can be begun between now and the given time, if the last of them go on for rest
// after that. The runs that go on as well take as much of the room.
func (r *Room) WorkBefore(now, until time.Time, rest time.Duration) balance.Amount {
	period := until.Sub(now)
	work := r.Capacity.Scale(period.Seconds()).Sub(r.Runs.workWithin(period + rest))
	for _, in := range r.Incoming {
		if left := until.Sub(in.At); left > 0 {
			work = work.Add(in.Capacity.Scale(min(left, period).Seconds()))
		}
	}
	for i := range r.Donors {
		work = work.Add(r.Donors[i].workUntil(now, until))
	}
	return work
}

// workUntil returns the work that the machines of the donor can do after they have moved.
func (d *Donor) workUntil(now, until time.Time) balance.Amount {
	spare := d.Room.WorkUntil(now, until.Add(-d.MoveDuration)).Sub(d.Waiting)
	if none := (balance.Amount{}); !none.FitsIn(spare) {
		return none
	}
	return spare
}

// Total returns the capacity once all of what is on its way has arrived.
func (r *Room) Total() balance.Amount {
	total := r.Capacity
	for _, in := range r.Incoming {
		total = total.Add(in.Capacity)
	}
	return total
}
