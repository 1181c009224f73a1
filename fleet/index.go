package fleet

import (
	"slices"

	"hibiscuslane.example/hibiscuslane/instance"
	"hibiscuslane.example/hibiscuslane/pool"
	"hibiscuslane.example/hibiscuslane/site"
)

// PhaseCounts holds the number of instances in each phase.
type PhaseCounts struct {
	Active   int `json:"active"`
	Draining int `json:"draining"`
	Lost     int `json:"lost"`
}

// Total returns the number of instances over all phases.
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

// memberGroup identifies the instances of one kind in one pool.
type memberGroup struct {
	pool pool.Name
	kind instance.Kind
}

// failureDomain identifies a rack, or a whole data centre if rack is empty.
type failureDomain struct {
	centre site.DataCentre
	rack   site.Rack
}

// indexedGroup holds the instances of a member group and their number per phase.
type indexedGroup struct {
	// members is sorted by id. Readers share the slice, so a change replaces it instead of modifying it.
	members []Instance
	counts  PhaseCounts
}

// index serves lookups on the request path without a scan of all instances. State.mu guards it.
type index struct {
	groups map[memberGroup]indexedGroup
	// draining is the number of draining instances in each failure domain.
	draining map[failureDomain]int
}

func groupOf(i Instance) memberGroup    { return memberGroup{pool: i.Pool, kind: i.Kind} }
func rackOf(i Instance) failureDomain   { return failureDomain{centre: i.Centre, rack: i.Rack} }
func centreOf(i Instance) failureDomain { return failureDomain{centre: i.Centre} }
func isDraining(i Instance) bool        { return i.Phase == instance.PhaseDraining }

func (x *index) members(name pool.Name, kind instance.Kind) []Instance {
	return x.groups[memberGroup{pool: name, kind: kind}].members
}

func (x *index) counts(name pool.Name, kind instance.Kind) PhaseCounts {
	return x.groups[memberGroup{pool: name, kind: kind}].counts
}

// rebuild replaces the index by one over the given instances.
func (x *index) rebuild(instances []Instance) {
	x.groups = map[memberGroup]indexedGroup{}
	x.draining = map[failureDomain]int{}
	for _, i := range instances {
		g := x.groups[groupOf(i)]
		g.members = append(g.members, i)
		g.counts.add(i.Phase, 1)
		x.groups[groupOf(i)] = g
		x.countDraining(i, 1)
	}
	for _, g := range x.groups {
		slices.SortFunc(g.members, compareIDs)
	}
}

// replace updates the index after a change of one instance. A zero before adds the instance, a zero
// after removes it.
func (x *index) replace(before, after Instance) {
	if x.groups == nil {
		x.rebuild(nil)
	}
	x.countDraining(before, -1)
	x.countDraining(after, 1)
	if before.ID != "" && after.ID != "" && groupOf(before) == groupOf(after) {
		x.replaceMember(before, after)
		return
	}
	if before.ID != "" {
		x.removeMember(before)
	}
	if after.ID != "" {
		x.insertMember(after)
	}
}

// replaceMember updates an instance that stays in its group. Most records do not change the pool, and
// this copies the members once, where a removal and an insertion would copy them twice.
func (x *index) replaceMember(before, after Instance) {
	g := x.groups[groupOf(after)]
	pos, _ := slices.BinarySearchFunc(g.members, after, compareIDs)
	g.members = slices.Clone(g.members)
	g.members[pos] = after
	g.counts.add(before.Phase, -1)
	g.counts.add(after.Phase, 1)
	x.groups[groupOf(after)] = g
}

func (x *index) removeMember(i Instance) {
	g := x.groups[groupOf(i)]
	pos, _ := slices.BinarySearchFunc(g.members, i, compareIDs)
	g.members = slices.Concat(g.members[:pos], g.members[pos+1:])
	g.counts.add(i.Phase, -1)
	if len(g.members) == 0 {
		delete(x.groups, groupOf(i))
		return
	}
	x.groups[groupOf(i)] = g
}

func (x *index) insertMember(i Instance) {
	g := x.groups[groupOf(i)]
	pos, _ := slices.BinarySearchFunc(g.members, i, compareIDs)
	g.members = slices.Concat(g.members[:pos], []Instance{i}, g.members[pos:])
	g.counts.add(i.Phase, 1)
	x.groups[groupOf(i)] = g
}

// countDraining adds n to the counts of the rack and the data centre of an instance if it is draining.
func (x *index) countDraining(i Instance, n int) {
	if !isDraining(i) {
		return
	}
	for _, d := range []failureDomain{rackOf(i), centreOf(i)} {
		x.draining[d] += n
		if x.draining[d] == 0 {
			delete(x.draining, d)
		}
	}
}
