package settings

import (
	"time"

	"hibiscuslane.example/hibiscuslane/instance"
	"hibiscuslane.example/hibiscuslane/site"
)

// Deployment are the settings of an entry on the users' platform. The platform fills them in.
type Deployment struct {
	ID     instance.ID
	Centre site.DataCentre
	// Callers, Ready and Peers are the addresses to listen on.
	Callers, Ready, Peers instance.Address
	// Store, Fleet and Advisor are the services of the platform. Advisor may be empty.
	Store, Fleet, Advisor instance.Address
	// Cores is the share of a core that the process may use, in cores.
	Cores    float64
	Contract Contract
}

// Contract are the periods that the platform and the system keep to.
type Contract struct {
	// Grace is the time from the request to stop a process to its forced end.
	Grace time.Duration
	// MaxLease is the longest lease that a worker grants.
	MaxLease time.Duration
	// Status is how long the state of a job is told after its end.
	Status time.Duration
	// Turn is the time for which no two processes may give orders for one machine.
	Turn time.Duration
	// Move and Maintenance are the times that a machine is away.
	Move, Maintenance time.Duration
}
