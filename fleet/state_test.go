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

var startTime = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func newEnvelope(t require.TestingT, offset record.Offset, body fleet.Body) record.Envelope {
	data, err := json.Marshal(body)
	require.NoError(t, err)
	return record.Envelope{
		ID:   record.ID{Writer: record.Writer{Entry: "entry-1"}, Sequence: record.Sequence(offset + 1)},
		Kind: body.Kind(), Time: startTime.Add(time.Duration(offset) * time.Second), Author: "entry-1", Body: data,
	}
}

func newHeader(id instance.ID, version fleet.Version) fleet.RecordHeader {
	return fleet.RecordHeader{ID: id, Version: version}
}

func newAdmit(id instance.ID, version fleet.Version, name pool.Name, incarnation instance.Incarnation) *fleet.Admit {
	return &fleet.Admit{RecordHeader: newHeader(id, version), InstanceKind: instance.KindTarget, Pool: name, Incarnation: incarnation, Address: "127.0.0.1:1", Centre: "c1", Rack: "r1"}
}

func newJoin(id instance.ID, version fleet.Version, name pool.Name, incarnation instance.Incarnation) *fleet.Join {
	return &fleet.Join{RecordHeader: newHeader(id, version), Pool: name, Incarnation: incarnation, Address: "127.0.0.1:2", Centre: "c1", Rack: "r1"}
}

// TestPhases guards against a record that is applied although the instance is in the wrong phase or at
// another version, or although the limits of the record are exceeded.
func TestPhases(t *testing.T) {
	steps := []struct {
		body fleet.Body
		want stream.Result
		// phase is the expected phase of instance a after the record, or empty if it does not exist.
		phase instance.Phase
	}{
		{newJoin("a", 0, "p", 2), stream.ResultStale, ""},
		{newAdmit("a", 1, "p", 1), stream.ResultStale, ""},
		{newAdmit("a", 0, "p", 1), stream.ResultApplied, instance.PhaseActive},
		{newAdmit("a", 1, "p", 2), stream.ResultStale, instance.PhaseActive},
		{newJoin("a", 1, "q", 2), stream.ResultStale, instance.PhaseActive},
		{&fleet.Remove{RecordHeader: newHeader("a", 1)}, stream.ResultStale, instance.PhaseActive},
		{&fleet.Drain{RecordHeader: newHeader("a", 1), NextPool: "q", MinActive: 1}, stream.ResultStale, instance.PhaseActive},
		{&fleet.Drain{RecordHeader: newHeader("a", 1), NextPool: "q", MinActive: -1}, stream.ResultInvalid, instance.PhaseActive},
		{&fleet.Drain{RecordHeader: newHeader("a", 1), NextPool: "q", MaxDrainingInRack: 1, MaxDrainingInCentre: 1}, stream.ResultApplied, instance.PhaseDraining},
		{&fleet.Drain{RecordHeader: newHeader("a", 1), NextPool: "p"}, stream.ResultStale, instance.PhaseDraining},
		{newAdmit("b", 0, "p", 1), stream.ResultApplied, instance.PhaseDraining},
		{&fleet.Drain{RecordHeader: newHeader("b", 1), NextPool: "q", MaxDrainingInRack: 1}, stream.ResultStale, instance.PhaseDraining},
		{&fleet.Drain{RecordHeader: newHeader("b", 1), NextPool: "q", MaxDrainingInCentre: 1}, stream.ResultStale, instance.PhaseDraining},
		{newJoin("a", 2, "q", 1), stream.ResultStale, instance.PhaseDraining},
		{newJoin("a", 2, "p", 2), stream.ResultStale, instance.PhaseDraining},
		{newJoin("a", 2, "q", 2), stream.ResultApplied, instance.PhaseActive},
		{&fleet.MarkLost{RecordHeader: newHeader("a", 3)}, stream.ResultApplied, instance.PhaseLost},
		{&fleet.MarkLost{RecordHeader: newHeader("a", 4)}, stream.ResultStale, instance.PhaseLost},
		{newJoin("a", 4, "p", 2), stream.ResultStale, instance.PhaseLost},
		{newJoin("a", 4, "p", 3), stream.ResultApplied, instance.PhaseActive},
		{&fleet.MarkLost{RecordHeader: newHeader("a", 5)}, stream.ResultApplied, instance.PhaseLost},
		{&fleet.Remove{RecordHeader: newHeader("a", 6)}, stream.ResultApplied, ""},
		{newAdmit("a", 0, "p", 4), stream.ResultStale, ""},
		{newAdmit("a", 7, "p", 3), stream.ResultStale, ""},
		{newAdmit("a", 7, "p", 4), stream.ResultApplied, instance.PhaseActive},
	}
	s := &fleet.State{}
	for n, step := range steps {
		verdict := s.Apply(record.Offset(n), newEnvelope(t, record.Offset(n), step.body))
		require.Equal(t, step.want, verdict.Result, "step %d: %s", n, verdict.Reason)
		current, _ := s.Instance("a")
		require.Equal(t, step.phase, current.Phase, "step %d", n)
	}
	require.Equal(t, fleet.PhaseCounts{Active: 2}, s.CountByPhase("p", instance.KindTarget))
	last := s.ChangesFrom(record.Offset(len(steps) - 1))
	require.Len(t, last, 1)
	require.Equal(t, fleet.Version(8), last[0].Version)
}

// TestRemovalExpiry guards against unbounded growth of the state: the removal of an instance must
// expire, or the state would keep every instance that ever existed.
func TestRemovalExpiry(t *testing.T) {
	s := &fleet.State{}
	for n, body := range []fleet.Body{newAdmit("a", 0, "p", 1), &fleet.MarkLost{RecordHeader: newHeader("a", 1)}, &fleet.Remove{RecordHeader: newHeader("a", 2)}} {
		require.Equal(t, stream.Applied, s.Apply(record.Offset(n), newEnvelope(t, record.Offset(n), body)))
	}
	_, kept := s.Removed("a")
	require.True(t, kept)
	digest := s.Digest()
	s.Apply(200_000, newEnvelope(t, 200_000, &fleet.MarkLost{RecordHeader: newHeader("b", 1)}))
	_, kept = s.Removed("a")
	require.False(t, kept)
	require.NotEqual(t, digest, s.Digest(), "the digest must cover removals")
}

func drawBody(t *rapid.T) fleet.Body {
	id := instance.ID(rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "id"))
	version := fleet.Version(rapid.IntRange(0, 6).Draw(t, "version"))
	name := pool.Name(rapid.SampledFrom([]string{"p", "q"}).Draw(t, "pool"))
	incarnation := instance.Incarnation(rapid.IntRange(0, 4).Draw(t, "incarnation"))
	switch rapid.IntRange(0, 4).Draw(t, "kind") {
	case 0:
		return newAdmit(id, version, name, incarnation)
	case 1:
		return &fleet.Drain{RecordHeader: newHeader(id, version), NextPool: name, MinActive: rapid.IntRange(0, 2).Draw(t, "floor")}
	case 2:
		return newJoin(id, version, name, incarnation)
	case 3:
		return &fleet.MarkLost{RecordHeader: newHeader(id, version)}
	}
	return &fleet.Remove{RecordHeader: newHeader(id, version)}
}

// TestHistories applies random sequences of records. It guards against an instance that is in two pools
// or changes its pool without a higher incarnation, an index that differs from the instances, and a
// snapshot that does not restore the whole state.
func TestHistories(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &fleet.State{}
		for n := range rapid.IntRange(0, 60).Draw(t, "records") {
			before := map[instance.ID]fleet.Instance{}
			for _, i := range s.Instances() {
				before[i.ID] = i
			}
			body := drawBody(t)
			verdict := s.Apply(record.Offset(n), newEnvelope(t, record.Offset(n), body))
			checkStep(t, before, s, body, verdict)
			checkIndex(t, s)
		}
		checkRestore(t, s)
	})
}

// checkStep checks that no instance falls back to a lower incarnation, changes its pool without a higher one, or
// changes at all by a record that is not applied.
func checkStep(t *rapid.T, before map[instance.ID]fleet.Instance, s *fleet.State, body fleet.Body, verdict stream.Verdict) {
	for _, i := range s.Instances() {
		old, existed := before[i.ID]
		if !existed {
			continue
		}
		require.GreaterOrEqual(t, i.Incarnation, old.Incarnation)
		if i.Pool != old.Pool {
			require.Equal(t, fleet.KindJoin, body.Kind())
			require.Greater(t, i.Incarnation, old.Incarnation, "the pool changes only with a higher incarnation")
		}
		if verdict.Result != stream.ResultApplied {
			require.Equal(t, old, i, "a record that is not applied must not change an instance")
		}
	}
}

// checkIndex checks that the members of the pools agree with the instances.
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
		require.Equal(t, 1, seen[i.ID], "instance %s must belong to exactly one pool", i.ID)
	}
	require.Len(t, seen, len(s.Instances()))
}

func checkRestore(t *rapid.T, s *fleet.State) {
	snapshot, err := s.Snapshot()
	require.NoError(t, err)
	restored := &fleet.State{}
	require.NoError(t, restored.Restore(snapshot))
	require.Equal(t, s.Digest(), restored.Digest())
	restoredSnapshot, err := restored.Snapshot()
	require.NoError(t, err)
	require.Equal(t, string(snapshot), string(restoredSnapshot))
	body := drawBody(t)
	require.Equal(t, s.Apply(99, newEnvelope(t, 99, body)), restored.Apply(99, newEnvelope(t, 99, body)))
	require.Equal(t, s.Digest(), restored.Digest(), "the restored state must process further records like the original")
}

// TestSharedMembers guards against a later record that modifies the slice which Members returned to a
// reader on the request path.
func TestSharedMembers(t *testing.T) {
	s := &fleet.State{}
	s.Apply(0, newEnvelope(t, 0, newAdmit("b", 0, "p", 1)))
	changed, members := s.Changed(), s.Members("p", instance.KindTarget)
	s.Apply(1, newEnvelope(t, 1, newAdmit("a", 0, "p", 1)))
	s.Apply(2, newEnvelope(t, 2, &fleet.MarkLost{RecordHeader: newHeader("b", 1)}))
	require.Len(t, members, 1)
	require.Equal(t, instance.PhaseActive, members[0].Phase)
	select {
	case <-changed:
	default:
		require.Fail(t, "the change channel is not closed")
	}
}

// FuzzApply guards against a record body that causes a panic, yields a state whose snapshot cannot be
// restored, or changes the state although the record is refused.
func FuzzApply(f *testing.F) {
	for _, body := range []fleet.Body{newAdmit("a", 0, "p", 1), &fleet.Drain{RecordHeader: newHeader("z", 1), NextPool: "q"}, newJoin("z", 1, "q", 2), &fleet.MarkLost{RecordHeader: newHeader("z", 1)}, &fleet.Remove{RecordHeader: newHeader("z", 1)}} {
		data, _ := json.Marshal(body)
		f.Add(string(body.Kind()), data)
	}
	f.Add("lose", []byte(`{"id":"z","version":-1}`))
	f.Add("lose", []byte(`{"id":"z","version":1,"pool":"p"}`))
	f.Add("sell", []byte(`null`))
	f.Fuzz(func(t *testing.T, kind string, data []byte) {
		s := &fleet.State{}
		s.Apply(0, newEnvelope(t, 0, newAdmit("z", 0, "p", 1)))
		digest := s.Digest()
		verdict := s.Apply(1, record.Envelope{Kind: record.Kind(kind), Time: startTime, Body: data})
		if verdict.Result != stream.ResultApplied {
			require.Equal(t, digest, s.Digest())
		}
		snapshot, err := s.Snapshot()
		require.NoError(t, err)
		restored := &fleet.State{}
		require.NoError(t, restored.Restore(snapshot), "the snapshot after a record must be restorable")
		require.Equal(t, s.Digest(), restored.Digest())
	})
}

// FuzzRestore guards against a malformed snapshot that causes a panic or changes the state.
func FuzzRestore(f *testing.F) {
	f.Add([]byte(`{"instances":[{"id":"a","kind":"target","pool":"p","phase":"active","version":1}],"removed":null,"history":[{}]}`))
	f.Add([]byte(`{"instances":[{"id":"a","phase":"draining"}]}`))
	f.Add([]byte(`[]`))
	f.Fuzz(func(t *testing.T, data []byte) {
		s := &fleet.State{}
		s.Apply(0, newEnvelope(t, 0, newAdmit("z", 0, "p", 1)))
		digest := s.Digest()
		if err := s.Restore(data); err != nil {
			require.Equal(t, digest, s.Digest())
		}
	})
}
