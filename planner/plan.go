package planner

import (
	"fmt"
	"time"

	"hibiscuslane.example/hibiscuslane/fleet"
	"hibiscuslane.example/hibiscuslane/instance"
	"hibiscuslane.example/hibiscuslane/pool"
	"hibiscuslane.example/hibiscuslane/upstream"
)

// Plan returns the records that should be appended now, in a deterministic order: equal inputs give
// equal proposals. It never drains an instance if that would take a pool below its availability
// budget, counting the instances that fail or drain.
func Plan(in Input) []Proposal {
	v := newView(in)
	v.lose()
	v.join()
	v.admit()
	if !v.suspect {
		v.fill()
		v.giveBack()
		v.maintain()
		v.remove()
	}
	return v.proposals
}

// Actions returns the calls on the platform that follow from the state: a draining instance is drained
// and rebooted, and so is one that was declared lost or removed but still runs under its old
// incarnation, because it can return only under a higher one.
func Actions(in Input) []Action {
	var actions []Action
	fleetIDs := make(map[instance.ID]fleet.Instance, len(in.Fleet))
	for _, i := range in.Fleet {
		fleetIDs[i.ID] = i
	}
	for _, listing := range in.Listings {
		since, stopped := stoppedSince(in, fleetIDs, listing)
		if !stopped {
			continue
		}
		actions = append(actions, Action{Kind: ActionDrain, ID: listing.ID, Incarnation: listing.Incarnation})
		if in.Now.Sub(since) >= leavingBound {
			actions = append(actions, Action{Kind: ActionReboot, ID: listing.ID, Incarnation: listing.Incarnation})
		}
	}
	return actions
}

// stoppedSince reports whether a listed instance runs a life that the fleet has ended, and since when.
func stoppedSince(in Input, known map[instance.ID]fleet.Instance, listing upstream.Listing) (time.Time, bool) {
	if i, ok := known[listing.ID]; ok {
		return i.PhaseSince.AsTime(), i.Phase != instance.PhaseActive && listing.Incarnation <= i.Incarnation
	}
	removal, ok := in.Removals[listing.ID]
	return time.Time{}, ok && listing.Incarnation <= removal.Incarnation
}

func (v *view) propose(decision string, body fleet.Body) {
	v.proposals = append(v.proposals, Proposal{Body: body, DecisionKey: decision})
}

// assignment is the decision that chooses pools for new and returning instances. It is one decision for
// all of them: entries that each choose for some of the instances, from states that differ by the others'
// records, would divide a new fleet unevenly.
const assignment = "assign"

// assign proposes a record that chooses a pool.
func (v *view) assign(body fleet.Body) {
	v.proposals = append(v.proposals, Proposal{Body: body, DecisionKey: assignment, DelayKey: single(body)})
}

// single names a decision about one instance.
func single(body fleet.Body) string {
	return string(body.Kind()) + "/" + string(body.Header().ID)
}

func subject(m member, format string, args ...any) fleet.RecordHeader {
	return fleet.RecordHeader{ID: m.ID, Version: m.Version, Reason: fmt.Sprintf(format, args...)}
}

// lose declares instances as failed. The tallies keep counting them as active in name, which makes the
// floors of drains in the same plan stricter in case the records are applied in another order.
func (v *view) lose() {
	for i := range v.members {
		m := &v.members[i]
		if m.Phase == instance.PhaseLost {
			continue
		}
		reason := v.failure(*m)
		if reason == "" {
			continue
		}
		body := &fleet.MarkLost{RecordHeader: subject(*m, "%s", reason)}
		v.propose(single(body), body)
	}
}

// failure returns why an instance is lost, or an empty string.
func (v *view) failure(m member) string {
	missing, failing := v.in.MissingFor[m.ID], v.in.FailingFor[m.ID]
	if m.Phase == instance.PhaseDraining {
		if missing >= rebootLimit && !v.suspect {
			return fmt.Sprintf("did not return from its reboot for %s", missing.Truncate(time.Second))
		}
		return ""
	}
	switch {
	case m.reborn():
		return fmt.Sprintf("restarted under incarnation %d", m.listing.Incarnation)
	case missing >= listLag && failing >= listLag:
		return fmt.Sprintf("missing from the list for %s and failing", missing.Truncate(time.Second))
	case missing >= silenceLimit && !v.suspect:
		return fmt.Sprintf("missing from the list for %s", missing.Truncate(time.Second))
	case failing >= failureLimit:
		return fmt.Sprintf("failing for %s", failing.Truncate(time.Second))
	}
	return ""
}

// join returns rebooted instances to service: a draining one in the pool that its drain record names,
// a lost one where it is needed most.
func (v *view) join() {
	for _, m := range v.members {
		if m.Phase == instance.PhaseActive || !m.reborn() || m.listing.State != upstream.StateLive {
			continue
		}
		name, reason := m.NextPool, "rebooted for pool "+string(m.NextPool)
		if m.Phase == instance.PhaseLost {
			name, reason = v.choose(m.Kind, siteOf(m.listing), m.Pool)
			reason = "returned after a failure: " + reason
		}
		body := &fleet.Join{
			RecordHeader: subject(m, "%s", reason), Pool: name, Incarnation: m.listing.Incarnation,
			Address: m.listing.Address, Centre: m.listing.Centre, Rack: m.listing.Rack,
		}
		if m.Phase == instance.PhaseLost {
			v.assign(body)
		} else {
			v.propose(single(body), body)
		}
		v.arrive(m, name)
	}
}

// arrive moves a returning member from the expected or incoming instances to its new pool.
func (v *view) arrive(m member, name pool.Name) {
	to := group{pool: name, kind: m.Kind}
	if m.Phase == instance.PhaseDraining {
		v.each(to, m.site(), func(t *tally) { t.incoming-- })
	}
	if m.Phase == instance.PhaseLost && v.in.Now.Sub(m.PhaseSince.AsTime()) < v.total(m.group()).tuning.patience {
		v.each(m.group(), m.site(), func(t *tally) { t.expected-- })
	}
	v.welcome(to, m.listing)
}

// welcome counts an arriving instance towards the size of its pool. It gives the pool no headroom for
// drains until its record has been applied.
func (v *view) welcome(to group, listing upstream.Listing) {
	v.each(to, siteOf(listing), func(t *tally) { t.usable++ })
	v.racks[rackPlace{group: to, domain: domain{centre: listing.Centre, rack: listing.Rack}}]++
}

// admit adds listed instances that the fleet does not know. All sites first cover what they lack
// themselves; only then does an instance go to a pool that is short elsewhere, or to a spare pool.
// Otherwise the first site of a new fleet would fill the pools of all.
func (v *view) admit() {
	var left []upstream.Listing
	for _, listing := range v.in.Listings {
		if !v.admissible(listing) {
			continue
		}
		v.known[listing.ID] = true
		name, reason := v.neediest(listing.Kind, siteOf(listing), "", true)
		if name == "" {
			left = append(left, listing)
			continue
		}
		v.admitInto(listing, name, reason)
	}
	for _, listing := range left {
		if name, reason := v.choose(listing.Kind, siteOf(listing), ""); name != "" {
			v.admitInto(listing, name, reason)
		}
	}
}

func (v *view) admissible(listing upstream.Listing) bool {
	if v.known[listing.ID] || listing.State != upstream.StateLive {
		return false
	}
	if listing.Kind != instance.KindTarget && listing.Kind != instance.KindWorker {
		return false
	}
	removal, removed := v.in.Removals[listing.ID]
	return !removed || listing.Incarnation > removal.Incarnation
}

func (v *view) admitInto(listing upstream.Listing, name pool.Name, reason string) {
	body := &fleet.Admit{
		RecordHeader: fleet.RecordHeader{ID: listing.ID, Version: v.in.Removals[listing.ID].Version, Reason: "new instance: " + reason},
		InstanceKind: listing.Kind, Pool: name, Incarnation: listing.Incarnation,
		Address: listing.Address, Centre: listing.Centre, Rack: listing.Rack,
		Cores: listing.Cores, Memory: listing.Memory, Accelerators: listing.Accelerators,
	}
	v.assign(body)
	v.welcome(group{pool: name, kind: listing.Kind}, listing)
}

// remove deletes instances that are lost for good.
func (v *view) remove() {
	for _, m := range v.members {
		gone := m.Phase == instance.PhaseLost && !m.listed && v.in.Now.Sub(m.PhaseSince.AsTime()) >= removeAfter
		if !gone {
			continue
		}
		body := &fleet.Remove{RecordHeader: subject(m, "lost for %s and not listed", removeAfter)}
		v.propose(single(body), body)
	}
}
