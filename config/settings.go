package config

import (
	"hibiscuslane.example/hibiscuslane/pool"
	"hibiscuslane.example/hibiscuslane/site"
	"hibiscuslane.example/hibiscuslane/team"
)

// Settings is the configuration in force at one site: the base file merged with the overlay of the
// site.
type Settings struct {
	Region site.Region             `json:"region"`
	Pools  map[pool.Name]pool.Spec `json:"pools"`
	Teams  map[team.Name]team.Spec `json:"teams"`
	// Routes lists the routes in any order; the route with the longest matching prefix applies.
	Routes      []Route     `json:"routes"`
	Weights     Weights     `json:"weights"`
	Maintenance Maintenance `json:"maintenance"`
}

// Route sends the requests whose path begins with the prefix to a pool. The prefix must match whole segments
// of the path.
type Route struct {
	Prefix string    `json:"prefix"`
	Pool   pool.Name `json:"pool"`
	// Idempotent lists the methods besides GET, HEAD and OPTIONS whose requests may be executed more than once.
	Idempotent []string `json:"idempotent,omitempty"`
}

// Weights set the relative priority of the planner's optimization criteria. Only their ratio matters; if all
// are 0, they count as equal.
type Weights struct {
	// Buffer favours free capacity: it reduces the shares of the other two.
	Buffer float64 `json:"buffer"`
	// Moves favours fewer moves of instances between pools.
	Moves float64 `json:"moves"`
	// Rollout favours faster maintenance.
	Rollout float64 `json:"rollout"`
}

// Maintenance limits planned drains.
type Maintenance struct {
	// PeriodDays is the period in days within which each instance is rebooted once; 0 turns maintenance off.
	PeriodDays int `json:"days"`
	// MaxPerRack and MaxPerCentre are the numbers of instances of one rack and of one data centre out of
	// service, whether drained or failed, at which no new maintenance drain starts there.
	MaxPerRack   int `json:"rack"`
	MaxPerCentre int `json:"centre"`
	// PauseAfterFailures is the number of instances of the whole fleet that fail within ten minutes at which no
	// new drain starts for maintenance or to release surplus instances. Instances are still moved into pools that lack
	// some, to replace those that have failed.
	PauseAfterFailures int `json:"pause"`
}
