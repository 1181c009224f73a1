package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"hibiscuslane.example/hibiscuslane/standin/port"
)

// loopback is the address of the stand-ins.
const loopback = "127.0.0.1"

// program is what the deploy file builds and starts.
const (
	program        = "target/hibiscuslane"
	programCommand = "run"
)

// callHost is the host of the only queue, and queuePrefix its path.
const (
	callHost     = "callers.example"
	queuePrefix  = "/desk/"
	poolName     = "desk"
	maxAttempts  = 3
	callTimeout  = 3 * time.Second
	retryPause   = 200 * time.Millisecond
	acceptWithin = 30 * time.Second
	// entryPorts is the number of addresses that an entry listens on: for callers, the readiness check and peers.
	entryPorts = 3
	// workerCPU is the capacity of a worker in thousandths of a core.
	workerCPU = 16000
)

// rig is a small deployment: entries as processes, and stand-ins for everything else.
type rig struct {
	rec     *record
	dir     string
	store   *store
	fleet   *fleet
	servers []*http.Server
	entries []*entry

	storeAddress, cloudAddress string
}

// entry is one process of the program.
type entry struct {
	rig                  *rig
	name, ip             string
	callers, ready, peer string
	settings             string
	cmd                  *exec.Cmd
	ended                chan struct{}
}

func newRig(rec *record) *rig { return &rig{rec: rec} }

// reservations keeps the ports of entries and workers, which start late and again, until the program ends.
var reservations struct {
	sync.Mutex
	list []*port.Reservation
}

// freeAddresses returns addresses with ports that are free, all different.
func freeAddresses(ip string, count int) ([]string, error) {
	reservations.Lock()
	defer reservations.Unlock()
	var addresses []string
	for range count {
		r, err := port.Reserve(ip + ":0")
		if err != nil {
			return nil, err
		}
		reservations.list = append(reservations.list, r)
		addresses = append(addresses, string(r.Address()))
	}
	return addresses, nil
}

// serve starts a stand-in and returns its address.
func (r *rig) serve(handler http.Handler) (string, error) {
	var config net.ListenConfig
	listener, err := config.Listen(context.Background(), "tcp", loopback+":0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute}
	r.servers = append(r.servers, server)
	go func() { _ = server.Serve(listener) }()
	return listener.Addr().String(), nil
}

// start starts the stand-ins, the workers and the entries, and waits until all entries are ready.
func (r *rig) start(ctx context.Context, entries, workers int) error {
	var err error
	if r.dir, err = os.MkdirTemp("", "rig"); err != nil {
		return err
	}
	r.store = newStore(r.rec)
	r.fleet = newFleet(r.rec, r.store, poolName)
	if r.storeAddress, err = r.serve(r.store); err != nil {
		return err
	}
	if r.cloudAddress, err = r.serve(r.fleet); err != nil {
		return err
	}
	config, _ := json.Marshal(map[string]any{
		"version": 1, "limits": map[string]any{"max_body_bytes": 1 << 20},
		"routes":   []map[string]any{{"name": "q-desk", "host": callHost, "path_prefix": queuePrefix, "type": "non_idempotent", "timeout_ms": 3000, "service": poolName, "priority": 0, "max_attempts": maxAttempts, "stretch": 1.6, "target_latency_ms": 600}},
		"services": []map[string]any{{"name": poolName, "enforces_capacity": false, "spare": false}},
	})
	r.store.put("keyed.op", "config", config)
	for range workers {
		if _, err := r.fleet.addWorker(workerCPU); err != nil {
			return err
		}
	}
	for i := range entries {
		if err := r.startEntry(ctx, i); err != nil {
			return err
		}
	}
	return r.awaitReady(ctx)
}

// startEntry starts an entry with an address of its own, as instances have.
func (r *rig) startEntry(ctx context.Context, index int) error {
	pid := os.Getpid()
	e := &entry{rig: r, name: fmt.Sprintf("edge-z1-%d", index+1), ip: fmt.Sprintf("127.%d.%d.%d", 10+pid/250%200, 1+pid%250, 10+index), ended: make(chan struct{})}
	addresses, err := freeAddresses(e.ip, entryPorts)
	if err != nil {
		return err
	}
	e.callers, e.ready, e.peer = addresses[0], addresses[1], addresses[2]
	data, _ := json.Marshal(e.values())
	e.settings = filepath.Join(r.dir, e.name+".json")
	const ownerOnly = 0o600
	if err := os.WriteFile(e.settings, data, ownerOnly); err != nil {
		return err
	}
	logs, err := os.Create(filepath.Join(r.dir, e.name+".log"))
	if err != nil {
		return err
	}
	e.cmd = exec.CommandContext(ctx, program, programCommand)
	e.cmd.Env = []string{"HIBISCUSLANE_SETTINGS=" + e.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + r.dir}
	e.cmd.Stdout, e.cmd.Stderr = logs, logs
	if err := e.cmd.Start(); err != nil {
		return err
	}
	r.rec.add("entry %s starts", e.name)
	r.entries = append(r.entries, e)
	go func() {
		err := e.cmd.Wait()
		r.rec.add("entry %s has ended: %v", e.name, err)
		_ = logs.Close()
		close(e.ended)
	}()
	return nil
}

// values returns the settings of the entry, with the fields of the platform and those bounds that a small site has.
func (e *entry) values() map[string]any {
	_, port, _ := net.SplitHostPort(e.peer)
	var first int
	_, _ = fmt.Sscan(port, &first)
	return map[string]any{
		"node": e.name, "role": "entry", "machine_class": "edge", "serves": []string{"edge"}, "ip": e.ip, "zone": "z1", "region": "r1", "zones": map[string]string{"z1": "r1"},
		"listen":         map[string]string{"frontend_addr": e.callers, "readiness_addr": e.ready},
		"internal_ports": []int{first, first}, "seeds": []string{}, "bootstrap": true, "discovery": "platform", "entry": "vip", "heartbeat_ms": 1500,
		"limits": map[string]any{"cpu_share": 0.4, "cores": 1, "memory_mb": 284, "max_fds": 4100, "link_mbps": 1000.0}, "orders": "invoke",
		"platform": map[string]any{"address": e.rig.storeAddress, "form": "log", "writes_per_s": 800, "reads_per_s": 2000, "parts": 32, "append_ms": 2.0, "record_bytes": maxRecordBytes, "request_bytes": maxRequestBytes, "keep_s": 300, "partition_mb": 200},
		"cloud":    map[string]any{"address": e.rig.cloudAddress, "rate_per_s": 64.0, "duty_per_s": 64.0},
		"bounds": map[string]any{
			"contact_ms": 3000, "ack_ms": 4000, "grace_s": 6, "config_apply_ms": 2000, "max_hold_ms": maxHold.Milliseconds(), "stop_timeout_ms": 200, "cancel_ms": 3000, "visible_ms": 3000,
			"finish_s": 14, "status_s": 120, "move_s": 1.5, "maintenance_s": 2, "lease_ms": 3000, "require_fencing": false,
		},
	}
}

// awaitReady waits until every entry is ready.
func (r *rig) awaitReady(ctx context.Context) error {
	for {
		ready := 0
		for _, e := range r.entries {
			if e.isReady(ctx) {
				ready++
			}
		}
		if ready == len(r.entries) {
			r.rec.add("all %d entries are ready", ready)
			return nil
		}
		if err := pause(ctx, retryPause); err != nil {
			return fmt.Errorf("%d of %d entries are ready: %w", ready, len(r.entries), err)
		}
	}
}

func (e *entry) isReady(ctx context.Context) bool {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+e.ready+"/api/ready", nil)
	if err != nil {
		return false
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// pause waits for d or returns the error of ctx.
func pause(ctx context.Context, d time.Duration) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(d):
		return nil
	}
}

// owner returns the entry that holds the newest claim, or nil.
func (r *rig) owner() *entry {
	address := r.store.ownerAddress()
	for _, e := range r.entries {
		if e.peer == address {
			return e
		}
	}
	return nil
}

// signal sends a signal to the process of the entry.
func (e *entry) signal(s syscall.Signal) error {
	e.rig.rec.add("entry %s gets signal %s", e.name, s)
	return e.cmd.Process.Signal(s)
}

// freeze stops the process of the entry for d.
func (e *entry) freeze(ctx context.Context, d time.Duration) error {
	if err := e.signal(syscall.SIGSTOP); err != nil {
		return err
	}
	err := pause(ctx, d)
	if resumeErr := e.signal(syscall.SIGCONT); resumeErr != nil {
		return resumeErr
	}
	return err
}

// call sends a caller's request to an entry. It returns status 0 if there is no answer.
func (r *rig) call(ctx context.Context, e *entry, method, path, body string) (int, string) {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(callCtx, method, "http://"+e.callers+path, bytes.NewReader([]byte(body)))
	if err != nil {
		return 0, err.Error()
	}
	request.Host = callHost
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("X-Deadline-Ms", fmt.Sprint(callTimeout.Milliseconds()))
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		r.rec.add("%s %s to %s: no answer: %v", method, path, e.name, err)
		return 0, ""
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		r.rec.add("%s %s to %s: broken answer: %v", method, path, e.name, err)
		return 0, ""
	}
	r.rec.add("%s %s to %s: %d %s", method, path, e.name, response.StatusCode, strings.TrimSpace(string(data)))
	return response.StatusCode, strings.TrimSpace(string(data))
}

// submit hands in a job, at one entry after the other, until it is accepted.
func (r *rig) submit(ctx context.Context, id, body string) error {
	until := time.Now().Add(acceptWithin)
	for i := 0; time.Now().Before(until); i++ {
		status, _ := r.call(ctx, r.entries[i%len(r.entries)], http.MethodPost, queuePrefix+id, body)
		if status >= http.StatusOK && status < http.StatusMultipleChoices {
			return nil
		}
		if err := pause(ctx, retryPause); err != nil {
			return err
		}
	}
	return fmt.Errorf("job %s was not accepted within %s", id, acceptWithin)
}

// state asks one entry after the other for the state of a job until it is shown, for at most the given time. It returns
// "gone" after a 410 and an empty string if no entry answers.
func (r *rig) state(ctx context.Context, id string, within time.Duration) string {
	until := time.Now().Add(within)
	for i := 0; ; i++ {
		status, body := r.call(ctx, r.entries[i%len(r.entries)], http.MethodGet, queuePrefix+id, "")
		var answer struct {
			State string `json:"state"`
		}
		if status == http.StatusGone {
			return "gone"
		}
		if status == http.StatusOK && json.Unmarshal([]byte(body), &answer) == nil {
			return answer.State
		}
		if time.Now().After(until) || pause(ctx, retryPause) != nil {
			return ""
		}
	}
}

// awaitState waits until a job is shown as ended, for at most the given time, and returns the last state.
func (r *rig) awaitState(ctx context.Context, id string, within time.Duration) string {
	until := time.Now().Add(within)
	for {
		state := r.state(ctx, id, time.Second)
		if state == "completed" || state == "failed" || state == "cancelled" || state == "gone" || time.Now().After(until) {
			return state
		}
		if pause(ctx, retryPause) != nil {
			return state
		}
	}
}

// close ends all processes and stand-ins.
func (r *rig) close() {
	for _, e := range r.entries {
		_ = e.cmd.Process.Kill()
		<-e.ended
	}
	if r.fleet != nil {
		r.fleet.close()
	}
	for _, s := range r.servers {
		_ = s.Close()
	}
	if r.dir != "" && os.Getenv("RIG_KEEP") == "" {
		_ = os.RemoveAll(r.dir)
	} else {
		r.rec.add("logs kept")
		fmt.Fprintln(os.Stderr, "logs in", r.dir)
	}
}
