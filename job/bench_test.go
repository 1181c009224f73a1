package job

import (
	"encoding/json"
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hibiscuslane.example/hibiscuslane/fleet"
	"hibiscuslane.example/hibiscuslane/instance"
	"hibiscuslane.example/hibiscuslane/record"
	"hibiscuslane.example/hibiscuslane/stream"
	"hibiscuslane.example/hibiscuslane/team"
	"hibiscuslane.example/hibiscuslane/upstream"
)

// Figures of the target size.
const (
	benchTeams   = 170
	benchWorkers = 6600
	// benchPool is the mean number of workers in one of 290 pools.
	benchPool = 23
)

// opened returns a state with open jobs. Its limits admit more than the default of 20,000.
func opened(b *testing.B, open int) *fixture {
	h := &fixture{t: b, state: &State{Limits: Limits{MaxOpenJobs: open + 1000, MaxTextBytes: 1 << 30}}}
	for n := range open {
		h.apply(benchSubmit(n, ID(fmt.Sprintf("open-%032d", n))))
	}
	return h
}

func benchSubmit(n int, id ID) *Submit {
	s := submit(id, "command of some length", 3)
	s.Team = team.Name(fmt.Sprint("team-", n%benchTeams))
	return s
}

// lifecycle returns the n-th record of a sequence of whole jobs: submit, place, start, finish.
func lifecycle(n int) Body {
	id := ID(fmt.Sprintf("job-%033d", n/4))
	switch n % 4 {
	case 0:
		return benchSubmit(n/4, id)
	case 1:
		return place(id, 1, instance.ID(fmt.Sprint("w", n/4%benchWorkers)))
	case 2:
		return &Start{AttemptID{id, 1}}
	}
	return finish(id, 1, upstream.TaskDone)
}

// BenchmarkFold measures the fold of one record over whole jobs, the bytes of state per open job, and
// the bytes of a record in the log.
func BenchmarkFold(b *testing.B) {
	for _, open := range []int{1000, 10_000, 100_000} {
		b.Run(fmt.Sprintf("jobs=%d", open), func(b *testing.B) {
			before := heap()
			h := opened(b, open)
			state := heap() - before
			bytes := 0
			envelopes := make([]record.Envelope, b.N)
			for n := range envelopes {
				body := lifecycle(n)
				data, _ := json.Marshal(body)
				id := record.ID{Writer: record.Writer{Entry: "alpha-entry-1", Incarnation: 1_790_000_000_000_000_000}, Sequence: record.Sequence(n + 1)}
				envelopes[n] = record.Envelope{ID: id, Kind: body.Kind(), Time: start, Author: "alpha-entry-1", Body: data}
				stored, err := record.Encode(envelopes[n])
				require.NoError(b, err)
				bytes += len(stored)
			}
			b.ReportAllocs()
			b.ResetTimer()
			for n, e := range envelopes {
				if v := h.state.Fold(h.next+record.Offset(n), e); v.Result != stream.ResultApplied {
					b.Fatal(v)
				}
			}
			b.ReportMetric(float64(state), "heap-B")
			b.ReportMetric(float64(bytes)/float64(b.N), "record-B")
		})
	}
}

// BenchmarkQueued measures the ordered copy of the queued jobs of one pool, which each plan takes.
func BenchmarkQueued(b *testing.B) {
	for _, queued := range []int{100, 1000, 10_000} {
		b.Run(fmt.Sprintf("queued=%d", queued), func(b *testing.B) {
			h := opened(b, queued)
			b.ReportAllocs()
			for b.Loop() {
				h.state.QueuedJobs("p")
			}
		})
	}
}

// BenchmarkPlan measures the plan of one pool whose workers are free, and of one whose workers are full,
// so that no queued job fits.
func BenchmarkPlan(b *testing.B) {
	for _, full := range []bool{false, true} {
		for _, queued := range []int{10, 100, 1000, 10_000} {
			b.Run(fmt.Sprintf("full=%t/queued=%d", full, queued), func(b *testing.B) {
				in := planInput(opened(b, queued), full)
				b.ReportAllocs()
				placed := 0
				for b.Loop() {
					placed = len(Plan(in))
				}
				b.ReportMetric(float64(placed), "placed")
			})
		}
	}
}

func planInput(h *fixture, full bool) PlanInput {
	in := PlanInput{
		Now: start.Add(time.Minute), Pool: "p", QueuedJobs: h.state.QueuedJobs("p"), Teams: map[team.Name]team.Spec{},
		ReservedByTeam: map[team.Name]Size{}, UsageByClass: map[Class]Usage{}, Evictions: map[AttemptID]EvictionResult{},
	}
	for n := range benchTeams {
		in.Teams[team.Name(fmt.Sprint("team-", n))] = team.Spec{Weight: 1}
	}
	for n := range benchPool {
		w := Worker{Instance: fleet.Instance{
			ID: instance.ID(fmt.Sprint("w", n)), Kind: instance.KindWorker, Phase: instance.PhaseActive, Incarnation: 1, Cores: 32, Memory: 128 << 10,
		}}
		for held := range w.Cores / 4 {
			if !full {
				break
			}
			j := Job{ID: ID(fmt.Sprint("held-", n, "-", held)), Spec: spec("other"), Status: StatusRunning, Epoch: 1}
			j.Placement = &Placement{Worker: w.ID, Incarnation: 1, Size: Size{Cores: 4, Memory: 1024}}
			w.ActiveJobs = append(w.ActiveJobs, j)
		}
		in.Workers = append(in.Workers, w)
	}
	return in
}

// heap returns the bytes of live objects.
func heap() int64 {
	var stats runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}
