// Package entry wires one entry instance: its streams, peers, request chain, planner and HTTP servers.
package entry

import (
	"context"
	"errors"
	"net"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"hibiscuslane.example/hibiscuslane/admin"
	"hibiscuslane.example/hibiscuslane/audit"
	"hibiscuslane.example/hibiscuslane/claim"
	"hibiscuslane.example/hibiscuslane/config"
	"hibiscuslane.example/hibiscuslane/event"
	"hibiscuslane.example/hibiscuslane/failure"
	"hibiscuslane.example/hibiscuslane/fleet"
	"hibiscuslane.example/hibiscuslane/instance"
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
	"hibiscuslane.example/hibiscuslane/target"
	"hibiscuslane.example/hibiscuslane/timer"
	"hibiscuslane.example/hibiscuslane/upstream"
)

const (
	// routePeriod is the period at which the table of targets takes up the platform's list and the
	// reports of peers. With the 2 s between two reads of the list it stays within the 3 s after which a
	// leaving target receives no new work.
	routePeriod = 200 * time.Millisecond
	// readHeaderTimeout bounds how long a connection may take to send its headers.
	readHeaderTimeout = 10 * time.Second
	// noticePeriod is the least time between the first refusal of a stopping entry and the end of its
	// listeners. Callers that chose the entry before the balancer saw it as not ready get an answer in
	// place of a reset connection.
	noticePeriod = time.Second
	// idleTimeout bounds how long callers' connections stay open without a request.
	idleTimeout = time.Minute
)

// Options are what an entry needs besides its settings. The zero value is ready to use.
type Options struct {
	Timer  *timer.Service
	Events event.Log
}

// Entry is one entry instance.
type Entry struct {
	settings settings.Settings
	self     record.Writer
	timer    *timer.Service
	events   event.Log

	platform *upstream.Client
	clients  peer.Clients
	group    *member.Group
	channels map[record.Stream]*channel

	config *config.State
	fleet  *fleet.State
	claims *claim.State
	jobs   *job.State

	table     *route.Table
	transport *target.Transport
	owners    *slot.Server
	slots     *slot.Client
	claimer   *claim.Claimer
	handler   *request.Handler
	metrics   *metric.Instruments

	listeners listeners
	stopping  atomic.Bool
}

// ListenError reports an address that cannot be listened on.
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

// New opens the addresses of an entry. Run starts it.
func New(s settings.Settings, o Options) (*Entry, error) {
	incarnation := instance.Incarnation(o.Timer.Now().UnixNano())
	e := &Entry{
		settings: s, timer: o.Timer, events: o.Events.With("entry", s.ID),
		self:     record.Writer{Entry: s.ID, Incarnation: incarnation},
		platform: &upstream.Client{BaseURL: s.Platform.BaseURL, HTTPClient: newPlatformHTTP()},
		config:   &config.State{}, fleet: &fleet.State{}, claims: &claim.State{}, jobs: &job.State{},
	}
	e.group = &member.Group{
		Self: s.ID, Directory: e.platform, Clients: &e.clients, Timer: e.timer, Events: e.events, Status: e.report,
	}
	e.openChannels()
	e.openRequests()
	if err := e.openMetrics(); err != nil {
		return nil, err
	}
	if err := e.listeners.open(s.Listen); err != nil {
		return nil, err
	}
	return e, nil
}

// newPlatformHTTP returns a client whose connections to the platform are given up within seconds when
// a middlebox has forgotten them: each call has a deadline, and idle connections are not kept long.
func newPlatformHTTP() *http.Client {
	dialer := &net.Dialer{Timeout: time.Second, KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: time.Second, Interval: time.Second, Count: 3,
	}}
	return &http.Client{Transport: &http.Transport{
		DialContext: dialer.DialContext, MaxIdleConnsPerHost: 32, IdleConnTimeout: 10 * time.Second,
	}}
}

func (e *Entry) openChannels() {
	parts := channelParts{
		log: e.platform, writer: e.self, timer: e.timer, events: e.events, group: e.group, clients: &e.clients,
		period: e.settings.SnapshotPeriod(),
	}
	e.channels = map[record.Stream]*channel{
		record.StreamConfig: newChannel(record.StreamConfig, e.config, parts),
		record.StreamFleet:  newChannel(record.StreamFleet, e.fleet, parts),
		record.StreamClaim:  newChannel(record.StreamClaim, e.claims, parts),
		record.StreamJob:    newChannel(record.StreamJob, e.jobs, parts),
	}
}

func (e *Entry) openRequests() {
	e.table = &route.Table{Timer: e.timer, Events: e.events}
	e.transport = &target.Transport{Timer: e.timer, Events: e.events}
	c := capacity{table: e.table, settings: e.siteSettings}
	e.owners = &slot.Server{
		Self: e.self.Entry, Incarnation: e.self.Incarnation, Capacity: c, Timer: e.timer, Events: e.events,
		IsEntryGone: e.gone,
	}
	e.slots = &slot.Client{
		Self: e.self.Entry, Incarnation: e.self.Incarnation, Local: e.owners, Ranking: e.group,
		Peers: &e.clients, Capacity: c, Timer: e.timer, Events: e.events,
	}
	claims := e.channels[record.StreamClaim]
	e.claimer = &claim.Claimer{
		State: e.claims, Appender: claims.appender, Follower: claims.follower, Self: e.self,
		Fetcher:      answersClient{group: e.group, clients: &e.clients, timeout: e.timer.WithTimeout},
		IsHolderGone: writerGone(e.group, e.self), Timer: e.timer, Events: e.events,
	}
	s := &sender{table: e.table, transport: e.transport, capacity: c, entries: func() int { return len(e.group.LiveEntries()) }}
	e.handler = request.New(request.Options{
		Settings: e.siteSettings, Ready: func() bool { return e.unready() == nil }, Claimer: e.claimer,
		Allocator: e.slots, Router: s, Sender: s, Reserved: e.newJobHandler(), RetryPolicies: &retry.PoolPolicies{Timer: e.timer, Events: e.events},
		Timer: e.timer, Events: e.events,
	})
}

// gone reports whether an entry is not live.
func (e *Entry) gone(id instance.ID) bool {
	return !slices.Contains(e.group.LiveEntries(), id)
}

// siteSettings returns the configuration in force at the site of this entry, or nil.
func (e *Entry) siteSettings() *config.Settings {
	s, ok := e.config.Settings(site.Name(e.settings.Centre))
	if !ok {
		return nil
	}
	return s
}

// unready returns why the entry takes no traffic, or nil.
func (e *Entry) unready() error {
	if e.stopping.Load() {
		return &NotReadyError{Reason: "it is stopping"}
	}
	for name, c := range e.channels {
		if !c.loaded() {
			return &NotReadyError{Reason: "stream " + string(name) + " is not loaded"}
		}
	}
	if e.siteSettings() == nil {
		return &NotReadyError{Reason: "no configuration is in force at its site"}
	}
	return nil
}

// report is the heartbeat of this entry.
func (e *Entry) report() *peer.Status {
	status := &peer.Status{
		Entry: string(e.self.Entry), Incarnation: uint64(e.self.Incarnation), Centre: string(e.settings.Centre),
		Ready: e.unready() == nil, Stopping: e.stopping.Load(), Config: int64(e.config.Version()),
		Offsets: map[string]int64{}, Silence: -1, Leaving: e.group.LeavingTargets(),
	}
	for _, id := range e.table.EjectedTargets() {
		status.Failing = append(status.Failing, string(id))
	}
	for name, c := range e.channels {
		status.Offsets[string(name)] = int64(c.follower.NextOffset())
		status.Silence = max(status.Silence, e.silence(c))
	}
	return status
}

// Run serves until ctx ends, then stops gracefully. It returns CutError if work had to be cut off.
func (e *Entry) Run(ctx context.Context) error {
	background, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	var tasks sync.WaitGroup
	start := func(task func(context.Context) error) {
		tasks.Go(func() { _ = task(background) })
	}
	servers := e.serve(start)
	for _, c := range e.channels {
		c.run(background, start)
	}
	start(e.group.Run)
	start(e.owners.Run)
	start(e.slots.Run)
	start(e.claimer.Run)
	start(e.followTargets)
	start(e.newPlanner().Run)
	start(e.newJobs().Run)
	start(func(ctx context.Context) error { return e.table.Run(ctx, e.transport) })
	start(e.watchReadiness)
	e.events.Info(eventStarted, "incarnation", e.self.Incarnation, "callers", e.listeners.callers.Addr().String(),
		"peers", e.listeners.peers.Addr().String(), "admin", e.listeners.admin.Addr().String())
	<-ctx.Done()
	err := e.stop(background, servers)
	cancel()
	tasks.Wait()
	e.clients.Close()
	e.events.Info(eventStopped)
	return err
}

// serve starts the HTTP servers.
func (e *Entry) serve(start func(func(context.Context) error)) []*http.Server {
	callers := &http.Server{Handler: e.metrics.CountResponses(e.handler, e.timer), ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idleTimeout}
	followers := map[record.Stream]*stream.Follower{}
	for name, c := range e.channels {
		followers[name] = c.follower
	}
	peers := peer.NewServer(peer.NewHandler(peer.Service{
		Reporter: e.group, Slots: e.owners, Answers: answersServer{claimer: e.claimer},
		Snapshotter: &snapshot.Server{Followers: followers, IsLoaded: func(name record.Stream) bool { return e.channels[name].loaded() }},
	}))
	admin := &http.Server{Handler: e.adminHandler(), ReadHeaderTimeout: readHeaderTimeout}
	for server, listener := range map[*http.Server]net.Listener{
		callers: e.listeners.callers, peers: e.listeners.peers, admin: e.listeners.admin,
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
		Config: e.config, Publisher: e.channels[record.StreamConfig].proposer, Status: e, Timer: e.timer,
		Trail: []audit.Source{e.config, fleetTrail{state: e.fleet}, jobTrail{state: e.jobs}},
	}
	handler.Register(mux)
	return mux
}

// followTargets keeps the table of targets up to date with the fleet stream and the platform's list.
func (e *Entry) followTargets(ctx context.Context) error {
	tick := e.timer.Every(routePeriod)
	defer tick.Stop()
	changed := e.updateTargets()
	for {
		if list, at := e.group.List(); !at.IsZero() {
			e.table.UpdateList(list)
		}
		for _, p := range e.group.LivePeers() {
			for _, l := range p.GetLeaving() {
				e.table.MarkLeaving(instance.ID(l.GetTarget()), instance.Incarnation(l.GetIncarnation()))
			}
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-changed:
			changed = e.updateTargets()
		case <-tick.C():
		}
	}
}

// updateTargets takes up the fleet state and returns a channel that is closed at its next change. A
// sorted copy of the fleet takes 5 ms at 6,600 instances, so it is made for changes only.
func (e *Entry) updateTargets() <-chan struct{} {
	changed := e.fleet.Changed()
	e.table.UpdateFleet(e.fleet.Instances())
	return changed
}

// watchReadiness logs changes of readiness.
func (e *Entry) watchReadiness(ctx context.Context) error {
	tick := e.timer.Every(routePeriod)
	defer tick.Stop()
	ready := false
	for {
		if err := e.unready(); (err == nil) != ready {
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

// stop refuses new requests, waits for those in flight and for their outcomes, and closes the servers.
func (e *Entry) stop(ctx context.Context, servers []*http.Server) error {
	start := e.timer.Now()
	e.stopping.Store(true)
	e.events.Info(eventStopping, "flight", e.handler.InFlight())
	ctx, cancel := e.timer.WithTimeout(ctx, e.settings.StopTimeout())
	defer cancel()
	e.handler.Stop()
	err := errors.Join(e.handler.Wait(ctx), e.claimer.Drain(ctx))
	// The end of ctx is reported by the shutdown of the servers.
	_ = e.timer.Sleep(ctx, noticePeriod-e.timer.Since(start))
	for _, server := range servers {
		err = errors.Join(err, server.Shutdown(ctx))
	}
	if err != nil {
		e.events.Error(eventCut, "error", err)
		for _, server := range servers {
			_ = server.Close()
		}
	}
	return errors.Join(err, e.metrics.Close(context.WithoutCancel(ctx)))
}

// Addresses returns the addresses that the entry listens on.
func (e *Entry) Addresses() settings.Listen {
	return settings.Listen{
		Callers: instance.Address(e.listeners.callers.Addr().String()),
		Peers:   instance.Address(e.listeners.peers.Addr().String()),
		Admin:   instance.Address(e.listeners.admin.Addr().String()),
	}
}
