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
	// Draining says that the machine is already being emptied.
	Draining bool
	// DrainingSince is when it was chosen.
	DrainingSince time.Time
	// BatchTasks is the number of tasks on the machine that end on their own, Lasting that of the others.
	BatchTasks, LongRunningTasks int
	Pool                         pool.Name
	// Load is the reserved and the waiting share of the capacity of its pool.
	Load float64
}

// Plan is what to do next in a wave.
type Plan struct {
	// Drain are the machines that are to take no more tasks and to lose those that last.
	Drain []worker.MachineID
	// Maintain are the machines to order maintenance for now.
	Maintain []worker.MachineID
}

// Timing is the state of a wave as far as time is concerned.
type Timing struct {
	// TimeLeft is the time until the wave is late.
	TimeLeft time.Duration
	// UnavailableMachines is the number of machines of the wave that are away or may be.
	UnavailableMachines int
	// MaintenanceTime is how long a machine is away.
	MaintenanceTime time.Duration
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

// PlanNext decides what to do next. As few machines as the remaining time allows are away at once, so that
// the pools keep their capacity. Machines of quiet pools and idle ones go first, since a queue's burst
// lasts some seconds and passes. A machine whose tasks do not end is maintained all the same once it was
// given time.
func PlanNext(request Request, machines []Machine, pace Timing, now time.Time) Plan {
	var plan Plan
	width := width(request, len(machines), pace)
	room := request.MaxUnavailable - pace.UnavailableMachines
	sort.SliceStable(machines, func(i, j int) bool { return before(machines[i], machines[j]) })
	busy := pace.UnavailableMachines
	late := pace.TimeLeft < patience*2
	// The less time is left, the less of it tasks are given to end on their own.
	wait := min(patience, max(0, (pace.TimeLeft-pace.MaintenanceTime)/shares))
	for _, m := range machines {
		if !m.Up || busy >= width && !m.Draining {
			continue
		}
		idle := m.BatchTasks == 0 && m.LongRunningTasks == 0
		due := m.Draining && now.Sub(m.DrainingSince) > wait && m.LongRunningTasks == 0
		switch {
		case room > 0 && (idle || due):
			plan.Maintain = append(plan.Maintain, m.ID)
			room--
			busy++
		case m.Draining || m.Load < quietLoad || late:
			plan.Drain = append(plan.Drain, m.ID)
			busy++
		}
	}
	return plan
}

// width returns how many machines have to be away or becoming empty at once to be in time.
func width(request Request, left int, pace Timing) int {
	if pace.TimeLeft <= 0 {
		return 2 * request.MaxUnavailable
	}
	need := float64(left+pace.UnavailableMachines) * float64(pace.MaintenanceTime+emptyTime) / (usable * float64(pace.TimeLeft))
	return min(max(int(math.Ceil(need)), 1), 2*request.MaxUnavailable)
}

// before orders machines: chosen ones first, then idle ones, then those of quiet pools with the least to lose.
func before(a, b Machine) bool {
	if a.Draining != b.Draining {
		return a.Draining
	}
	if ia, ib := a.BatchTasks+a.LongRunningTasks == 0, b.BatchTasks+b.LongRunningTasks == 0; ia != ib {
		return ia
	}
	if qa, qb := a.Load < quietLoad, b.Load < quietLoad; qa != qb {
		return qa
	}
	if a.LongRunningTasks != b.LongRunningTasks {
		return a.LongRunningTasks < b.LongRunningTasks
	}
	return a.BatchTasks < b.BatchTasks
}
