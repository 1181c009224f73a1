// Package wave plans maintenance waves (PlanNext). In a wave, each of a set of machines is maintained
// once before a deadline, and only a limited number of them may be under maintenance at a time. Only
// "hibiscuslane run" uses it; package planner schedules maintenance for "hibiscuslane serve".
package wave

import (
	"time"

	"hibiscuslane.example/hibiscuslane/worker"
)

// Number identifies a maintenance wave.
type Number int64

// Request is an operator's request for a maintenance wave.
type Request struct {
	Number   Number
	Machines []worker.MachineID
	// TimeLimit is the time within which all machines must be maintained.
	TimeLimit time.Duration
	// MaxUnavailable is the number of machines that may be under maintenance at the same time; at least 1.
	MaxUnavailable int
}
