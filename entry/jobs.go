package entry

import (
	"hibiscuslane.example/hibiscuslane/instance"
	"hibiscuslane.example/hibiscuslane/job"
	"hibiscuslane.example/hibiscuslane/record"
	"hibiscuslane.example/hibiscuslane/team"
	"hibiscuslane.example/hibiscuslane/upstream"
)

// teams returns the configured teams of the site of this entry.
func (e *Entry) teams() map[team.Name]team.Spec {
	settings := e.siteSettings()
	if settings == nil {
		return nil
	}
	return settings.Teams
}

func (e *Entry) newJobRunner() *job.Runner {
	jobs := e.replicas[record.StreamJob]
	httpClient := newPlatformHTTPClient()
	return &job.Runner{
		State: e.jobs, Fleet: e.fleet, Proposer: jobs.proposer, Follower: jobs.follower, Ranker: e.group,
		Teams: e.teams,
		Dial: func(address instance.Address) upstream.Worker {
			return &upstream.WorkerClient{Address: address, HTTPClient: httpClient}
		},
		Timer:  e.timer,
		Events: e.events,
		Author: record.Author(e.self.Entry),
	}
}

func (e *Entry) newJobHandler() *job.Handler {
	return job.NewHandler(job.HandlerOptions{
		State: e.jobs, Proposer: e.replicas[record.StreamJob].proposer, Follower: e.replicas[record.StreamJob].follower,
		Settings: e.siteSettings,
		Ready:    func() bool { return e.readinessError() == nil }, Timer: e.timer, Author: record.Author(e.self.Entry),
	})
}
