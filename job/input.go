package job

import (
	"time"

	"hibiscuslane.example/hibiscuslane/fleet"
	"hibiscuslane.example/hibiscuslane/instance"
	"hibiscuslane.example/hibiscuslane/pool"
	"hibiscuslane.example/hibiscuslane/team"
	"hibiscuslane.example/hibiscuslane/upstream"
)

// PlanInput holds everything that Plan needs to know about one pool.
type PlanInput struct {
	Now  time.Time
	Pool pool.Name
	// QueuedJobs holds the queued jobs of the pool in the order of submission.
	QueuedJobs []Job
	// Workers holds the workers of the pool in all phases, ordered by id.
	Workers []Worker
	Teams   map[team.Name]team.Spec
	// ReservedByTeam holds the resources that the active attempts of each team reserve in all pools.
	ReservedByTeam map[team.Name]Size
	// UsageByKey holds the result of State.Usage for the queued jobs.
	UsageByKey map[UsageKey]Usage
	// Evictions holds the results of evictions whose attempt has not ended yet. An accepted checkpoint or stop
	// is left out after evictionTimeout, so that it is requested again.
	Evictions map[AttemptID]EvictionResult
}

// Worker is a worker of the pool with its attempts.
type Worker struct {
	fleet.Instance
	// ActiveJobs holds the jobs whose attempt on this worker has not ended.
	ActiveJobs []Job
	// TaskReports holds the latest report that this entry has received about each active job, with the
	// highest usage reported so far. Reports lag behind the worker.
	TaskReports map[ID]upstream.TaskStatus
	// HasCompletedJob is set if the worker has completed a job in its current incarnation.
	HasCompletedJob bool
	// ProposedQuarantine is set if the worker is suspected of failing every job.
	ProposedQuarantine *Quarantine
	// Quarantine is set until a restore record ends the quarantine, even if the worker has joined under a
	// higher incarnation since.
	Quarantine *QuarantinedWorker
}

func (w Worker) capacity() Size {
	return Size{Cores: w.Cores, Memory: w.Memory, Accelerators: w.Accelerators}
}

// isUsable reports whether new attempts may be placed on the worker.
func (w Worker) isUsable() bool {
	return w.Phase == instance.PhaseActive && !w.isQuarantined()
}

func (w Worker) isQuarantined() bool {
	return w.Quarantine != nil && w.Quarantine.Incarnation >= w.Incarnation
}

// EvictionMethod is a way to free resources of a running job.
type EvictionMethod string

// Eviction methods, in the order of preference.
const (
	EvictByCheckpoint EvictionMethod = "checkpoint" // ends the attempt, and the next one resumes from there
	EvictByThrottle   EvictionMethod = "throttle"   // gives half of the cores back
	EvictByStop       EvictionMethod = "stop"       // ends the attempt, and its progress is lost
)

// EvictionResult is the result of an eviction that was requested from a worker.
type EvictionResult struct {
	Method EvictionMethod
	// Refused is set if the worker refused the eviction.
	Refused bool
}

// Proposal is a RecordProposal or an EvictionProposal.
type Proposal interface {
	// DecisionKey identifies the same decision in successive plans, so that an entry without the lowest
	// rank can delay it.
	DecisionKey() string
	isProposal()
}

// RecordProposal proposes a record to append.
type RecordProposal struct {
	Body Body
}

// EvictionProposal proposes to evict a running job in favour of an urgent one.
type EvictionProposal struct {
	AttemptID
	Method EvictionMethod
	Worker instance.ID
	// UrgentJob is the job that needs the resources.
	UrgentJob ID
}

func (RecordProposal) isProposal()   {}
func (EvictionProposal) isProposal() {}

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
