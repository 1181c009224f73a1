// Package soak runs entries as processes on one machine, disturbs them from outside for some seconds and checks
// what callers and workers see. A seed fixes the plan of the disturbances; the course of a run also depends on
// the machine. Run fifty seeds with: go test ./soak -run TestSeeds -seeds 1-50 -timeout 30m
package soak_test

import (
	"bufio"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"hibiscuslane.example/hibiscuslane/standin/fabric"
)

const (
	// turnBound is the time in which two entries may not give orders for one machine, as on the users' sites.
	turnBound = 3 * time.Second
	// graceBound is the grace period of 5 s, and what a busy machine may add.
	graceBound = 8 * time.Second
	// callTimeout is the deadline of the users' callers.
	callTimeout = 3 * time.Second
	// settleBound is how long after the last disturbance all that is owed may take: the users' 12 s for the
	// recovery and 14 s for the end of all jobs.
	settleBound = 26 * time.Second
	// slowClock is by how much the clocks of workers may be slow.
	slowClock = 0.02
	// soakTime is how long a run is disturbed.
	soakTime = 8 * time.Second
	entries  = 5
	cores16  = 16000
	// regressions holds the seeds that have failed, one a line, with the cause.
	regressions = "testdata/seeds.txt"
)

var (
	seeds = flag.String("seeds", "", "seeds of TestSeeds: FIRST-LAST")
	keep  = flag.String("logs", "", "directory that keeps the logs of failed runs")
)

// binary builds the program once.
var binary = sync.OnceValues(func() (string, error) {
	directory, err := os.MkdirTemp("", "soak")
	if err != nil {
		return "", err
	}
	path := filepath.Join(directory, "hibiscuslane")
	out, err := exec.Command("go", "build", "-o", path, "..").CombinedOutput()
	if err != nil {
		return "", fmt.Errorf("build: %w: %s", err, out)
	}
	return path, nil
})

// soak is one run.
type soak struct {
	*fabric.Platform
	t        *testing.T
	random   *rand.Rand
	entries  []*entry
	machines []string
	callers  *callers
	began    time.Time
	wait     sync.WaitGroup

	mu       sync.Mutex
	workers  map[string]*proxy // by machine
	busy     map[int]bool      // entries that are being ended or are paused
	happened []string
	version  int
}

// note records a disturbance for the report of a failure.
func (s *soak) note(format string, args ...any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.happened = append(s.happened, fmt.Sprintf("%.2f ", time.Since(s.began).Seconds())+fmt.Sprintf(format, args...))
}

// between puts a proxy before each worker.
func (s *soak) between(machine, address string) string {
	p := newProxy(s.t, address)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.workers[machine] = p
	return p.address()
}

// entry picks an entry that is not being ended, the owner half of the time, and reserves it.
func (s *soak) entry() (int, *entry) {
	owner := s.Store.Value("keyed.owner", "owner")
	s.mu.Lock()
	defer s.mu.Unlock()
	pick := s.random.IntN(len(s.entries))
	if s.random.IntN(2) == 0 {
		for i, e := range s.entries {
			if strings.HasPrefix(owner, e.peers+"/") {
				pick = i
			}
		}
	}
	if s.busy[pick] {
		return 0, nil
	}
	s.busy[pick] = true
	return pick, s.entries[pick]
}

func (s *soak) release(i int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.busy, i)
}

// span returns a duration between two bounds in milliseconds.
func (s *soak) span(low, high int) time.Duration {
	return time.Duration(low+s.random.IntN(high-low)) * time.Millisecond
}

// later runs f after d; the run waits for it.
func (s *soak) later(d time.Duration, f func()) {
	s.wait.Add(1)
	time.AfterFunc(d, func() { defer s.wait.Done(); f() })
}

// disturb begins one disturbance. All random numbers are drawn here, so that a seed fixes the plan.
func (s *soak) disturb() {
	kinds := []func(){s.restart, s.pause, s.hangup, s.store, s.partition, s.link, s.worker, s.crash, s.wave, s.configure, s.roll}
	kinds[s.random.IntN(len(kinds))]()
}

func (s *soak) restart() {
	sig := []syscall.Signal{syscall.SIGKILL, syscall.SIGTERM}[s.random.IntN(2)]
	count, down := 1+s.random.IntN(2), s.span(50, 900)
	if s.random.IntN(5) == 0 {
		count = entries
	}
	for range count {
		i, e := s.entry()
		if e == nil {
			continue
		}
		s.note("%s: %s, down for %s", e.name, sig, down)
		s.wait.Go(func() {
			e.end(sig)
			time.Sleep(down)
			e.start()
			s.release(i)
		})
	}
}

// roll ends entries one after the other while the others serve.
func (s *soak) roll() {
	gap := s.span(200, 900)
	s.note("roll, gap %s", gap)
	for n := range entries {
		s.later(time.Duration(n)*gap, func() {
			s.mu.Lock()
			taken := s.busy[n]
			s.busy[n] = true
			s.mu.Unlock()
			if taken {
				return
			}
			s.entries[n].end(syscall.SIGTERM)
			s.entries[n].start()
			s.release(n)
		})
	}
}

func (s *soak) pause() {
	d := s.span(200, 6000)
	i, e := s.entry()
	if e == nil {
		return
	}
	s.note("%s paused for %s", e.name, d)
	e.signal(syscall.SIGSTOP)
	s.later(d, func() { e.signal(syscall.SIGCONT); s.release(i) })
}

func (s *soak) hangup() {
	lease := float64(2000 + 1000*s.random.IntN(5))
	i, e := s.entry()
	if e == nil {
		return
	}
	s.note("%s: settings change, lease %v ms", e.name, lease)
	e.configure(map[string]float64{"max_hold_ms": lease})
	e.signal(syscall.SIGHUP)
	s.release(i)
}

func (s *soak) store() {
	d := s.span(100, 5500)
	f := fabric.Faults{Unavailable: true}
	if s.random.IntN(2) == 0 {
		f = fabric.Faults{LostResponses: 1 + s.random.IntN(6)}
	}
	s.note("store %+v for %s", f, d)
	s.Store.SetFaults(f)
	if s.random.IntN(3) == 0 {
		s.CompactHistory()
	}
	s.later(d, func() { s.Store.SetFaults(fabric.Faults{}) })
}

func (s *soak) partition() {
	d := s.span(500, 6000)
	var away []string
	for _, name := range []string{"keyed.job/0", "keyed.job/1", "keyed.job/2", "keyed.owner/0", "keyed.op/0", "keyed.servers/0", "keyed.status/0"} {
		if s.random.IntN(3) == 0 {
			away = append(away, name)
		}
	}
	s.note("partitions %v away for %s", away, d)
	s.Store.SetFaults(fabric.Faults{UnavailablePartitions: away})
	s.later(d, func() { s.Store.SetFaults(fabric.Faults{}) })
}

// link disturbs the connections of an entry to the store or the fleet, or those to a worker.
func (s *soak) link() {
	d, delay := s.span(200, 5000), s.span(5, 300)
	how := s.random.IntN(5)
	e := s.entries[s.random.IntN(entries)]
	p, name := e.store, e.name+" to the store"
	switch s.random.IntN(3) {
	case 0:
		p, name = e.fleet, e.name+" to the fleet"
	case 1:
		machine := s.machines[s.random.IntN(len(s.machines))]
		s.mu.Lock()
		p, name = s.workers[machine], "to the worker on "+machine
		s.mu.Unlock()
	}
	if p == nil {
		return
	}
	s.note("%s: kind %d for %s", name, how, d)
	switch how {
	case 0:
		p.disturb(delay, cutNone)
	case 1:
		p.reset()
	case 2:
		p.silence()
	case 3:
		p.disturb(0, []cut{cutUp, cutDown}[s.random.IntN(2)])
	case 4:
		p.disturb(0, cutBoth)
	}
	s.later(d, p.heal)
}

// worker lets a worker answer late or not at all.
func (s *soak) worker() {
	d, n, how := s.span(200, 5000), 1+s.random.IntN(4), s.random.IntN(3)
	list := s.Workers()
	if len(list) == 0 {
		return
	}
	w := list[s.random.IntN(len(list))]
	s.note("worker %s: kind %d for %s", w.ID, how, d)
	switch how {
	case 0:
		w.SetUnresponsive(true)
		s.later(d, func() { w.SetUnresponsive(false) })
	case 1:
		w.DelayStarts(n, d)
	case 2:
		w.DelayStops(d / 10)
		s.later(d, func() { w.DelayStops(0) })
	}
}

func (s *soak) crash() {
	d := s.span(50, 2000)
	machine := s.machines[s.random.IntN(len(s.machines))]
	for _, w := range s.Workers() {
		if w.Machine == machine {
			s.note("%s crashes for %s", machine, d)
			s.CrashWorker(machine, d)
		}
	}
}

func (s *soak) wave() {
	s.version++
	n := 1 + s.random.IntN(len(s.machines)/2)
	s.note("wave %d over %d machines", s.version, n)
	s.PublishWave(s.version, s.machines[:n], 20, 1+n/2)
}

func (s *soak) configure() {
	s.version++
	s.note("configuration %d", s.version)
	s.PublishConfig(s.version, s.callers.pools, "spare")
}

// play runs one seed and returns what was broken.
func play(t *testing.T, seed uint64) []string {
	path, err := binary()
	require.NoError(t, err)
	directory := t.TempDir()
	s := &soak{Platform: fabric.NewPlatform(), t: t, random: rand.New(rand.NewPCG(seed, 0)), workers: map[string]*proxy{}, busy: map[int]bool{}, version: 1}
	s.MinHandoverInterval, s.ProxyAddress, s.ClockDrift = turnBound, s.between, slowClock
	pools := []string{"desk", "gate"}
	s.callers = &callers{world: s.Platform, pools: pools, jobs: map[string]fate{}, pool: map[string]string{}}
	s.PublishConfig(1, pools, "spare")
	for range 5 {
		s.machines = append(s.machines, s.AddMachine("desk", cores16, false), s.AddMachine("gate", cores16, false))
	}
	s.AddMachine("spare", cores16, true)
	for n := range entries {
		s.entries = append(s.entries, newEntry(t, path, directory, n, s.StoreAddress, s.FleetAddress))
	}
	s.callers.entries = s.entries
	for _, e := range s.entries {
		e.start()
	}
	defer func() {
		for _, e := range s.entries {
			e.signal(syscall.SIGKILL)
			<-e.done
			_ = e.log.Close()
		}
		s.Close()
	}()
	s.began = time.Now()
	client := &http.Client{Timeout: callTimeout}
	require.Eventually(t, func() bool { return ready(client, s.entries[0]) }, settleBound, 50*time.Millisecond, "no entry serves")
	stop := make(chan struct{})
	var calling sync.WaitGroup
	for n := range 4 {
		calling.Go(func() { s.callers.run(seed*10+uint64(n), stop) })
	}
	for s.began = time.Now(); time.Since(s.began) < soakTime; {
		time.Sleep(s.span(50, 1500))
		s.disturb()
	}
	s.wait.Wait()
	close(stop)
	calling.Wait()
	return s.verdict(client, seed, directory)
}

func ready(client *http.Client, e *entry) bool {
	resp, err := client.Get("http://" + e.ready + fabric.ReadyPath)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// verdict waits until all that is owed is settled and returns what was broken.
func (s *soak) verdict(client *http.Client, seed uint64, directory string) []string {
	var owed []string
	for end := time.Now().Add(settleBound); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
		if owed = s.callers.unsettled(client); len(owed) == 0 && len(s.RunningTasks()) == 0 {
			break
		}
	}
	broken := append(s.Violations(), owed...)
	for task, worker := range s.RunningTasks() {
		broken = append(broken, "still runs: "+task+" on "+worker)
	}
	for id, known := range s.callers.jobs {
		if known == fateRefused && s.StartCount(id+".0.0.0") > 0 {
			broken = append(broken, id+" was refused and has run")
		}
	}
	for _, e := range s.entries {
		broken = append(broken, e.exits...)
	}
	if len(broken) > 0 {
		s.t.Logf("seed %d:\n%s", seed, strings.Join(s.happened, "\n"))
		if *keep != "" {
			if err := os.CopyFS(filepath.Join(*keep, fmt.Sprintf("seed-%d-%d", seed, time.Now().Unix())), os.DirFS(directory)); err != nil {
				s.t.Logf("logs are not kept: %v", err)
			}
		}
	}
	s.t.Logf("seed %d: %d jobs, %d disturbances", seed, len(s.callers.jobs), len(s.happened))
	return broken
}

// TestShort guards the promises to callers in a short run of fixed seeds.
func TestShort(t *testing.T) {
	for _, seed := range []uint64{1, 2} {
		require.Empty(t, play(t, seed), "seed %d", seed)
	}
}

// TestRegressions plays the seeds that have failed once.
func TestRegressions(t *testing.T) {
	file, err := os.Open(regressions)
	require.NoError(t, err)
	defer func() { _ = file.Close() }()
	for lines := bufio.NewScanner(file); lines.Scan(); {
		var seed uint64
		if _, err := fmt.Sscanf(lines.Text(), "%d ", &seed); err == nil {
			require.Empty(t, play(t, seed), lines.Text())
		}
	}
}

// TestSeeds plays the seeds of the flag.
func TestSeeds(t *testing.T) {
	if *seeds == "" {
		t.Skip("no seeds are given")
	}
	var first, last uint64
	_, err := fmt.Sscanf(*seeds, "%d-%d", &first, &last)
	require.NoError(t, err)
	for seed := first; seed <= last; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) { require.Empty(t, play(t, seed)) })
	}
}
