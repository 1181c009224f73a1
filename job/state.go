package job

import (
	"cmp"
	"fmt"
	"slices"
	"sync"

	"hibiscuslane.example/hibiscuslane/fleet"
	"hibiscuslane.example/hibiscuslane/instance"
	"hibiscuslane.example/hibiscuslane/pool"
	"hibiscuslane.example/hibiscuslane/record"
	"hibiscuslane.example/hibiscuslane/stream"
	"hibiscuslane.example/hibiscuslane/team"
	"hibiscuslane.example/hibiscuslane/upstream"
)

const (
	// defaultMaxOpenJobs limits the jobs that have not ended, defaultMaxEndedJobs those that have.
	// Together with defaultMaxTextBytes they keep the state below half of an entry's 64 MB.
	defaultMaxOpenJobs  = 20_000
	defaultMaxEndedJobs = 10_000
	// defaultMaxTextBytes limits the total size of inputs, commands, outputs and reasons in the state.
	defaultMaxTextBytes = 12 << 20
	// maxFailedAttempts limits the failed attempts that are kept with a job.
	maxFailedAttempts = 8
)

// Reasons why a record is stale.
const (
	reasonDuplicateJob = "the job is known"
	reasonDuplicateKey = "the key names a job"
	reasonStateFull    = "the state holds the most open jobs it may" // or the most text
	reasonUnknownJob   = "the job is not known"
	reasonEpoch        = "the epoch is not the current one"
	reasonStatus       = "the status of the job does not allow it"
	reasonLimit        = "the job has no attempts left"
	reasonQuota        = "the attempt exceeds the quota of the team"
	reasonQuarantine   = "the worker is in quarantine"
)

// Limits bounds the state. All entries must use the same limits, because they determine which records
// apply. A zero field selects the default.
type Limits struct {
	MaxOpenJobs  int
	MaxEndedJobs int
	// MaxTextBytes limits the total size of inputs, commands, outputs and reasons.
	MaxTextBytes int
}

func (l Limits) maxOpenJobs() int { return cmp.Or(l.MaxOpenJobs, defaultMaxOpenJobs) }

func (l Limits) maxEndedJobs() int { return cmp.Or(l.MaxEndedJobs, defaultMaxEndedJobs) }

func (l Limits) maxTextBytes() int { return cmp.Or(l.MaxTextBytes, defaultMaxTextBytes) }

// State is the state of all jobs, built by applying the records of the job stream. It implements
// stream.StateMachine and is safe for concurrent use. The zero value is empty.
type State struct {
	// Limits must be set before the first record is applied.
	Limits Limits

	mu   sync.RWMutex
	jobs map[ID]*Job
	keys map[idempotencyKey]ID
	// endedJobs lists the jobs that have ended, oldest first.
	endedJobs []ID
	// textBytes is the total size of the texts of all jobs.
	textBytes int
	index     index
	failures  failureTracker
	history   history
	// changed is closed by the next change. It is nil until Changed is called.
	changed chan struct{}
	// digest caches the result of Digest while digestValid is set.
	digest      uint64
	digestValid bool
}

type idempotencyKey struct {
	team team.Name
	key  string
}

var _ stream.StateMachine = (*State)(nil)

// Apply implements stream.StateMachine.
func (s *State) Apply(offset record.Offset, envelope record.Envelope) stream.Verdict {
	body, err := Decode(envelope)
	if err != nil {
		return stream.Invalid(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.initLocked()
	verdict := s.applyLocked(position{offset: offset, time: fleet.TimestampOf(envelope.Time)}, body)
	if verdict.Result != stream.ResultApplied {
		return verdict
	}
	s.history.add(newChange(offset, envelope, body))
	s.digestValid = false
	s.notifyLocked()
	return verdict
}

// position holds the offset and the time of the record that is applied.
type position struct {
	offset record.Offset
	time   fleet.Timestamp
}

func (s *State) initLocked() {
	if s.jobs != nil {
		return
	}
	s.jobs = map[ID]*Job{}
	s.keys = map[idempotencyKey]ID{}
	s.index = newIndex()
	s.failures = newFailureTracker()
}

func (s *State) applyLocked(at position, body Body) stream.Verdict {
	switch b := body.(type) {
	case *Submit:
		return s.submitLocked(at, b)
	case *Place:
		return s.placeLocked(at, b)
	case *Start:
		return s.startLocked(b)
	case *Finish:
		return s.finishLocked(at, b)
	case *Abandon:
		return s.abandonLocked(at, b)
	case *Cancel:
		return s.cancelLocked(at, b)
	case *Quarantine:
		return s.failures.applyQuarantine(at, b)
	case *Restore:
		return s.failures.applyRestore(b)
	}
	return stream.Invalid(&UnknownKindError{Kind: body.Kind()})
}

func (s *State) submitLocked(at position, b *Submit) stream.Verdict {
	if _, ok := s.jobs[b.ID]; ok {
		return stream.Stale(reasonDuplicateJob)
	}
	if _, ok := s.keys[idempotencyKey{b.Team, b.Key}]; ok && b.Key != "" {
		return stream.Stale(reasonDuplicateKey)
	}
	j := &Job{
		ID: b.ID, Key: b.Key, Spec: b.Spec, SpecHash: b.hash(), Status: StatusQueued,
		SubmitOffset: at.offset, SubmitTime: at.time,
	}
	if len(s.jobs)-len(s.endedJobs) >= s.Limits.maxOpenJobs() || s.textBytes+j.textBytes() > s.Limits.maxTextBytes() {
		return stream.Stale(reasonStateFull)
	}
	s.addLocked(j)
	return stream.Applied
}

func (s *State) addLocked(j *Job) {
	s.jobs[j.ID] = j
	if j.Key != "" {
		s.keys[idempotencyKey{j.Team, j.Key}] = j.ID
	}
	s.textBytes += j.textBytes()
	s.index.add(j)
}

// textBytes returns the total size of the texts of a job.
func (j *Job) textBytes() int {
	n := len(j.Command) + len(j.Input)
	if j.Result != nil {
		n += len(j.Result.Output) + len(j.Result.Reason)
	}
	return n
}

func (s *State) placeLocked(at position, b *Place) stream.Verdict {
	j, ok := s.jobs[b.ID]
	switch {
	case !ok:
		return stream.Stale(reasonUnknownJob)
	case j.Status != StatusQueued:
		return stream.Stale(reasonStatus)
	case b.Epoch != j.Epoch+1:
		return stream.Stale(reasonEpoch)
	case j.Attempts >= j.MaxAttempts:
		return stream.Stale(reasonLimit)
	case s.failures.isQuarantined(b.Worker, b.Incarnation):
		return stream.Stale(reasonQuarantine)
	case !s.index.reserved[j.Team].plus(b.Size).fitsQuota(b.Quota):
		return stream.Stale(reasonQuota)
	}
	s.updateLocked(j, func() {
		j.Status = StatusPlaced
		j.Epoch = b.Epoch
		j.Attempts++
		j.Placement = &Placement{Worker: b.Worker, Incarnation: b.Incarnation, Size: b.Size, PlacedAt: at.time}
	})
	return stream.Applied
}

// updateLocked changes a job and keeps the index and the text size up to date.
func (s *State) updateLocked(j *Job, change func()) {
	s.index.remove(j)
	s.textBytes -= j.textBytes()
	change()
	s.textBytes += j.textBytes()
	s.index.add(j)
}

// activeJobLocked returns the job of an attempt that has not ended, or nil and the reason why the record
// is stale.
func (s *State) activeJobLocked(a AttemptID) (*Job, stream.Verdict) {
	j, ok := s.jobs[a.ID]
	switch {
	case !ok:
		return nil, stream.Stale(reasonUnknownJob)
	case a.Epoch != j.Epoch:
		return nil, stream.Stale(reasonEpoch)
	case !j.Status.isActive():
		return nil, stream.Stale(reasonStatus)
	}
	return j, stream.Applied
}

func (s *State) startLocked(b *Start) stream.Verdict {
	j, verdict := s.activeJobLocked(b.AttemptID)
	if j == nil {
		return verdict
	}
	if j.Status != StatusPlaced {
		return stream.Stale(reasonStatus)
	}
	s.updateLocked(j, func() { j.Status = StatusRunning })
	return stream.Applied
}

func (s *State) finishLocked(at position, b *Finish) stream.Verdict {
	j, verdict := s.activeJobLocked(b.AttemptID)
	if j == nil {
		return verdict
	}
	switch b.State {
	case upstream.TaskDone:
		s.failures.recordSuccess(at, j, b)
		s.endLocked(at, j, StatusDone, Result{Output: b.Output})
	case upstream.TaskFailed:
		s.failLocked(at, j, b)
	case upstream.TaskStopped, upstream.TaskExpired:
		s.requeueOrEndLocked(at, j, StatusFailed, Result{Reason: string(b.State) + ": " + b.Reason})
	case upstream.TaskRunning:
		// Finish.validate rejects this state.
	}
	return stream.Applied
}

func (s *State) failLocked(at position, j *Job, b *Finish) {
	f := FailedAttempt{
		Worker: j.Placement.Worker, Incarnation: j.Placement.Incarnation, Epoch: j.Epoch, Reason: truncate(b.Reason, maxShortReasonBytes),
		Quick: at.time-j.Placement.PlacedAt <= quickFailureLimit,
	}
	kept := j.FailedAttempts
	if len(kept) >= maxFailedAttempts {
		kept = kept[1:]
	}
	s.updateLocked(j, func() { j.FailedAttempts = slices.Concat(kept, []FailedAttempt{f}) })
	s.failures.recordFailure(at, j, b)
	if s.failures.isUnrunnable(j) {
		s.endLocked(at, j, StatusFailed, Result{Reason: fmt.Sprintf("cannot run: failed quickly on %d workers that run other jobs: %s", unrunnableThreshold, b.Reason)})
		return
	}
	s.requeueOrEndLocked(at, j, StatusFailed, Result{Reason: b.Reason})
}

// requeueOrEndLocked queues a job again after its attempt has ended, or ends it with finalStatus if it has
// no attempts left.
func (s *State) requeueOrEndLocked(at position, j *Job, finalStatus Status, result Result) {
	if j.Attempts >= j.MaxAttempts {
		s.endLocked(at, j, finalStatus, result)
		return
	}
	s.updateLocked(j, func() { j.Status = StatusQueued })
}

// endLocked ends a job and deletes its input, which is no longer needed. It then removes the oldest
// ended jobs until the state is within its limits. The limit on texts never removes the latest ended job.
func (s *State) endLocked(at position, j *Job, status Status, result Result) {
	s.updateLocked(j, func() {
		j.Status = status
		j.Input = ""
		j.Result = &Result{Output: result.Output, Reason: truncate(result.Reason, maxReasonBytes)}
		j.FinishOffset = at.offset
	})
	s.endedJobs = append(s.endedJobs, j.ID)
	for len(s.endedJobs) > s.Limits.maxEndedJobs() || (s.textBytes > s.Limits.maxTextBytes() && len(s.endedJobs) > 1) {
		s.removeLocked(s.endedJobs[0])
		s.endedJobs = s.endedJobs[1:]
	}
}

func (s *State) removeLocked(id ID) {
	j := s.jobs[id]
	s.index.remove(j)
	s.textBytes -= j.textBytes()
	delete(s.jobs, id)
	delete(s.keys, idempotencyKey{j.Team, j.Key})
}

func (s *State) abandonLocked(at position, b *Abandon) stream.Verdict {
	j, verdict := s.activeJobLocked(b.AttemptID)
	if j == nil {
		return verdict
	}
	s.requeueOrEndLocked(at, j, StatusUnknown, Result{Reason: "the worker did not report the end of the last attempt: " + b.Reason})
	return stream.Applied
}

func (s *State) cancelLocked(at position, b *Cancel) stream.Verdict {
	applied := false
	for _, id := range b.IDs {
		j, ok := s.jobs[id]
		if !ok || j.Status.IsFinal() {
			continue
		}
		s.endLocked(at, j, StatusCancelled, Result{Reason: b.Reason})
		applied = true
	}
	if !applied {
		return stream.Stale(reasonStatus)
	}
	return stream.Applied
}

func (s *State) notifyLocked() {
	if s.changed != nil {
		close(s.changed)
		s.changed = nil
	}
}

// index allows lookups without a scan of all jobs. It is derived from the jobs alone.
type index struct {
	queued map[pool.Name]map[ID]*Job
	// active holds the jobs whose attempt may occupy resources of a worker.
	active map[instance.ID]map[ID]*Job
	// reserved holds the total size of the active attempts of each team.
	reserved map[team.Name]Size
}

func newIndex() index {
	return index{queued: map[pool.Name]map[ID]*Job{}, active: map[instance.ID]map[ID]*Job{}, reserved: map[team.Name]Size{}}
}

func (x *index) add(j *Job) {
	switch {
	case j.Status == StatusQueued:
		if x.queued[j.Pool] == nil {
			x.queued[j.Pool] = map[ID]*Job{}
		}
		x.queued[j.Pool][j.ID] = j
	case j.Status.isActive():
		if x.active[j.Placement.Worker] == nil {
			x.active[j.Placement.Worker] = map[ID]*Job{}
		}
		x.active[j.Placement.Worker][j.ID] = j
		x.reserved[j.Team] = x.reserved[j.Team].plus(j.Placement.Size)
	}
}

// remove removes a job, which must not have changed since it was added.
func (x *index) remove(j *Job) {
	switch {
	case j.Status == StatusQueued:
		delete(x.queued[j.Pool], j.ID)
		if len(x.queued[j.Pool]) == 0 {
			delete(x.queued, j.Pool)
		}
	case j.Status.isActive():
		delete(x.active[j.Placement.Worker], j.ID)
		if len(x.active[j.Placement.Worker]) == 0 {
			delete(x.active, j.Placement.Worker)
		}
		x.reserved[j.Team] = x.reserved[j.Team].minus(j.Placement.Size)
		if x.reserved[j.Team] == (Size{}) {
			delete(x.reserved, j.Team)
		}
	}
}
