// Package load measures what an owner of "hibiscuslane run" costs: it starts entries in processes of their own against an emulated store,
// workers and machines, submits jobs whose queues burst one after another, and reports what the processes used. The seed determines
// the jobs; figures also depend on the machine.
package load

import (
	"cmp"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"hibiscuslane.example/hibiscuslane/standin/fabric"
)

const (
	machineMillicores = 16_000
	// minRate and maxRate limit Options.Rate, in jobs a second.
	minRate, maxRate = 0.01, 10_000
	// restShare is the share of the rate at which the queues receive jobs whose turn it isn't.
	restShare = 0.05
	// statePeriod is the interval at which a caller asks for the state of its job.
	statePeriod = 400 * time.Millisecond
	// callTimeout limits a request, endTimeout the time until all jobs are done after the last one was submitted.
	callTimeout = 3 * time.Second
	endTimeout  = time.Minute
	maxTries    = 5
	// highestDelay is the longest delay that is told from longer ones, in microseconds.
	highestDelay = int64(10 * time.Minute / time.Microsecond)
)

// pools are the pools with workers. Each has a queue of its own.
var pools = []string{"desk", "gate", "walk", "rota"}

// Options describe a measurement.
type Options struct {
	// Binaries are the programs to compare. Each takes its turn at each size.
	Binaries []string
	// Workers are the sizes to measure.
	Workers []int
	// Entries is the number of processes; one of them is the owner.
	Entries int
	// Length is how long jobs are submitted, and Turn how long a queue bursts.
	Length, Turn time.Duration
	// Rate is the number of jobs a second that the bursting queue receives.
	Rate float64
	Seed uint64
}

// Check returns an error if a measurement with these options is impossible.
func (o *Options) Check() error {
	switch {
	case len(o.Binaries) == 0:
		return &OptionError{Option: "binary", Reason: "is empty"}
	case o.Entries < 1 || o.Entries > 200:
		return &OptionError{Option: "entries", Reason: "must be from 1 to 200"}
	case o.Length <= 0 || o.Turn <= 0:
		return &OptionError{Option: "length", Reason: "and turn must be above 0"}
	case !(o.Rate >= minRate && o.Rate <= maxRate):
		return &OptionError{Option: "rate", Reason: fmt.Sprintf("must be from %g to %d jobs a second", minRate, maxRate)}
	case len(o.Workers) == 0:
		return &OptionError{Option: "workers", Reason: "is empty"}
	}
	for _, n := range o.Workers {
		if n < len(pools) || n > 10_000 {
			return &OptionError{Option: "workers", Reason: fmt.Sprintf("must be from %d to 10000", len(pools))}
		}
	}
	return nil
}

// OptionError reports an option with which nothing can be measured.
type OptionError struct {
	Option, Reason string
}

func (e *OptionError) Error() string { return e.Option + " " + e.Reason }

// Quantiles of a delay in seconds.
type Quantiles struct {
	P50 float64 `json:"p50"`
	P95 float64 `json:"p95"`
	P99 float64 `json:"p99"`
}

// Result is what one program did at one size.
type Result struct {
	Binary  string `json:"binary"`
	Workers int    `json:"workers"`
	Jobs    int    `json:"jobs"`
	Tasks   int    `json:"tasks"` // of the jobs that are done
	// Refusals counts answers of 503, Failed the jobs that were not accepted or not done in time.
	Refusals int `json:"refusals"`
	Failed   int `json:"failed"`
	// TasksPerSecond counts from the first submission until the last job is done.
	TasksPerSecond float64 `json:"taskspersecond"`
	// OwnerCost is the processor time of the owner for each task, OthersCost that of all other entries, in microseconds.
	OwnerCost  float64 `json:"ownercost"`
	OthersCost float64 `json:"otherscost"`
	// Accept is the time until a submission was answered. Wait is how much longer a job took than its tasks.
	Accept Quantiles `json:"accept"`
	Wait   Quantiles `json:"wait"`
	// LeaseMargin is the smallest rest of a worker's lease at its renewal that the owner has shown, in seconds.
	LeaseMargin float64 `json:"leasemargin"`
	// OwnerMemory is the peak of the owner's resident memory, in MB.
	OwnerMemory float64 `json:"ownermemory"`
	// StoreBytes is what was appended to the store.
	StoreBytes int64 `json:"storebytes"`
	// Violations counts broken promises, as the emulated workers and machines see them.
	Violations int `json:"violations"`
}

// Run measures each program at each size and hands the results to report as they come.
func Run(ctx context.Context, o Options, logs io.Writer, report func(Result)) error {
	if err := o.Check(); err != nil {
		return err
	}
	for _, workers := range o.Workers {
		for _, binary := range o.Binaries {
			m := &measurement{options: o, result: Result{Binary: binary, Workers: workers}, accept: newHistogram(), wait: newHistogram()}
			if err := m.run(ctx, binary, workers, logs); err != nil {
				return fmt.Errorf("%s with %d workers: %w", binary, workers, err)
			}
			report(m.result)
		}
	}
	return nil
}

func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, highestDelay, 3) }

// measurement is one program at one size.
type measurement struct {
	options  Options
	platform *fabric.Platform
	entries  []*entry

	mu           sync.Mutex
	result       Result
	accept, wait *hdrhistogram.Histogram
	doneAt       time.Time // of the last job
}

func (m *measurement) run(ctx context.Context, binary string, workers int, logs io.Writer) error {
	ctx, end := context.WithCancelCause(ctx)
	defer end(nil)
	m.platform = fabric.NewPlatform()
	defer m.platform.Close()
	m.platform.PublishConfig(1, pools, "")
	for n := range workers {
		m.platform.AddMachine(pools[n%len(pools)], machineMillicores, false)
	}
	defer func() {
		for _, e := range m.entries {
			e.kill()
		}
	}()
	for n := range m.options.Entries {
		e, err := startEntry(ctx, end, binary, n, m.platform, logs)
		if err != nil {
			return cmp.Or(context.Cause(ctx), err)
		}
		m.entries = append(m.entries, e)
	}
	if err := m.waitReady(ctx); err != nil {
		return err
	}
	sampling, stop := context.WithCancel(ctx)
	defer stop()
	var samplers sync.WaitGroup
	samplers.Go(func() { m.sample(sampling) })
	stored := m.platform.Store.AppendedBytes()
	begin := time.Now()
	before := m.processorTimes()
	m.submit(ctx)
	m.summarize(begin, before, stored)
	stop()
	samplers.Wait()
	return context.Cause(ctx)
}

// sleep waits for a duration, or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// job is a job with its task times.
type job struct {
	fabric.Job
	pool string
}

// path is how long the job takes if nothing waits.
func (j job) path() time.Duration {
	return time.Duration(len(j.Counts)*j.Millis) * time.Millisecond
}

func (j job) tasks() int {
	tasks := 0
	for _, count := range j.Counts {
		tasks += count
	}
	return tasks
}

// submit submits jobs in turns and waits until they are done.
func (m *measurement) submit(ctx context.Context) {
	random := rand.New(rand.NewPCG(m.options.Seed, 0))
	client := &http.Client{Timeout: callTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	begin := time.Now()
	var callers sync.WaitGroup
	at := time.Duration(0)
	total := m.options.Rate * (1 + restShare*float64(len(pools)-1))
	for number := 0; ; number++ {
		at += time.Duration(random.ExpFloat64() / total * float64(time.Second))
		if at >= m.options.Length || ctx.Err() != nil {
			break
		}
		bursting := int(at/m.options.Turn) % len(pools)
		if random.Float64()*total >= m.options.Rate {
			bursting += 1 + random.IntN(len(pools)-1)
		}
		j := job{Job: fabric.Job{ID: fabric.JobID(number + 1), CPU: 1500 + random.IntN(1500), Millis: 400 + random.IntN(600), Counts: []int{4 + random.IntN(8), 2 + random.IntN(6)}}, pool: pools[bursting%len(pools)]}
		m.platform.ExpectJob(j.Job)
		e := m.entries[random.IntN(len(m.entries))]
		sleep(ctx, time.Until(begin.Add(at)))
		callers.Go(func() { m.call(ctx, client, e, j) })
	}
	callers.Wait()
}

// call submits a job and waits until it is done.
func (m *measurement) call(ctx context.Context, client *http.Client, e *entry, j job) {
	asked := time.Now()
	giveUp := asked.Add(m.options.Length + endTimeout)
	url := "http://" + e.callers + "/" + j.pool + "/" + j.ID
	accepted := false
	refusals := 0
	for try := 0; try < maxTries && !accepted && ctx.Err() == nil; try++ {
		status, _, retryAfter := request(ctx, client, http.MethodPost, url, j.Body())
		accepted = status == http.StatusOK
		if status == http.StatusServiceUnavailable {
			refusals++
		}
		if !accepted {
			sleep(ctx, retryAfter)
		}
	}
	answered := time.Now()
	for accepted && ctx.Err() == nil && time.Now().Before(giveUp) {
		if status, body, _ := request(ctx, client, http.MethodGet, url, ""); fmt.Sprintf("%d %s", status, body) == fabric.JobCompleted {
			break
		}
		sleep(ctx, statePeriod)
	}
	doneAt := m.platform.DoneAt(j.ID)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.result.Jobs++
	m.result.Refusals += refusals
	if !accepted || doneAt.IsZero() {
		m.result.Failed++
		return
	}
	m.result.Tasks += j.tasks()
	record(m.accept, answered.Sub(asked))
	record(m.wait, doneAt.Sub(asked)-j.path())
	if doneAt.After(m.doneAt) {
		m.doneAt = doneAt
	}
}

// record adds a delay to a histogram. What is longer than highestDelay counts as that.
func record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(d.Microseconds(), 1), highestDelay)) // no value out of range
}

// request sends a request. Status 0 means that no response arrived.
func request(ctx context.Context, client *http.Client, method, url, body string) (status int, content string, retryAfter time.Duration) {
	const defaultRetry = time.Second
	req, err := http.NewRequestWithContext(ctx, method, url, strings.NewReader(body))
	if err != nil {
		return 0, "", defaultRetry
	}
	req.Host = "callers"
	resp, err := client.Do(req)
	if err != nil {
		return 0, "", defaultRetry
	}
	defer func() { _ = resp.Body.Close() }()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, "", defaultRetry
	}
	if seconds, err := strconv.Atoi(resp.Header.Get("Retry-After")); err == nil {
		return resp.StatusCode, string(data), time.Duration(seconds) * time.Second
	}
	return resp.StatusCode, string(data), defaultRetry
}

// summarize computes the result once all jobs have ended. The owner is the entry that used the most processor time.
func (m *measurement) summarize(begin time.Time, before []time.Duration, stored int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	r := &m.result
	r.Accept, r.Wait = quantilesOf(m.accept), quantilesOf(m.wait)
	r.StoreBytes, r.Violations = m.platform.Store.AppendedBytes()-stored, len(m.platform.Violations())
	if r.Tasks == 0 {
		return
	}
	r.TasksPerSecond = float64(r.Tasks) / m.doneAt.Sub(begin).Seconds()
	var owner *entry
	var most, all time.Duration
	for i, used := range m.processorTimes() {
		used -= before[i]
		all += used
		if owner == nil || used > most {
			owner, most = m.entries[i], used
		}
	}
	r.OwnerCost = float64(most.Microseconds()) / float64(r.Tasks)
	r.OthersCost = float64((all - most).Microseconds()) / float64(r.Tasks)
	r.OwnerMemory = owner.peakMemory()
}

func quantilesOf(h *hdrhistogram.Histogram) Quantiles {
	at := func(q float64) float64 {
		return (time.Duration(h.ValueAtQuantile(q)) * time.Microsecond).Seconds()
	}
	return Quantiles{P50: at(50), P95: at(95), P99: at(99)}
}
