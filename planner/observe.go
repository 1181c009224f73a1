package planner

import (
	"math"
	"time"

	"hibiscuslane.example/hibiscuslane/fleet"
	"hibiscuslane.example/hibiscuslane/instance"
	"hibiscuslane.example/hibiscuslane/pool"
	"hibiscuslane.example/hibiscuslane/upstream"
)

// smoothing is the time constant of the mean demand. A burst of a few seconds at five times the mean
// changes it by a few percent.
const smoothing = 10 * time.Minute

// listGap is the most that one list adds to the absence of an instance. Without it, the first list
// after an outage of the list or a freeze of the process would make an instance that is absent from it
// appear to have been missing all the time.
const listGap = 5 * time.Second

// presence keeps for how long each instance has been absent from successive lists.
type presence struct {
	last   time.Time
	list   []upstream.Listing
	absent map[instance.ID]time.Duration
}

// add takes a new list into account.
func (p *presence) add(now time.Time, list []upstream.Listing, instances []fleet.Instance) {
	elapsed := period
	if !p.last.IsZero() {
		elapsed = min(now.Sub(p.last), listGap)
	}
	p.last = now
	p.list = list
	listed := make(map[instance.ID]bool, len(list))
	for _, listing := range list {
		listed[listing.ID] = true
	}
	absent := map[instance.ID]time.Duration{}
	for _, i := range instances {
		if !listed[i.ID] {
			absent[i.ID] = p.absent[i.ID] + elapsed
		}
	}
	p.absent = absent
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
		if at := c.Time.AsTime(); c.Kind == fleet.KindMarkLost && now.Sub(at) < waveWindow {
			recent = append(recent, Failure{ID: c.ID, At: at})
		}
	}
	return recent
}
