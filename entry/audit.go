package entry

import (
	"fmt"

	"hibiscuslane.example/hibiscuslane/audit"
	"hibiscuslane.example/hibiscuslane/fleet"
	"hibiscuslane.example/hibiscuslane/job"
	"hibiscuslane.example/hibiscuslane/record"
	"hibiscuslane.example/hibiscuslane/stream"
)

// fleetAuditSource lists the applied fleet records for the audit trail. It implements audit.Source.
type fleetAuditSource struct{ state *fleet.State }

// Trail implements audit.Source.
func (f fleetAuditSource) Trail() []audit.Entry {
	changes := f.state.ChangesFrom(0)
	entries := make([]audit.Entry, 0, len(changes))
	for _, change := range changes {
		decision := change.Reason
		if change.NextPool != "" && change.NextPool != change.ToPool {
			decision = "to pool " + string(change.NextPool) + ": " + decision
		}
		entries = append(entries, audit.Entry{
			Offset: change.Offset, Stream: record.StreamFleet, Kind: change.Kind, Time: change.Time.AsTime(), Author: change.Author,
			Objects: []audit.Object{{Name: string(change.ID) + " in " + string(change.ToPool), BaseVersion: int64(change.Version) - 1}},
			Reason:  decision, Verdict: stream.ResultApplied,
		})
	}
	return entries
}

// jobAuditSource lists the applied job records for the audit trail. It implements audit.Source.
type jobAuditSource struct{ state *job.State }

// Trail implements audit.Source.
func (j jobAuditSource) Trail() []audit.Entry {
	changes := j.state.ChangesFrom(0)
	entries := make([]audit.Entry, 0, len(changes))
	for _, change := range changes {
		entries = append(entries, audit.Entry{
			Offset: change.Offset, Stream: record.StreamJob, Kind: change.Kind, Time: change.Time.AsTime(), Author: change.Author,
			Objects: []audit.Object{{Name: jobObjectName(change), BaseVersion: int64(change.Epoch)}}, Reason: change.Reason, Verdict: stream.ResultApplied,
		})
	}
	return entries
}

// jobObjectName returns the name of the object that a job record changes, for the audit trail.
func jobObjectName(change job.Change) string {
	name := "job " + string(change.JobID)
	switch {
	case change.JobID == "":
		name = "worker " + string(change.Worker)
	case change.JobCount > 1:
		name += fmt.Sprintf(" and %d more", change.JobCount-1)
	case change.Worker != "":
		name += " on " + string(change.Worker)
	}
	if change.State != "" {
		name += ": " + string(change.State)
	}
	return name
}
