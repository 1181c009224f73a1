package process_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hibiscuslane.example/hibiscuslane/event"
	"hibiscuslane.example/hibiscuslane/instance"
	"hibiscuslane.example/hibiscuslane/process"
	"hibiscuslane.example/hibiscuslane/settings"
	"hibiscuslane.example/hibiscuslane/standin/fabric"
	"hibiscuslane.example/hibiscuslane/timer"
)

const (
	// patience bounds waits for an effect. No verdict depends on how much of it is used.
	patience = 30 * time.Second
	poll     = 20 * time.Millisecond
	cores16  = 16000
	// turnBound is the time in which two entries may not give orders for one machine.
	turnBound = 4 * time.Second
)

// entry is an entry under test.
type entry struct {
	settings settings.Deployment
	stop     context.CancelFunc
	done     chan struct{}
	process  *process.Process
}

// world is an emulated platform with entries.
type world struct {
	*fabric.World
	t       testing.TB
	mu      sync.Mutex
	entries []*entry
	log     event.Log
}

func newWorld(t testing.TB) *world {
	t.Helper()
	w := &world{World: fabric.NewWorld(), t: t}
	if testing.Verbose() {
		w.log = event.NewLog(testWriter{t}, "test", "info", event.FormatText)
	}
	t.Cleanup(func() {
		w.stopAll()
		w.Close()
		if violations := w.Violations(); len(violations) > 0 {
			t.Errorf("violations: %s", strings.Join(violations, "; "))
		}
	})
	return w
}

type testWriter struct{ t testing.TB }

func (w testWriter) Write(line []byte) (int, error) {
	fmt.Print(string(line))
	return len(line), nil
}

func freeAddress(t testing.TB) instance.Address {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = l.Close() }()
	return instance.Address(l.Addr().String())
}

// start starts an entry and waits until it serves.
func (w *world) start(id string) *entry {
	w.t.Helper()
	return w.startAt(id, w.StoreAddress)
}

// startAt starts an entry that calls the store at the given address.
func (w *world) startAt(id, store string) *entry {
	w.t.Helper()
	e := &entry{settings: settings.Deployment{
		ID: instance.ID(id), Centre: "z1", Callers: freeAddress(w.t), Ready: freeAddress(w.t), Peers: freeAddress(w.t),
		Store: instance.Address(store), Fleet: instance.Address(w.FleetAddress), Cores: 1,
		Contract: settings.Contract{
			Grace: 5 * time.Second, MaxLease: 6 * time.Second,
			Status: time.Minute, Turn: turnBound, Move: 150 * time.Millisecond, Maintenance: 150 * time.Millisecond,
		},
	}}
	w.run(e)
	require.Eventually(w.t, func() bool { return w.ready(e) }, patience, poll, "entry %s is not ready", id)
	return e
}

func (w *world) run(e *entry) {
	ctx, cancel := context.WithCancel(context.Background())
	e.stop, e.done = cancel, make(chan struct{})
	e.process = process.New(e.settings, &timer.Service{}, w.log)
	w.mu.Lock()
	w.entries = append(w.entries, e)
	w.mu.Unlock()
	go func() {
		defer close(e.done)
		if err := e.process.Run(ctx); err != nil {
			w.t.Errorf("entry %s: %v", e.settings.ID, err)
		}
	}()
}

func (w *world) stopAll() {
	w.mu.Lock()
	entries := w.entries
	w.mu.Unlock()
	for _, e := range entries {
		e.stop()
	}
	for _, e := range entries {
		<-e.done
	}
}

func (w *world) ready(e *entry) bool {
	resp, err := http.Get("http://" + string(e.settings.Ready) + fabric.ReadyPath)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// call sends a request of a caller and returns status and body; status 0 means no answer.
func (w *world) call(e *entry, method, path, body string) (int, string) {
	w.t.Helper()
	req, err := http.NewRequest(method, "http://"+string(e.settings.Callers)+path, strings.NewReader(body))
	require.NoError(w.t, err)
	req.Host = "callers"
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, ""
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, ""
	}
	return resp.StatusCode, string(data)
}

// submit hands a job in until it is accepted.
func (w *world) submit(e *entry, pool, id, body string) {
	w.t.Helper()
	require.Eventually(w.t, func() bool {
		status, _ := w.call(e, http.MethodPost, "/"+pool+"/"+id, body)
		return status == http.StatusOK
	}, patience, poll, "job %s is not accepted", id)
}

func (w *world) state(e *entry, pool, id string) string {
	w.t.Helper()
	status, body := w.call(e, http.MethodGet, "/"+pool+"/"+id, "")
	return fmt.Sprintf("%d %s", status, body)
}

func (w *world) awaitDone(e *entry, pool, id string) {
	w.t.Helper()
	require.Eventually(w.t, func() bool { return w.state(e, pool, id) == fabric.Completed }, patience, poll, "job %s is not done", id)
}
