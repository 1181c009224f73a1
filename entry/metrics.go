package entry

import (
	"hibiscuslane.example/hibiscuslane/metric"
)

// openMetrics creates the instruments and registers the gauges.
func (e *Entry) openMetrics() error {
	set, err := metric.New()
	if err != nil {
		return err
	}
	e.metrics = set
	gauges := []struct {
		name, text string
		read       func() []metric.Sample
	}{
		{"peers", "live entries, this one included", e.readPeers},
		{"stream_offset", "offset of the next record to fold, by stream", e.readOffsets},
		{"stream_silence_milliseconds", "time since the last contact with the log, by stream; -1 before the first", e.readSilence},
		{"config_offset", "offset of the configuration in force", e.readConfig},
		{"slots_used", "leased slots of the pools that this entry owns", e.readUsed},
		{"slots_waiting", "requests that wait for a slot at this owner, by pool", e.readWaiting},
		{"flight", "requests in flight", e.readFlight},
	}
	for _, g := range gauges {
		if err := set.RegisterGauge(g.name, g.text, g.read); err != nil {
			return err
		}
	}
	return nil
}

func whole(value float64) []metric.Sample { return []metric.Sample{{Value: value}} }

func (e *Entry) readPeers() []metric.Sample { return whole(float64(len(e.group.LiveEntries()))) }

func (e *Entry) readConfig() []metric.Sample { return whole(float64(e.config.Version())) }

func (e *Entry) readFlight() []metric.Sample { return whole(float64(e.handler.InFlight())) }

func (e *Entry) readOffsets() []metric.Sample {
	var list []metric.Sample
	for name, c := range e.channels {
		list = append(list, metric.Sample{Label: "stream", LabelValue: string(name), Value: float64(c.follower.NextOffset())})
	}
	return list
}

func (e *Entry) readSilence() []metric.Sample {
	var list []metric.Sample
	for name, c := range e.channels {
		list = append(list, metric.Sample{Label: "stream", LabelValue: string(name), Value: float64(e.silence(c))})
	}
	return list
}

func (e *Entry) readUsed() []metric.Sample {
	var list []metric.Sample
	for _, u := range e.owners.Usage() {
		list = append(list, metric.Sample{Label: "pool", LabelValue: string(u.Pool), Value: float64(u.Used)})
	}
	return list
}

func (e *Entry) readWaiting() []metric.Sample {
	var list []metric.Sample
	for _, u := range e.owners.Usage() {
		list = append(list, metric.Sample{Label: "pool", LabelValue: string(u.Pool), Value: float64(u.Waiting)})
	}
	return list
}
