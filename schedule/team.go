package schedule

import (
	"cmp"
	"math"
	"slices"
	"time"

	"hibiscuslane.example/hibiscuslane/task"
	"hibiscuslane.example/hibiscuslane/team"
)

// Team is what a plan knows about a team.
type Team struct {
	// Weight is the share of a full pool that the team gets, relative to other teams. It is above 0.
	Weight float64
	// Room is what the team may still start in all pools together. It is negative in a component of which the team has more
	// running than its maximum, and math.MaxInt64 in one without a limit. Plan subtracts what it places.
	Room task.Resources
}

// Teams holds the teams with work by name. The plans of all pools of one cycle share it.
type Teams map[team.Name]*Team

// RoomUnder returns what may still start under a maximum, of which a component of 0 sets no limit.
func RoomUnder(maximum, running task.Resources) task.Resources {
	room := func(maximum, running int64) int64 {
		if maximum == 0 {
			return math.MaxInt64
		}
		return maximum - running
	}
	return task.Resources{CPU: room(maximum.CPU, running.CPU), Memory: room(maximum.Memory, running.Memory), GPU: room(maximum.GPU, running.GPU)}
}

// Startable returns how many of the waiting tasks of a step its team may start: all or none if they are a gang.
func (t *Team) Startable(p *PendingStep) int {
	return t.startable(p, p.Spec.Resources)
}

// claim returns how many of the waiting tasks of a step the team may start, and subtracts them from its room.
func (t *Team) claim(p *PendingStep) int {
	count := t.Startable(p)
	if t != nil {
		t.take(p.Spec.Resources, count)
	}
	return count
}

// TakeWithin returns how many of the waiting tasks of a step its team can have started within a time, and subtracts the part of
// the time that they run from its room.
func (t *Team) TakeWithin(p *PendingStep, horizon time.Duration) int {
	needed := p.Spec.Resources
	if estimate := p.Spec.Estimate; !p.Spec.LongRunning && estimate > 0 && estimate < horizon {
		part := func(amount int64) int64 {
			return int64(math.Ceil(float64(amount) * estimate.Seconds() / horizon.Seconds()))
		}
		needed = task.Resources{CPU: part(needed.CPU), Memory: part(needed.Memory), GPU: part(needed.GPU)}
	}
	count := t.startable(p, needed)
	if t != nil {
		t.take(needed, count)
	}
	return count
}

// startable returns how many of the waiting tasks of a step its team may start if each needs the given resources. A component of
// which more is running than a lowered maximum allows does not matter for tasks that need none of it: long-running tasks may hold
// it for days.
func (t *Team) startable(p *PendingStep, needed task.Resources) int {
	if t == nil {
		return len(p.Tasks)
	}
	count := int64(len(p.Tasks))
	limit := func(room, needed int64) {
		if needed > 0 {
			count = min(count, max(room, 0)/needed)
		}
	}
	limit(t.Room.CPU, needed.CPU)
	limit(t.Room.Memory, needed.Memory)
	limit(t.Room.GPU, needed.GPU)
	if p.Spec.Gang && int(count) < len(p.Tasks) {
		return 0
	}
	return int(count)
}

// take subtracts tasks from the room of a team.
func (t *Team) take(needed task.Resources, count int) {
	subtract := func(room *int64, needed int64) {
		if *room != math.MaxInt64 {
			*room -= needed * int64(count)
		}
	}
	subtract(&t.Room.CPU, needed.CPU)
	subtract(&t.Room.Memory, needed.Memory)
	subtract(&t.Room.GPU, needed.GPU)
}

// sharer is a team, or the jobs without one, in the plan of one pool.
type sharer struct {
	team *Team // nil if it has neither a maximum nor a share
	// used is the dominant share of the pool that its tasks reserve, waiting that of the tasks which it may start.
	used, waiting float64
}

// startable returns how many of the waiting tasks of a step may start.
func (s *sharer) startable(p *PendingStep) int {
	if s == nil {
		return len(p.Tasks)
	}
	return s.team.Startable(p)
}

// shares holds the use of a pool by teams during one plan. The zero value knows no teams.
type shares struct {
	sharers  map[team.Name]*sharer
	capacity task.Resources
	// level is the share of the pool for each unit of weight; infinite if there is room for all.
	level float64
}

// newShares returns the use of a pool before anything is placed.
func newShares(pending []*PendingStep, o Options) shares {
	s := shares{capacity: o.Capacity, level: math.Inf(1)}
	if len(o.Teams) == 0 {
		return s
	}
	s.sharers = map[team.Name]*sharer{}
	left := map[team.Name]*Team{} // what the teams may start beside the steps counted so far
	for name, running := range o.Running {
		s.sharers[name] = &sharer{team: o.Teams[name], used: DominantShare(running, o.Capacity)}
	}
	for _, p := range pending {
		x := s.sharers[p.Team]
		if x == nil {
			x = &sharer{team: o.Teams[p.Team]}
			s.sharers[p.Team] = x
		}
		if p.Spec.LongRunning {
			continue
		}
		if x.team != nil && left[p.Team] == nil {
			rest := *x.team
			left[p.Team] = &rest
		}
		x.waiting += float64(left[p.Team].claim(p)) * DominantShare(p.Spec.Reservation(), s.capacity)
	}
	s.level = s.fill()
	return s
}

// DominantShare returns the largest share that resources have of any component of a capacity. Components without capacity do not
// count.
func DominantShare(r, capacity task.Resources) float64 {
	share := func(amount, capacity int64) float64 {
		if capacity <= 0 {
			return 0
		}
		return float64(amount) / float64(capacity)
	}
	return max(share(r.CPU, capacity.CPU), share(r.Memory, capacity.Memory), share(r.GPU, capacity.GPU))
}

// fill returns the level up to which the pool can be filled for all teams alike, each by its weight and no further than what it
// runs and waits for.
func (s *shares) fill() float64 {
	type demand struct{ weight, share float64 }
	var demands []demand
	rest, weights := 1.0, 0.0
	for _, x := range s.sharers {
		if x.team == nil {
			rest -= x.used + x.waiting
			continue
		}
		demands = append(demands, demand{x.team.Weight, x.used + x.waiting})
		weights += x.team.Weight
	}
	slices.SortFunc(demands, func(a, b demand) int { return cmp.Compare(a.share/a.weight, b.share/b.weight) })
	for _, x := range demands {
		if level := rest / weights; x.share > level*x.weight {
			return max(level, 0)
		}
		rest -= x.share
		weights -= x.weight
	}
	return math.Inf(1)
}

// shareTolerance is the part of a pool by which a team may exceed its share before others go first. Tasks come in steps of several;
// without it, a team of small weight has one job at a time.
const shareTolerance = 0.05

// mustWait reports whether a step lets those of other teams go first: its team exceeds its share of the pool. Shares decide
// which jobs start in time; a job that has started goes on, since its work would be wasted, and one that is late in any case waits
// no longer for a share.
func (s *shares) mustWait(c candidate) bool {
	x := c.sharer
	return x != nil && x.team != nil && c.class == classInTime && !c.step.HasStarted && x.used >= s.level*x.team.Weight+shareTolerance
}

// asksTooMuch reports whether what a team runs and waits for in the pool exceeds its share.
func (s *shares) asksTooMuch(name team.Name) bool {
	x := s.sharers[name]
	return x != nil && x.team != nil && x.used+x.waiting >= s.level*x.team.Weight+shareTolerance
}

// OverShare returns the teams that ask for more than their share of a pool with the given waiting steps. Plan lets the jobs of
// others that can be in time go first. The result is nil if there are none.
func OverShare(pending []*PendingStep, o Options) map[team.Name]bool {
	s := newShares(pending, o)
	var over map[team.Name]bool
	for name := range s.sharers {
		if !s.asksTooMuch(name) {
			continue
		}
		if over == nil {
			over = map[team.Name]bool{}
		}
		over[name] = true
	}
	return over
}

// recordPlaced records that tasks of a step were placed.
func (s *shares) recordPlaced(x *sharer, p *PendingStep, count int) {
	if x == nil || x.team == nil {
		return
	}
	x.team.take(p.Spec.Resources, count)
	if p.Spec.LongRunning {
		return
	}
	x.used += float64(count) * DominantShare(p.Spec.Reservation(), s.capacity)
}
