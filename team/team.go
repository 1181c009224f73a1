// Package team defines teams, which own jobs and have quotas. Spec is the configuration of a team of "hibiscuslane serve";
// queue.Team is that of "hibiscuslane run".
package team

// Name identifies a team.
type Name string

// Spec is the configuration of a team.
type Spec struct {
	// Weight is the share of a contended queue that the team gets, relative to the weights of other teams; it
	// is at least 1.
	Weight int `json:"weight"`
	// Rate is the number of requests per second that the team may send through one entry; 0 means no limit.
	Rate float64 `json:"rate,omitempty"`
	// Cores, Memory (in MB) and Accelerators limit the resources of the team's running jobs; 0 means no limit.
	Cores        int `json:"cores,omitempty"`
	Memory       int `json:"memory,omitempty"`
	Accelerators int `json:"accelerators,omitempty"`
}
