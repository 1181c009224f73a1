package fleet

import (
	"cmp"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"sync"

	"github.com/cespare/xxhash/v2"

	"hibiscuslane.example/hibiscuslane/instance"
	"hibiscuslane.example/hibiscuslane/pool"
	"hibiscuslane.example/hibiscuslane/record"
	"hibiscuslane.example/hibiscuslane/stream"
)

// removalRetention is the number of records for which the removal of an instance is kept. A writer has
// at most one batch in flight, so any record based on the removed instance arrives long before that.
const removalRetention record.Offset = 100_000

// State is the fleet state that results from the records of the fleet stream. It implements
// stream.StateMachine and is safe for concurrent use. The zero value is an empty fleet.
type State struct {
	mu        sync.RWMutex
	instances map[instance.ID]Instance
	// removed holds the removals of instances that were not admitted again, so that versions and
	// incarnations never decrease if they are.
	removed map[instance.ID]Removal
	// removalQueue lists the removals, oldest first. An element is obsolete unless removed holds the same
	// removal.
	removalQueue []Removal
	index        index
	history      history
	// changed is closed by the next change. It is nil until Changed is called.
	changed chan struct{}
	// digest caches the hash of the state while digestValid is set.
	digest      uint64
	digestValid bool
}

// Removal holds the version and incarnation at which an instance was removed, and the offset of the
// remove record.
type Removal struct {
	ID          instance.ID          `json:"id"`
	Version     Version              `json:"version"`
	Incarnation instance.Incarnation `json:"incarnation"`
	Offset      record.Offset        `json:"offset"`
}

var _ stream.StateMachine = (*State)(nil)

// Apply implements stream.StateMachine.
func (s *State) Apply(offset record.Offset, envelope record.Envelope) stream.Verdict {
	body, err := Decode(envelope)
	if err != nil {
		return stream.Invalid(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expireRemovalsLocked(offset)
	header := body.Header()
	before := s.instances[header.ID]
	if version := s.currentVersionLocked(header.ID); header.Version != version {
		return stream.Stale(fmt.Sprintf("record is based on version %d of %s, which has version %d", header.Version, header.ID, version))
	}
	verdict := s.applyLocked(offset, TimestampOf(envelope.Time), before, body)
	if verdict.Result != stream.ResultApplied {
		return verdict
	}
	s.history.add(newChange(offset, envelope, body, before, s.instances[header.ID]))
	s.digestValid = false
	s.notifyLocked()
	return verdict
}

// currentVersionLocked returns the version on which the next record of the instance must be based.
func (s *State) currentVersionLocked(id instance.ID) Version {
	if current, ok := s.instances[id]; ok {
		return current.Version
	}
	return s.removed[id].Version
}

func (s *State) applyLocked(offset record.Offset, recordTime Timestamp, current Instance, body Body) stream.Verdict {
	if admit, ok := body.(*Admit); ok {
		return s.admitLocked(recordTime, current, admit)
	}
	if current.ID == "" {
		return stream.Stale(fmt.Sprintf("instance %s does not exist", body.Header().ID))
	}
	switch b := body.(type) {
	case *Drain:
		return s.drainLocked(recordTime, current, b)
	case *Join:
		return s.joinLocked(recordTime, current, b)
	case *MarkLost:
		return s.markLostLocked(recordTime, current)
	case *Remove:
		return s.removeLocked(offset, current)
	}
	return stream.Invalid(&UnknownKindError{Kind: body.Kind()})
}

func (s *State) admitLocked(recordTime Timestamp, current Instance, b *Admit) stream.Verdict {
	if current.ID != "" {
		return stream.Stale(fmt.Sprintf("instance %s is already admitted", b.ID))
	}
	if old, ok := s.removed[b.ID]; ok && b.Incarnation <= old.Incarnation {
		return stream.Stale(fmt.Sprintf("instance %s was removed at incarnation %d", b.ID, old.Incarnation))
	}
	if active := s.index.counts(b.Pool, b.InstanceKind).Active; b.MaxActive > 0 && active >= b.MaxActive {
		return stream.Stale(fmt.Sprintf("pool %s has %d active instances of kind %s and may have %d", b.Pool, active, b.InstanceKind, b.MaxActive))
	}
	delete(s.removed, b.ID)
	s.storeLocked(current, Instance{
		ID: b.ID, Kind: b.InstanceKind, Address: b.Address, Centre: b.Centre, Rack: b.Rack,
		Pool: b.Pool, Phase: instance.PhaseActive, Incarnation: b.Incarnation, Version: b.Version + 1,
		Cores: b.Cores, Memory: b.Memory, Accelerators: b.Accelerators,
		JoinedAt: recordTime, PhaseSince: recordTime,
	})
	return stream.Applied
}

func (s *State) drainLocked(recordTime Timestamp, current Instance, b *Drain) stream.Verdict {
	if current.Phase != instance.PhaseActive {
		return stalePhaseVerdict(current)
	}
	if active := s.index.counts(current.Pool, current.Kind).Active; active-1 < b.MinActive {
		return stream.Stale(fmt.Sprintf("pool %s has %d active instances of kind %s and must keep %d", current.Pool, active, current.Kind, b.MinActive))
	}
	if n := s.index.draining[rackOf(current)]; b.MaxDrainingInRack > 0 && n >= b.MaxDrainingInRack {
		return stream.Stale(fmt.Sprintf("%d instances are draining in rack %s", n, current.Rack))
	}
	if n := s.index.draining[centreOf(current)]; b.MaxDrainingInCentre > 0 && n >= b.MaxDrainingInCentre {
		return stream.Stale(fmt.Sprintf("%d instances are draining in data centre %s", n, current.Centre))
	}
	next := current
	next.Phase = instance.PhaseDraining
	next.NextPool = b.NextPool
	next.PhaseSince = recordTime
	next.Version++
	s.storeLocked(current, next)
	return stream.Applied
}

func (s *State) joinLocked(recordTime Timestamp, current Instance, b *Join) stream.Verdict {
	if current.Phase == instance.PhaseActive {
		return stalePhaseVerdict(current)
	}
	if b.Incarnation <= current.Incarnation {
		return stream.Stale(fmt.Sprintf("instance %s is already at incarnation %d", b.ID, current.Incarnation))
	}
	if current.Phase == instance.PhaseDraining && b.Pool != current.NextPool {
		return stream.Stale(fmt.Sprintf("instance %s will join pool %s after its reboot", b.ID, current.NextPool))
	}
	next := current
	next.Pool = b.Pool
	next.NextPool = ""
	next.Phase = instance.PhaseActive
	next.Incarnation = b.Incarnation
	next.Address, next.Centre, next.Rack = b.Address, b.Centre, b.Rack
	next.JoinedAt, next.PhaseSince = recordTime, recordTime
	next.Version++
	s.storeLocked(current, next)
	return stream.Applied
}

func (s *State) markLostLocked(recordTime Timestamp, current Instance) stream.Verdict {
	if current.Phase == instance.PhaseLost {
		return stalePhaseVerdict(current)
	}
	next := current
	next.Phase = instance.PhaseLost
	next.NextPool = ""
	next.PhaseSince = recordTime
	next.Version++
	s.storeLocked(current, next)
	return stream.Applied
}

func (s *State) removeLocked(offset record.Offset, current Instance) stream.Verdict {
	if current.Phase != instance.PhaseLost {
		return stalePhaseVerdict(current)
	}
	removal := Removal{ID: current.ID, Version: current.Version + 1, Incarnation: current.Incarnation, Offset: offset}
	if s.removed == nil {
		s.removed = map[instance.ID]Removal{}
	}
	s.removed[current.ID] = removal
	s.removalQueue = append(s.removalQueue, removal)
	delete(s.instances, current.ID)
	s.index.replace(current, Instance{})
	return stream.Applied
}

func stalePhaseVerdict(current Instance) stream.Verdict {
	return stream.Stale(fmt.Sprintf("instance %s is %s", current.ID, current.Phase))
}

func (s *State) storeLocked(before, after Instance) {
	if s.instances == nil {
		s.instances = map[instance.ID]Instance{}
	}
	s.instances[after.ID] = after
	s.index.replace(before, after)
}

// expireRemovalsLocked deletes the removals that are older than removalRetention. It depends on offsets
// only, so every entry deletes them at the same record.
func (s *State) expireRemovalsLocked(offset record.Offset) {
	for len(s.removalQueue) > 0 && s.removalQueue[0].Offset < offset-removalRetention {
		old := s.removalQueue[0]
		s.removalQueue = s.removalQueue[1:]
		if s.removed[old.ID] == old {
			delete(s.removed, old.ID)
			s.digestValid = false
		}
	}
}

func (s *State) notifyLocked() {
	if s.changed != nil {
		close(s.changed)
		s.changed = nil
	}
}

// stateSnapshot is the encoded form of the state. It is sorted, so that equal states encode to equal bytes.
type stateSnapshot struct {
	Instances []Instance `json:"instances"`
	Removed   []Removal  `json:"removed"`
	History   []Change   `json:"history"`
}

// Snapshot implements stream.StateMachine.
func (s *State) Snapshot() ([]byte, error) {
	s.mu.RLock()
	snapshot := s.snapshotLocked()
	s.mu.RUnlock()
	return json.Marshal(snapshot)
}

func (s *State) snapshotLocked() stateSnapshot {
	snapshot := stateSnapshot{
		Instances: make([]Instance, 0, len(s.instances)),
		Removed:   make([]Removal, 0, len(s.removed)),
		History:   s.history.oldestFirst(),
	}
	for _, i := range s.instances {
		snapshot.Instances = append(snapshot.Instances, i)
	}
	for _, r := range s.removed {
		snapshot.Removed = append(snapshot.Removed, r)
	}
	slices.SortFunc(snapshot.Instances, compareIDs)
	slices.SortFunc(snapshot.Removed, func(a, b Removal) int { return cmp.Compare(a.Offset, b.Offset) })
	return snapshot
}

func compareIDs(a, b Instance) int { return strings.Compare(string(a.ID), string(b.ID)) }

// Restore implements stream.StateMachine. It refuses a malformed or inconsistent snapshot and leaves the
// state unchanged in that case.
func (s *State) Restore(data []byte) error {
	var snapshot stateSnapshot
	if err := json.Unmarshal(data, &snapshot); err != nil {
		return &SnapshotError{Reason: "malformed", Cause: err}
	}
	restored, err := stateFromSnapshot(snapshot)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.instances, s.removed, s.removalQueue = restored.instances, restored.removed, restored.removalQueue
	s.index, s.history = restored.index, restored.history
	s.digestValid = false
	s.notifyLocked()
	return nil
}

func stateFromSnapshot(snapshot stateSnapshot) (*State, error) {
	s := &State{instances: make(map[instance.ID]Instance, len(snapshot.Instances)), removed: make(map[instance.ID]Removal, len(snapshot.Removed))}
	for _, i := range snapshot.Instances {
		if err := validateInstance(i); err != nil {
			return nil, err
		}
		if _, ok := s.instances[i.ID]; ok {
			return nil, &SnapshotError{Reason: fmt.Sprintf("instance %s is listed twice", i.ID)}
		}
		s.instances[i.ID] = i
	}
	for _, r := range snapshot.Removed {
		if _, ok := s.instances[r.ID]; ok {
			return nil, &SnapshotError{Reason: fmt.Sprintf("instance %s is present and removed", r.ID)}
		}
		s.removed[r.ID] = r
	}
	s.removalQueue = slices.Clone(snapshot.Removed)
	slices.SortFunc(s.removalQueue, func(a, b Removal) int { return cmp.Compare(a.Offset, b.Offset) })
	s.index.rebuild(snapshot.Instances)
	for _, c := range snapshot.History {
		s.history.add(c)
	}
	return s, nil
}

func validateInstance(i Instance) error {
	reason := ""
	switch {
	case i.ID == "" || i.Pool == "" || i.Version == 0:
		reason = "lacks an id, a pool or a version"
	case i.Kind != instance.KindTarget && i.Kind != instance.KindWorker:
		reason = "has an unknown kind"
	case i.Phase != instance.PhaseActive && i.Phase != instance.PhaseDraining && i.Phase != instance.PhaseLost:
		reason = "has an unknown phase"
	case (i.Phase == instance.PhaseDraining) != (i.NextPool != ""):
		reason = "has a next pool that contradicts its phase"
	}
	if reason == "" {
		return nil
	}
	return &SnapshotError{Reason: fmt.Sprintf("instance %q %s", i.ID, reason)}
}

// Digest implements stream.StateMachine. It hashes the encoded state and caches the result until the next
// change.
func (s *State) Digest() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.digestValid {
		// The error can be ignored: the snapshot holds only strings and integers, which always encode.
		data, _ := json.Marshal(s.snapshotLocked())
		s.digest = xxhash.Sum64(data)
		s.digestValid = true
	}
	return s.digest
}

// Instance returns the instance with the given id, if it is part of the fleet.
func (s *State) Instance(id instance.ID) (Instance, bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	i, ok := s.instances[id]
	return i, ok
}

// Members returns the instances of a kind that belong to a pool, in all phases, sorted by id. The
// returned slice is shared and never modified; callers must not modify it either.
func (s *State) Members(name pool.Name, kind instance.Kind) []Instance {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.index.members(name, kind)
}

// CountByPhase returns the number of instances of a kind in a pool for each phase.
func (s *State) CountByPhase(name pool.Name, kind instance.Kind) PhaseCounts {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.index.counts(name, kind)
}

// Instances returns every instance, sorted by id.
func (s *State) Instances() []Instance {
	s.mu.RLock()
	all := make([]Instance, 0, len(s.instances))
	for _, i := range s.instances {
		all = append(all, i)
	}
	s.mu.RUnlock()
	slices.SortFunc(all, compareIDs)
	return all
}

// Removed returns the removal of an instance that was not admitted again since. Removals expire after
// removalRetention records.
func (s *State) Removed(id instance.ID) (Removal, bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	r, ok := s.removed[id]
	return r, ok
}

// ChangesFrom returns the changes at or after an offset that the history still holds, oldest first.
func (s *State) ChangesFrom(from record.Offset) []Change {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.history.changesFrom(from)
}

// Changed returns a channel that is closed at the next change of the state.
func (s *State) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.changed == nil {
		s.changed = make(chan struct{})
	}
	return s.changed
}
