package soak_test

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// entry is an entry as a process of its own, with the settings file that the platform would write.
type entry struct {
	t        *testing.T
	binary   string
	name     string
	path     string // of the settings
	log      *os.File
	callers  string
	peers    string
	ready    string
	store    *proxy
	fleet    *proxy
	settings map[string]any

	mu      sync.Mutex
	command *exec.Cmd
	done    chan struct{}
	// ending is set while the process is to end; an end without it is a fault of the entry.
	ending bool
	exits  []string
}

// cores are what the settings of entries say of their processors, which decides who replaces an owner first. The
// smallest and the largest are those of the users' grown deployments.
var cores = []float64{0.4, 0.8, 0.192, 0.4, 0.192}

func freePort(t *testing.T, ip string) int {
	t.Helper()
	l, err := net.Listen("tcp", ip+":0")
	require.NoError(t, err)
	defer func() { _ = l.Close() }()
	return l.Addr().(*net.TCPAddr).Port
}

// newEntry prepares an entry at a loopback address of its own, since entries share the port of the metrics.
func newEntry(t *testing.T, binary, directory string, n int, store, fleet string) *entry {
	t.Helper()
	ip := fmt.Sprintf("127.0.1.%d", n+1)
	at := func() string { return fmt.Sprintf("%s:%d", ip, freePort(t, ip)) }
	port := freePort(t, ip)
	e := &entry{
		t: t, binary: binary, name: fmt.Sprintf("entry-%d", n+1), callers: at(), ready: at(), peers: fmt.Sprintf("%s:%d", ip, port),
		store: newProxy(t, store), fleet: newProxy(t, fleet),
	}
	e.path = filepath.Join(directory, e.name+".json")
	e.settings = map[string]any{
		"node": e.name, "zone": "z1", "ip": ip, "internal_ports": []int{port, port + 1},
		"listen":   map[string]string{"frontend_addr": e.callers, "readiness_addr": e.ready},
		"limits":   map[string]float64{"cpu_share": cores[n%len(cores)], "cores": 1},
		"platform": map[string]string{"address": e.store.address()}, "cloud": map[string]string{"address": e.fleet.address()},
		"bounds": map[string]float64{"grace_s": 5, "max_hold_ms": 6000, "status_s": 60, "lease_ms": float64(turnBound.Milliseconds()), "move_s": 0.15, "maintenance_s": 0.15},
	}
	e.configure(nil)
	log, err := os.Create(filepath.Join(directory, e.name+".log"))
	require.NoError(t, err)
	e.log = log
	return e
}

// configure writes the settings with other bounds.
func (e *entry) configure(bounds map[string]float64) {
	for name, value := range bounds {
		e.settings["bounds"].(map[string]float64)[name] = value
	}
	data, err := json.Marshal(e.settings)
	if err == nil {
		err = os.WriteFile(e.path, data, 0o600)
	}
	if err != nil {
		e.t.Errorf("settings of %s: %v", e.name, err)
	}
}

// start runs the process until it ends.
func (e *entry) start() {
	e.mu.Lock()
	defer e.mu.Unlock()
	command := exec.Command(e.binary, "run")
	command.Env = append(os.Environ(), "HIBISCUSLANE_SETTINGS="+e.path)
	command.Stdout, command.Stderr = e.log, e.log
	if err := command.Start(); err != nil {
		e.t.Errorf("start of %s: %v", e.name, err)
		return
	}
	done := make(chan struct{})
	e.command, e.done, e.ending = command, done, false
	go func() {
		err := command.Wait()
		e.mu.Lock()
		if !e.ending {
			e.exits = append(e.exits, fmt.Sprintf("%s ended by itself: %v", e.name, err))
		}
		e.mu.Unlock()
		close(done)
	}()
}

// signal sends a signal to the process.
func (e *entry) signal(s syscall.Signal) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if s == syscall.SIGTERM || s == syscall.SIGKILL {
		e.ending = true
	}
	_ = e.command.Process.Signal(s) // one that has ended needs none
}

// end ends the process with a signal, by force if it takes longer than its grace, and waits.
func (e *entry) end(s syscall.Signal) {
	e.signal(s)
	e.mu.Lock()
	done := e.done
	e.mu.Unlock()
	select {
	case <-done:
	case <-time.After(graceBound):
		e.mu.Lock()
		e.exits = append(e.exits, e.name+" outlived its grace period")
		e.mu.Unlock()
		e.signal(syscall.SIGKILL)
		<-done
	}
}
