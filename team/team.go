// Package team defines the owners of quota.
package team

// Name identifies a team.
type Name string

// Spec is what operators declare for a team.
type Spec struct {
	// Weight is the team's share of a contended queue relative to other teams; at least 1.
	Weight int `json:"weight"`
	// Rate is the number of requests per second that the team may start through one entry; 0 means
	// no limit.
	Rate float64 `json:"rate,omitempty"`
	// Cores, Memory (MB) and Accelerators bound the running jobs of the team; 0 means no limit.
	Cores        int `json:"cores,omitempty"`
	Memory       int `json:"memory,omitempty"`
	Accelerators int `json:"accelerators,omitempty"`
}
