package job

import (
	"math"
	"slices"

	"hibiscuslane.example/hibiscuslane/fleet"
	"hibiscuslane.example/hibiscuslane/instance"
	"hibiscuslane.example/hibiscuslane/record"
	"hibiscuslane.example/hibiscuslane/stream"
	"hibiscuslane.example/hibiscuslane/team"
)

const (
	// quickFailureLimit is the time in milliseconds from placement within which a failure counts as
	// quick. The times are taken from the clocks of the records' authors, and the limit is far above the
	// differences between those clocks.
	quickFailureLimit fleet.Timestamp = 30_000
	// unrunnableThreshold is the number of healthy workers on which a job must fail quickly before it is
	// considered unable to run.
	unrunnableThreshold = 3
	// A worker is suspect once succeededElsewhereLimit jobs have failed on it and then succeeded on
	// another worker, or once consecutiveFailureLimit distinct jobs have failed on it in a row.
	succeededElsewhereLimit = 2
	consecutiveFailureLimit = 3
	// maxTrackedFailures limits the failures that are kept per worker and the failed workers that are kept
	// per class.
	maxTrackedFailures = 8
	// maxTrackedSizes limits the declared sizes of a class whose usage is kept.
	maxTrackedSizes = 8
	// maxTrackedClasses and maxTrackedWorkers limit the histories that are kept. The one that was updated least
	// recently is dropped.
	maxTrackedClasses = 4096
	maxTrackedWorkers = 16_384
	// maxShortReasonBytes limits the reasons that are kept with failed attempts and in the audit history.
	maxShortReasonBytes = 128
	// outOfMemoryReason is the reason that workers report for a task that ran out of memory.
	outOfMemoryReason = "out of memory"
	// memoryGrowthFactor raises the memory estimate after a task ran out of memory, because the reported
	// usage lags and is too low.
	memoryGrowthFactor = 1.5
	// usageDecay is the weight of the previous estimate when usage falls. A rise takes effect at once.
	usageDecay = 0.8
)

// Class groups the jobs of a team that run the same command. Jobs of one class are expected to behave
// alike.
type Class struct {
	Team    team.Name `json:"team"`
	Command string    `json:"command"`
}

func (s Spec) class() Class { return Class{Team: s.Team, Command: s.Command} }

// UsageKey identifies the jobs whose usage is estimated together: those of a class that declare the same
// size. Other declared sizes mean other inputs, so their usage says nothing about these jobs.
type UsageKey struct {
	Class
	Size
}

func (s Spec) usageKey() UsageKey { return UsageKey{Class: s.class(), Size: s.Size} }

// workerFailure is an attempt that failed on a worker since the last success on that worker.
type workerFailure struct {
	Job   ID    `json:"job"`
	Class Class `json:"class"`
	// SucceededElsewhere is set once the job has succeeded on another worker.
	SucceededElsewhere bool `json:"crossed,omitempty"`
}

// workerHistory holds the successes and failures of a worker in its current incarnation.
type workerHistory struct {
	Worker       instance.ID          `json:"worker"`
	Incarnation  instance.Incarnation `json:"incarnation"`
	HasSucceeded bool                 `json:"success,omitempty"`
	Failures     []workerFailure      `json:"trials,omitempty"`
	// LastOffset is the offset of the finish record that last updated the history.
	LastOffset record.Offset `json:"touched"`
}

// classHistory holds the failures and the usage of a class.
type classHistory struct {
	Class Class `json:"class"`
	// FailedWorkers holds the workers on which jobs of the class have failed since the last success of
	// the class.
	FailedWorkers []instance.ID `json:"failed,omitempty"`
	// Usage applies to the declared sizes without a usage of their own. It comes from snapshots of versions that
	// kept one usage per class, and never changes.
	Usage
	// Usages holds the usage per declared size, the least recently updated first.
	Usages []sizeUsage `json:"usages,omitempty"`
	// LastOffset is the offset of the finish record that last updated the history.
	LastOffset record.Offset `json:"touched"`
}

// sizeUsage is the usage of the jobs of a class that declare a size.
type sizeUsage struct {
	Declared Size `json:"declared"`
	Usage
}

// Usage estimates the resources that a job uses; 0 means that nothing was reported.
type Usage struct {
	Cores  float64 `json:"cores,omitempty"`
	Memory float64 `json:"memory,omitempty"` // MB
	// Samples is the number of completed jobs with reported usage, counted up to trustedSamples.
	Samples int `json:"samples,omitempty"`
}

// trustedSamples is the number of samples from which on an estimate below the declared size is used.
const trustedSamples = 3

// QuarantinedWorker is a worker on which no new attempts are placed.
type QuarantinedWorker struct {
	Worker      instance.ID          `json:"worker"`
	Incarnation instance.Incarnation `json:"incarnation"`
	// QuarantineOffset is the offset of the quarantine record.
	QuarantineOffset record.Offset   `json:"since"`
	StartTime        fleet.Timestamp `json:"time"`
	Reason           string          `json:"reason,omitempty"`
}

// failureTracker distinguishes workers that fail every job from jobs that fail on every worker.
type failureTracker struct {
	workers     map[instance.ID]*workerHistory
	classes     map[Class]*classHistory
	quarantines map[instance.ID]QuarantinedWorker
}

func newFailureTracker() failureTracker {
	return failureTracker{workers: map[instance.ID]*workerHistory{}, classes: map[Class]*classHistory{}, quarantines: map[instance.ID]QuarantinedWorker{}}
}

// workerHistory returns the history of a worker for an update by the record at a position, and creates it if
// needed. A new incarnation starts with an empty history. If the worker already has a history in a later
// incarnation, that one is returned.
func (t *failureTracker) workerHistory(at position, id instance.ID, incarnation instance.Incarnation) *workerHistory {
	w, ok := t.workers[id]
	if !ok || w.Incarnation < incarnation {
		w = &workerHistory{Worker: id, Incarnation: incarnation}
		t.workers[id] = w
	}
	w.LastOffset = at.offset
	if len(t.workers) > maxTrackedWorkers {
		t.dropOldestWorker()
	}
	return w
}

// classHistory returns the history of a class for an update by the record at a position, and creates it if
// needed.
func (t *failureTracker) classHistory(at position, c Class) *classHistory {
	h, ok := t.classes[c]
	if !ok {
		h = &classHistory{Class: c}
		t.classes[c] = h
	}
	h.LastOffset = at.offset
	if len(t.classes) > maxTrackedClasses {
		t.dropOldestClass()
	}
	return h
}

// dropOldestClass removes the history of the class whose last update is the oldest. Offsets are distinct, so
// all entries remove the same class.
func (t *failureTracker) dropOldestClass() {
	var oldest *classHistory
	for _, h := range t.classes {
		if oldest == nil || h.LastOffset < oldest.LastOffset {
			oldest = h
		}
	}
	delete(t.classes, oldest.Class)
}

// dropOldestWorker removes the history of the worker whose last update is the oldest.
func (t *failureTracker) dropOldestWorker() {
	var oldest *workerHistory
	for _, w := range t.workers {
		if oldest == nil || w.LastOffset < oldest.LastOffset {
			oldest = w
		}
	}
	delete(t.workers, oldest.Worker)
}

func (t *failureTracker) recordSuccess(at position, j *Job, b *Finish) {
	w := t.workerHistory(at, j.Placement.Worker, j.Placement.Incarnation)
	if w.Incarnation == j.Placement.Incarnation {
		w.HasSucceeded = true
		w.Failures = nil
	}
	for _, f := range j.FailedAttempts {
		if f.Worker != j.Placement.Worker {
			t.markSucceededElsewhere(f, j.ID)
		}
	}
	c := t.classHistory(at, j.class())
	c.FailedWorkers = nil
	if b.Cores > 0 || b.Memory > 0 {
		c.usageOf(j.Size).addSample(b.Cores, float64(b.Memory))
	}
}

// usageOf returns the usage of the jobs that declare a size, for an update, and creates it if needed.
func (c *classHistory) usageOf(declared Size) *Usage {
	u := sizeUsage{Declared: declared, Usage: c.Usage}
	if i := c.usageIndex(declared); i >= 0 {
		u = c.Usages[i]
		c.Usages = slices.Delete(c.Usages, i, i+1)
	}
	c.Usages = append(c.Usages, u)
	c.Usages = c.Usages[max(0, len(c.Usages)-maxTrackedSizes):]
	return &c.Usages[len(c.Usages)-1].Usage
}

// usageIndex returns the index of a declared size in Usages, or -1.
func (c *classHistory) usageIndex(declared Size) int {
	return slices.IndexFunc(c.Usages, func(u sizeUsage) bool { return u.Declared == declared })
}

// markSucceededElsewhere records that a job that failed on a worker has succeeded on another one.
func (t *failureTracker) markSucceededElsewhere(f FailedAttempt, id ID) {
	w, ok := t.workers[f.Worker]
	if !ok || w.Incarnation != f.Incarnation {
		return
	}
	for i := range w.Failures {
		if w.Failures[i].Job == id {
			w.Failures[i].SucceededElsewhere = true
		}
	}
}

func (t *failureTracker) recordFailure(at position, j *Job, b *Finish) {
	if b.Reason == outOfMemoryReason {
		// Running out of memory shows that the reserved size was too small. It does not count as a
		// failure of the worker.
		t.classHistory(at, j.class()).usageOf(j.Size).raise(0, memoryGrowthFactor*float64(max(b.Memory, j.Placement.Memory)))
		return
	}
	w := t.workerHistory(at, j.Placement.Worker, j.Placement.Incarnation)
	if w.Incarnation == j.Placement.Incarnation {
		w.Failures = append(w.Failures, workerFailure{Job: j.ID, Class: j.class()})
		w.Failures = w.Failures[max(0, len(w.Failures)-maxTrackedFailures):]
	}
	c := t.classHistory(at, j.class())
	if !slices.Contains(c.FailedWorkers, j.Placement.Worker) && len(c.FailedWorkers) < maxTrackedFailures {
		c.FailedWorkers = append(c.FailedWorkers, j.Placement.Worker)
	}
	// A task that fails early has not reached its full usage, so its report may only raise the estimate.
	if b.Cores > 0 || b.Memory > 0 {
		c.usageOf(j.Size).raise(b.Cores, float64(b.Memory))
	}
}

// addSample updates the estimate with the usage of a completed job. Usage reports lag, so a short job
// may report none of a resource.
func (u *Usage) addSample(cores, memory float64) {
	u.Cores = smooth(u.Cores, cores)
	u.Memory = smooth(u.Memory, memory)
	u.Samples = min(u.Samples+1, trustedSamples)
}

func smooth(estimate, reported float64) float64 {
	switch {
	case reported == 0:
		return estimate
	case reported >= estimate:
		return reported
	}
	return math.Max(reported, usageDecay*estimate+(1-usageDecay)*reported)
}

func (u *Usage) raise(cores, memory float64) {
	u.Cores = max(u.Cores, cores)
	u.Memory = max(u.Memory, memory)
}

// suspectReason returns why a worker is suspected of failing every job, or "" if it is not. A failure
// counts only if it points to the worker rather than to the job: the job has succeeded on another worker
// since, or its class has not failed on any other worker since its last success. If except is not nil,
// failures of that class are ignored.
func (t *failureTracker) suspectReason(w *workerHistory, except *Class) string {
	succeededElsewhere, failedJobs := map[ID]bool{}, map[ID]bool{}
	for _, past := range w.Failures {
		if except != nil && past.Class == *except {
			continue
		}
		if past.SucceededElsewhere {
			succeededElsewhere[past.Job] = true
		}
		if past.SucceededElsewhere || t.failsOnlyOn(w.Worker, past.Class) {
			failedJobs[past.Job] = true
		}
	}
	switch {
	case len(succeededElsewhere) >= succeededElsewhereLimit:
		return "jobs that failed here succeeded elsewhere"
	case len(failedJobs) >= consecutiveFailureLimit:
		return "distinct jobs failed in a row"
	}
	return ""
}

// failsOnlyOn reports whether no other worker has failed a job of the class since the last success of the class.
func (t *failureTracker) failsOnlyOn(worker instance.ID, class Class) bool {
	c, ok := t.classes[class]
	return ok && !slices.ContainsFunc(c.FailedWorkers, func(id instance.ID) bool { return id != worker })
}

// isHealthy reports whether the worker of a failed attempt has completed a job in the same incarnation,
// is not quarantined, and has no failures of other classes that point to the worker.
func (t *failureTracker) isHealthy(f FailedAttempt, class Class) bool {
	w, ok := t.workers[f.Worker]
	if !ok || w.Incarnation != f.Incarnation || !w.HasSucceeded || t.isQuarantined(f.Worker, f.Incarnation) {
		return false
	}
	for _, past := range w.Failures {
		if past.Class != class && (past.SucceededElsewhere || t.failsOnlyOn(f.Worker, past.Class)) {
			return false
		}
	}
	return true
}

// isUnrunnable reports whether a job has failed quickly on unrunnableThreshold healthy workers.
func (t *failureTracker) isUnrunnable(j *Job) bool {
	workers := map[instance.ID]bool{}
	for _, f := range j.FailedAttempts {
		if f.Quick && f.Reason != outOfMemoryReason && t.isHealthy(f, j.class()) {
			workers[f.Worker] = true
		}
	}
	return len(workers) >= unrunnableThreshold
}

func (t *failureTracker) isQuarantined(id instance.ID, incarnation instance.Incarnation) bool {
	q, ok := t.quarantines[id]
	return ok && q.Incarnation >= incarnation
}

func (t *failureTracker) applyQuarantine(at position, b *Quarantine) stream.Verdict {
	if t.isQuarantined(b.Worker, b.Incarnation) {
		return stream.Stale(reasonQuarantine)
	}
	t.quarantines[b.Worker] = QuarantinedWorker{
		Worker: b.Worker, Incarnation: b.Incarnation, QuarantineOffset: at.offset, StartTime: at.time, Reason: b.Reason,
	}
	return stream.Applied
}

// applyRestore ends a quarantine. It also deletes the history of the worker, so that earlier failures
// don't make the worker suspect again.
func (t *failureTracker) applyRestore(b *Restore) stream.Verdict {
	q, ok := t.quarantines[b.Worker]
	if !ok || q.QuarantineOffset != b.QuarantineOffset {
		return stream.Stale("the worker is not in this quarantine")
	}
	delete(t.quarantines, b.Worker)
	delete(t.workers, b.Worker)
	return stream.Applied
}
