// Package planner decides which instance belongs to which pool: it turns the fleet, the platform's
// list, the settings and the time into proposed fleet records, and keeps proposing them.
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

// Input is everything that a plan depends on.
type Input struct {
	Now time.Time
	// Fleet is sorted by id.
	Fleet []fleet.Instance
	// Removed holds the listed instances that were removed from the fleet.
	Removals map[instance.ID]fleet.Removal
	// List is the newest list of the platform; it lags.
	Listings []upstream.Listing
	// Missing says for how long an instance of the fleet has been absent from successive lists.
	MissingFor map[instance.ID]time.Duration
	// Failing says for how long the entries have reported a target as failing without interruption.
	FailingFor map[instance.ID]time.Duration
	Sites      map[site.Name]config.Settings
	History    History
}

// History is what a plan needs to know of the past beyond the fleet.
type History struct {
	// Failures are the instances declared lost within the last ten minutes.
	RecentFailures []Failure
	// Demand is the mean number of busy targets per pool, smoothed over ten minutes.
	Demand map[pool.Name]float64
}

// Failure is the loss of one instance.
type Failure struct {
	ID instance.ID
	At time.Time
}

// Proposal is a fleet record that should be appended. The reason is part of the record.
type Proposal struct {
	Body fleet.Body
	// Decision names what is decided, so that the entries agree on who proposes it first. Drains into
	// one pool are one decision: two entries that fill the same gap would move two instances.
	DecisionKey string
	// Pending names what the delay of the entries that do not act first is counted for; empty means
	// Decision.
	DelayKey string
}

func (p Proposal) pending() string { return cmp.Or(p.DelayKey, p.DecisionKey) }

// Reason returns the reason that the record states.
func (p Proposal) Reason() string { return p.Body.Header().Reason }

// ActionKind is a call on the platform's control interface.
type ActionKind string

// Verbs of actions.
const (
	ActionDrain  ActionKind = "drain"
	ActionReboot ActionKind = "reboot"
)

// Action is a call on the platform that follows from the state. Repeating it is safe, because the
// platform refuses an incarnation that is no longer current.
type Action struct {
	Kind        ActionKind
	ID          instance.ID
	Incarnation instance.Incarnation
}
