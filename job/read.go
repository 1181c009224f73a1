package job

import (
	"slices"

	"hibiscuslane.example/hibiscuslane/instance"
	"hibiscuslane.example/hibiscuslane/pool"
	"hibiscuslane.example/hibiscuslane/record"
	"hibiscuslane.example/hibiscuslane/team"
)

// Job returns a job. The values that its pointers and slices refer to are shared and must not be
// modified.
func (s *State) Job(id ID) (Job, bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	j, ok := s.jobs[id]
	if !ok {
		return Job{}, false
	}
	return *j, true
}

// JobByIdempotencyKey returns the job that was submitted with an idempotency key of a team.
func (s *State) JobByIdempotencyKey(name team.Name, key string) (Job, bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	j, ok := s.jobs[s.keys[idempotencyKey{name, key}]]
	if !ok || key == "" {
		return Job{}, false
	}
	return *j, true
}

// QueuedJobs returns the queued jobs of a pool in the order of submission.
func (s *State) QueuedJobs(name pool.Name) []Job {
	s.mu.RLock()
	jobs := copyJobs(s.index.queued[name])
	s.mu.RUnlock()
	slices.SortFunc(jobs, func(a, b Job) int { return compareSubmitOffsets(&a, &b) })
	return jobs
}

// ActiveJobs returns the jobs whose attempt on a worker has not ended, in the order of submission.
func (s *State) ActiveJobs(worker instance.ID) []Job {
	s.mu.RLock()
	jobs := copyJobs(s.index.active[worker])
	s.mu.RUnlock()
	slices.SortFunc(jobs, func(a, b Job) int { return compareSubmitOffsets(&a, &b) })
	return jobs
}

func copyJobs(jobs map[ID]*Job) []Job {
	list := make([]Job, 0, len(jobs))
	for _, j := range jobs {
		list = append(list, *j)
	}
	return list
}

// WorkersWithActiveJobs returns the workers with attempts that have not ended, ordered by id.
func (s *State) WorkersWithActiveJobs() []instance.ID {
	s.mu.RLock()
	defer s.mu.RUnlock()
	workers := make([]instance.ID, 0, len(s.index.active))
	for id := range s.index.active {
		workers = append(workers, id)
	}
	slices.Sort(workers)
	return workers
}

// PoolsWithQueuedJobs returns the pools that have queued jobs, ordered by name.
func (s *State) PoolsWithQueuedJobs() []pool.Name {
	s.mu.RLock()
	defer s.mu.RUnlock()
	pools := make([]pool.Name, 0, len(s.index.queued))
	for name := range s.index.queued {
		pools = append(pools, name)
	}
	slices.Sort(pools)
	return pools
}

// ReservedByTeam returns the resources that are reserved by the active attempts of each team.
func (s *State) ReservedByTeam() map[team.Name]Size {
	s.mu.RLock()
	defer s.mu.RUnlock()
	reserved := make(map[team.Name]Size, len(s.index.reserved))
	for name, size := range s.index.reserved {
		reserved[name] = size
	}
	return reserved
}

// QuarantinedWorkers returns the quarantined workers, ordered by id.
func (s *State) QuarantinedWorkers() []QuarantinedWorker {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.quarantinedWorkersLocked()
}

// SuspectWorkers returns the workers that are suspected of failing every job and are not quarantined, as
// proposed quarantines with the reason.
func (s *State) SuspectWorkers() map[instance.ID]Quarantine {
	s.mu.RLock()
	defer s.mu.RUnlock()
	suspects := map[instance.ID]Quarantine{}
	for id, w := range s.failures.workers {
		if reason := s.failures.suspectReason(w, nil); reason != "" && !s.failures.isQuarantined(id, w.Incarnation) {
			suspects[id] = Quarantine{Worker: id, Incarnation: w.Incarnation, Reason: reason}
		}
	}
	return suspects
}

// HasCompletedJob reports whether a worker has completed a job in the given incarnation. The end of a
// quarantine resets this.
func (s *State) HasCompletedJob(id instance.ID, incarnation instance.Incarnation) bool {
	s.mu.RLock()
	defer s.mu.RUnlock()
	w, ok := s.failures.workers[id]
	return ok && w.Incarnation == incarnation && w.HasSucceeded
}

// Usage returns the estimated usage of one job with a key.
func (s *State) Usage(key UsageKey) Usage {
	s.mu.RLock()
	defer s.mu.RUnlock()
	c, ok := s.failures.classes[key.Class]
	if !ok {
		return Usage{}
	}
	i := c.usageIndex(key.Size)
	if i < 0 {
		return c.Usage
	}
	return c.Usages[i].Usage
}

// CountJobs returns the number of jobs that have not ended and of those that have.
func (s *State) CountJobs() (open, ended int) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return len(s.jobs) - len(s.endedJobs), len(s.endedJobs)
}

// ChangesFrom returns the changes at or after an offset that the history still holds, oldest first.
func (s *State) ChangesFrom(from record.Offset) []Change {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.history.changesFrom(from)
}

// Changed returns a channel that is closed by the next change of the state.
func (s *State) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.changed == nil {
		s.changed = make(chan struct{})
	}
	return s.changed
}
