// Package wave plans maintenance: every machine of a wave is maintained once, in time, and only a bounded
// number of them is away at once.
package wave

import (
	"time"

	"hibiscuslane.example/hibiscuslane/worker"
)

// Number identifies a wave.
type Number int64

// Request is an operator's request for a wave.
type Request struct {
	Number   Number
	Machines []worker.MachineID
	// TimeLimit is the time in which all machines are to be maintained.
	TimeLimit time.Duration
	// MaxUnavailable is the number of machines that may be away at once; at least 1.
	MaxUnavailable int
}
