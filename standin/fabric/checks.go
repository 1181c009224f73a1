package fabric

import (
	"fmt"
	"strings"
	"time"
)

const (
	// CancelTime is how long after the acknowledgement of a cancel tasks of the job may still be started.
	CancelTime = 3 * time.Second
	// StopTime is the longest time that a worker takes to stop a run.
	StopTime = 500 * time.Millisecond
	// ContactTime is how long senders, workers and the store must have been undisturbed for the bounds to hold.
	ContactTime = 3 * time.Second
	// StoreName is the name of the store in RecordDisturbance.
	StoreName = "store"
)

// submission is a job and what its callers were told.
type submission struct {
	Job
	// cancelledAt is when a caller had the first acknowledgement of a cancel. It is zero if there was none.
	cancelledAt time.Time
	refused     bool // every attempt to submit the job was refused
	// cancelRequested is set once a caller has asked to cancel the job, whatever the answer.
	cancelRequested bool
}

// runRecord is a run as its worker saw it.
type runRecord struct {
	task            string
	number          int64
	worker, machine string
	// sender is the process that holds the fencing token of the start, or empty if it is not known.
	sender             string
	token              int64     // the fencing token of the start
	startedAt, endedAt time.Time // endedAt is zero while the run goes on
	late               bool      // the worker carried the start out late
	outcome            string
}

// disturbance is a time in which a process, a machine or the store did not work as usual. until is zero while it lasts.
type disturbance struct {
	name        string
	from, until time.Time
}

// ExpectJob announces a job that is about to be submitted. After the first call, it is a violation to start a task of an
// unannounced job, a task before all tasks of the previous step are done, with another specification than the announced
// one, or with a checkpoint that no run of the task has reported.
func (p *Platform) ExpectJob(job Job) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.expectedJobs == nil {
		p.expectedJobs = map[string]*submission{}
	}
	p.expectedJobs[job.ID] = &submission{Job: job}
}

// RecordCancel records that a caller has just received the acknowledgement of a cancel of an announced job.
func (p *Platform) RecordCancel(job string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s := p.expectedJobs[job]; s != nil && s.cancelledAt.IsZero() {
		s.cancelledAt = time.Now()
	}
}

// RecordCancelRequest records that a caller is about to ask to cancel an announced job.
func (p *Platform) RecordCancelRequest(job string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s := p.expectedJobs[job]; s != nil {
		s.cancelRequested = true
	}
}

// RecordRefusal records that every attempt to submit an announced job was refused.
func (p *Platform) RecordRefusal(job string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s := p.expectedJobs[job]; s != nil {
		s.refused = true
	}
}

// RecordDisturbance records that the process, machine or store with the given name is disturbed until the function that
// it returns is called.
func (p *Platform) RecordDisturbance(name string) (end func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	d := &disturbance{name: name, from: time.Now()}
	p.disturbances = append(p.disturbances, d)
	return func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		d.until = time.Now()
	}
}

// isLongRunning reports whether a task belongs to an announced long-running job. It is started again however it ends. The caller
// must hold mu.
func (p *Platform) isLongRunning(task string) bool {
	id, _, _ := strings.Cut(task, ".")
	s := p.expectedJobs[id]
	return s != nil && s.LongRunning
}

// DoneAt returns when the last task of an announced job was done, or zero if a task is not done or the job is long-running.
func (p *Platform) DoneAt(job string) time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.expectedJobs[job]
	if s == nil || s.LongRunning {
		return time.Time{}
	}
	doneAt := map[string]time.Time{}
	last := time.Time{}
	for _, r := range p.runRecords {
		if !strings.HasPrefix(r.task, job+".") || r.outcome != "done" || !doneAt[r.task].IsZero() {
			continue
		}
		doneAt[r.task] = r.endedAt
		if r.endedAt.After(last) {
			last = r.endedAt
		}
	}
	if len(doneAt) < s.taskCount() {
		return time.Time{}
	}
	return last
}

// checkStart checks a start against the announced jobs. The caller must hold mu.
func (p *Platform) checkStart(order orderBody) {
	if p.expectedJobs == nil {
		return
	}
	var step, index int
	parts := strings.Split(order.Task, ".")
	job := p.expectedJobs[parts[0]]
	// Announced jobs have only occurrence 0.
	if _, err := fmt.Sscanf(strings.Join(parts[1:], " "), "0 %d %d", &step, &index); err != nil || job == nil || step >= len(job.Counts) || index >= job.Counts[step] {
		p.violations = append(p.violations, "start of "+order.Task+", which belongs to no announced job")
		return
	}
	if order.Spec != job.Spec() {
		p.violations = append(p.violations, fmt.Sprintf("start of %s with the specification %q instead of %q", order.Task, order.Spec, job.Spec()))
	}
	if c := order.LastCheckpoint; c != "" && !p.reportedCheckpoints[order.Task][c] {
		p.violations = append(p.violations, fmt.Sprintf("start of %s with the checkpoint %q, which no run of it has reported", order.Task, c))
	}
	for i := 0; step > 0 && i < job.Counts[step-1]; i++ {
		if earlier := fmt.Sprintf("%s.0.%d.%d", parts[0], step-1, i); !p.doneTasks[earlier] {
			p.violations = append(p.violations, "start of "+order.Task+" before the end of "+earlier)
		}
	}
}

// reportCheckpoint returns the checkpoint that a worker reports for a run: none for jobs without checkpoints.
func (p *Platform) reportCheckpoint(r *run) string {
	if !r.checkpoints {
		return ""
	}
	checkpoint := fmt.Sprintf("%s/%d", r.task, r.number)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.reportedCheckpoints[r.task] == nil {
		p.reportedCheckpoints[r.task] = map[string]bool{}
	}
	p.reportedCheckpoints[r.task][checkpoint] = true
	return checkpoint
}

// jobViolations describes the starts and runs of announced jobs that came after a cancel or a refusal. It is checked
// after the fact, because a caller has an answer only when the starts that precede it have happened. The caller must
// hold mu.
func (p *Platform) jobViolations(now time.Time) []string {
	var violations []string
	for _, r := range p.runRecords {
		id, _, _ := strings.Cut(r.task, ".")
		s := p.expectedJobs[id]
		switch {
		case s == nil:
		case s.refused:
			violations = append(violations, fmt.Sprintf("start of %s on %s, whose submission was refused", r.task, r.worker))
		case s.cancelledAt.IsZero():
		case r.isStartedAfterCancel(s.cancelledAt, p.disturbances):
			violations = append(violations, fmt.Sprintf("start of %s on %s by %q %s after its cancel was acknowledged", r.task, r.worker, r.sender, r.startedAt.Sub(s.cancelledAt)))
		case r.isRunningAfterCancel(s.cancelledAt, now, p.disturbances):
			violations = append(violations, fmt.Sprintf("run %d of %s on %s still ran after its cancel was acknowledged at %s", r.number, r.task, r.worker, s.cancelledAt.Format(time.StampMilli)))
		}
	}
	return violations
}

// isStartedAfterCancel reports whether the run was started too late after the acknowledgement of a cancel, by a sender
// and on a worker that were undisturbed. A start that the worker carried out late is not held against the sender.
func (r *runRecord) isStartedAfterCancel(cancelledAt time.Time, disturbances []*disturbance) bool {
	if r.late || r.startedAt.Sub(cancelledAt) <= CancelTime {
		return false
	}
	for _, d := range disturbances {
		if (r.sender == "" || d.name == r.sender || d.name == r.machine || d.name == StoreName) && d.overlaps(r.startedAt.Add(-ContactTime), r.startedAt) {
			return false
		}
	}
	return true
}

// isRunningAfterCancel reports whether the run outlasted CancelTime and StopTime without any disturbance, at any time
// after the acknowledgement of a cancel.
func (r *runRecord) isRunningAfterCancel(cancelledAt, now time.Time, disturbances []*disturbance) bool {
	endedAt := r.endedAt
	if endedAt.IsZero() {
		endedAt = now
	}
	earliest := cancelledAt
	if r.startedAt.After(earliest) {
		earliest = r.startedAt
	}
	if lateStart := r.startedAt.Add(ContactTime); r.late && lateStart.After(earliest) {
		earliest = lateStart
	}
	begins := []time.Time{earliest}
	for _, d := range disturbances {
		if begin := d.until.Add(ContactTime); !d.until.IsZero() && begin.After(earliest) {
			begins = append(begins, begin)
		}
	}
	for _, begin := range begins {
		end := begin.Add(CancelTime + StopTime)
		if endedAt.After(end) && !isAnyDisturbed(disturbances, begin.Add(-ContactTime), end) {
			return true
		}
	}
	return false
}

func isAnyDisturbed(disturbances []*disturbance, from, until time.Time) bool {
	for _, d := range disturbances {
		if d.overlaps(from, until) {
			return true
		}
	}
	return false
}

// overlaps reports whether the disturbance lasts at some time after from and before until.
func (d *disturbance) overlaps(from, until time.Time) bool {
	return d.from.Before(until) && (d.until.IsZero() || d.until.After(from))
}

// recordMaximums records the maxima of published teams.
func (p *Platform) recordMaximums(teams []Team) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, t := range teams {
		if t.Maximum.CPU == 0 {
			continue
		}
		if p.maximums == nil {
			p.maximums = map[string]int{}
		}
		p.maximums[t.Name] = max(p.maximums[t.Name], t.Maximum.CPU)
	}
}

// maximumViolations describes the starts of announced jobs for which their team had more than its maximum running before. Requests
// to cancel are known only after the starts that they excuse. The caller must hold mu.
func (p *Platform) maximumViolations() []string {
	var violations []string
	for i, r := range p.runRecords {
		s := p.submissionOf(r)
		if s == nil || p.maximums[s.Team] == 0 {
			continue
		}
		running := 0
		for _, other := range p.runRecords[:i] {
			if o := p.submissionOf(other); o != nil && o.Team == s.Team && other.countsBeside(r, o) {
				running += o.CPU
			}
		}
		if running > p.maximums[s.Team] {
			violations = append(violations, fmt.Sprintf("start of %s on %s at %s beside %d of team %s, which may have %d", r.task, r.worker, r.startedAt.Format(time.StampMilli), running, s.Team, p.maximums[s.Team]))
		}
	}
	return violations
}

// submissionOf returns the announced job of a run, or nil. The caller must hold mu.
func (p *Platform) submissionOf(r *runRecord) *submission {
	id, _, _ := strings.Cut(r.task, ".")
	return p.expectedJobs[id]
}

// countsBeside reports whether a run of the given job goes on at the start of a later one and has to be known to the owner that
// sent that start. An owner knows nothing of the starts that an earlier one had given up, nor of the runs of jobs that were
// cancelled under an earlier one: the final state of a job does not list them.
func (r *runRecord) countsBeside(started *runRecord, job *submission) bool {
	if !r.endedAt.IsZero() && !r.endedAt.After(started.startedAt) {
		return false
	}
	return r.token == started.token || !r.late && !started.late && !job.cancelRequested
}
