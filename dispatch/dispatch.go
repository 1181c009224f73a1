// Package dispatch does the work of the owner in "hibiscuslane run": it accepts jobs, starts their tasks
// on workers, processes the results, orders the moves and the maintenance of machines, and writes all
// state that a later owner needs to the ledger. Only one process is the owner at a time. Its epoch is the
// fencing token with which the ledger and every worker reject earlier owners. Dispatcher does the work of
// one term. In "hibiscuslane serve", all entries share the corresponding work of packages job and planner.
package dispatch

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"hibiscuslane.example/hibiscuslane/balance"
	"hibiscuslane.example/hibiscuslane/carrier"
	"hibiscuslane.example/hibiscuslane/election"
	"hibiscuslane.example/hibiscuslane/event"
	"hibiscuslane.example/hibiscuslane/ledger"
	"hibiscuslane.example/hibiscuslane/platform"
	"hibiscuslane.example/hibiscuslane/pool"
	"hibiscuslane.example/hibiscuslane/queue"
	"hibiscuslane.example/hibiscuslane/schedule"
	"hibiscuslane.example/hibiscuslane/settings"
	"hibiscuslane.example/hibiscuslane/task"
	"hibiscuslane.example/hibiscuslane/team"
	"hibiscuslane.example/hibiscuslane/timer"
	"hibiscuslane.example/hibiscuslane/worker"
)

const (
	// minCycleInterval is the minimum time between two cycles, each of which places tasks and writes
	// changed jobs. It limits the owner to 50 appends per second; the platform allows 800 for all processes
	// together.
	minCycleInterval = 20 * time.Millisecond
	// cycleRestFactor is how many times as long as the work of a cycle the pause after it is at least, so that cycles leave
	// the processor to lease renewals however many jobs wait.
	cycleRestFactor = 3
	// checkInterval is the maximum time between two cycles, and the minimum time between checks for expired leases.
	// slowCheckInterval is that between checks of all runs and jobs: for stops that were not confirmed and jobs whose
	// retention has ended.
	checkInterval     = 50 * time.Millisecond
	slowCheckInterval = 250 * time.Millisecond
	// lateCycleThreshold is how late a cycle must begin to be logged, and lateCycleLogInterval is the minimum time
	// between two such log lines.
	lateCycleThreshold   = 50 * time.Millisecond
	lateCycleLogInterval = 500 * time.Millisecond
	// openRetryDelay is the pause before the ledger is opened again after a failure. It is also the time after
	// which a caller may try again whose request was refused because the owner is starting or stopping or does
	// not know the queue yet.
	openRetryDelay = 100 * time.Millisecond
	// maxLeaseLifetime is how long a lease can last on a worker with a slow clock.
	maxLeaseLifetime = leaseDuration + leaseDuration/20
	// runNumbersPerEpoch is the size of the range of run numbers that each term has to itself.
	runNumbersPerEpoch = 1000
)

// Timing holds the durations from the deployment settings that the owner relies on or must observe. The
// workers guarantee MaxLease, and the platform gives MoveDuration and MaintenanceDuration. The owner itself
// guarantees StatusRetention to clients and HolderChangeInterval to the platform.
type Timing struct {
	// MaxLease is the longest lease that a worker accepts. The worker shortens a longer one to this duration
	// (see hasLeaseExpired).
	MaxLease time.Duration
	// StatusRetention is how long the state of a job can be queried after the job has ended.
	StatusRetention time.Duration
	// HolderChangeInterval is the minimum time between orders of two different processes for the same
	// machine.
	HolderChangeInterval time.Duration
	// MoveDuration and MaintenanceDuration are how long a machine is unavailable during a move and during
	// maintenance.
	MoveDuration, MaintenanceDuration time.Duration
}

// Dispatcher carries out the work of the owner during one term.
type Dispatcher struct {
	store        *platform.Store
	fleet        *platform.Fleet
	advisor      *platform.Advisor
	workerClient *platform.DirectClient
	timing       Timing
	clock        *timer.Service
	log          event.Log
	epoch        platform.Epoch
	// partition is the partition that held the ledger when the term began.
	partition int
	ownership Ownership
	// cores is the number of processor cores that this process may use.
	cores float64
	// members returns the other entries, and maxDirectWorkers is the number of workers up to which this process calls them
	// itself.
	members          func() []carrier.Member
	maxDirectWorkers float64
	// maxRecordBytes is the size of the largest record that the store accepts.
	maxRecordBytes int
	// yieldsLate is Options.YieldLate.
	yieldsLate bool
	// isOrdered is Options.Ordered.
	isOrdered bool
	// handedOver is set if the previous owner resigned in favour of this process.
	handedOver bool
	// ownerFellSilent is set if the previous owner did not answer and may still be running.
	ownerFellSilent bool
	// termStart is when the term began.
	termStart time.Time
	// inheritedRunTimeout is how long after termStart runs of the earlier owner are kept on workers that this
	// owner cannot reach. The earlier owner may have renewed their leases until its own term ended.
	inheritedRunTimeout time.Duration
	// ledgerOpenedAt is when the ledger was opened. From then on it rejects writes of earlier owners.
	ledgerOpenedAt time.Time
	// ownerTimeAtOpen is the owner time when the ledger was opened.
	ownerTimeAtOpen task.OwnerTime
	ctx             context.Context
	cycleRequests   chan struct{}
	// restored is closed once the stored jobs are loaded. A worker must not be called before: its runs would be taken for
	// unknown ones and stopped.
	restored chan struct{}
	// carriersAwaited is closed once there are carriers, or enough time has passed (see awaitCarriers).
	carriersAwaited chan struct{}
	// responseDelay is the moving average of the delay of reports that were requested at once, in nanoseconds.
	responseDelay atomic.Int64
	// adviceRequests are the queued requests to the advice service.
	adviceRequests chan adviceRequest

	// mu guards the fields below, timing, ledgerOpenedAt and ownerTimeAtOpen, and the jobs, runs and advice that the fields
	// refer to.
	mu       sync.Mutex
	ledger   *ledger.Ledger // nil until the stored jobs are loaded
	config   *queue.Config
	jobs     map[task.JobID]*job
	openJobs []*job // jobs that have not ended, ordered by time of acceptance
	workers  map[worker.ID]*workerState
	// workersByMachine holds the same workers by the machine that their registration names.
	workersByMachine map[worker.MachineID][]*workerState
	registrations    map[worker.ID]worker.Registration
	// namedPools are the pools that a configuration or a stored job has named in this term. unnamedPoolRecords are the
	// entries of other pools, which may be named later.
	namedPools         map[pool.Name]bool
	unnamedPoolRecords map[worker.ID]platform.Record
	// registrationsLoadedAt is when all registrations were last read; zero until they are. registrationsUnreadAt is when a
	// read of them last failed.
	registrationsLoadedAt, registrationsUnreadAt time.Time
	runs                                         map[runID]*run
	// lateStarts holds the starts that may still take effect on a worker.
	lateStarts map[worker.ID]map[runID]*lateStart
	// lostRuns holds the runs that were lost with the lease of their worker, by machine.
	lostRuns  map[worker.MachineID]lostRuns
	dirtyJobs []*job // jobs to write
	// changesPending is set while changes of stored jobs are being written.
	changesPending bool
	maintenance    maintenance
	arrivals       map[queue.Name]*balance.Arrivals
	// longWaitsLoggedAt is when logLongWaits last checked.
	longWaitsLoggedAt time.Time
	// shortPoolLoggedAt is when each pool was last logged as lacking capacity.
	shortPoolLoggedAt map[pool.Name]time.Time
	// leavingMachines are those that other pools needed when moves were last planned, at leavingSetAt.
	leavingMachines map[worker.MachineID]bool
	leavingSetAt    time.Time
	// poolsLackRoom holds the pools in which the last plan left tasks waiting for room whose jobs can be in time.
	poolsLackRoom map[pool.Name]bool
	adviceByStep  map[task.Key]*advice
	interference  interferenceState
	carriers      carriers
	counters      Counters
	// timeoutsCheckedAt and slowCheckAt are when checkTimeouts last made its checks and the slow ones among them.
	timeoutsCheckedAt, slowCheckAt time.Time
	leaseMargins                   leaseMargins
	startDelays                    startDelays
	// unsettledWorkers is the number of registered workers that have neither answered nor failed to, and hasWaitingTasks is
	// set if tasks waited, both as of the last check.
	unsettledWorkers int
	hasWaitingTasks  bool
	admissions       admissions
	// hasCrashSuspects is set once a worker has crashed under a task.
	hasCrashSuspects bool
	// extendedLeases holds the workers whose lease may last longer than an owner has granted.
	extendedLeases map[worker.ID]extendedLease
	// inheritedRuns holds the runs of earlier owners by machine.
	inheritedRuns map[worker.MachineID][]*run
	// busyWorkers is the number of workers with at least one run that is not long-running, as of the last check.
	busyWorkers int
	// teams holds what the runs of each team take up, under the empty name those of jobs without a team.
	teams map[team.Name]*teamState
	// draining is set once no new jobs and tasks are taken.
	draining bool
}

// Counters holds the current number of jobs, runs and workers, and counts events since the term began.
type Counters struct {
	OpenJobs, ActiveRuns, KnownWorkers, ReachableWorkers int64
	// DirectCalls and CarriedCalls are the numbers of calls to workers that the owner and its carriers have sent.
	DirectCalls, CarriedCalls int64
	// LeaseMargin is the smallest rest of a lease at its renewal in the last seconds.
	LeaseMargin                                                                                                                         time.Duration
	AcceptedJobs, StartedRuns, SucceededRuns, FailedRuns, LostRuns, UnconfirmedStarts, RefusedStarts, MachineMoves, MachineMaintenances int64
	// RefusedJobs counts the refusals of new jobs for want of room, RefusedServable the refused jobs that could have met their
	// hard deadlines by what has happened since, and MissedDeadlines the accepted jobs that have ended after theirs.
	RefusedJobs, RefusedServable, MissedDeadlines int64
}

// Counters returns the counters of the current term.
func (d *Dispatcher) Counters() Counters {
	d.mu.Lock()
	defer d.mu.Unlock()
	c := d.counters
	c.LeaseMargin = d.leaseMargins.smallest()
	c.OpenJobs, c.ActiveRuns, c.KnownWorkers = int64(len(d.openJobs)), int64(len(d.runs)), int64(len(d.workers))
	for _, s := range d.workers {
		if s.tokenAcknowledged && s.unreachableSince.IsZero() {
			c.ReachableWorkers++
		}
	}
	return c
}

// StartDelays returns the mean time from the acceptance of a job to the start of its first task, by queue, for the jobs that
// started in the last seconds.
func (d *Dispatcher) StartDelays() map[queue.Name]time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.startDelays.means()
}

// job adds to a task.Job the state that only this term keeps.
type job struct {
	*task.Job
	queue queue.Queue // the settings that apply to the job (see applyQueueConfig)
	// stored is set once the ledger has confirmed the job.
	stored bool
	// submissionQueued is set once the submission of the job was passed to the ledger.
	submissionQueued bool
	// dirty is set while the job is in Dispatcher.dirtyJobs.
	dirty bool
	// pendingWrites is the number of writes of the job that the ledger has not confirmed.
	pendingWrites int
	// withdrawn is set when the job was dropped because the store did not take it; its caller is refused.
	withdrawn bool
	// partHashes are the hashes of the parts of the progress as they were last passed to the ledger, by number.
	partHashes map[int]uint64
	// writeCallbacks are called with the result of the next write of the job.
	writeCallbacks []func(error)
	// activeRuns is the number of the job's runs in Dispatcher.runs.
	activeRuns int
	// pending holds the steps with waiting tasks. They are valid while pendingKnown is set (see pendingStepsOf).
	pending      []*schedule.PendingStep
	pendingKnown bool
	// durations holds the durations of the tasks that have ended, while the owner learns interference.
	durations map[stepID]durationSum
}

// isDurable reports whether the ledger has confirmed every change of the job. Callers learn of an outcome
// only then, because a later owner knows only what the ledger holds.
func (j *job) isDurable() bool { return j.stored && !j.dirty && j.pendingWrites == 0 }

// runID identifies a run of a task.
type runID struct {
	key    task.Key
	number task.RunNumber
}

// Ownership is the owner's lease on which the term depends. The dispatcher uses it to record a new
// partition of the ledger, to report confirmed appends, and to check the lease before each order and before answers that only
// the last owner may give.
type Ownership interface {
	PublishPartition(ctx context.Context, epoch platform.Epoch, partition int) error
	RecordConfirmation(sent time.Time)
	// IsConfirmed reports whether the store has confirmed the term recently enough that no later owner counts on its end
	// yet. It turns false while the process is paused, before the term ends.
	IsConfirmed() bool
	// StoreSilence returns the time since the last call was sent by which the store has confirmed the term.
	StoreSilence() time.Duration
	// Confirm returns nil once the store has confirmed, by a call that is sent after this one, that there is no later owner.
	Confirm(ctx context.Context, epoch platform.Epoch) error
}

// mayOrder reports whether this owner may still start tasks, extend leases and give orders for machines.
func (d *Dispatcher) mayOrder() bool { return d.ownership == nil || d.ownership.IsConfirmed() }

// Options holds the dependencies and settings of a Dispatcher.
type Options struct {
	Store     *platform.Store
	Fleet     *platform.Fleet
	Advisor   *platform.Advisor
	Workers   *platform.DirectClient
	Timing    Timing
	Clock     *timer.Service
	Log       event.Log
	Config    *queue.Config
	Ownership Ownership
	// MaxRecordBytes is settings.Deployment.StoreRecordBytes.
	MaxRecordBytes int
	// MachineOrderRate is settings.Deployment.MachineOrderRate.
	MachineOrderRate float64
	// Cores is the number of processor cores that the process may use; zero means one.
	Cores float64
	// DirectWorkers is settings.Deployment.DirectWorkers.
	DirectWorkers float64
	// YieldLate is settings.Deployment.YieldLate.
	YieldLate bool
	// LearnInterference is settings.Deployment.LearnInterference.
	LearnInterference bool
	// Ordered makes the owner choose the first by id among workers and machines that are equal, at the cost of sorting them, so
	// that package simulation can repeat a run. Otherwise it chooses any of them.
	Ordered bool
	// Members returns the other entries, which may carry calls to workers; nil if there are none.
	Members func() []carrier.Member
}

// New returns a Dispatcher for a term that this process has won.
func New(ctx context.Context, gained election.Gained, o Options) *Dispatcher {
	inheritedRunTimeout := maxLeaseLifetime
	if gained.Departure == election.DepartureUnknown {
		inheritedRunTimeout += election.ConfirmTimeout
	}
	if o.Cores <= 0 {
		o.Cores = 1
	}
	if o.DirectWorkers <= 0 {
		o.DirectWorkers = settings.DefaultDirectWorkers
	}
	if o.MaxRecordBytes <= 0 {
		o.MaxRecordBytes = settings.DefaultStoreRecordBytes
	}
	if o.MachineOrderRate <= 0 {
		o.MachineOrderRate = settings.DefaultMachineOrderRate
	}
	if o.Members == nil {
		o.Members = func() []carrier.Member { return nil }
	}
	namedPools := map[pool.Name]bool{}
	for _, p := range o.Config.Pools() {
		namedPools[p.Name] = true
	}
	return &Dispatcher{
		interference:    interferenceState{isEnabled: o.LearnInterference},
		ownerFellSilent: gained.Departure == election.DepartureUnknown,
		maxRecordBytes:  o.MaxRecordBytes, yieldsLate: o.YieldLate, isOrdered: o.Ordered, cores: o.Cores, members: o.Members, maxDirectWorkers: o.DirectWorkers * o.Cores, namedPools: namedPools,
		store: o.Store, fleet: o.Fleet, advisor: o.Advisor, workerClient: o.Workers, timing: o.Timing, clock: o.Clock, log: o.Log, epoch: gained.Epoch, handedOver: gained.Departure == election.DepartureResigned, partition: gained.Partition, ownership: o.Ownership, inheritedRunTimeout: inheritedRunTimeout,
		termStart: o.Clock.Now(), ctx: ctx, cycleRequests: make(chan struct{}, 1), restored: make(chan struct{}), carriersAwaited: make(chan struct{}), config: o.Config,
		jobs: map[task.JobID]*job{}, workers: map[worker.ID]*workerState{}, registrations: map[worker.ID]worker.Registration{},
		runs: map[runID]*run{}, arrivals: map[queue.Name]*balance.Arrivals{}, adviceByStep: map[task.Key]*advice{}, adviceRequests: make(chan adviceRequest, maxAdviceRequests), maintenance: maintenance{refusedPools: map[worker.MachineID]pool.Name{}, pace: balance.NewOrderPace(o.MachineOrderRate, o.Cores)},
	}
}

// Run performs the owner's work until the context ends or the ledger rejects it because a later owner has
// opened the ledger. It returns the reason.
func (d *Dispatcher) Run() error {
	go d.pollRegistrations() // reads the registrations while the ledger is opened
	l, err := d.openLedger()
	if err != nil {
		return err
	}
	defer d.closeClients()
	go d.runMaintenance()
	go d.runAdviceRequests()
	go d.runCarriers()
	go d.runCycles()
	return l.Run(d.ctx)
}

// openLedger opens the ledger and restores the stored jobs, and retries until it succeeds or a later owner
// has opened the ledger.
func (d *Dispatcher) openLedger() (*ledger.Ledger, error) {
	for {
		l, records, err := ledger.Open(d.ctx, d.store, ledger.TopicJobs, d.partition, d.epoch, d.clock, d.log)
		if err == nil {
			l.AllowMoves(d)
			d.restore(l, records)
			return l, nil
		}
		if platform.IsFenced(err) || d.ctx.Err() != nil {
			return nil, err
		}
		d.log.Warn(eventLedgerOpenFailed, "epoch", d.epoch, "error", err)
		if err := d.clock.Sleep(d.ctx, openRetryDelay); err != nil {
			return nil, err
		}
	}
}

// SetTiming replaces the durations after the deployment settings have changed.
func (d *Dispatcher) SetTiming(timing Timing) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.timing = timing
}

// SetConfig replaces the queue configuration and applies it to all open jobs.
func (d *Dispatcher) SetConfig(config *queue.Config) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.config = config
	d.namePools(config)
	for _, j := range d.openJobs {
		d.applyQueueConfig(j)
	}
	d.requestCycle()
}

// applyQueueConfig copies the settings of a job's queue to the job. If the queue was removed or is not
// known yet, the job keeps the settings that it has.
func (d *Dispatcher) applyQueueConfig(j *job) {
	q, ok := d.config.Queue(queue.Name(j.Queue))
	if !ok {
		return
	}
	j.queue = q
	j.Pool = q.Pool
	j.forgetPendingSteps()
}

// IsLoaded reports whether the stored jobs are loaded.
func (d *Dispatcher) IsLoaded() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.ledger != nil
}

// Drain stops accepting jobs and starting tasks, and waits until all writes have a result or ctx ends.
func (d *Dispatcher) Drain(ctx context.Context) {
	d.mu.Lock()
	l := d.ledger
	if l != nil {
		d.draining = true
		d.writeDirtyJobs()
	}
	d.mu.Unlock()
	if l != nil {
		l.Flush(ctx)
	}
}

// Tenure returns what the dispatcher knows about the term; the other fields are zero.
func (d *Dispatcher) Tenure() election.Tenure {
	d.mu.Lock()
	defer d.mu.Unlock()
	return election.Tenure{
		Age: d.clock.Since(d.termStart), HandedOver: d.handedOver, IsLoaded: d.ledger != nil,
		HasSettled: !d.registrationsLoadedAt.IsZero() && d.unsettledWorkers == 0, HasWaitingTasks: d.hasWaitingTasks,
	}
}

// requestCycle triggers a cycle unless one is already requested.
func (d *Dispatcher) requestCycle() {
	select {
	case d.cycleRequests <- struct{}{}:
	default:
	}
}

// runCycles checks timeouts, places tasks and writes changed jobs, on request and every checkInterval, but rests between
// two cycles.
func (d *Dispatcher) runCycles() {
	ticker := d.clock.Every(checkInterval)
	defer ticker.Stop()
	var loggedAt time.Time
	for {
		select {
		case <-d.ctx.Done():
			return
		case <-ticker.C():
		case <-d.cycleRequests:
		}
		began := d.clock.Now()
		d.mu.Lock()
		locked := d.clock.Now()
		d.checkTimeouts()
		d.placeTasks()
		d.writeDirtyJobs()
		openJobs, runs := len(d.openJobs), len(d.runs)
		d.mu.Unlock()
		ended := d.clock.Now()
		pause := max(minCycleInterval, cycleRestFactor*ended.Sub(locked))
		if d.clock.Sleep(d.ctx, pause) != nil {
			return
		}
		now := d.clock.Now()
		if late := now.Sub(began) - pause; late > lateCycleThreshold && now.Sub(loggedAt) > lateCycleLogInterval {
			loggedAt = now
			d.log.Info(eventCycleLate, "late", late, "lock", locked.Sub(began), "work", ended.Sub(locked), "timer", now.Sub(ended)-pause, "open", openJobs, "runs", runs)
		}
	}
}
