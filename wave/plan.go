package wave

import (
	"math"
	"sort"
	"time"

	"hibiscuslane.example/hibiscuslane/pool"
	"hibiscuslane.example/hibiscuslane/worker"
)

// Machine is a machine of a wave that still has to be maintained.
type Machine struct {
	ID worker.MachineID
	// Up says that the machine works and takes orders.
	Up bool
	// Chosen says that the machine is already being emptied.
	Chosen bool
	// Since is when it was chosen.
	Since time.Time
	// Running is the number of tasks on the machine that end on their own, Lasting that of the others.
	Running, Lasting int
	Pool             pool.Name
	// Load is the reserved and the waiting share of the capacity of its pool.
	Load float64
}

// Plan is what to do next in a wave.
type Plan struct {
	// Empty are the machines that are to take no more tasks and to lose those that last.
	Empty []worker.MachineID
	// Maintain are the machines to order maintenance for now.
	Maintain []worker.MachineID
}

// Pace is the state of a wave as far as time is concerned.
type Pace struct {
	// Left is the time until the wave is late.
	Left time.Duration
	// Away is the number of machines of the wave that are away or may be.
	Away int
	// Each is how long a machine is away.
	Each time.Duration
}

const (
	// emptyTime is how long a machine usually takes to become empty: some tasks have to end on their own.
	emptyTime = 2 * time.Second
	// patience is how long a machine is given to become empty before tasks that end on their own are ended.
	patience = 4 * time.Second
	// shares divides the time that is left between the wait for tasks and what follows.
	shares = 3
	// usable is the part of the remaining time that is planned with; the rest is for machines that are
	// down or become empty late.
	usable = 0.6
	// quietLoad is the load of a pool below which its machines can be spared.
	quietLoad = 0.7
)

// Next decides what to do next. As few machines as the remaining time allows are away at once, so that
// the pools keep their capacity. Machines of quiet pools and idle ones go first, since a queue's burst
// lasts some seconds and passes. A machine whose tasks do not end is maintained all the same once it was
// given time.
func Next(request Request, machines []Machine, pace Pace, now time.Time) Plan {
	var plan Plan
	width := width(request, len(machines), pace)
	room := request.Most - pace.Away
	sort.SliceStable(machines, func(i, j int) bool { return before(machines[i], machines[j]) })
	busy := pace.Away
	late := pace.Left < patience*2
	// The less time is left, the less of it tasks are given to end on their own.
	wait := min(patience, max(0, (pace.Left-pace.Each)/shares))
	for _, m := range machines {
		if !m.Up || busy >= width && !m.Chosen {
			continue
		}
		idle := m.Running == 0 && m.Lasting == 0
		due := m.Chosen && now.Sub(m.Since) > wait && m.Lasting == 0
		switch {
		case room > 0 && (idle || due):
			plan.Maintain = append(plan.Maintain, m.ID)
			room--
			busy++
		case m.Chosen || m.Load < quietLoad || late:
			plan.Empty = append(plan.Empty, m.ID)
			busy++
		}
	}
	return plan
}

// width returns how many machines have to be away or becoming empty at once to be in time.
func width(request Request, left int, pace Pace) int {
	if pace.Left <= 0 {
		return 2 * request.Most
	}
	need := float64(left+pace.Away) * float64(pace.Each+emptyTime) / (usable * float64(pace.Left))
	return min(max(int(math.Ceil(need)), 1), 2*request.Most)
}

// before orders machines: chosen ones first, then idle ones, then those of quiet pools with the least to lose.
func before(a, b Machine) bool {
	if a.Chosen != b.Chosen {
		return a.Chosen
	}
	if ia, ib := a.Running+a.Lasting == 0, b.Running+b.Lasting == 0; ia != ib {
		return ia
	}
	if qa, qb := a.Load < quietLoad, b.Load < quietLoad; qa != qb {
		return qa
	}
	if a.Lasting != b.Lasting {
		return a.Lasting < b.Lasting
	}
	return a.Running < b.Running
}
