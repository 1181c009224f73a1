package load

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"time"

	"github.com/prometheus/common/expfmt"
	"github.com/prometheus/common/model"

	"hibiscuslane.example/hibiscuslane/platform"
	"hibiscuslane.example/hibiscuslane/standin/fabric"
	"hibiscuslane.example/hibiscuslane/standin/port"
)

const (
	// readyTimeout limits the start of the entries, until all of them are ready for callers.
	readyTimeout = time.Minute
	readyPeriod  = 50 * time.Millisecond
	// samplePeriod is the interval at which metrics are read.
	samplePeriod = 500 * time.Millisecond
	// metricsPort is the port on which entries serve metrics, each at its own address.
	metricsPort = 9464
	// outputTimeout is how long a process that was killed may still be read from, if others hold its output open.
	outputTimeout = time.Second
	// clockTicks is the number of ticks a second in /proc/PID/stat, the same on all Linux systems in use.
	clockTicks = 100
)

// entry is a process of the program.
type entry struct {
	callers, ready, metrics string
	directory               string
	reserved                []*port.Reservation
	command                 *exec.Cmd
	exited                  chan struct{} // nil unless the process was started
}

// entryIP returns the loopback address of an entry, which no entry of another load that runs at the same time has.
func entryIP(n int) string {
	return fmt.Sprintf("127.%d.%d.%d", 64+os.Getpid()>>8&0x3f, os.Getpid()&0xff, n+1)
}

func metricsAddress(n int) string { return fmt.Sprintf("%s:%d", entryIP(n), metricsPort) }

// startEntry starts an entry on a loopback address of its own, with one processor. It calls ended if the process ends.
func startEntry(ctx context.Context, ended context.CancelCauseFunc, binary string, n int, p *fabric.Platform, logs io.Writer) (*entry, error) {
	ip := entryIP(n)
	e := &entry{metrics: "http://" + metricsAddress(n) + "/metrics"}
	// Another process that listens there would be read in place of the entry. The port can't be reserved while closed connections of
	// an earlier entry keep it.
	listener, err := (&net.ListenConfig{}).Listen(ctx, "tcp", metricsAddress(n))
	if err != nil {
		return nil, err
	}
	_ = listener.Close() // the error of closing a socket, which is not used again
	for range 3 {
		r, err := port.Reserve(ip + ":0")
		if err != nil {
			e.kill()
			return nil, err
		}
		e.reserved = append(e.reserved, r)
	}
	e.callers, e.ready = string(e.reserved[0].Address()), string(e.reserved[1].Address())
	peers := e.reserved[2].Port()
	settings, err := json.Marshal(map[string]any{
		"node": fmt.Sprintf("entry-%d", n+1), "zone": "z1", "ip": ip, "internal_ports": []int{peers, peers},
		"listen":   map[string]string{"frontend_addr": e.callers, "readiness_addr": e.ready},
		"limits":   map[string]float64{"cpu_share": 0.8, "cores": 1},
		"platform": map[string]string{"address": p.StoreAddress}, "cloud": map[string]string{"address": p.FleetAddress},
	})
	if err == nil {
		e.directory, err = os.MkdirTemp("", "load")
	}
	path := filepath.Join(e.directory, "settings.json")
	if err == nil {
		err = os.WriteFile(path, settings, 0o600)
	}
	if err == nil {
		e.command = exec.CommandContext(ctx, binary, "run", "--log", "warn") // the program to measure, which the caller names
		e.command.Env = append(os.Environ(), platform.SettingsVariable+"="+path, "GOMAXPROCS=1")
		e.command.Stdout, e.command.Stderr, e.command.WaitDelay = logs, logs, outputTimeout
		err = e.command.Start()
	}
	if err != nil {
		e.kill()
		return nil, err
	}
	e.exited = make(chan struct{})
	go func() {
		_ = e.command.Wait() // the state of the process says the same
		ended(&EndedError{Entry: n + 1, State: e.command.ProcessState.String()})
		close(e.exited)
	}()
	return e, nil
}

// kill ends the process and releases what belongs to it.
func (e *entry) kill() {
	if e.exited != nil {
		_ = e.command.Process.Kill() // the error says that it has ended
		<-e.exited
	}
	for _, r := range e.reserved {
		_ = r.Close() // the error of closing a socket, which is not used again
	}
	if e.directory != "" {
		_ = os.RemoveAll(e.directory) // a file less or more in the directory for temporary files
	}
}

// processorTime returns the processor time that the process has used, and 0 once it has ended.
func (e *entry) processorTime() time.Duration {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", e.command.Process.Pid))
	if err != nil {
		return 0
	}
	_, rest, _ := strings.Cut(string(stat), ") ")
	fields := strings.Fields(rest)
	const user, system = 11, 12 // after the name of the program
	if len(fields) <= system {
		return 0
	}
	ticks := 0
	for _, field := range fields[user : system+1] {
		n, _ := strconv.Atoi(field) // written by the system
		ticks += n
	}
	return time.Duration(ticks) * time.Second / clockTicks
}

// peakMemory returns the peak of the resident memory in MB, and 0 once the process has ended.
func (e *entry) peakMemory() float64 {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", e.command.Process.Pid))
	if err != nil {
		return 0
	}
	_, rest, _ := strings.Cut(string(status), "VmHWM:")
	var kilobytes float64
	_, _ = fmt.Sscanf(rest, "%f kB", &kilobytes) // 0 without a figure
	return kilobytes / 1024
}

func (m *measurement) processorTimes() []time.Duration {
	var times []time.Duration
	for _, e := range m.entries {
		times = append(times, e.processorTime())
	}
	return times
}

// errNotReady reports that the entries did not become ready.
var errNotReady = errors.New("not all entries became ready")

// EndedError reports an entry whose process has ended.
type EndedError struct {
	Entry int
	State string
}

func (e *EndedError) Error() string { return fmt.Sprintf("entry-%d has ended: %s", e.Entry, e.State) }

// waitReady waits until all entries are ready for callers.
func (m *measurement) waitReady(ctx context.Context) error {
	client := &http.Client{Timeout: callTimeout}
	for giveUp := time.Now().Add(readyTimeout); time.Now().Before(giveUp) && ctx.Err() == nil; sleep(ctx, readyPeriod) {
		ready := 0
		for _, e := range m.entries {
			if status, _, _ := request(ctx, client, http.MethodGet, "http://"+e.ready+fabric.ReadyPath, ""); status == http.StatusOK {
				ready++
			}
		}
		if ready == len(m.entries) {
			return nil
		}
	}
	return cmp.Or(context.Cause(ctx), errNotReady)
}

// sample reads the metrics of the entries until ctx ends.
func (m *measurement) sample(ctx context.Context) {
	client := &http.Client{Timeout: callTimeout}
	ticker := time.NewTicker(samplePeriod)
	defer ticker.Stop()
	for {
		for _, e := range m.entries {
			if margin, ok := leaseMargin(ctx, client, e.metrics); ok {
				m.mu.Lock()
				if m.result.LeaseMargin == 0 || margin < m.result.LeaseMargin {
					m.result.LeaseMargin = margin
				}
				m.mu.Unlock()
			}
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// leaseMargin returns the metric lease_margin, which only the owner has.
func leaseMargin(ctx context.Context, client *http.Client, url string) (float64, bool) {
	status, body, _ := request(ctx, client, http.MethodGet, url, "")
	if status != http.StatusOK {
		return 0, false
	}
	parser := expfmt.NewTextParser(model.UTF8Validation)
	families, err := parser.TextToMetricFamilies(strings.NewReader(body))
	if err != nil {
		return 0, false
	}
	for _, sample := range families["hibiscuslane_lease_margin"].GetMetric() {
		return sample.GetGauge().GetValue(), true
	}
	return 0, false
}
