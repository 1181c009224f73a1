package entry

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hibiscuslane.example/hibiscuslane/config"
	"hibiscuslane.example/hibiscuslane/fleet"
	"hibiscuslane.example/hibiscuslane/instance"
	"hibiscuslane.example/hibiscuslane/pool"
	"hibiscuslane.example/hibiscuslane/record"
	"hibiscuslane.example/hibiscuslane/settings"
	"hibiscuslane.example/hibiscuslane/site"
	standin "hibiscuslane.example/hibiscuslane/standin/platform"
	"hibiscuslane.example/hibiscuslane/standin/target"
	"hibiscuslane.example/hibiscuslane/upstream"
)

const (
	processSites = 14
	// processPool is the mean number of workers in a pool at the target size.
	processPool    = 23
	processTargets = 6
	// settleTime lets the snapshots and plans of the start pass before the measurement.
	settleTime = 4 * time.Second
	// idleTime covers one check of the snapshots, which are 10 s apart.
	idleTime = 10 * time.Second
	loadTime = 4 * time.Second
	// tick is the unit of processor time in /proc.
	tick = 10 * time.Millisecond
)

// BenchmarkProcess starts the program as a process of its own against the emulated platform, and reports
// its resident memory, its processor time and its bytes to and from the platform, idle and under a
// bounded load. Each measurement takes a fixed time, so run it with -benchtime 1x. It needs /proc.
func BenchmarkProcess(b *testing.B) {
	binary := filepath.Join(b.TempDir(), "hibiscuslane")
	output, err := exec.CommandContext(b.Context(), "go", "build", "-o", binary, "..").CombinedOutput()
	require.NoError(b, err, string(output))
	for _, instances := range []int{100, 1000, 6600} {
		b.Run(fmt.Sprintf("instances=%d", instances), func(b *testing.B) {
			for b.Loop() {
			}
			measureProcess(b, binary, instances)
			b.ReportMetric(0, "ns/op")
		})
	}
}

func measureProcess(b *testing.B, binary string, instances int) {
	server, err := standin.Start(standin.Options{})
	require.NoError(b, err)
	defer func() { _ = server.Close() }()
	fill(b, server, instances)
	p := startProcess(b, binary, server.URL())
	defer p.end(b)
	pause(settleTime)
	idle := p.during(b, func() { pause(idleTime) })
	b.ReportMetric(idle.cpu.Seconds()/idleTime.Seconds()*100, "idle-core-%")
	b.ReportMetric(float64(idle.wire)/idleTime.Seconds(), "idle-platform-B/s")
	b.ReportMetric(float64(p.resident(b))/1e6, "idle-RSS-MB")
	for _, rate := range []int{200, 1000} {
		answered := 0
		loaded := p.during(b, func() { answered = p.load(b, rate) })
		b.ReportMetric(loaded.cpu.Seconds()/loadTime.Seconds()*100, fmt.Sprintf("core-%%@%d/s", rate))
		b.ReportMetric(float64(answered)/loadTime.Seconds(), fmt.Sprintf("answered/s@%d/s", rate))
	}
	b.ReportMetric(float64(p.resident(b))/1e6, "load-RSS-MB")
}

// pause waits for real time to pass, which is what the processor time is measured over.
func pause(d time.Duration) { <-time.After(d) }

// fill puts the configuration and the fleet into the log, and the instances into the list.
func fill(b *testing.B, server *standin.Server, instances int) {
	pools := max(1, min(290, instances/processPool))
	sites := make([]map[string]any, processSites)
	for n := range sites {
		sites[n] = map[string]any{}
	}
	var bodies []fleet.Body
	add := func(l upstream.Instance, name pool.Name) {
		l.Incarnation, l.State = 1, upstream.StateLive
		server.Directory.SetEntry(l, true)
		bodies = append(bodies, &fleet.Admit{
			RecordHeader: fleet.RecordHeader{ID: l.ID}, InstanceKind: l.Kind, Pool: name, Incarnation: 1, Address: l.Address,
			Centre: l.Centre, Rack: l.Rack, Cores: l.Cores, Memory: l.Memory,
		})
	}
	counts := map[string]int{}
	for n := range instances {
		centre, name := n%processSites, fmt.Sprint("pool-", n/processSites%pools)
		counts[fmt.Sprint(centre, "/", name)]++
		workers := counts[fmt.Sprint(centre, "/", name)]
		sites[centre][name] = map[string]any{"size": map[string]int{"workers": workers}, "budget": map[string]int{"workers": workers * 3 / 4}}
		add(upstream.Instance{
			ID: instance.ID(fmt.Sprintf("worker-%06d", n)), Kind: instance.KindWorker, Address: "127.0.0.1:1",
			Centre: processCentre(centre), Rack: site.Rack(fmt.Sprint("rack-", n/processSites/4)), Cores: 32, Memory: 128 << 10,
		}, pool.Name(name))
	}
	sites[0]["web"] = map[string]any{"size": map[string]int{"targets": processTargets}, "budget": map[string]int{"targets": 1}}
	for n := range processTargets {
		l := upstream.Instance{ID: instance.ID(fmt.Sprint("target-", n)), Kind: instance.KindTarget, Centre: processCentre(0), Rack: "web"}
		machine, err := target.Start(target.Options{Listing: l})
		require.NoError(b, err)
		b.Cleanup(func() { _ = machine.Close() })
		l.Address = machine.Listing().Address
		add(l, "web")
	}
	writeRecords(b, server, record.StreamConfig, []any{processConfig(b, pools, sites)}, func(any) record.Kind { return config.KindPublish })
	records := make([]any, len(bodies))
	for n := range bodies {
		records[n] = bodies[n]
	}
	writeRecords(b, server, record.StreamFleet, records, func(body any) record.Kind { return body.(fleet.Body).Kind() })
}

func processCentre(n int) site.DataCentre { return site.DataCentre(fmt.Sprintf("centre-%02d", n)) }

func processConfig(b *testing.B, pools int, sites []map[string]any) config.Publish {
	none := map[string]int{"targets": 0, "workers": 0}
	spec := map[string]any{"size": none, "budget": none, "slots": 8, "connections": 64, "queue": 256, "timeout": 10_000}
	specs := map[string]any{"web": spec}
	for n := range pools {
		specs[fmt.Sprint("pool-", n)] = spec
	}
	base := map[string]any{
		"pools": specs, "teams": map[string]any{"default": map[string]any{"weight": 1}}, "routes": []config.Route{{Prefix: "/", Pool: "web"}},
		"weights": config.Weights{Buffer: 1}, "maintenance": config.Maintenance{},
	}
	files := map[config.File]any{config.BaseFile: base}
	for n, pools := range sites {
		files[config.File("site/"+string(processCentre(n)))] = map[string]any{"region": "north", "pools": pools}
	}
	var contents []config.FileContent
	publish := config.Publish{Reason: "benchmark"}
	for name, content := range files {
		data, err := json.Marshal(content)
		require.NoError(b, err)
		publish.Files = append(publish.Files, config.FileChange{Name: name, BaseVersion: config.NoVersion, Content: data})
		contents = append(contents, config.FileContent{Name: name, Data: data})
	}
	require.NoError(b, config.Check(contents))
	return publish
}

func writeRecords(b *testing.B, server *standin.Server, name record.Stream, bodies []any, kind func(any) record.Kind) {
	var records []json.RawMessage
	for n, body := range bodies {
		data, err := json.Marshal(body)
		require.NoError(b, err)
		id := record.ID{Writer: record.Writer{Entry: "bench", Incarnation: 1}, Sequence: record.Sequence(n + 1)}
		stored, err := record.Encode(record.Envelope{ID: id, Kind: kind(body), Time: time.Now(), Author: "bench", Body: data})
		require.NoError(b, err)
		records = append(records, stored)
	}
	_, err := server.Log.Append(b.Context(), name, records)
	require.NoError(b, err)
}

// process is a running entry whose connections to the platform pass through a counter.
type process struct {
	command        *exec.Cmd
	callers, admin string
	wire           *atomic.Int64
	// log receives the events after the start.
	log sync.WaitGroup
}

// startProcess starts the program and waits until it is ready.
func startProcess(b *testing.B, binary, platformURL string) *process {
	p := &process{wire: &atomic.Int64{}}
	s := settings.Settings{
		ID: "entry-1", Centre: processCentre(0), Listen: settings.Listen{Callers: "127.0.0.1:0", Peers: "127.0.0.1:0", Admin: "127.0.0.1:0"},
		Platform: settings.Platform{BaseURL: "http://" + relay(b, strings.TrimPrefix(platformURL, "http://"), p.wire), RetentionMillis: settings.DefaultRetentionMillis},
		Log:      settings.Log{Level: "info", Format: "json"}, StopMillis: 5000,
	}
	data, err := json.Marshal(s)
	require.NoError(b, err)
	path := filepath.Join(b.TempDir(), "settings.json")
	require.NoError(b, os.WriteFile(path, data, 0o600))
	p.command = exec.CommandContext(b.Context(), binary, "serve", "--settings", path)
	stderr, err := p.command.StderrPipe()
	require.NoError(b, err)
	require.NoError(b, p.command.Start())
	events := bufio.NewReader(stderr)
	var listens struct{ Callers, Admin net.TCPAddr }
	for listens.Callers.Port == 0 {
		line, err := events.ReadBytes('\n')
		require.NoError(b, err)
		require.NoError(b, json.Unmarshal(line, &listens), string(line))
	}
	p.callers, p.admin = listens.Callers.String(), listens.Admin.String()
	p.log.Go(func() { _, _ = io.Copy(io.Discard, events) })
	require.Eventually(b, func() bool {
		response, err := http.Get("http://" + p.admin + "/ready")
		if err != nil {
			return false
		}
		_ = response.Body.Close()
		return response.StatusCode == http.StatusOK
	}, patience, 10*time.Millisecond)
	return p
}

func (p *process) end(b *testing.B) {
	require.NoError(b, p.command.Process.Signal(syscall.SIGTERM))
	p.log.Wait()
	_ = p.command.Wait()
}

// relay forwards connections to an address and counts the bytes in both directions.
func relay(b *testing.B, to string, count *atomic.Int64) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(b, err)
	b.Cleanup(func() { _ = listener.Close() })
	pass := func(from, into net.Conn) {
		defer func() { _ = into.Close() }()
		buffer := make([]byte, 64<<10)
		for {
			n, err := from.Read(buffer)
			count.Add(int64(n))
			if _, failed := into.Write(buffer[:n]); err != nil || failed != nil {
				return
			}
		}
	}
	go func() {
		for {
			near, err := listener.Accept()
			if err != nil {
				return
			}
			far, err := net.Dial("tcp", to)
			if err != nil {
				_ = near.Close()
				continue
			}
			go pass(near, far)
			go pass(far, near)
		}
	}()
	return listener.Addr().String()
}

// used is what a process used in a time.
type used struct {
	cpu  time.Duration
	wire int64
}

func (p *process) during(b *testing.B, f func()) used {
	cpu, wire := p.cpu(b), p.wire.Load()
	f()
	return used{cpu: p.cpu(b) - cpu, wire: p.wire.Load() - wire}
}

// cpu returns the user and system time of the process.
func (p *process) cpu(b *testing.B) time.Duration {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.command.Process.Pid))
	require.NoError(b, err)
	// The fields after the name start with the state, the third field; utime and stime are the 14th and 15th.
	fields := strings.Fields(string(data[bytes.LastIndexByte(data, ')')+1:]))
	user, err := strconv.Atoi(fields[11])
	require.NoError(b, err)
	system, err := strconv.Atoi(fields[12])
	require.NoError(b, err)
	return time.Duration(user+system) * tick
}

// resident returns the resident memory of the process in bytes.
func (p *process) resident(b *testing.B) int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", p.command.Process.Pid))
	require.NoError(b, err)
	pages, err := strconv.Atoi(strings.Fields(string(data))[1])
	require.NoError(b, err)
	return pages * os.Getpagesize()
}

// load sends requests at a rate for loadTime and returns how many were answered.
func (p *process) load(b *testing.B, rate int) int {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	defer client.CloseIdleConnections()
	var answered atomic.Int64
	var wait sync.WaitGroup
	begin := time.Now()
	for n := range rate * int(loadTime/time.Second) {
		pause(time.Until(begin.Add(time.Duration(n) * time.Second / time.Duration(rate))))
		wait.Go(func() {
			status, err := send(client, 0, func(int) (*http.Request, error) {
				r, err := http.NewRequest(http.MethodPost, "http://"+p.callers+"/pay", bytes.NewReader(make([]byte, benchBody)))
				if err == nil {
					r.Header.Set("Hibiscuslane-Team", "default")
				}
				return r, err
			})
			if err == nil && status == http.StatusOK {
				answered.Add(1)
			}
		})
	}
	wait.Wait()
	require.NotZero(b, answered.Load())
	return int(answered.Load())
}
