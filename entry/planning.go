package entry

import (
	"sync"
	"time"

	"hibiscuslane.example/hibiscuslane/config"
	"hibiscuslane.example/hibiscuslane/instance"
	"hibiscuslane.example/hibiscuslane/planner"
	"hibiscuslane.example/hibiscuslane/pool"
	"hibiscuslane.example/hibiscuslane/record"
	"hibiscuslane.example/hibiscuslane/site"
)

// plannerObserver provides the planner with the targets that most entries report as failing and with the
// demand on the pools. It implements planner.Observer.
type plannerObserver struct {
	entry *Entry

	mu sync.Mutex
	// failingSince holds the time since which most entries have reported a target as failing.
	failingSince map[instance.ID]time.Time
}

// Failing implements planner.Observer. A target counts as failing while a majority of the live entries
// report it, since a single entry may only have lost its own connection to the target.
func (o *plannerObserver) Failing() map[instance.ID]time.Duration {
	reportCount := map[instance.ID]int{}
	for _, id := range o.entry.table.EjectedTargets() {
		reportCount[id]++
	}
	peers := o.entry.group.LivePeers()
	for _, p := range peers {
		for _, id := range p.GetFailing() {
			reportCount[instance.ID(id)]++
		}
	}
	quorum := (len(peers)+1)/2 + 1
	now := o.entry.timer.Now()
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.failingSince == nil {
		o.failingSince = map[instance.ID]time.Time{}
	}
	failing := map[instance.ID]time.Duration{}
	for id, count := range reportCount {
		if count < quorum {
			continue
		}
		if _, ok := o.failingSince[id]; !ok {
			o.failingSince[id] = now
		}
		failing[id] = now.Sub(o.failingSince[id])
	}
	for id := range o.failingSince {
		if _, ok := failing[id]; !ok {
			delete(o.failingSince, id)
		}
	}
	return failing
}

// Demand implements planner.Observer. The demand of a pool is the number of targets that its used slots and
// waiting requests would fill. Only the pools whose slots this entry owns or has owned have a value; the planner
// assumes no demand for the others.
func (o *plannerObserver) Demand() map[pool.Name]float64 {
	demand := map[pool.Name]float64{}
	settings := o.entry.siteSettings()
	if settings == nil {
		return demand
	}
	for _, usage := range o.entry.slotServer.Usage() {
		if spec := settings.Pools[usage.Pool]; spec.Slots > 0 {
			demand[usage.Pool] = float64(usage.Used+usage.Waiting) / float64(spec.Slots)
		}
	}
	return demand
}

// settingsSource provides the settings of all sites. It implements planner.SettingsSource.
type settingsSource struct{ state *config.State }

// Sites implements planner.SettingsSource.
func (s settingsSource) Sites() map[site.Name]config.Settings {
	all := s.state.AllSettings()
	copied := make(map[site.Name]config.Settings, len(all))
	for name, settings := range all {
		copied[name] = *settings
	}
	return copied
}

func (e *Entry) newPlanner() *planner.Runner {
	fleet := e.replicas[record.StreamFleet]
	return &planner.Runner{
		State: e.fleet, Lister: e.group, Controller: e.platform, Proposer: fleet.proposer, Follower: fleet.follower,
		Ranker: e.group, Observer: &plannerObserver{entry: e}, Settings: settingsSource{state: e.config},
		Timer: e.timer, Events: e.events, Author: record.Author(e.self.Entry),
	}
}
