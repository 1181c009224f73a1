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
	// maxOpen bounds the jobs that have not ended, maxEnded those that have. Together with maxBytes they
	// keep the state below half of an entry's 64 MB.
	maxOpen  = 20_000
	maxEnded = 10_000
	// maxBytes bounds the inputs, commands and outputs in the state.
	maxBytes = 12 << 20
	// maxFailures bounds the failed attempts that are kept with a job.
	maxFailures = 8
)

// Reasons of stale verdicts.
const (
	reasonKnown      = "the job is known"
	reasonKey        = "the key names a job"
	reasonFull       = "the state holds the most open jobs it may"
	reasonAbsent     = "the job is not known"
	reasonEpoch      = "the epoch is not the current one"
	reasonStatus     = "the status of the job does not allow it"
	reasonLimit      = "the job has no attempts left"
	reasonQuota      = "the attempt exceeds the quota of the team"
	reasonQuarantine = "the worker is in quarantine"
)

// Limits bound the state. All entries must use the same limits, since they decide what a fold does. A
// zero field stands for the default.
type Limits struct {
	Open  int
	Ended int
	// Bytes is the size of all inputs, commands and outputs.
	Bytes int
}

func (l Limits) open() int { return cmp.Or(l.Open, maxOpen) }

func (l Limits) ended() int { return cmp.Or(l.Ended, maxEnded) }

func (l Limits) bytes() int { return cmp.Or(l.Bytes, maxBytes) }

// State is the folded job stream. It implements stream.Folder. The zero value is empty.
type State struct {
	// Limits must be set before the first fold.
	Limits Limits

	mu   sync.RWMutex
	jobs map[ID]*Job
	keys map[ownerKey]ID
	// ended lists the jobs that have ended, oldest first.
	ended []ID
	// bytes is the size of the texts of all jobs.
	bytes    int
	index    index
	evidence evidence
	history  history
	changed  chan struct{}
	// digest is valid while hashed is set.
	digest uint64
	hashed bool
}

type ownerKey struct {
	team team.Name
	key  string
}

var _ stream.Folder = (*State)(nil)

// Fold implements stream.Folder.
func (s *State) Fold(offset record.Offset, envelope record.Envelope) stream.Verdict {
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
	s.history.add(change(offset, envelope, body))
	s.hashed = false
	s.notifyLocked()
	return verdict
}

// position is where a record stands in the log.
type position struct {
	offset record.Offset
	time   fleet.Timestamp
}

func (s *State) initLocked() {
	if s.jobs != nil {
		return
	}
	s.jobs = map[ID]*Job{}
	s.keys = map[ownerKey]ID{}
	s.index = newIndex()
	s.evidence = newEvidence()
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
	case *Lapse:
		return s.lapseLocked(at, b)
	case *Cancel:
		return s.cancelLocked(at, b)
	case *Quarantine:
		return s.evidence.quarantine(at, b)
	case *Restore:
		return s.evidence.restore(b)
	}
	return stream.Invalid(&KindError{Kind: body.Kind()})
}

func (s *State) submitLocked(at position, b *Submit) stream.Verdict {
	if _, ok := s.jobs[b.ID]; ok {
		return stream.Stale(reasonKnown)
	}
	if _, ok := s.keys[ownerKey{b.Team, b.Key}]; ok && b.Key != "" {
		return stream.Stale(reasonKey)
	}
	j := &Job{
		ID: b.ID, Key: b.Key, Spec: b.Spec, Request: b.hash(), Status: StatusQueued,
		Submitted: at.offset, Time: at.time,
	}
	if len(s.jobs)-len(s.ended) >= s.Limits.open() || s.bytes+j.bytes() > s.Limits.bytes() {
		return stream.Stale(reasonFull)
	}
	s.addLocked(j)
	return stream.Applied
}

func (s *State) addLocked(j *Job) {
	s.jobs[j.ID] = j
	if j.Key != "" {
		s.keys[ownerKey{j.Team, j.Key}] = j.ID
	}
	s.bytes += j.bytes()
	s.index.add(j)
}

// bytes returns the size of the texts of a job.
func (j *Job) bytes() int {
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
		return stream.Stale(reasonAbsent)
	case j.Status != StatusQueued:
		return stream.Stale(reasonStatus)
	case b.Epoch != j.Epoch+1:
		return stream.Stale(reasonEpoch)
	case j.Attempts >= j.Limit:
		return stream.Stale(reasonLimit)
	case s.evidence.quarantined(b.Worker, b.Incarnation):
		return stream.Stale(reasonQuarantine)
	case !s.index.used[j.Team].plus(b.Size).withinQuota(b.Quota):
		return stream.Stale(reasonQuota)
	}
	s.updateLocked(j, func() {
		j.Status = StatusPlaced
		j.Epoch = b.Epoch
		j.Attempts++
		j.Placement = &Placement{Worker: b.Worker, Incarnation: b.Incarnation, Size: b.Size, Time: at.time}
	})
	return stream.Applied
}

// updateLocked changes a job and keeps the index up to date.
func (s *State) updateLocked(j *Job, change func()) {
	s.index.remove(j)
	s.bytes -= j.bytes()
	change()
	s.bytes += j.bytes()
	s.index.add(j)
}

// currentLocked returns the job of an attempt that has not ended.
func (s *State) currentLocked(a Attempt) (*Job, stream.Verdict) {
	j, ok := s.jobs[a.ID]
	switch {
	case !ok:
		return nil, stream.Stale(reasonAbsent)
	case a.Epoch != j.Epoch:
		return nil, stream.Stale(reasonEpoch)
	case !j.Status.holds():
		return nil, stream.Stale(reasonStatus)
	}
	return j, stream.Applied
}

func (s *State) startLocked(b *Start) stream.Verdict {
	j, verdict := s.currentLocked(b.Attempt)
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
	j, verdict := s.currentLocked(b.Attempt)
	if j == nil {
		return verdict
	}
	switch b.State {
	case upstream.TaskDone:
		s.evidence.succeed(at, j, b)
		s.endLocked(at, j, StatusDone, Result{Output: b.Output})
	case upstream.TaskFailed:
		s.failLocked(at, j, b)
	case upstream.TaskStopped, upstream.TaskLapsed:
		s.retryLocked(at, j, StatusFailed, Result{Reason: string(b.State) + ": " + b.Reason})
	case upstream.TaskRunning:
	}
	return stream.Applied
}

func (s *State) failLocked(at position, j *Job, b *Finish) {
	f := Failure{
		Worker: j.Placement.Worker, Incarnation: j.Placement.Incarnation, Epoch: j.Epoch, Reason: cut(b.Reason, maxShort),
		Quick: at.time-j.Placement.Time <= quickLimit,
	}
	kept := j.Failures
	if len(kept) >= maxFailures {
		kept = kept[1:]
	}
	s.updateLocked(j, func() { j.Failures = slices.Concat(kept, []Failure{f}) })
	s.evidence.fail(at, j, b)
	if s.evidence.neverRuns(j) {
		s.endLocked(at, j, StatusFailed, Result{Reason: fmt.Sprintf("cannot run: failed quickly on %d workers that run other jobs: %s", hopeless, b.Reason)})
		return
	}
	s.retryLocked(at, j, StatusFailed, Result{Reason: b.Reason})
}

// retryLocked queues a job whose attempt has ended, or ends it when it has no attempts left.
func (s *State) retryLocked(at position, j *Job, last Status, result Result) {
	if j.Attempts >= j.Limit {
		s.endLocked(at, j, last, result)
		return
	}
	s.updateLocked(j, func() { j.Status = StatusQueued })
}

// endLocked ends a job and drops its input, which is no longer needed.
func (s *State) endLocked(at position, j *Job, status Status, result Result) {
	s.updateLocked(j, func() {
		j.Status = status
		j.Input = ""
		j.Result = &Result{Output: result.Output, Reason: cut(result.Reason, maxReason)}
		j.Finished = at.offset
	})
	s.ended = append(s.ended, j.ID)
	for len(s.ended) > s.Limits.ended() || (s.bytes > s.Limits.bytes() && len(s.ended) > 1) {
		s.dropLocked(s.ended[0])
		s.ended = s.ended[1:]
	}
}

func (s *State) dropLocked(id ID) {
	j := s.jobs[id]
	s.index.remove(j)
	s.bytes -= j.bytes()
	delete(s.jobs, id)
	delete(s.keys, ownerKey{j.Team, j.Key})
}

func (s *State) lapseLocked(at position, b *Lapse) stream.Verdict {
	j, verdict := s.currentLocked(b.Attempt)
	if j == nil {
		return verdict
	}
	s.retryLocked(at, j, StatusUnknown, Result{Reason: "the worker did not report the end of the last attempt: " + b.Reason})
	return stream.Applied
}

func (s *State) cancelLocked(at position, b *Cancel) stream.Verdict {
	applied := false
	for _, id := range b.IDs {
		j, ok := s.jobs[id]
		if !ok || j.Status.Final() {
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

// index answers reads without a scan of all jobs. It follows from the jobs alone.
type index struct {
	queued map[pool.Name]map[ID]*Job
	// held holds the jobs whose attempt may hold resources of a worker.
	held map[instance.ID]map[ID]*Job
	// used is the size of the held attempts of each team.
	used map[team.Name]Size
}

func newIndex() index {
	return index{queued: map[pool.Name]map[ID]*Job{}, held: map[instance.ID]map[ID]*Job{}, used: map[team.Name]Size{}}
}

func (x *index) add(j *Job) {
	switch {
	case j.Status == StatusQueued:
		if x.queued[j.Pool] == nil {
			x.queued[j.Pool] = map[ID]*Job{}
		}
		x.queued[j.Pool][j.ID] = j
	case j.Status.holds():
		if x.held[j.Placement.Worker] == nil {
			x.held[j.Placement.Worker] = map[ID]*Job{}
		}
		x.held[j.Placement.Worker][j.ID] = j
		x.used[j.Team] = x.used[j.Team].plus(j.Placement.Size)
	}
}

func (x *index) remove(j *Job) {
	switch {
	case j.Status == StatusQueued:
		delete(x.queued[j.Pool], j.ID)
		if len(x.queued[j.Pool]) == 0 {
			delete(x.queued, j.Pool)
		}
	case j.Status.holds():
		delete(x.held[j.Placement.Worker], j.ID)
		if len(x.held[j.Placement.Worker]) == 0 {
			delete(x.held, j.Placement.Worker)
		}
		x.used[j.Team] = x.used[j.Team].minus(j.Placement.Size)
		if x.used[j.Team] == (Size{}) {
			delete(x.used, j.Team)
		}
	}
}
