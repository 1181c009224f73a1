package job

import (
	"cmp"

	"hibiscuslane.example/hibiscuslane/site"
)

// candidate is a worker on which the plan may place attempts.
type candidate struct {
	worker Worker
	// free is what the active attempts and the placements of this plan leave of the capacity.
	free Size
	// attemptsByClass counts the attempts of each class on the worker.
	attemptsByClass map[Class]int
	// reserved is set if the free resources are kept for a particular job.
	reserved bool
}

func newCandidate(w Worker, evictions map[AttemptID]EvictionResult) *candidate {
	c := &candidate{worker: w, free: w.capacity(), attemptsByClass: map[Class]int{}}
	for _, j := range w.ActiveJobs {
		c.free = c.free.minus(occupiedSize(w, j, evictions))
		c.attemptsByClass[j.class()]++
	}
	return c
}

func (c *candidate) addAttempt(class Class, size Size) {
	c.free = c.free.minus(size)
	c.attemptsByClass[class]++
}

// maxUnplaceableSizes limits how many sizes a plan remembers as fitting on no worker.
const maxUnplaceableSizes = 8

// selectWorker returns the candidate with the lowest cost for a job, or nil if the job fits on none.
func (p *planner) selectWorker(j Job, size Size) *candidate {
	neverFailed := len(j.FailedAttempts) == 0
	if neverFailed && p.isUnplaceable(size) {
		return nil
	}
	spread := p.spreadOf(j.class())
	var best *candidate
	var lowest placementCost
	for _, c := range p.candidates {
		if c.reserved || !size.fitsIn(c.free) || p.isExcluded(c, j) {
			continue
		}
		cost := spread.cost(c, j)
		if best == nil || cost.compare(lowest) < 0 {
			best, lowest = c, cost
		}
	}
	// A job that has failed is excluded from some workers, on which other jobs of its size may still fit.
	if best == nil && neverFailed && len(p.unplaceableSizes) < maxUnplaceableSizes {
		p.unplaceableSizes = append(p.unplaceableSizes, size)
	}
	return best
}

// isUnplaceable reports whether the plan has already found that an equal or smaller size fits on no
// worker.
func (p *planner) isUnplaceable(size Size) bool {
	for _, known := range p.unplaceableSizes {
		if known.fitsIn(size) {
			return true
		}
	}
	return false
}

// isExcluded reports whether a job must not be placed on a worker because it has failed there. If it has
// failed on every candidate, none is excluded.
func (p *planner) isExcluded(c *candidate, j Job) bool {
	if !hasFailedOn(c, j) {
		return false
	}
	for _, other := range p.candidates {
		if !hasFailedOn(other, j) {
			return true
		}
	}
	return false
}

func hasFailedOn(c *candidate, j Job) bool {
	for _, f := range j.FailedAttempts {
		if f.Worker == c.worker.ID && f.Incarnation == c.worker.Incarnation {
			return true
		}
	}
	return false
}

// failureDomain identifies a rack in a data centre.
type failureDomain struct {
	centre site.DataCentre
	rack   site.Rack
}

// classSpread counts the attempts of one class per data centre and per rack.
type classSpread struct {
	byCentre map[site.DataCentre]int
	byRack   map[failureDomain]int
	class    Class
}

func (p *planner) spreadOf(class Class) classSpread {
	s := classSpread{byCentre: map[site.DataCentre]int{}, byRack: map[failureDomain]int{}, class: class}
	for _, c := range p.candidates {
		if count := c.attemptsByClass[class]; count > 0 {
			s.byCentre[c.worker.Centre] += count
			s.byRack[failureDomainOf(c)] += count
		}
	}
	return s
}

func failureDomainOf(c *candidate) failureDomain {
	return failureDomain{centre: c.worker.Centre, rack: c.worker.Rack}
}

// placementCost ranks the candidates for a job; the lowest cost wins. compare defines in which order the
// fields count.
type placementCost struct {
	// untested is 1 if the job has failed before and the worker has not completed a job yet. Only a
	// failure on a worker that completes other jobs shows that the job itself cannot run.
	untested                                           int
	attemptsInCentre, attemptsInRack, attemptsOnWorker int
	// freeAccelerators keeps accelerators for jobs that need them. negatedFreeCores prefers the emptiest
	// of otherwise equal workers.
	freeAccelerators, negatedFreeCores int
}

func (s classSpread) cost(c *candidate, j Job) placementCost {
	cost := placementCost{
		attemptsInCentre: s.byCentre[c.worker.Centre], attemptsInRack: s.byRack[failureDomainOf(c)], attemptsOnWorker: c.attemptsByClass[s.class],
		negatedFreeCores: -c.free.Cores,
	}
	if j.Accelerators == 0 {
		cost.freeAccelerators = c.free.Accelerators
	}
	if len(j.FailedAttempts) > 0 && !c.worker.HasCompletedJob {
		cost.untested = 1
	}
	return cost
}

func (c placementCost) compare(o placementCost) int {
	return cmp.Or(
		cmp.Compare(c.untested, o.untested),
		cmp.Compare(c.freeAccelerators, o.freeAccelerators),
		cmp.Compare(c.attemptsInCentre, o.attemptsInCentre),
		cmp.Compare(c.attemptsInRack, o.attemptsInRack),
		cmp.Compare(c.attemptsOnWorker, o.attemptsOnWorker),
		cmp.Compare(c.negatedFreeCores, o.negatedFreeCores),
	)
}
