package job

import (
	"time"

	"hibiscuslane.example/hibiscuslane/fleet"
	"hibiscuslane.example/hibiscuslane/instance"
	"hibiscuslane.example/hibiscuslane/pool"
	"hibiscuslane.example/hibiscuslane/team"
	"hibiscuslane.example/hibiscuslane/upstream"
)

// PlanInput is what Plan decides from, for one pool.
type PlanInput struct {
	Now  time.Time
	Pool pool.Name
	// Queued holds the queued jobs of the pool in the order of their submits.
	QueuedJobs []Job
	// Workers holds the workers of the pool in all phases, in the order of their ids.
	Workers []Worker
	Teams   map[team.Name]team.Spec
	// Used is the size of all attempts of each team in all pools.
	ReservedByTeam map[team.Name]Size
	// Usage holds what jobs of the classes of queued jobs were seen to use.
	UsageByClass map[Class]Usage
	// Evicted holds the evictions that were tried and have not ended their attempt.
	Evictions map[AttemptID]EvictionResult
}

// Worker is a worker with its attempts.
type Worker struct {
	fleet.Instance
	// Held holds the jobs whose attempt on this worker has not ended.
	ActiveJobs []Job
	// Reported is the last report of its tasks that this entry has seen. It lags.
	TaskReports map[ID]upstream.TaskStatus
	// Proven says that it has completed a job in its incarnation.
	HasCompletedJob bool
	// Suspect is set if it seems to fail everything it starts.
	ProposedQuarantine *Quarantine
	// Quarantine is set while it is in quarantine.
	Quarantine *QuarantinedWorker
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

// EvictionMethod is a way to make a running job give way.
type EvictionMethod string

// Verbs in the order of preference.
const (
	EvictByCheckpoint EvictionMethod = "checkpoint" // ends the attempt, and the next one resumes from there
	EvictByThrottle   EvictionMethod = "throttle"   // gives half of the cores back
	EvictByStop       EvictionMethod = "stop"       // ends the attempt, and its progress is lost
)

// EvictionResult is an eviction that was tried.
type EvictionResult struct {
	Method EvictionMethod
	// Refused says that the worker did not accept it.
	Refused bool
}

// Proposal is a Record or an Evict.
type Proposal interface {
	// Decision names what is decided, for ranking and for delays.
	DecisionKey() string
	proposal()
}

// RecordProposal is a record to append.
type RecordProposal struct {
	Body Body
}

// EvictionProposal makes a running job give way to an urgent one.
type EvictionProposal struct {
	AttemptID
	Method EvictionMethod
	Worker instance.ID
	// Urgent is the job that needs the resources.
	UrgentJob ID
}

func (RecordProposal) proposal()   {}
func (EvictionProposal) proposal() {}

// DecisionKey implements Proposal.
func (r RecordProposal) DecisionKey() string {
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

// DecisionKey implements Proposal.
func (e EvictionProposal) DecisionKey() string { return "evict/" + string(e.ID) }
