package planner

import (
	"fmt"
	"time"

	"hibiscuslane.example/hibiscuslane/fleet"
	"hibiscuslane.example/hibiscuslane/instance"
	"hibiscuslane.example/hibiscuslane/pool"
	"hibiscuslane.example/hibiscuslane/upstream"
)

// Plan returns the records that should be appended now. It is deterministic: equal inputs give equal
// proposals in the same order. It never proposes a drain that would take a pool below its availability
// budget, for which failing and draining instances do not count as available.
func Plan(in Input) []Proposal {
	s := newPlanState(in)
	s.proposeLosses()
	s.proposeJoins()
	s.proposeAdmissions()
	if !s.listSuspect {
		s.fillShortPools()
		s.releaseSurplus()
		s.proposeMaintenance()
		s.proposeRemovals()
	}
	return s.proposals
}

// Actions returns the calls to the platform that the fleet state requires. Draining instances are drained
// and rebooted. So are instances that were declared lost or removed but still run under the old
// incarnation, because they can rejoin only under a higher one.
func Actions(in Input) []Action {
	var actions []Action
	instancesByID := make(map[instance.ID]fleet.Instance, len(in.Fleet))
	for _, i := range in.Fleet {
		instancesByID[i.ID] = i
	}
	for _, listedInstance := range in.ListedInstances {
		since, ended := incarnationEndedAt(in, instancesByID, listedInstance)
		if !ended {
			continue
		}
		actions = append(actions, Action{Kind: ActionDrain, ID: listedInstance.ID, Incarnation: listedInstance.Incarnation})
		if in.Now.Sub(since) >= drainPropagationTime {
			actions = append(actions, Action{Kind: ActionReboot, ID: listedInstance.ID, Incarnation: listedInstance.Incarnation})
		}
	}
	return actions
}

// incarnationEndedAt reports whether a listed instance runs under an incarnation that the fleet state has
// ended by a drain, a loss or a removal, and since when. The time of a removal is the zero time.
func incarnationEndedAt(in Input, instancesByID map[instance.ID]fleet.Instance, listedInstance upstream.Instance) (time.Time, bool) {
	if i, ok := instancesByID[listedInstance.ID]; ok {
		return i.PhaseSince.AsTime(), i.Phase != instance.PhaseActive && listedInstance.Incarnation <= i.Incarnation
	}
	removal, ok := in.Removals[listedInstance.ID]
	return time.Time{}, ok && listedInstance.Incarnation <= removal.Incarnation
}

func (s *planState) propose(decisionKey string, body fleet.Body) {
	s.proposals = append(s.proposals, Proposal{Body: body, DecisionKey: decisionKey})
}

// assignmentKey is the decision key of records that choose a pool for a new or returning instance. All of
// them share the key: if several entries each chose pools for some of the instances, from states that
// lack the records of the others, a new fleet would be distributed unevenly.
const assignmentKey = "assign"

// proposeAssignment proposes a record that chooses a pool.
func (s *planState) proposeAssignment(body fleet.Body) {
	s.proposals = append(s.proposals, Proposal{Body: body, DecisionKey: assignmentKey, DelayKey: singleInstanceKey(body)})
}

// singleInstanceKey returns the key of a decision about one instance.
func singleInstanceKey(body fleet.Body) string {
	return string(body.Kind()) + "/" + string(body.Header().ID)
}

func newRecordHeader(m member, format string, args ...any) fleet.RecordHeader {
	return fleet.RecordHeader{ID: m.ID, Version: m.Version, Reason: fmt.Sprintf(format, args...)}
}

// proposeLosses proposes to declare failed instances as lost. They still count as active in the counts.
// This raises the minimum of active instances that drains of the same plan require, so that the budget
// holds in whichever order the records are applied.
func (s *planState) proposeLosses() {
	for i := range s.members {
		m := &s.members[i]
		if m.Phase == instance.PhaseLost {
			continue
		}
		reason := s.lossReason(*m)
		if reason == "" {
			continue
		}
		body := &fleet.MarkLost{RecordHeader: newRecordHeader(*m, "%s", reason)}
		s.propose(singleInstanceKey(body), body)
	}
}

// lossReason returns the reason to declare an instance lost, or an empty string if there is none.
func (s *planState) lossReason(m member) string {
	missing, failing := s.in.MissingFor[m.ID], s.in.FailingFor[m.ID]
	if m.Phase == instance.PhaseDraining {
		if missing >= rebootTimeout && !s.listSuspect {
			return fmt.Sprintf("did not return from its reboot for %s", missing.Truncate(time.Second))
		}
		return ""
	}
	switch {
	case m.hasNewIncarnation():
		return fmt.Sprintf("restarted under incarnation %d", m.listedInstance.Incarnation)
	case missing >= listLagTolerance && failing >= listLagTolerance:
		return fmt.Sprintf("missing from the list for %s and failing", missing.Truncate(time.Second))
	case missing >= missingLimit && !s.listSuspect:
		return fmt.Sprintf("missing from the list for %s", missing.Truncate(time.Second))
	case failing >= failingLimit:
		return fmt.Sprintf("failing for %s", failing.Truncate(time.Second))
	}
	return ""
}

// proposeJoins proposes to return rebooted instances to service. A draining instance joins the pool that
// its drain record names, a lost instance the pool that choosePool returns.
func (s *planState) proposeJoins() {
	for _, m := range s.members {
		if m.Phase == instance.PhaseActive || !m.hasNewIncarnation() || m.listedInstance.State != upstream.StateLive {
			continue
		}
		name, reason := m.NextPool, "rebooted for pool "+string(m.NextPool)
		if m.Phase == instance.PhaseLost {
			name, reason = s.choosePool(m.Kind, siteOfListedInstance(m.listedInstance), m.Pool)
			reason = "returned after a failure: " + reason
		}
		body := &fleet.Join{
			RecordHeader: newRecordHeader(m, "%s", reason), Pool: name, Incarnation: m.listedInstance.Incarnation,
			Address: m.listedInstance.Address, Centre: m.listedInstance.Centre, Rack: m.listedInstance.Rack,
		}
		if m.Phase == instance.PhaseLost {
			s.proposeAssignment(body)
		} else {
			s.propose(singleInstanceKey(body), body)
		}
		s.countJoin(m, name)
	}
}

// countJoin updates the counts for a returning member: it no longer counts as awaited or joining, but as
// a usable member of its new pool.
func (s *planState) countJoin(m member, name pool.Name) {
	to := memberGroup{pool: name, kind: m.Kind}
	if m.Phase == instance.PhaseDraining {
		s.updateCounts(to, m.site(), func(c *groupCounts) { c.joining-- })
	}
	if m.Phase == instance.PhaseLost && s.in.Now.Sub(m.PhaseSince.AsTime()) < s.totalCounts(m.group()).policy.recoveryWait {
		s.updateCounts(m.group(), m.site(), func(c *groupCounts) { c.awaited-- })
	}
	s.countArrival(to, m.listedInstance)
}

// countArrival counts a joining or admitted instance towards the size of its pool. The instance adds no
// headroom for drains until its record has been applied.
func (s *planState) countArrival(to memberGroup, listedInstance upstream.Instance) {
	s.updateCounts(to, siteOfListedInstance(listedInstance), func(c *groupCounts) { c.usable++ })
	s.membersInDomain[groupInDomain{memberGroup: to, failureDomain: failureDomain{centre: listedInstance.Centre, rack: listedInstance.Rack}}]++
}

// proposeAdmissions proposes to admit listed instances that are not part of the fleet. Instances first
// cover the shortfalls at their own site. Only then are the remaining ones assigned to pools that lack
// instances at other sites, or to spare pools. Otherwise the instances of the first site of a new fleet
// would fill the pools of all sites.
func (s *planState) proposeAdmissions() {
	var remaining []upstream.Instance
	var admissions []*fleet.Admit
	for _, listedInstance := range s.in.ListedInstances {
		if !s.isAdmissible(listedInstance) {
			continue
		}
		s.inFleet[listedInstance.ID] = true
		name, reason := s.neediestPool(listedInstance.Kind, siteOfListedInstance(listedInstance), "", true)
		if name == "" {
			remaining = append(remaining, listedInstance)
			continue
		}
		admissions = append(admissions, s.proposeAdmission(listedInstance, name, reason))
	}
	for _, listedInstance := range remaining {
		if name, reason := s.choosePool(listedInstance.Kind, siteOfListedInstance(listedInstance), ""); name != "" {
			admissions = append(admissions, s.proposeAdmission(listedInstance, name, reason))
		}
	}
	s.limitAdmissions(admissions)
}

// limitAdmissions lets the admissions apply only up to what their pools have after all of them. An entry that plans
// from another state may assign the same instances otherwise, and both together would overfill a pool.
func (s *planState) limitAdmissions(admissions []*fleet.Admit) {
	count := map[memberGroup]int{}
	for _, a := range admissions {
		count[memberGroup{pool: a.Pool, kind: a.InstanceKind}]++
	}
	for _, a := range admissions {
		g := memberGroup{pool: a.Pool, kind: a.InstanceKind}
		a.MaxActive = s.totalCounts(g).active + count[g]
	}
}

// isAdmissible reports whether a listed instance can be admitted: it is live, of a known kind, not part
// of the fleet, and not still in the incarnation under which it was removed.
func (s *planState) isAdmissible(listedInstance upstream.Instance) bool {
	if s.inFleet[listedInstance.ID] || listedInstance.State != upstream.StateLive {
		return false
	}
	if listedInstance.Kind != instance.KindTarget && listedInstance.Kind != instance.KindWorker {
		return false
	}
	removal, removed := s.in.Removals[listedInstance.ID]
	return !removed || listedInstance.Incarnation > removal.Incarnation
}

func (s *planState) proposeAdmission(listedInstance upstream.Instance, name pool.Name, reason string) *fleet.Admit {
	body := &fleet.Admit{
		RecordHeader: fleet.RecordHeader{ID: listedInstance.ID, Version: s.in.Removals[listedInstance.ID].Version, Reason: "new instance: " + reason},
		InstanceKind: listedInstance.Kind, Pool: name, Incarnation: listedInstance.Incarnation,
		Address: listedInstance.Address, Centre: listedInstance.Centre, Rack: listedInstance.Rack,
		Cores: listedInstance.Cores, Memory: listedInstance.Memory, Accelerators: listedInstance.Accelerators,
	}
	s.proposeAssignment(body)
	s.countArrival(memberGroup{pool: name, kind: listedInstance.Kind}, listedInstance)
	return body
}

// proposeRemovals proposes to remove lost instances that the platform no longer lists.
func (s *planState) proposeRemovals() {
	for _, m := range s.members {
		removable := m.Phase == instance.PhaseLost && !m.listed && s.in.Now.Sub(m.PhaseSince.AsTime()) >= removalDelay
		if !removable {
			continue
		}
		body := &fleet.Remove{RecordHeader: newRecordHeader(m, "lost for %s and not listed", removalDelay)}
		s.propose(singleInstanceKey(body), body)
	}
}
