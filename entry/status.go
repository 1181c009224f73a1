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

// NotReadyError reports that an entry accepts no requests.
type NotReadyError struct {
	Reason string
}

func (e *NotReadyError) Error() string { return "entry is not ready: " + e.Reason }

// Code implements failure.Coded.
func (e *NotReadyError) Code() failure.Code { return failure.CodeUnready }

// Outcome implements failure.Coded.
func (e *NotReadyError) Outcome() failure.Outcome { return failure.OutcomeNotRun }

// Status implements admin.StatusProvider.
func (e *Entry) Status() admin.Status {
	s := admin.Status{
		ID: e.self.Entry, Incarnation: e.self.Incarnation, Centre: e.settings.Centre, ConfigVersion: e.config.Version(),
		Offsets: map[record.Stream]record.Offset{}, Instances: e.fleet.Instances(),
	}
	if err := e.readinessError(); err != nil {
		s.Reason = err.Error()
	} else {
		s.Ready = true
	}
	for name, r := range e.replicas {
		s.Offsets[name] = r.follower.NextOffset()
	}
	for _, report := range e.group.LastReports() {
		s.Peers = append(s.Peers, admin.PeerStatus{
			ID: instance.ID(report.Status.GetEntry()), Incarnation: instance.Incarnation(report.Status.GetIncarnation()),
			Centre: site.DataCentre(report.Status.GetCentre()), ConfigVersion: record.Offset(report.Status.GetConfig()),
			SilenceMillis: report.Age.Milliseconds(),
		})
	}
	s.Pools = poolStatus(e.config.AllSettings(), s.Instances)
	return s
}

// poolStatus returns the configuration and the instance counts of each pool at each site. Instances of pools
// that are not configured at their site are not counted.
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
			countInstance(row, i)
		}
	}
	result := make([]admin.PoolStatus, len(list))
	for i, row := range list {
		result[i] = *row
	}
	return result
}

// countInstance adds an instance to the counts of its pool by its phase.
func countInstance(row *admin.PoolStatus, i fleet.Instance) {
	counts := &row.Targets
	if i.Kind == instance.KindWorker {
		counts = &row.Workers
	}
	switch i.Phase {
	case instance.PhaseActive:
		counts.Active++
	case instance.PhaseDraining:
		counts.Draining++
	case instance.PhaseLost:
		counts.Lost++
	}
}

// millisecondsSinceRead returns the time since the last successful read of a stream in milliseconds, or -1 if
// there was none.
func (e *Entry) millisecondsSinceRead(r *replica) int64 {
	lastRead := r.follower.LastRead()
	if lastRead.IsZero() {
		return -1
	}
	return e.timer.Since(lastRead).Milliseconds()
}

func (e *Entry) serveHealth(w http.ResponseWriter, _ *http.Request) {
	w.WriteHeader(http.StatusOK)
}

func (e *Entry) serveReady(w http.ResponseWriter, _ *http.Request) {
	if err := e.readinessError(); err != nil {
		failure.Write(w, "", err)
		return
	}
	w.WriteHeader(http.StatusOK)
}
