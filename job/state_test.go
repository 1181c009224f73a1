package job

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"hibiscuslane.example/hibiscuslane/instance"
	"hibiscuslane.example/hibiscuslane/record"
	"hibiscuslane.example/hibiscuslane/stream"
	"hibiscuslane.example/hibiscuslane/upstream"
)

// fixture folds bodies at increasing offsets, a second apart.
type fixture struct {
	t     require.TestingT
	state *State
	next  record.Offset
	// quota bounds the cores of drawn placements.
	quota int
}

func (h *fixture) fold(body Body) stream.Verdict {
	data, err := json.Marshal(body)
	require.NoError(h.t, err)
	v := h.state.Fold(h.next, record.Envelope{Kind: body.Kind(), Time: start.Add(time.Duration(h.next) * time.Second), Body: data})
	h.next++
	return v
}

func (h *fixture) apply(bodies ...Body) {
	for _, b := range bodies {
		require.Equal(h.t, stream.Applied, h.fold(b), "%s %+v", b.Kind(), b)
	}
}

func submit(id ID, command string, limit int) *Submit {
	s := spec(command)
	s.MaxAttempts = limit
	return &Submit{ID: id, Spec: s}
}

func place(id ID, epoch Epoch, on instance.ID) *Place {
	return &Place{AttemptID: AttemptID{id, epoch}, Worker: on, Incarnation: 1, Size: Size{Cores: 4, Memory: 1024}}
}

func finish(id ID, epoch Epoch, state upstream.TaskState) *Finish {
	return &Finish{AttemptID: AttemptID{id, epoch}, State: state, Reason: "exit 1"}
}

// drawBody draws a record that often, but not always, fits the state.
func (h *fixture) drawBody(t *rapid.T) Body {
	id := ID(rapid.SampledFrom([]string{"a", "b", "c", "d", "e"}).Draw(t, "id"))
	epoch := Epoch(rapid.IntRange(1, 4).Draw(t, "epoch"))
	if j, ok := h.state.Job(id); ok && rapid.Bool().Draw(t, "fits") {
		epoch = max(1, j.Epoch)
		if j.Status == StatusQueued {
			epoch = j.Epoch + 1
		}
	}
	on := instance.ID(rapid.SampledFrom([]string{"w1", "w2", "w3", "w4"}).Draw(t, "worker"))
	switch rapid.IntRange(0, 13).Draw(t, "kind") {
	case 0, 1:
		s := submit(id, rapid.SampledFrom([]string{"x", "y"}).Draw(t, "command"), rapid.IntRange(1, 3).Draw(t, "limit"))
		s.Key = rapid.SampledFrom([]string{"", "k", "l"}).Draw(t, "key")
		return s
	case 2, 3, 4, 5:
		p := place(id, epoch, on)
		p.Quota.Cores = h.quota
		return p
	case 6, 7:
		return &Start{AttemptID{id, epoch}}
	case 8, 9:
		state := rapid.SampledFrom([]upstream.TaskState{upstream.TaskDone, upstream.TaskFailed, upstream.TaskStopped, upstream.TaskLapsed}).Draw(t, "state")
		f := finish(id, epoch, state)
		f.Memory = rapid.IntRange(0, 2000).Draw(t, "memory")
		return f
	case 10:
		return &Abandon{AttemptID: AttemptID{id, epoch}}
	case 11:
		return &Cancel{IDs: []ID{id, "a"}}
	case 12:
		return &Quarantine{Worker: on, Incarnation: 1}
	}
	return &Restore{Worker: on, QuarantineOffset: record.Offset(rapid.IntRange(0, 60).Draw(t, "since"))}
}

// observed is what a caller could hold against the system, kept apart from the state.
type observed struct {
	placed map[ID]int
	// live holds the epoch that was placed and has not ended.
	live   map[ID]Epoch
	taken  map[AttemptID]bool
	final  map[ID]Status
	exists map[ID]bool
}

func (o *observed) check(t *rapid.T, s *State, body Body) {
	switch b := body.(type) {
	case *Submit:
		o.exists[b.ID], o.placed[b.ID] = true, 0
		delete(o.final, b.ID)
		delete(o.live, b.ID)
		for a := range o.taken {
			if a.ID == b.ID {
				delete(o.taken, a)
			}
		}
	case *Place:
		require.True(t, o.exists[b.ID], "a job that was never accepted is placed")
		require.Zero(t, o.live[b.ID], "an attempt is placed while epoch %d has not ended", o.live[b.ID])
		require.Empty(t, o.final[b.ID], "a job that has ended is placed")
		o.placed[b.ID]++
		o.live[b.ID] = b.Epoch
		j, _ := s.Job(b.ID)
		require.LessOrEqual(t, o.placed[b.ID], j.MaxAttempts, "more attempts than the limit")
	case *Finish:
		require.False(t, o.taken[b.AttemptID], "a result is taken twice")
		require.Equal(t, o.live[b.ID], b.Epoch, "the result of another epoch is taken")
		o.taken[b.AttemptID] = true
		o.live[b.ID] = 0
	case *Abandon:
		require.Equal(t, o.live[b.ID], b.Epoch)
		o.live[b.ID] = 0
	}
	for id := range o.exists {
		j, ok := s.Job(id)
		if !ok {
			continue
		}
		if last := o.final[id]; last != "" {
			require.Equal(t, last, j.Status, "a job that has ended changes")
		}
		if j.Status.IsFinal() {
			o.final[id] = j.Status
			o.live[id] = 0
		}
	}
}

// TestHistories guards, over random histories, against attempts above the limit, two live epochs, a
// result that is taken twice or from another epoch, a job that runs without an accepted submit, a quota
// that is exceeded, and a snapshot that loses state.
func TestHistories(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := &fixture{t: t, state: &State{Limits: Limits{MaxEndedJobs: 3, MaxOpenJobs: 4}}, quota: rapid.IntRange(1, 4).Draw(t, "quota") * 4}
		o := &observed{placed: map[ID]int{}, live: map[ID]Epoch{}, taken: map[AttemptID]bool{}, final: map[ID]Status{}, exists: map[ID]bool{}}
		for range rapid.IntRange(0, 80).Draw(t, "records") {
			digest := h.state.Digest()
			body := h.drawBody(t)
			verdict := h.fold(body)
			require.NotEqual(t, stream.ResultInvalid, verdict.Result, verdict.Reason)
			if verdict.Result == stream.ResultApplied {
				o.check(t, h.state, body)
			} else {
				require.Equal(t, digest, h.state.Digest(), "a record that is not applied changes nothing")
			}
			require.LessOrEqual(t, h.state.ReservedByTeam()["red"].Cores, h.quota, "the quota is exceeded")
			_, ended := h.state.CountJobs()
			require.LessOrEqual(t, ended, 3)
		}
		checkRestore(t, h)
	})
}

func checkRestore(t *rapid.T, h *fixture) {
	data, err := h.state.Snapshot()
	require.NoError(t, err)
	other := &fixture{t: t, state: &State{Limits: h.state.Limits}, next: h.next}
	require.NoError(t, other.state.Restore(data))
	again, err := other.state.Snapshot()
	require.NoError(t, err)
	require.Equal(t, string(data), string(again))
	for range 5 {
		body := h.drawBody(t)
		require.Equal(t, h.fold(body), other.fold(body))
	}
	require.Equal(t, h.state.Digest(), other.state.Digest(), "restored and folded states continue alike")
	require.Equal(t, h.state.ReservedByTeam(), other.state.ReservedByTeam())
	require.Equal(t, h.state.WorkersWithActiveJobs(), other.state.WorkersWithActiveJobs())
}

// TestKeys guards against two jobs for one idempotency key, and against keys shared between teams.
func TestKeys(t *testing.T) {
	h := &fixture{t: t, state: &State{}}
	first, second, other := submit("a", "x", 1), submit("b", "x", 1), submit("c", "x", 1)
	first.Key, second.Key, other.Key, other.Team = "k", "k", "k", "blue"
	h.apply(first, other)
	require.Equal(t, stream.Stale(reasonKey), h.fold(second))
	j, ok := h.state.JobByIdempotencyKey("red", "k")
	require.True(t, ok)
	require.Equal(t, ID("a"), j.ID)
}

// TestUnknown guards against a last attempt without a report that is shown as failed or run again.
func TestUnknown(t *testing.T) {
	h := &fixture{t: t, state: &State{}}
	h.apply(submit("a", "x", 1), place("a", 1, "w"), &Abandon{AttemptID: AttemptID{"a", 1}})
	j, _ := h.state.Job("a")
	require.Equal(t, StatusUnknown, j.Status)
	require.Equal(t, stream.Stale(reasonStatus), h.fold(place("a", 2, "w")))
}

// busy lets each worker complete a job of its own class.
func (h *fixture) busy(workers ...instance.ID) {
	for _, w := range workers {
		id := ID(fmt.Sprint("ok", h.next))
		h.apply(submit(id, "good "+string(w), 1), place(id, 1, w), finish(id, 1, upstream.TaskDone))
	}
}

// fail submits a job unless it exists, and lets it fail on the workers in turn.
func (h *fixture) fail(id ID, command string, workers ...instance.ID) {
	if _, ok := h.state.Job(id); !ok {
		h.apply(submit(id, command, 10))
	}
	for _, w := range workers {
		j, _ := h.state.Job(id)
		h.apply(place(id, j.Epoch+1, w), finish(id, j.Epoch+1, upstream.TaskFailed))
	}
}

func (h *fixture) status(id ID) Status {
	j, _ := h.state.Job(id)
	return j.Status
}

func (h *fixture) suspects() []instance.ID {
	var ids []instance.ID
	for id := range h.state.SuspectWorkers() {
		ids = append(ids, id)
	}
	return ids
}

// TestBadJobOrWorker guards against a job that can never run and uses up its limit or has workers put in
// quarantine, and against a worker that fails everything and ends good jobs or goes on.
func TestBadJobOrWorker(t *testing.T) {
	tests := []struct {
		name     string
		run      func(h *fixture)
		status   Status
		suspects []instance.ID
	}{
		{"job fails on three good workers", func(h *fixture) {
			h.busy("w1", "w2", "w3")
			h.fail("j", "bad", "w1", "w2", "w3")
		}, StatusFailed, nil},
		{"three failures on one good worker", func(h *fixture) {
			h.busy("w1")
			h.fail("j", "bad", "w1", "w1", "w1")
		}, StatusQueued, nil},
		{"workers without a success prove nothing", func(h *fixture) {
			h.fail("j", "bad", "w1", "w2", "w3")
		}, StatusQueued, nil},
		{"many jobs that can never run spare the workers", func(h *fixture) {
			h.busy("w1", "w2", "w3")
			for n := range 6 {
				h.fail(ID(fmt.Sprint("k", n)), "bad", "w1", "w2", "w3")
			}
			h.fail("j", "bad", "w1", "w2", "w3")
		}, StatusFailed, nil},
		{"worker fails distinct jobs in a row", func(h *fixture) {
			h.busy("w1", "w2")
			h.fail("j", "a", "w1")
			h.fail("k", "b", "w1")
			h.fail("l", "c", "w1")
		}, StatusQueued, []instance.ID{"w1"}},
		{"jobs succeed elsewhere", func(h *fixture) {
			h.busy("w2")
			h.fail("j", "a", "w1")
			h.fail("k", "a", "w1")
			h.apply(place("j", 2, "w2"), finish("j", 2, upstream.TaskDone), place("k", 2, "w2"), finish("k", 2, upstream.TaskDone))
		}, StatusDone, []instance.ID{"w1"}},
		{"out of memory tells nothing about the worker or the job", func(h *fixture) {
			h.busy("w1", "w2", "w3")
			for n, w := range []instance.ID{"w1", "w2", "w3", "w1", "w1", "w1"} {
				id := ID(fmt.Sprint("k", n))
				h.apply(submit(id, string(id), 2), place(id, 1, w), &Finish{AttemptID: AttemptID{id, 1}, State: upstream.TaskFailed, Reason: memoryReason})
			}
			h.apply(submit("j", "a", 9))
			for n, w := range []instance.ID{"w1", "w2", "w3"} {
				h.apply(place("j", Epoch(n+1), w), &Finish{AttemptID: AttemptID{"j", Epoch(n + 1)}, State: upstream.TaskFailed, Reason: memoryReason})
			}
		}, StatusQueued, nil},
		{"a success clears the worker", func(h *fixture) {
			h.fail("j", "a", "w1")
			h.fail("k", "b", "w1")
			h.busy("w1")
			h.fail("l", "c", "w1")
		}, StatusQueued, nil},
		{"a failure on a doubtful worker counts neither way", func(h *fixture) {
			h.busy("w1", "w2", "w3")
			h.fail("k", "a", "w1")
			h.fail("l", "b", "w1")
			h.fail("j", "c", "w1", "w2", "w3")
		}, StatusQueued, nil},
		{"a bad job and a bad worker together", func(h *fixture) {
			h.busy("w1", "w2", "w3", "w4")
			h.fail("j", "bad", "w2", "w1", "w3")
			h.fail("k", "a", "w1")
			h.fail("l", "b", "w1")
			h.fail("m", "c", "w1")
			require.Equal(h.t, StatusFailed, h.status("j"), "w1 is not known to be bad yet")
			h.fail("j2", "bad", "w1", "w2", "w3")
			require.Equal(h.t, StatusQueued, h.status("j2"), "w1 tells nothing about a job")
			h.fail("j2", "bad", "w4")
			h.apply(place("k", 2, "w2"), finish("k", 2, upstream.TaskDone))
		}, StatusFailed, []instance.ID{"w1"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			h := &fixture{t: t, state: &State{}}
			test.run(h)
			id := ID("j")
			if _, ok := h.state.Job("j2"); ok {
				id = "j2"
			}
			j, _ := h.state.Job(id)
			require.Equal(t, test.status, j.Status, "%+v", j)
			if j.Status == StatusFailed {
				require.Contains(t, j.Result.Reason, "cannot run")
				require.Less(t, j.Attempts, j.MaxAttempts)
			}
			require.Equal(t, test.suspects, h.suspects())
		})
	}
}

// TestQuarantine guards against attempts on a worker in quarantine, an end of another quarantine, and
// evidence that outlives it.
func TestQuarantine(t *testing.T) {
	h := &fixture{t: t, state: &State{}}
	h.fail("j", "a", "w1")
	h.fail("k", "b", "w1")
	h.fail("l", "c", "w1")
	since := h.next
	h.apply(&Quarantine{Worker: "w1", Incarnation: 1})
	require.Empty(t, h.suspects())
	require.Equal(t, stream.Stale(reasonQuarantine), h.fold(place("j", 2, "w1")))
	later := place("j", 2, "w1")
	later.Incarnation = 2
	h.apply(later)
	require.Equal(t, stream.ResultStale, h.fold(&Restore{Worker: "w1", QuarantineOffset: since + 1}).Result)
	h.apply(&Restore{Worker: "w1", QuarantineOffset: since}, place("k", 2, "w1"))
	require.Empty(t, h.suspects())
}

// TestUsage guards against an estimate that follows a lagging report down at once, or a rise slowly.
func TestUsage(t *testing.T) {
	h := &fixture{t: t, state: &State{}}
	done := func(id ID, memory int) {
		f := finish(id, 1, upstream.TaskDone)
		f.Memory, f.Cores = memory, 1
		h.apply(submit(id, "x", 1), place(id, 1, "w"), f)
	}
	size := func() int {
		return correct(spec("x"), h.state.ClassUsage(Class{Team: "red", Command: "x"}), Size{Cores: 16, Memory: 64000}).Memory
	}
	done("a", 100)
	require.Equal(t, 1024, size(), "one report below the declared size")
	done("b", 0)
	done("c", 4000)
	require.Equal(t, 4800, size(), "a rise counts at once, with a margin")
	done("d", 100)
	require.Equal(t, 3864, size(), "a fall counts slowly")
	for n := range 30 {
		done(ID(fmt.Sprint("e", n)), 100)
	}
	require.Less(t, size(), 150, "the declared size is far too large")
	h.apply(submit("f", "x", 2), place("f", 1, "w"), &Finish{AttemptID: AttemptID{"f", 1}, State: upstream.TaskFailed, Reason: memoryReason})
	require.Equal(t, 1844, size(), "out of memory with 1024 MB reserved")
}

// FuzzFold guards against a record body that panics, breaks a snapshot, or changes the state although it
// is refused.
func FuzzFold(f *testing.F) {
	for _, body := range []Body{submit("a", "x", 1), place("z", 1, "w"), &Start{AttemptID{"y", 1}}, finish("y", 1, upstream.TaskDone), &Abandon{AttemptID: AttemptID{"y", 1}}, &Cancel{IDs: []ID{"y", "z"}}, &Quarantine{Worker: "w"}, &Restore{Worker: "w"}} {
		data, _ := json.Marshal(body)
		f.Add(string(body.Kind()), data)
	}
	f.Add("place", []byte(`{"id":"z","epoch":18446744073709551615,"worker":"w"}`))
	f.Add("finish", []byte(`{"id":"y","epoch":1,"state":"failed","reason":"\ud800"}`))
	f.Fuzz(func(t *testing.T, kind string, data []byte) {
		h := &fixture{t: t, state: &State{}}
		h.apply(submit("z", "x", 1), submit("y", "x", 2), place("y", 1, "w"))
		digest := h.state.Digest()
		verdict := h.state.Fold(h.next, record.Envelope{Kind: record.Kind(kind), Time: start, Body: data})
		if verdict.Result != stream.ResultApplied {
			require.Equal(t, digest, h.state.Digest())
		}
		snapshot, err := h.state.Snapshot()
		require.NoError(t, err)
		other := &State{}
		require.NoError(t, other.Restore(snapshot), "an applied record leaves a state that restores")
		require.Equal(t, h.state.Digest(), other.Digest())
	})
}
