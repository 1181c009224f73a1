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
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"hibiscuslane.example/hibiscuslane/standin/fabric"
)

const (
	readyTimeout = 20 * time.Second
	pollPeriod   = 20 * time.Millisecond
	callTimeout  = 3 * time.Second
	// missedHeartbeats is the number of heartbeat intervals of silence after which an entry is removed.
	missedHeartbeats = 3
)

// runRecord is one run of a task, as an executor saw it.
type runRecord struct {
	task, executor string
	run            int64
	began, ended   time.Time // ended is zero while the run lasts
	how            string
}

// bed holds the stand-ins of one script and the processes under test.
type bed struct {
	rec    *recorder
	dir    string // temporary
	binary string
	prefix string // the first two numbers of all loopback addresses
	store  *fabric.Store

	storeAddress, cloudAddress string
	cancel                     context.CancelFunc
	ctx                        context.Context

	mu        sync.Mutex
	executors []*executor
	// lives is the number of executors that have followed others on their machines.
	lives   int
	daemons []*daemon
	runs    []*runRecord
	// onStart is called, without the lock, when a run has started; nil if nothing is to happen then.
	onStart func(e *executor, r *runRecord)
}

// newBed starts the platform.
func newBed(rec *recorder, binary string) (*bed, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	b := &bed{rec: rec, dir: dir, binary: binary, prefix: fmt.Sprintf("127.%d.%d", 3+os.Getpid()%250, os.Getpid()/250%250), store: &fabric.Store{}}
	b.ctx, b.cancel = context.WithCancel(context.Background())
	b.store.Put("keyed.op", "note", []byte("{}")) // creates the topics that the system only reads
	if b.storeAddress, err = b.serve(b.store); err != nil {
		return nil, err
	}
	b.cloudAddress, err = b.serve(http.HandlerFunc(b.serveCloud))
	return b, err
}

func (b *bed) serve(h http.Handler) (string, error) {
	listener, err := (&net.ListenConfig{}).Listen(b.ctx, "tcp", b.prefix+".1:0")
	if err != nil {
		return "", err
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: time.Minute}
	go func() { _ = server.Serve(listener) }()
	go func() {
		<-b.ctx.Done()
		_ = server.Close()
	}()
	return listener.Addr().String(), nil
}

// currentExecutors returns the executors. A mutex of an executor may be held while that of the bed is locked, and not the other way
// round.
func (b *bed) currentExecutors() []*executor {
	b.mu.Lock()
	defer b.mu.Unlock()
	return slices.Clone(b.executors)
}

// serveCloud lists the machines. It refuses moves and upkeep, which no script needs.
func (b *bed) serveCloud(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != "/api/machines" {
		writeJSON(w, http.StatusConflict, map[string]string{"reason": "busy"})
		return
	}
	machines := []map[string]any{}
	for _, e := range b.currentExecutors() {
		e.mu.Lock()
		state := "up"
		if e.server == nil {
			state = "down"
		}
		machines = append(machines, map[string]any{
			"machine": e.machine, "pool": e.service, "state": state, "zone": "z1", "labels": []string{e.kind, e.rack},
			"capacity": map[string]int64{"cpu": 16000, "mem_mb": 65536, "gpu": 0}, "id": e.id,
		})
		e.mu.Unlock()
	}
	writeJSON(w, http.StatusOK, map[string]any{"machines": machines, "next_page_token": nil})
}

// publish writes a configuration with one queue.
func (b *bed) publish(version int) {
	data, _ := json.Marshal(map[string]any{
		"version": version, "limits": map[string]any{"max_body_bytes": 262144}, "services": []any{map[string]any{"name": service, "enforces_capacity": false}},
		"routes": []any{map[string]any{
			"name": "q-" + service, "host": service + ".example", "path_prefix": "/" + service + "/", "service": service, "timeout_ms": 3000,
			"target_latency_ms": 600, "stretch": 3, "priority": 0, "max_attempts": 3,
		}},
	})
	b.rec.log("the operator writes configuration %d", version)
	b.store.Put("keyed.op", "config", data)
}

// addExecutor starts an executor and registers it.
func (b *bed) addExecutor(kind string) (*executor, error) {
	b.mu.Lock()
	n := len(b.executors) + 1
	e := &executor{id: fmt.Sprintf("i-%d", n), machine: fmt.Sprintf("m-%d", n), rack: fmt.Sprintf("r1-%d", (n+3)/4), service: service, kind: kind, bed: b, address: fmt.Sprintf("%s.%d:0", b.prefix, 100+n)}
	b.executors = append(b.executors, e)
	b.mu.Unlock()
	if err := e.start(); err != nil {
		return nil, err
	}
	e.register()
	go e.beat(b.ctx)
	return e, nil
}

// succeed starts the next executor on the machine of one that has crashed. It has an id and an address of its own. The entry of the
// earlier one is removed after three heartbeat intervals.
func (b *bed) succeed(earlier *executor) error {
	b.mu.Lock()
	b.lives++
	e := &executor{id: fmt.Sprintf("i-%d", 100+b.lives), machine: earlier.machine, rack: earlier.rack, service: earlier.service, kind: earlier.kind, bed: b}
	e.address = earlier.address[:strings.LastIndexByte(earlier.address, ':')] + ":0"
	b.executors = append(slices.DeleteFunc(b.executors, func(o *executor) bool { return o == earlier }), e)
	b.mu.Unlock()
	time.AfterFunc(missedHeartbeats*heartbeatPeriod, func() { b.store.Put("keyed.servers", earlier.id, nil) })
	if err := e.start(); err != nil {
		return err
	}
	e.register()
	go e.beat(b.ctx)
	return nil
}

func (b *bed) runStarted(e *executor, r *activeRun, o order) {
	record := &runRecord{task: r.task, executor: e.id, run: r.run, began: r.began}
	b.mu.Lock()
	b.runs = append(b.runs, record)
	hook := b.onStart
	b.mu.Unlock()
	b.rec.log("executor %s starts %s run %d, token %d", e.id, r.task, r.run, o.FencingToken)
	if hook != nil {
		go hook(e, record)
	}
}

func (b *bed) runEnded(id string, r *activeRun, how string) {
	b.mu.Lock()
	for _, record := range b.runs {
		if record.task == r.task && record.run == r.run && record.executor == id && record.ended.IsZero() {
			record.ended, record.how = time.Now(), how
		}
	}
	b.mu.Unlock()
	b.rec.log("executor %s: %s run %d ends: %s", id, r.task, r.run, how)
}

// runsOf returns copies of the runs of a task so far.
func (b *bed) runsOf(task string) []runRecord {
	b.mu.Lock()
	defer b.mu.Unlock()
	var list []runRecord
	for _, r := range b.runs {
		if r.task == task {
			list = append(list, *r)
		}
	}
	return list
}

// daemon is a process under test.
type daemon struct {
	name, ip, callers, ready string
	settings                 string
	cmd                      *exec.Cmd
	done                     chan struct{}
}

// startDaemon starts a process with the settings of a small deployment.
func (b *bed) startDaemon() (*daemon, error) {
	n := len(b.daemons) + 1
	ip := fmt.Sprintf("%s.%d", b.prefix, 10+n)
	d := &daemon{name: "edge-z1-" + strconv.Itoa(n), ip: ip, callers: ip + ":8624", ready: ip + ":8622", settings: filepath.Join(b.dir, "local-"+strconv.Itoa(n)+".conf")}
	data, _ := json.Marshal(map[string]any{
		"node": d.name, "role": "entry", "machine_class": "edge", "serves": []string{"edge"}, "ip": ip, "zone": "z1", "region": "r1",
		"zones": map[string]string{"z1": "r1"}, "listen": map[string]string{"frontend_addr": d.callers, "readiness_addr": d.ready},
		"internal_ports": []int{7060, 7075}, "seeds": []string{}, "bootstrap": true, "heartbeat_ms": heartbeatPeriod.Milliseconds(),
		"limits": map[string]any{"cpu_share": 0.4, "cores": 1, "memory_mb": 284, "max_fds": 4100, "link_mbps": 1000.0, "disk_mb": 0}, "discovery": "platform", "entry": "vip",
		"contracts": []string{"base", "drain", "config", "cost", "recover", "sched", "platform", "advice", "upkeep", "sharing"},
		"bounds": map[string]any{
			"contact_ms": 3000, "ack_ms": 4000, "drain_ms": 2000, "grace_s": 6, "config_apply_ms": 2000, "max_hold_ms": maxHold.Milliseconds(), "stop_timeout_ms": 200, "gang_timeout_ms": 3000,
			"cancel_ms": 3000, "visible_ms": 3000, "early_ms": 250, "finish_s": 14, "status_s": 120, "move_s": 1.5, "maintenance_s": 2, "require_fencing": false, "lease_ms": 3000,
		},
		"orders": "invoke", "platform": map[string]any{"address": b.storeAddress, "form": "log", "writes_per_s": 800.0, "reads_per_s": 2000.0, "parts": 32, "record_bytes": 262144, "request_bytes": 2097152, "keep_s": 20},
		"cloud": map[string]any{"address": b.cloudAddress, "rate_per_s": 64.0, "duty_per_s": 64.0},
	})
	if err := os.WriteFile(d.settings, data, 0o600); err != nil {
		return nil, err
	}
	b.daemons = append(b.daemons, d)
	return d, b.launch(d)
}

// launch starts the process of a daemon, also again.
func (b *bed) launch(d *daemon) error {
	log, err := os.OpenFile(filepath.Join(b.dir, d.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	d.cmd = exec.CommandContext(b.ctx, b.binary, "run")
	d.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + b.dir, "HIBISCUSLANE_SETTINGS=" + d.settings, "GOMAXPROCS=1"}
	d.cmd.Stdout, d.cmd.Stderr = log, log
	if err := d.cmd.Start(); err != nil {
		return err
	}
	b.rec.log("process %s begins, id %d", d.name, d.cmd.Process.Pid)
	cmd, done := d.cmd, make(chan struct{})
	d.done = done
	go func() {
		_ = cmd.Wait()
		_ = log.Close()
		close(done)
	}()
	return nil
}

// awaitReady waits until a daemon answers the readiness check.
func (b *bed) awaitReady(d *daemon) error {
	for giveUp := time.Now().Add(readyTimeout); time.Now().Before(giveUp); time.Sleep(pollPeriod) {
		if status, _, _ := b.call(http.MethodGet, "http://"+d.ready+"/api/ready", "", nil); status == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("process %s is not ready in %s", d.name, readyTimeout)
}

// call sends one request. The status is zero if there is no answer.
func (b *bed) call(method, url, host string, body []byte) (int, string, error) {
	ctx, cancel := context.WithTimeout(b.ctx, callTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return 0, "", err
	}
	r.Host = host
	r.Header.Set("X-Deadline-Ms", strconv.FormatInt(callTimeout.Milliseconds(), 10))
	if body != nil {
		r.Header.Set("Content-Type", "application/json")
	}
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, "", err
	}
	defer func() { _ = response.Body.Close() }()
	data, err := io.ReadAll(response.Body)
	if err != nil {
		return 0, "", err
	}
	return response.StatusCode, string(data), nil
}

// jobURL returns the address of a job at a daemon.
func jobURL(d *daemon, id string) string {
	return "http://" + d.callers + "/" + service + "/" + id
}

// submit hands a job in until it is accepted, as a client does.
func (b *bed) submit(d *daemon, id string, job map[string]any) error {
	body, _ := json.Marshal(job)
	for range 20 {
		status, _, err := b.call(http.MethodPost, jobURL(d, id), service+".example", body)
		b.rec.log("client: POST %s to %s is answered %d %v", id, d.name, status, err)
		if status == http.StatusOK {
			return nil
		}
		time.Sleep(500 * time.Millisecond)
	}
	return fmt.Errorf("job %s was not accepted", id)
}

// state asks for the state of a job: that in the answer, or the status if it is not 200.
func (b *bed) state(d *daemon, id string) string {
	status, body, err := b.call(http.MethodGet, jobURL(d, id), service+".example", nil)
	if status != http.StatusOK {
		b.rec.log("client: GET %s at %s is answered %d %v", id, d.name, status, err)
		return strconv.Itoa(status)
	}
	var answer struct {
		State string `json:"state"`
	}
	_ = json.Unmarshal([]byte(body), &answer)
	b.rec.log("client: GET %s at %s is answered %s", id, d.name, body)
	return answer.State
}

// close ends all processes and stand-ins.
func (b *bed) close() {
	for _, d := range b.daemons {
		_ = d.cmd.Process.Signal(syscall.SIGCONT)
		_ = d.cmd.Process.Kill()
		<-d.done
	}
	b.cancel()
	for _, e := range b.currentExecutors() {
		e.crash()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(b.dir)
	}
}
