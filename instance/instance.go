// Package instance defines the instances of the fleet: targets, workers and entries. "hibiscuslane run"
// uses only ID and Address; its workers and machines are defined in package worker.
package instance

// ID identifies an instance for as long as the platform lists it.
type ID string

// Incarnation distinguishes the starts of an instance and grows with each of them. For targets and workers the
// platform increments it at each reboot; an entry uses its start time in Unix nanoseconds. It serves as a fencing
// token, since an instance refuses calls that carry another incarnation than its own.
type Incarnation uint64

// Kind is the role of an instance.
type Kind string

// Kinds of instances.
const (
	KindEntry  Kind = "entry"
	KindTarget Kind = "target"
	KindWorker Kind = "worker"
)

// Phase is the current stage in the life cycle of an instance.
type Phase string

// Phases of an instance.
const (
	PhaseActive   Phase = "active"   // accepts work of its pool
	PhaseDraining Phase = "draining" // completes its work and accepts no more
	PhaseLost     Phase = "lost"     // declared failed
)

// Address is the IP address and port of an instance.
type Address string
