package dispatch

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"hibiscuslane.example/hibiscuslane/pool"
	"hibiscuslane.example/hibiscuslane/queue"
	"hibiscuslane.example/hibiscuslane/relay"
	"hibiscuslane.example/hibiscuslane/schedule"
	"hibiscuslane.example/hibiscuslane/task"
	"hibiscuslane.example/hibiscuslane/team"
	"hibiscuslane.example/hibiscuslane/worker"
)

const (
	// limitRetryDelay is when a caller may try again whose job exceeds the maximum of its team by itself. Only a new version of
	// the configuration can change that.
	limitRetryDelay = 30 * time.Second
	// teamLimitLogInterval is the minimum time between two log lines about a team that waits at its maximum, and between two
	// about its refused jobs.
	teamLimitLogInterval = time.Second
)

// teamState is what this term knows about a team, or about the jobs without one. Its sums follow from the stored placements.
type teamState struct {
	// configured is the team in the last configuration of this term that had it.
	configured queue.Team
	// running is the sum of the full resources of all runs that count (see holdRun). A start may add to it only what the
	// maximum of the team leaves.
	running task.Resources
	// reserved is what the same runs reserve on workers, by the pool of the job when the run was placed. Long-running ones count
	// for the jobs without a team instead.
	reserved map[pool.Name]task.Resources
	// waitingTasks is the number of tasks that waited after the last plan.
	waitingTasks int
	// refusedJobs counts the jobs that exceed the maximum by themselves.
	refusedJobs int64
	// limitLoggedAt and refusalLoggedAt are when the team was last logged as waiting at its maximum and for a refused job.
	limitLoggedAt, refusalLoggedAt time.Time
}

// teamStateOf returns the state of a team with its latest settings. A team that no configuration of this term has had has no
// maximum.
func (d *Dispatcher) teamStateOf(name team.Name) *teamState {
	t := d.teams[name]
	if t == nil {
		t = &teamState{configured: queue.Team{Name: name, Weight: 1}, reserved: map[pool.Name]task.Resources{}}
		if d.teams == nil {
			d.teams = map[team.Name]*teamState{}
		}
		d.teams[name] = t
	}
	if configured, ok := d.config.Team(name); ok {
		t.configured = configured
	}
	return t
}

// holdRun makes a run count for its team. Each cause to count it holds it once: it is in Dispatcher.runs, its start order is
// under way, or it is among Dispatcher.lateStarts.
func (d *Dispatcher) holdRun(r *run) {
	r.holds++
	if r.holds > 1 {
		return
	}
	t := d.teamStateOf(r.job.Team)
	r.pool = r.job.Pool
	t.running = t.running.Add(r.step.Resources)
	s := d.sharerOf(r)
	s.reserved[r.pool] = s.reserved[r.pool].Add(r.reservation)
}

// releaseRun takes back one holdRun.
func (d *Dispatcher) releaseRun(r *run) {
	if r.holds == 0 {
		return
	}
	r.holds--
	if r.holds > 0 {
		return
	}
	t := d.teamStateOf(r.job.Team)
	t.running = t.running.Sub(r.step.Resources)
	s := d.sharerOf(r)
	s.reserved[r.pool] = s.reserved[r.pool].Sub(r.reservation)
}

// sharerOf returns the state in which the reservation of a run counts: that of its team, or that of the jobs without one if
// the run is long-running.
func (d *Dispatcher) sharerOf(r *run) *teamState {
	if r.step.LongRunning {
		return d.teamStateOf("")
	}
	return d.teamStateOf(r.job.Team)
}

// releaseStartOrder records that the start order of a run is no longer under way.
func (d *Dispatcher) releaseStartOrder(r *run) {
	if r.startInFlight {
		r.startInFlight = false
		d.releaseRun(r)
	}
}

// release makes the run of a late start no longer count for its team.
func (l *lateStart) release(d *Dispatcher) {
	if l.held != nil {
		d.releaseRun(l.held)
		l.held = nil
	}
}

// settleLateStart records that a worker has shown that the start of a run took effect, which it does only once. The start is
// watched on.
func (d *Dispatcher) settleLateStart(id worker.ID, started runID) {
	if late := d.lateStarts[id][started]; late != nil {
		late.release(d)
	}
}

// planTeams returns what the teams with waiting steps may still start; nil if there are none.
func (d *Dispatcher) planTeams(pending map[pool.Name][]*schedule.PendingStep) schedule.Teams {
	var teams schedule.Teams
	for _, steps := range pending {
		for _, p := range steps {
			if p.Team == "" || teams[p.Team] != nil {
				continue
			}
			if teams == nil {
				teams = d.runningTeams()
			}
			teams[p.Team] = d.teamStateOf(p.Team).plan()
		}
	}
	return teams
}

// runningTeams returns what the known teams may still start.
func (d *Dispatcher) runningTeams() schedule.Teams {
	teams := schedule.Teams{}
	for name := range d.teams {
		if name != "" {
			teams[name] = d.teamStateOf(name).plan()
		}
	}
	return teams
}

func (t *teamState) plan() *schedule.Team {
	weight := t.configured.Weight
	if weight <= 0 {
		weight = 1
	}
	return &schedule.Team{Weight: weight, Room: schedule.RoomUnder(t.configured.Maximum, t.running)}
}

// planOptions returns for each pool with waiting steps what its plan takes into account; nothing without teams.
func (d *Dispatcher) planOptions(teams schedule.Teams) map[pool.Name]schedule.Options {
	if teams == nil {
		return nil
	}
	options := map[pool.Name]schedule.Options{}
	for _, s := range d.workers {
		if _, listed := d.registrations[s.id]; !listed || s.endedByOrder || s.successor != nil {
			continue
		}
		o := options[s.registration.Pool]
		o.Capacity = o.Capacity.Add(s.registration.Capacity)
		options[s.registration.Pool] = o
	}
	for name, o := range options {
		o.Teams, o.Running = teams, map[team.Name]task.Resources{}
		for owner, t := range d.teams {
			if reserved := t.reserved[name]; reserved != (task.Resources{}) {
				o.Running[owner] = reserved
			}
		}
		options[name] = o
	}
	return options
}

// recordWaits records after the plans how many tasks of each team wait, and logs the teams that wait at their maximum. The tasks
// placed are given by step.
func (d *Dispatcher) recordWaits(pending map[pool.Name][]*schedule.PendingStep, placed map[*schedule.PendingStep]int, teams schedule.Teams, now time.Time) {
	for _, t := range d.teams {
		t.waitingTasks = 0
	}
	for _, steps := range pending {
		for _, p := range steps {
			waiting := len(p.Tasks) - placed[p]
			if p.Team == "" || waiting <= 0 {
				continue
			}
			t := d.teamStateOf(p.Team)
			t.waitingTasks += waiting
			if teams[p.Team].Startable(p) == 0 && now.Sub(t.limitLoggedAt) >= teamLimitLogInterval {
				t.limitLoggedAt = now
				d.log.Info(eventTeamLimited, "team", p.Team, "job", p.Job, "running", t.running, "most", t.configured.Maximum)
			}
		}
	}
}

// isAtMaximum reports whether the maximum of its team keeps the first step of a new job from starting now.
func (d *Dispatcher) isAtMaximum(j *job) bool {
	if j.Team == "" {
		return false
	}
	first := &schedule.PendingStep{Spec: j.Spec.Steps[0], Tasks: make([]int, j.Spec.Steps[0].Count)}
	return d.teamStateOf(j.Team).plan().Startable(first) == 0
}

// refuseTeam returns the refusal of a new job if its team is not known, or if the job could wait for ever: a task of it, or a
// gang, exceeds the maximum of the team by itself. It returns nil if the job can be accepted.
func (d *Dispatcher) refuseTeam(name team.Name, id task.JobID, spec *task.Spec, now time.Time) *relay.Reply {
	if name == "" {
		return nil
	}
	configured, ok := d.config.Team(name)
	if !ok {
		return refusalReply("the team is not configured yet", openRetryDelay)
	}
	for i := range spec.Steps {
		reason := exceededMaximum(&spec.Steps[i], configured.Maximum)
		if reason == "" {
			continue
		}
		t := d.teamStateOf(name)
		t.refusedJobs++
		if now.Sub(t.refusalLoggedAt) >= teamLimitLogInterval {
			t.refusalLoggedAt = now
			d.log.Info(eventJobOverMaximum, "job", id, "team", name, "step", i, "reason", reason, "refused", t.refusedJobs)
		}
		return &relay.Reply{Verdict: relay.Verdict_LIMITED, Reason: fmt.Sprintf("step %d: %s", i, reason), Again: limitRetryDelay.Milliseconds()}
	}
	return nil
}

// exceededMaximum returns in which way a task of a step, or all of a gang, exceed the maximum of a team; empty if they do not.
func exceededMaximum(step *task.Step, maximum task.Resources) string {
	subject, count := "a task", int64(1)
	if step.Gang {
		subject, count = "the gang", int64(step.Count)
	}
	for _, limit := range []struct {
		unit            string
		needed, maximum int64
	}{
		{"thousandths of a core", step.Resources.CPU, maximum.CPU}, {"MB of memory", step.Resources.Memory, maximum.Memory}, {"accelerators", step.Resources.GPU, maximum.GPU},
	} {
		if limit.maximum > 0 && limit.needed > limit.maximum/count {
			return fmt.Sprintf("%s needs %d %s, and the maximum of the team is %d", subject, limit.needed*count, limit.unit, limit.maximum)
		}
	}
	return ""
}

// TeamLoad is what a team has running and waiting.
type TeamLoad struct {
	Name team.Name
	// Room is the share of the maximum that is free, in the component of which least is free. It is 1 without a maximum, and
	// negative if more is running than a lowered maximum allows.
	Room float64
	// Share is what the team reserves, without long-running tasks, as a share of all workers, in the component of which it is
	// largest, relative to the share of its weight among the teams with running or waiting tasks. It is 1 if the team has exactly
	// its weight.
	Share        float64
	WaitingTasks int
	RefusedJobs  int64
}

// TeamLoads returns the loads of all teams that have had a job in this term, by name.
func (d *Dispatcher) TeamLoads() []TeamLoad {
	d.mu.Lock()
	defer d.mu.Unlock()
	var capacity task.Resources
	for _, s := range d.workers {
		capacity = capacity.Add(s.registration.Capacity)
	}
	var weights float64
	for name, t := range d.teams {
		if name != "" && (t.waitingTasks > 0 || t.running != (task.Resources{})) {
			weights += t.plan().Weight
		}
	}
	var loads []TeamLoad
	for name, t := range d.teams {
		if name == "" {
			continue
		}
		var reserved task.Resources
		for _, r := range t.reserved {
			reserved = reserved.Add(r)
		}
		load := TeamLoad{Name: name, Room: 1 - schedule.DominantShare(t.running, t.configured.Maximum), WaitingTasks: t.waitingTasks, RefusedJobs: t.refusedJobs}
		if weights > 0 {
			load.Share = schedule.DominantShare(reserved, capacity) * weights / t.plan().Weight
		}
		loads = append(loads, load)
	}
	slices.SortFunc(loads, func(a, b TeamLoad) int { return cmp.Compare(a.Name, b.Name) })
	return loads
}
