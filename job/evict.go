package job

import (
	"cmp"
	"slices"

	"hibiscuslane.example/hibiscuslane/team"
)

// evictionLevel limits the eviction methods that a plan may use.
type evictionLevel int

// Eviction levels, from the mildest. Each level includes the methods of the levels before it.
const (
	levelCheckpoint evictionLevel = iota
	levelThrottle
	levelStop
)

// planEviction proposes evictions to free resources for an urgent job. It uses the lowest level that
// suffices, and the worker on which the fewest attempts have to be evicted.
func (p *planner) planEviction(urgent Job, size Size) {
	for level := levelCheckpoint; level <= levelStop; level++ {
		var best *candidate
		var bestEvictions []EvictionProposal
		for _, c := range p.candidates {
			if c.reserved || !size.fitsIn(c.worker.capacity()) || p.isExcluded(c, urgent) {
				continue
			}
			evictions, ok := p.selectEvictions(c, size, level)
			if ok && (best == nil || len(evictions) < len(bestEvictions)) {
				best, bestEvictions = c, evictions
			}
		}
		if best == nil {
			continue
		}
		p.reserveForUrgent(best, urgent, size, bestEvictions)
		return
	}
}

// evictWithinTeam proposes to evict other jobs of the same team, so that an urgent job fits the quota of
// the team. It does not throttle jobs, because a throttled attempt reserves as much as before.
func (p *planner) evictWithinTeam(urgent Job, size, quota Size) {
	reserved := p.reservedByTeam[urgent.Team].minus(p.freedByTeam[urgent.Team])
	var totalFreed Size
	var evictions []EvictionProposal
	for _, j := range p.evictableTeamJobs(urgent.Team) {
		if reserved.plus(size).fitsQuota(quota) {
			break
		}
		if p.evicting[j.attemptID()] {
			continue
		}
		result, requested := p.input.Evictions[j.attemptID()]
		if requested && !result.Refused && result.Method != EvictByThrottle {
			// The attempt is about to end.
			reserved = reserved.minus(j.Placement.Size)
			continue
		}
		method, freed := p.evictionMethod(j, levelStop)
		if method == EvictByCheckpoint || method == EvictByStop {
			reserved = reserved.minus(freed)
			totalFreed = totalFreed.plus(freed)
			evictions = append(evictions, EvictionProposal{AttemptID: j.attemptID(), Method: method, Worker: j.Placement.Worker, UrgentJob: urgent.ID})
		}
	}
	if !reserved.plus(size).fitsQuota(quota) {
		return
	}
	p.reservedByTeam[urgent.Team] = p.reservedByTeam[urgent.Team].plus(size)
	p.freedByTeam[urgent.Team] = p.freedByTeam[urgent.Team].plus(totalFreed)
	p.proposeEvictions(evictions)
}

// evictableTeamJobs returns the jobs of a team in the pool that may be evicted, in the order of
// evictableJobs.
func (p *planner) evictableTeamJobs(name team.Name) []Job {
	var jobs []Job
	for _, c := range p.candidates {
		for _, j := range c.worker.ActiveJobs {
			if j.Team == name {
				jobs = append(jobs, j)
			}
		}
	}
	return evictableJobs(jobs)
}

// reserveForUrgent proposes the evictions and reserves the worker for the urgent job.
func (p *planner) reserveForUrgent(c *candidate, urgent Job, size Size, evictions []EvictionProposal) {
	c.reserved = true
	p.reservedByTeam[urgent.Team] = p.reservedByTeam[urgent.Team].plus(size)
	for i := range evictions {
		evictions[i].UrgentJob = urgent.ID
	}
	p.proposeEvictions(evictions)
}

func (p *planner) proposeEvictions(evictions []EvictionProposal) {
	for _, e := range evictions {
		p.evicting[e.AttemptID] = true
		p.proposals = append(p.proposals, e)
	}
}

// selectEvictions returns evictions that make room for the size on the worker, and whether they suffice.
// Evictions that the worker accepted earlier and that have not ended yet count as free resources, but are not
// returned again.
func (p *planner) selectEvictions(c *candidate, size Size, level evictionLevel) ([]EvictionProposal, bool) {
	free := c.free
	for _, j := range c.worker.ActiveJobs {
		if result, ok := p.input.Evictions[j.attemptID()]; ok && !result.Refused && result.Method != EvictByThrottle {
			free = free.plus(j.Placement.Size)
		}
	}
	var evictions []EvictionProposal
	for _, j := range evictableJobs(c.worker.ActiveJobs) {
		if size.fitsIn(free) {
			break
		}
		method, freed := p.evictionMethod(j, level)
		if method == "" || !reducesShortage(size, free, freed) {
			continue
		}
		free = free.plus(freed)
		evictions = append(evictions, EvictionProposal{AttemptID: j.attemptID(), Method: method, Worker: c.worker.ID})
	}
	return evictions, size.fitsIn(free)
}

// evictableJobs returns the jobs that are not urgent, the latest placed first, because it loses the least
// progress.
func evictableJobs(jobs []Job) []Job {
	var evictable []Job
	for _, j := range jobs {
		if !j.Urgent {
			evictable = append(evictable, j)
		}
	}
	slices.SortStableFunc(evictable, func(a, b Job) int { return cmp.Compare(b.Placement.PlacedAt, a.Placement.PlacedAt) })
	return evictable
}

// reducesShortage reports whether an eviction frees a resource of which too little is free.
func reducesShortage(size, free, freed Size) bool {
	return (size.Cores > free.Cores && freed.Cores > 0) ||
		(size.Memory > free.Memory && freed.Memory > 0) ||
		(size.Accelerators > free.Accelerators && freed.Accelerators > 0)
}

// evictionMethod returns the method by which a job can be evicted at a level and the resources that this
// frees, or an empty method if there is none. An attempt is ended only if the job has another attempt
// left, so that a job never fails because of an urgent one.
func (p *planner) evictionMethod(j Job, level evictionLevel) (EvictionMethod, Size) {
	result, requested := p.input.Evictions[j.attemptID()]
	if p.evicting[j.attemptID()] || (requested && !result.Refused && result.Method != EvictByThrottle) {
		return "", Size{}
	}
	hasAttemptsLeft := j.Attempts < j.MaxAttempts
	refused := requested && result.Refused
	throttled := requested && result.Method == EvictByThrottle
	switch {
	case hasAttemptsLeft && !refused && !throttled:
		return EvictByCheckpoint, j.Placement.Size
	case level >= levelStop && hasAttemptsLeft:
		return EvictByStop, j.Placement.Size
	case level >= levelThrottle && !throttled && j.Status == StatusRunning:
		return EvictByThrottle, Size{Cores: j.Placement.Cores / 2}
	}
	return "", Size{}
}
