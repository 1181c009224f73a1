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
	// quickLimit is the time in milliseconds from placement within which a failure counts as immediate.
	// It is taken from the clocks of the records' authors, and is far above their offsets.
	quickLimit fleet.Timestamp = 30_000
	// hopeless is the number of good workers on which a job that can never run fails.
	hopeless = 3
	// crossedLimit is the number of jobs that failed on a worker and then succeeded elsewhere, and
	// streakLimit the number of distinct jobs that failed in a row, at which a worker is suspect.
	crossedLimit = 2
	streakLimit  = 3
	maxTrials    = 8
	maxClasses   = 4096
	maxWorkers   = 16_384
	// maxShort bounds the reasons that are kept with failed attempts, in bytes.
	maxShort = 128
	// memoryReason is how workers name a task that was ended for lack of memory.
	memoryReason = "out of memory"
	// memoryGrowth is the factor by which the estimate of memory grows after such an end: the reported
	// usage lags and is therefore too low.
	memoryGrowth = 1.5
	// decay is the weight of the past when usage falls. A rise counts at once.
	decay = 0.8
)

// Class is a kind of job: the jobs of a team with the same command are expected to behave alike.
type Class struct {
	Team    team.Name `json:"team"`
	Command string    `json:"command"`
}

func (s Spec) class() Class { return Class{Team: s.Team, Command: s.Command} }

// trial is an attempt that failed on a worker since the last success there.
type trial struct {
	Job   ID    `json:"job"`
	Class Class `json:"class"`
	// Crossed says that the job succeeded on another worker afterwards.
	Crossed bool `json:"crossed,omitempty"`
}

// workerRecord is what is known of a worker in its present incarnation.
type workerRecord struct {
	Worker      instance.ID          `json:"worker"`
	Incarnation instance.Incarnation `json:"incarnation"`
	Success     bool                 `json:"success,omitempty"`
	Trials      []trial              `json:"trials,omitempty"`
	// Touched is the offset of the last record about the worker.
	Touched record.Offset `json:"touched"`
}

// classRecord is what is known of a class.
type classRecord struct {
	Class Class `json:"class"`
	// Failed holds the workers on which the class failed since its last success anywhere.
	Failed []instance.ID `json:"failed,omitempty"`
	Usage
	// Touched is the offset of the last record about the class.
	Touched record.Offset `json:"touched"`
}

// Usage is an estimate of what a job of a class uses; 0 means that nothing was reported.
type Usage struct {
	Cores  float64 `json:"cores,omitempty"`
	Memory float64 `json:"memory,omitempty"` // MB
	// Samples is the number of completed jobs, up to sampleLimit.
	Samples int `json:"samples,omitempty"`
}

// sampleLimit is the number of samples from which on an estimate below the declared size is trusted.
const sampleLimit = 3

// Quarantined is a worker in quarantine.
type Quarantined struct {
	Worker      instance.ID          `json:"worker"`
	Incarnation instance.Incarnation `json:"incarnation"`
	Since       record.Offset        `json:"since"`
	Time        fleet.Timestamp      `json:"time"`
	Reason      string               `json:"reason,omitempty"`
}

// evidence tells workers that fail everything from jobs that can never run.
type evidence struct {
	workers  map[instance.ID]*workerRecord
	classes  map[Class]*classRecord
	isolated map[instance.ID]Quarantined
}

func newEvidence() evidence {
	return evidence{workers: map[instance.ID]*workerRecord{}, classes: map[Class]*classRecord{}, isolated: map[instance.ID]Quarantined{}}
}

// worker returns the record of a worker, which starts anew with each incarnation.
func (e *evidence) worker(at position, id instance.ID, incarnation instance.Incarnation) *workerRecord {
	w, ok := e.workers[id]
	if !ok || w.Incarnation < incarnation {
		w = &workerRecord{Worker: id, Incarnation: incarnation}
		e.workers[id] = w
	}
	w.Touched = at.offset
	if len(e.workers) > maxWorkers {
		e.forgetWorker()
	}
	return w
}

func (e *evidence) class(at position, c Class) *classRecord {
	r, ok := e.classes[c]
	if !ok {
		r = &classRecord{Class: c}
		e.classes[c] = r
	}
	r.Touched = at.offset
	if len(e.classes) > maxClasses {
		e.forget()
	}
	return r
}

// forget removes the class that was not seen for the longest time. Offsets are distinct, so every
// entry removes the same one.
func (e *evidence) forget() {
	var oldest *classRecord
	for _, r := range e.classes {
		if oldest == nil || r.Touched < oldest.Touched {
			oldest = r
		}
	}
	delete(e.classes, oldest.Class)
}

// forgetWorker removes the worker that was not seen for the longest time.
func (e *evidence) forgetWorker() {
	var oldest *workerRecord
	for _, w := range e.workers {
		if oldest == nil || w.Touched < oldest.Touched {
			oldest = w
		}
	}
	delete(e.workers, oldest.Worker)
}

func (e *evidence) succeed(at position, j *Job, b *Finish) {
	w := e.worker(at, j.Placement.Worker, j.Placement.Incarnation)
	if w.Incarnation == j.Placement.Incarnation {
		w.Success = true
		w.Trials = nil
	}
	for _, f := range j.Failures {
		if f.Worker != j.Placement.Worker {
			e.cross(f, j.ID)
		}
	}
	c := e.class(at, j.class())
	c.Failed = nil
	c.observe(b.Cores, float64(b.Memory))
	if b.Cores > 0 || b.Memory > 0 {
		c.Samples = min(c.Samples+1, sampleLimit)
	}
}

// cross notes that a job which failed on a worker has succeeded elsewhere.
func (e *evidence) cross(f Failure, id ID) {
	w, ok := e.workers[f.Worker]
	if !ok || w.Incarnation != f.Incarnation {
		return
	}
	for i := range w.Trials {
		if w.Trials[i].Job == id {
			w.Trials[i].Crossed = true
		}
	}
}

func (e *evidence) fail(at position, j *Job, b *Finish) {
	if b.Reason == memoryReason {
		// This tells that the reserved size was too small, and nothing about the worker.
		e.class(at, j.class()).raise(0, memoryGrowth*float64(max(b.Memory, j.Placement.Memory)))
		return
	}
	w := e.worker(at, j.Placement.Worker, j.Placement.Incarnation)
	if w.Incarnation == j.Placement.Incarnation {
		w.Trials = append(w.Trials, trial{Job: j.ID, Class: j.class()})
		w.Trials = w.Trials[max(0, len(w.Trials)-maxTrials):]
	}
	c := e.class(at, j.class())
	if !slices.Contains(c.Failed, j.Placement.Worker) && len(c.Failed) < maxTrials {
		c.Failed = append(c.Failed, j.Placement.Worker)
	}
	// A task that fails early has not reached its full usage, so the report can only raise the estimate.
	c.raise(b.Cores, float64(b.Memory))
}

// observe adds the usage of a completed job. Usage lags, so a short job may report none.
func (u *Usage) observe(cores, memory float64) {
	u.Cores = follow(u.Cores, cores)
	u.Memory = follow(u.Memory, memory)
}

func follow(estimate, seen float64) float64 {
	switch {
	case seen == 0:
		return estimate
	case seen >= estimate:
		return seen
	}
	return math.Max(seen, decay*estimate+(1-decay)*seen)
}

func (u *Usage) raise(cores, memory float64) {
	u.Cores = max(u.Cores, cores)
	u.Memory = max(u.Memory, memory)
}

// suspect reports why a worker seems to fail everything, or "". A failure counts only if it says more
// about the worker than about the job: the job has since succeeded elsewhere, or its class has not
// failed on any other worker since it last succeeded.
func (e *evidence) suspect(w *workerRecord, except *Class) string {
	crossed, streak := map[ID]bool{}, map[ID]bool{}
	for _, t := range w.Trials {
		if except != nil && t.Class == *except {
			continue
		}
		if t.Crossed {
			crossed[t.Job] = true
		}
		if t.Crossed || e.credible(w.Worker, t.Class) {
			streak[t.Job] = true
		}
	}
	switch {
	case len(crossed) >= crossedLimit:
		return "jobs that failed here succeeded elsewhere"
	case len(streak) >= streakLimit:
		return "distinct jobs failed in a row"
	}
	return ""
}

func (e *evidence) credible(worker instance.ID, class Class) bool {
	c, ok := e.classes[class]
	return ok && !slices.ContainsFunc(c.Failed, func(id instance.ID) bool { return id != worker })
}

// good reports whether a worker has run other jobs and fails none of another class.
func (e *evidence) good(f Failure, class Class) bool {
	w, ok := e.workers[f.Worker]
	if !ok || w.Incarnation != f.Incarnation || !w.Success || e.quarantined(f.Worker, f.Incarnation) {
		return false
	}
	for _, t := range w.Trials {
		if t.Class != class && (t.Crossed || e.credible(f.Worker, t.Class)) {
			return false
		}
	}
	return true
}

// neverRuns reports whether a job has failed quickly on enough good workers.
func (e *evidence) neverRuns(j *Job) bool {
	workers := map[instance.ID]bool{}
	for _, f := range j.Failures {
		if f.Quick && f.Reason != memoryReason && e.good(f, j.class()) {
			workers[f.Worker] = true
		}
	}
	return len(workers) >= hopeless
}

func (e *evidence) quarantined(id instance.ID, incarnation instance.Incarnation) bool {
	q, ok := e.isolated[id]
	return ok && q.Incarnation >= incarnation
}

func (e *evidence) quarantine(at position, b *Quarantine) stream.Verdict {
	if e.quarantined(b.Worker, b.Incarnation) {
		return stream.Stale(reasonQuarantine)
	}
	e.isolated[b.Worker] = Quarantined{
		Worker: b.Worker, Incarnation: b.Incarnation, Since: at.offset, Time: at.time, Reason: b.Reason,
	}
	return stream.Applied
}

// restore ends a quarantine. The worker starts without evidence, so that it gets another chance.
func (e *evidence) restore(b *Restore) stream.Verdict {
	q, ok := e.isolated[b.Worker]
	if !ok || q.Since != b.Since {
		return stream.Stale("the worker is not in this quarantine")
	}
	delete(e.isolated, b.Worker)
	delete(e.workers, b.Worker)
	return stream.Applied
}
