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
	// placeLimit bounds the placements of one plan to what one append carries.
	placeLimit = 256
	// quarantineTime is the time after which a worker gets another chance. A reboot ends it earlier.
	quarantineTime = 10 * time.Minute
	// isolatedShare is the largest part of a pool that is put in quarantine: when more workers seem to
	// fail everything, the cause is more likely outside of them.
	isolatedShare = 0.25
	// starveAfter is the time after which a job that fits nowhere keeps a worker free of smaller ones.
	starveAfter = 30 * time.Second
)

// Plan returns what to do in one pool. It is pure: equal inputs give equal proposals.
func Plan(in Input) []Proposal {
	p := newPlanner(in)
	p.isolate()
	p.release()
	p.open()
	urgent, rest := split(in.Queued)
	p.place(urgent, true)
	p.place(rest, false)
	return p.proposals
}

func split(jobs []Job) (urgent, rest []Job) {
	for _, j := range jobs {
		if j.Urgent {
			urgent = append(urgent, j)
		} else {
			rest = append(rest, j)
		}
	}
	return urgent, rest
}

// planner is the state of one plan.
type planner struct {
	in      Input
	nodes   []*node
	usage   map[Class]Usage
	largest Size
	total   Size
	used    map[team.Name]Size
	// freed is what the victims of this plan will free. It counts for urgent jobs only: until the
	// victims have ended, the fold refuses placements beyond the quota.
	freed     map[team.Name]Size
	local     map[team.Name]Size
	proposals []Proposal
	placed    int
	// starved is set once a worker is kept free for a job that waits too long.
	starved bool
	// misfits holds sizes that were found to fit nowhere in this plan.
	misfits []Size
	// isolated holds the workers for which this plan proposes a quarantine.
	isolated map[instance.ID]bool
	// chosen holds the attempts that this plan makes give way.
	chosen map[Attempt]bool
}

func newPlanner(in Input) *planner {
	p := &planner{in: in, usage: reportedUsage(in), used: map[team.Name]Size{}, local: map[team.Name]Size{}, freed: map[team.Name]Size{}, isolated: map[instance.ID]bool{}, chosen: map[Attempt]bool{}}
	for name, size := range in.Used {
		p.used[name] = size
	}
	return p
}

// open collects the workers on which attempts may be placed.
func (p *planner) open() {
	for _, w := range p.in.Workers {
		for _, j := range w.Held {
			p.local[j.Team] = p.local[j.Team].plus(j.Placement.Size)
		}
		if !w.usable() || p.isolated[w.ID] {
			continue
		}
		capacity := w.capacity()
		p.total = p.total.plus(capacity)
		p.largest = Size{
			Cores: max(p.largest.Cores, capacity.Cores), Memory: max(p.largest.Memory, capacity.Memory),
			Accelerators: max(p.largest.Accelerators, capacity.Accelerators),
		}
		p.nodes = append(p.nodes, newNode(w, p.in.Evicted))
	}
}

func (p *planner) propose(body Body) { p.proposals = append(p.proposals, Record{Body: body}) }

// isolate proposes to put suspect workers in quarantine.
func (p *planner) isolate() {
	isolated := 0
	for _, w := range p.in.Workers {
		if w.isolated() {
			isolated++
		}
	}
	most := min(max(1, int(isolatedShare*float64(len(p.in.Workers)))), len(p.in.Workers)-1)
	for _, w := range p.in.Workers {
		if w.Suspect == nil || w.isolated() || isolated >= most {
			continue
		}
		isolated++
		p.isolated[w.ID] = true
		p.propose(w.Suspect)
	}
}

// release proposes to end quarantines that have lasted long enough or whose worker was rebooted.
func (p *planner) release() {
	for _, w := range p.in.Workers {
		q := w.Quarantine
		if q == nil {
			continue
		}
		if w.Incarnation > q.Incarnation {
			p.propose(&Restore{Worker: w.ID, Since: q.Since, Reason: "the worker was rebooted"})
		} else if p.in.Now.Sub(q.Time.AsTime()) >= quarantineTime {
			p.propose(&Restore{Worker: w.ID, Since: q.Since, Reason: "the time of the quarantine is over"})
		}
	}
}

// place proposes attempts for jobs, the team with the smallest share of the pool first and its oldest
// job first.
func (p *planner) place(jobs []Job, urgent bool) {
	queues := map[team.Name][]Job{}
	var teams []team.Name
	for _, j := range jobs {
		if queues[j.Team] == nil {
			teams = append(teams, j.Team)
		}
		queues[j.Team] = append(queues[j.Team], j)
	}
	slices.Sort(teams)
	for len(teams) > 0 && p.placed < placeLimit {
		next := slices.MinFunc(teams, func(a, b team.Name) int { return cmp.Compare(p.share(a), p.share(b)) })
		rest := p.placeFirst(queues[next], urgent)
		if len(rest) == 0 {
			teams = slices.DeleteFunc(teams, func(t team.Name) bool { return t == next })
			continue
		}
		queues[next] = rest
	}
}

// share is the largest part of any resource of the pool that a team holds, by its weight.
func (p *planner) share(name team.Name) float64 {
	local := p.local[name]
	part := max(ratio(local.Cores, p.total.Cores), ratio(local.Memory, p.total.Memory), ratio(local.Accelerators, p.total.Accelerators))
	return part / float64(max(1, p.in.Teams[name].Weight))
}

func ratio(part, whole int) float64 {
	if whole == 0 {
		return 0
	}
	return float64(part) / float64(whole)
}

// placeFirst places the first job of a team that fits and returns the jobs after it.
func (p *planner) placeFirst(jobs []Job, urgent bool) []Job {
	for i, j := range jobs {
		size := correct(j.Spec, p.usage[j.class()], p.largest)
		quota := Quota(p.in.Teams[j.Team])
		if !p.used[j.Team].plus(size).withinQuota(quota) {
			if urgent {
				p.yield(j, size, quota)
			}
			continue
		}
		if n := p.choose(j, size); n != nil {
			p.take(n, j, size, quota)
			return jobs[i+1:]
		}
		if urgent {
			p.evict(j, size)
			continue
		}
		p.reserve(j, size)
	}
	return nil
}

func (p *planner) take(n *node, j Job, size, quota Size) {
	n.add(j.class(), size)
	p.used[j.Team] = p.used[j.Team].plus(size)
	p.local[j.Team] = p.local[j.Team].plus(size)
	p.placed++
	p.propose(&Place{
		Attempt: Attempt{ID: j.ID, Epoch: j.Epoch + 1}, Worker: n.worker.ID, Incarnation: n.worker.Incarnation,
		Size: size, Quota: quota,
	})
}

// reserve keeps one worker free for the first job that waits too long, so that a stream of small jobs
// does not starve a large one.
func (p *planner) reserve(j Job, size Size) {
	if p.starved || fleet.TimestampOf(p.in.Now)-j.Time < fleet.Timestamp(starveAfter.Milliseconds()) {
		return
	}
	var best *node
	for _, n := range p.nodes {
		if n.reserved || !size.within(n.worker.capacity()) {
			continue
		}
		if best == nil || n.free.Cores > best.free.Cores {
			best = n
		}
	}
	if best != nil {
		best.reserved = true
		p.starved = true
	}
}
