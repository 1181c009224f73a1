package planner

import (
	"math"
	"time"

	"hibiscuslane.example/hibiscuslane/fleet"
	"hibiscuslane.example/hibiscuslane/instance"
	"hibiscuslane.example/hibiscuslane/pool"
	"hibiscuslane.example/hibiscuslane/upstream"
)

// demandTimeConstant is the time constant of the moving average of the demand. A burst of a few seconds
// at five times the average changes it by a few percent.
const demandTimeConstant = 10 * time.Minute

// maxListInterval limits the duration that a single list adds to the absence of an instance. Without the
// limit, an instance absent from the first list after an outage of the list or a pause of the process
// would count as missing for the whole outage.
const maxListInterval = 5 * time.Second

// absenceTracker measures how long each instance has been absent from successive lists.
type absenceTracker struct {
	lastListAt      time.Time
	listedInstances []upstream.Instance
	absentFor       map[instance.ID]time.Duration
}

// update replaces the list and extends the absence of the instances that are not on it by the time since
// the previous list, at most maxListInterval. The first list extends it by planInterval.
func (t *absenceTracker) update(now time.Time, list []upstream.Instance, instances []fleet.Instance) {
	elapsed := planInterval
	if !t.lastListAt.IsZero() {
		elapsed = min(now.Sub(t.lastListAt), maxListInterval)
	}
	t.lastListAt = now
	t.listedInstances = list
	listed := make(map[instance.ID]bool, len(list))
	for _, listedInstance := range list {
		listed[listedInstance.ID] = true
	}
	absent := map[instance.ID]time.Duration{}
	for _, i := range instances {
		if !listed[i.ID] {
			absent[i.ID] = t.absentFor[i.ID] + elapsed
		}
	}
	t.absentFor = absent
}

// demandAverage keeps an exponentially weighted moving average of the demand of each pool.
type demandAverage struct {
	lastUpdate time.Time
	mean       map[pool.Name]float64
}

// update adds an observation and returns a copy of the averages. The average of a new pool starts at 0.
// Pools that were not observed are deleted.
func (d *demandAverage) update(now time.Time, observed map[pool.Name]float64) map[pool.Name]float64 {
	elapsed := now.Sub(d.lastUpdate)
	if d.mean == nil {
		d.mean = map[pool.Name]float64{}
		elapsed = 0
	}
	d.lastUpdate = now
	decay := math.Exp(-elapsed.Seconds() / demandTimeConstant.Seconds())
	for name := range d.mean {
		if _, ok := observed[name]; !ok {
			delete(d.mean, name)
		}
	}
	means := make(map[pool.Name]float64, len(observed))
	for name, value := range observed {
		d.mean[name] = decay*d.mean[name] + (1-decay)*value
		means[name] = d.mean[name]
	}
	return means
}

// recentLosses returns the losses in the audit history that lie within failureWindow.
func recentLosses(now time.Time, history []fleet.Change) []Failure {
	var recent []Failure
	for _, c := range history {
		if at := c.Time.AsTime(); c.Kind == fleet.KindMarkLost && now.Sub(at) < failureWindow {
			recent = append(recent, Failure{ID: c.ID, At: at})
		}
	}
	return recent
}
