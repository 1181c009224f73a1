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

// observer collects what the entries report of the targets. It implements planner.Observer.
type observer struct {
	entry *Entry

	mu sync.Mutex
	// since holds when most entries began to see a target fail.
	since map[instance.ID]time.Time
}

// Failing implements planner.Observer. A target counts as failing while most live entries report it,
// since one entry alone may have lost its own way to the target.
func (o *observer) Failing() map[instance.ID]time.Duration {
	votes := map[instance.ID]int{}
	for _, id := range o.entry.table.EjectedTargets() {
		votes[id]++
	}
	peers := o.entry.group.LivePeers()
	for _, p := range peers {
		for _, id := range p.GetFailing() {
			votes[instance.ID(id)]++
		}
	}
	quorum := (len(peers)+1)/2 + 1
	now := o.entry.timer.Now()
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.since == nil {
		o.since = map[instance.ID]time.Time{}
	}
	failing := map[instance.ID]time.Duration{}
	for id, count := range votes {
		if count < quorum {
			continue
		}
		if _, ok := o.since[id]; !ok {
			o.since[id] = now
		}
		failing[id] = now.Sub(o.since[id])
	}
	for id := range o.since {
		if _, ok := failing[id]; !ok {
			delete(o.since, id)
		}
	}
	return failing
}

// Demand implements planner.Observer. It knows the pools whose slots this entry owns; a planner
// without a reading for a pool does not act on its demand.
func (o *observer) Demand() map[pool.Name]float64 {
	demand := map[pool.Name]float64{}
	settings := o.entry.siteSettings()
	if settings == nil {
		return demand
	}
	for _, usage := range o.entry.owners.Usage() {
		if spec := settings.Pools[usage.Pool]; spec.Slots > 0 {
			demand[usage.Pool] = float64(usage.Used+usage.Waiting) / float64(spec.Slots)
		}
	}
	return demand
}

// sites returns the settings of all sites. It implements planner.Sites.
type sites struct{ state *config.State }

// Sites implements planner.Sites.
func (s sites) Sites() map[site.Name]config.Settings {
	all := s.state.AllSettings()
	copied := make(map[site.Name]config.Settings, len(all))
	for name, settings := range all {
		copied[name] = *settings
	}
	return copied
}

func (e *Entry) newPlanner() *planner.Runner {
	fleet := e.channels[record.StreamFleet]
	return &planner.Runner{
		State: e.fleet, Lister: e.group, Controller: e.platform, Proposer: fleet.proposer, Follower: fleet.follower,
		Ranker: e.group, Observer: &observer{entry: e}, Settings: sites{state: e.config},
		Timer: e.timer, Events: e.events, Author: record.Author(e.self.Entry),
	}
}
