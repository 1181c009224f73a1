// Package balance decides which machines move to another pool (Plan). Its functions depend only on their
// arguments. Only "hibiscuslane run" uses it; package planner assigns instances to pools for "hibiscuslane serve".
//
// The load of queues comes in bursts, one queue after another: for some seconds, a queue receives several times its
// mean load, which exceeds the capacity of its pool, while the other pools are nearly idle. Machines therefore move
// to the pools that have work, and machines that no pool needs move to the spare pool, where they are switched off.
package balance

import (
	"slices"
	"sort"
	"time"

	"hibiscuslane.example/hibiscuslane/pool"
	"hibiscuslane.example/hibiscuslane/worker"
)

// Machine is a machine that may be moved.
type Machine struct {
	ID       worker.MachineID
	Capacity Amount
	// Idle is set if no task runs or is placed on the machine; IdleSince is when it became idle.
	Idle      bool
	IdleSince time.Time
	// Pinned is set if the machine must not move: it is unavailable, an order of an earlier owner may still reach it, or
	// the end of a task on it is not stored yet.
	Pinned bool
	// Fixed is set if the machine stays in its pool also once its tasks have ended: a long-running task is on it, the fleet has
	// refused to move it, or an order of an earlier owner may still reach it.
	Fixed bool
	// Unavailable is set if the machine takes no tasks or soon will not, because it is down, unreachable, drained or has
	// been ordered elsewhere. Its capacity does not count as available, whereas that of other pinned machines does: when
	// the store is slow or the owner has just changed, nearly all machines are pinned while they work.
	Unavailable bool
}

// Pool is the state of a pool.
type Pool struct {
	Name pool.Name
	// Spare is set if the machines of the pool are switched off.
	Spare bool
	// ArrivalRate is the work that arrives per second, Forecast what will arrive per second when a machine that is ordered
	// now can work, and Backlog the waiting work.
	ArrivalRate, Forecast, Backlog Amount
	// Overdue is the waiting work of jobs that can't be in time. It gets machines that no other work needs.
	Overdue Amount
	// BatchReserved is the capacity reserved by batch tasks, which end on their own. LongRunningReserved is that
	// of long-running tasks, including those that wait for a worker.
	BatchReserved, LongRunningReserved Amount
	// MinMachines is the number of machines that a long-running step needs because of its limit of tasks per worker.
	MinMachines int
	// StrandedMachines is the number of empty machines that would take the long-running tasks for which no worker has room,
	// although the pool may have enough capacity in total.
	StrandedMachines int
	Machines         []Machine
	// IncomingCapacity is the capacity of machines that are moving to the pool.
	IncomingCapacity Amount
	// HasRoom is set if the last plan of tasks left room for those in the backlog, which then wait for something else, such as a
	// ticket or a label.
	HasRoom bool
	// Lacks is set by Plan if work in the backlog needs machines that no other pool can spare.
	Lacks bool
	// Leaving is set by Plan to the machines that other pools need once they are empty. Overdue work waits for others.
	Leaving []worker.MachineID
	// typical is the mean capacity of all machines; Plan sets it.
	typical Amount
	// capacity is that of the available machines, and available and idle are the numbers of available machines and of idle
	// ones that may be moved. Plan sets them and keeps them up to date, so that it does not count all machines for each move.
	capacity        Amount
	available, idle int
}

// Move is the decision to move a machine to another pool.
type Move struct {
	Machine  worker.MachineID
	From, To pool.Name
}

// Settings holds the parameters of Plan.
type Settings struct {
	// BacklogHorizon is the time within which a backlog should be worked off, including the time of a move.
	BacklogHorizon time.Duration
	// IdleTimeout is how long a machine stays idle before it is switched off.
	IdleTimeout time.Duration
	// MinPerPool is the number of machines that stay in each pool so that the first tasks of a burst start
	// immediately.
	MinPerPool int
	// Budget limits the moves. A pool that lacks machines is urgent; machines that are switched off can wait.
	Budget *Budget
}

// SettingsFor returns settings for bursts of a few seconds and for moves that take the given time. A machine is of no use
// while it moves, so it stays idle as long as that before it moves without need.
func SettingsFor(moveTime time.Duration) Settings {
	return Settings{BacklogHorizon: 2500 * time.Millisecond, IdleTimeout: moveTime, MinPerPool: 4}
}

// availableCapacity returns the capacity of the available machines of a pool and of those moving to it.
func (p *Pool) availableCapacity() Amount { return p.IncomingCapacity.Add(p.capacity) }

// requiredCapacity returns the capacity that a pool needs for its tasks, its backlog and the arriving work.
func (p *Pool) requiredCapacity(s Settings) Amount {
	work := p.ArrivalRate.max(p.Forecast).Add(p.Backlog.Scale(1 / s.BacklogHorizon.Seconds()))
	return p.LongRunningReserved.Add(work.max(p.BatchReserved))
}

// Deficit returns how many machines the pool lacks, by the resource that it lacks most. It is negative if the pool has
// more than it needs. Its unit is that of the last call of Plan.
func (p *Pool) Deficit(s Settings) float64 {
	available := p.availableCapacity()
	if p.Spare {
		return -available.machines(p.typical)
	}
	stranded := float64(p.StrandedMachines-p.idle) - p.IncomingCapacity.CPU/max(p.typical.CPU, 1)
	return max(p.deficitWith(available, s), stranded)
}

// deficitWith returns how many machines the pool lacks if it has the given capacity.
func (p *Pool) deficitWith(available Amount, s Settings) float64 {
	missing := p.requiredCapacity(s).Sub(available).machines(p.typical)
	return max(missing, float64(p.MinMachines)-available.CPU/max(p.typical.CPU, 1))
}

// MachineCounts returns how many machines of the pool are idle and may be moved, how many are pinned, and how many
// are busy.
func (p *Pool) MachineCounts() (idle, pinned, busy int) {
	for _, m := range p.Machines {
		switch {
		case m.Pinned:
			pinned++
		case m.Idle:
			idle++
		default:
			busy++
		}
	}
	return idle, pinned, busy
}

// count adds change, which is 1 or -1, to the numbers and the capacity of machines of the kind of m.
func (p *Pool) count(m Machine, change int) {
	if !m.Unavailable {
		p.available += change
		p.capacity = p.capacity.Add(m.Capacity.Scale(float64(change)))
	}
	if m.Idle && !m.Pinned {
		p.idle += change
	}
}

// countMachines counts the machines of each pool and sets the mean capacity of all.
func countMachines(pools []*Pool) {
	var total Amount
	count := 0
	for _, p := range pools {
		p.capacity, p.available, p.idle = Amount{}, 0, 0
		for _, m := range p.Machines {
			p.count(m, 1)
			total = total.Add(m.Capacity)
			count++
		}
	}
	for _, p := range pools {
		p.typical = total.Scale(1 / float64(max(count, 1)))
	}
}

// Plan returns the moves to order now: idle machines go to pools with a deficit, the largest deficit first, and then
// those that no pool needs go to the spare pool. It updates the pools accordingly.
//
// Overdue work counts only if no pool lacks machines for other work. Otherwise, in an overload of one queue after another, each pool
// would keep its machines for jobs that are late in any case, while those of the next queue become late as well.
func Plan(pools []*Pool, s Settings, now time.Time) []Move {
	countMachines(pools)
	for _, p := range pools {
		if p.isBare() {
			p.MinMachines = max(p.MinMachines, 1)
		}
	}
	moves := coverDeficits(pools, s, nil)
	lacks := false
	for _, p := range pools {
		p.Lacks = p.lacks(s) && !hasDonor(pools, p, s)
		lacks = lacks || p.Lacks
	}
	if lacks {
		for _, p := range pools {
			p.Leaving = p.leaving(s)
		}
	} else {
		for _, p := range pools {
			p.Backlog, p.Overdue = p.Backlog.Add(p.Overdue), Amount{}
		}
		moves = coverDeficits(pools, s, moves)
	}
	return switchOffIdle(pools, s, now, moves)
}

// lacks reports whether the pool has a deficit because of its backlog. What long-running tasks lack may never come.
func (p *Pool) lacks(s Settings) bool {
	if p.Spare || p.HasRoom || p.Backlog == (Amount{}) {
		return false
	}
	without := *p
	without.Backlog = Amount{}
	deficit := p.Deficit(s)
	return deficit > 0 && deficit > without.Deficit(s)
}

// leaving returns the machines that can go to other pools once they are empty: none of a pool that lacks machines itself, and not
// those that stay in each pool.
func (p *Pool) leaving(s Settings) []worker.MachineID {
	if p.Spare || p.Lacks {
		return nil
	}
	var ids []worker.MachineID
	staying := max(s.MinPerPool, p.MinMachines)
	for _, m := range p.Machines {
		switch {
		case m.Unavailable:
		case m.Fixed:
			staying--
		default:
			ids = append(ids, m.ID)
		}
	}
	slices.Sort(ids) // so that the same machines stay from plan to plan
	return ids[min(max(staying, 0), len(ids)):]
}

// isBare reports whether the pool has overdue work and no machine to start it on. It gets one before other pools get more.
func (p *Pool) isBare() bool {
	return !p.Spare && p.Overdue != (Amount{}) && p.available == 0 && p.IncomingCapacity == (Amount{})
}

// coverDeficits moves idle machines to pools with a deficit. It returns the given moves with these.
func coverDeficits(pools []*Pool, s Settings, moves []Move) []Move {
	byDeficit := append([]*Pool(nil), pools...)
	sort.SliceStable(byDeficit, func(i, j int) bool {
		if first := byDeficit[i].isBare(); first != byDeficit[j].isBare() {
			return first
		}
		return byDeficit[i].Deficit(s) > byDeficit[j].Deficit(s)
	})
	for _, p := range byDeficit {
		for !p.Spare && p.Deficit(s) > 0 && s.Budget.Allows(len(moves), true) {
			from, i := findDonor(pools, p, s)
			if from == nil {
				break
			}
			moves = append(moves, moveMachine(from, i, p))
		}
	}
	return moves
}

// moveMachine moves the machine at index i of one pool to another pool.
func moveMachine(from *Pool, i int, to *Pool) Move {
	m := from.Machines[i]
	from.Machines = slices.Delete(from.Machines, i, i+1)
	from.count(m, -1)
	to.IncomingCapacity = to.IncomingCapacity.Add(m.Capacity)
	return Move{Machine: m.ID, From: from.Name, To: to.Name}
}

// hasDonor reports whether another pool could spare a machine now, which only has to wait for the budget.
func hasDonor(pools []*Pool, to *Pool, s Settings) bool {
	from, _ := findDonor(pools, to, s)
	return from != nil
}

// findDonor returns the pool with the largest surplus that can spare an idle machine, and the index of the machine;
// nil and -1 if there is none. An idle machine of a pool with a surplus is switched on anyway and thus preferred to
// one that is switched off.
func findDonor(pools []*Pool, to *Pool, s Settings) (*Pool, int) {
	var best *Pool
	index := -1
	var largestSurplus float64
	for _, p := range pools {
		if p == to {
			continue
		}
		i := findSpareMachine(p, s, time.Time{})
		if i < 0 {
			continue
		}
		surplus := -p.Deficit(s)
		if p.Spare {
			surplus = 0
		}
		if best == nil || surplus > largestSurplus {
			best, index, largestSurplus = p, i, surplus
		}
	}
	return best, index
}

// findSpareMachine returns the index of an idle machine that the pool can spare, or -1 if there is none. If idleBefore
// is set, the machine must have been idle since then.
func findSpareMachine(p *Pool, s Settings, idleBefore time.Time) int {
	if p.idle == 0 || !p.Spare && (p.idle <= p.StrandedMachines || p.available <= max(s.MinPerPool, p.MinMachines)) {
		return -1
	}
	capacity := p.availableCapacity()
	for i, m := range p.Machines {
		if !m.Idle || m.Pinned || !idleBefore.IsZero() && m.IdleSince.After(idleBefore) {
			continue
		}
		if p.Spare || p.deficitWith(capacity.Sub(m.Capacity), s) <= 0 {
			return i
		}
	}
	return -1
}

// switchOffIdle moves machines that their pools can spare and that have been idle for IdleTimeout to the spare pool. It returns the
// given moves with these.
func switchOffIdle(pools []*Pool, s Settings, now time.Time, moves []Move) []Move {
	var sparePool *Pool
	for _, p := range pools {
		if p.Spare {
			sparePool = p
		}
	}
	if sparePool == nil {
		return moves
	}
	for _, p := range pools {
		if p.Spare {
			continue
		}
		for s.Budget.Allows(len(moves), false) {
			i := findSpareMachine(p, s, now.Add(-s.IdleTimeout))
			if i < 0 {
				break
			}
			moves = append(moves, moveMachine(p, i, sparePool))
		}
	}
	return moves
}
