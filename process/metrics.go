package process

import (
	"context"
	"net"
	"net/http"
	"runtime"
	"runtime/metrics"
	"slices"
	"strconv"
	"sync"

	"hibiscuslane.example/hibiscuslane/dispatch"
	"hibiscuslane.example/hibiscuslane/instance"
	"hibiscuslane.example/hibiscuslane/intake"
	"hibiscuslane.example/hibiscuslane/metric"
	"hibiscuslane.example/hibiscuslane/relay"
)

// metricsPort is the port on which metrics are served, as configured in deploy/system.toml. It lies outside
// the range from which the platform assigns ports.
const metricsPort = 9464

const metricsPath = "/metrics"

// metricsAddress returns the address of the metrics, which is the address for peers with metricsPort as its port.
func metricsAddress(peerAddress instance.Address) instance.Address {
	host, _, err := net.SplitHostPort(string(peerAddress))
	if err != nil {
		return peerAddress // listening on it fails and reports the address
	}
	return instance.Address(net.JoinHostPort(host, strconv.Itoa(metricsPort)))
}

// newMetricSet returns the instruments, with the gauges of this process registered.
func (p *Process) newMetricSet() (*metric.Instruments, error) {
	set, err := metric.New()
	if err != nil {
		return nil, err
	}
	for _, g := range []struct {
		name, help string
		read       func() []metric.Sample
	}{
		{"owner", "1 while this process is the owner", p.readOwner},
		{"verdicts", "requests of callers since the start by verdict", p.readVerdicts},
		{"requests_unauthorized", "requests of callers answered 401 since the start, by whether the entry refused them itself or the owner", p.readUnauthorized},
		{"work", "jobs, runs and workers that the owner knows, and what it did in this tenure", p.readWork},
		{"worker_calls", "calls to workers that the owner and the entries that carry calls for it have sent in this tenure", p.readWorkerCalls},
		{"start_delay", "seconds from the acceptance of a job to the start of its first task, the mean of the last seconds by queue", p.readStartDelays},
		{"team_share", "what the runs of a team, without long-running ones, reserve as a share of all workers, relative to the share of its weight among the teams with work; 1 is exactly its weight", p.readTeams(func(t dispatch.TeamLoad) float64 { return t.Share })},
		{"team_room", "free share of the maximum of a team; 1 without a maximum", p.readTeams(func(t dispatch.TeamLoad) float64 { return t.Room })},
		{"team_waiting", "tasks of a team that wait for a worker or for the maximum of the team", p.readTeams(func(t dispatch.TeamLoad) float64 { return float64(t.WaitingTasks) })},
		{"team_refused", "jobs of a team in this tenure that were refused because they exceed its maximum by themselves", p.readTeams(func(t dispatch.TeamLoad) float64 { return float64(t.RefusedJobs) })},
		{"interference", "share by which tasks of a kind take longer beside another kind on one worker, for the pairs that are known", p.readInterference},
		{"interference_avoided", "tasks that were placed on another worker because of interference, in this tenure", p.readInterferenceAvoided},
		{"runnable_wait", "seconds that a goroutine ready to run waited for the processor since the last reading, the 90th percentile", (&waitReader{}).read},
		{"intake_connections", "open connections by listener", p.intake.readConns},
		{"intake_closed", "connections of clients that were closed since the start because they were stuck, too many or beyond a limit", p.intake.readClosed},
		{"intake_bytes", "bytes of request bodies that the process holds", p.intake.readHeld},
		{"intake_refused", "requests refused since the start because the process held too many bodies", p.intake.readRefusals},
		{"goroutines", "goroutines of this process", func() []metric.Sample {
			return []metric.Sample{{Value: float64(runtime.NumGoroutine())}}
		}},
		{"lease_margin", "seconds that were left of the lease of a worker when the owner renewed it, the smallest of the last seconds", p.readLeaseMargin},
		{"store_silence", "seconds since the store confirmed the ownership", func() []metric.Sample {
			return []metric.Sample{{Value: p.elector.StoreSilence().Seconds()}}
		}},
	} {
		if err := set.RegisterGauge(g.name, g.help, g.read); err != nil {
			return nil, err
		}
	}
	return set, nil
}

func (p *Process) readLeaseMargin() []metric.Sample {
	d := p.dispatcher()
	if d == nil {
		return nil
	}
	return []metric.Sample{{Value: d.Counters().LeaseMargin.Seconds()}}
}

func (p *Process) readWorkerCalls() []metric.Sample {
	d := p.dispatcher()
	if d == nil {
		return nil
	}
	c := d.Counters()
	return []metric.Sample{{Label: "by", LabelValue: "owner", Value: float64(c.DirectCalls)}, {Label: "by", LabelValue: "carrier", Value: float64(c.CarriedCalls)}}
}

func (p *Process) readStartDelays() []metric.Sample {
	d := p.dispatcher()
	if d == nil {
		return nil
	}
	var samples []metric.Sample
	for name, delay := range d.StartDelays() {
		samples = append(samples, metric.Sample{Label: "queue", LabelValue: string(name), Value: delay.Seconds()})
	}
	return samples
}

// readTeams returns a function that reads a value of each team that has had a job in this tenure.
func (p *Process) readTeams(value func(dispatch.TeamLoad) float64) func() []metric.Sample {
	return func() []metric.Sample {
		d := p.dispatcher()
		if d == nil {
			return nil
		}
		var samples []metric.Sample
		for _, t := range d.TeamLoads() {
			samples = append(samples, metric.Sample{Label: "team", LabelValue: string(t.Name), Value: value(t)})
		}
		return samples
	}
}

// InterferenceSeparator stands between the two kinds of a pair in the label of a metric.
const InterferenceSeparator = " beside "

func (p *Process) readInterference() []metric.Sample {
	d := p.dispatcher()
	if d == nil {
		return nil
	}
	pairs, _ := d.Interference()
	var samples []metric.Sample
	for _, pair := range pairs {
		samples = append(samples, metric.Sample{Label: "pair", LabelValue: string(pair.Kind) + InterferenceSeparator + string(pair.Neighbour), Value: pair.Slowdown})
	}
	return samples
}

func (p *Process) readInterferenceAvoided() []metric.Sample {
	d := p.dispatcher()
	if d == nil {
		return nil
	}
	_, avoided := d.Interference()
	return []metric.Sample{{Value: float64(avoided)}}
}

// waitReader reads how long goroutines wait for the processor. The zero value has read nothing yet.
type waitReader struct {
	mu       sync.Mutex
	previous []uint64
}

// read returns the 90th percentile of the waits since the last call; nothing if there were none.
func (r *waitReader) read() []metric.Sample {
	samples := []metrics.Sample{{Name: "/sched/latencies:seconds"}}
	metrics.Read(samples)
	if samples[0].Value.Kind() != metrics.KindFloat64Histogram {
		return nil // not a metric of this version of the runtime
	}
	histogram := samples[0].Value.Float64Histogram()
	r.mu.Lock()
	defer r.mu.Unlock()
	counts, total := slices.Clone(histogram.Counts), uint64(0)
	for i := range counts {
		if i < len(r.previous) {
			counts[i] -= r.previous[i]
		}
		total += counts[i]
	}
	r.previous = slices.Clone(histogram.Counts)
	for i, seen := 0, uint64(0); i < len(counts) && total > 0; i++ {
		if seen += counts[i]; seen*10 >= total*9 {
			return []metric.Sample{{Value: histogram.Buckets[i]}}
		}
	}
	return nil
}

func (p *Process) readOwner() []metric.Sample {
	if p.dispatcher() == nil {
		return []metric.Sample{{Value: 0}}
	}
	return []metric.Sample{{Value: 1}}
}

func (p *Process) readVerdicts() []metric.Sample {
	var samples []metric.Sample
	for number, name := range relay.Verdict_name {
		samples = append(samples, metric.Sample{Label: "verdict", LabelValue: name, Value: float64(p.handler.VerdictCount(relay.Verdict(number)))})
	}
	return samples
}

func (p *Process) readUnauthorized() []metric.Sample {
	return []metric.Sample{
		{Label: "by", LabelValue: "entry", Value: float64(p.handler.UnauthorizedCount())},
		{Label: "by", LabelValue: "owner", Value: float64(p.handler.VerdictCount(relay.Verdict_UNAUTHORIZED))},
	}
}

func (p *Process) readWork() []metric.Sample {
	d := p.dispatcher()
	if d == nil {
		return nil
	}
	c := d.Counters()
	var samples []metric.Sample
	for name, value := range map[string]int64{
		"open": c.OpenJobs, "runs": c.ActiveRuns, "workers": c.KnownWorkers, "reached": c.ReachableWorkers, "accepted": c.AcceptedJobs, "started": c.StartedRuns,
		"done": c.SucceededRuns, "failed": c.FailedRuns, "lapsed": c.LostRuns, "doubted": c.UnconfirmedStarts, "refused": c.RefusedStarts, "moved": c.MachineMoves,
		"maintained": c.MachineMaintenances, "overload": c.RefusedJobs, "servable": c.RefusedServable, "missed": c.MissedDeadlines,
	} {
		samples = append(samples, metric.Sample{Label: "count", LabelValue: name, Value: float64(value)})
	}
	return samples
}

// serveMetrics serves the metrics. If it fails, the entry still serves callers.
func (p *Process) serveMetrics(ctx context.Context, set *metric.Instruments) {
	mux := http.NewServeMux()
	mux.Handle(metricsPath, set.Handler())
	server := &http.Server{Handler: mux, ReadHeaderTimeout: intake.MaxHeaderTimeout}
	p.intake.metrics.Protect(server)
	if err := p.serve(ctx, server, p.intake.metrics, metricsAddress(p.currentSettings().PeerAddress), make(chan error, 1)); err != nil {
		p.log.Warn(eventMetricsUnserved, "error", err)
	}
}
