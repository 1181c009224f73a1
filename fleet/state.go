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

// removedWindow is the number of records for which the version of a removed instance is kept. A
// writer has one batch in flight, so a record based on the removed instance arrives long before.
const removedWindow record.Offset = 100_000

// State is the fleet as folded from the fleet stream. It implements stream.Folder. The zero value is
// an empty fleet.
type State struct {
	mu        sync.RWMutex
	instances map[instance.ID]Instance
	// removed holds the last version of removed instances, so that versions and incarnations never
	// decrease when an instance is admitted again.
	removed map[instance.ID]Removal
	// order lists the removals, oldest first; an entry counts only if it equals its entry in removed.
	order   []Removal
	index   index
	history history
	changed chan struct{}
	// digest is valid while hashed is set.
	digest uint64
	hashed bool
}

// Removal is the last known version of an instance that was removed.
type Removal struct {
	ID          instance.ID          `json:"id"`
	Version     Version              `json:"version"`
	Incarnation instance.Incarnation `json:"incarnation"`
	Offset      record.Offset        `json:"offset"`
}

var _ stream.Folder = (*State)(nil)

// Fold implements stream.Folder.
func (s *State) Fold(offset record.Offset, envelope record.Envelope) stream.Verdict {
	body, err := Decode(envelope)
	if err != nil {
		return stream.Invalid(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.forgetLocked(offset)
	subject := body.Header()
	before := s.instances[subject.ID]
	if version := s.versionLocked(subject.ID); subject.Version != version {
		return stream.Stale(fmt.Sprintf("record is based on version %d of %s, which has version %d", subject.Version, subject.ID, version))
	}
	verdict := s.applyLocked(offset, TimestampOf(envelope.Time), before, body)
	if verdict.Result != stream.ResultApplied {
		return verdict
	}
	s.history.add(change(offset, envelope, body, before, s.instances[subject.ID]))
	s.hashed = false
	s.notifyLocked()
	return verdict
}

// versionLocked returns the version that the next record of the instance must name.
func (s *State) versionLocked(id instance.ID) Version {
	if current, ok := s.instances[id]; ok {
		return current.Version
	}
	return s.removed[id].Version
}

func (s *State) applyLocked(offset record.Offset, at Timestamp, current Instance, body Body) stream.Verdict {
	if admit, ok := body.(*Admit); ok {
		return s.admitLocked(at, current, admit)
	}
	if current.ID == "" {
		return stream.Stale(fmt.Sprintf("instance %s does not exist", body.Header().ID))
	}
	switch b := body.(type) {
	case *Drain:
		return s.drainLocked(at, current, b)
	case *Join:
		return s.joinLocked(at, current, b)
	case *MarkLost:
		return s.loseLocked(at, current)
	case *Remove:
		return s.removeLocked(offset, current)
	}
	return stream.Invalid(&UnknownKindError{Kind: body.Kind()})
}

func (s *State) admitLocked(at Timestamp, current Instance, b *Admit) stream.Verdict {
	if current.ID != "" {
		return stream.Stale(fmt.Sprintf("instance %s is already admitted", b.ID))
	}
	if old, ok := s.removed[b.ID]; ok && b.Incarnation <= old.Incarnation {
		return stream.Stale(fmt.Sprintf("instance %s was removed at incarnation %d", b.ID, old.Incarnation))
	}
	delete(s.removed, b.ID)
	s.storeLocked(current, Instance{
		ID: b.ID, Kind: b.InstanceKind, Address: b.Address, Centre: b.Centre, Rack: b.Rack,
		Pool: b.Pool, Phase: instance.PhaseActive, Incarnation: b.Incarnation, Version: b.Version + 1,
		Cores: b.Cores, Memory: b.Memory, Accelerators: b.Accelerators,
		JoinedAt: at, PhaseSince: at,
	})
	return stream.Applied
}

func (s *State) drainLocked(at Timestamp, current Instance, b *Drain) stream.Verdict {
	if current.Phase != instance.PhaseActive {
		return stalePhase(current)
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
	next.PhaseSince = at
	next.Version++
	s.storeLocked(current, next)
	return stream.Applied
}

func (s *State) joinLocked(at Timestamp, current Instance, b *Join) stream.Verdict {
	if current.Phase == instance.PhaseActive {
		return stalePhase(current)
	}
	if b.Incarnation <= current.Incarnation {
		return stream.Stale(fmt.Sprintf("instance %s is already at incarnation %d", b.ID, current.Incarnation))
	}
	if current.Phase == instance.PhaseDraining && b.Pool != current.NextPool {
		return stream.Stale(fmt.Sprintf("instance %s is on its way to pool %s", b.ID, current.NextPool))
	}
	next := current
	next.Pool = b.Pool
	next.NextPool = ""
	next.Phase = instance.PhaseActive
	next.Incarnation = b.Incarnation
	next.Address, next.Centre, next.Rack = b.Address, b.Centre, b.Rack
	next.JoinedAt, next.PhaseSince = at, at
	next.Version++
	s.storeLocked(current, next)
	return stream.Applied
}

func (s *State) loseLocked(at Timestamp, current Instance) stream.Verdict {
	if current.Phase == instance.PhaseLost {
		return stalePhase(current)
	}
	next := current
	next.Phase = instance.PhaseLost
	next.NextPool = ""
	next.PhaseSince = at
	next.Version++
	s.storeLocked(current, next)
	return stream.Applied
}

func (s *State) removeLocked(offset record.Offset, current Instance) stream.Verdict {
	if current.Phase != instance.PhaseLost {
		return stalePhase(current)
	}
	removal := Removal{ID: current.ID, Version: current.Version + 1, Incarnation: current.Incarnation, Offset: offset}
	if s.removed == nil {
		s.removed = map[instance.ID]Removal{}
	}
	s.removed[current.ID] = removal
	s.order = append(s.order, removal)
	delete(s.instances, current.ID)
	s.index.replace(current, Instance{})
	return stream.Applied
}

func stalePhase(current Instance) stream.Verdict {
	return stream.Stale(fmt.Sprintf("instance %s is %s", current.ID, current.Phase))
}

func (s *State) storeLocked(before, after Instance) {
	if s.instances == nil {
		s.instances = map[instance.ID]Instance{}
	}
	s.instances[after.ID] = after
	s.index.replace(before, after)
}

// forgetLocked drops removals that are older than the window. It depends on offsets alone, so every
// entry forgets at the same record.
func (s *State) forgetLocked(offset record.Offset) {
	for len(s.order) > 0 && s.order[0].Offset < offset-removedWindow {
		old := s.order[0]
		s.order = s.order[1:]
		if s.removed[old.ID] == old {
			delete(s.removed, old.ID)
			s.hashed = false
		}
	}
}

func (s *State) notifyLocked() {
	if s.changed != nil {
		close(s.changed)
		s.changed = nil
	}
}

// image is the canonical form of the state: sorted, so that equal states have equal bytes.
type image struct {
	Instances []Instance `json:"instances"`
	Removed   []Removal  `json:"removed"`
	History   []Change   `json:"history"`
}

// Snapshot implements stream.Folder.
func (s *State) Snapshot() ([]byte, error) {
	s.mu.RLock()
	img := s.imageLocked()
	s.mu.RUnlock()
	return json.Marshal(img)
}

func (s *State) imageLocked() image {
	img := image{
		Instances: make([]Instance, 0, len(s.instances)),
		Removed:   make([]Removal, 0, len(s.removed)),
		History:   s.history.list(),
	}
	for _, i := range s.instances {
		img.Instances = append(img.Instances, i)
	}
	for _, r := range s.removed {
		img.Removed = append(img.Removed, r)
	}
	slices.SortFunc(img.Instances, compare)
	slices.SortFunc(img.Removed, func(a, b Removal) int { return cmp.Compare(a.Offset, b.Offset) })
	return img
}

func compare(a, b Instance) int { return strings.Compare(string(a.ID), string(b.ID)) }

// Restore implements stream.Folder. A snapshot that contradicts itself is refused and leaves the state
// unchanged.
func (s *State) Restore(data []byte) error {
	var img image
	if err := json.Unmarshal(data, &img); err != nil {
		return &SnapshotError{Reason: "malformed", Cause: err}
	}
	restored, err := load(img)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.instances, s.removed, s.order = restored.instances, restored.removed, restored.order
	s.index, s.history = restored.index, restored.history
	s.hashed = false
	s.notifyLocked()
	return nil
}

func load(img image) (*State, error) {
	s := &State{instances: make(map[instance.ID]Instance, len(img.Instances)), removed: make(map[instance.ID]Removal, len(img.Removed))}
	for _, i := range img.Instances {
		if err := consistent(i); err != nil {
			return nil, err
		}
		if _, ok := s.instances[i.ID]; ok {
			return nil, &SnapshotError{Reason: fmt.Sprintf("instance %s is listed twice", i.ID)}
		}
		s.instances[i.ID] = i
	}
	for _, r := range img.Removed {
		if _, ok := s.instances[r.ID]; ok {
			return nil, &SnapshotError{Reason: fmt.Sprintf("instance %s is present and removed", r.ID)}
		}
		s.removed[r.ID] = r
	}
	s.order = slices.Clone(img.Removed)
	slices.SortFunc(s.order, func(a, b Removal) int { return cmp.Compare(a.Offset, b.Offset) })
	s.index.build(img.Instances)
	for _, c := range img.History {
		s.history.add(c)
	}
	return s, nil
}

func consistent(i Instance) error {
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

// Digest implements stream.Folder. It hashes the canonical snapshot and keeps the result until the
// next change.
func (s *State) Digest() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.hashed {
		// The image holds strings and integers only, which always encode.
		data, _ := json.Marshal(s.imageLocked())
		s.digest = xxhash.Sum64(data)
		s.hashed = true
	}
	return s.digest
}

// Instance returns one instance.
func (s *State) Instance(id instance.ID) (Instance, bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	i, ok := s.instances[id]
	return i, ok
}

// Members returns the instances of a kind that belong to a pool, in all phases, sorted by id. The
// slice is shared: it is never changed after it is returned, and callers must not change it either.
func (s *State) Members(name pool.Name, kind instance.Kind) []Instance {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.index.members(name, kind)
}

// CountByPhase returns the number of instances of a kind in a pool by phase.
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
	slices.SortFunc(all, compare)
	return all
}

// Removed returns the last known version of an instance that was removed and not admitted again.
func (s *State) Removed(id instance.ID) (Removal, bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	r, ok := s.removed[id]
	return r, ok
}

// ChangesFrom returns the kept changes at or after an offset, oldest first.
func (s *State) ChangesFrom(from record.Offset) []Change {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.history.since(from)
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
