package wave

import (
	"sort"
	"time"

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
	// Rack is where the machine stands.
	Rack string
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
	// ahead is how many machines are emptied at once beside those that are away, as a multiple of the
	// number that may be away, so that one is empty when another returns.
	ahead = 1
	// emptyTime is how long a machine is given to become empty when there is time.
	emptyTime = 3 * time.Second
	// reserve is the part of the remaining time that is kept for machines that become empty late.
	reserve = 0.25
)

// Next decides what to do next. Machines that are idle go first, so that maintenance costs no work. A
// machine whose tasks do not end is maintained all the same once the wave would be late otherwise.
func Next(request Request, machines []Machine, pace Pace, now time.Time) Plan {
	var plan Plan
	room := request.Most - pace.Away
	sort.SliceStable(machines, func(i, j int) bool { return before(machines[i], machines[j]) })
	waiting := 0
	for _, m := range machines {
		if m.Up {
			waiting++
		}
	}
	hurry := hurried(request, waiting, pace)
	emptying := 0
	for _, m := range machines {
		if !m.Up {
			continue
		}
		idle := m.Running == 0 && m.Lasting == 0
		forced := hurry && m.Chosen && now.Sub(m.Since) > emptyTime && m.Lasting == 0
		if room > 0 && (idle || forced) {
			plan.Maintain = append(plan.Maintain, m.ID)
			room--
			continue
		}
		if m.Chosen || emptying < request.Most*ahead {
			plan.Empty = append(plan.Empty, m.ID)
			emptying++
		}
	}
	return plan
}

// hurried reports whether the machines that are left need all the time that is left.
func hurried(request Request, waiting int, pace Pace) bool {
	rounds := (waiting + request.Most - 1) / request.Most
	need := time.Duration(rounds) * (pace.Each + emptyTime/2)
	return float64(need) > (1-reserve)*float64(pace.Left)
}

// before orders machines: chosen ones first, then those with the least to lose.
func before(a, b Machine) bool {
	if a.Chosen != b.Chosen {
		return a.Chosen
	}
	if a.Lasting != b.Lasting {
		return a.Lasting < b.Lasting
	}
	return a.Running < b.Running
}
