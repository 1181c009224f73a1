// Package balance decides which machines change their pool. It is pure. Queues burst in turn, each with
// several times its mean for some seconds, which is more than its own pool holds, while the other pools
// are nearly idle: machines follow the work, and those that nobody needs are switched off in the spare pool.
package balance

import (
	"math"
	"sort"
	"time"

	"hibiscuslane.example/hibiscuslane/pool"
	"hibiscuslane.example/hibiscuslane/worker"
)

// Machine is a machine that may be moved.
type Machine struct {
	ID worker.MachineID
	// MilliCores is its capacity in thousandths of a core.
	MilliCores int64
	// Idle says that nothing runs or is reserved on it, Since since when.
	Idle      bool
	IdleSince time.Time
	// Pinned says that the machine must stay: it is away, about to be, or being emptied.
	Pinned bool
}

// Pool is the state of a pool.
type Pool struct {
	Name pool.Name
	// Spare says that the machines of the pool are switched off.
	Spare bool
	// ArrivalRate is the work that arrives, in thousandths of a core: core-milliseconds a second.
	ArrivalRate float64
	// Backlog is the work that waits, in thousandths of a core times seconds.
	Backlog float64
	// BatchReserved is the capacity that tasks which end on their own have reserved, Lasting that of the others.
	BatchReserved, LongRunningReserved int64
	// MinMachines is the number of machines that the tasks of a step need which may not share one.
	MinMachines int
	Machines    []Machine
	// IncomingCapacity is the capacity of machines on their way to the pool.
	IncomingCapacity int64
}

// Move is a machine that is to change its pool.
type Move struct {
	Machine  worker.MachineID
	From, To pool.Name
}

// Settings are the limits of moves.
type Settings struct {
	// BacklogHorizon is the time within which a backlog should be gone. A move takes part of it.
	BacklogHorizon time.Duration
	// IdleTimeout is how long a machine is idle before it is switched off. Shorter rests cost more moves than the
	// machine costs in its pool.
	IdleTimeout time.Duration
	// MinPerPool is the number of machines that stay in each pool, so that the first tasks of a burst start at once.
	MinPerPool int
}

// DefaultSettings are the settings for moves of 1.5 s and bursts of a few seconds.
func DefaultSettings() Settings {
	return Settings{BacklogHorizon: 2500 * time.Millisecond, IdleTimeout: 2 * time.Second, MinPerPool: 4}
}

// capacity returns the capacity of the machines of a pool and of those on their way to it.
func (p *Pool) capacity() int64 {
	total := p.IncomingCapacity
	for _, m := range p.Machines {
		if !m.Pinned {
			total += m.MilliCores
		}
	}
	return total
}

// want returns the capacity that a pool needs.
func (p *Pool) want(s Settings) float64 {
	if p.Spare {
		return 0
	}
	work := math.Max(p.ArrivalRate, 0) + p.Backlog/s.BacklogHorizon.Seconds()
	return math.Max(float64(p.LongRunningReserved)+math.Max(work, float64(p.BatchReserved)), float64(p.MinMachines)*p.size())
}

// size returns the mean capacity of a machine of the pool.
func (p *Pool) size() float64 {
	if len(p.Machines) == 0 {
		return 0
	}
	var total int64
	for _, m := range p.Machines {
		total += m.MilliCores
	}
	return float64(total) / float64(len(p.Machines))
}

// Plan returns the moves to order now.
func Plan(pools []*Pool, s Settings, now time.Time) []Move {
	var moves []Move
	short := append([]*Pool(nil), pools...)
	lack := func(p *Pool) float64 { return p.want(s) - float64(p.capacity()) }
	sort.SliceStable(short, func(i, j int) bool { return lack(short[i]) > lack(short[j]) })
	for _, p := range short {
		for !p.Spare && lack(p) > 0 {
			from, i := donor(pools, p, s)
			if from == nil {
				break
			}
			moves = append(moves, take(from, i, p))
		}
	}
	return append(moves, park(pools, s, now)...)
}

// take moves a machine between the pools of the plan.
func take(from *Pool, i int, to *Pool) Move {
	m := from.Machines[i]
	from.Machines = append(from.Machines[:i:i], from.Machines[i+1:]...)
	to.IncomingCapacity += m.MilliCores
	return Move{Machine: m.ID, From: from.Name, To: to.Name}
}

// donor returns an idle machine that another pool can spare. Machines that are paid for in a quiet pool go
// before those that are switched off.
func donor(pools []*Pool, to *Pool, s Settings) (*Pool, int) {
	var best *Pool
	index := -1
	var most float64
	for _, p := range pools {
		if p == to {
			continue
		}
		i := idle(p, s, time.Time{})
		if i < 0 {
			continue
		}
		surplus := float64(p.capacity()) - p.want(s)
		if p.Spare {
			surplus = 0
		}
		if best == nil || surplus > most {
			best, index, most = p, i, surplus
		}
	}
	return best, index
}

// idle returns the index of a machine that a pool can spare, or -1. With a limit, it was idle before.
func idle(p *Pool, s Settings, limit time.Time) int {
	kept := 0
	for _, m := range p.Machines {
		if !m.Pinned {
			kept++
		}
	}
	if !p.Spare && kept <= max(s.MinPerPool, p.MinMachines) {
		return -1
	}
	for i, m := range p.Machines {
		if !m.Idle || m.Pinned || !limit.IsZero() && m.IdleSince.After(limit) {
			continue
		}
		if p.Spare || float64(p.capacity()-m.MilliCores) >= p.want(s) {
			return i
		}
	}
	return -1
}

// park switches machines off that have been idle for a while, as long as no pool lacks any.
func park(pools []*Pool, s Settings, now time.Time) []Move {
	var spare *Pool
	for _, p := range pools {
		if p.Spare {
			spare = p
		}
	}
	if spare == nil {
		return nil
	}
	var moves []Move
	for _, p := range pools {
		if p.Spare {
			continue
		}
		for i := idle(p, s, now.Add(-s.IdleTimeout)); i >= 0; i = idle(p, s, now.Add(-s.IdleTimeout)) {
			moves = append(moves, take(p, i, spare))
		}
	}
	return moves
}
