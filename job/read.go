package job

import (
	"slices"

	"hibiscuslane.example/hibiscuslane/instance"
	"hibiscuslane.example/hibiscuslane/pool"
	"hibiscuslane.example/hibiscuslane/record"
	"hibiscuslane.example/hibiscuslane/team"
)

// Job returns a job. What it points to is shared and must not be changed.
func (s *State) Job(id ID) (Job, bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	j, ok := s.jobs[id]
	if !ok {
		return Job{}, false
	}
	return *j, true
}

// JobByIdempotencyKey returns the job that an idempotency key of a team names.
func (s *State) JobByIdempotencyKey(name team.Name, key string) (Job, bool) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	j, ok := s.jobs[s.keys[ownerKey{name, key}]]
	if !ok || key == "" {
		return Job{}, false
	}
	return *j, true
}

// QueuedJobs returns the queued jobs of a pool in the order of their submits.
func (s *State) QueuedJobs(name pool.Name) []Job {
	s.mu.RLock()
	jobs := copies(s.index.queued[name])
	s.mu.RUnlock()
	slices.SortFunc(jobs, func(a, b Job) int { return bySubmit(&a, &b) })
	return jobs
}

// ActiveJobs returns the jobs with an attempt on a worker that has not ended, in the order of their submits.
func (s *State) ActiveJobs(worker instance.ID) []Job {
	s.mu.RLock()
	jobs := copies(s.index.held[worker])
	s.mu.RUnlock()
	slices.SortFunc(jobs, func(a, b Job) int { return bySubmit(&a, &b) })
	return jobs
}

func copies(jobs map[ID]*Job) []Job {
	list := make([]Job, 0, len(jobs))
	for _, j := range jobs {
		list = append(list, *j)
	}
	return list
}

// WorkersWithActiveJobs returns the workers on which attempts have not ended, in the order of their ids.
func (s *State) WorkersWithActiveJobs() []instance.ID {
	s.mu.RLock()
	defer s.mu.RUnlock()
	workers := make([]instance.ID, 0, len(s.index.held))
	for id := range s.index.held {
		workers = append(workers, id)
	}
	slices.Sort(workers)
	return workers
}

// PoolsWithQueuedJobs returns the pools that have queued jobs, in the order of their names.
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

// ReservedByTeam returns the size of all attempts that have not ended, per team.
func (s *State) ReservedByTeam() map[team.Name]Size {
	s.mu.RLock()
	defer s.mu.RUnlock()
	used := make(map[team.Name]Size, len(s.index.used))
	for name, size := range s.index.used {
		used[name] = size
	}
	return used
}

// QuarantinedWorkers returns the workers in quarantine, in the order of their ids.
func (s *State) QuarantinedWorkers() []QuarantinedWorker {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.quarantinedLocked()
}

// SuspectWorkers returns the workers that seem to fail everything they start, with the reason.
func (s *State) SuspectWorkers() map[instance.ID]Quarantine {
	s.mu.RLock()
	defer s.mu.RUnlock()
	suspects := map[instance.ID]Quarantine{}
	for id, w := range s.evidence.workers {
		if reason := s.evidence.suspect(w, nil); reason != "" && !s.evidence.quarantined(id, w.Incarnation) {
			suspects[id] = Quarantine{Worker: id, Incarnation: w.Incarnation, Reason: reason}
		}
	}
	return suspects
}

// HasCompletedJob reports whether a worker has completed a job in an incarnation.
func (s *State) HasCompletedJob(id instance.ID, incarnation instance.Incarnation) bool {
	s.mu.RLock()
	defer s.mu.RUnlock()
	w, ok := s.evidence.workers[id]
	return ok && w.Incarnation == incarnation && w.Success
}

// ClassUsage returns what jobs of a class were seen to use.
func (s *State) ClassUsage(class Class) Usage {
	s.mu.RLock()
	defer s.mu.RUnlock()
	c, ok := s.evidence.classes[class]
	if !ok {
		return Usage{}
	}
	return c.Usage
}

// CountJobs returns the number of open and of ended jobs.
func (s *State) CountJobs() (open, ended int) {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return len(s.jobs) - len(s.ended), len(s.ended)
}

// Audit returns the kept changes at or after an offset, oldest first.
func (s *State) Audit(from record.Offset) []Change {
	s.mu.RLock()
	defer s.mu.RUnlock()
	return s.history.since(from)
}

// Changed returns a channel that is closed at the next change of the state.
func (s *State) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.changed == nil {
		s.changed = make(chan struct{})
	}
	return s.changed
}
