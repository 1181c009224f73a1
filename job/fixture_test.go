package job

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hibiscuslane.example/hibiscuslane/config"
	"hibiscuslane.example/hibiscuslane/fleet"
	"hibiscuslane.example/hibiscuslane/instance"
	"hibiscuslane.example/hibiscuslane/pool"
	"hibiscuslane.example/hibiscuslane/record"
	"hibiscuslane.example/hibiscuslane/site"
	"hibiscuslane.example/hibiscuslane/standin/appendlog"
	"hibiscuslane.example/hibiscuslane/standin/worker"
	"hibiscuslane.example/hibiscuslane/stream"
	"hibiscuslane.example/hibiscuslane/team"
	"hibiscuslane.example/hibiscuslane/timer"
	"hibiscuslane.example/hibiscuslane/upstream"
)

var startTime = time.Unix(1_700_000_000, 0).UTC()

const (
	clockStep = 50 * time.Millisecond
	// settleTime is the real time that goroutines get after each step of the clock. Tests wait for
	// conditions, so it affects only how far the clock advances before a condition holds.
	settleTime = 2 * time.Millisecond
	// maxCallSettles limits the wait for calls to workers, in multiples of settleTime. A call that hangs
	// ends only when the manual clock reaches its timeout.
	maxCallSettles = 50
)

// cluster consists of emulated workers, one log and any number of entries that share a manual clock.
type cluster struct {
	t           *testing.T
	clock       *timer.Manual
	log         *appendlog.Log
	fleet       *fleet.State
	workers     map[instance.ID]*worker.Worker
	checkpoints *worker.Checkpoints
	teams       map[team.Name]team.Spec
	entries     map[instance.ID]*entry
	owner       instance.ID
	// mu guards owner and the wrapClient of each entry.
	mu              sync.Mutex
	fleetOffset     record.Offset
	callsInProgress atomic.Int64
}

// stdContextLog passes a context of the standard library to the emulated log. The emulated log calls
// Err, which blocks on a clockwork context until that context has ended.
type stdContextLog struct {
	*appendlog.Log
}

func (l stdContextLog) Append(ctx context.Context, name record.Stream, records []json.RawMessage) (record.Offset, error) {
	plain, cancel := context.WithCancel(context.Background())
	defer cancel()
	defer context.AfterFunc(ctx, cancel)()
	return l.Log.Append(plain, name, records)
}

// entry is one entry with its own copy of the state.
type entry struct {
	cluster  *cluster
	id       instance.ID
	state    *State
	follower *stream.Follower
	proposer *stream.Proposer
	runner   *Runner
	handler  *Handler
	cancel   context.CancelFunc
	done     sync.WaitGroup
	// wrapClient, if set, replaces the client of the worker at an address.
	wrapClient func(instance.Address, upstream.Worker) upstream.Worker
}

func newCluster(t *testing.T, workers int) *cluster {
	c := &cluster{
		t: t, clock: timer.NewManual(startTime), fleet: &fleet.State{}, workers: map[instance.ID]*worker.Worker{},
		checkpoints: &worker.Checkpoints{}, teams: map[team.Name]team.Spec{"red": {Weight: 1}, "blue": {Weight: 1}},
		entries: map[instance.ID]*entry{}, owner: "entry-1",
	}
	c.log = appendlog.New(appendlog.Retention{}, &c.clock.Service)
	t.Cleanup(c.log.Close)
	for n := range workers {
		c.addWorker(n)
	}
	return c
}

func (c *cluster) addWorker(n int) {
	id := instance.ID(fmt.Sprint("worker-", n))
	centre, rackName := site.DataCentre(fmt.Sprint("c", n%3)), site.Rack(fmt.Sprint("r", n/4))
	emulated, err := worker.Start(worker.Options{
		ID: id, Timer: &c.clock.Service, Checkpoints: c.checkpoints, UsageLag: 500 * time.Millisecond,
		ListedInstance: upstream.Instance{Centre: centre, Rack: rackName, Accelerators: 2},
	})
	require.NoError(c.t, err)
	c.t.Cleanup(func() { _ = emulated.Close() })
	c.workers[id] = emulated
	l := emulated.ListedInstance()
	c.applyFleetRecord(&fleet.Admit{
		RecordHeader: fleet.RecordHeader{ID: id}, InstanceKind: instance.KindWorker, Pool: "p", Incarnation: l.Incarnation, Address: l.Address,
		Centre: centre, Rack: rackName, Cores: l.Cores, Memory: l.Memory, Accelerators: l.Accelerators,
	})
}

func (c *cluster) applyFleetRecord(body fleet.Body) {
	data, err := json.Marshal(body)
	require.NoError(c.t, err)
	v := c.fleet.Apply(c.fleetOffset, record.Envelope{Kind: body.Kind(), Time: c.clock.Now(), Body: data})
	require.Equal(c.t, stream.Applied, v)
	c.fleetOffset++
}

// everyEntry, set as the owner, gives each entry the lowest rank.
const everyEntry instance.ID = "everyone"

// Rank implements Ranker. The owner has the lowest rank for every decision.
func (e *entry) Rank(string) int {
	e.cluster.mu.Lock()
	defer e.cluster.mu.Unlock()
	if e.id == e.cluster.owner || e.cluster.owner == everyEntry {
		return 0
	}
	return 1
}

func (c *cluster) setOwner(id instance.ID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.owner = id
}

// start runs an entry. Its incarnation is the current time of the clock.
func (c *cluster) start(id instance.ID) *entry {
	ctx, cancel := context.WithCancel(context.Background())
	e := &entry{cluster: c, id: id, state: &State{}, cancel: cancel}
	service := &c.clock.Service
	e.follower = &stream.Follower{Log: c.log, Stream: record.StreamJob, State: e.state, Timer: service}
	writer := record.Writer{Entry: id, Incarnation: instance.Incarnation(c.clock.Now().UnixNano())}
	appender := &stream.Appender{Log: stdContextLog{c.log}, Stream: record.StreamJob, Writer: writer, Timer: service}
	e.proposer = &stream.Proposer{Appender: appender, Follower: e.follower}
	e.runner = &Runner{
		State: e.state, Fleet: c.fleet, Proposer: e.proposer, Follower: e.follower, Ranker: e, Timer: service,
		Teams: func() map[team.Name]team.Spec { return c.teams }, Dial: e.dial, Author: record.Author(id),
	}
	e.handler = NewHandler(HandlerOptions{
		State: e.state, Proposer: e.proposer, Follower: e.follower, Ready: e.follower.HasReachedHead, Timer: service, Author: record.Author(id),
		Settings: func() *config.Settings {
			return &config.Settings{Pools: map[pool.Name]pool.Spec{"p": {}}, Teams: c.teams}
		},
	})
	for _, run := range []func(context.Context) error{e.follower.Run, appender.Run, e.runner.Run} {
		e.done.Go(func() { _ = run(ctx) })
	}
	c.entries[id] = e
	c.t.Cleanup(e.stop)
	return e
}

func (e *entry) stop() {
	e.cancel()
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		e.done.Wait()
	}()
	e.cluster.advanceUntil(time.Minute, "stop of "+string(e.id), func() bool {
		select {
		case <-stopped:
			return true
		default:
			return false
		}
	})
}

func (e *entry) dial(address instance.Address) upstream.Worker {
	var client upstream.Worker = &interceptor{Worker: &upstream.WorkerClient{Address: address}, intercept: e.cluster.countCall}
	e.cluster.mu.Lock()
	defer e.cluster.mu.Unlock()
	if e.wrapClient != nil {
		client = e.wrapClient(address, client)
	}
	return client
}

// interceptor passes each call to a worker through intercept.
type interceptor struct {
	upstream.Worker
	intercept func(call string, do func() error) error
}

func (i *interceptor) Start(ctx context.Context, task upstream.Task) error {
	return i.intercept("start", func() error { return i.Worker.Start(ctx, task) })
}

func (i *interceptor) Renew(ctx context.Context, task upstream.TaskID, epoch upstream.Epoch, lease time.Duration) error {
	return i.intercept("renew", func() error { return i.Worker.Renew(ctx, task, epoch, lease) })
}

func (i *interceptor) Stop(ctx context.Context, task upstream.TaskID, epoch upstream.Epoch) error {
	return i.intercept("stop", func() error { return i.Worker.Stop(ctx, task, epoch) })
}

func (i *interceptor) Checkpoint(ctx context.Context, task upstream.TaskID, epoch upstream.Epoch) error {
	return i.intercept("checkpoint", func() error { return i.Worker.Checkpoint(ctx, task, epoch) })
}

func (i *interceptor) Tasks(ctx context.Context) (tasks []upstream.TaskStatus, err error) {
	err = i.intercept("tasks", func() error {
		tasks, err = i.Worker.Tasks(ctx)
		return err
	})
	return tasks, err
}

// countCall counts the calls in progress, so that the clock waits for them.
func (c *cluster) countCall(_ string, do func() error) error {
	c.callsInProgress.Add(1)
	defer c.callsInProgress.Add(-1)
	return do()
}

func (e *entry) setClientWrapper(wrap func(instance.Address, upstream.Worker) upstream.Worker) {
	e.cluster.mu.Lock()
	defer e.cluster.mu.Unlock()
	e.wrapClient = wrap
}

// advanceUntil advances the clock until the condition holds and returns the time this took. The test
// fails if it takes longer than the limit.
func (c *cluster) advanceUntil(limit time.Duration, what string, condition func() bool) time.Duration {
	c.t.Helper()
	from := c.clock.Now()
	for !condition() {
		require.LessOrEqual(c.t, c.clock.Since(from), limit, "waited too long for: %s", what)
		c.advance(clockStep)
	}
	return c.clock.Since(from)
}

// advance advances the clock by d and gives goroutines time to run.
func (c *cluster) advance(d time.Duration) {
	c.clock.Advance(d)
	// The real clock is used only to yield to other goroutines.
	var real timer.Service
	_ = real.Sleep(context.Background(), settleTime)
	for n := 0; n < maxCallSettles && c.callsInProgress.Load() > 0; n++ {
		_ = real.Sleep(context.Background(), settleTime)
	}
}

func (c *cluster) advanceFor(d time.Duration) {
	for range d / clockStep {
		c.advance(clockStep)
	}
}

// serveRequest sends a request to the handler and advances the clock until it is answered.
func (e *entry) serveRequest(method, path, body, key string) *httptest.ResponseRecorder {
	e.cluster.t.Helper()
	r := httptest.NewRequest(method, path, strings.NewReader(body))
	if key != "" {
		r.Header.Set(HeaderIdempotencyKey, key)
	}
	recorder := httptest.NewRecorder()
	done := make(chan struct{})
	go func() {
		defer close(done)
		e.handler.ServeHTTP(recorder, r)
	}()
	e.cluster.advanceUntil(20*time.Second, method+" "+path, func() bool {
		select {
		case <-done:
			return true
		default:
			return false
		}
	})
	return recorder
}

func newSpec(command string) Spec {
	return Spec{Pool: "p", Team: "red", Command: command, Size: Size{Cores: 4, Memory: 1024}, MaxAttempts: 3}
}

func (e *entry) submit(s Spec) ID {
	e.cluster.t.Helper()
	data, err := json.Marshal(s)
	require.NoError(e.cluster.t, err)
	got := e.serveRequest(http.MethodPost, PathPrefix, string(data), "")
	require.Equal(e.cluster.t, http.StatusAccepted, got.Code, got.Body)
	var response StatusResponse
	require.NoError(e.cluster.t, json.Unmarshal(got.Body.Bytes(), &response))
	return response.ID
}

func (e *entry) status(id ID) Status {
	j, _ := e.state.Job(id)
	return j.Status
}

func (e *entry) awaitStatus(limit time.Duration, id ID, status Status) time.Duration {
	e.cluster.t.Helper()
	return e.cluster.advanceUntil(limit, fmt.Sprint(id, " ", status), func() bool { return e.status(id) == status })
}

// startAndWait starts an entry and waits until it has read the log.
func (c *cluster) startAndWait(id instance.ID) *entry {
	e := c.start(id)
	c.advanceUntil(5*time.Second, "log read", e.follower.HasReachedHead)
	return e
}

// runsOf returns the runs of a job on all workers.
func (c *cluster) runsOf(id ID) []worker.RunRecord {
	var runs []worker.RunRecord
	for _, emulated := range c.workers {
		for _, r := range emulated.Journal() {
			if ID(r.Task) == id {
				runs = append(runs, r)
			}
		}
	}
	return runs
}
