package job

import (
	"cmp"
	"slices"
	"time"

	"hibiscuslane.example/hibiscuslane/fleet"
	"hibiscuslane.example/hibiscuslane/instance"
	"hibiscuslane.example/hibiscuslane/team"
)

const (
	// maxPlacements limits the placements of one plan to what fits into one append.
	maxPlacements = 256
	// quarantineDuration is the time after which a quarantine ends. A reboot of the worker ends it
	// earlier.
	quarantineDuration = 10 * time.Minute
	// maxQuarantinedFraction limits the quarantined workers of a pool. When more workers than this seem
	// to fail every job, the cause is more likely outside of the workers.
	maxQuarantinedFraction = 0.25
	// starvationTimeout is how long after its submit a job that fits on no worker gets one reserved, on
	// which the plan then places no other jobs.
	starvationTimeout = 30 * time.Second
)

// Plan returns proposals for one pool. It is a pure function: equal inputs give equal proposals.
func Plan(in PlanInput) []Proposal {
	p := newPlanner(in)
	p.proposeQuarantines()
	p.proposeRestores()
	p.collectCandidates()
	urgent, rest := splitUrgent(in.QueuedJobs)
	p.placeJobs(urgent, true)
	p.placeJobs(rest, false)
	return p.proposals
}

func splitUrgent(jobs []Job) (urgent, rest []Job) {
	for _, j := range jobs {
		if j.Urgent {
			urgent = append(urgent, j)
		} else {
			rest = append(rest, j)
		}
	}
	return urgent, rest
}

// planner holds the intermediate state of one plan.
type planner struct {
	input           PlanInput
	candidates      []*candidate
	usageByKey      map[UsageKey]Usage
	largestCapacity Size
	totalCapacity   Size
	// reservedByTeam holds what each team reserves in all pools, including the placements of this plan and the
	// urgent jobs for which it evicts others.
	reservedByTeam map[team.Name]Size
	// freedByTeam holds the resources that the evictions proposed by evictWithinTeam will free. Only urgent
	// jobs may use them: a placement beyond the quota is rejected until the evicted attempts have ended.
	freedByTeam map[team.Name]Size
	// reservedInPool holds what each team reserves in this pool, including the placements of this plan.
	reservedInPool map[team.Name]Size
	proposals      []Proposal
	placementCount int
	// hasStarvedReservation is set once a worker is reserved for a job that has waited too long.
	hasStarvedReservation bool
	// unplaceableSizes holds sizes that were found to fit on no worker.
	unplaceableSizes []Size
	// newlyQuarantined holds the workers for which this plan proposes a quarantine.
	newlyQuarantined map[instance.ID]bool
	// evicting holds the attempts that this plan proposes to evict.
	evicting map[AttemptID]bool
}

func newPlanner(in PlanInput) *planner {
	p := &planner{input: in, usageByKey: mergeReportedUsage(in), reservedByTeam: map[team.Name]Size{}, reservedInPool: map[team.Name]Size{}, freedByTeam: map[team.Name]Size{}, newlyQuarantined: map[instance.ID]bool{}, evicting: map[AttemptID]bool{}}
	for name, size := range in.ReservedByTeam {
		p.reservedByTeam[name] = size
	}
	return p
}

// collectCandidates collects the workers on which attempts may be placed and sums up their resources. It also
// sums up what each team has reserved on all workers of the pool.
func (p *planner) collectCandidates() {
	for _, w := range p.input.Workers {
		for _, j := range w.ActiveJobs {
			p.reservedInPool[j.Team] = p.reservedInPool[j.Team].plus(j.Placement.Size)
		}
		if !w.isUsable() || p.newlyQuarantined[w.ID] {
			continue
		}
		capacity := w.capacity()
		p.totalCapacity = p.totalCapacity.plus(capacity)
		p.largestCapacity = Size{
			Cores: max(p.largestCapacity.Cores, capacity.Cores), Memory: max(p.largestCapacity.Memory, capacity.Memory),
			Accelerators: max(p.largestCapacity.Accelerators, capacity.Accelerators),
		}
		p.candidates = append(p.candidates, newCandidate(w, p.input.Evictions))
	}
}

func (p *planner) propose(body Body) { p.proposals = append(p.proposals, RecordProposal{Body: body}) }

// proposeQuarantines proposes to quarantine suspect workers, up to maxQuarantinedFraction of the pool. One
// worker may always be quarantined, unless it is the only one.
func (p *planner) proposeQuarantines() {
	quarantined := 0
	for _, w := range p.input.Workers {
		if w.isQuarantined() {
			quarantined++
		}
	}
	limit := min(max(1, int(maxQuarantinedFraction*float64(len(p.input.Workers)))), len(p.input.Workers)-1)
	for _, w := range p.input.Workers {
		if w.ProposedQuarantine == nil || w.isQuarantined() || quarantined >= limit {
			continue
		}
		quarantined++
		p.newlyQuarantined[w.ID] = true
		p.propose(w.ProposedQuarantine)
	}
}

// proposeRestores proposes to end quarantines that have lasted long enough or whose worker was rebooted.
func (p *planner) proposeRestores() {
	for _, w := range p.input.Workers {
		q := w.Quarantine
		if q == nil {
			continue
		}
		if w.Incarnation > q.Incarnation {
			p.propose(&Restore{Worker: w.ID, QuarantineOffset: q.QuarantineOffset, Reason: "the worker was rebooted"})
		} else if p.input.Now.Sub(q.StartTime.AsTime()) >= quarantineDuration {
			p.propose(&Restore{Worker: w.ID, QuarantineOffset: q.QuarantineOffset, Reason: "the time of the quarantine is over"})
		}
	}
}

// placeJobs proposes placements. The team with the smallest dominant share comes first, and within a
// team the oldest job.
func (p *planner) placeJobs(jobs []Job, urgent bool) {
	queues := map[team.Name][]Job{}
	var teams []team.Name
	for _, j := range jobs {
		if queues[j.Team] == nil {
			teams = append(teams, j.Team)
		}
		queues[j.Team] = append(queues[j.Team], j)
	}
	slices.Sort(teams)
	for len(teams) > 0 && p.placementCount < maxPlacements {
		next := slices.MinFunc(teams, func(a, b team.Name) int { return cmp.Compare(p.dominantShare(a), p.dominantShare(b)) })
		rest := p.placeFirstFitting(queues[next], urgent)
		if len(rest) == 0 {
			teams = slices.DeleteFunc(teams, func(t team.Name) bool { return t == next })
			continue
		}
		queues[next] = rest
	}
}

// dominantShare returns the largest fraction of any resource of the pool that a team has reserved,
// divided by the weight of the team.
func (p *planner) dominantShare(name team.Name) float64 {
	reserved := p.reservedInPool[name]
	share := max(ratio(reserved.Cores, p.totalCapacity.Cores), ratio(reserved.Memory, p.totalCapacity.Memory), ratio(reserved.Accelerators, p.totalCapacity.Accelerators))
	return share / float64(max(1, p.input.Teams[name].Weight))
}

func ratio(part, whole int) float64 {
	if whole == 0 {
		return 0
	}
	return float64(part) / float64(whole)
}

// placeFirstFitting places the first job of a team that fits and returns the jobs after it. For the jobs
// before it, it proposes evictions if they are urgent, and otherwise reserves a worker for the first that fits
// on none and has waited too long.
func (p *planner) placeFirstFitting(jobs []Job, urgent bool) []Job {
	for i, j := range jobs {
		size := estimateSize(j.Spec, p.usageByKey[j.usageKey()], p.largestCapacity)
		quota := TeamQuota(p.input.Teams[j.Team])
		if !p.reservedByTeam[j.Team].plus(size).fitsQuota(quota) {
			if urgent {
				p.evictWithinTeam(j, size, quota)
			}
			continue
		}
		if c := p.selectWorker(j, size); c != nil {
			p.placeOn(c, j, size, quota)
			return jobs[i+1:]
		}
		if urgent {
			p.planEviction(j, size)
			continue
		}
		p.reserveForStarved(j, size)
	}
	return nil
}

func (p *planner) placeOn(c *candidate, j Job, size, quota Size) {
	c.addAttempt(j.class(), size)
	p.reservedByTeam[j.Team] = p.reservedByTeam[j.Team].plus(size)
	p.reservedInPool[j.Team] = p.reservedInPool[j.Team].plus(size)
	p.placementCount++
	p.propose(&Place{
		AttemptID: AttemptID{ID: j.ID, Epoch: j.Epoch + 1}, Worker: c.worker.ID, Incarnation: c.worker.Incarnation,
		Size: size, Quota: quota,
	})
}

// reserveForStarved reserves one worker for the first job that has waited too long, so that a steady
// flow of small jobs does not starve a large one.
func (p *planner) reserveForStarved(j Job, size Size) {
	if p.hasStarvedReservation || fleet.TimestampOf(p.input.Now)-j.SubmitTime < fleet.Timestamp(starvationTimeout.Milliseconds()) {
		return
	}
	var best *candidate
	for _, c := range p.candidates {
		if c.reserved || !size.fitsIn(c.worker.capacity()) {
			continue
		}
		if best == nil || c.free.Cores > best.free.Cores {
			best = c
		}
	}
	if best != nil {
		best.reserved = true
		p.hasStarvedReservation = true
	}
}
