package fleet_test

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"hibiscuslane.example/hibiscuslane/fleet"
	"hibiscuslane.example/hibiscuslane/instance"
	"hibiscuslane.example/hibiscuslane/pool"
	"hibiscuslane.example/hibiscuslane/record"
	"hibiscuslane.example/hibiscuslane/stream"
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func envelope(t require.TestingT, offset record.Offset, body fleet.Body) record.Envelope {
	data, err := json.Marshal(body)
	require.NoError(t, err)
	return record.Envelope{
		ID:   record.ID{Writer: record.Writer{Entry: "entry-1"}, Sequence: record.Sequence(offset + 1)},
		Kind: body.Kind(), Time: epoch.Add(time.Duration(offset) * time.Second), Author: "entry-1", Body: data,
	}
}

func on(id instance.ID, version fleet.Version) fleet.RecordHeader {
	return fleet.RecordHeader{ID: id, Version: version}
}

func admit(id instance.ID, version fleet.Version, name pool.Name, incarnation instance.Incarnation) *fleet.Admit {
	return &fleet.Admit{RecordHeader: on(id, version), InstanceKind: instance.KindTarget, Pool: name, Incarnation: incarnation, Address: "127.0.0.1:1", Centre: "c1", Rack: "r1"}
}

func join(id instance.ID, version fleet.Version, name pool.Name, incarnation instance.Incarnation) *fleet.Join {
	return &fleet.Join{RecordHeader: on(id, version), Pool: name, Incarnation: incarnation, Address: "127.0.0.1:2", Centre: "c1", Rack: "r1"}
}

// TestPhases guards against a record that is applied in the wrong phase, at the wrong version, or over
// the limits that it names.
func TestPhases(t *testing.T) {
	steps := []struct {
		body  fleet.Body
		want  stream.Result
		phase instance.Phase
	}{
		{join("a", 0, "p", 2), stream.ResultStale, ""},
		{admit("a", 1, "p", 1), stream.ResultStale, ""},
		{admit("a", 0, "p", 1), stream.ResultApplied, instance.PhaseActive},
		{admit("a", 1, "p", 2), stream.ResultStale, instance.PhaseActive},
		{join("a", 1, "q", 2), stream.ResultStale, instance.PhaseActive},
		{&fleet.Remove{RecordHeader: on("a", 1)}, stream.ResultStale, instance.PhaseActive},
		{&fleet.Drain{RecordHeader: on("a", 1), NextPool: "q", MinActive: 1}, stream.ResultStale, instance.PhaseActive},
		{&fleet.Drain{RecordHeader: on("a", 1), NextPool: "q", MinActive: -1}, stream.ResultInvalid, instance.PhaseActive},
		{&fleet.Drain{RecordHeader: on("a", 1), NextPool: "q", MaxDrainingInRack: 1, MaxDrainingInCentre: 1}, stream.ResultApplied, instance.PhaseDraining},
		{&fleet.Drain{RecordHeader: on("a", 1), NextPool: "p"}, stream.ResultStale, instance.PhaseDraining},
		{admit("b", 0, "p", 1), stream.ResultApplied, instance.PhaseDraining},
		{&fleet.Drain{RecordHeader: on("b", 1), NextPool: "q", MaxDrainingInRack: 1}, stream.ResultStale, instance.PhaseDraining},
		{&fleet.Drain{RecordHeader: on("b", 1), NextPool: "q", MaxDrainingInCentre: 1}, stream.ResultStale, instance.PhaseDraining},
		{join("a", 2, "q", 1), stream.ResultStale, instance.PhaseDraining},
		{join("a", 2, "p", 2), stream.ResultStale, instance.PhaseDraining},
		{join("a", 2, "q", 2), stream.ResultApplied, instance.PhaseActive},
		{&fleet.MarkLost{RecordHeader: on("a", 3)}, stream.ResultApplied, instance.PhaseLost},
		{&fleet.MarkLost{RecordHeader: on("a", 4)}, stream.ResultStale, instance.PhaseLost},
		{join("a", 4, "p", 2), stream.ResultStale, instance.PhaseLost},
		{join("a", 4, "p", 3), stream.ResultApplied, instance.PhaseActive},
		{&fleet.MarkLost{RecordHeader: on("a", 5)}, stream.ResultApplied, instance.PhaseLost},
		{&fleet.Remove{RecordHeader: on("a", 6)}, stream.ResultApplied, ""},
		{admit("a", 0, "p", 4), stream.ResultStale, ""},
		{admit("a", 7, "p", 3), stream.ResultStale, ""},
		{admit("a", 7, "p", 4), stream.ResultApplied, instance.PhaseActive},
	}
	s := &fleet.State{}
	for n, step := range steps {
		verdict := s.Fold(record.Offset(n), envelope(t, record.Offset(n), step.body))
		require.Equal(t, step.want, verdict.Result, "step %d: %s", n, verdict.Reason)
		current, _ := s.Instance("a")
		require.Equal(t, step.phase, current.Phase, "step %d", n)
	}
	require.Equal(t, fleet.PhaseCounts{Active: 2}, s.CountByPhase("p", instance.KindTarget))
	last := s.ChangesFrom(record.Offset(len(steps) - 1))
	require.Len(t, last, 1)
	require.Equal(t, fleet.Version(8), last[0].Version)
}

// TestForgottenRemoval guards against a state that grows with every instance that ever existed.
func TestForgottenRemoval(t *testing.T) {
	s := &fleet.State{}
	for n, body := range []fleet.Body{admit("a", 0, "p", 1), &fleet.MarkLost{RecordHeader: on("a", 1)}, &fleet.Remove{RecordHeader: on("a", 2)}} {
		require.Equal(t, stream.Applied, s.Fold(record.Offset(n), envelope(t, record.Offset(n), body)))
	}
	_, kept := s.Removed("a")
	require.True(t, kept)
	digest := s.Digest()
	s.Fold(200_000, envelope(t, 200_000, &fleet.MarkLost{RecordHeader: on("b", 1)}))
	_, kept = s.Removed("a")
	require.False(t, kept)
	require.NotEqual(t, digest, s.Digest(), "the removal is part of the state")
}

func drawBody(t *rapid.T) fleet.Body {
	id := instance.ID(rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "id"))
	version := fleet.Version(rapid.IntRange(0, 6).Draw(t, "version"))
	name := pool.Name(rapid.SampledFrom([]string{"p", "q"}).Draw(t, "pool"))
	incarnation := instance.Incarnation(rapid.IntRange(0, 4).Draw(t, "incarnation"))
	switch rapid.IntRange(0, 4).Draw(t, "kind") {
	case 0:
		return admit(id, version, name, incarnation)
	case 1:
		return &fleet.Drain{RecordHeader: on(id, version), NextPool: name, MinActive: rapid.IntRange(0, 2).Draw(t, "floor")}
	case 2:
		return join(id, version, name, incarnation)
	case 3:
		return &fleet.MarkLost{RecordHeader: on(id, version)}
	}
	return &fleet.Remove{RecordHeader: on(id, version)}
}

// TestHistories guards, over random histories, against an instance in two pools, a pool that changes
// without a higher incarnation, an index that differs from the instances, and a snapshot that loses
// state.
func TestHistories(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &fleet.State{}
		for n := range rapid.IntRange(0, 60).Draw(t, "records") {
			before := map[instance.ID]fleet.Instance{}
			for _, i := range s.Instances() {
				before[i.ID] = i
			}
			body := drawBody(t)
			verdict := s.Fold(record.Offset(n), envelope(t, record.Offset(n), body))
			checkStep(t, before, s, body, verdict)
			checkIndex(t, s)
		}
		checkRestore(t, s)
	})
}

func checkStep(t *rapid.T, before map[instance.ID]fleet.Instance, s *fleet.State, body fleet.Body, verdict stream.Verdict) {
	for _, i := range s.Instances() {
		old, existed := before[i.ID]
		if !existed {
			continue
		}
		require.GreaterOrEqual(t, i.Incarnation, old.Incarnation)
		if i.Pool != old.Pool {
			require.Equal(t, fleet.KindJoin, body.Kind())
			require.Greater(t, i.Incarnation, old.Incarnation, "pool changes only with a higher incarnation")
		}
		if verdict.Result != stream.ResultApplied {
			require.Equal(t, old, i, "a record that is not applied changes nothing")
		}
	}
}

func checkIndex(t *rapid.T, s *fleet.State) {
	seen := map[instance.ID]int{}
	for _, name := range []pool.Name{"p", "q"} {
		members := s.Members(name, instance.KindTarget)
		require.Equal(t, len(members), s.CountByPhase(name, instance.KindTarget).Total())
		for _, m := range members {
			seen[m.ID]++
			current, ok := s.Instance(m.ID)
			require.True(t, ok)
			require.Equal(t, current, m)
		}
	}
	for _, i := range s.Instances() {
		require.Equal(t, 1, seen[i.ID], "instance %s belongs to exactly one pool", i.ID)
	}
	require.Len(t, seen, len(s.Instances()))
}

func checkRestore(t *rapid.T, s *fleet.State) {
	data, err := s.Snapshot()
	require.NoError(t, err)
	other := &fleet.State{}
	require.NoError(t, other.Restore(data))
	require.Equal(t, s.Digest(), other.Digest())
	again, err := other.Snapshot()
	require.NoError(t, err)
	require.Equal(t, string(data), string(again))
	body := drawBody(t)
	require.Equal(t, s.Fold(99, envelope(t, 99, body)), other.Fold(99, envelope(t, 99, body)))
	require.Equal(t, s.Digest(), other.Digest(), "restored and folded states continue alike")
}

// TestSharedMembers guards against a reader on the request path that sees its slice change.
func TestSharedMembers(t *testing.T) {
	s := &fleet.State{}
	s.Fold(0, envelope(t, 0, admit("b", 0, "p", 1)))
	changed, members := s.Changed(), s.Members("p", instance.KindTarget)
	s.Fold(1, envelope(t, 1, admit("a", 0, "p", 1)))
	s.Fold(2, envelope(t, 2, &fleet.MarkLost{RecordHeader: on("b", 1)}))
	require.Len(t, members, 1)
	require.Equal(t, instance.PhaseActive, members[0].Phase)
	select {
	case <-changed:
	default:
		require.Fail(t, "the change channel is not closed")
	}
}

// FuzzFold guards against a record body that panics, breaks a snapshot, or stays in the state after
// being refused.
func FuzzFold(f *testing.F) {
	for _, body := range []fleet.Body{admit("a", 0, "p", 1), &fleet.Drain{RecordHeader: on("z", 1), NextPool: "q"}, join("z", 1, "q", 2), &fleet.MarkLost{RecordHeader: on("z", 1)}, &fleet.Remove{RecordHeader: on("z", 1)}} {
		data, _ := json.Marshal(body)
		f.Add(string(body.Kind()), data)
	}
	f.Add("lose", []byte(`{"id":"z","version":-1}`))
	f.Add("lose", []byte(`{"id":"z","version":1,"pool":"p"}`))
	f.Add("sell", []byte(`null`))
	f.Fuzz(func(t *testing.T, kind string, data []byte) {
		s := &fleet.State{}
		s.Fold(0, envelope(t, 0, admit("z", 0, "p", 1)))
		digest := s.Digest()
		verdict := s.Fold(1, record.Envelope{Kind: record.Kind(kind), Time: epoch, Body: data})
		if verdict.Result != stream.ResultApplied {
			require.Equal(t, digest, s.Digest())
		}
		snapshot, err := s.Snapshot()
		require.NoError(t, err)
		other := &fleet.State{}
		require.NoError(t, other.Restore(snapshot), "an applied record leaves a state that restores")
		require.Equal(t, s.Digest(), other.Digest())
	})
}

// FuzzRestore guards against a malformed snapshot that panics or changes the state.
func FuzzRestore(f *testing.F) {
	f.Add([]byte(`{"instances":[{"id":"a","kind":"target","pool":"p","phase":"active","version":1}],"removed":null,"history":[{}]}`))
	f.Add([]byte(`{"instances":[{"id":"a","phase":"draining"}]}`))
	f.Add([]byte(`[]`))
	f.Fuzz(func(t *testing.T, data []byte) {
		s := &fleet.State{}
		s.Fold(0, envelope(t, 0, admit("z", 0, "p", 1)))
		digest := s.Digest()
		if err := s.Restore(data); err != nil {
			require.Equal(t, digest, s.Digest())
		}
	})
}
