package job

import (
	"cmp"

	"hibiscuslane.example/hibiscuslane/site"
)

// node is a usable worker during a plan.
type node struct {
	worker Worker
	free   Size
	// classes counts the attempts of each class.
	classes map[Class]int
	// reserved says that its free resources are kept for a certain job.
	reserved bool
}

func newNode(w Worker, evicted map[AttemptID]EvictionResult) *node {
	n := &node{worker: w, free: w.capacity(), classes: map[Class]int{}}
	for _, j := range w.ActiveJobs {
		n.free = n.free.minus(occupied(w, j, evicted))
		n.classes[j.class()]++
	}
	return n
}

func (n *node) add(class Class, size Size) {
	n.free = n.free.minus(size)
	n.classes[class]++
}

// maxMisfits bounds the sizes that are remembered as fitting nowhere.
const maxMisfits = 8

// choose returns the best worker for a job, or nil if it fits on none.
func (p *planner) choose(j Job, size Size) *node {
	fresh := len(j.FailedAttempts) == 0
	if fresh && p.misfit(size) {
		return nil
	}
	spread := p.spread(j.class())
	var best *node
	var least cost
	for _, n := range p.nodes {
		if n.reserved || !size.within(n.free) || p.excluded(n, j) {
			continue
		}
		c := spread.cost(n, j)
		if best == nil || c.compare(least) < 0 {
			best, least = n, c
		}
	}
	if best == nil && fresh && len(p.misfits) < maxMisfits {
		p.misfits = append(p.misfits, size)
	}
	return best
}

// misfit reports whether a smaller job was found to fit nowhere in this plan.
func (p *planner) misfit(size Size) bool {
	for _, m := range p.misfits {
		if m.within(size) {
			return true
		}
	}
	return false
}

// excluded reports whether a job has failed on a worker and the pool has others to try.
func (p *planner) excluded(n *node, j Job) bool {
	if !failedOn(n, j) {
		return false
	}
	for _, other := range p.nodes {
		if !failedOn(other, j) {
			return true
		}
	}
	return false
}

func failedOn(n *node, j Job) bool {
	for _, f := range j.FailedAttempts {
		if f.Worker == n.worker.ID && f.Incarnation == n.worker.Incarnation {
			return true
		}
	}
	return false
}

// rack is a failure domain.
type rack struct {
	centre site.DataCentre
	rack   site.Rack
}

// spread counts the attempts of one class per failure domain.
type spread struct {
	centres map[site.DataCentre]int
	racks   map[rack]int
	class   Class
}

func (p *planner) spread(class Class) spread {
	s := spread{centres: map[site.DataCentre]int{}, racks: map[rack]int{}, class: class}
	for _, n := range p.nodes {
		if count := n.classes[class]; count > 0 {
			s.centres[n.worker.Centre] += count
			s.racks[rackOf(n)] += count
		}
	}
	return s
}

func rackOf(n *node) rack { return rack{centre: n.worker.Centre, rack: n.worker.Rack} }

// cost orders workers; the least one is chosen.
type cost struct {
	// unproven is 1 for a worker without a success if the job has failed before: only a failure on a
	// worker that runs other jobs tells whether the job can run at all.
	unproven             int
	centre, rack, worker int
	// left is the number of accelerators and then of cores that stay free. Accelerators are kept for jobs
	// that need them, and among equals the emptiest worker is taken.
	accelerators, cores int
}

func (s spread) cost(n *node, j Job) cost {
	c := cost{
		centre: s.centres[n.worker.Centre], rack: s.racks[rackOf(n)], worker: n.classes[s.class],
		cores: -n.free.Cores,
	}
	if j.Accelerators == 0 {
		c.accelerators = n.free.Accelerators
	}
	if len(j.FailedAttempts) > 0 && !n.worker.HasCompletedJob {
		c.unproven = 1
	}
	return c
}

func (c cost) compare(o cost) int {
	return cmp.Or(
		cmp.Compare(c.unproven, o.unproven),
		cmp.Compare(c.accelerators, o.accelerators),
		cmp.Compare(c.centre, o.centre),
		cmp.Compare(c.rack, o.rack),
		cmp.Compare(c.worker, o.worker),
		cmp.Compare(c.cores, o.cores),
	)
}
