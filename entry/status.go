package entry

import (
	"maps"
	"net/http"
	"slices"

	"hibiscuslane.example/hibiscuslane/admin"
	"hibiscuslane.example/hibiscuslane/config"
	"hibiscuslane.example/hibiscuslane/failure"
	"hibiscuslane.example/hibiscuslane/fleet"
	"hibiscuslane.example/hibiscuslane/instance"
	"hibiscuslane.example/hibiscuslane/pool"
	"hibiscuslane.example/hibiscuslane/record"
	"hibiscuslane.example/hibiscuslane/site"
)

// NotReadyError reports an entry that takes no traffic.
type NotReadyError struct {
	Reason string
}

func (e *NotReadyError) Error() string { return "entry is not ready: " + e.Reason }

// Code implements failure.Coded.
func (e *NotReadyError) Code() failure.Code { return failure.CodeUnready }

// Outcome implements failure.Coded.
func (e *NotReadyError) Outcome() failure.Outcome { return failure.OutcomeNotRun }

// Status implements admin.Reporter.
func (e *Entry) Status() admin.Status {
	s := admin.Status{
		ID: e.self.Entry, Incarnation: e.self.Incarnation, Centre: e.settings.Centre, ConfigVersion: e.config.Version(),
		Offsets: map[record.Stream]record.Offset{}, Instances: e.fleet.Instances(),
	}
	if err := e.unready(); err != nil {
		s.Reason = err.Error()
	} else {
		s.Ready = true
	}
	for name, c := range e.channels {
		s.Offsets[name] = c.follower.NextOffset()
	}
	for _, c := range e.group.LastReports() {
		s.Peers = append(s.Peers, admin.PeerStatus{
			ID: instance.ID(c.Status.GetEntry()), Incarnation: instance.Incarnation(c.Status.GetIncarnation()),
			Centre: site.DataCentre(c.Status.GetCentre()), ConfigVersion: record.Offset(c.Status.GetConfig()),
			SilenceMillis: c.Age.Milliseconds(),
		})
	}
	s.Pools = poolStatus(e.config.AllSettings(), s.Instances)
	return s
}

// poolStatus counts the instances of each pool at each site.
func poolStatus(settings map[site.Name]*config.Settings, instances []fleet.Instance) []admin.PoolStatus {
	type key struct {
		site site.Name
		pool pool.Name
	}
	rows := map[key]*admin.PoolStatus{}
	var list []*admin.PoolStatus
	for _, name := range slices.Sorted(maps.Keys(settings)) {
		pools := settings[name].Pools
		for _, p := range slices.Sorted(maps.Keys(pools)) {
			row := &admin.PoolStatus{Site: name, Pool: p, Spec: pools[p]}
			rows[key{name, p}] = row
			list = append(list, row)
		}
	}
	for _, i := range instances {
		if row := rows[key{site.Name(i.Centre), i.Pool}]; row != nil {
			count(row, i)
		}
	}
	result := make([]admin.PoolStatus, len(list))
	for i, row := range list {
		result[i] = *row
	}
	return result
}

func count(row *admin.PoolStatus, i fleet.Instance) {
	phases := &row.Targets
	if i.Kind == instance.KindWorker {
		phases = &row.Workers
	}
	switch i.Phase {
	case instance.PhaseActive:
		phases.Active++
	case instance.PhaseDraining:
		phases.Draining++
	case instance.PhaseLost:
		phases.Lost++
	}
}

// silence returns the time in milliseconds since the last contact of a channel with the log; -1 if
// there was none.
func (e *Entry) silence(c *channel) int64 {
	contact := c.follower.LastRead()
	if contact.IsZero() {
		return -1
	}
	return e.timer.Since(contact).Milliseconds()
}

func (e *Entry) serveHealth(w http.ResponseWriter, _ *http.Request) {
	w.WriteHeader(http.StatusOK)
}

func (e *Entry) serveReady(w http.ResponseWriter, _ *http.Request) {
	if err := e.unready(); err != nil {
		failure.Write(w, "", err)
		return
	}
	w.WriteHeader(http.StatusOK)
}
