// Package planner assigns instances to pools and schedules their maintenance. From the fleet state, the
// list of the platform, the settings and the time, Plan computes fleet records, and Actions the drains and
// reboots that the fleet state requires. Runner proposes the records until they are applied and performs
// the actions. Only "hibiscuslane serve" uses it; packages balance and wave plan for "hibiscuslane run".
package planner

import (
	"cmp"
	"time"

	"hibiscuslane.example/hibiscuslane/config"
	"hibiscuslane.example/hibiscuslane/fleet"
	"hibiscuslane.example/hibiscuslane/instance"
	"hibiscuslane.example/hibiscuslane/pool"
	"hibiscuslane.example/hibiscuslane/site"
	"hibiscuslane.example/hibiscuslane/upstream"
)

// Input holds everything that a plan depends on.
type Input struct {
	Now time.Time
	// Fleet is sorted by id.
	Fleet []fleet.Instance
	// Removals holds the removals of listed instances that were removed from the fleet.
	Removals map[instance.ID]fleet.Removal
	// ListedInstances is the most recent list of the platform. It lags behind the actual state.
	ListedInstances []upstream.Instance
	// MissingFor holds how long an instance of the fleet has been absent from successive lists.
	MissingFor map[instance.ID]time.Duration
	// FailingFor holds how long the entries have reported a target as failing without interruption.
	FailingFor map[instance.ID]time.Duration
	Sites      map[site.Name]config.Settings
	History    History
}

// History holds the past events and averages that a plan needs in addition to the fleet state.
type History struct {
	// RecentFailures are the instances that were declared lost within the last ten minutes.
	RecentFailures []Failure
	// Demand is the mean number of busy targets per pool, smoothed over ten minutes.
	Demand map[pool.Name]float64
}

// Failure records that an instance was declared lost.
type Failure struct {
	ID instance.ID
	At time.Time
}

// Proposal is a fleet record that should be appended to the log.
type Proposal struct {
	Body fleet.Body
	// DecisionKey identifies the decision behind the proposal. The entries derive from it which of them
	// proposes first. All moves into a pool that lacks instances of a kind share a key, because two
	// entries that both replace the same missing instance would move two instances.
	DecisionKey string
	// DelayKey identifies the proposal in successive plans. The delay of the entries that are not first
	// starts with the first plan that contains the key. If it is empty, DecisionKey is used.
	DelayKey string
}

func (p Proposal) delayKey() string { return cmp.Or(p.DelayKey, p.DecisionKey) }

// Reason returns the reason stated in the record.
func (p Proposal) Reason() string { return p.Body.Header().Reason }

// ActionKind names an operation of the control interface of the platform.
type ActionKind string

// Kinds of actions.
const (
	ActionDrain  ActionKind = "drain"
	ActionReboot ActionKind = "reboot"
)

// Action is a call to the platform that the fleet state requires. It can be repeated safely, because the
// platform refuses calls for an incarnation that is no longer current.
type Action struct {
	Kind        ActionKind
	ID          instance.ID
	Incarnation instance.Incarnation
}
