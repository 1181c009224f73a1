package job

import (
	"time"

	"hibiscuslane.example/hibiscuslane/fleet"
	"hibiscuslane.example/hibiscuslane/instance"
	"hibiscuslane.example/hibiscuslane/pool"
	"hibiscuslane.example/hibiscuslane/team"
	"hibiscuslane.example/hibiscuslane/upstream"
)

// Input is what Plan decides from, for one pool.
type Input struct {
	Now  time.Time
	Pool pool.Name
	// Queued holds the queued jobs of the pool in the order of their submits.
	Queued []Job
	// Workers holds the workers of the pool in all phases, in the order of their ids.
	Workers []Worker
	Teams   map[team.Name]team.Spec
	// Used is the size of all attempts of each team in all pools.
	Used map[team.Name]Size
	// Usage holds what jobs of the classes of queued jobs were seen to use.
	Usage map[Class]Usage
	// Evicted holds the evictions that were tried and have not ended their attempt.
	Evicted map[Attempt]Eviction
}

// Worker is a worker with its attempts.
type Worker struct {
	fleet.Instance
	// Held holds the jobs whose attempt on this worker has not ended.
	Held []Job
	// Reported is the last report of its tasks that this entry has seen. It lags.
	Reported map[ID]upstream.TaskStatus
	// Proven says that it has completed a job in its incarnation.
	Proven bool
	// Suspect is set if it seems to fail everything it starts.
	Suspect *Quarantine
	// Quarantine is set while it is in quarantine.
	Quarantine *Quarantined
}

func (w Worker) capacity() Size {
	return Size{Cores: w.Cores, Memory: w.Memory, Accelerators: w.Accelerators}
}

// usable reports whether new attempts may be placed on the worker.
func (w Worker) usable() bool {
	return w.Phase == instance.PhaseActive && !w.isolated()
}

func (w Worker) isolated() bool {
	return w.Quarantine != nil && w.Quarantine.Incarnation >= w.Incarnation
}

// Verb is a way to make a running job give way.
type Verb string

// Verbs in the order of preference.
const (
	VerbCheckpoint Verb = "checkpoint" // ends the attempt, and the next one resumes from there
	VerbThrottle   Verb = "throttle"   // gives half of the cores back
	VerbStop       Verb = "stop"       // ends the attempt, and its progress is lost
)

// Eviction is an eviction that was tried.
type Eviction struct {
	Verb Verb
	// Refused says that the worker did not accept it.
	Refused bool
}

// Proposal is a Record or an Evict.
type Proposal interface {
	// Decision names what is decided, for ranking and for delays.
	Decision() string
	proposal()
}

// Record is a record to append.
type Record struct {
	Body Body
}

// Evict makes a running job give way to an urgent one.
type Evict struct {
	Attempt
	Verb   Verb
	Worker instance.ID
	// Urgent is the job that needs the resources.
	Urgent ID
}

func (Record) proposal() {}
func (Evict) proposal()  {}

// Decision implements Proposal.
func (r Record) Decision() string {
	switch b := r.Body.(type) {
	case *Place:
		return "place/" + string(b.ID)
	case *Quarantine:
		return "quarantine/" + string(b.Worker)
	case *Restore:
		return "restore/" + string(b.Worker)
	}
	return string(r.Body.Kind())
}

// Decision implements Proposal.
func (e Evict) Decision() string { return "evict/" + string(e.ID) }
