package config

import (
	"hibiscuslane.example/hibiscuslane/pool"
	"hibiscuslane.example/hibiscuslane/site"
	"hibiscuslane.example/hibiscuslane/team"
)

// Settings is the configuration in force at one site: the base file merged with the overlay of the
// site.
type Settings struct {
	// Region is the region of the site.
	Region site.Region             `json:"region"`
	Pools  map[pool.Name]pool.Spec `json:"pools"`
	Teams  map[team.Name]team.Spec `json:"teams"`
	// Routes are matched by the longest prefix.
	Routes      []Route     `json:"routes"`
	Weights     Weights     `json:"weights"`
	Maintenance Maintenance `json:"maintenance"`
}

// Route sends requests to a pool by the prefix of their path.
type Route struct {
	Prefix string    `json:"prefix"`
	Pool   pool.Name `json:"pool"`
	// Idempotent lists the methods that may be repeated besides GET, HEAD and OPTIONS.
	Idempotent []string `json:"idempotent,omitempty"`
}

// Weights rank the measures against each other when the planner has a choice.
type Weights struct {
	Buffer  float64 `json:"buffer"`
	Moves   float64 `json:"moves"`
	Rollout float64 `json:"rollout"`
}

// Maintenance bounds planned drains.
type Maintenance struct {
	// Days is the time within which each instance is rebooted once; 0 means no maintenance.
	Days int `json:"days"`
	// Rack and Centre are the most instances drained at once in one failure domain.
	Rack   int `json:"rack"`
	Centre int `json:"centre"`
	// Pause is the number of failures within ten minutes at which new drains stop.
	Pause int `json:"pause"`
}
