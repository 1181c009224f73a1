package job

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"hibiscuslane.example/hibiscuslane/fleet"
	"hibiscuslane.example/hibiscuslane/instance"
	"hibiscuslane.example/hibiscuslane/site"
	"hibiscuslane.example/hibiscuslane/team"
	"hibiscuslane.example/hibiscuslane/upstream"
)

func input(workers int) Input {
	in := Input{
		Now: start, Pool: "p", Used: map[team.Name]Size{}, Usage: map[Class]Usage{}, Evicted: map[Attempt]Eviction{},
		Teams: map[team.Name]team.Spec{"red": {Weight: 1}, "blue": {Weight: 1}},
	}
	for n := range workers {
		in.Workers = append(in.Workers, Worker{Instance: fleet.Instance{
			ID: instance.ID(fmt.Sprintf("w%02d", n)), Phase: instance.PhaseActive, Incarnation: 1, Pool: "p",
			Centre: site.DataCentre(fmt.Sprint("c", n%2)), Rack: site.Rack(fmt.Sprint("r", n/4)), Cores: 16, Memory: 65536, Accelerators: 1,
		}})
	}
	return in
}

func (in *Input) queue(id ID, change func(*Job)) {
	j := Job{ID: id, Spec: spec("x " + string(id)), Status: StatusQueued, Time: fleet.TimestampOf(start)}
	if change != nil {
		change(&j)
	}
	in.Queued = append(in.Queued, j)
}

// hold adds a running job to a worker.
func (in *Input) hold(worker int, id ID, change func(*Job)) {
	w := &in.Workers[worker]
	j := Job{ID: id, Spec: spec("y"), Status: StatusRunning, Epoch: 1, Attempts: 1}
	if change != nil {
		change(&j)
	}
	j.Placement = &Placement{Worker: w.ID, Incarnation: 1, Size: j.Size, Time: fleet.TimestampOf(start)}
	w.Held = append(w.Held, j)
	in.Used[j.Team] = in.Used[j.Team].plus(j.Size)
}

func cores(n int) func(*Job) { return func(j *Job) { j.Cores = n } }

func urgent(n int) func(*Job) { return func(j *Job) { j.Cores, j.Urgent = n, true } }

// outcome lists the proposals as text.
func outcome(proposals []Proposal) []string {
	var list []string
	for _, p := range proposals {
		switch p := p.(type) {
		case Evict:
			list = append(list, fmt.Sprintf("%s %s on %s", p.Verb, p.ID, p.Worker))
		case Record:
			switch b := p.Body.(type) {
			case *Place:
				list = append(list, fmt.Sprintf("place %s on %s", b.ID, b.Worker))
			case *Quarantine:
				list = append(list, "quarantine "+string(b.Worker))
			case *Restore:
				list = append(list, "restore "+string(b.Worker))
			}
		}
	}
	return list
}

// TestPlan guards against a wrong order, placements that do not fit or exceed a quota, and victims that
// must not or need not give way.
func TestPlan(t *testing.T) {
	suspect := &Quarantine{Worker: "w00", Incarnation: 1}
	tests := []struct {
		name    string
		workers int
		set     func(in *Input)
		want    []string
	}{
		{"urgent first", 1, func(in *Input) {
			in.queue("a", cores(16))
			in.queue("b", urgent(16))
		}, []string{"place b on w00"}},
		{"the team with the smaller share first", 1, func(in *Input) {
			in.hold(0, "r", cores(8))
			in.queue("a", cores(8))
			in.queue("b", func(j *Job) { j.Cores, j.Team = 8, "blue" })
		}, []string{"place b on w00"}},
		{"oldest of a team first", 1, func(in *Input) {
			in.queue("a", cores(10))
			in.queue("b", cores(10))
		}, []string{"place a on w00"}},
		{"quota of all pools", 2, func(in *Input) {
			in.Teams["red"] = team.Spec{Weight: 1, Cores: 20}
			in.Used["red"] = Size{Cores: 12}
			in.queue("a", cores(8))
			in.queue("b", cores(1))
		}, []string{"place a on w00"}},
		{"spread over data centres", 4, func(in *Input) {
			for n := range 4 {
				in.queue(ID(fmt.Sprint(n)), func(j *Job) { j.Command = "same" })
			}
		}, []string{"place 0 on w00", "place 1 on w01", "place 2 on w02", "place 3 on w03"}},
		{"not on draining workers", 2, func(in *Input) {
			in.Workers[0].Phase = instance.PhaseDraining
			in.queue("a", nil)
		}, []string{"place a on w01"}},
		{"not on a worker where it failed", 2, func(in *Input) {
			in.queue("a", func(j *Job) { j.Failures = []Failure{{Worker: "w00", Incarnation: 1}} })
		}, []string{"place a on w01"}},
		{"accelerators are kept for jobs that need them", 2, func(in *Input) {
			in.Workers[1].Accelerators = 0
			in.queue("a", nil)
			in.queue("b", func(j *Job) { j.Accelerators = 1 })
		}, []string{"place a on w01", "place b on w00"}},
		{"a starving job keeps a worker free", 2, func(in *Input) {
			in.hold(0, "r", cores(2))
			in.hold(1, "s", cores(4))
			in.queue("a", func(j *Job) { j.Cores, j.Time = 16, fleet.TimestampOf(start.Add(-time.Minute)) })
			in.queue("b", nil)
		}, []string{"place b on w01"}},
		{"reported memory counts", 2, func(in *Input) {
			in.hold(0, "r", nil)
			in.Workers[0].Reported = map[ID]upstream.TaskStatus{"r": {Epoch: 1, Memory: 65000}}
			in.hold(1, "s", nil)
			in.hold(1, "s2", nil)
			in.queue("a", nil)
		}, []string{"place a on w01"}},
		{"declared far too small", 1, func(in *Input) {
			in.Usage[Class{"red", "x a"}] = Usage{Cores: 12, Samples: 1}
			in.hold(0, "r", cores(8))
			in.queue("a", cores(1))
		}, nil},
		{"declared far too large", 1, func(in *Input) {
			in.Usage[Class{"red", "x a"}] = Usage{Cores: 1, Memory: 10, Samples: sampleLimit}
			in.hold(0, "r", cores(8))
			in.queue("a", cores(16))
		}, []string{"place a on w00"}},
		{"urgent checkpoints the newest", 1, func(in *Input) {
			in.hold(0, "r", cores(8))
			in.hold(0, "s", cores(8))
			in.Workers[0].Held[1].Placement.Time++
			in.queue("u", urgent(8))
		}, []string{"checkpoint s on w00"}},
		{"the worker with the fewest victims", 2, func(in *Input) {
			in.hold(0, "r", cores(8))
			in.hold(0, "s", cores(8))
			in.hold(1, "v", cores(16))
			in.queue("u", urgent(16))
		}, []string{"checkpoint v on w01"}},
		{"no end for a job on its last attempt", 1, func(in *Input) {
			in.hold(0, "r", func(j *Job) { j.Cores, j.Limit = 16, 1 })
			in.queue("u", urgent(8))
		}, []string{"throttle r on w00"}},
		{"throttled jobs leave room", 1, func(in *Input) {
			in.hold(0, "r", func(j *Job) { j.Cores, j.Limit = 16, 1 })
			in.Evicted[Attempt{"r", 1}] = Eviction{Verb: VerbThrottle}
			in.queue("u", urgent(8))
		}, []string{"place u on w00"}},
		{"stop after a refused checkpoint if throttling is not enough", 1, func(in *Input) {
			in.hold(0, "r", cores(16))
			in.Evicted[Attempt{"r", 1}] = Eviction{Verb: VerbCheckpoint, Refused: true}
			in.queue("u", urgent(16))
		}, []string{"stop r on w00"}},
		{"an accepted eviction is waited for", 2, func(in *Input) {
			in.hold(0, "r", cores(16))
			in.hold(1, "s", cores(16))
			in.Evicted[Attempt{"s", 1}] = Eviction{Verb: VerbCheckpoint}
			in.queue("u", urgent(16))
			in.queue("a", cores(1))
		}, nil},
		{"urgent jobs do not give way", 1, func(in *Input) {
			in.hold(0, "r", urgent(16))
			in.queue("u", urgent(8))
		}, nil},
		{"no victims beyond the quota", 1, func(in *Input) {
			in.Teams["blue"] = team.Spec{Weight: 1, Cores: 4}
			in.hold(0, "r", cores(16))
			in.queue("u", func(j *Job) { j.Cores, j.Team, j.Urgent = 8, "blue", true })
		}, nil},
		{"other jobs of the team give way in its quota", 2, func(in *Input) {
			in.Teams["red"] = team.Spec{Weight: 1, Cores: 16}
			in.hold(0, "r", cores(16))
			in.queue("u", urgent(8))
		}, []string{"checkpoint r on w00"}},
		{"room in the quota is not used before the victims have ended", 2, func(in *Input) {
			in.Teams["red"] = team.Spec{Weight: 1, Cores: 4}
			in.hold(0, "r", nil)
			in.queue("u", urgent(1))
			in.queue("a", cores(1))
		}, []string{"checkpoint r on w00"}},
		{"suspect goes to quarantine", 2, func(in *Input) {
			in.Workers[0].Suspect = suspect
			in.queue("a", nil)
		}, []string{"quarantine w00", "place a on w01"}},
		{"never the only worker in quarantine", 1, func(in *Input) {
			in.Workers[0].Suspect = suspect
			in.queue("a", nil)
		}, []string{"place a on w00"}},
		{"not the whole pool in quarantine", 2, func(in *Input) {
			in.Workers[0].Suspect = suspect
			in.Workers[1].Quarantine = &Quarantined{Worker: "w01", Incarnation: 1, Time: fleet.TimestampOf(start)}
			in.queue("a", nil)
		}, []string{"place a on w00"}},
		{"back after the time", 1, func(in *Input) {
			in.Workers[0].Quarantine = &Quarantined{Worker: "w00", Incarnation: 1, Time: fleet.TimestampOf(start.Add(-quarantineTime))}
		}, []string{"restore w00"}},
		{"back after a reboot", 1, func(in *Input) {
			in.Workers[0].Quarantine = &Quarantined{Worker: "w00", Time: fleet.TimestampOf(start)}
		}, []string{"restore w00"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			in := input(test.workers)
			test.set(&in)
			require.Equal(t, test.want, outcome(Plan(in)))
		})
	}
}

// TestPlanBounds guards, over random pools, against a worker or quota that is exceeded, a job placed
// twice, a victim that is urgent or has no attempt left, and plans that differ for equal inputs.
func TestPlanBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		in := input(rapid.IntRange(1, 5).Draw(t, "workers"))
		in.Teams["red"] = team.Spec{Weight: 1, Cores: rapid.IntRange(0, 40).Draw(t, "quota")}
		draw := func(j *Job) {
			j.Cores = rapid.IntRange(1, 20).Draw(t, "cores")
			j.Accelerators = rapid.IntRange(0, 1).Draw(t, "accelerators")
			j.Urgent = rapid.Bool().Draw(t, "urgent")
			j.Limit = rapid.IntRange(1, 2).Draw(t, "limit")
			j.Team = rapid.SampledFrom([]team.Name{"red", "blue"}).Draw(t, "team")
		}
		for n := range rapid.IntRange(0, 6).Draw(t, "held") {
			in.hold(n%len(in.Workers), ID(fmt.Sprint("h", n)), draw)
		}
		for n := range rapid.IntRange(0, 12).Draw(t, "queued") {
			in.queue(ID(fmt.Sprint("q", n)), draw)
		}
		proposals := Plan(in)
		require.Equal(t, proposals, Plan(in))
		checkPlan(t, in, proposals)
	})
}

func checkPlan(t *rapid.T, in Input, proposals []Proposal) {
	added := map[instance.ID]Size{}
	used := in.Used["red"]
	var seen []string
	for _, p := range proposals {
		require.NotContains(t, seen, p.Decision())
		seen = append(seen, p.Decision())
		switch p := p.(type) {
		case Record:
			b := p.Body.(*Place)
			added[b.Worker] = added[b.Worker].plus(b.Size)
			at := slices.IndexFunc(in.Queued, func(j Job) bool { return j.ID == b.ID })
			if in.Queued[at].Team == "red" {
				used = used.plus(b.Size)
				require.True(t, used.withinQuota(Quota(in.Teams["red"])))
			}
		case Evict:
			at := slices.IndexFunc(in.Workers, func(w Worker) bool { return w.ID == p.Worker })
			held := in.Workers[at].Held
			j := held[slices.IndexFunc(held, func(j Job) bool { return j.ID == p.ID })]
			require.False(t, j.Urgent)
			require.True(t, p.Verb == VerbThrottle || j.Attempts < j.Limit, "%s of a job on its last attempt", p.Verb)
		}
	}
	for _, w := range in.Workers {
		total := added[w.ID]
		for _, j := range w.Held {
			total = total.plus(j.Placement.Size)
		}
		require.True(t, added[w.ID] == Size{} || total.within(w.capacity()), "%s is overcommitted: %+v", w.ID, total)
	}
}
