package process

import (
	"context"
	"net"
	"net/http"
	"strconv"

	"hibiscuslane.example/hibiscuslane/instance"
	"hibiscuslane.example/hibiscuslane/metric"
	"hibiscuslane.example/hibiscuslane/relay"
)

// metricsPort is the port of the metrics, as deploy/system.toml names it. It lies outside the ports that
// the platform draws.
const metricsPort = 9464

// metricsPath is where the metrics are served.
const metricsPath = "/metrics"

// metricsAddress returns the address of the metrics: that of the peers with another port.
func metricsAddress(peers instance.Address) instance.Address {
	host, _, err := net.SplitHostPort(string(peers))
	if err != nil {
		return peers // listening fails with the same address and says so
	}
	return instance.Address(net.JoinHostPort(host, strconv.Itoa(metricsPort)))
}

// measure registers the gauges of the process and returns the instruments.
func (p *Process) measure() (*metric.Set, error) {
	set, err := metric.New()
	if err != nil {
		return nil, err
	}
	for _, g := range []struct {
		name, text string
		read       func() []metric.Reading
	}{
		{"owner", "1 while this process is the owner", p.readOwner},
		{"verdicts", "requests of callers since the start by verdict", p.readVerdicts},
		{"work", "jobs, runs and workers that the owner knows, and what it did in this tenure", p.readWork},
		{"store_silence", "seconds since the store confirmed the ownership", func() []metric.Reading {
			return []metric.Reading{{Value: p.keeper.StoreSilence().Seconds()}}
		}},
	} {
		if err := set.Gauge(g.name, g.text, g.read); err != nil {
			return nil, err
		}
	}
	return set, nil
}

func (p *Process) readOwner() []metric.Reading {
	if p.dispatcher() == nil {
		return []metric.Reading{{Value: 0}}
	}
	return []metric.Reading{{Value: 1}}
}

func (p *Process) readVerdicts() []metric.Reading {
	var readings []metric.Reading
	for number, name := range relay.Verdict_name {
		readings = append(readings, metric.Reading{Label: "verdict", Object: name, Value: float64(p.handler.VerdictCount(relay.Verdict(number)))})
	}
	return readings
}

func (p *Process) readWork() []metric.Reading {
	d := p.dispatcher()
	if d == nil {
		return nil
	}
	c := d.Counters()
	var readings []metric.Reading
	for name, value := range map[string]int64{
		"open": c.OpenJobs, "runs": c.ActiveRuns, "workers": c.KnownWorkers, "reached": c.ReachableWorkers, "accepted": c.AcceptedJobs, "started": c.StartedRuns,
		"done": c.SucceededRuns, "failed": c.FailedRuns, "lapsed": c.LostRuns, "doubted": c.UnconfirmedStarts, "refused": c.RefusedStarts, "moved": c.MachineMoves,
		"maintained": c.MachineMaintenances,
	} {
		readings = append(readings, metric.Reading{Label: "count", Object: name, Value: float64(value)})
	}
	return readings
}

// serveMetrics serves the metrics. An entry without metrics still serves callers.
func (p *Process) serveMetrics(ctx context.Context, set *metric.Set) {
	mux := http.NewServeMux()
	mux.Handle(metricsPath, set.Handler())
	server := &http.Server{Handler: mux, ReadHeaderTimeout: headerTimeout}
	if err := p.serve(ctx, server, metricsAddress(p.current().Peers), make(chan error, 1)); err != nil {
		p.log.Warn(eventMetrics, "error", err)
	}
}
