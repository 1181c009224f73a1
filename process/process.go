// Package process assembles and runs one entry on the users' platform for the command "hibiscuslane run":
// it serves callers and peers, runs the dispatcher while this process is the owner, and shuts down
// gracefully. Package entry assembles the entry of "hibiscuslane serve". Start with Process.
package process

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"hibiscuslane.example/hibiscuslane/dispatch"
	"hibiscuslane.example/hibiscuslane/election"
	"hibiscuslane.example/hibiscuslane/event"
	"hibiscuslane.example/hibiscuslane/ingress"
	"hibiscuslane.example/hibiscuslane/instance"
	"hibiscuslane.example/hibiscuslane/intake"
	"hibiscuslane.example/hibiscuslane/operator"
	"hibiscuslane.example/hibiscuslane/platform"
	"hibiscuslane.example/hibiscuslane/settings"
	"hibiscuslane.example/hibiscuslane/speed"
	"hibiscuslane.example/hibiscuslane/timer"
)

const (
	// drainTimeout bounds how long a stopping owner waits for pending writes.
	drainTimeout = 600 * time.Millisecond
	// acceptTime is how long a stopping entry still accepts new connections. The balancer checks readiness
	// once a second and removes an entry after two failures.
	acceptTime = 2500 * time.Millisecond
	// shutdownReserve is the part of the grace period that is kept for the exit of the process.
	shutdownReserve = 700 * time.Millisecond
	// peerReadTimeout bounds the receipt of a request of a peer, and peerIdleTimeout the idle connections of peers.
	peerReadTimeout = 3 * time.Second
	peerIdleTimeout = 60 * time.Second
	// peerIdleConns and platformIdleConns limit the idle connections to one peer and to one service of the platform.
	peerIdleConns     = 4
	platformIdleConns = 4
)

// Process is one entry.
type Process struct {
	clock    *timer.Service
	log      event.Log
	store    *platform.Store
	fleet    *platform.Fleet
	advisor  *platform.Advisor
	workers  *platform.DirectClient
	peerHTTP *http.Client
	elector  *election.Elector
	follower *operator.Follower
	handler  *ingress.Handler
	speed    speed.Meter
	intake   listeners

	stopping atomic.Bool
	mu       sync.Mutex
	// settings holds the settings in force, and lastRead those that were read last, which may differ in more than
	// timings and cores.
	settings, lastRead settings.Deployment
	activeDispatcher   *dispatch.Dispatcher // nil while this process is not the owner
	cancelTerm         context.CancelFunc   // ends the term of activeDispatcher
	// ownerRespondedAt is when the owner last answered a heartbeat; zero if it never has.
	ownerRespondedAt time.Time
	// storeReachedAt is when this process last reached the store after the owner had asked it to try.
	storeReachedAt time.Time
	// voters are the other members that the owner named in its last response. If the owner stops responding,
	// they vote on whether it may be replaced.
	voters []string
	// largestCores are the cores of the largest member that the owner knows.
	largestCores election.Cores
	// members are the members that sent a heartbeat while this process was the owner. recordHeartbeat removes
	// those that have stopped sending.
	members map[election.Member]memberState
}

// New returns an entry with the given settings. Run starts it.
func New(s settings.Deployment, clock *timer.Service, log event.Log) *Process {
	log = log.With("entry", s.ID)
	client, direct := platform.NewHTTPClient(platformIdleConns), platform.NewDirectClient()
	p := &Process{
		settings: s, lastRead: s, clock: clock, log: log,
		store:    &platform.Store{Address: s.StoreAddress, HTTP: client, Direct: direct},
		fleet:    &platform.Fleet{Address: s.FleetAddress, HTTP: client, LeaseHolder: string(s.ID)},
		advisor:  &platform.Advisor{Address: s.AdvisorAddress, HTTP: client},
		workers:  direct,
		peerHTTP: platform.NewHTTPClient(peerIdleConns),
		members:  map[election.Member]memberState{}, largestCores: defaultLargestCores,
	}
	p.follower = &operator.Follower{Store: p.store, Clock: clock, Log: log, OnChange: p.applyOperatorChange}
	p.elector = &election.Elector{Store: p.store, Member: election.NewMember(s.PeerAddress, clock.Now()), Clock: clock, Log: log, OnChange: p.onOwnershipChange}
	p.elector.SetCandidacyDelay(candidacyDelayOf(election.Cores(s.Cores), defaultLargestCores))
	p.handler = &ingress.Handler{Config: p.follower.Config, Forwarder: p, Clock: clock, Log: log}
	p.intake = p.newListeners()
	return p
}

// Run serves until ctx ends, and then shuts down gracefully.
func (p *Process) Run(ctx context.Context) error {
	s := p.currentSettings()
	p.log.Info(eventStarted, "member", p.elector.Member, "centre", s.Centre, "store", s.StoreAddress)
	workCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	metrics, err := p.newMetricSet()
	if err != nil {
		return err
	}
	callerServer := &http.Server{Handler: metrics.CountResponses(p.handler, p.clock), ReadHeaderTimeout: intake.MaxHeaderTimeout}
	readyServer := &http.Server{Handler: http.HandlerFunc(p.serveReady), ReadHeaderTimeout: intake.MaxHeaderTimeout}
	p.intake.callers.Protect(callerServer)
	p.intake.readiness.Protect(readyServer)
	failed := make(chan error, 1)
	for _, l := range []struct {
		server  server
		guard   *intake.Guard
		address instance.Address
	}{{p.newPeerServer(), p.intake.peers, s.PeerAddress}, {readyServer, p.intake.readiness, s.ReadinessAddress}, {callerServer, p.intake.callers, s.CallerAddress}} {
		if err := p.serve(ctx, l.server, l.guard, l.address, failed); err != nil {
			return err
		}
	}
	p.serveMetrics(ctx, metrics)
	go intake.Watch(workCtx, p.clock, p.intake.all()...)
	electionCtx, leaveElection := context.WithCancel(workCtx)
	var electionDone sync.WaitGroup
	electionDone.Go(func() { p.elector.Run(electionCtx) })
	go p.follower.Run(workCtx)
	go p.runHeartbeats(workCtx)
	select {
	case err := <-failed:
		leaveElection()
		return err
	case <-ctx.Done():
	}
	p.stop(callerServer, leaveElection, &electionDone)
	return nil
}

// server serves the connections of a listener until it fails.
type server interface {
	Serve(listener net.Listener) error
}

// serve listens on an address and serves requests in the background. If serving fails later, the error is sent to
// failed unless failed already holds one.
func (p *Process) serve(ctx context.Context, server server, guard *intake.Guard, address instance.Address, failed chan<- error) error {
	var config net.ListenConfig
	listener, err := config.Listen(ctx, "tcp", string(address))
	if err != nil {
		return &ListenError{Address: address, Cause: err}
	}
	go func() {
		if err := server.Serve(guard.Listen(listener)); err != nil && !isServerClosed(err) {
			select {
			case failed <- &ListenError{Address: address, Cause: err}:
			default:
			}
		}
	}()
	return nil
}

// stop first ends the term so that another entry takes over, and keeps serving callers until the balancer has
// removed this entry.
func (p *Process) stop(callerServer *http.Server, leaveElection context.CancelFunc, electionDone *sync.WaitGroup) {
	begin := p.clock.Now()
	grace := p.currentSettings().Timings.StopGracePeriod
	p.log.Info(eventStopping, "grace", grace)
	p.stopping.Store(true)
	p.handler.Closing.Store(true)
	leaveElection()
	electionDone.Wait()
	background := context.Background()
	_ = p.clock.Sleep(background, acceptTime-p.clock.Since(begin)) // the background context never ends
	shutdownCtx, cancel := p.clock.WithTimeout(background, grace-shutdownReserve-p.clock.Since(begin))
	defer cancel()
	if err := callerServer.Shutdown(shutdownCtx); err != nil {
		p.log.Warn(eventRequestsCut, "error", err)
	}
	p.log.Info(eventStopped, "took", p.clock.Since(begin))
}

// onOwnershipChange begins or ends a term.
func (p *Process) onOwnershipChange(c election.Change) {
	switch c := c.(type) {
	case election.Gained:
		p.beginTerm(c)
	case election.Lost:
		p.endTerm(c.Reason)
	}
}

// beginTerm starts a dispatcher for a new term.
func (p *Process) beginTerm(gained election.Gained) {
	epoch := gained.Epoch
	p.log.Info(eventOwnershipGained, "epoch", epoch, "earlier", gained.Departure)
	ctx, cancel := context.WithCancel(context.Background())
	d := dispatch.New(ctx, gained, dispatch.Options{
		Store: p.store, Fleet: p.fleet, Advisor: p.advisor, Workers: p.workers, Clock: p.clock, Log: p.log.With("epoch", epoch), Config: p.follower.Config(), Ownership: p.elector, MaxRecordBytes: p.currentSettings().StoreRecordBytes, MachineOrderRate: p.currentSettings().MachineOrderRate, Cores: p.currentSettings().Cores, DirectWorkers: p.currentSettings().DirectWorkers, YieldLate: p.currentSettings().YieldLate, LearnInterference: p.currentSettings().LearnInterference, Members: p.carrierMembers,
		Timing: newDispatchTiming(p.currentSettings().Timings),
	})
	p.mu.Lock()
	p.activeDispatcher, p.cancelTerm = d, cancel
	p.mu.Unlock()
	p.applyOperatorChange()
	go func() {
		err := d.Run()
		p.log.Info(eventTermEnded, "epoch", epoch, "error", err)
		if p.dispatcher() == d {
			p.elector.Resign("fenced")
		}
		cancel()
	}()
}

// newDispatchTiming returns the part of the deployment's timings that the dispatcher uses.
func newDispatchTiming(timings settings.Timings) dispatch.Timing {
	return dispatch.Timing{MaxLease: timings.MaxLease, StatusRetention: timings.StatusRetention, HolderChangeInterval: timings.HolderChangeInterval, MoveDuration: timings.MoveDuration, MaintenanceDuration: timings.MaintenanceDuration}
}

// endTerm ends the current term. A process that is stopping first waits for pending writes.
func (p *Process) endTerm(reason string) {
	p.mu.Lock()
	d, cancelTerm := p.activeDispatcher, p.cancelTerm
	p.activeDispatcher, p.cancelTerm = nil, nil
	p.mu.Unlock()
	p.log.Info(eventOwnershipLost, "reason", reason)
	if d == nil {
		return
	}
	if p.stopping.Load() {
		drainCtx, cancel := p.clock.WithTimeout(context.Background(), drainTimeout)
		d.Drain(drainCtx)
		cancel()
	}
	cancelTerm()
}

// applyOperatorChange passes the operator's configuration and waves to the dispatcher.
func (p *Process) applyOperatorChange() {
	d := p.dispatcher()
	if d == nil {
		return
	}
	if config := p.follower.Config(); config != nil {
		d.SetConfig(config)
	}
	for _, w := range p.follower.Waves() {
		d.SetWave(w.Request, w.FirstRead)
	}
}

// dispatcher returns the dispatcher of the current term; nil while this process is not the owner.
func (p *Process) dispatcher() *dispatch.Dispatcher {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.activeDispatcher
}

// serveReady answers the balancer's readiness check.
func (p *Process) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !p.isServing() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// isServing reports whether this entry can serve callers: it is not stopping, the configuration is known, and the
// owner responds or, if this process is the owner, has loaded the stored jobs.
func (p *Process) isServing() bool {
	if p.stopping.Load() || p.follower.Config() == nil {
		return false
	}
	if d := p.dispatcher(); d != nil {
		return d.IsLoaded()
	}
	maxSilence := election.HeartbeatTimeout + p.heartbeatInterval() - heartbeatPeriod
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.ownerRespondedAt.IsZero() && p.clock.Since(p.ownerRespondedAt) < maxSilence
}
