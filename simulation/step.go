package simulation

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"time"

	"hibiscuslane.example/hibiscuslane/dispatch"
	"hibiscuslane.example/hibiscuslane/history"
	"hibiscuslane.example/hibiscuslane/platform"
	"hibiscuslane.example/hibiscuslane/queue"
	"hibiscuslane.example/hibiscuslane/relay"
	"hibiscuslane.example/hibiscuslane/standin/fabric"
	"hibiscuslane.example/hibiscuslane/task"
)

const (
	// patience is how long callers wait for an answer.
	patience = 3 * time.Second
	// retryDelay is when a caller submits a job again that was refused, up to maxTries times.
	retryDelay = 500 * time.Millisecond
	maxTries   = 6
	// finalAsk is when all jobs are asked for, after the last fault.
	finalAsk = 11 * time.Second
	// replaceAfter is added to the time after which an entry that was stopped is replaced.
	replaceAfter = acceptTime
)

// owner returns the process that is the owner or, if there is none, any that lives.
func (w *world) owner() *entry {
	var live *entry
	for _, e := range w.entries {
		if e.isGone() {
			continue
		}
		if e.owning() != nil {
			return e
		}
		live = e
	}
	return live
}

// perform carries out a step.
func (w *world) perform(s Step) {
	lasts := time.Duration(s.Lasts) * time.Millisecond
	switch s.Action {
	case ActionSubmit:
		w.submit(s)
	case ActionAsk:
		w.callOwner(s, history.KindAsk, nil)
	case ActionCancel:
		w.callOwner(s, history.KindCancel, nil)
	case ActionStop, ActionKill, ActionPause, ActionSuspend:
		w.disturbOwner(s.Action, lasts)
	case ActionAway:
		w.failStore(s, lasts)
	case ActionCrash, ActionCut, ActionForget, ActionOdd:
		w.disturbWorker(s, lasts)
	case ActionConfig:
		w.publishConfig(s.Number + 1)
	case ActionWave:
		w.publishWave(s.Number, s.Tasks)
	}
}

// disturbOwner stops, ends or pauses the owner.
func (w *world) disturbOwner(action Action, lasts time.Duration) {
	e := w.owner()
	if e == nil || !e.pausedUntil.IsZero() || e.isStopping() {
		return
	}
	w.recordFault("%s entry-%d for %d ms", action, e.slot+1, lasts.Milliseconds())
	switch action {
	case ActionStop:
		e.stop()
		w.after(lasts+replaceAfter, func() { w.startEntry(e.slot) })
	case ActionKill:
		e.end()
		w.after(lasts, func() { w.startEntry(e.slot) })
	default:
		e.pause(w.now.Add(lasts), action == ActionSuspend)
	}
}

// failStore lets a part of the store fail.
func (w *world) failStore(s Step, lasts time.Duration) {
	f := &fault{to: hostStore, mode: s.Mode, until: w.now.Add(lasts)}
	switch s.Part {
	case PartLedger:
		_, partition, _ := strings.Cut(w.store.Value("keyed.owner", "owner"), "#")
		if _, err := strconv.Atoi(partition); err != nil {
			partition = "0"
		}
		f.topic = "keyed.job/" + partition
	case PartClaims:
		f.topic = "keyed.owner/0"
	case PartRegistrations:
		f.topic = "keyed.servers/0"
	}
	w.recordFault("store %s %s for %d ms", s.Mode, f.topic, s.Lasts)
	w.faults = append(w.faults, f)
}

// disturbWorker crashes a worker or cuts it off.
func (w *world) disturbWorker(s Step, lasts time.Duration) {
	m := w.machines[(s.Worker-1+len(w.machines))%len(w.machines)]
	k := w.workers[m.id]
	if k == nil {
		return // its machine is away
	}
	w.recordFault("%s %s %s for %d ms", s.Action, s.Mode, k.id, s.Lasts)
	switch s.Action {
	case ActionCrash:
		delete(w.workers, m.id)
		k.end()
		w.after(lasts, func() {
			if m.state == stateUp && w.workers[m.id] == nil {
				w.startWorker(k.id, m)
			}
		})
	case ActionForget:
		w.after(expiryAfter, func() {
			if !k.hasEnded {
				k.unreachableAt = w.now
				w.store.Put("keyed.servers", k.id, nil)
				w.storeChanged = true
			}
		})
		w.after(expiryAfter+lasts, func() {
			k.unreachableAt = time.Time{}
			k.register()
		})
	case ActionOdd:
		id := "agent-" + k.id
		w.store.Put("keyed.servers", id, fmt.Appendf(nil, `{"service":"agents","address":"worker-%s:9","zone":"z1","state":"ready","capacity":{"cpu":1000,"mem_mb":100,"gpu":0},"labels":[],"machine":%q,"born":%d}`, id, m.id, w.now.UnixMilli()))
		w.storeChanged = true
	default:
		w.faults = append(w.faults, &fault{to: k.host(), mode: s.Mode, until: w.now.Add(lasts)})
	}
}

// callersJob is a job as its caller hands it in.
type callersJob struct {
	step  Step
	spec  task.Spec
	tries int
}

// submit hands a job in.
func (w *world) submit(s Step) {
	j := w.jobs[s.Job]
	if j == nil {
		spec, err := platform.ParseJob([]byte(fabric.Job{ID: fabric.JobID(s.Job), CPU: taskCPU, Millis: int(s.Takes), Counts: []int{s.Tasks}}.Body()))
		if err != nil {
			w.recordFault("job %d: %v", s.Job, err)
			return
		}
		j = &callersJob{step: s, spec: spec}
		w.jobs[s.Job] = j
	}
	j.tries++
	w.callOwner(s, history.KindSubmit, func(v history.Verdict) {
		if v == history.VerdictRefused && j.tries < maxTries {
			again := s
			again.Mode = ""
			w.after(retryDelay, func() { w.submit(again) })
		}
	})
}

// askAll asks for the states of all jobs.
func (w *world) askAll() {
	for n := 1; n <= maxJobs; n++ {
		if w.jobs[n] != nil {
			w.callOwner(Step{Job: n, Caller: w.jobs[n].step.Caller}, history.KindAsk, nil)
		}
	}
}

// callerReply is the answer to a call, as it leaves the owner.
type callerReply struct {
	from   *entry
	number int
	mode   Mode
	caller history.Process
	reply  *relay.Reply
	then   func(history.Verdict)
}

// callOwner lets a caller call the owner.
func (w *world) callOwner(s Step, kind history.Kind, then func(history.Verdict)) {
	w.calls++
	number := w.calls
	caller := history.Process(fmt.Sprintf("caller-%d", s.Caller))
	id := task.JobID(fabric.JobID(s.Job))
	w.record(history.Event{Process: caller, Kind: kind, Call: number, Job: string(id)})
	r := callerReply{number: number, mode: s.Mode, caller: caller, then: then}
	arrive := func() {
		e := w.owner()
		if e == nil {
			r.reply = &relay.Reply{Verdict: relay.Verdict_REFUSED}
			w.answerCaller(r)
			return
		}
		r.from = e
		var spec task.Spec
		if j := w.jobs[s.Job]; j != nil {
			spec = j.spec
		}
		q := queue.Name("q-" + poolName(s.Pool))
		e.whenRunning(func() {
			go e.serveCaller(r, func(ctx context.Context, d *dispatch.Dispatcher) *relay.Reply {
				if kind == history.KindSubmit {
					return d.Submit(ctx, q, "", id, spec)
				}
				if kind == history.KindCancel {
					return d.Cancel(ctx, id)
				}
				return d.JobState(ctx, id)
			})
		})
	}
	switch s.Mode {
	case ModeLose:
	case ModeSlow:
		w.after(2*slowDelay, arrive)
	case ModeRepeat:
		w.after(tick, arrive)
		s.Mode = ""
		w.after(slowDelay, func() { w.callOwner(s, kind, nil) })
	default:
		w.after(tick, arrive)
	}
}

// serveCaller carries out a caller's call at an entry, which refuses it unless it is the owner.
func (e *entry) serveCaller(r callerReply, serve func(context.Context, *dispatch.Dispatcher) *relay.Reply) {
	ctx, cancel := e.clock.WithTimeout(context.Background(), patience)
	defer cancel()
	r.reply = &relay.Reply{Verdict: relay.Verdict_REFUSED}
	if d := e.owning(); d != nil {
		r.reply = serve(ctx, d)
	}
	e.world.mu.Lock()
	defer e.world.mu.Unlock()
	if !e.hasEnded {
		e.world.replies = append(e.world.replies, r)
	}
}

// handleReplies lets the answers of entries go to their callers. It reports whether there were any.
func (w *world) handleReplies() bool {
	w.mu.Lock()
	list := w.replies
	w.replies = nil
	w.mu.Unlock()
	sortReplies(list)
	for _, r := range list {
		r.from.whenRunning(func() { w.after(tick, func() { w.answerCaller(r) }) })
	}
	return len(list) > 0
}

// answerCaller lets a caller have an answer.
func (w *world) answerCaller(r callerReply) {
	if r.mode == ModeMute {
		return
	}
	verdict := history.VerdictUnknown
	switch r.reply.Verdict {
	case relay.Verdict_DONE:
		verdict = history.VerdictDone
	case relay.Verdict_MISSING:
		verdict = history.VerdictMissing
	case relay.Verdict_REFUSED, relay.Verdict_INVALID, relay.Verdict_ELSEWHERE, relay.Verdict_UNAUTHORIZED, relay.Verdict_LIMITED:
		verdict = history.VerdictRefused
	case relay.Verdict_UNKNOWN:
	}
	w.record(history.Event{Process: r.caller, Kind: history.KindAnswer, Call: r.number, Verdict: verdict, State: history.State(r.reply.State)})
	if r.then != nil {
		r.then(verdict)
	}
}
