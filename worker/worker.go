// Package worker defines the workers and machines of "hibiscuslane run": the registrations of workers, the runs
// that they report as running or ended, the orders that they accept or refuse, and their leases. In
// "hibiscuslane serve", a worker is one kind of instance (package instance) that is called through upstream.Worker.
package worker

import (
	"time"

	"hibiscuslane.example/hibiscuslane/instance"
	"hibiscuslane.example/hibiscuslane/pool"
	"hibiscuslane.example/hibiscuslane/site"
	"hibiscuslane.example/hibiscuslane/task"
)

// ID identifies a worker. A restarted worker may keep its id; its Incarnation then differs.
type ID string

// Incarnation tells successive starts of a worker with the same id apart. It is the start time in Unix milliseconds.
type Incarnation int64

// FencingToken is the epoch of the owner that sends an order; a later owner has a higher one. A worker refuses
// orders with a lower token than the highest that it has seen.
type FencingToken int64

// Clock is a time in milliseconds on the monotonic clock of one worker.
type Clock int64

// EndNumber numbers the ended runs of one incarnation of a worker from 1 without gaps.
type EndNumber int64

// State is the state that a worker reports in its registration.
type State string

// States of a worker.
const (
	StateReady    State = "ready"
	StateDraining State = "draining"
	// StateUnreadable is that of a known worker whose registration can no longer be read. No worker reports it.
	StateUnreadable State = "unreadable"
)

// Registration is what a worker publishes about itself so that it receives tasks.
type Registration struct {
	ID          ID
	Incarnation Incarnation
	Pool        pool.Name
	Address     instance.Address
	DataCentre  site.DataCentre
	Machine     MachineID
	State       State
	Capacity    task.Resources
	// Labels name the kind of the worker and its rack.
	Labels []string
	// DrainRemaining is the minimum time until a draining worker stops.
	DrainRemaining time.Duration
	// WarmupRemaining is how much longer the worker runs slowly after its start.
	WarmupRemaining time.Duration
}

// MachineID identifies a machine. A machine hosts one worker at a time.
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

// Machine describes a machine as the platform lists it.
type Machine struct {
	ID         MachineID
	Pool       pool.Name
	State      MachineState
	DataCentre site.DataCentre
	Labels     []string
	Capacity   task.Resources
	// Worker is the worker that the machine hosts; it is empty while there is none.
	Worker ID
}

// Run describes a run of a task that a worker reports as running.
type Run struct {
	Key        task.Key
	Number     task.RunNumber
	Checkpoint task.Checkpoint
	// SpeedPercent is the speed to which the run is throttled; 100 is full speed.
	SpeedPercent int
	// Measurement is a rough measurement over the last half second: the tail latency in milliseconds for a task
	// that serves requests, and the CPU usage in thousandths of a core for any other task.
	Measurement float64
}

// Cause is the reason why a run ended.
type Cause string

// Causes of the end of a run.
const (
	CauseDone           Cause = "done"
	CauseFailed         Cause = "failed"
	CauseStopped        Cause = "stopped"
	CauseLeaseExpired   Cause = "lapsed" // the lease of the worker expired
	CauseGangBroken     Cause = "broken" // another task of the gang ended
	CauseGangIncomplete Cause = "alone"  // the other tasks of the gang did not start in time
)

// RunEnd reports that a run has ended.
type RunEnd struct {
	Number     EndNumber
	Key        task.Key
	Run        task.RunNumber
	Cause      Cause
	Checkpoint task.Checkpoint
}

// Report is the status report with which a worker answers a lease renewal.
type Report struct {
	Incarnation Incarnation
	Clock       Clock
	// HasRunning is set if Running holds the running tasks. Otherwise Running is empty whether or not tasks are running.
	HasRunning bool
	Running    []Run
	// Ended lists ended runs. An end may be reported again until the owner has acknowledged it.
	Ended []RunEnd
}

// StartOrder orders a worker to start a run of a task.
type StartOrder struct {
	Key     task.Key
	Run     task.RunNumber
	Payload string
	// Deadline is the end of the lease that the order grants. A worker refuses an order that arrives later.
	Deadline     Clock
	FencingToken FencingToken
	Checkpoint   task.Checkpoint
	// Ticket was issued by the advice service; it is empty for queues that need no advice.
	Ticket string
}

// Refusal is the reason why a worker refused an order. A refused order had no effect.
type Refusal string

// Reasons for refusals.
const (
	RefusedStaleToken       Refusal = "fence"  // the worker has seen a higher fencing token
	RefusedStaleRun         Refusal = "old"    // the same or a later run of the task was stopped or ended on the worker
	RefusedDeadlinePassed   Refusal = "late"   // the deadline of the order has passed
	RefusedNoCapacity       Refusal = "room"   // not enough free capacity
	RefusedInvalidTicket    Refusal = "ticket" // the ticket is missing or invalid
	RefusedWrongIncarnation Refusal = "reborn" // the worker is not the one that the order was meant for
	RefusedUnhealthy        Refusal = "unhealthy"
	RefusedInvalid          Refusal = "invalid"
	RefusedUnreachable      Refusal = "unreachable" // no connection could be opened, so that nothing was sent
)
