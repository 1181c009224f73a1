package entry

import (
	"fmt"

	"hibiscuslane.example/hibiscuslane/audit"
	"hibiscuslane.example/hibiscuslane/fleet"
	"hibiscuslane.example/hibiscuslane/job"
	"hibiscuslane.example/hibiscuslane/record"
	"hibiscuslane.example/hibiscuslane/stream"
)

// fleetTrail shows the applied fleet records in the audit trail. It implements audit.Source.
type fleetTrail struct{ state *fleet.State }

// Trail implements audit.Source.
func (f fleetTrail) Trail() []audit.Entry {
	changes := f.state.ChangesFrom(0)
	entries := make([]audit.Entry, 0, len(changes))
	for _, c := range changes {
		decision := c.Reason
		if c.NextPool != "" && c.NextPool != c.ToPool {
			decision = "to pool " + string(c.NextPool) + ": " + decision
		}
		entries = append(entries, audit.Entry{
			Offset: c.Offset, Stream: record.StreamFleet, Kind: c.Kind, Time: c.Time.AsTime(), Author: c.Author,
			Objects: []audit.Object{{Name: string(c.ID) + " in " + string(c.ToPool), BaseVersion: int64(c.Version) - 1}},
			Reason:  decision, Verdict: stream.ResultApplied,
		})
	}
	return entries
}

// jobTrail shows the applied job records in the audit trail. It implements audit.Source.
type jobTrail struct{ state *job.State }

// Trail implements audit.Source.
func (j jobTrail) Trail() []audit.Entry {
	changes := j.state.Audit(0)
	entries := make([]audit.Entry, 0, len(changes))
	for _, c := range changes {
		entries = append(entries, audit.Entry{
			Offset: c.Offset, Stream: record.StreamJob, Kind: c.Kind, Time: c.Time.AsTime(), Author: c.Author,
			Objects: []audit.Object{{Name: jobObject(c), BaseVersion: int64(c.Epoch)}}, Reason: c.Reason, Verdict: stream.ResultApplied,
		})
	}
	return entries
}

// jobObject names what a job record changes.
func jobObject(c job.Change) string {
	name := "job " + string(c.JobID)
	switch {
	case c.JobID == "":
		name = "worker " + string(c.Worker)
	case c.JobCount > 1:
		name += fmt.Sprintf(" and %d more", c.JobCount-1)
	case c.Worker != "":
		name += " on " + string(c.Worker)
	}
	if c.State != "" {
		name += ": " + string(c.State)
	}
	return name
}
