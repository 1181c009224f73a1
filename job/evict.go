package job

import (
	"cmp"
	"slices"

	"hibiscuslane.example/hibiscuslane/team"
)

// effort is how far a plan goes to make room.
type effort int

// Efforts, each of which includes the ones before.
const (
	effortCheckpoint effort = iota
	effortThrottle
	effortStop
)

// evict proposes to make room for an urgent job on the worker where the fewest attempts have to give
// way, with the least effort that suffices.
func (p *planner) evict(j Job, size Size) {
	for e := effortCheckpoint; e <= effortStop; e++ {
		var best *node
		var least []EvictionProposal
		for _, n := range p.nodes {
			if n.reserved || !size.within(n.worker.capacity()) || p.excluded(n, j) {
				continue
			}
			victims, ok := p.victims(n, size, e)
			if ok && (best == nil || len(victims) < len(least)) {
				best, least = n, victims
			}
		}
		if best == nil {
			continue
		}
		p.claim(best, j, size, least)
		return
	}
}

// yield makes room for an urgent job in the quota of its team: other jobs of the team give way.
func (p *planner) yield(j Job, size, quota Size) {
	used := p.used[j.Team].minus(p.freed[j.Team])
	var freed Size
	var victims []EvictionProposal
	for _, held := range p.team(j.Team) {
		if used.plus(size).withinQuota(quota) {
			break
		}
		if p.chosen[held.attempt()] {
			continue
		}
		e, tried := p.in.Evictions[held.attempt()]
		if tried && !e.Refused && e.Method != EvictByThrottle {
			used = used.minus(held.Placement.Size)
			continue
		}
		verb, gain := p.verb(held, effortStop)
		if verb == EvictByCheckpoint || verb == EvictByStop {
			used = used.minus(gain)
			freed = freed.plus(gain)
			victims = append(victims, EvictionProposal{AttemptID: held.attempt(), Method: verb, Worker: held.Placement.Worker, UrgentJob: j.ID})
		}
	}
	if !used.plus(size).withinQuota(quota) {
		return
	}
	p.used[j.Team] = p.used[j.Team].plus(size)
	p.freed[j.Team] = p.freed[j.Team].plus(freed)
	p.order(victims)
}

// team returns the jobs of a team in the pool that may give way, the one that loses the least first.
func (p *planner) team(name team.Name) []Job {
	var held []Job
	for _, n := range p.nodes {
		for _, j := range n.worker.ActiveJobs {
			if j.Team == name {
				held = append(held, j)
			}
		}
	}
	return candidates(held)
}

// claim proposes the evictions and keeps the worker for the urgent job.
func (p *planner) claim(n *node, j Job, size Size, victims []EvictionProposal) {
	n.reserved = true
	p.used[j.Team] = p.used[j.Team].plus(size)
	for i := range victims {
		victims[i].UrgentJob = j.ID
	}
	p.order(victims)
}

func (p *planner) order(victims []EvictionProposal) {
	for _, v := range victims {
		p.chosen[v.AttemptID] = true
		p.proposals = append(p.proposals, v)
	}
}

// victims returns the evictions after which the size fits. Evictions that were accepted and have not
// ended yet are part of the result's effect but not of the result.
func (p *planner) victims(n *node, size Size, e effort) ([]EvictionProposal, bool) {
	free := n.free
	for _, j := range n.worker.ActiveJobs {
		if ev, ok := p.in.Evictions[j.attempt()]; ok && !ev.Refused && ev.Method != EvictByThrottle {
			free = free.plus(j.Placement.Size)
		}
	}
	var victims []EvictionProposal
	for _, j := range candidates(n.worker.ActiveJobs) {
		if size.within(free) {
			break
		}
		verb, gain := p.verb(j, e)
		if verb == "" || !helps(size, free, gain) {
			continue
		}
		free = free.plus(gain)
		victims = append(victims, EvictionProposal{AttemptID: j.attempt(), Method: verb, Worker: n.worker.ID})
	}
	return victims, size.within(free)
}

// candidates returns the jobs that may give way, the one that loses the least progress first.
func candidates(held []Job) []Job {
	var list []Job
	for _, j := range held {
		if !j.Urgent {
			list = append(list, j)
		}
	}
	slices.SortStableFunc(list, func(a, b Job) int { return cmp.Compare(b.Placement.PlacedAt, a.Placement.PlacedAt) })
	return list
}

// helps reports whether a gain is of a resource that is short.
func helps(size, free, gain Size) bool {
	return (size.Cores > free.Cores && gain.Cores > 0) ||
		(size.Memory > free.Memory && gain.Memory > 0) ||
		(size.Accelerators > free.Accelerators && gain.Accelerators > 0)
}

// verb returns how a job may give way at an effort, and what that frees. An attempt is ended only if the
// job has another one left: a job must not fail because an urgent one came.
func (p *planner) verb(j Job, e effort) (EvictionMethod, Size) {
	tried, before := p.in.Evictions[j.attempt()]
	if p.chosen[j.attempt()] || (before && !tried.Refused && tried.Method != EvictByThrottle) {
		return "", Size{}
	}
	again := j.Attempts < j.MaxAttempts
	refused := before && tried.Refused
	throttled := before && tried.Method == EvictByThrottle
	switch {
	case again && !refused && !throttled:
		return EvictByCheckpoint, j.Placement.Size
	case e >= effortStop && again:
		return EvictByStop, j.Placement.Size
	case e >= effortThrottle && !throttled && j.Status == StatusRunning:
		return EvictByThrottle, Size{Cores: j.Placement.Cores / 2}
	}
	return "", Size{}
}
