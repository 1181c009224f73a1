// Package dispatch is the work of the owner: it accepts jobs, starts their tasks on workers, follows
// their ends, and keeps what must last in the ledger. One process is the owner at a time; its epoch
// fences the ledger and every worker against earlier ones.
package dispatch

import (
	"context"
	"net/http"
	"sync"
	"time"

	"hibiscuslane.example/hibiscuslane/election"
	"hibiscuslane.example/hibiscuslane/event"
	"hibiscuslane.example/hibiscuslane/ledger"
	"hibiscuslane.example/hibiscuslane/platform"
	"hibiscuslane.example/hibiscuslane/pool"
	"hibiscuslane.example/hibiscuslane/queue"
	"hibiscuslane.example/hibiscuslane/task"
	"hibiscuslane.example/hibiscuslane/timer"
	"hibiscuslane.example/hibiscuslane/worker"
)

const (
	// cycleGap is the least time between two cycles of placing and storing. It bounds the appends of the
	// owner to 50 a second; the platform allows 800 for all.
	cycleGap = 20 * time.Millisecond
	// tickPeriod is the time between checks of leases, due times and orders without an answer.
	tickPeriod = 50 * time.Millisecond
	// openDelay is the pause before a failed start of a tenure is repeated.
	openDelay = 100 * time.Millisecond
	// expiry is how long a lease lasts on a worker whose clock is slow.
	expiry = leaseTime + leaseTime/20
	// runsPerEpoch separates the run numbers of tenures.
	runsPerEpoch = 1000
)

// Bounds are the periods of the platform's contract that the owner keeps to.
type Timing struct {
	// MaxLease is the longest lease that a worker grants.
	MaxLease time.Duration
	// Status is how long the state of a job is told after its end.
	StatusRetention time.Duration
	// Turn is the time for which no two processes may give orders for one machine.
	HolderChangeInterval time.Duration
	// Move and Maintenance are the times that a machine is away.
	MoveDuration, MaintenanceDuration time.Duration
}

// Dispatcher is the owner of one tenure.
type Dispatcher struct {
	store   *platform.Store
	fleet   *platform.Fleet
	advisor *platform.Advisor
	clients Clients
	bounds  Timing
	clock   *timer.Service
	log     event.Log
	epoch   platform.Epoch
	// part is the partition that held the ledger when the tenure began.
	part   int
	holder Ownership
	// cores is the processor of this process.
	cores float64
	// began is when the tenure began.
	began time.Time
	// foreign is how long runs of the earlier owner are kept on workers that this one cannot reach: the
	// earlier owner may have renewed their leases until its tenure ended.
	foreign time.Duration
	// opened is when the ledger was opened, which fences earlier owners.
	opened time.Time
	ctx    context.Context
	kick   chan struct{}
	// questions wait for the advice service.
	questions chan question

	mu       sync.Mutex
	ledger   *ledger.Ledger // nil until the stored jobs are loaded
	config   *queue.Config
	jobs     map[task.JobID]*job
	open     []*job // jobs that have not ended, in the order of acceptance
	stations map[worker.ID]*station
	listed   map[worker.ID]worker.Registration
	runs     map[runID]*run
	dirty    []*job
	upkeep   upkeep
	flows    map[queue.Name]*flow
	advices  map[string]*advice
	counters Counters
	// busy is the number of workers on which something runs.
	busy int
	// closing is set once no new work is taken.
	closing bool
}

// Clients are the HTTP clients for calls to workers.
type Clients struct {
	// Waiting is for calls whose answers may wait, Orders for all others.
	LongPoll, Orders *http.Client
}

// Counters count what the owner knows now and what it did in its tenure.
type Counters struct {
	OpenJobs, ActiveRuns, KnownWorkers, ReachableWorkers                                                                                int64
	AcceptedJobs, StartedRuns, SucceededRuns, FailedRuns, LostRuns, UnconfirmedStarts, RefusedStarts, MachineMoves, MachineMaintenances int64
}

// Counters returns the counters of the tenure.
func (d *Dispatcher) Counters() Counters {
	d.mu.Lock()
	defer d.mu.Unlock()
	c := d.counters
	c.OpenJobs, c.ActiveRuns, c.KnownWorkers = int64(len(d.open)), int64(len(d.runs)), int64(len(d.stations))
	for _, s := range d.stations {
		if s.fenced && s.silent.IsZero() {
			c.ReachableWorkers++
		}
	}
	return c
}

// job is a job with what only this tenure knows.
type job struct {
	*task.Job
	queue queue.Queue
	// stored is set once the ledger has the job.
	stored bool
	// intake is set once the job's intake was given to the ledger.
	intake bool
	dirty  bool
	// writing is the number of writes of the job that the ledger has not confirmed.
	writing int
	// withdrawn is set once the job was refused after all.
	withdrawn bool
	// after is called with the outcome of the next write of the job.
	after []func(error)
	// running is the number of runs that may be running.
	running int
}

// durable reports whether the ledger has all that happened to the job. Callers are told of an outcome only
// then, since a later owner knows of nothing else.
func (j *job) durable() bool { return j.stored && !j.dirty && j.writing == 0 }

// runID names a run.
type runID struct {
	key task.Key
	run task.RunNumber
}

// Holder is the ownership that a tenure stands on.
type Ownership interface {
	PublishPartition(ctx context.Context, epoch platform.Epoch, part int) error
	RecordConfirmation(sent time.Time)
}

// Options are the parts that a Dispatcher uses.
type Options struct {
	Store     *platform.Store
	Fleet     *platform.Fleet
	Advisor   *platform.Advisor
	Clients   Clients
	Timing    Timing
	Clock     *timer.Service
	Log       event.Log
	Config    *queue.Config
	Ownership Ownership
	// Cores is the processor that the process may use; zero means a whole core.
	Cores float64
}

// New returns the owner of a tenure that was gained.
func New(ctx context.Context, gained election.Gained, o Options) *Dispatcher {
	foreign := expiry
	if gained.Departure == election.DepartureUnknown {
		foreign += election.ConfirmTimeout
	}
	if o.Cores <= 0 {
		o.Cores = 1
	}
	return &Dispatcher{
		cores: o.Cores,
		store: o.Store, fleet: o.Fleet, advisor: o.Advisor, clients: o.Clients, bounds: o.Timing, clock: o.Clock, log: o.Log, epoch: gained.Epoch, part: gained.Partition, holder: o.Ownership, foreign: foreign,
		began: o.Clock.Now(), ctx: ctx, kick: make(chan struct{}, 1), config: o.Config,
		jobs: map[task.JobID]*job{}, stations: map[worker.ID]*station{}, listed: map[worker.ID]worker.Registration{},
		runs: map[runID]*run{}, flows: map[queue.Name]*flow{}, advices: map[string]*advice{}, questions: make(chan question, maxQuestions), upkeep: upkeep{unfit: map[worker.MachineID]pool.Name{}},
	}
}

// Run works until the context ends or a later owner has fenced the ledger. It returns the reason.
func (d *Dispatcher) Run() error {
	written, err := d.load()
	if err != nil {
		return err
	}
	go d.follow()
	go d.maintain()
	go d.consult()
	go d.cycles()
	return written.Run(d.ctx)
}

// load opens the ledger and restores the stored jobs.
func (d *Dispatcher) load() (*ledger.Ledger, error) {
	for {
		opened, records, err := ledger.Open(d.ctx, d.store, ledger.TopicJobs, d.part, d.epoch, d.clock, d.log)
		if err == nil {
			opened.AllowMoves(d)
			d.restore(opened, records)
			return opened, nil
		}
		if platform.IsFenced(err) || d.ctx.Err() != nil {
			return nil, err
		}
		d.log.Warn(eventOpen, "epoch", d.epoch, "error", err)
		if err := d.clock.Sleep(d.ctx, openDelay); err != nil {
			return nil, err
		}
	}
}

// SetBounds puts other bounds in force.
func (d *Dispatcher) SetTiming(bounds Timing) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.bounds = bounds
}

// SetConfig puts a configuration in force.
func (d *Dispatcher) SetConfig(config *queue.Config) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.config = config
	for _, j := range d.open {
		d.route(j)
	}
	d.wake()
}

// route takes what a job's queue says from the configuration. A queue that was removed, or is not known yet,
// keeps what it said last.
func (d *Dispatcher) route(j *job) {
	q, ok := d.config.Queue(queue.Name(j.Queue))
	if !ok {
		return
	}
	j.queue = q
	j.Pool = q.Pool
}

// Loaded reports whether the stored jobs are loaded.
func (d *Dispatcher) IsLoaded() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.ledger != nil
}

// Drain refuses new work and waits until all writes have an outcome, or ctx ends.
func (d *Dispatcher) Drain(ctx context.Context) {
	d.mu.Lock()
	written := d.ledger
	if written != nil {
		d.closing = true
		d.flush()
	}
	d.mu.Unlock()
	if written != nil {
		written.Flush(ctx)
	}
}

// settleTenure is the age from which a tenure may be handed over without need.
const settleTenure = 2 * time.Second

// Settled reports whether the tenure may be handed over without need.
func (d *Dispatcher) CanHandOver() bool {
	return d.IsLoaded() && d.clock.Since(d.began) > settleTenure
}

// wake asks for a cycle.
func (d *Dispatcher) wake() {
	select {
	case d.kick <- struct{}{}:
	default:
	}
}

// cycles places and stores whenever something has changed.
func (d *Dispatcher) cycles() {
	tick := d.clock.Every(tickPeriod)
	defer tick.Stop()
	for {
		select {
		case <-d.ctx.Done():
			return
		case <-tick.C():
		case <-d.kick:
		}
		d.mu.Lock()
		d.check()
		d.place()
		d.flush()
		d.mu.Unlock()
		if d.clock.Sleep(d.ctx, cycleGap) != nil {
			return
		}
	}
}
