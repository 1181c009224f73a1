// Package instance defines the machines of the fleet: targets, workers and entries.
package instance

// ID names an instance for as long as the platform lists it.
type ID string

// Incarnation counts the lives of an instance. Each reboot raises it by one, which makes it a fencing
// token: an instance refuses calls that carry another incarnation than its own.
type Incarnation uint64

// Kind says what an instance does.
type Kind string

// Kinds of instances.
const (
	KindEntry  Kind = "entry"
	KindTarget Kind = "target"
	KindWorker Kind = "worker"
)

// Phase is the position of an instance in its life cycle.
type Phase string

// Phases of an instance.
const (
	PhaseActive   Phase = "active"   // takes work for its pool
	PhaseDraining Phase = "draining" // finishes its work and takes none
	PhaseLost     Phase = "lost"     // declared failed
)

// Address is the IP address and port of an instance.
type Address string
