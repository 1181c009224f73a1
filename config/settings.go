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

// Route sends the requests whose path has the prefix to a pool.
type Route struct {
	Prefix string    `json:"prefix"`
	Pool   pool.Name `json:"pool"`
	// Idempotent lists the methods besides GET, HEAD and OPTIONS whose requests may be retried.
	Idempotent []string `json:"idempotent,omitempty"`
}

// Weights set the relative priority of the planner's optimization criteria. Only their ratio matters.
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
	// MaxPerRack and MaxPerCentre limit how many instances of one rack and of one data centre are drained
	// at the same time.
	MaxPerRack   int `json:"rack"`
	MaxPerCentre int `json:"centre"`
	// PauseAfterFailures is the number of failures within ten minutes from which on no new drain starts.
	PauseAfterFailures int `json:"pause"`
}
