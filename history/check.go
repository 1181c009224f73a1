package history

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"
)

// Rule names what must hold.
type Rule string

// Rules.
const (
	RuleAcknowledged Rule = "acknowledged" // no task starts after one of its ends was done and acknowledged
	RuleAtOnce       Rule = "at-once"      // a task has one run at a time
	RuleAccepted     Rule = "accepted"     // no accepted job is unknown
	RuleAnswers      Rule = "answers"      // the answers about a job are those of one job that changes step by step
	RuleRefused      Rule = "refused"      // a job of which every submission was refused does not run
	RuleEnded        Rule = "ended"        // no task starts after a caller was told that its job has ended
	RuleTerm         Rule = "term"         // no order of an earlier term takes effect where a later one has
	RuleBudget       Rule = "budget"       // no more machines of a wave are away than it allows
	RuleHidden       Rule = "hidden"       // no task starts again whose end was done and went with its worker, because of an order for the machine
	RuleHolders      Rule = "holders"      // two holders in touch leave time between their orders for one machine
)

// Limits are the times that the rules depend on. The zero value is ready to use.
type Limits struct {
	// StopTime is how long after the answer that a job is cancelled or has failed its starts may still take effect.
	StopTime time.Duration
	// HolderChange is the time between orders of two holders for one machine; zero turns the rule off.
	HolderChange time.Duration
}

// defaultStopTime is the bound of the soak.
const defaultStopTime = 3 * time.Second

// Violation is a breach of a rule.
type Violation struct {
	Rule Rule
	Text string
	// Events are the indexes of the events that show it.
	Events []int
}

// Check returns the violations in a history, ordered by their last event.
func Check(events []Event, limits Limits) []Violation {
	if limits.StopTime <= 0 {
		limits.StopTime = defaultStopTime
	}
	c := &checker{events: events, limits: limits, acked: map[string]int{}, running: map[string]map[runOn]int{}, tokens: map[string]int{}, lastOrder: map[string]int{}, machines: map[Process]string{}, held: map[Process]map[string]int{}, hidden: map[string]int{}, jobs: map[string]*jobView{}, calls: map[int]int{}, away: map[int]map[string]int{}, waves: map[int]int{}}
	for i, e := range events {
		c.apply(i, e)
	}
	for _, id := range sortedKeys(c.jobs) {
		c.checkAnswers(id, c.jobs[id])
	}
	slices.SortStableFunc(c.violations, func(a, b Violation) int { return cmp.Compare(slices.Max(a.Events), slices.Max(b.Events)) })
	return c.violations
}

// runOn identifies a run on a worker.
type runOn struct {
	worker Process
	number int64
}

// jobView is what callers know about a job, as indexes of events.
type jobView struct {
	calls []int // of all kinds, in order
	// answers holds the answer to each answered call.
	answers map[int]int
	// accepted, stopped and done are the first answers that the job is accepted, that it is cancelled or has failed, and that it is done;
	// -1 if there is none.
	accepted, stopped, done int
	starts                  []int
}

// checker applies the rules to one event after the other.
type checker struct {
	events []Event
	limits Limits
	// acked holds the acknowledgement of an end that was done, by task, and running the starts of the runs that go on.
	acked   map[string]int
	running map[string]map[runOn]int
	// machines holds the machine of each worker, and held the ends that are done and not acknowledged, by worker and task. hidden holds
	// the order with which such an end of a task has gone.
	machines map[Process]string
	held     map[Process]map[string]int
	hidden   map[string]int
	// tokens holds the order with the highest token, by worker or machine, and lastOrder the last one by machine.
	tokens, lastOrder map[string]int
	jobs              map[string]*jobView
	calls             map[int]int // the call of each number
	// away holds the machines that are maintained by wave, with their orders, and waves the requests.
	away       map[int]map[string]int
	waves      map[int]int
	violations []Violation
}

func (c *checker) report(rule Rule, events []int, format string, args ...any) {
	c.violations = append(c.violations, Violation{Rule: rule, Text: fmt.Sprintf(format, args...), Events: events})
}

func (c *checker) job(id string) *jobView {
	if c.jobs[id] == nil {
		c.jobs[id] = &jobView{answers: map[int]int{}, accepted: -1, stopped: -1, done: -1}
	}
	return c.jobs[id]
}

func (c *checker) apply(i int, e Event) {
	switch {
	case e.isCall():
		c.calls[e.Call] = i
		c.job(e.Job).calls = append(c.job(e.Job).calls, i)
	case e.Kind == KindAnswer:
		c.applyAnswer(i, e)
	case e.Kind == KindStart:
		c.applyStart(i, e)
	case e.Kind == KindEnd:
		c.applyEnd(i, e)
	case e.Kind == KindAcked:
		c.applyAcknowledgement(i, e)
	case e.Kind == KindBoot:
		delete(c.tokens, string(e.Process))
		delete(c.held, e.Process)
		c.machines[e.Process] = e.Machine
	case e.Kind == KindGone:
		c.endRuns(e.Process)
		delete(c.held, e.Process)
	case e.Kind == KindWave:
		c.waves[e.Wave] = i
	case e.Kind == KindOrder:
		c.applyOrder(i, e)
	case e.Kind == KindBack:
		for _, machines := range c.away {
			delete(machines, e.Machine)
		}
	}
}

func (c *checker) applyEnd(i int, e Event) {
	delete(c.running[e.Task], runOn{e.Process, e.Run})
	if e.Cause != causeDone {
		return
	}
	if c.held[e.Process] == nil {
		c.held[e.Process] = map[string]int{}
	}
	c.held[e.Process][e.Task] = i
}

func (c *checker) applyAcknowledgement(i int, e Event) {
	delete(c.held[e.Process], e.Task)
	if _, known := c.acked[e.Task]; e.Cause == causeDone && !e.Excused && !known {
		c.acked[e.Task] = i
	}
}

// endRuns ends all runs on a worker.
func (c *checker) endRuns(worker Process) {
	for _, runs := range c.running {
		for r := range runs {
			if r.worker == worker {
				delete(runs, r)
			}
		}
	}
}

// applyAnswer records what a caller was told.
func (c *checker) applyAnswer(i int, e Event) {
	call, ok := c.calls[e.Call]
	if !ok {
		return
	}
	j := c.job(c.events[call].Job)
	j.answers[call] = i
	verb := c.events[call].Kind
	set := func(at *int) {
		if *at < 0 {
			*at = i
		}
	}
	switch {
	case verb == KindSubmit && e.Verdict == VerdictDone:
		set(&j.accepted)
	case verb == KindCancel && e.Verdict == VerdictDone, verb == KindAsk && (e.State == StateFailed || e.State == StateCancelled):
		set(&j.stopped)
	case verb == KindAsk && e.State == StateDone:
		set(&j.done)
	}
}

// jobOf returns the job of a task.
func jobOf(task string) string {
	id, _, _ := strings.Cut(task, ".")
	return id
}

func (c *checker) applyStart(i int, e Event) {
	c.checkToken(i, e, string(e.Process))
	if acked, ok := c.acked[e.Task]; ok {
		c.report(RuleAcknowledged, []int{acked, i}, "%s starts on %s after its end was acknowledged at %s", e.Task, e.Process, c.events[acked].Process)
	}
	if order, ok := c.hidden[e.Task]; ok {
		c.report(RuleHidden, []int{order, i}, "%s starts on %s; it was done on %s, which was taken away before that was acknowledged", e.Task, e.Process, c.events[order].Machine)
	}
	for other, start := range c.running[e.Task] {
		if other.worker != e.Process {
			c.report(RuleAtOnce, []int{start, i}, "%s starts on %s while its run %d goes on on %s", e.Task, e.Process, other.number, other.worker)
		}
	}
	if c.running[e.Task] == nil {
		c.running[e.Task] = map[runOn]int{}
	}
	c.running[e.Task][runOn{e.Process, e.Run}] = i
	j := c.job(jobOf(e.Task))
	j.starts = append(j.starts, i)
	switch {
	case j.done >= 0:
		c.report(RuleEnded, []int{j.done, i}, "%s starts on %s after a caller was told that the job is done", e.Task, e.Process)
	case j.stopped >= 0 && !e.Late && e.At-c.events[j.stopped].At > milliseconds(c.limits.StopTime):
		c.report(RuleEnded, []int{j.stopped, i}, "%s starts on %s %d ms after a caller was told that the job is cancelled or has failed", e.Task, e.Process, e.At-c.events[j.stopped].At)
	}
}

// checkToken checks the token of an order that has taken effect on a worker or a machine.
func (c *checker) checkToken(i int, e Event, where string) {
	highest, ok := c.tokens[where]
	if ok && c.events[highest].Token > e.Token {
		c.report(RuleTerm, []int{highest, i}, "an order with token %d takes effect on %s after one with token %d", e.Token, where, c.events[highest].Token)
		return
	}
	c.tokens[where] = i
}

func (c *checker) applyOrder(i int, e Event) {
	c.checkToken(i, e, e.Machine)
	if last, ok := c.lastOrder[e.Machine]; ok && c.events[last].Holder != e.Holder && !e.Late && !c.events[last].Late && e.At-c.events[last].At < milliseconds(c.limits.HolderChange) {
		c.report(RuleHolders, []int{last, i}, "orders for %s by %s and %s within %d ms", e.Machine, c.events[last].Holder, e.Holder, e.At-c.events[last].At)
	}
	c.lastOrder[e.Machine] = i
	for w, ends := range c.held {
		if c.machines[w] != e.Machine {
			continue
		}
		for task := range ends {
			c.hidden[task] = i
		}
		delete(c.held, w)
	}
	request, ok := c.waves[e.Wave]
	if e.Wave == 0 || !ok {
		return
	}
	if c.away[e.Wave] == nil {
		c.away[e.Wave] = map[string]int{}
	}
	c.away[e.Wave][e.Machine] = i
	if away, most := len(c.away[e.Wave]), c.events[request].Maximum; away > most {
		c.report(RuleBudget, append([]int{request}, sortedValues(c.away[e.Wave])...), "%d machines of wave %d are away, %d may be", away, e.Wave, most)
	}
}

func sortedKeys(jobs map[string]*jobView) []string {
	var keys []string
	for k := range jobs {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}

func sortedValues(m map[string]int) []int {
	var values []int
	for _, v := range m {
		values = append(values, v)
	}
	slices.Sort(values)
	return values
}
