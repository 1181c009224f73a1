// Package worker describes the workers of the fleet: how they register, what they run and what has
// ended on them. A Session talks to one of them.
package worker

import (
	"time"

	"hibiscuslane.example/hibiscuslane/instance"
	"hibiscuslane.example/hibiscuslane/pool"
	"hibiscuslane.example/hibiscuslane/site"
	"hibiscuslane.example/hibiscuslane/task"
)

// ID names a worker. A worker that restarts may keep its id; Birth tells its lives apart.
type ID string

// Incarnation is the start of a worker's life in Unix milliseconds.
type Incarnation int64

// FencingToken is a fencing token. A worker ignores orders with a lower token than the highest it has seen.
type FencingToken int64

// Clock is a time on the steady clock of one worker in milliseconds.
type Clock int64

// EndNumber numbers the ends of runs in one life of a worker, from 1 without gaps.
type EndNumber int64

// State is what a worker reports of itself.
type State string

// States of a worker.
const (
	StateReady    State = "ready"
	StateDraining State = "draining"
)

// Registration is the registration of a worker.
type Registration struct {
	ID          ID
	Incarnation Incarnation
	Pool        pool.Name
	Address     instance.Address
	DataCentre  site.DataCentre
	Machine     MachineID
	State       State
	Capacity    task.Resources
	// Labels are the kind of the worker and its rack.
	Labels []string
	// DrainRemaining is the least time that a draining worker still has.
	DrainRemaining time.Duration
	// WarmupRemaining is how much longer the worker is slow after its start.
	WarmupRemaining time.Duration
}

// MachineID names the machine on which workers live one after another.
type MachineID string

// MachineState is the state of a machine in the platform's list.
type MachineState string

// States of a machine.
const (
	MachineUp          MachineState = "up"
	MachineMoving      MachineState = "moving"
	MachineMaintenance MachineState = "upkeep"
	MachineStopped     MachineState = "down"
)

// Machine is an entry of the platform's list of machines.
type Machine struct {
	ID         MachineID
	Pool       pool.Name
	State      MachineState
	DataCentre site.DataCentre
	Labels     []string
	Capacity   task.Resources
	// Worker is the worker that lives on the machine; it is empty while there is none.
	Worker ID
}

// Run is a task that runs on a worker.
type Run struct {
	Key        task.Key
	Number     task.RunNumber
	Checkpoint task.Checkpoint
	// SpeedPercent is the share of full speed at which the task works; 100 is full speed.
	SpeedPercent int
	// Measurement is a rough measurement over the last half second: the tail of the response times in
	// milliseconds for a task that serves, the thousandths of a core in use for others.
	Measurement float64
}

// Cause says how a run ended.
type Cause string

// Causes of an end.
const (
	CauseDone           Cause = "done"
	CauseFailed         Cause = "failed"
	CauseStopped        Cause = "stopped"
	CauseLeaseExpired   Cause = "lapsed" // the lease expired
	CauseGangBroken     Cause = "broken" // another member of the gang ended
	CauseGangIncomplete Cause = "alone"  // the other members of the gang did not arrive in time
)

// RunEnd is a run that has ended.
type RunEnd struct {
	Number     EndNumber
	Key        task.Key
	Run        task.RunNumber
	Cause      Cause
	Checkpoint task.Checkpoint
}

// Report is what a worker answers to a lease renewal.
type Report struct {
	Incarnation Incarnation
	Clock       Clock
	// HasRunning says that Running is filled in.
	HasRunning bool
	Running    []Run
	Ended      []RunEnd
}

// StartOrder asks a worker to start a task.
type StartOrder struct {
	Key          task.Key
	Run          task.RunNumber
	Payload      string
	Deadline     Clock
	FencingToken FencingToken
	Checkpoint   task.Checkpoint
	// Ticket is the permission of the advice service; it is empty for queues without advice.
	Ticket string
}

// Refusal is the reason why a worker refused an order. The order had no effect.
type Refusal string

// Reasons of refusals.
const (
	RefusedStaleToken       Refusal = "fence"  // the worker has seen a higher token
	RefusedStaleRun         Refusal = "old"    // a run that is not lower was stopped or ended there
	RefusedDeadlinePassed   Refusal = "late"   // the deadline of the order has passed
	RefusedNoCapacity       Refusal = "room"   // no capacity
	RefusedInvalidTicket    Refusal = "ticket" // the ticket is missing or not valid
	RefusedWrongIncarnation Refusal = "reborn" // the worker is not the life that was meant
	RefusedUnhealthy        Refusal = "unhealthy"
	RefusedInvalid          Refusal = "invalid"
)
