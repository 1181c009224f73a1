package entry

import (
	"hibiscuslane.example/hibiscuslane/metric"
)

// createMetrics creates the instruments and registers the gauges of the entry.
func (e *Entry) createMetrics() error {
	instruments, err := metric.New()
	if err != nil {
		return err
	}
	e.metrics = instruments
	gauges := []struct {
		name, description string
		read              func() []metric.Sample
	}{
		{"peers", "live entries, this one included", e.readLiveEntries},
		{"stream_offset", "offset of the next record to fold, by stream", e.readStreamOffsets},
		{"stream_silence_milliseconds", "time since the last contact with the log, by stream; -1 before the first", e.readStreamSilence},
		{"config_offset", "offset of the configuration in force", e.readConfigOffset},
		{"slots_used", "leased slots of the pools that this entry owns", e.readUsedSlots},
		{"slots_waiting", "requests that wait for a slot at this owner, by pool", e.readWaitingRequests},
		{"flight", "requests in flight", e.readRequestsInFlight},
		{"intake_connections", "open connections, by listener", e.intake.readConns},
		{"intake_bytes", "bytes of requests that the process holds, by who sent them", e.intake.readHeld},
		{"intake_refused", "requests that found no room, by who sent them", e.intake.readRefusals},
	}
	for _, g := range gauges {
		if err := instruments.RegisterGauge(g.name, g.description, g.read); err != nil {
			return err
		}
	}
	return nil
}

func singleSample(value float64) []metric.Sample { return []metric.Sample{{Value: value}} }

func (e *Entry) readLiveEntries() []metric.Sample {
	return singleSample(float64(len(e.group.LiveEntries())))
}

func (e *Entry) readConfigOffset() []metric.Sample {
	return singleSample(float64(e.config.Version()))
}

func (e *Entry) readRequestsInFlight() []metric.Sample {
	return singleSample(float64(e.handler.InFlight()))
}

func (e *Entry) readStreamOffsets() []metric.Sample {
	var samples []metric.Sample
	for name, r := range e.replicas {
		samples = append(samples, metric.Sample{Label: "stream", LabelValue: string(name), Value: float64(r.follower.NextOffset())})
	}
	return samples
}

func (e *Entry) readStreamSilence() []metric.Sample {
	var samples []metric.Sample
	for name, r := range e.replicas {
		samples = append(samples, metric.Sample{Label: "stream", LabelValue: string(name), Value: float64(e.millisecondsSinceRead(r))})
	}
	return samples
}

func (e *Entry) readUsedSlots() []metric.Sample {
	var samples []metric.Sample
	for _, u := range e.slotServer.Usage() {
		samples = append(samples, metric.Sample{Label: "pool", LabelValue: string(u.Pool), Value: float64(u.Used)})
	}
	return samples
}

func (e *Entry) readWaitingRequests() []metric.Sample {
	var samples []metric.Sample
	for _, u := range e.slotServer.Usage() {
		samples = append(samples, metric.Sample{Label: "pool", LabelValue: string(u.Pool), Value: float64(u.Waiting)})
	}
	return samples
}
