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

var start = time.Unix(1_700_000_000, 0).UTC()

const (
	step = 50 * time.Millisecond
	// settle is the real time that each step leaves to goroutines. Results depend on conditions, and
	// the steps only bound how long the manual time runs on before they hold.
	settle = 2 * time.Millisecond
	// callSettles bounds the wait for calls to workers, whose timeouts run on the manual time.
	callSettles = 50
)

// world is emulated workers, one log and any number of entries on a manual clock.
type world struct {
	t       *testing.T
	manual  *timer.Manual
	log     *appendlog.Log
	fleet   *fleet.State
	workers map[instance.ID]*worker.Worker
	saved   *worker.Checkpoints
	teams   map[team.Name]team.Spec
	entries map[instance.ID]*entry
	owner   instance.ID
	mu      sync.Mutex
	offset  record.Offset
	calls   atomic.Int64
}

// plainLog gives the emulated log a context of the standard library. Err of a clockwork context blocks
// until the context has ended, and the emulated log calls it.
type plainLog struct {
	*appendlog.Log
}

func (l plainLog) Append(ctx context.Context, name record.Stream, records []json.RawMessage) (record.Offset, error) {
	plain, cancel := context.WithCancel(context.Background())
	defer cancel()
	defer context.AfterFunc(ctx, cancel)()
	return l.Log.Append(plain, name, records)
}

// entry is one entry instance with its own state.
type entry struct {
	world    *world
	id       instance.ID
	state    *State
	follower *stream.Follower
	proposer *stream.Proposer
	runner   *Runner
	handler  *Handler
	cancel   context.CancelFunc
	done     sync.WaitGroup
	// wrap may replace the interface of the worker at an address.
	wrap func(instance.Address, upstream.Worker) upstream.Worker
}

func newWorld(t *testing.T, workers int) *world {
	w := &world{
		t: t, manual: timer.NewManual(start), fleet: &fleet.State{}, workers: map[instance.ID]*worker.Worker{},
		saved: &worker.Checkpoints{}, teams: map[team.Name]team.Spec{"red": {Weight: 1}, "blue": {Weight: 1}},
		entries: map[instance.ID]*entry{}, owner: "entry-1",
	}
	w.log = appendlog.New(appendlog.Retention{}, &w.manual.Service)
	t.Cleanup(w.log.Close)
	for n := range workers {
		w.addWorker(n)
	}
	return w
}

func (w *world) addWorker(n int) {
	id := instance.ID(fmt.Sprint("worker-", n))
	centre, rackName := site.DataCentre(fmt.Sprint("c", n%3)), site.Rack(fmt.Sprint("r", n/4))
	emulated, err := worker.Start(worker.Options{
		ID: id, Timer: &w.manual.Service, Checkpoints: w.saved, Lag: 500 * time.Millisecond,
		Listing: upstream.Listing{Centre: centre, Rack: rackName, Accelerators: 2},
	})
	require.NoError(w.t, err)
	w.t.Cleanup(func() { _ = emulated.Close() })
	w.workers[id] = emulated
	l := emulated.Listing()
	w.foldFleet(&fleet.Admit{
		RecordHeader: fleet.RecordHeader{ID: id}, InstanceKind: instance.KindWorker, Pool: "p", Incarnation: l.Incarnation, Address: l.Address,
		Centre: centre, Rack: rackName, Cores: l.Cores, Memory: l.Memory, Accelerators: l.Accelerators,
	})
}

func (w *world) foldFleet(body fleet.Body) {
	data, err := json.Marshal(body)
	require.NoError(w.t, err)
	v := w.fleet.Fold(w.offset, record.Envelope{Kind: body.Kind(), Time: w.manual.Now(), Body: data})
	require.Equal(w.t, stream.Applied, v)
	w.offset++
}

// everyone makes each entry believe that it has the lowest rank.
const everyone instance.ID = "everyone"

// Rank implements Ranker for an entry: the owner has the lowest rank for everything.
func (e *entry) Rank(string) int {
	e.world.mu.Lock()
	defer e.world.mu.Unlock()
	if e.id == e.world.owner || e.world.owner == everyone {
		return 0
	}
	return 1
}

func (w *world) setOwner(id instance.ID) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.owner = id
}

// start runs an entry. Its incarnation is the number of the start.
func (w *world) start(id instance.ID) *entry {
	ctx, cancel := context.WithCancel(context.Background())
	e := &entry{world: w, id: id, state: &State{}, cancel: cancel}
	service := &w.manual.Service
	e.follower = &stream.Follower{Log: w.log, Stream: record.StreamJob, Folder: e.state, Timer: service}
	writer := record.Writer{Entry: id, Incarnation: instance.Incarnation(w.manual.Now().UnixNano())}
	appender := &stream.Appender{Log: plainLog{w.log}, Stream: record.StreamJob, Writer: writer, Timer: service}
	e.proposer = &stream.Proposer{Appender: appender, Follower: e.follower}
	e.runner = &Runner{
		State: e.state, Fleet: w.fleet, Proposer: e.proposer, Follower: e.follower, Ranker: e, Timer: service,
		Teams: func() map[team.Name]team.Spec { return w.teams }, Dial: e.dial, Author: record.Author(id),
	}
	e.handler = NewHandler(Parts{
		State: e.state, Proposer: e.proposer, Follower: e.follower, Ready: e.follower.Current, Timer: service, Author: record.Author(id),
		Settings: func() *config.Settings {
			return &config.Settings{Pools: map[pool.Name]pool.Spec{"p": {}}, Teams: w.teams}
		},
	})
	for _, run := range []func(context.Context) error{e.follower.Run, appender.Run, e.runner.Run} {
		e.done.Go(func() { _ = run(ctx) })
	}
	w.entries[id] = e
	w.t.Cleanup(e.stop)
	return e
}

func (e *entry) stop() {
	e.cancel()
	stopped := make(chan struct{})
	go func() {
		defer close(stopped)
		e.done.Wait()
	}()
	e.world.until(time.Minute, "stop of "+string(e.id), func() bool {
		select {
		case <-stopped:
			return true
		default:
			return false
		}
	})
}

func (e *entry) dial(address instance.Address) upstream.Worker {
	var client upstream.Worker = &filter{Worker: &upstream.WorkerClient{Address: address}, around: e.world.count}
	e.world.mu.Lock()
	defer e.world.mu.Unlock()
	if e.wrap != nil {
		client = e.wrap(address, client)
	}
	return client
}

// filter passes each call through around.
type filter struct {
	upstream.Worker
	around func(call string, do func() error) error
}

func (f *filter) Start(ctx context.Context, task upstream.Task) error {
	return f.around("start", func() error { return f.Worker.Start(ctx, task) })
}

func (f *filter) Renew(ctx context.Context, task upstream.TaskID, epoch upstream.Epoch, lease time.Duration) error {
	return f.around("renew", func() error { return f.Worker.Renew(ctx, task, epoch, lease) })
}

func (f *filter) Stop(ctx context.Context, task upstream.TaskID, epoch upstream.Epoch) error {
	return f.around("stop", func() error { return f.Worker.Stop(ctx, task, epoch) })
}

func (f *filter) Checkpoint(ctx context.Context, task upstream.TaskID, epoch upstream.Epoch) error {
	return f.around("checkpoint", func() error { return f.Worker.Checkpoint(ctx, task, epoch) })
}

func (f *filter) Tasks(ctx context.Context) (tasks []upstream.TaskStatus, err error) {
	err = f.around("tasks", func() error {
		tasks, err = f.Worker.Tasks(ctx)
		return err
	})
	return tasks, err
}

// count counts the calls in progress, for which the manual time waits.
func (w *world) count(_ string, do func() error) error {
	w.calls.Add(1)
	defer w.calls.Add(-1)
	return do()
}

func (e *entry) setWrap(wrap func(instance.Address, upstream.Worker) upstream.Worker) {
	e.world.mu.Lock()
	defer e.world.mu.Unlock()
	e.wrap = wrap
}

// until advances the manual time until the condition holds, and returns the time that took. It fails
// after the limit.
func (w *world) until(limit time.Duration, what string, holds func() bool) time.Duration {
	w.t.Helper()
	from := w.manual.Now()
	for !holds() {
		require.LessOrEqual(w.t, w.manual.Since(from), limit, "waited too long for: %s", what)
		w.advance(step)
	}
	return w.manual.Since(from)
}

// advance moves the manual time in one step and lets goroutines run.
func (w *world) advance(d time.Duration) {
	w.manual.Advance(d)
	// The real clock only yields to other goroutines here.
	var real timer.Service
	_ = real.Sleep(context.Background(), settle)
	for n := 0; n < callSettles && w.calls.Load() > 0; n++ {
		_ = real.Sleep(context.Background(), settle)
	}
}

func (w *world) pass(d time.Duration) {
	for range d / step {
		w.advance(step)
	}
}

// call sends a request to the handler while the manual time advances.
func (e *entry) call(method, path, body, key string) *httptest.ResponseRecorder {
	e.world.t.Helper()
	r := httptest.NewRequest(method, path, strings.NewReader(body))
	if key != "" {
		r.Header.Set(HeaderKey, key)
	}
	recorder := httptest.NewRecorder()
	done := make(chan struct{})
	go func() {
		defer close(done)
		e.handler.ServeHTTP(recorder, r)
	}()
	e.world.until(20*time.Second, method+" "+path, func() bool {
		select {
		case <-done:
			return true
		default:
			return false
		}
	})
	return recorder
}

func spec(command string) Spec {
	return Spec{Pool: "p", Team: "red", Command: command, Size: Size{Cores: 4, Memory: 1024}, Limit: 3}
}

func (e *entry) submit(s Spec) ID {
	e.world.t.Helper()
	data, err := json.Marshal(s)
	require.NoError(e.world.t, err)
	got := e.call(http.MethodPost, Prefix, string(data), "")
	require.Equal(e.world.t, http.StatusAccepted, got.Code, got.Body)
	var a Answer
	require.NoError(e.world.t, json.Unmarshal(got.Body.Bytes(), &a))
	return a.ID
}

func (e *entry) status(id ID) Status {
	j, _ := e.state.Job(id)
	return j.Status
}

func (e *entry) awaitStatus(limit time.Duration, id ID, status Status) time.Duration {
	e.world.t.Helper()
	return e.world.until(limit, fmt.Sprint(id, " ", status), func() bool { return e.status(id) == status })
}

// ready starts an entry and waits until it acts.
func (w *world) ready(id instance.ID) *entry {
	e := w.start(id)
	w.until(5*time.Second, "log read", e.follower.Current)
	return e
}

// runs returns the runs of a job on all workers.
func (w *world) runs(id ID) []worker.Record {
	var runs []worker.Record
	for _, emulated := range w.workers {
		for _, r := range emulated.Journal() {
			if ID(r.Task) == id {
				runs = append(runs, r)
			}
		}
	}
	return runs
}
