// Package process wires one entry on the users' platform: callers, peers, the owner's work while this
// process is the owner, and the graceful shutdown.
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
	"hibiscuslane.example/hibiscuslane/operator"
	"hibiscuslane.example/hibiscuslane/platform"
	"hibiscuslane.example/hibiscuslane/relay"
	"hibiscuslane.example/hibiscuslane/settings"
	"hibiscuslane.example/hibiscuslane/timer"
)

const (
	// drainTime bounds the writes that a stopping owner still waits for.
	drainTime = 600 * time.Millisecond
	// closeAfter is how long a stopping entry still takes new connections: the balancer looks once a second
	// and needs two misses.
	closeAfter = 2500 * time.Millisecond
	// closeReserve is kept of the grace period for the end of the process.
	closeReserve = 700 * time.Millisecond
	// headerTimeout and idleTimeout bound callers' connections until a configuration names bounds.
	headerTimeout = 3 * time.Second
	idleTimeout   = 60 * time.Second
	// peerIdle is the number of idle connections to one peer, platformIdle to one service of the platform.
	peerIdle     = 4
	platformIdle = 4
	workerIdle   = 1
)

// Process is one entry.
type Process struct {
	clock    *timer.Service
	log      event.Log
	store    *platform.Store
	fleet    *platform.Fleet
	advisor  *platform.Advisor
	clients  dispatch.Clients
	peers    *http.Client
	keeper   *election.Elector
	follower *operator.Follower
	handler  *ingress.Handler

	stopping atomic.Bool
	mu       sync.Mutex
	// settings are in force, read are those that were read last.
	settings, read settings.Deployment
	owner          *dispatch.Dispatcher // nil while this process is not the owner
	end            context.CancelFunc   // ends the tenure of owner
	// answered is when the owner last answered a sign of life.
	answered time.Time
	// reached is when this process last reached the store at the owner's request.
	reached time.Time
	// members are other members that the owner has named; they are asked before it is replaced.
	members []string
	// signs are the members that sent a sign of life to this process as the owner.
	signs map[election.Member]member
}

// New returns an entry.
func New(s settings.Deployment, clock *timer.Service, log event.Log) *Process {
	log = log.With("entry", s.ID)
	client := platform.NewHTTPClient(platformIdle)
	p := &Process{
		settings: s, read: s, clock: clock, log: log,
		store:   &platform.Store{Address: s.Store, HTTP: client},
		fleet:   &platform.Fleet{Address: s.Fleet, HTTP: client, LeaseHolder: string(s.ID)},
		advisor: &platform.Advisor{Address: s.Advisor, HTTP: client},
		clients: dispatch.Clients{LongPoll: platform.NewHTTPClient(workerIdle), Orders: platform.NewHTTPClient(workerIdle)},
		peers:   platform.NewHTTPClient(peerIdle),
		signs:   map[election.Member]member{},
	}
	p.follower = &operator.Follower{Store: p.store, Clock: clock, Log: log, OnChange: p.changed}
	p.keeper = &election.Elector{Store: p.store, Member: election.NewMember(s.Peers, clock.Now()), Clock: clock, Log: log, OnChange: p.tenure}
	p.keeper.SetCandidacyDelay(handicapOf(s.Cores, fullCores))
	p.handler = &ingress.Handler{Config: p.follower.Config, Forwarder: p, Clock: clock, Log: log}
	return p
}

// Run serves until ctx ends, and then stops gracefully.
func (p *Process) Run(ctx context.Context) error {
	s := p.current()
	p.log.Info(eventStart, "member", p.keeper.Member, "centre", s.Centre, "store", s.Store)
	work, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	set, err := p.measure()
	if err != nil {
		return err
	}
	front := &http.Server{Handler: set.Count(p.handler, p.clock), ReadHeaderTimeout: headerTimeout, IdleTimeout: idleTimeout}
	inner := &http.Server{Handler: p.internal(), ReadHeaderTimeout: headerTimeout}
	ready := &http.Server{Handler: http.HandlerFunc(p.ready), ReadHeaderTimeout: headerTimeout}
	failed := make(chan error, 1)
	for _, l := range []struct {
		server  *http.Server
		address instance.Address
	}{{inner, s.Peers}, {ready, s.Ready}, {front, s.Callers}} {
		if err := p.serve(ctx, l.server, l.address, failed); err != nil {
			return err
		}
	}
	p.serveMetrics(ctx, set)
	membership, leave := context.WithCancel(work)
	var left sync.WaitGroup
	left.Go(func() { p.keeper.Run(membership) })
	go p.follower.Run(work)
	go p.beats(work)
	select {
	case err := <-failed:
		leave()
		return err
	case <-ctx.Done():
	}
	p.stop(front, leave, &left)
	return nil
}

// serve listens on an address and serves in the background.
func (p *Process) serve(ctx context.Context, server *http.Server, address instance.Address, failed chan<- error) error {
	var config net.ListenConfig
	listener, err := config.Listen(ctx, "tcp", string(address))
	if err != nil {
		return &ListenError{Address: address, Cause: err}
	}
	go func() {
		if err := server.Serve(listener); err != nil && !isClosed(err) {
			select {
			case failed <- &ListenError{Address: address, Cause: err}:
			default:
			}
		}
	}()
	return nil
}

// stop ends the tenure first, so that another entry takes over, and answers callers until the balancer
// has noticed.
func (p *Process) stop(front *http.Server, leave context.CancelFunc, left *sync.WaitGroup) {
	begin := p.clock.Now()
	grace := p.current().Contract.Grace
	p.log.Info(eventStop, "grace", grace)
	p.stopping.Store(true)
	p.handler.Closing.Store(true)
	leave()
	left.Wait()
	background := context.Background()
	_ = p.clock.Sleep(background, closeAfter-p.clock.Since(begin)) // the background context never ends
	bound, cancel := p.clock.WithTimeout(background, grace-closeReserve-p.clock.Since(begin))
	defer cancel()
	if err := front.Shutdown(bound); err != nil {
		p.log.Warn(eventCut, "error", err)
	}
	p.log.Info(eventStopped, "took", p.clock.Since(begin))
}

// tenure begins or ends the owner's work.
func (p *Process) tenure(c election.Change) {
	switch c := c.(type) {
	case election.Gained:
		p.begin(c)
	case election.Lost:
		p.finish(c.Reason)
	}
}

func (p *Process) begin(gained election.Gained) {
	epoch := gained.Epoch
	p.log.Info(eventGained, "epoch", epoch, "earlier", gained.Departure)
	ctx, cancel := context.WithCancel(context.Background())
	d := dispatch.New(ctx, gained, dispatch.Options{
		Store: p.store, Fleet: p.fleet, Advisor: p.advisor, Clients: p.clients, Clock: p.clock, Log: p.log.With("epoch", epoch), Config: p.follower.Config(), Ownership: p.keeper, Cores: p.current().Cores,
		Timing: bounds(p.current().Contract),
	})
	p.mu.Lock()
	p.owner, p.end = d, cancel
	p.mu.Unlock()
	p.changed()
	go func() {
		err := d.Run()
		p.log.Info(eventEnded, "epoch", epoch, "error", err)
		if p.dispatcher() == d {
			p.keeper.Resign("fenced")
		}
		cancel()
	}()
}

// bounds returns what the owner has to keep to.
func bounds(c settings.Contract) dispatch.Timing {
	return dispatch.Timing{MaxLease: c.MaxLease, StatusRetention: c.Status, HolderChangeInterval: c.Turn, MoveDuration: c.Move, MaintenanceDuration: c.Maintenance}
}

func (p *Process) finish(reason string) {
	p.mu.Lock()
	d, end := p.owner, p.end
	p.owner, p.end = nil, nil
	p.mu.Unlock()
	p.log.Info(eventLost, "reason", reason)
	if d == nil {
		return
	}
	if p.stopping.Load() {
		bound, cancel := p.clock.WithTimeout(context.Background(), drainTime)
		d.Drain(bound)
		cancel()
	}
	end()
}

// changed passes news of the operator on to the owner's work.
func (p *Process) changed() {
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

// dispatcher returns the owner's work; nil while this process is not the owner.
func (p *Process) dispatcher() *dispatch.Dispatcher {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.owner
}

// ready answers the balancer.
func (p *Process) ready(w http.ResponseWriter, _ *http.Request) {
	if !p.serves() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// serves reports whether callers are served here: the configuration is known and the owner answers.
func (p *Process) serves() bool {
	if p.stopping.Load() || p.follower.Config() == nil {
		return false
	}
	if d := p.dispatcher(); d != nil {
		return d.IsLoaded()
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return !p.answered.IsZero() && p.clock.Since(p.answered) < election.HeartbeatTimeout
}

func (p *Process) internal() http.Handler {
	mux := http.NewServeMux()
	mux.Handle(relay.RelayPathPrefix, relay.NewRelayServer(&server{process: p}))
	return mux
}
