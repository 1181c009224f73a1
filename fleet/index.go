package fleet

import (
	"slices"

	"hibiscuslane.example/hibiscuslane/instance"
	"hibiscuslane.example/hibiscuslane/pool"
	"hibiscuslane.example/hibiscuslane/site"
)

// PhaseCounts is the number of instances by phase.
type PhaseCounts struct {
	Active   int `json:"active"`
	Draining int `json:"draining"`
	Lost     int `json:"lost"`
}

// Total returns the number of instances in all phases.
func (c PhaseCounts) Total() int { return c.Active + c.Draining + c.Lost }

func (c *PhaseCounts) add(phase instance.Phase, n int) {
	switch phase {
	case instance.PhaseActive:
		c.Active += n
	case instance.PhaseDraining:
		c.Draining += n
	case instance.PhaseLost:
		c.Lost += n
	}
}

// group is a pool restricted to one kind of instance.
type group struct {
	pool pool.Name
	kind instance.Kind
}

// domain is a failure domain: a rack, or a whole data centre if rack is empty.
type domain struct {
	centre site.DataCentre
	rack   site.Rack
}

type groupEntry struct {
	// members is sorted by id and replaced, never modified, because readers share it.
	members []Instance
	counts  PhaseCounts
}

// index answers the reads of the request path without a scan of the fleet.
type index struct {
	groups map[group]groupEntry
	// draining counts the draining instances of each failure domain.
	draining map[domain]int
}

func groupOf(i Instance) group   { return group{pool: i.Pool, kind: i.Kind} }
func rackOf(i Instance) domain   { return domain{centre: i.Centre, rack: i.Rack} }
func centreOf(i Instance) domain { return domain{centre: i.Centre} }
func isDraining(i Instance) bool { return i.Phase == instance.PhaseDraining }

func (x *index) members(name pool.Name, kind instance.Kind) []Instance {
	return x.groups[group{pool: name, kind: kind}].members
}

func (x *index) counts(name pool.Name, kind instance.Kind) PhaseCounts {
	return x.groups[group{pool: name, kind: kind}].counts
}

// build fills the index from all instances at once.
func (x *index) build(instances []Instance) {
	x.groups = map[group]groupEntry{}
	x.draining = map[domain]int{}
	for _, i := range instances {
		entry := x.groups[groupOf(i)]
		entry.members = append(entry.members, i)
		entry.counts.add(i.Phase, 1)
		x.groups[groupOf(i)] = entry
		x.countDraining(i, 1)
	}
	for _, entry := range x.groups {
		slices.SortFunc(entry.members, compare)
	}
}

// replace exchanges one instance for its next version. A zero before is an addition, a zero after a
// removal.
func (x *index) replace(before, after Instance) {
	if x.groups == nil {
		x.build(nil)
	}
	x.countDraining(before, -1)
	x.countDraining(after, 1)
	if before.ID != "" && after.ID != "" && groupOf(before) == groupOf(after) {
		x.update(before, after)
		return
	}
	if before.ID != "" {
		x.remove(before)
	}
	if after.ID != "" {
		x.insert(after)
	}
}

// update exchanges a member in place of two copies of the members, since most records leave the pool
// as it is.
func (x *index) update(before, after Instance) {
	entry := x.groups[groupOf(after)]
	at, _ := slices.BinarySearchFunc(entry.members, after, compare)
	entry.members = slices.Clone(entry.members)
	entry.members[at] = after
	entry.counts.add(before.Phase, -1)
	entry.counts.add(after.Phase, 1)
	x.groups[groupOf(after)] = entry
}

func (x *index) remove(i Instance) {
	entry := x.groups[groupOf(i)]
	at, _ := slices.BinarySearchFunc(entry.members, i, compare)
	entry.members = slices.Concat(entry.members[:at], entry.members[at+1:])
	entry.counts.add(i.Phase, -1)
	if len(entry.members) == 0 {
		delete(x.groups, groupOf(i))
		return
	}
	x.groups[groupOf(i)] = entry
}

func (x *index) insert(i Instance) {
	entry := x.groups[groupOf(i)]
	at, _ := slices.BinarySearchFunc(entry.members, i, compare)
	entry.members = slices.Concat(entry.members[:at], []Instance{i}, entry.members[at:])
	entry.counts.add(i.Phase, 1)
	x.groups[groupOf(i)] = entry
}

func (x *index) countDraining(i Instance, n int) {
	if !isDraining(i) {
		return
	}
	for _, d := range []domain{rackOf(i), centreOf(i)} {
		x.draining[d] += n
		if x.draining[d] == 0 {
			delete(x.draining, d)
		}
	}
}
