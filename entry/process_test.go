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
	siteCount = 14
	// workersPerPool is the mean number of workers in a pool of a deployment of the intended size.
	workersPerPool = 23
	targetCount    = 6
	// settleTime is the wait for the snapshots and plans after the start, which are not measured.
	settleTime = 4 * time.Second
	// idleTime is the interval between two checks for due snapshots, so that one check is measured.
	idleTime = 10 * time.Second
	// loadTime is how long requests are sent at each rate.
	loadTime = 4 * time.Second
	// clockTick is the unit of processor times in /proc.
	clockTick = 10 * time.Millisecond
)

// BenchmarkProcess starts the program in a separate process against the emulated platform. It reports the
// resident memory, the processor time and the bytes exchanged with the platform, idle and at fixed request
// rates. Each measurement takes a fixed time, so run it with -benchtime 1x. It needs /proc.
func BenchmarkProcess(b *testing.B) {
	binary := filepath.Join(b.TempDir(), "hibiscuslane")
	output, err := exec.CommandContext(b.Context(), "go", "build", "-o", binary, "..").CombinedOutput()
	require.NoError(b, err, string(output))
	for _, instances := range []int{100, 1000, 6600} {
		b.Run(fmt.Sprintf("instances=%d", instances), func(b *testing.B) {
			// The loop is empty, because no time per operation is reported; b.Loop makes the function run only once.
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
	fillPlatform(b, server, instances)
	p := startProcess(b, binary, server.URL())
	defer p.stop(b)
	sleep(settleTime)
	idle := p.measureUsage(b, func() { sleep(idleTime) })
	b.ReportMetric(idle.cpuTime.Seconds()/idleTime.Seconds()*100, "idle-core-%")
	b.ReportMetric(float64(idle.platformBytes)/idleTime.Seconds(), "idle-platform-B/s")
	b.ReportMetric(float64(p.residentBytes(b))/1e6, "idle-RSS-MB")
	for _, rate := range []int{200, 1000} {
		answered := 0
		loaded := p.measureUsage(b, func() { answered = p.sendLoad(b, rate) })
		b.ReportMetric(loaded.cpuTime.Seconds()/loadTime.Seconds()*100, fmt.Sprintf("core-%%@%d/s", rate))
		b.ReportMetric(float64(answered)/loadTime.Seconds(), fmt.Sprintf("answered/s@%d/s", rate))
	}
	b.ReportMetric(float64(p.residentBytes(b))/1e6, "load-RSS-MB")
}

// sleep waits for wall-clock time, to which the processor time is related.
func sleep(d time.Duration) { <-time.After(d) }

// fillPlatform appends the configuration and the fleet to the log and adds the instances to the platform's
// list.
func fillPlatform(b *testing.B, server *standin.Server, instances int) {
	poolCount := max(1, min(290, instances/workersPerPool))
	sites := make([]map[string]any, siteCount)
	for n := range sites {
		sites[n] = map[string]any{}
	}
	var bodies []fleet.Body
	add := func(listedInstance upstream.Instance, name pool.Name) {
		listedInstance.Incarnation, listedInstance.State = 1, upstream.StateLive
		server.Directory.SetEntry(listedInstance, true)
		bodies = append(bodies, &fleet.Admit{
			RecordHeader: fleet.RecordHeader{ID: listedInstance.ID}, InstanceKind: listedInstance.Kind, Pool: name, Incarnation: 1,
			Address: listedInstance.Address, Centre: listedInstance.Centre, Rack: listedInstance.Rack,
			Cores: listedInstance.Cores, Memory: listedInstance.Memory,
		})
	}
	counts := map[string]int{}
	for n := range instances {
		centre, name := n%siteCount, fmt.Sprint("pool-", n/siteCount%poolCount)
		counts[fmt.Sprint(centre, "/", name)]++
		workers := counts[fmt.Sprint(centre, "/", name)]
		sites[centre][name] = map[string]any{"size": map[string]int{"workers": workers}, "budget": map[string]int{"workers": workers * 3 / 4}}
		add(upstream.Instance{
			ID: instance.ID(fmt.Sprintf("worker-%06d", n)), Kind: instance.KindWorker, Address: "127.0.0.1:1",
			Centre: centreName(centre), Rack: site.Rack(fmt.Sprint("rack-", n/siteCount/4)), Cores: 32, Memory: 128 << 10,
		}, pool.Name(name))
	}
	sites[0]["web"] = map[string]any{"size": map[string]int{"targets": targetCount}, "budget": map[string]int{"targets": 1}}
	for n := range targetCount {
		listedInstance := upstream.Instance{ID: instance.ID(fmt.Sprint("target-", n)), Kind: instance.KindTarget, Centre: centreName(0), Rack: "web"}
		emulatedTarget, err := target.Start(target.Options{ListedInstance: listedInstance})
		require.NoError(b, err)
		b.Cleanup(func() { _ = emulatedTarget.Close() })
		listedInstance.Address = emulatedTarget.ListedInstance().Address
		add(listedInstance, "web")
	}
	appendRecords(b, server, record.StreamConfig, []any{newConfig(b, poolCount, sites)}, func(any) record.Kind { return config.KindPublish })
	records := make([]any, len(bodies))
	for n := range bodies {
		records[n] = bodies[n]
	}
	appendRecords(b, server, record.StreamFleet, records, func(body any) record.Kind { return body.(fleet.Body).Kind() })
}

func centreName(n int) site.DataCentre { return site.DataCentre(fmt.Sprintf("centre-%02d", n)) }

func newConfig(b *testing.B, poolCount int, sites []map[string]any) config.Publish {
	none := map[string]int{"targets": 0, "workers": 0}
	spec := map[string]any{"size": none, "budget": none, "slots": 8, "connections": 64, "queue": 256, "timeout": 10_000}
	specs := map[string]any{"web": spec}
	for n := range poolCount {
		specs[fmt.Sprint("pool-", n)] = spec
	}
	base := map[string]any{
		"pools": specs, "teams": map[string]any{"default": map[string]any{"weight": 1}}, "routes": []config.Route{{Prefix: "/", Pool: "web"}},
		"weights": config.Weights{Buffer: 1}, "maintenance": config.Maintenance{},
	}
	files := map[config.File]any{config.BaseFile: base}
	for n, pools := range sites {
		files[config.File("site/"+string(centreName(n)))] = map[string]any{"region": "north", "pools": pools}
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

func appendRecords(b *testing.B, server *standin.Server, name record.Stream, bodies []any, kind func(any) record.Kind) {
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

// process is an entry in a separate process, connected to the platform through a proxy that counts bytes.
type process struct {
	command *exec.Cmd
	// callers and admin are the addresses for the requests of callers and for administration.
	callers, admin string
	// platformBytes counts the bytes exchanged with the platform.
	platformBytes *atomic.Int64
	// logReader waits for the goroutine that discards the log output of the process after its start.
	logReader sync.WaitGroup
}

// startProcess starts the program and waits until it is ready.
func startProcess(b *testing.B, binary, platformURL string) *process {
	p := &process{platformBytes: &atomic.Int64{}}
	s := settings.Settings{
		ID: "entry-1", Centre: centreName(0), Listen: settings.Listen{Callers: "127.0.0.1:0", Peers: "127.0.0.1:0", Admin: "127.0.0.1:0"},
		Platform: settings.Platform{BaseURL: "http://" + startCountingProxy(b, strings.TrimPrefix(platformURL, "http://"), p.platformBytes), RetentionMillis: settings.DefaultRetentionMillis},
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
	var addresses struct{ Callers, Admin string }
	for addresses.Callers == "" {
		line, err := events.ReadBytes('\n')
		require.NoError(b, err)
		require.NoError(b, json.Unmarshal(line, &addresses), string(line))
	}
	p.callers, p.admin = addresses.Callers, addresses.Admin
	p.logReader.Go(func() { _, _ = io.Copy(io.Discard, events) })
	require.Eventually(b, func() bool {
		response, err := http.Get("http://" + p.admin + "/ready")
		if err != nil {
			return false
		}
		_ = response.Body.Close()
		return response.StatusCode == http.StatusOK
	}, waitTimeout, 10*time.Millisecond)
	return p
}

func (p *process) stop(b *testing.B) {
	require.NoError(b, p.command.Process.Signal(syscall.SIGTERM))
	p.logReader.Wait()
	_ = p.command.Wait()
}

// startCountingProxy starts a proxy that forwards connections to an address and counts the bytes in both
// directions. It returns the address of the proxy.
func startCountingProxy(b *testing.B, to string, count *atomic.Int64) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(b, err)
	b.Cleanup(func() { _ = listener.Close() })
	forward := func(from, into net.Conn) {
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
			client, err := listener.Accept()
			if err != nil {
				return
			}
			upstreamConn, err := net.Dial("tcp", to)
			if err != nil {
				_ = client.Close()
				continue
			}
			go forward(client, upstreamConn)
			go forward(upstreamConn, client)
		}
	}()
	return listener.Addr().String()
}

// resourceUsage holds the processor time and the platform traffic of a process during a measurement.
type resourceUsage struct {
	cpuTime       time.Duration
	platformBytes int64
}

// measureUsage returns the resource usage of the process while f runs.
func (p *process) measureUsage(b *testing.B, f func()) resourceUsage {
	cpuBefore, bytesBefore := p.cpuTime(b), p.platformBytes.Load()
	f()
	return resourceUsage{cpuTime: p.cpuTime(b) - cpuBefore, platformBytes: p.platformBytes.Load() - bytesBefore}
}

// cpuTime returns the user and system time of the process.
func (p *process) cpuTime(b *testing.B) time.Duration {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.command.Process.Pid))
	require.NoError(b, err)
	// The first field after the process name is the state, the third field of the file. utime and stime are
	// the 14th and the 15th.
	fields := strings.Fields(string(data[bytes.LastIndexByte(data, ')')+1:]))
	user, err := strconv.Atoi(fields[11])
	require.NoError(b, err)
	system, err := strconv.Atoi(fields[12])
	require.NoError(b, err)
	return time.Duration(user+system) * clockTick
}

// residentBytes returns the resident memory of the process in bytes.
func (p *process) residentBytes(b *testing.B) int {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", p.command.Process.Pid))
	require.NoError(b, err)
	pages, err := strconv.Atoi(strings.Fields(string(data))[1])
	require.NoError(b, err)
	return pages * os.Getpagesize()
}

// sendLoad sends the given number of requests per second for loadTime and returns the number of successful responses.
func (p *process) sendLoad(b *testing.B, rate int) int {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	defer client.CloseIdleConnections()
	var answered atomic.Int64
	var wait sync.WaitGroup
	begin := time.Now()
	for n := range rate * int(loadTime/time.Second) {
		sleep(time.Until(begin.Add(time.Duration(n) * time.Second / time.Duration(rate))))
		wait.Go(func() {
			status, err := sendRequest(client, 0, func(int) (*http.Request, error) {
				r, err := http.NewRequest(http.MethodPost, "http://"+p.callers+"/pay", bytes.NewReader(make([]byte, requestBodySize)))
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
