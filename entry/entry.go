// Package entry assembles and runs one entry for the command "hibiscuslane serve": the replicas of the
// streams, the communication with peers, the request chain, the planner, the job runner and the HTTP
// servers. Each entry holds a replica of every stream, and no entry leads the others. Package process
// assembles the entry of "hibiscuslane run". Start with Entry.
package entry

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"hibiscuslane.example/hibiscuslane/admin"
	"hibiscuslane.example/hibiscuslane/audit"
	"hibiscuslane.example/hibiscuslane/claim"
	"hibiscuslane.example/hibiscuslane/config"
	"hibiscuslane.example/hibiscuslane/event"
	"hibiscuslane.example/hibiscuslane/exchange"
	"hibiscuslane.example/hibiscuslane/failure"
	"hibiscuslane.example/hibiscuslane/fleet"
	"hibiscuslane.example/hibiscuslane/instance"
	"hibiscuslane.example/hibiscuslane/intake"
	"hibiscuslane.example/hibiscuslane/job"
	"hibiscuslane.example/hibiscuslane/member"
	"hibiscuslane.example/hibiscuslane/metric"
	"hibiscuslane.example/hibiscuslane/peer"
	"hibiscuslane.example/hibiscuslane/record"
	"hibiscuslane.example/hibiscuslane/request"
	"hibiscuslane.example/hibiscuslane/retry"
	"hibiscuslane.example/hibiscuslane/route"
	"hibiscuslane.example/hibiscuslane/settings"
	"hibiscuslane.example/hibiscuslane/site"
	"hibiscuslane.example/hibiscuslane/slot"
	"hibiscuslane.example/hibiscuslane/snapshot"
	"hibiscuslane.example/hibiscuslane/stream"
	"hibiscuslane.example/hibiscuslane/timer"
	"hibiscuslane.example/hibiscuslane/upstream"
)

const (
	// targetSyncPeriod is the interval at which the table of targets is updated from the platform's list
	// and from the heartbeats of peers, and at which readiness is checked. One entry reads the list every
	// 2 s and tells its peers at once when a target is leaving. Together both intervals are less than the
	// 3 s after which a leaving target must receive no new work.
	targetSyncPeriod = 200 * time.Millisecond
	// readHeaderTimeout limits the time that a connection may take to send the headers of a request.
	readHeaderTimeout = 10 * time.Second
	// minRefusalTime is the least time for which a stopping entry refuses requests before it closes its
	// listeners. Callers that are sent to it before the load balancer sees that it is not ready get a
	// response instead of a connection reset.
	minRefusalTime = time.Second
	// idleTimeout limits the time for which a caller's connection stays open without a request.
	idleTimeout = time.Minute
	// maxPlatformAnswerBytes limits an answer of the platform or of a worker. The largest one has the snapshot of a stream.
	maxPlatformAnswerBytes = 64 << 20
)

// Options holds the dependencies of an entry. The zero value is ready to use.
type Options struct {
	Timer  *timer.Service
	Events event.Log
}

// Entry is an instance that runs this program: it accepts requests and forwards them to targets.
type Entry struct {
	settings settings.Settings
	self     record.Writer
	timer    *timer.Service
	events   event.Log

	platform *upstream.Client
	clients  peer.Clients
	group    *member.Group
	replicas map[record.Stream]*replica

	config *config.State
	fleet  *fleet.State
	claims *claim.State
	jobs   *job.State

	table      *route.Table
	transport  *exchange.Transport
	slotServer *slot.Server
	slotClient *slot.Client
	claimer    *claim.Claimer
	handler    *request.Handler
	metrics    *metric.Instruments

	listeners listeners
	intake    guards
	stopping  atomic.Bool
}

// ListenError reports that a listener cannot be opened on an address.
type ListenError struct {
	Address instance.Address
	Cause   error
}

func (e *ListenError) Error() string {
	return "cannot listen on " + string(e.Address) + ": " + e.Cause.Error()
}

// Unwrap returns the cause.
func (e *ListenError) Unwrap() error { return e.Cause }

// Code implements failure.Coded.
func (e *ListenError) Code() failure.Code { return failure.CodeInvalid }

// Outcome implements failure.Coded.
func (e *ListenError) Outcome() failure.Outcome { return failure.OutcomeNotRun }

type listeners struct {
	callers, peers, admin net.Listener
}

func (l *listeners) open(addresses settings.Listen) error {
	var err error
	if l.callers, err = listen(addresses.Callers); err != nil {
		return err
	}
	if l.peers, err = listen(addresses.Peers); err != nil {
		_ = l.callers.Close()
		return err
	}
	if l.admin, err = listen(addresses.Admin); err != nil {
		_ = l.callers.Close()
		_ = l.peers.Close()
		return err
	}
	return nil
}

func listen(address instance.Address) (net.Listener, error) {
	var config net.ListenConfig
	listener, err := config.Listen(context.Background(), "tcp", string(address))
	if err != nil {
		return nil, &ListenError{Address: address, Cause: err}
	}
	return listener, nil
}

// New creates an entry and opens its listeners. Run starts it.
func New(s settings.Settings, o Options) (*Entry, error) {
	incarnation := instance.Incarnation(o.Timer.Now().UnixNano())
	e := &Entry{
		settings: s, timer: o.Timer, events: o.Events.With("entry", s.ID),
		self:     record.Writer{Entry: s.ID, Incarnation: incarnation},
		platform: &upstream.Client{BaseURL: s.Platform.BaseURL, HTTPClient: newPlatformHTTPClient()},
		config:   &config.State{}, fleet: &fleet.State{}, claims: &claim.State{}, jobs: &job.State{},
	}
	e.group = &member.Group{
		Self: s.ID, Directory: e.platform, Clients: &e.clients, Timer: e.timer, Events: e.events, Status: e.heartbeatStatus,
	}
	e.intake = newGuards(s.MemoryBytes(), e.events)
	e.createReplicas()
	e.createRequestHandler()
	if err := e.createMetrics(); err != nil {
		return nil, err
	}
	if err := e.listeners.open(s.Listen); err != nil {
		return nil, err
	}
	return e, nil
}

// newPlatformHTTPClient returns an HTTP client for the platform or for workers. It drops a connection
// within seconds when a middlebox has discarded the state of the connection: keep-alive probes run every
// second, and idle connections are closed after 10 s. Each call has a deadline of its own.
func newPlatformHTTPClient() *http.Client {
	dialer := &net.Dialer{Timeout: time.Second, KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: time.Second, Interval: time.Second, Count: 3,
	}}
	return &http.Client{Transport: intake.NewAnswers(&http.Transport{
		DialContext: dialer.DialContext, MaxIdleConnsPerHost: 32, IdleConnTimeout: 10 * time.Second,
	}, maxPlatformAnswerBytes)}
}

func (e *Entry) createReplicas() {
	deps := replicaDependencies{
		log: e.platform, writer: e.self, timer: e.timer, events: e.events, group: e.group, clients: &e.clients,
		snapshotMaxAge: e.settings.SnapshotPeriod(),
	}
	e.replicas = map[record.Stream]*replica{
		record.StreamConfig: newReplica(record.StreamConfig, e.config, deps),
		record.StreamFleet:  newReplica(record.StreamFleet, e.fleet, deps),
		record.StreamClaim:  newReplica(record.StreamClaim, e.claims, deps),
		record.StreamJob:    newReplica(record.StreamJob, e.jobs, deps),
	}
}

// createRequestHandler creates the request handler and what it depends on: the table of targets, the
// transport, the server and client for slots, and the claimer. The replicas must exist.
func (e *Entry) createRequestHandler() {
	e.table = &route.Table{Timer: e.timer, Events: e.events}
	e.transport = &exchange.Transport{Timer: e.timer, Events: e.events}
	capacity := poolCapacity{table: e.table, settings: e.siteSettings}
	e.slotServer = &slot.Server{
		Self: e.self.Entry, Incarnation: e.self.Incarnation, Capacity: capacity, Timer: e.timer, Events: e.events,
		IsEntryGone: e.group.IsSilent, CurrentIncarnation: e.group.Incarnation,
	}
	e.slotClient = &slot.Client{
		Self: e.self.Entry, Incarnation: e.self.Incarnation, Local: e.slotServer, Ranking: e.group,
		Peers: &e.clients, Capacity: capacity, Timer: e.timer, Events: e.events,
	}
	claims := e.replicas[record.StreamClaim]
	e.claimer = &claim.Claimer{
		State: e.claims, Appender: claims.appender, Follower: claims.follower, Self: e.self,
		Fetcher:      answersClient{group: e.group, clients: &e.clients, withTimeout: e.timer.WithTimeout},
		IsHolderGone: newWriterGoneCheck(e.group, e.self), Timer: e.timer, Events: e.events,
	}
	sender := &targetSender{table: e.table, transport: e.transport, capacity: capacity, liveEntryCount: func() int { return len(e.group.LiveEntries()) }}
	e.handler = request.New(request.Options{
		Settings: e.siteSettings, Ready: func() bool { return e.readinessError() == nil }, Claimer: e.claimer,
		Allocator: e.slotClient, Router: sender, Sender: sender, Reserved: e.newJobHandler(), RetryPolicies: &retry.PoolPolicies{Timer: e.timer, Events: e.events},
		Timer: e.timer, Events: e.events,
	})
}

// siteSettings returns the configuration in force at the site of this entry, or nil if there is none.
func (e *Entry) siteSettings() *config.Settings {
	s, ok := e.config.Settings(site.Name(e.settings.Centre))
	if !ok {
		return nil
	}
	return s
}

// readinessError returns the reason why the entry accepts no requests, or nil if it is ready.
func (e *Entry) readinessError() error {
	if e.stopping.Load() {
		return &NotReadyError{Reason: "it is stopping"}
	}
	for name, r := range e.replicas {
		if !r.isLoaded() {
			return &NotReadyError{Reason: "stream " + string(name) + " is not loaded"}
		}
	}
	if e.siteSettings() == nil {
		return &NotReadyError{Reason: "no configuration is in force at its site"}
	}
	return nil
}

// heartbeatStatus returns the status that this entry sends in its heartbeats.
func (e *Entry) heartbeatStatus() *peer.Status {
	status := &peer.Status{
		Entry: string(e.self.Entry), Incarnation: uint64(e.self.Incarnation), Centre: string(e.settings.Centre),
		Ready: e.readinessError() == nil, Stopping: e.stopping.Load(), Config: int64(e.config.Version()),
		Offsets: map[string]int64{}, Silence: -1, Leaving: e.group.LeavingTargets(),
	}
	for _, id := range e.table.EjectedTargets() {
		status.Failing = append(status.Failing, string(id))
	}
	for name, r := range e.replicas {
		status.Offsets[string(name)] = int64(r.follower.NextOffset())
		status.Silence = max(status.Silence, e.millisecondsSinceRead(r))
	}
	return status
}

// Run serves requests until ctx ends and then shuts down gracefully. It returns an error if requests
// were still in flight, or outcomes not yet recorded, at the end of the shutdown timeout, or if the metrics
// cannot be closed.
func (e *Entry) Run(ctx context.Context) error {
	// The background tasks run until the end of the shutdown, because the requests in flight need them.
	background, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	var tasks sync.WaitGroup
	start := func(task func(context.Context) error) {
		tasks.Go(func() { _ = task(background) })
	}
	servers := e.startServers(start)
	for _, r := range e.replicas {
		r.startTasks(background, start)
	}
	start(e.group.Run)
	start(e.slotServer.Run)
	start(e.slotClient.Run)
	start(e.claimer.Run)
	start(e.syncTargets)
	start(e.newPlanner().Run)
	start(e.newJobRunner().Run)
	start(func(ctx context.Context) error { return e.table.Run(ctx, e.transport) })
	start(e.logReadinessChanges)
	e.events.Info(eventStarted, "incarnation", e.self.Incarnation, "callers", e.listeners.callers.Addr().String(),
		"peers", e.listeners.peers.Addr().String(), "admin", e.listeners.admin.Addr().String())
	<-ctx.Done()
	err := e.shutDown(background, servers)
	cancel()
	tasks.Wait()
	e.clients.Close()
	e.events.Info(eventStopped)
	return err
}

// startServers starts the HTTP servers for callers, peers and administration.
func (e *Entry) startServers(start func(func(context.Context) error)) []*http.Server {
	callers := &http.Server{Handler: e.metrics.CountResponses(e.handler, e.timer), ReadHeaderTimeout: readHeaderTimeout}
	followers := map[record.Stream]*stream.Follower{}
	for name, r := range e.replicas {
		followers[name] = r.follower
	}
	peers := peer.NewServer(peer.Limit(peer.NewHandler(peer.Service{
		Reporter: e.group, Slots: e.slotServer, Answers: answersServer{claimer: e.claimer},
		Snapshotter: &snapshot.Server{Followers: followers, IsLoaded: func(name record.Stream) bool { return e.replicas[name].isLoaded() }},
	}), e.intake.peers.Requests))
	admin := &http.Server{Handler: e.adminHandler(), ReadHeaderTimeout: readHeaderTimeout}
	e.intake.callers.Protect(callers)
	e.intake.peers.Protect(peers)
	e.intake.admin.Protect(admin)
	start(func(ctx context.Context) error {
		intake.Watch(ctx, e.timer, e.intake.callers, e.intake.peers, e.intake.admin)
		return nil
	})
	for server, listener := range map[*http.Server]net.Listener{
		callers: e.intake.callers.Listen(e.listeners.callers), peers: e.intake.peers.Listen(e.listeners.peers), admin: e.intake.admin.Listen(e.listeners.admin),
	} {
		start(func(context.Context) error { return server.Serve(listener) })
	}
	return []*http.Server{callers, peers, admin}
}

func (e *Entry) adminHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /health", e.serveHealth)
	mux.HandleFunc("GET /ready", e.serveReady)
	mux.Handle("GET /metrics", e.metrics.Handler())
	handler := &admin.Handler{
		Config: e.config, Publisher: e.replicas[record.StreamConfig].proposer, Status: e, Timer: e.timer,
		MaxPublishBytes: e.intake.plan.PublishBytes,
		AuditSources:    []audit.Source{e.config, fleetAuditSource{state: e.fleet}, jobAuditSource{state: e.jobs}},
	}
	handler.Register(mux)
	return mux
}

// syncTargets keeps the table of targets up to date with the fleet state, the platform's list and the
// heartbeats of peers.
func (e *Entry) syncTargets(ctx context.Context) error {
	tick := e.timer.Every(targetSyncPeriod)
	defer tick.Stop()
	changed := e.updateTargetsFromFleet()
	for {
		if list, at := e.group.List(); !at.IsZero() {
			e.table.UpdateList(list)
		}
		for _, p := range e.group.LivePeers() {
			for _, leaving := range p.GetLeaving() {
				e.table.MarkLeaving(instance.ID(leaving.GetTarget()), instance.Incarnation(leaving.GetIncarnation()))
			}
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
			changed = e.updateTargetsFromFleet()
		case <-tick.C():
		}
	}
}

// updateTargetsFromFleet updates the table from the fleet state and returns a channel that is closed at
// the next change of the state. A sorted copy of the fleet takes 5 ms at 6,600 instances, so it is made
// only after a change.
func (e *Entry) updateTargetsFromFleet() <-chan struct{} {
	changed := e.fleet.Changed()
	e.table.UpdateFleet(e.fleet.Instances())
	return changed
}

// logReadinessChanges logs when the entry becomes ready or stops being ready.
func (e *Entry) logReadinessChanges(ctx context.Context) error {
	tick := e.timer.Every(targetSyncPeriod)
	defer tick.Stop()
	ready := false
	for {
		if err := e.readinessError(); (err == nil) != ready {
			ready = err == nil
			if ready {
				e.events.Info(eventReady)
			} else {
				e.events.Warn(eventUnready, "reason", err)
			}
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C():
		}
	}
}

// shutDown refuses new requests, waits until the requests in flight have ended and their outcomes are
// recorded, and closes the servers. At the shutdown timeout it closes them with requests in flight.
func (e *Entry) shutDown(ctx context.Context, servers []*http.Server) error {
	start := e.timer.Now()
	e.stopping.Store(true)
	e.events.Info(eventStopping, "flight", e.handler.InFlight())
	ctx, cancel := e.timer.WithTimeout(ctx, e.settings.StopTimeout())
	defer cancel()
	e.handler.Stop()
	err := errors.Join(e.handler.Wait(ctx), e.claimer.Drain(ctx))
	// If ctx ends here, Shutdown returns its error unless all connections are idle.
	_ = e.timer.Sleep(ctx, minRefusalTime-e.timer.Since(start))
	for _, server := range servers {
		err = errors.Join(err, server.Shutdown(ctx))
	}
	if err != nil {
		e.events.Error(eventWorkCutOff, "error", err)
		for _, server := range servers {
			_ = server.Close()
		}
	}
	return errors.Join(err, e.metrics.Close(context.WithoutCancel(ctx)))
}

// Addresses returns the addresses on which the entry listens.
func (e *Entry) Addresses() settings.Listen {
	return settings.Listen{
		Callers: instance.Address(e.listeners.callers.Addr().String()),
		Peers:   instance.Address(e.listeners.peers.Addr().String()),
		Admin:   instance.Address(e.listeners.admin.Addr().String()),
	}
}
