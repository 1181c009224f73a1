package planner

import (
	"math"
	"time"

	"hibiscuslane.example/hibiscuslane/fleet"
	"hibiscuslane.example/hibiscuslane/instance"
	"hibiscuslane.example/hibiscuslane/platform"
	"hibiscuslane.example/hibiscuslane/pool"
)

// smoothing is the time constant of the mean demand. A burst of a few seconds at five times the mean
// changes it by a few percent.
const smoothing = 10 * time.Minute

// presence keeps since when each instance is absent from the lists.
type presence struct {
	// first is the time of the first list and last that of the newest.
	first, last time.Time
	seen        map[instance.ID]time.Time
	list        []platform.Listing
}

func (p *presence) add(now time.Time, list []platform.Listing) {
	if p.seen == nil {
		p.seen = map[instance.ID]time.Time{}
		p.first = now
	}
	p.last = now
	p.list = list
	for _, listing := range list {
		p.seen[listing.ID] = now
	}
}

// missing returns for how long instances of the fleet are absent. The time counts up to the newest
// list only: while the list is unavailable nobody goes missing.
func (p *presence) missing(instances []fleet.Instance) map[instance.ID]time.Duration {
	missing := map[instance.ID]time.Duration{}
	known := make(map[instance.ID]bool, len(instances))
	for _, i := range instances {
		known[i.ID] = true
		seen, ok := p.seen[i.ID]
		if !ok {
			seen = p.first
		}
		if absent := p.last.Sub(seen); absent > 0 {
			missing[i.ID] = absent
		}
	}
	for id, seen := range p.seen {
		if !known[id] && seen.Before(p.last) {
			delete(p.seen, id)
		}
	}
	return missing
}

// demand is an exponentially weighted mean per pool.
type demand struct {
	last time.Time
	mean map[pool.Name]float64
}

func (d *demand) add(now time.Time, observed map[pool.Name]float64) map[pool.Name]float64 {
	elapsed := now.Sub(d.last)
	if d.mean == nil {
		d.mean = map[pool.Name]float64{}
		elapsed = 0
	}
	d.last = now
	keep := math.Exp(-elapsed.Seconds() / smoothing.Seconds())
	for name := range d.mean {
		if _, ok := observed[name]; !ok {
			delete(d.mean, name)
		}
	}
	means := make(map[pool.Name]float64, len(observed))
	for name, value := range observed {
		d.mean[name] = keep*d.mean[name] + (1-keep)*value
		means[name] = d.mean[name]
	}
	return means
}

// failures returns the losses in the audit history that still count for a wave.
func failures(now time.Time, history []fleet.Change) []Failure {
	var recent []Failure
	for _, c := range history {
		if at := c.Time.Std(); c.Kind == fleet.KindLose && now.Sub(at) < waveWindow {
			recent = append(recent, Failure{ID: c.ID, At: at})
		}
	}
	return recent
}
